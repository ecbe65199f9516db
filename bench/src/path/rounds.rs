//! Closed-loop turns against either side.

use std::time::Duration;

use hdrhistogram::Histogram;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::HOT;
use super::PathError;
use super::programs::KEY;
use crate::load::client::Caller;
use crate::load::client::Verdict;
use crate::load::profile::Work;

/// Deadline of each request; far above what any may take here.
const DEADLINE_MS: u64 = 10_000;

/// The longest latency that is told apart, in microseconds.
const LATENCY_MOST_US: u64 = 10_000_000;

/// How often a hot adapter is asked for until it answers.
const WARM_TRIES: u32 = 600;

/// What one side did, in one turn or in all.
#[derive(Clone, Debug)]
pub(super) struct Side {
    latency: Histogram<u64>,
    spent: Duration,
}

impl Side {
    fn new() -> Self {
        #[expect(clippy::unwrap_used, reason = "constant arguments")]
        let latency = Histogram::new_with_bounds(1, LATENCY_MOST_US, 3).unwrap();
        Self {
            latency,
            spent: Duration::ZERO,
        }
    }

    fn add(&mut self, turn: &Self) {
        // Both have the same bounds.
        let _ = self.latency.add(&turn.latency);
        self.spent += turn.spent;
    }

    pub(super) fn answered(&self) -> u64 {
        self.latency.len()
    }

    /// Answers a second.
    pub(super) fn rps(&self) -> f64 {
        self.answered() as f64 / self.spent.as_secs_f64().max(f64::EPSILON)
    }

    /// A percentile of the latency, in microseconds.
    pub(super) fn us(&self, percentile: f64) -> u64 {
        self.latency.value_at_percentile(percentile)
    }
}

/// Turns of both sides with one number of callers.
#[derive(Debug)]
pub(super) struct Rounds {
    rng: ChaCha8Rng,
    callers: usize,
    /// Direct and entry of each round.
    turns: Vec<(Side, Side)>,
}

impl Rounds {
    pub(super) fn new(seed: u64, callers: usize) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            callers,
            turns: Vec::new(),
        }
    }

    /// One turn of each side with the same requests; who goes first changes.
    pub(super) async fn take_turns(
        &mut self,
        direct: &Caller,
        entry: &Caller,
        turn: Duration,
    ) -> Result<(), PathError> {
        let seed = self.rng.random();
        let turns = match self.turns.len() % 2 {
            0 => {
                let first = take_turn(direct, self.callers, seed, turn).await?;
                (first, take_turn(entry, self.callers, seed, turn).await?)
            }
            _ => {
                let first = take_turn(entry, self.callers, seed, turn).await?;
                (take_turn(direct, self.callers, seed, turn).await?, first)
            }
        };
        self.turns.push(turns);
        Ok(())
    }

    /// All turns together: direct, entry.
    pub(super) fn sum(&self) -> (Side, Side) {
        let mut sum = (Side::new(), Side::new());
        for (direct, entry) in &self.turns {
            sum.0.add(direct);
            sum.1.add(entry);
        }
        sum
    }

    /// How much more a percentile is through the entry, in microseconds: the
    /// median of the rounds, so that what else the machine did in some of them
    /// counts little.
    pub(super) fn added_us(&self, percentile: f64) -> f64 {
        let added = |(d, e): &(Side, Side)| e.us(percentile) as f64 - d.us(percentile) as f64;
        median(self.turns.iter().map(added).collect())
    }

    /// The entry's rate as a share of the direct rate; the median of the rounds.
    pub(super) fn ratio(&self) -> f64 {
        median(self.turns.iter().map(|(d, e)| e.rps() / d.rps()).collect())
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Asks for each hot adapter until it is loaded and answers.
pub(super) async fn warm(entry: &Caller, hot: usize) -> Result<(), PathError> {
    for adapter in 0..hot {
        let work = question(adapter, 0);
        let mut last = Verdict::Lost("not tried".to_owned());
        for _ in 0..WARM_TRIES {
            last = entry.send(&work, KEY, DEADLINE_MS).await.0;
            if last == Verdict::Answered {
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        if last != Verdict::Answered {
            return Err(PathError::Ready(format!("adapter {adapter}: {last:?}")));
        }
    }
    Ok(())
}

async fn take_turn(
    caller: &Caller,
    callers: usize,
    seed: u64,
    turn: Duration,
) -> Result<Side, PathError> {
    let mut side = Side::new();
    let mut tasks = JoinSet::new();
    let start = Instant::now();
    for number in 0..callers {
        let rng = ChaCha8Rng::seed_from_u64(seed.wrapping_add(number as u64));
        tasks.spawn(ask_until(caller.clone(), rng, start + turn));
    }
    while let Some(ended) = tasks.join_next().await {
        let spans = ended.map_err(|e| PathError::Answer(e.to_string()))??;
        for us in spans {
            side.latency.saturating_record(us);
        }
    }
    side.spent = start.elapsed();
    Ok(side)
}

/// Asks one question after another; gives their latencies in microseconds.
async fn ask_until(
    caller: Caller,
    mut rng: ChaCha8Rng,
    end: Instant,
) -> Result<Vec<u64>, PathError> {
    let mut spans = Vec::new();
    while Instant::now() < end {
        let work = question(rng.random_range(0..HOT), rng.random());
        let sent = Instant::now();
        match caller.send(&work, KEY, DEADLINE_MS).await.0 {
            Verdict::Answered => spans.push(sent.elapsed().as_micros() as u64),
            other => return Err(PathError::Answer(format!("{other:?}"))),
        }
    }
    Ok(spans)
}

fn question(adapter: usize, number: u32) -> Work {
    Work::Completion {
        chat: false,
        model: format!("adapter-{adapter:05}@1"),
        prompt: format!("Which machine is free for house {number}? len=8"),
        most: 16,
        stream: false,
        long: false,
    }
}
