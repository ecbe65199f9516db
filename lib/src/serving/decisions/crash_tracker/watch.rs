//! The runs of this VM on which their replicas may still crash.
//!
//! A run that ended before its replica crashed may be the cause all the same: its caller left, its
//! deadline passed, or another replica took it over. So a run is kept until its replica gives a
//! sign of life that is clearly later than its end.

use std::collections::BTreeMap;

use super::evidence::BrokenRun;
use super::evidence::MAX_RUNS;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::path::types::Instance;

/// How long after its end a run may still crash its replica: replicas cancel what is given up
/// within this time.
const LINGER: Span = Span::from_millis(500);

/// Time without a sign of life after which a replica that runs something is asked for one.
const QUIET: Span = Span::from_millis(500);

/// Maximum time between two signs of life of a replica that runs something.
const MAX_QUIET: Span = Span::from_millis(1_000);

/// How long a run that ended is kept if its replica is neither heard from nor known to be dead.
const ENDED_TTL: Span = Span::from_millis(10_000);

/// Maximum number of replicas that are kept for runs that ended.
const MAX_ENDED_REPLICAS: usize = 256;

/// How a run ended, as far as it concerns a later crash of its replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The replica ran it to its end, or did not run it.
    Closed,
    /// It ended in any other way.
    Open,
    /// The end of its connection ended a response that looks complete. That may have been the
    /// crash of its replica.
    Unframed,
}

/// A run, under way or ended.
#[derive(Clone, Debug)]
struct WatchedRun {
    run: BrokenRun,
    /// When it ended, and how.
    ended: Option<(Moment, RunEnd)>,
    /// Whether the replica was taken for crashed on it.
    accused: bool,
}

impl WatchedRun {
    /// Returns whether a sign of life at `heard` shows that the replica outlived the run.
    fn is_outlived(&self, heard: Moment) -> bool {
        self.ended.is_some_and(|(at, _)| heard >= at.after(LINGER))
    }
}

/// The runs at one start of a replica, by number.
#[derive(Clone, Debug, Default)]
struct WatchedReplica {
    runs: BTreeMap<u64, WatchedRun>,
    /// The last sign of life.
    heard: Moment,
}

impl WatchedReplica {
    /// Returns whether the replica must be asked for a sign of life.
    fn is_due(&self, now: Moment) -> bool {
        let open = self.runs.values().filter(|run| !run.accused);
        let sent = |run: &WatchedRun| run.ended.is_none().then_some(run.run.sent);
        let oldest = open.clone().filter_map(sent).min();
        let is_quiet = oldest.is_some_and(|sent| {
            let known = self.heard.max(sent);
            let wait = known.since(sent).max(QUIET).min(MAX_QUIET);
            now.since(known) >= wait
        });
        is_quiet || open.clone().any(|run| run.is_outlived(now))
    }
}

/// The runs of this VM that are under way or ended lately, by replica.
#[derive(Clone, Debug, Default)]
pub(super) struct Watch(BTreeMap<Instance, WatchedReplica>);

impl Watch {
    /// Adds a run that is sent now.
    pub(super) fn begin(&mut self, replica: &Instance, id: u64, run: BrokenRun) {
        let run = WatchedRun {
            run,
            ended: None,
            accused: false,
        };
        let watched = self.0.entry(replica.clone()).or_default();
        watched.runs.insert(id, run);
    }

    /// Records how a run ended; the first end counts.
    pub(super) fn end(&mut self, now: Moment, replica: &Instance, id: u64, end: RunEnd) {
        let Some(watched) = self.0.get_mut(replica) else {
            return;
        };
        if end == RunEnd::Closed {
            watched.runs.remove(&id);
            return;
        }
        if let Some(run) = watched.runs.get_mut(&id) {
            run.ended.get_or_insert((now, end));
        }
        let ended = watched.runs.iter().filter(|(_, run)| run.ended.is_some());
        if ended.clone().count() > MAX_RUNS {
            let oldest = ended.min_by_key(|(_, run)| run.ended.map(|(at, _)| at));
            if let Some(oldest) = oldest.map(|(id, _)| *id) {
                watched.runs.remove(&oldest);
            }
        }
    }

