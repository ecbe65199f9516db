//! How recently a VM is known to have heard of all listed builds.

use super::MAX_STREAM_AGE;
use crate::pool::Moment;
use crate::pool::Span;

/// The fraction of the notice for which a proof counts: less than the shortest notice after which
/// streams begin at a new build.
const MAX_AGE_FRACTION: f64 = 0.4;

/// The fraction of the notice between two proofs within which no build can have been listed and
/// admitted unseen: likewise.
const MAX_GAP_FRACTION: f64 = 0.4;

/// As of when a VM knew all entries of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KnownAsOf {
    /// The replicas' entries.
    pub replicas: Option<Moment>,
    /// The ledger of builds.
    pub ledger: Option<Moment>,
    /// How long a build is listed before streams begin there.
    pub notice: Span,
}

/// The proof that a VM would have heard of any build at which streams have begun.
///
/// Streams begin at a new build once it was listed for the notice. A VM that knew all listed
/// replicas a shorter time ago has thus heard of it. What came and went before such proofs
/// followed each other closely is in the ledger, which keeps builds for as long as a stream may go
/// on.
#[derive(Debug, Default)]
pub(super) struct Proof {
    notice: Span,
    /// The latest moment at which all listed replicas were known.
    replicas: Option<Moment>,
    /// Since when such moments have followed each other closely.
    since: Moment,
    /// The latest moment at which the ledger was known.
    ledger: Option<Moment>,
    /// The earliest moment that counts: the store came back from a copy before.
    valid_from: Moment,
}

impl Proof {
    /// Records as of when the entries of the store are known.
    pub(super) fn advance(&mut self, known: &KnownAsOf) {
        self.notice = known.notice;
        let counts = |at: &Moment| *at >= self.valid_from;
        if let Some(at) = known.replicas.filter(counts) {
            let max_gap = self.fraction(MAX_GAP_FRACTION);
            match self.replicas {
                Some(last) if at <= last => {}
                Some(last) if at.since(last) < max_gap => self.replicas = Some(at),
                _ => (self.replicas, self.since) = (Some(at), at),
            }
        }
        self.ledger = self.ledger.max(known.ledger.filter(counts));
    }

    /// Records that the store came back from a copy, which may lack entries until `until`.
    pub(super) fn restart(&mut self, until: Moment) {
        *self = Self {
            notice: self.notice,
            valid_from: until,
            ..Self::default()
        };
    }

    /// Whether no stream can have begun at a build that the VM has not heard of.
    pub(super) fn holds(&self, now: Moment) -> bool {
        let knows_ledger = self.ledger.is_some_and(|at| at >= self.since);
        self.is_recent(now) && (knows_ledger || now.since(self.since) >= MAX_STREAM_AGE)
    }

    /// Whether the VM knew all listed replicas a short time ago.
    pub(super) fn is_recent(&self, now: Moment) -> bool {
        let max_age = self.fraction(MAX_AGE_FRACTION);
        self.replicas.is_some_and(|at| now.since(at) < max_age)
    }

    /// Returns how long ago all listed replicas, and the ledger, were known.
    pub(super) fn ages(&self, now: Moment) -> (Option<Span>, Option<Span>) {
        let age = |at: Option<Moment>| at.map(|at| now.since(at));
        (age(self.replicas), age(self.ledger))
    }

    fn fraction(&self, of: f64) -> Span {
        Span((self.notice.0 as f64 * of) as u64)
    }
}
