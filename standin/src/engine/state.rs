//! Slots, batch and jobs of an engine, changed by plain functions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use tokio::sync::watch;
use tokio::time::Instant;

use super::EngineArgs;
use super::cache::PrefixCache;
use crate::history::Execution;
use crate::history::History;
use crate::http;

/// How long a stream without a reader is kept for a resume.
const KEPT: Duration = Duration::from_secs(5);

/// Requests that may wait in the engine.
const WAITING_MOST: usize = 256;

/// Prompt tokens that one step reads when the prefix cache does not help.
const PREFILL_TOKENS: u32 = 512;

/// Switches of an engine; counters fall by one with each use.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct Faults {
    /// Restart empty, now.
    pub(super) restart: bool,
    /// Crash when a request with this in its prompt runs; empty is off.
    pub(super) crash_on: String,
    /// Stand still for so long, from now.
    pub(super) freeze_ms: u64,
    /// Close the connection of the next so many requests in the answer.
    pub(super) drop_next: u32,
    /// After how many tokens `drop_next` closes.
    pub(super) drop_after: u32,
    /// Run the next so many requests, then close without a byte.
    pub(super) drop_before: u32,
    /// Lengthen each step by this factor; 0 is off.
    pub(super) slow_factor: f64,
    /// Fail the next so many loads.
    pub(super) fail_loads: u32,
    /// Take no new work.
    pub(super) leaving: bool,
    /// Answer the next so many requests as if they were another.
    pub(super) cross_next: u32,
    /// Hold each answer back for so long.
    pub(super) late_ms: u64,
}

/// A load report.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Report {
    pub(super) incarnation: u64,
    pub(super) age_ms: u64,
    running: usize,
    waiting: usize,
    slots: usize,
    batch: usize,
    loaded: Vec<String>,
    pub(super) leaving: bool,
    steps: u64,
    step_requests: u64,
}

/// How far a job is, for the reader of its answer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    /// Tokens there are.
    pub(super) done: u32,
    /// Whether there will be no more.
    pub(super) whole: bool,
}

/// What a job is; also what KV export carries.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct JobSpec {
    pub(super) request: String,
    pub(super) call: String,
    pub(super) model: String,
    pub(super) priority: i32,
    pub(super) hash: u64,
    pub(super) total: u32,
    pub(super) prompt_tokens: u32,
    pub(super) prefix: u64,
    pub(super) crashes: bool,
    pub(super) done: u32,
}

#[derive(Debug)]
struct Job {
    spec: JobSpec,
    /// Steps until the prompt is read.
    prefill: u32,
    progress: watch::Sender<Progress>,
    readers: u32,
    /// Since when nobody reads it.
    left: Option<Instant>,
    /// Its number in the history.
    entry: u64,
}

/// The reader's side of a job.
#[derive(Debug)]
pub(super) struct Reading {
    pub(super) job: u64,
    pub(super) spec: JobSpec,
    pub(super) progress: watch::Receiver<Progress>,
    pub(super) incarnation: u64,
}

/// The batch of one step.
#[derive(Clone, Copy, Debug)]
pub(super) struct Batch {
    pub(super) size: usize,
    pub(super) slow: f64,
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum NotRun {
    /// Its adapter is not in a slot.
    NotLoaded,
    /// Too many wait.
    Full,
    /// The engine is leaving.
    Leaving,
}

/// Everything an engine knows.
#[derive(Debug)]
pub(super) struct State {
    pub(super) incarnation: u64,
    pub(super) loaded: BTreeSet<String>,
    pub(super) loading: BTreeSet<String>,
    /// The highest fencing token seen; a restart forgets it, as all else.
    pub(super) token: u64,
    pub(super) faults: Faults,
    pub(super) frozen: Option<Instant>,
    pub(super) history: History,
    pub(super) cache: PrefixCache,
    slots: usize,
    batch: usize,
    jobs: BTreeMap<u64, Job>,
    by_request: BTreeMap<String, u64>,
    /// Priority first, then order of arrival.
    waiting: BTreeSet<(i32, u64)>,
    running: Vec<u64>,
    next_job: u64,
    steps: u64,
    step_requests: u64,
}

impl State {
    pub(super) fn new(args: &EngineArgs, incarnation: u64) -> Self {
        Self {
            incarnation,
            loaded: BTreeSet::new(),
            loading: BTreeSet::new(),
            token: 0,
            faults: Faults::default(),
            frozen: None,
            history: History::default(),
            cache: PrefixCache::new(args.seed),
            slots: args.slots,
            batch: args.batch,
            jobs: BTreeMap::new(),
            by_request: BTreeMap::new(),
            waiting: BTreeSet::new(),
            running: Vec::new(),
            next_job: 0,
            steps: 0,
            step_requests: 0,
        }
    }

