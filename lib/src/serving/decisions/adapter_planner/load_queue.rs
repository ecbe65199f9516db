//! The pending load requests of one replica, and the order in which they are served.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::VmName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::path::types::Rank;
use crate::serving::path::types::Target;

/// Lifetime of a load request that is not renewed.
const REQUEST_TTL: Span = Span::from_millis(700);

/// One in this many loads is that of the oldest load request, so that none starves.
const OLDEST_INTERVAL: u64 = 4;

/// What waits for a load at the VM that requests it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadNeed {
    /// Number of its requests that wait; 0 if not stated.
    pub waiting: u32,
    /// Rank of the most urgent of them.
    pub rank: Rank,
    /// Time until the objective of the one that can wait longest, zero if all have missed
    /// theirs; `None` if not stated.
    pub left: Option<Span>,
}

/// What a pending load waited for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LoadWait {
    /// An adapter that may be evicted.
    Slot,
    /// An unload that waits for runs.
    Unload,
    /// The response to an order that was left unanswered.
    Unanswered,
    /// The end of a fetch at any replica.
    FetchLimit,
    /// The end of a load at the replica.
    LoadingLimit,
    /// The replica's report.
    Report,
}

impl LoadWait {
    /// Name used in metrics. Operators read these texts, so they stay the same when a variant
    /// is renamed.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Slot => "slot",
            Self::Unload => "unload",
            Self::Unanswered => "unanswered",
            Self::FetchLimit => "fetch_limit",
            Self::LoadingLimit => "loading_limit",
            Self::Report => "report",
        }
    }
}

/// A pending load request, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PendingLoad {
    /// When the load was first requested.
    pub since: Moment,
    /// Number of requests that wait for it.
    pub waiting: u32,
    /// Rank of the most urgent of them.
    pub rank: Rank,
}

/// The need of one VM.
#[derive(Clone, Copy, Debug)]
struct VmNeed {
    waiting: u32,
    rank: Rank,
    /// Time of the latest objective; `None` if not stated.
    objective: Option<Moment>,
    renewed: Moment,
}

impl VmNeed {
    /// Returns whether a load of this duration would end before the latest objective.
    fn is_met(&self, now: Moment, duration: Span) -> bool {
        self.objective.is_none_or(|at| at.since(now) >= duration)
    }
}

/// The request to load one adapter or model.
#[derive(Debug)]
struct LoadRequest {
    since: Moment,
    needs: BTreeMap<VmName, VmNeed>,
    waits: BTreeSet<LoadWait>,
}

impl LoadRequest {
    fn pending(&self, needs: impl Iterator<Item = VmNeed> + Clone) -> PendingLoad {
        PendingLoad {
            since: self.since,
            waiting: needs.clone().map(|n| n.waiting).sum(),
            rank: needs.map(|n| n.rank).min().unwrap_or_default(),
        }
    }

    /// Returns the position in the order of loads for a load of this duration; lower is first.
    fn order_key(&self, now: Moment, duration: Span) -> (bool, Rank, Reverse<u32>, Moment) {
        let all = self.needs.values().copied();
        let in_time = all.clone().filter(|n| n.is_met(now, duration));
        let late = in_time.clone().next().is_none();
        let pending = match late {
            true => self.pending(all),
            false => self.pending(in_time),
        };
        (late, pending.rank, Reverse(pending.waiting), self.since)
    }
}

/// The pending load requests of one replica.
///
/// The load that it answers: more adapters are requested at a replica than it can load in
/// time. In order of arrival, each load then serves a request that has just missed its
/// objective, and a single late request delays many urgent ones.
#[derive(Debug, Default)]
pub(super) struct LoadQueue {
    requests: BTreeMap<Target, LoadRequest>,
    /// Number of requested loads that have begun.
    begun: u64,
    /// Target of a load that the replica left unanswered. It may be carried out still, so the
    /// same one is ordered again.
    unanswered: Option<Target>,
}

