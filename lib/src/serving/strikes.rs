//! Which requests crash the upstreams that run them.

use std::collections::BTreeMap;

use crate::ids::Fingerprint;
use crate::ids::ReplicaName;
use crate::pool::Moment;
use crate::pool::Span;

/// Replicas that a request may bring down before it is refused.
const MOST_CRASHES: usize = 3;

/// How long a strike is remembered: longer than a caller's repeats.
const STRIKE_KEPT: Span = Span::from_millis(60_000);

/// The most fingerprints kept; the oldest by number go first, as a flood of
/// broken requests must not fill the memory.
const MOST_KEPT: usize = 2_048;

/// Requests in whose run an upstream broke.
///
/// Made for the one request that crashes each replica that begins to run it
/// and is sent again at any VM: each time it takes a batch of others down. An
/// answer clears it, so requests that broke with a crash of another's doing
/// are not refused for it.
#[derive(Debug, Default)]
pub struct Strikes {
    known: BTreeMap<Fingerprint, BTreeMap<ReplicaName, Moment>>,
}

impl Strikes {
    /// An upstream broke while it ran this request; gives whether that is news.
    pub fn note(&mut self, now: Moment, request: Fingerprint, replica: &ReplicaName) -> bool {
        if self.known.len() >= MOST_KEPT && !self.known.contains_key(&request) {
            self.known.pop_first();
        }
        let strikes = self.known.entry(request).or_default();
        strikes.retain(|_, at| now.since(*at) < STRIKE_KEPT);
        strikes.insert(replica.clone(), now).is_none()
    }

    /// It was answered, so it does not crash its upstream.
    pub fn clear(&mut self, request: Fingerprint) {
        self.known.remove(&request);
    }

    /// Whether it has brought down as many replicas as it may; `down` says
    /// whether a replica that broke is gone.
    pub fn convicted(
        &self,
        now: Moment,
        request: Fingerprint,
        down: impl Fn(&ReplicaName) -> bool,
    ) -> bool {
        let Some(strikes) = self.known.get(&request) else {
            return false;
        };
        let recent = strikes
            .iter()
            .filter(|(_, at)| now.since(**at) < STRIKE_KEPT);
        recent.filter(|(name, _)| down(name)).count() >= MOST_CRASHES
    }

    /// The strikes of the last `span`, for the other VMs.
    pub fn recent(&self, now: Moment, span: Span) -> Vec<(Fingerprint, ReplicaName)> {
        let all = self.known.iter();
        let all = all.flat_map(|(f, strikes)| strikes.iter().map(move |(r, at)| (*f, r, *at)));
        let recent = all.filter(|(_, _, at)| now.since(*at) < span);
        recent.map(|(f, r, _)| (f, r.clone())).collect()
    }
}
