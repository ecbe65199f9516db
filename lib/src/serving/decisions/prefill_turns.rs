//! Whose long prompt a replica reads next.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::ids::ReplicaName;
use crate::ids::VmName;
use crate::pool::Moment;
use crate::pool::Span;

/// A prompt from this length on waits for its turn: an engine reads shorter
/// ones within a few steps.
pub(in crate::serving) const LONG_PROMPT_TOKENS: u64 = 3_000;

/// Tokens that are read at a time, at the most, unless one prompt is longer.
const READ_AT_ONCE: u64 = 6_000;

/// The pause after a prompt was read, in which the streams of the replica get
/// their next events: some eight steps of an engine.
const PAUSE: Span = Span::from_millis(30);

/// How long a prompt waits for its turn at the most: later it would miss its
/// objective, and is sent all the same.
pub const MAX_TURN_WAIT: Span = Span::from_millis(600);

/// Microseconds for a token after which a turn is over whose end was lost:
/// twice what an engine takes.
const LOST_A_TOKEN: u64 = 50;

/// The same, before the first token.
const LOST_AFTER: u64 = 150_000;

/// One request for a turn.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TurnId {
    /// Who asks.
    pub vm: VmName,
    /// Its number for the run.
    pub number: u64,
}

#[derive(Debug)]
struct Turn {
    id: TurnId,
    tokens: u64,
    /// While it waits: when it is given up; while it reads: when it is lost.
    until: Moment,
}

#[derive(Debug, Default)]
struct Desk {
    reading: Vec<Turn>,
    waiting: VecDeque<Turn>,
    free_from: Moment,
}

/// The turns at the replicas that this VM owns.
///
/// Made for streams that share an engine with long prompts. One prompt pauses
/// them for less than their callers allow, two behind each other do not; a
/// short pause between two prompts gives every stream its next event. Turns
/// are given by the replica's owner, as the VMs' pictures of a replica are
/// older than a prompt takes; without an owner prompts are sent as they come.
#[derive(Debug, Default)]
pub struct PrefillTurns {
    desks: BTreeMap<ReplicaName, Desk>,
}

impl PrefillTurns {
    /// A prompt of `tokens` is to be read.
    pub fn request(&mut self, now: Moment, replica: &ReplicaName, id: TurnId, tokens: u64) {
        let desk = self.desks.entry(replica.clone()).or_default();
        desk.waiting.push_back(Turn {
            id,
            tokens,
            until: now.after(MAX_TURN_WAIT),
        });
    }

    /// It was read, or is wanted no more.
    pub fn finish(&mut self, now: Moment, replica: &ReplicaName, id: &TurnId) {
        let Some(desk) = self.desks.get_mut(replica) else {
            return;
        };
        desk.waiting.retain(|t| t.id != *id);
        let before = desk.reading.len();
        desk.reading.retain(|t| t.id != *id);
        if desk.reading.len() < before {
            desk.free_from = now.after(PAUSE);
        }
    }

    /// Whose turn it is now; each is told once.
    pub fn take_grants(&mut self, now: Moment) -> Vec<(ReplicaName, TurnId)> {
        let mut grants = Vec::new();
        for (name, desk) in &mut self.desks {
            desk.reading.retain(|t| t.until > now);
            desk.waiting.retain(|t| t.until > now);
            while let Some(turn) = desk.next(now) {
                grants.push((name.clone(), turn));
            }
        }
        self.desks
            .retain(|_, d| !d.reading.is_empty() || !d.waiting.is_empty() || d.free_from > now);
        grants
    }

    /// When [`PrefillTurns::take_grants`] is worth asking again without news.
    pub fn next_wake(&self) -> Option<Moment> {
        let desks = self.desks.values().filter(|d| !d.waiting.is_empty());
        let lost = |d: &Desk| d.reading.iter().map(|t| t.until).min();
        desks.map(|d| lost(d).unwrap_or(d.free_from)).min()
    }
}

impl Desk {
    fn next(&mut self, now: Moment) -> Option<TurnId> {
        let first = self.waiting.front()?;
        let reading: u64 = self.reading.iter().map(|t| t.tokens).sum();
        let room = match self.reading.is_empty() {
            true => self.free_from <= now,
            false => reading + first.tokens <= READ_AT_ONCE,
        };
        if !room {
            return None;
        }
        let mut turn = self.waiting.pop_front()?;
        turn.until = now.after(Span(LOST_AFTER + turn.tokens * LOST_A_TOKEN));
        let id = turn.id.clone();
        self.reading.push(turn);
        Some(id)
    }
}
