//! What is known of one replica's limit, from statements that may overtake each other.

use crate::pool::Moment;

/// What a statement changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Heard {
    /// The limit is another one now.
    Changed,
    /// The limit was known.
    Confirmed,
    /// The statement may be older than what is known.
    Overtaken,
}

/// A replica's limit as of its newest statement.
///
/// A statement that lowers the limit applies at once. One that raises or ends it applies
/// only if its request was sent after the newest statement arrived, because otherwise the
/// replica may have made it before.
///
/// ```
/// use banyangauge::pool::Moment;
/// use banyangauge::serving::replica_limits::{Heard, StatedLimit};
/// let mut limit = StatedLimit::default();
/// assert_eq!(limit.apply(Moment(20), Moment(10), Some(1.5)), Heard::Changed);
/// assert_eq!(limit.apply(Moment(30), Moment(15), None), Heard::Overtaken);
/// assert_eq!(limit.apply(Moment(40), Moment(25), None), Heard::Changed);
/// assert_eq!(limit.rate(), None);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct StatedLimit {
    rate: Option<f64>,
    /// When the newest statement arrived.
    as_of: Moment,
}

impl StatedLimit {
    /// Returns the limit in requests per second; `None` if there is none.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Applies a statement that arrived at `now` in the response to a request that was sent
    /// at `sent`.
    pub fn apply(&mut self, now: Moment, sent: Moment, rate: Option<f64>) -> Heard {
        if rate == self.rate {
            if rate.is_some() {
                self.as_of = self.as_of.max(now);
            }
            return Heard::Confirmed;
        }
        let lowers = rate.is_some_and(|new| self.rate.is_none_or(|old| new < old));
        if !lowers && sent < self.as_of {
            return Heard::Overtaken;
        }
        self.rate = rate;
        self.as_of = self.as_of.max(now);
        Heard::Changed
    }
}
