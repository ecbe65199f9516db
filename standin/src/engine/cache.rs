//! The prefix cache and its late, gappy events.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prompt prefixes that the cache holds.
const PREFIXES_MOST: usize = 256;

/// One in this many cache events is never published.
const EVENT_GAP: u64 = 10;

/// How late cache events are published.
const EVENT_LAG: Duration = Duration::from_millis(300);

/// Cache events that are kept.
const EVENTS_MOST: usize = 4_096;

/// One change of the prefix cache.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct CacheEvent {
    sequence: u64,
    kind: &'static str,
    prefix: u64,
    #[serde(skip)]
    at: Option<Instant>,
}

/// Prefixes of prompts that need no reading, least recently used first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    seed: u64,
    prefixes: VecDeque<u64>,
    events: VecDeque<CacheEvent>,
    sequence: u64,
}

impl PrefixCache {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            seed,
            prefixes: VecDeque::new(),
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Forgets all prefixes, as a restart does; nobody is told.
    pub(super) fn clear(&mut self) {
        self.prefixes.clear();
    }

    /// Notes the use of a prefix; true when it was cached.
    pub(super) fn touch(&mut self, prefix: u64) -> bool {
        let place = self.prefixes.iter().position(|p| *p == prefix);
        if let Some(place) = place {
            self.prefixes.remove(place);
            self.prefixes.push_back(prefix);
            return true;
        }
        self.publish("stored", prefix);
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > PREFIXES_MOST
            && let Some(old) = self.prefixes.pop_front()
        {
            self.publish("evicted", old);
        }
        false
    }

    fn publish(&mut self, kind: &'static str, prefix: u64) {
        self.sequence += 1;
        let dice = xxh3_64_with_seed(&self.sequence.to_le_bytes(), self.seed);
        if dice.is_multiple_of(EVENT_GAP) {
            return;
        }
        self.events.push_back(CacheEvent {
            sequence: self.sequence,
            kind,
            prefix,
            at: Some(Instant::now()),
        });
        if self.events.len() > EVENTS_MOST {
            self.events.pop_front();
        }
    }

    /// Cache events after a sequence number, as far as they are published.
    pub(super) fn events_after(&self, after: u64) -> Vec<CacheEvent> {
        let now = Instant::now();
        self.events
            .iter()
            .filter(|e| e.sequence > after && e.at.is_none_or(|t| t + EVENT_LAG <= now))
            .copied()
            .collect()
    }
}
