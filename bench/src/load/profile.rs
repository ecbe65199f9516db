//! What the deployments' callers send.

use std::str::FromStr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::LoadArgs;

/// A deployment's kind of load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Profile {
    /// Quick questions, notices, booking calls.
    Tavuki,
    /// Long readings, counters, case lookups.
    Rezago,
}

impl FromStr for Profile {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "tavuki" => Ok(Self::Tavuki),
            "rezago" => Ok(Self::Rezago),
            other => Err(format!("{other:?}, allowed are tavuki and rezago")),
        }
    }
}

/// One kind of request within a profile, and its share.
#[derive(Clone, Copy, Debug)]
struct Share {
    /// Share of all requests.
    part: f64,
    kind: Kind,
}

#[derive(Clone, Copy, Debug)]
enum Kind {
    /// A completion of so many tokens, at least and at most.
    Completion { tokens: (u32, u32), long: bool },
    /// A call that may be repeated.
    Read(&'static str),
    /// A call that must run at most once.
    Once(&'static str),
}

/// Tavuki: mostly people at the machines.
const TAVUKI: [Share; 4] = [
    Share {
        part: 0.55,
        kind: Kind::Completion {
            tokens: (8, 48),
            long: false,
        },
    },
    Share {
        part: 0.10,
        kind: Kind::Completion {
            tokens: (120, 320),
            long: true,
        },
    },
    Share {
        part: 0.20,
        kind: Kind::Read("/booking/slots"),
    },
    Share {
        part: 0.15,
        kind: Kind::Once("/booking/confirm"),
    },
];

/// Rezago: long readings beside counters and lookups.
const REZAGO: [Share; 4] = [
    Share {
        part: 0.30,
        kind: Kind::Completion {
            tokens: (250, 700),
            long: true,
        },
    },
    Share {
        part: 0.30,
        kind: Kind::Completion {
            tokens: (8, 40),
            long: false,
        },
    },
    Share {
        part: 0.25,
        kind: Kind::Read("/cases/lookup"),
    },
    Share {
        part: 0.15,
        kind: Kind::Once("/cases/open"),
    },
];

/// What one request asks for.
#[derive(Clone, Debug)]
pub enum Work {
    /// A completion by an adapter.
    Completion {
        /// Chat form rather than prompt form.
        chat: bool,
        /// `adapter@version`, or `adapter` for the version in force.
        model: String,
        /// The prompt.
        prompt: String,
        /// `max_tokens`.
        most: u32,
        /// As server-sent events.
        stream: bool,
        /// Of class `long`.
        long: bool,
    },
    /// A call to a plain service.
    Call {
        /// Its method.
        method: &'static str,
        /// Its path.
        path: String,
        /// Its body.
        body: String,
        /// Its `Idempotency-Key`, when it must run at most once.
        once: Option<String>,
    },
}

impl Work {
    /// Whether it is of class `long`.
    pub fn is_long(&self) -> bool {
        matches!(self, Self::Completion { long: true, .. })
    }

    /// The name of its kind in reports.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Completion { long: true, .. } => "long",
            Self::Completion { .. } => "interactive",
            Self::Call { once: Some(_), .. } => "once",
            Self::Call { .. } => "read",
        }
    }
}

/// A request and when it is due.
#[derive(Clone, Debug)]
pub struct Planned {
    /// After the start.
    pub at: Duration,
    /// Which entry gets it.
    pub entry: usize,
    /// The bearer key; empty is none.
    pub key: String,
    /// What it asks for.
    pub work: Work,
}

/// The endless, seeded sequence of requests.
#[derive(Debug)]
pub struct Requests {
    rng: ChaCha8Rng,
    shares: &'static [Share],
    rate: f64,
    at: f64,
    count: u64,
    seed: u64,
    entries: usize,
    keys: Vec<String>,
    prefix: String,
    /// Cumulative popularity of the adapters.
    popularity: Vec<f64>,
}

impl Requests {
    /// The requests of a load run.
    pub fn new(args: &LoadArgs) -> Self {
        let shares: &[Share] = match args.profile {
            Profile::Tavuki => &TAVUKI,
            Profile::Rezago => &REZAGO,
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(args.seed),
            shares,
            rate: args.rate,
            at: 0.0,
            count: 0,
            seed: args.seed,
            entries: args.entries.0.len(),
            keys: args.key.clone(),
            prefix: args.prefix.clone(),
            popularity: zipf(args.adapters, args.skew),
        }
    }

    /// The next request; arrivals are Poisson.
    #[expect(clippy::should_implement_trait, reason = "it never ends")]
    pub fn next(&mut self) -> Planned {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.rate;
        self.at += gap;
        self.count += 1;
        let number = self.count as usize;
        let key = match self.keys.len() {
            0 => String::new(),
            n => self.keys[number % n].clone(),
        };
        Planned {
            at: Duration::from_secs_f64(self.at),
            entry: self.rng.random_range(0..self.entries),
            key,
            work: self.work(),
        }
    }

    fn work(&mut self) -> Work {
        let mut dice: f64 = self.rng.random();
        let mut chosen = self.shares[0].kind;
        for share in self.shares {
            chosen = share.kind;
            dice -= share.part;
            if dice < 0.0 {
                break;
            }
        }
        let number = self.count;
        match chosen {
            Kind::Completion { tokens, long } => self.completion(tokens, long),
            Kind::Read(path) => Work::Call {
                method: "GET",
                path: format!("{path}/{number}"),
                body: String::new(),
                once: None,
            },
            Kind::Once(path) => Work::Call {
                method: "POST",
                path: path.to_owned(),
                body: format!(r#"{{"machine":{},"number":{number}}}"#, number % 40),
                once: Some(format!("load-{}-{number}", self.seed)),
            },
        }
    }

    fn completion(&mut self, tokens: (u32, u32), long: bool) -> Work {
        let rank: f64 = self.rng.random();
        let adapter = self.popularity.partition_point(|p| *p < rank);
        let adapter = adapter.min(self.popularity.len() - 1);
        let length = self.rng.random_range(tokens.0..=tokens.1);
        let number = self.count;
        // One in four leaves the version to what is in force for its team.
        let model = match self.rng.random_range(0..4) {
            0 => format!("{}{adapter:05}", self.prefix),
            _ => format!("{}{adapter:05}@1", self.prefix),
        };
        Work::Completion {
            chat: self.rng.random(),
            model,
            prompt: format!("House {} asks, number {number}: len={length}", number % 97),
            most: tokens.1,
            stream: !long || self.rng.random(),
            long,
        }
    }
}

fn zipf(count: usize, skew: f64) -> Vec<f64> {
    let mut sum = 0.0;
    let mut table: Vec<f64> = (1..=count)
        .map(|rank| {
            sum += 1.0 / (rank as f64).powf(skew);
            sum
        })
        .collect();
    table.iter_mut().for_each(|p| *p /= sum);
    table
}
