//! Serialises the prefill of long prompts at a replica.

use std::collections::BTreeMap;

use crate::ids::ReplicaName;
use crate::ids::VmName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::fleet::PrefillSpeed;
use crate::serving::path::types::Rank;

/// Minimum tokens of a prompt that waits for its turn: an engine prefills
/// shorter ones within a few steps.
pub(in crate::serving) const LONG_PROMPT_TOKENS: u64 = 3_000;

/// Maximum tokens that are prefilled at a time, unless one prompt is longer.
const MAX_CONCURRENT_TOKENS: u64 = 6_000;

/// Gap after a prefill, in which the streams of the replica get their next
/// events: about eight engine steps.
const GAP: Span = Span::from_millis(30);

/// Maximum time that a prompt waits for its turn. After it the prompt is sent
/// without one, as it would miss its objective.
pub const MAX_TURN_WAIT: Span = Span::from_millis(600);

/// Time after which a turn whose end message was lost is over, as a multiple of the
/// time in which the engine prefills the prompt.
const TIMEOUT_FACTOR: f64 = 2.0;

/// Constant part of that time.
const TIMEOUT_BASE: Span = Span::from_millis(150);

/// One turn in this many goes to the prompt that has waited longest, whatever its rank.
/// Otherwise prompts of the last rank never get a turn while those of the first ranks alone
/// fill the replica.
const OLDEST_EVERY: u64 = 4;

/// Identifies a request for a turn.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TurnId {
    /// The VM that asks.
    pub vm: VmName,
    /// The run's number, unique within the VM.
    pub number: u64,
}

/// A prompt that waits for its turn or is being prefilled.
#[derive(Debug)]
struct Turn {
    id: TurnId,
    rank: Rank,
    tokens: u64,
    /// While it waits: when it is dropped; during prefill: when it times out.
    until: Moment,
}

#[derive(Debug, Default)]
struct ReplicaQueue {
    active: Vec<Turn>,
    /// In order of arrival.
    waiting: Vec<Turn>,
    /// Number of turns granted.
    granted: u64,
    /// End of the gap after the last prefill.
    free_from: Moment,
}

/// Prefill turns at the replicas that this VM owns.
///
/// Streams share an engine with long prompts. One prefill stalls them for less
/// than their callers allow, two in a row for longer; a short gap between two
/// prompts gives every stream its next event. Turns are granted by the replica's
/// owner, as load reports are older than a prefill takes; without an owner
/// prompts are sent without turns.
///
/// While prompts arrive faster than they are prefilled, the more urgent ones go first, as
/// the wait for a turn is most of their objective.
#[derive(Debug, Default)]
pub struct PrefillTurns {
    queues: BTreeMap<ReplicaName, ReplicaQueue>,
}

impl PrefillTurns {
    /// Queues a prompt of `tokens` tokens.
    ///
    /// ```
    /// use banyangauge::pool::Moment;
    /// use banyangauge::serving::{PrefillSpeed, PrefillTurns, Rank, TurnId};
    /// let (mut turns, replica) = (PrefillTurns::default(), "i-1".parse().unwrap());
    /// for (number, route) in [(1, 7), (2, 0)] {
    ///     let id = TurnId { vm: "vm-1".parse().unwrap(), number };
    ///     let rank = Rank { organisation: 0, route };
    ///     turns.request(Moment(0), &replica, id, rank, 9_000);
    /// }
    /// let first = turns.take_grants(Moment(0), |_| PrefillSpeed::default());
    /// assert_eq!(first[0].1.number, 2);
    /// ```
    pub fn request(
        &mut self,
        now: Moment,
        replica: &ReplicaName,
        id: TurnId,
        rank: Rank,
        tokens: u64,
    ) {
        let queue = self.queues.entry(replica.clone()).or_default();
        queue.waiting.push(Turn {
            id,
            rank,
            tokens,
            until: now.after(MAX_TURN_WAIT),
        });
    }

    /// Ends a turn or a wait: the prompt was prefilled, or the request is gone.
    pub fn finish(&mut self, now: Moment, replica: &ReplicaName, id: &TurnId) {
        let Some(queue) = self.queues.get_mut(replica) else {
            return;
        };
        queue.waiting.retain(|t| t.id != *id);
        let before = queue.active.len();
        queue.active.retain(|t| t.id != *id);
        if queue.active.len() < before {
            queue.free_from = now.after(GAP);
        }
    }

    /// Returns the turns that begin now; each is returned once. `speed_of` returns the
    /// prefill speed of a replica, on which the timeout of a turn depends.
    pub fn take_grants(
        &mut self,
        now: Moment,
        speed_of: impl Fn(&ReplicaName) -> PrefillSpeed,
    ) -> Vec<(ReplicaName, TurnId)> {
        let mut grants = Vec::new();
        for (name, queue) in &mut self.queues {
            queue.active.retain(|t| t.until > now);
            queue.waiting.retain(|t| t.until > now);
            while let Some(turn) = queue.start_next(now, speed_of(name)) {
                grants.push((name.clone(), turn));
            }
        }
        self.queues
            .retain(|_, q| !q.active.is_empty() || !q.waiting.is_empty() || q.free_from > now);
        grants
    }

    /// Returns when [`PrefillTurns::take_grants`] should be called again if
    /// nothing else happens.
    pub fn next_wake(&self) -> Option<Moment> {
        let queues = self.queues.values().filter(|q| !q.waiting.is_empty());
        let timeout = |q: &ReplicaQueue| q.active.iter().map(|t| t.until).min();
        queues.map(|q| timeout(q).unwrap_or(q.free_from)).min()
    }
}

impl ReplicaQueue {
    /// Returns the position of the waiting turn that is next: by rank, then by arrival.
    fn next_index(&self) -> Option<usize> {
        if self.granted % OLDEST_EVERY == OLDEST_EVERY - 1 {
            return (!self.waiting.is_empty()).then_some(0);
        }
        let ranks = self.waiting.iter().enumerate();
        let first = ranks.min_by_key(|(index, turn)| (turn.rank, *index));
        first.map(|(index, _)| index)
    }

    /// Starts the next waiting turn, if it may begin now. The ones after it wait as well, so
    /// that a large prompt is not overtaken by small ones for ever.
    fn start_next(&mut self, now: Moment, speed: PrefillSpeed) -> Option<TurnId> {
        let index = self.next_index()?;
        let first = self.waiting.get(index)?;
        let active: u64 = self.active.iter().map(|t| t.tokens).sum();
        let may_start = match self.active.is_empty() {
            true => self.free_from <= now,
            false => active + first.tokens <= MAX_CONCURRENT_TOKENS,
        };
        if !may_start {
            return None;
        }
        let mut turn = self.waiting.remove(index);
        self.granted += 1;
        let timeout_us = speed.prefill_ms(turn.tokens) * TIMEOUT_FACTOR * 1e3;
        turn.until = now.after(TIMEOUT_BASE).after(Span(timeout_us as u64));
        let id = turn.id.clone();
        self.active.push(turn);
        Some(id)
    }
}
