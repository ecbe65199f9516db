//! The time that a request waited, by reason.

use crate::pool::Span;

/// What a request waits for before it is sent to a replica.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum WaitReason {
    /// No replica holds its adapter, and a load was requested.
    Load,
    /// A replica holds its adapter, and a load at another one was requested.
    Copy,
    /// Its adapter is being loaded.
    Loading,
    /// The replicas that could run it are full.
    Full,
    /// The replicas that could run it get no requests for a while.
    Withheld,
    /// No replica can run it.
    None,
    /// Answers of the owner of a replica and of the lender of its limit.
    Asks,
}

impl WaitReason {
    /// All reasons, in the order of their values.
    pub const ALL: [Self; 7] = [
        Self::Load,
        Self::Copy,
        Self::Loading,
        Self::Full,
        Self::Withheld,
        Self::None,
        Self::Asks,
    ];

    /// Name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Copy => "copy",
            Self::Loading => "loading",
            Self::Full => "full",
            Self::Withheld => "withheld",
            Self::None => "none",
            Self::Asks => "asks",
        }
    }

    /// Key of the time in log lines, which `banyan account` reads.
    pub fn log_key(self) -> &'static str {
        match self {
            Self::Load => "load_ms",
            Self::Copy => "copy_ms",
            Self::Loading => "loading_ms",
            Self::Full => "full_ms",
            Self::Withheld => "withheld_ms",
            Self::None => "none_ms",
            Self::Asks => "asks_ms",
        }
    }
}

/// The time that a request waited, by reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitParts {
    /// The time by reason, in the order of [`WaitReason::ALL`].
    spans: [Span; WaitReason::ALL.len()],
}

impl WaitParts {
    /// Adds time that was spent for a reason.
    ///
    /// ```
    /// use banyangauge::pool::Span;
    /// use banyangauge::serving::{WaitParts, WaitReason};
    /// let mut parts = WaitParts::default();
    /// parts.add(WaitReason::Load, Span(1_600));
    /// parts.add(WaitReason::Full, Span(1_600));
    /// assert_eq!(parts.total(), Span(3_200));
    /// assert_eq!(parts.longest(), Some(WaitReason::Load));
    /// ```
    pub fn add(&mut self, reason: WaitReason, span: Span) {
        let part = &mut self.spans[reason as usize];
        part.0 = part.0.saturating_add(span.0);
    }

    /// Adds the parts of another wait.
    ///
    /// ```
    /// use banyangauge::pool::Span;
    /// use banyangauge::serving::{WaitParts, WaitReason};
    /// let (mut first, mut second) = (WaitParts::default(), WaitParts::default());
    /// first.add(WaitReason::Asks, Span::from_millis(2));
    /// second.add(WaitReason::Asks, Span::from_millis(3));
    /// first.add_all(&second);
    /// assert_eq!(first.total(), Span::from_millis(5));
    /// ```
    pub fn add_all(&mut self, other: &Self) {
        for (reason, span) in WaitReason::ALL.into_iter().zip(other.spans) {
            self.add(reason, span);
        }
    }

    /// Returns the total time.
    pub fn total(&self) -> Span {
        let sum = |sum: u64, span: &Span| sum.saturating_add(span.0);
        Span(self.spans.iter().fold(0, sum))
    }

    /// Returns the reason with the most time, the first of equal ones; `None` without any time.
    pub fn longest(&self) -> Option<WaitReason> {
        let parts = WaitReason::ALL.into_iter().zip(self.spans).rev();
        let longest = parts.max_by_key(|(_, span)| *span)?;
        Some(longest.0).filter(|_| longest.1 > Span(0))
    }

    /// Returns the parts in whole milliseconds. Their sum is the total in whole milliseconds,
    /// as the fraction of each part is carried over to the next one.
    ///
    /// ```
    /// use banyangauge::pool::Span;
    /// use banyangauge::serving::{WaitParts, WaitReason};
    /// let mut parts = WaitParts::default();
    /// parts.add(WaitReason::Load, Span(1_600));
    /// parts.add(WaitReason::Full, Span(1_600));
    /// let sum: u64 = parts.millis().map(|(_, ms)| ms).sum();
    /// assert_eq!(sum, parts.total().as_millis());
    /// ```
    pub fn millis(&self) -> impl Iterator<Item = (WaitReason, u64)> {
        let mut until = Span(0);
        WaitReason::ALL
            .into_iter()
            .zip(self.spans)
            .map(move |(reason, span)| {
                let before = until.as_millis();
                until = Span(until.0.saturating_add(span.0));
                (reason, until.as_millis() - before)
            })
    }
}
