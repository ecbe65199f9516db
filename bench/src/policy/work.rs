//! The arrivals of a scenario, the same for every policy.

use std::str::FromStr;

use banyangauge::ids::AdapterVersion;
use banyangauge::ids::TeamName;
use banyangauge::pool::Class;
use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::deployment::Deployment;

/// Seconds before anything is counted: the pool starts empty and learns.
pub const WARM_UP: f64 = 240.0;
/// Seconds that are counted.
pub const COUNTED: f64 = 240.0;
/// Seconds between two shifts of popularity, and how many of the most popular
/// adapters change places with quiet ones at each.
const SHIFT_EVERY: f64 = 80.0;
const SHIFTED: usize = 24;
/// A burst: one team's requests come so many times as often, for so many
/// seconds of each period of so many.
const BURST_FACTOR: f64 = 12.0;
const BURST_FOR: f64 = 15.0;
const BURST_EVERY: f64 = 60.0;
/// Prompt heads of an adapter.
const HEADS: u64 = 3;

/// What is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// Nothing changes.
    Steady,
    /// Popularity shifts without warning.
    Shift,
    /// One team sends bursts.
    Burst,
    /// One engine is slow.
    Slow,
    /// More long work.
    Mixed,
    /// More than the engines can do.
    Saturated,
    /// Engines restart empty, one after the other.
    Restart,
}

impl Scenario {
    /// All of them.
    pub const ALL: [Self; 7] = [
        Self::Steady,
        Self::Shift,
        Self::Burst,
        Self::Slow,
        Self::Mixed,
        Self::Saturated,
        Self::Restart,
    ];

    /// Its name on the command line.
    pub fn word(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Shift => "shift",
            Self::Burst => "burst",
            Self::Slow => "slow",
            Self::Mixed => "mixed",
            Self::Saturated => "saturated",
            Self::Restart => "restart",
        }
    }
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|x| x.word() == s);
        found.ok_or_else(|| format!("no scenario {s:?}"))
    }
}

/// One request, with what only its engine knows.
#[derive(Clone, Debug)]
pub struct Job {
    /// When it comes.
    pub at: Moment,
    /// Who pays.
    pub team: usize,
    /// Which adapter.
    pub adapter: usize,
    /// Interactive or long.
    pub class: Class,
    /// When its caller gives up.
    pub deadline: Moment,
    /// Tokens of its prompt.
    pub prompt: u32,
    /// Tokens that it will generate.
    pub tokens: u32,
    /// The most that its caller allows.
    pub limit: u32,
    /// Its prompt's head.
    pub prefix: u64,
}

/// The arrivals of one scenario and seed.
#[derive(Clone, Debug)]
pub struct Jobs {
    /// In the order of their coming.
    pub jobs: Vec<Job>,
    /// Names of the teams.
    pub teams: Vec<TeamName>,
    /// Names of the adapters.
    pub adapters: Vec<AdapterVersion>,
}

struct Maker<'a> {
    d: &'a Deployment,
    scenario: Scenario,
    rng: ChaCha8Rng,
    /// Sums of the popularity by rank.
    sums: Vec<f64>,
    /// Which adapter has which rank.
    ranks: Vec<usize>,
}

impl Jobs {
    /// Makes the arrivals.
    pub fn make(d: &Deployment, scenario: Scenario, seed: u64) -> Self {
        let name = |kind: &str, i: usize| format!("{kind}{i}");
        let teams = (0..d.work.teams).filter_map(|i| name("team", i).parse().ok());
        let adapters = (0..d.work.adapters).filter_map(|i| (name("a", i) + "@1").parse().ok());
        let mut maker = Maker::new(d, scenario, seed);
        Self {
            jobs: maker.jobs(),
            teams: teams.collect(),
            adapters: adapters.collect(),
        }
    }
}

impl<'a> Maker<'a> {
    fn new(d: &'a Deployment, scenario: Scenario, seed: u64) -> Self {
        let mut sum = 0.0;
        let sums = (1..=d.work.adapters)
            .map(|rank| {
                sum += (rank as f64).powf(-d.work.skew);
                sum
            })
            .collect();
        let mut maker = Self {
            d,
            scenario,
            rng: ChaCha8Rng::seed_from_u64(seed),
            sums,
            ranks: (0..d.work.adapters).collect(),
        };
        for i in (1..d.work.adapters).rev() {
            let j = maker.rng.random_range(0..=i);
            maker.ranks.swap(i, j);
        }
        maker
    }

