//! Rows, counters and their forms on the wire and in the platform.

use std::collections::BTreeMap;

use banyangauge_proto as wire;
use serde::Deserialize;
use serde::Serialize;

/// Who is charged for what.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct UsageKey {
    /// The team.
    pub team: String,
    /// The adapter, or the pool of a plain service.
    pub adapter: String,
    /// Its version; 0 for a plain service.
    pub version: u32,
}

/// Counters of a row.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Count {
    /// Requests that were answered or cut off after their first byte.
    pub requests: u64,
    /// Tokens in their prompts.
    pub prompt: u64,
    /// Tokens that were passed on to callers.
    pub output: u64,
}

impl Count {
    pub(super) fn raise(&mut self, other: &Self) -> bool {
        let before = *self;
        self.requests = self.requests.max(other.requests);
        self.prompt = self.prompt.max(other.prompt);
        self.output = self.output.max(other.output);
        *self != before
    }

    pub(super) fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.prompt += other.prompt;
        self.output += other.output;
    }
}

/// Counters by row.
pub type Counts = BTreeMap<UsageKey, Count>;

/// One start of an entry process.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Source {
    /// Its VM.
    pub vm: String,
    /// The start.
    pub incarnation: u64,
}

impl Source {
    pub(super) fn object(&self, part: usize) -> String {
        match part {
            0 => format!("{}-{}", self.vm, self.incarnation),
            _ => format!("{}-{}-{part}", self.vm, self.incarnation),
        }
    }
}

/// One row as an object holds it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Line {
    #[serde(flatten)]
    pub(super) row: UsageKey,
    #[serde(flatten)]
    pub(super) count: Count,
}

/// An object of kind `usages`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Sheet {
    #[serde(flatten)]
    pub(super) source: Source,
    pub(super) counts: Vec<Line>,
}

pub(super) fn sheet(source: &Source, counts: Counts) -> Sheet {
    let lines = counts.into_iter().map(|(row, count)| Line { row, count });
    Sheet {
        source: source.clone(),
        counts: lines.collect(),
    }
}

pub(super) fn rows_of(sheet: Sheet) -> Counts {
    let lines = sheet.counts.into_iter();
    lines.map(|line| (line.row, line.count)).collect()
}

/// Sums over all sources.
///
/// ```
/// use std::collections::BTreeMap;
/// use banyangauge::control::usage::{Count, UsageKey, Source, totals};
/// let row = UsageKey { team: "laundry".into(), adapter: "rosters".into(), version: 1 };
/// let source = |incarnation| Source { vm: "vm-1".into(), incarnation };
/// let one = Count { requests: 1, prompt: 10, output: 20 };
/// let all = BTreeMap::from([
///     (source(1), BTreeMap::from([(row.clone(), one)])),
///     (source(2), BTreeMap::from([(row.clone(), one)])),
/// ]);
/// assert_eq!(totals(&all)[&row].output, 40);
/// ```
pub fn totals(all: &BTreeMap<Source, Counts>) -> Counts {
    let mut sums = Counts::new();
    for (row, count) in all.values().flatten() {
        sums.entry(row.clone()).or_default().add(count);
    }
    sums
}

/// A row on the wire.
pub fn to_wire(row: &UsageKey, count: &Count) -> wire::UsageCount {
    wire::UsageCount {
        team: row.team.clone(),
        adapter: row.adapter.clone(),
        version: row.version,
        requests: count.requests,
        prompt_tokens: count.prompt,
        output_tokens: count.output,
    }
}

pub(super) fn from_wire(line: wire::UsageCount) -> (UsageKey, Count) {
    let row = UsageKey {
        team: line.team,
        adapter: line.adapter,
        version: line.version,
    };
    let count = Count {
        requests: line.requests,
        prompt: line.prompt_tokens,
        output: line.output_tokens,
    };
    (row, count)
}