    /// Sets switches; tells also whether a restart is asked for.
    pub(super) fn set_faults(&mut self, change: Value) -> Result<(Value, bool), String> {
        let set = http::set_faults(&mut self.faults, change)?;
        let freeze = std::mem::take(&mut self.faults.freeze_ms);
        if freeze > 0 {
            self.frozen = Some(Instant::now() + Duration::from_millis(freeze));
        }
        Ok((set, std::mem::take(&mut self.faults.restart)))
    }

    /// Drops everything but history and switches.
    pub(super) fn restart(&mut self, outcome: &'static str) {
        for (_, job) in std::mem::take(&mut self.jobs) {
            if !job.progress.borrow().whole {
                self.history.end(job.entry, outcome, job.spec.done);
            }
        }
        self.by_request.clear();
        self.waiting.clear();
        self.running.clear();
        self.loaded.clear();
        self.loading.clear();
        self.cache.clear();
        self.token = 0;
        self.incarnation += 1;
    }

    pub(super) fn report(&self) -> Report {
        Report {
            incarnation: self.incarnation,
            age_ms: 0,
            running: self.running.len(),
            waiting: self.waiting.len(),
            slots: self.slots,
            batch: self.batch,
            loaded: self.loaded.iter().cloned().collect(),
            leaving: self.faults.leaving,
            steps: self.steps,
            step_requests: self.step_requests,
        }
    }

    /// Takes a slot for a load; false when there is none.
    pub(super) fn reserve_slot(&mut self, model: &str) -> bool {
        if self.loaded.len() + self.loading.len() >= self.slots {
            return false;
        }
        self.loading.insert(model.to_owned())
    }

    /// Admits a request to the queue.
    pub(super) fn admit(&mut self, spec: JobSpec, key: &str) -> Result<Reading, NotRun> {
        if self.faults.leaving {
            return Err(NotRun::Leaving);
        }
        if !self.loaded.contains(&spec.model) {
            return Err(NotRun::NotLoaded);
        }
        if self.waiting.len() >= WAITING_MOST {
            return Err(NotRun::Full);
        }
        let number = self.next_job;
        self.next_job += 1;
        let entry = self.history.begin(Execution {
            request: spec.request.clone(),
            model: spec.model.clone(),
            call: spec.call.clone(),
            key: key.to_owned(),
            incarnation: self.incarnation,
            ..Execution::default()
        });
        let prefill = match self.cache.touch(spec.prefix) {
            true => 0,
            false => spec.prompt_tokens / PREFILL_TOKENS,
        };
        let done = spec.done;
        let (progress, reader) = watch::channel(Progress { done, whole: false });
        self.waiting.insert((spec.priority, number));
        self.by_request.insert(spec.request.clone(), number);
        self.jobs.insert(
            number,
            Job {
                spec: spec.clone(),
                prefill,
                progress,
                readers: 1,
                left: None,
                entry,
            },
        );
        Ok(Reading {
            job: number,
            spec,
            progress: reader,
            incarnation: self.incarnation,
        })
    }

