//! Which requests crash the upstreams that run them.

use std::collections::BTreeMap;

use crate::ids::Fingerprint;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::path::types::Instance;

/// Replicas that a request may bring down before it is refused.
const MOST_CRASHES: usize = 3;

/// How long a strike is remembered: longer than a caller's repeats.
const STRIKE_KEPT: Span = Span::from_millis(60_000);

/// The most fingerprints kept; the oldest by number go first, as a flood of
/// broken requests must not fill the memory.
const MOST_KEPT: usize = 2_048;

/// Strikes that are told in one beacon at the most: a crash of many replicas
/// leaves one for each request that ran there, and a beacon must fit a datagram.
const MOST_TOLD: usize = 64;

/// One replica that broke while it ran a request.
#[derive(Clone, Copy, Debug)]
struct Strike {
    at: Moment,
    /// Whether this VM saw it, or heard of it from another.
    own: bool,
}

/// Requests in whose run an upstream broke.
///
/// Made for the one request that crashes each replica that begins to run it
/// and is sent again at any VM: each time it takes a batch of others down. An
/// answer clears it, so requests that broke with a crash of another's doing
/// are not refused for it.
#[derive(Debug, Default)]
pub struct CrashTracker {
    known: BTreeMap<Fingerprint, BTreeMap<Instance, Strike>>,
}

impl CrashTracker {
    /// An upstream broke while it ran this request; gives whether that is news.
    pub fn record(&mut self, now: Moment, request: Fingerprint, replica: &Instance) -> bool {
        let strikes = self.strikes(now, request);
        let strike = Strike { at: now, own: true };
        strikes.insert(replica.clone(), strike).is_none()
    }

    /// Another VM saw that. It is not told on: whoever saw it tells all, and
    /// strikes that are told on go around for ever.
    pub fn record_remote(&mut self, now: Moment, request: Fingerprint, replica: &Instance) {
        let strikes = self.strikes(now, request);
        let strike = Strike {
            at: now,
            own: false,
        };
        strikes.entry(replica.clone()).or_insert(strike);
    }

    fn strikes(&mut self, now: Moment, request: Fingerprint) -> &mut BTreeMap<Instance, Strike> {
        if self.known.len() >= MOST_KEPT && !self.known.contains_key(&request) {
            self.known.pop_first();
        }
        let strikes = self.known.entry(request).or_default();
        strikes.retain(|_, s| now.since(s.at) < STRIKE_KEPT);
        strikes
    }

    /// It was answered, so it does not crash its upstream.
    pub fn clear(&mut self, request: Fingerprint) {
        self.known.remove(&request);
    }

    /// Whether it has brought down as many replicas as it may; `down` says
    /// whether a replica that broke is gone.
    pub fn is_poison(
        &self,
        now: Moment,
        request: Fingerprint,
        down: impl Fn(&Instance) -> bool,
    ) -> bool {
        let Some(strikes) = self.known.get(&request) else {
            return false;
        };
        let recent = strikes
            .iter()
            .filter(|(_, s)| now.since(s.at) < STRIKE_KEPT);
        recent.filter(|(replica, _)| down(replica)).count() >= MOST_CRASHES
    }

    /// What this VM saw in the last `span`, the newest first, for the others.
    pub fn recent(&self, now: Moment, span: Span) -> Vec<(Fingerprint, Instance)> {
        let all = self.known.iter();
        let all = all.flat_map(|(f, strikes)| strikes.iter().map(move |(r, s)| (*f, r, *s)));
        let recent = all.filter(|(_, _, s)| s.own && now.since(s.at) < span);
        let mut recent: Vec<_> = recent.collect();
        recent.sort_by_key(|(_, _, s)| std::cmp::Reverse(s.at));
        recent.truncate(MOST_TOLD);
        recent.into_iter().map(|(f, r, _)| (f, r.clone())).collect()
    }
}
