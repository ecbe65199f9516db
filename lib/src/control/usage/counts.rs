//! Usage counters and their forms on the wire and in the platform.

use std::collections::BTreeMap;

use banyangauge_proto as wire;
use serde::Deserialize;
use serde::Serialize;

/// The key of a usage counter: the team that is charged and what it used.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct UsageKey {
    /// The team.
    pub team: String,
    /// The adapter, or the pool for a plain service.
    pub adapter: String,
    /// The adapter's version; 0 for a plain service.
    pub version: u32,
}

/// Cumulative counters of one key.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Count {
    /// Requests that were answered, completely or at least their first byte.
    pub requests: u64,
    /// Tokens in the prompts of these requests.
    pub prompt: u64,
    /// Tokens sent to callers.
    pub output: u64,
}

impl Count {
    /// Raises each counter to at least that of `other`; returns whether one rose.
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

/// Counters by key.
pub type Counts = BTreeMap<UsageKey, Count>;

/// One incarnation of an entry process, the source of a set of counters.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Source {
    /// The VM.
    pub vm: String,
    /// The incarnation.
    pub incarnation: u64,
}

impl Source {
    pub(super) fn object_name(&self, part: usize) -> String {
        match part {
            0 => format!("{}-{}", self.vm, self.incarnation),
            _ => format!("{}-{}-{part}", self.vm, self.incarnation),
        }
    }
}

/// One counter in the stored form.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct CountRecord {
    #[serde(flatten)]
    pub(super) key: UsageKey,
    #[serde(flatten)]
    pub(super) count: Count,
}

/// The content of an object of kind `usages`: the counters of one source, or a
/// part of them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct UsageObject {
    #[serde(flatten)]
    pub(super) source: Source,
    pub(super) counts: Vec<CountRecord>,
}

pub(super) fn usage_object(source: &Source, counts: Counts) -> UsageObject {
    let records = counts
        .into_iter()
        .map(|(key, count)| CountRecord { key, count });
    UsageObject {
        source: source.clone(),
        counts: records.collect(),
    }
}

pub(super) fn counts_of(object: UsageObject) -> Counts {
    let records = object.counts.into_iter();
    records.map(|record| (record.key, record.count)).collect()
}

/// Sums the counters over all sources.
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
    for (key, count) in all.values().flatten() {
        sums.entry(key.clone()).or_default().add(count);
    }
    sums
}

/// Encodes a counter for the wire.
pub fn to_wire(key: &UsageKey, count: &Count) -> wire::UsageCount {
    wire::UsageCount {
        team: key.team.clone(),
        adapter: key.adapter.clone(),
        version: key.version,
        requests: count.requests,
        prompt_tokens: count.prompt,
        output_tokens: count.output,
    }
}

pub(super) fn from_wire(record: wire::UsageCount) -> (UsageKey, Count) {
    let key = UsageKey {
        team: record.team,
        adapter: record.adapter,
        version: record.version,
    };
    let count = Count {
        requests: record.requests,
        prompt: record.prompt_tokens,
        output: record.output_tokens,
    };
    (key, count)
}