impl LoadQueue {
    /// Records or renews the request of a VM to load a target.
    pub(super) fn request(&mut self, now: Moment, vm: &VmName, target: &Target, need: &LoadNeed) {
        let new = || LoadRequest {
            since: now,
            needs: BTreeMap::new(),
            waits: BTreeSet::new(),
        };
        let request = self.requests.entry(target.clone()).or_insert_with(new);
        let need = VmNeed {
            waiting: need.waiting.max(1),
            rank: need.rank,
            objective: need.left.map(|left| now.after(left)),
            renewed: now,
        };
        request.needs.insert(vm.clone(), need);
    }

    /// Drops the load requests that were not renewed in time.
    pub(super) fn expire(&mut self, now: Moment) {
        self.requests.retain(|_, request| {
            let needs = &mut request.needs;
            needs.retain(|_, n| now.since(n.renewed) < REQUEST_TTL);
            !needs.is_empty()
        });
    }

    /// Keeps only the load requests of some targets.
    pub(super) fn retain(&mut self, keep: impl Fn(&Target) -> bool) {
        self.requests.retain(|t, _| keep(t));
    }

    /// Removes the request to load a target.
    pub(super) fn remove(&mut self, target: &Target) {
        self.requests.remove(target);
    }

    /// Returns whether a load is requested.
    pub(super) fn contains(&self, target: &Target) -> bool {
        self.requests.contains_key(target)
    }

    /// Returns whether no load is requested.
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Iterates over the targets whose requests were renewed in time.
    pub(super) fn targets(&self, now: Moment) -> impl Iterator<Item = &Target> {
        let renewed = move |n: &VmNeed| now.since(n.renewed) < REQUEST_TTL;
        let current = self.requests.iter();
        let current = current.filter(move |(_, r)| r.needs.values().any(renewed));
        current.map(|(t, _)| t)
    }

    /// Returns the oldest load request among those that can be served.
    pub(super) fn oldest(&self, can_load: impl Fn(&Target) -> bool) -> Option<Target> {
        let eligible = self.requests.iter().filter(|(t, _)| can_load(t));
        let oldest = eligible.min_by_key(|(_, r)| r.since);
        oldest.map(|(t, _)| t.clone())
    }

    /// Returns the load request to serve next among those that can be served. Those come
    /// first that can still meet their objective with a load of the expected duration, then
    /// the most urgent rank, then the most requests waiting, then the oldest. Every fourth
    /// load is that of the oldest load request.
    pub(super) fn next(
        &self,
        now: Moment,
        can_load: impl Fn(&Target) -> bool,
        duration: impl Fn(&Target) -> Span,
    ) -> Option<Target> {
        let repeated = self.unanswered.as_ref();
        if let Some(target) = repeated.filter(|t| self.contains(t) && can_load(t)) {
            return Some(target.clone());
        }
        if self.begun % OLDEST_INTERVAL == OLDEST_INTERVAL - 1 {
            return self.oldest(can_load);
        }
        let eligible = self.requests.iter().filter(|(t, _)| can_load(t));
        let first = eligible.min_by_key(|(t, r)| r.order_key(now, duration(t)));
        first.map(|(t, _)| t.clone())
    }

    /// Records what the requested loads of some targets wait for.
    pub(super) fn record_wait(&mut self, wait: LoadWait, concerns: impl Fn(&Target) -> bool) {
        let requests = self.requests.iter_mut();
        for (_, request) in requests.filter(|(t, _)| concerns(t)) {
            request.waits.insert(wait);
        }
    }

    /// Records whether the replica left the order to load a target unanswered.
    pub(super) fn set_unanswered(&mut self, target: Option<&Target>) {
        self.unanswered = target.cloned();
    }

    /// Records that a load begins. Returns what it waited for, if it was requested.
    pub(super) fn begin(&mut self, target: &Target) -> BTreeSet<LoadWait> {
        let Some(request) = self.requests.get_mut(target) else {
            return BTreeSet::new();
        };
        self.begun += 1;
        std::mem::take(&mut request.waits)
    }

    /// Returns the pending request to load a target.
    pub(super) fn pending(&self, target: &Target) -> Option<PendingLoad> {
        let request = self.requests.get(target)?;
        Some(request.pending(request.needs.values().copied()))
    }
}
