//! Detects poison requests: requests that crash the upstreams that run them.

use std::collections::BTreeMap;

use crate::ids::Fingerprint;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::path::types::Instance;

/// Replicas that a request may crash before it is refused.
const MAX_CRASHES: usize = 3;

/// How long a crash is remembered: longer than a caller keeps retrying.
const CRASH_TTL: Span = Span::from_millis(60_000);

/// Maximum number of tracked fingerprints, as a flood of broken requests must
/// not exhaust memory; the lowest fingerprint is evicted first.
const MAX_FINGERPRINTS: usize = 2_048;

/// Maximum crash records in one beacon: a crash of many replicas leaves one for
/// each request that ran there, and a beacon must fit in a datagram.
const MAX_REPORTED: usize = 64;

/// A replica that broke while it ran a request.
#[derive(Clone, Copy, Debug)]
struct Crash {
    at: Moment,
    /// Whether this VM saw it itself, as opposed to a report from another VM.
    local: bool,
}

/// Tracks the requests during whose run an upstream broke.
///
/// A request that crashes every replica that runs it, and is retried through any
/// VM, takes down the other requests of the batch each time. A response clears the
/// record, so requests that only ran at the same time as the cause are not refused.
#[derive(Debug, Default)]
pub struct CrashTracker {
    by_request: BTreeMap<Fingerprint, BTreeMap<Instance, Crash>>,
}

impl CrashTracker {
    /// Records that an upstream broke while it ran this request. Returns whether
    /// that was not known yet.
    pub fn record(&mut self, now: Moment, request: Fingerprint, replica: &Instance) -> bool {
        let crashes = self.crashes(now, request);
        let crash = Crash {
            at: now,
            local: true,
        };
        crashes.insert(replica.clone(), crash).is_none()
    }

    /// Records a crash seen by another VM. It is not forwarded: the VM that saw
    /// it reports it to all, and forwarded records would circulate for ever.
    pub fn record_remote(&mut self, now: Moment, request: Fingerprint, replica: &Instance) {
        let crashes = self.crashes(now, request);
        let crash = Crash {
            at: now,
            local: false,
        };
        crashes.entry(replica.clone()).or_insert(crash);
    }

    /// Returns the crashes during this request that have not expired.
    fn crashes(&mut self, now: Moment, request: Fingerprint) -> &mut BTreeMap<Instance, Crash> {
        if self.by_request.len() >= MAX_FINGERPRINTS && !self.by_request.contains_key(&request) {
            self.by_request.pop_first();
        }
        let crashes = self.by_request.entry(request).or_default();
        crashes.retain(|_, c| now.since(c.at) < CRASH_TTL);
        crashes
    }

    /// Forgets a request that got a response: it does not crash its upstream.
    pub fn clear(&mut self, request: Fingerprint) {
        self.by_request.remove(&request);
    }

    /// Returns whether a request has crashed `MAX_CRASHES` replicas; `down`
    /// says whether a replica that broke is gone.
    pub fn is_poison(
        &self,
        now: Moment,
        request: Fingerprint,
        down: impl Fn(&Instance) -> bool,
    ) -> bool {
        let Some(crashes) = self.by_request.get(&request) else {
            return false;
        };
        let recent = crashes.iter().filter(|(_, c)| now.since(c.at) < CRASH_TTL);
        recent.filter(|(replica, _)| down(replica)).count() >= MAX_CRASHES
    }

    /// Returns the crashes that this VM saw in the last `span`, newest first, to
    /// be reported to the other VMs.
    pub fn recent(&self, now: Moment, span: Span) -> Vec<(Fingerprint, Instance)> {
        let all = self.by_request.iter();
        let all = all.flat_map(|(f, crashes)| crashes.iter().map(move |(r, c)| (*f, r, *c)));
        let recent = all.filter(|(_, _, c)| c.local && now.since(c.at) < span);
        let mut recent: Vec<_> = recent.collect();
        recent.sort_by_key(|(_, _, c)| std::cmp::Reverse(c.at));
        recent.truncate(MAX_REPORTED);
        recent.into_iter().map(|(f, r, _)| (f, r.clone())).collect()
    }
}
