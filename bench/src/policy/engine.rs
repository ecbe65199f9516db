//! A fake engine: continuous batching, one token a request a step.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use banyangauge::ids::AdapterVersion;
use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::pool::Ticket;

use super::deployment::Engines;

/// The part of a prompt's work that is left when its head is cached.
const CACHED: f64 = 0.2;

#[derive(Clone, Debug)]
struct Run {
    ticket: Ticket,
    left: u32,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its present start.
    pub incarnation: u64,
    /// False while it restarts.
    pub up: bool,
    /// How many times slower than usual it is.
    pub slow: f64,
    /// What is in its slots, and since when.
    pub loaded: BTreeMap<AdapterVersion, Moment>,
    /// Steps so far.
    pub steps: u64,
    /// Requests in these steps.
    pub filled: u64,
    size: Engines,
    step: u64,
    running: Vec<Run>,
    waiting: BTreeMap<(i32, u64), (Run, u32, u64)>,
    serial: u64,
    busy: bool,
    heads: VecDeque<u64>,
}

impl Engine {
    /// An idle engine with empty slots.
    pub fn new(size: &Engines, step: u64) -> Self {
        Self {
            incarnation: 1,
            up: true,
            slow: 1.0,
            loaded: BTreeMap::new(),
            steps: 0,
            filled: 0,
            size: size.clone(),
            step,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            serial: 0,
            busy: false,
            heads: VecDeque::new(),
        }
    }

    /// Requests in its batch and waiting in it.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Whether no step is under way.
    pub fn idle(&self) -> bool {
        !self.busy
    }

    /// Takes a request in; lower priorities go first.
    pub fn take(&mut self, ticket: Ticket, priority: i32, tokens: u32, prompt: u32, head: u64) {
        self.serial += 1;
        let run = Run {
            ticket,
            left: tokens,
        };
        self.waiting
            .insert((priority, self.serial), (run, prompt, head));
    }

    /// Begins a step; gives its length, or nothing when there is no work.
    pub fn begin(&mut self, counted: bool) -> Option<Span> {
        let mut prefill = 0.0;
        while self.running.len() < self.size.batch as usize
            && let Some((_, (run, prompt, head))) = self.waiting.pop_first()
        {
            self.running.push(run);
            prefill += f64::from(prompt) * self.size.prefill * self.remember(head);
        }
        let n = self.running.len() as u64;
        self.busy = n > 0;
        if n == 0 {
            return None;
        }
        self.steps += u64::from(counted);
        self.filled += n * u64::from(counted);
        let time = (self.step + self.size.growth * (n - 1)) as f64 + prefill;
        Some(Span((time * self.slow) as u64))
    }

    /// Ends a step; gives the requests that have all their tokens.
    pub fn end(&mut self) -> Vec<Ticket> {
        self.busy = false;
        let mut done = Vec::new();
        self.running.retain_mut(|run| {
            run.left -= 1;
            if run.left == 0 {
                done.push(run.ticket);
            }
            run.left > 0
        });
        done
    }

    /// Stops at once; gives all requests that it had.
    pub fn crash(&mut self) -> BTreeSet<Ticket> {
        self.up = false;
        self.busy = false;
        self.incarnation += 1;
        self.loaded.clear();
        self.heads.clear();
        let running = std::mem::take(&mut self.running).into_iter();
        let waiting = std::mem::take(&mut self.waiting).into_values();
        let all = running.chain(waiting.map(|(run, _, _)| run));
        all.map(|run| run.ticket).collect()
    }

    /// The part of a prompt's work that is to be done, least recently used
    /// heads forgotten first.
    fn remember(&mut self, head: u64) -> f64 {
        let known = self.heads.iter().position(|h| *h == head);
        if let Some(i) = known {
            self.heads.remove(i);
        }
        self.heads.push_back(head);
        if self.heads.len() > self.size.cache {
            self.heads.pop_front();
        }
        if known.is_some() { CACHED } else { 1.0 }
    }
}
