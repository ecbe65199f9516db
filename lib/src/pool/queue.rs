//! Requests that wait, and whose turn it is.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::types::Arrival;
use super::types::Class;
use super::types::Moment;
use super::types::Ticket;
use crate::ids::TeamName;

/// Teams remembered by a fair clock before idle ones are forgotten.
const MAX_TEAMS: usize = 4_096;

/// Units of virtual time for one token at a share of 1.
const TAG_SCALE: u64 = 1_024;

/// What competes for the same part of a batch.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Lane {
    /// Someone waits for it.
    Short,
    /// It fills what the others leave.
    Long,
}

impl Lane {
    /// Both lanes, the urgent one first.
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

/// Start-time fair queueing between teams.
///
/// Made for one team's burst against the steady work of the others. Each
/// request gets a start tag, at least the tag that was served last, and
/// pushes its team's next tag on by its cost over the team's share; who has
/// the lowest tag goes first. So a burst queues behind its own team's tags
/// only.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    virtual_time: u64,
    finish_tags: BTreeMap<TeamName, u64>,
}

impl FairQueue {
    /// The start tag of a request of `cost` tokens.
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

    /// A request with this tag was dispatched.
    pub(super) fn advance(&mut self, tag: u64) {
        self.virtual_time = self.virtual_time.max(tag);
    }

    /// A tagged request was not served: its team does not pay for it.
    pub(super) fn refund(&mut self, team: &TeamName, cost: u64, share: u32) {
        if let Some(end) = self.finish_tags.get_mut(team) {
            *end = end.saturating_sub(cost * TAG_SCALE / u64::from(share.max(1)));
        }
    }
}

/// A request that waits.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub(super) arrival: Arrival,
    pub(super) queued_at: Moment,
    pub(super) tag: u64,
    pub(super) cost: u64,
    /// The last moment at which starting it still makes its deadline.
    pub(super) expiry: Moment,
    /// Whether it must run alone on a replica.
    pub(super) isolated: bool,
}

impl QueuedRequest {
    pub(super) fn lane(&self) -> Lane {
        Lane::of(self.arrival.class)
    }
}

/// All that wait, with their deadlines and the counts that bound them.
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

    /// How many of a team's requests wait in a lane.
    pub(super) fn count(&self, team: &TeamName, lane: Lane) -> u32 {
        self.counts
            .get(&(team.clone(), lane))
            .copied()
            .unwrap_or_default()
    }

    /// Whether any long work waits.
    pub(super) fn has_long(&self) -> bool {
        self.long_count > 0
    }

    /// How many pairs of team and lane have something waiting.
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

    /// A request that can no longer make its deadline at `now`.
    pub(super) fn expired(&self, now: Moment) -> Option<Ticket> {
        let (expiry, ticket) = self.expiries.first()?;
        (*expiry <= now).then_some(*ticket)
    }

    /// When the next request expires.
    pub(super) fn next_expiry(&self) -> Option<Moment> {
        self.expiries.first().map(|(expiry, _)| *expiry)
    }

    /// The tickets of all that wait and match.
    pub(super) fn matching(&self, test: impl Fn(&Arrival) -> bool) -> Vec<Ticket> {
        let hits = self.waiting.values().filter(|w| test(&w.arrival));
        hits.map(|w| w.arrival.ticket).collect()
    }
}
