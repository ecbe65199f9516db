//! The queue of waiting requests, and fair queueing between teams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::types::Arrival;
use super::types::Class;
use super::types::Moment;
use super::types::Ticket;
use crate::ids::TeamName;

/// Number of teams with a finish tag above which idle teams are dropped.
const MAX_TEAMS: usize = 4_096;

/// Units of virtual time per token at a share of 1.
const TAG_SCALE: u64 = 1_024;

/// Scheduling lane: requests of one lane compete for the same part of a batch.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Lane {
    /// Requests whose caller waits for the first token.
    Short,
    /// Long requests, which use the capacity that short ones leave.
    Long,
}

impl Lane {
    /// Both lanes, the more urgent one first.
    pub(super) const ALL: [Self; 2] = [Self::Short, Self::Long];

    pub(super) fn of(class: Class) -> Self {
        match class {
            Class::Interactive | Class::Call => Self::Short,
            Class::Long => Self::Long,
        }
    }

    pub(super) fn index(self) -> usize {
        self as usize
    }
}

/// Start-time fair queueing between the teams of one lane.
///
/// Protects the steady work of other teams from a burst of one team. The start
/// tag of a request is the larger of the virtual time, which is the highest
/// start tag dispatched so far, and the finish tag of its team. The request
/// then raises that finish tag by its cost divided by the share of the team.
/// The lowest start tag runs first, so a burst queues only behind the tags of
/// its own team.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    virtual_time: u64,
    finish_tags: BTreeMap<TeamName, u64>,
}

impl FairQueue {
    /// Returns the start tag of a request of `cost` tokens, and raises the
    /// finish tag of its team.
    pub(super) fn tag(&mut self, team: &TeamName, cost: u64, share: u32) -> u64 {
        if self.finish_tags.len() > MAX_TEAMS {
            let virtual_time = self.virtual_time;
            self.finish_tags.retain(|_, end| *end > virtual_time);
        }
        let end = self.finish_tags.entry(team.clone()).or_insert(0);
        let start = self.virtual_time.max(*end);
        *end = start + cost * TAG_SCALE / u64::from(share.max(1));
        start
    }

    /// Advances the virtual time to the tag of a dispatched request.
    pub(super) fn advance(&mut self, tag: u64) {
        self.virtual_time = self.virtual_time.max(tag);
    }

    /// Lowers the finish tag of a team whose tagged request was not dispatched.
    pub(super) fn refund(&mut self, team: &TeamName, cost: u64, share: u32) {
        if let Some(end) = self.finish_tags.get_mut(team) {
            *end = end.saturating_sub(cost * TAG_SCALE / u64::from(share.max(1)));
        }
    }
}

/// A waiting request.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub(super) arrival: Arrival,
    pub(super) queued_at: Moment,
    pub(super) tag: u64,
    pub(super) cost: u64,
    /// Latest start time that still allows an answer before the deadline.
    pub(super) expiry: Moment,
    /// Whether the request must run alone on a replica.
    pub(super) isolated: bool,
}

impl QueuedRequest {
    pub(super) fn lane(&self) -> Lane {
        Lane::of(self.arrival.class)
    }
}

/// All waiting requests, indexed by expiry and counted by team and lane.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: BTreeMap<Ticket, QueuedRequest>,
    expiries: BTreeSet<(Moment, Ticket)>,
    counts: BTreeMap<(TeamName, Lane), u32>,
    long_count: usize,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn get(&self, ticket: Ticket) -> Option<&QueuedRequest> {
        self.waiting.get(&ticket)
    }

    /// Returns the number of waiting requests of a team in a lane.
    pub(super) fn count(&self, team: &TeamName, lane: Lane) -> u32 {
        self.counts
            .get(&(team.clone(), lane))
            .copied()
            .unwrap_or_default()
    }

    /// Returns whether any long request waits.
    pub(super) fn has_long(&self) -> bool {
        self.long_count > 0
    }

    /// Returns the number of pairs of team and lane with waiting requests.
    pub(super) fn flows(&self) -> usize {
        self.counts.len()
    }

    pub(super) fn insert(&mut self, w: QueuedRequest) {
        let ticket = w.arrival.ticket;
        self.expiries.insert((w.expiry, ticket));
        self.long_count += usize::from(w.lane() == Lane::Long);
        *self
            .counts
            .entry((w.arrival.team.clone(), w.lane()))
            .or_insert(0) += 1;
        self.waiting.insert(ticket, w);
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let w = self.waiting.remove(&ticket)?;
        self.expiries.remove(&(w.expiry, ticket));
        self.long_count -= usize::from(w.lane() == Lane::Long);
        let flow = (w.arrival.team.clone(), w.lane());
        if let Some(n) = self.counts.get_mut(&flow) {
            *n -= 1;
            if *n == 0 {
                self.counts.remove(&flow);
            }
        }
        Some(w)
    }

    /// Returns a request that can no longer meet its deadline at `now`.
    pub(super) fn expired(&self, now: Moment) -> Option<Ticket> {
        let (expiry, ticket) = self.expiries.first()?;
        (*expiry <= now).then_some(*ticket)
    }

    /// Returns the time at which the next request expires.
    pub(super) fn next_expiry(&self) -> Option<Moment> {
        self.expiries.first().map(|(expiry, _)| *expiry)
    }

    /// Returns the tickets of the waiting requests that match.
    pub(super) fn matching(&self, test: impl Fn(&Arrival) -> bool) -> Vec<Ticket> {
        let hits = self.waiting.values().filter(|w| test(&w.arrival));
        hits.map(|w| w.arrival.ticket).collect()
    }
}