    /// Attaches another reader to a kept request.
    pub(super) fn resume(&mut self, request: &str) -> Option<Reading> {
        let number = *self.by_request.get(request)?;
        let job = self.jobs.get_mut(&number)?;
        job.readers += 1;
        job.left = None;
        Some(Reading {
            job: number,
            spec: job.spec.clone(),
            progress: job.progress.subscribe(),
            incarnation: self.incarnation,
        })
    }

    /// A reader went away, with or without the whole answer.
    pub(super) fn leave(&mut self, number: u64, incarnation: u64) {
        if incarnation != self.incarnation {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&number) {
            job.readers -= 1;
            if job.readers == 0 {
                job.left = Some(Instant::now());
            }
        }
    }

    /// Forgets what nobody has read for long; what still runs is cancelled.
    pub(super) fn forget_left(&mut self, now: Instant) {
        let old = |job: &Job| job.left.is_some_and(|t| t + KEPT <= now);
        let numbers: Vec<u64> = self
            .jobs
            .iter()
            .filter(|(_, job)| old(job))
            .map(|(n, _)| *n)
            .collect();
        for number in numbers {
            self.remove(number, "cancelled");
        }
    }

    /// Cancels a request by its id; false when there is none.
    pub(super) fn cancel(&mut self, request: &str) -> bool {
        match self.by_request.get(request).copied() {
            Some(number) => self.remove(number, "cancelled"),
            None => false,
        }
    }

    /// The state of a request, as KV export carries it.
    pub(super) fn export(&self, request: &str) -> Option<JobSpec> {
        let number = self.by_request.get(request)?;
        self.jobs.get(number).map(|job| job.spec.clone())
    }

    /// Takes an adapter out of its slot; the requests on it fail.
    pub(super) fn unload(&mut self, model: &str) -> bool {
        if !self.loaded.remove(model) {
            return false;
        }
        let used: Vec<u64> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.spec.model == model && !job.progress.borrow().whole)
            .map(|(n, _)| *n)
            .collect();
        for number in used {
            self.remove(number, "evicted_in_use");
        }
        true
    }

    fn remove(&mut self, number: u64, outcome: &'static str) -> bool {
        let Some(job) = self.jobs.remove(&number) else {
            return false;
        };
        if self.by_request.get(&job.spec.request) == Some(&number) {
            self.by_request.remove(&job.spec.request);
        }
        self.waiting.remove(&(job.spec.priority, number));
        self.running.retain(|n| *n != number);
        if !job.progress.borrow().whole {
            self.history.end(job.entry, outcome, job.spec.done);
        }
        true
    }

    /// Fills the batch from the queue; `None` when there is nothing to run.
    pub(super) fn fill_batch(&mut self) -> Option<Batch> {
        while self.running.len() < self.batch {
            let Some((_, number)) = self.waiting.pop_first() else {
                break;
            };
            self.running.push(number);
        }
        let slow = match self.faults.slow_factor {
            f if f > 0.0 => f,
            _ => 1.0,
        };
        let size = self.running.len();
        (size > 0).then_some(Batch { size, slow })
    }

    /// Ends a step: one token for each request in the batch. True when a
    /// request has crashed the engine.
    pub(super) fn finish_step(&mut self) -> bool {
        self.steps += 1;
        self.step_requests += self.running.len() as u64;
        let mut ended = Vec::new();
        for number in &self.running {
            let Some(job) = self.jobs.get_mut(number) else {
                continue;
            };
            if job.spec.crashes {
                self.history.end(job.entry, "crash", job.spec.done);
                // The restart that follows must not overwrite this outcome.
                job.progress.send_modify(|p| p.whole = true);
                return true;
            }
            if job.prefill > 0 {
                job.prefill -= 1;
                continue;
            }
            job.spec.done += 1;
            let whole = job.spec.done >= job.spec.total;
            if whole {
                self.history.end(job.entry, "answered", job.spec.done);
                ended.push(*number);
            }
            job.progress.send_replace(Progress {
                done: job.spec.done,
                whole,
            });
        }
        self.running.retain(|n| !ended.contains(n));
        false
    }
}