    /// Takes out a run. Returns whether its replica was taken for crashed on it.
    pub(super) fn take(&mut self, replica: &Instance, id: u64) -> bool {
        let watched = self.0.get_mut(replica);
        let run = watched.and_then(|watched| watched.runs.remove(&id));
        run.is_some_and(|run| run.accused)
    }

    /// Records a sign of life at `at`. Returns the runs that it shows to be complete.
    pub(super) fn hear(&mut self, replica: &Instance, at: Moment) -> Vec<BrokenRun> {
        let Some(watched) = self.0.get_mut(replica) else {
            return Vec::new();
        };
        watched.heard = watched.heard.max(at);
        let heard = watched.heard;
        let mut complete = Vec::new();
        watched.runs.retain(|_, run| {
            let is_outlived = run.is_outlived(heard);
            if is_outlived && matches!(run.ended, Some((_, RunEnd::Unframed))) {
                complete.push(run.run.clone());
            }
            !is_outlived
        });
        complete
    }

    /// Records that a replica that was taken for crashed is alive: it may crash on its runs yet.
    pub(super) fn acquit(&mut self, replica: &Instance) {
        if let Some(watched) = self.0.get_mut(replica) {
            watched
                .runs
                .values_mut()
                .for_each(|run| run.accused = false);
        }
    }

    /// Records that a replica has crashed by `at`. Returns the runs that it may have crashed on,
    /// each with the earliest time of that crash.
    pub(super) fn accuse(&mut self, replica: &Instance, at: Moment) -> Vec<(Moment, BrokenRun)> {
        let silent_at = Moment(at.0.saturating_sub(QUIET.0));
        let runs = self.0.get_mut(replica).map(|watched| &mut watched.runs);
        let runs = runs.into_iter().flat_map(BTreeMap::values_mut);
        let open = runs.filter(|run| !run.accused).map(|run| {
            run.accused = true;
            let ended = run.ended.map(|(ended, _)| ended);
            let earliest = ended.unwrap_or(silent_at.max(run.run.sent));
            (earliest, run.run.clone())
        });
        open.collect()
    }

    /// Returns whether a replica was taken for crashed on a run.
    pub(super) fn is_accused(&self, replica: &Instance, id: u64) -> bool {
        let run = self.0.get(replica).and_then(|r| r.runs.get(&id));
        run.is_some_and(|run| run.accused)
    }

    /// Returns the replicas that must be asked for a sign of life, and forgets what is old.
    pub(super) fn due(&mut self, now: Moment) -> Vec<Instance> {
        let is_old = |run: &WatchedRun| {
            let ended = run.ended.map(|(at, _)| at);
            ended.is_some_and(|at| now.since(at) >= ENDED_TTL)
        };
        self.0.retain(|_, watched| {
            watched.runs.retain(|_, run| !is_old(run));
            !watched.runs.is_empty() || now.since(watched.heard) < ENDED_TTL
        });
        while self.0.len() > MAX_ENDED_REPLICAS {
            let idle = self.0.iter().filter(|(_, watched)| {
                let mut runs = watched.runs.values();
                runs.all(|run| run.ended.is_some())
            });
            let oldest = idle.min_by_key(|(_, watched)| watched.heard);
            let Some(oldest) = oldest.map(|(replica, _)| replica.clone()) else {
                break;
            };
            self.0.remove(&oldest);
        }
        let due = self.0.iter().filter(|(_, watched)| watched.is_due(now));
        due.map(|(replica, _)| replica.clone()).collect()
    }

    /// Returns whether a replica must be asked for a sign of life.
    pub(super) fn is_due(&self, now: Moment, replica: &Instance) -> bool {
        self.0.get(replica).is_some_and(|r| r.is_due(now))
    }

    /// Forgets the runs that ended at a replica.
    pub(super) fn forget_ended(&mut self, replica: &Instance) {
        if let Some(watched) = self.0.get_mut(replica) {
            watched.runs.retain(|_, run| run.ended.is_none());
        }
    }

    /// Returns whether this VM has heard nothing from a replica since `since`.
    pub(super) fn is_silent(&self, replica: &Instance, since: Moment) -> bool {
        let watched = self.0.get(replica);
        watched.is_none_or(|watched| watched.heard < since)
    }

    /// Returns whether this VM has heard from any replica since `since`.
    pub(super) fn hears_any(&self, since: Moment) -> bool {
        self.0.values().any(|watched| watched.heard >= since)
    }
}