    fn jobs(&mut self) -> Vec<Job> {
        let end = WARM_UP + COUNTED;
        let (short, long) = self.rates();
        let group = self.d.work.group;
        let mut jobs = Vec::new();
        let mut next_short = self.pause(short);
        let mut next_long = self.pause(long / group);
        let mut next_shift = WARM_UP + SHIFT_EVERY / 4.0;
        while next_short.min(next_long) < end {
            let now = next_short.min(next_long);
            if self.scenario == Scenario::Shift && now >= next_shift {
                self.shift();
                next_shift += SHIFT_EVERY;
            }
            if next_short <= next_long {
                self.short_job(now, &mut jobs);
                let pause = self.pause(short);
                next_short += pause;
            } else {
                self.long_jobs(now, &mut jobs);
                let pause = self.pause(long / group);
                next_long += pause;
            }
        }
        jobs.sort_by_key(|j| j.at);
        jobs
    }

    fn rates(&self) -> (f64, f64) {
        let w = &self.d.work;
        match self.scenario {
            Scenario::Mixed => (w.short, w.mixed),
            Scenario::Saturated => (w.saturated[0], w.saturated[1]),
            _ => (w.short, w.long),
        }
    }

    fn pause(&mut self, rate: f64) -> f64 {
        let u: f64 = self.rng.random_range(f64::EPSILON..1.0);
        -u.ln() / rate.max(1e-9)
    }

    fn shift(&mut self) {
        for rank in 0..SHIFTED.min(self.ranks.len()) {
            let other = self.rng.random_range(0..self.ranks.len());
            self.ranks.swap(rank, other);
        }
    }

    fn adapter(&mut self) -> usize {
        let total = self.sums.last().copied().unwrap_or(1.0);
        let x = self.rng.random_range(0.0..total);
        let rank = self.sums.partition_point(|sum| *sum <= x);
        self.ranks[rank.min(self.ranks.len() - 1)]
    }

    fn short_job(&mut self, now: f64, jobs: &mut Vec<Job>) {
        let adapter = self.adapter();
        jobs.push(self.job(now, adapter, Class::Interactive));
        let bursting = self.scenario == Scenario::Burst
            && now >= WARM_UP
            && (now - WARM_UP) % BURST_EVERY < BURST_FOR;
        // The bursting team owns a few adapters like any other.
        if bursting
            && self
                .rng
                .random_bool(BURST_FACTOR / self.d.work.teams as f64 / 4.0)
        {
            for _ in 0..4 {
                let own = self.rng.random_range(0..8) * self.d.work.teams;
                jobs.push(self.job(now, own % self.d.work.adapters, Class::Interactive));
            }
        }
    }

    fn long_jobs(&mut self, now: f64, jobs: &mut Vec<Job>) {
        let adapter = self.adapter();
        let group = self.pause(1.0 / self.d.work.group).ceil() as usize;
        for _ in 0..group.clamp(1, 64) {
            jobs.push(self.job(now, adapter, Class::Long));
        }
    }

    fn job(&mut self, now: f64, adapter: usize, class: Class) -> Job {
        let w = &self.d.work;
        let ([mean, limit], deadline) = match class {
            Class::Long => (w.long_tokens, w.long_deadline),
            _ => (w.short_tokens, w.short_deadline),
        };
        let teams = w.teams;
        let drawn = self.pause(1.0 / f64::from(mean)) * 0.6 + f64::from(mean) * 0.4;
        let at = Moment((now * 1e6) as u64);
        let head = self.rng.random_range(0..HEADS);
        Job {
            at,
            team: adapter % teams,
            adapter,
            class,
            deadline: at.after(Span::from_millis(deadline)),
            prompt: self.rng.random_range(100..600),
            tokens: (drawn as u32).clamp(1, limit),
            limit,
            prefix: 1 + adapter as u64 * HEADS + head,
        }
    }
}
