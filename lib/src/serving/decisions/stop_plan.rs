//! Decides what a process that stops as planned may still begin.
//!
//! Load: requests arrive, wait and are retried while the process stops; the platform goes on to send
//! new ones until its checks have failed. Harm: a request that is sent to a replica and cannot end
//! in time is cut off, and one that is not idempotent cannot be sent again. Refused before it is
//! sent, it is served by another VM at once.

use std::collections::BTreeMap;

use crate::pool::Moment;
use crate::pool::Span;

/// Longest time for which a stopping process still takes requests on new connections: the load
/// balancer checks once a second and removes a VM after two failed checks.
const MAX_UNREADY: Span = Span::from_millis(3_000);

/// Part of the grace period for which it does so if that is shorter.
const UNREADY_FRACTION: f64 = 0.375;

/// Longest time that is reserved for the last answers and the exit of the process.
const MAX_EXIT: Span = Span::from_millis(500);

/// Part of the grace period that is reserved for them if that is shorter.
const EXIT_FRACTION: f64 = 0.125;

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopPlan {
    /// Until when requests on new connections are taken.
    pub drain: Moment,
    /// When requests that are still open are answered or broken off.
    pub end: Moment,
}

impl StopPlan {
    /// Plans a stop that begins now, in a grace period after which the process is killed.
    ///
    /// ```
    /// use banyangauge::pool::{Moment, Span};
    /// use banyangauge::serving::StopPlan;
    /// let plan = StopPlan::new(Moment(0), Span::from_millis(8_000));
    /// assert_eq!((plan.drain, plan.end), (Moment(3_000_000), Moment(7_500_000)));
    /// let plan = StopPlan::new(Moment(0), Span::from_millis(2_000));
    /// assert_eq!((plan.drain, plan.end), (Moment(750_000), Moment(1_750_000)));
    /// ```
    pub fn new(now: Moment, grace: Span) -> Self {
        let exit = Span(fraction(grace, EXIT_FRACTION).min(MAX_EXIT.0));
        let unready = Span(fraction(grace, UNREADY_FRACTION).min(MAX_UNREADY.0));
        Self {
            drain: now.after(unready),
            end: now.after(Span(grace.0.saturating_sub(exit.0))),
        }
    }

    /// Returns until when a run may begin that takes at most `longest`; a time before the stop if
    /// none may.
    ///
    /// ```
    /// use banyangauge::pool::{Moment, Span};
    /// use banyangauge::serving::StopPlan;
    /// let plan = StopPlan::new(Moment(0), Span::from_millis(8_000));
    /// assert_eq!(plan.last_send(Span::from_millis(3_000)), Moment(4_500_000));
    /// ```
    pub fn last_send(&self, longest: Span) -> Moment {
        Moment(self.end.0.saturating_sub(longest.0))
    }
}

/// Time for which the longest run of a route counts, at least.
const KEEP: Span = Span::from_millis(30_000);

/// Part by which a run may take longer than the longest one of late.
const MARGIN: f64 = 0.2;

/// The longest runs of a route, in the time that began at `since` and in the one before.
#[derive(Clone, Copy, Debug)]
struct Longest {
    since: Moment,
    current: Span,
    earlier: Span,
}

/// How long the runs of each route took of late.
///
/// ```
/// use banyangauge::pool::{Moment, Span};
/// use banyangauge::serving::RunTimes;
/// let mut times = RunTimes::default();
/// let left = Span::from_millis(9_000);
/// // The run of a route without any may take until its deadline.
/// assert_eq!(times.longest(Moment(0), "lookups", left), left);
/// times.record(Moment(0), "lookups", Span::from_millis(100));
/// assert_eq!(times.longest(Moment(0), "lookups", left), Span::from_millis(120));
/// ```
#[derive(Debug, Default)]
pub struct RunTimes {
    routes: BTreeMap<String, Longest>,
}

impl RunTimes {
    /// Records that a run of a route ended after `took`.
    pub fn record(&mut self, now: Moment, route: &str, took: Span) {
        if let Some(longest) = self.routes.get_mut(route) {
            longest.advance(now);
            longest.current = longest.current.max(took);
            return;
        }
        // Routes come and go with configurations.
        self.routes
            .retain(|_, l| now.since(l.since) < Span(2 * KEEP.0));
        let longest = Longest {
            since: now,
            current: took,
            earlier: Span(0),
        };
        self.routes.insert(route.to_owned(), longest);
    }

    /// Returns how long a run of a route may take that has `left` until its deadline.
    pub fn longest(&self, now: Moment, route: &str, left: Span) -> Span {
        let longest = self.routes.get(route).copied();
        let longest = longest.and_then(|mut longest| {
            longest.advance(now);
            let span = longest.current.max(longest.earlier);
            (span > Span(0)).then_some(span)
        });
        longest.map_or(left, |l| Span(l.0 + fraction(l, MARGIN)).min(left))
    }
}

impl Longest {
    fn advance(&mut self, now: Moment) {
        let age = now.since(self.since);
        if age < KEEP {
            return;
        }
        self.earlier = if age < Span(2 * KEEP.0) {
            self.current
        } else {
            Span(0)
        };
        self.current = Span(0);
        self.since = now;
    }
}

fn fraction(span: Span, part: f64) -> u64 {
    (span.0 as f64 * part) as u64
}
