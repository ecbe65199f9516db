//! Counts requests, loads and orders by route, rank and period.

use std::collections::BTreeMap;

use serde::Serialize;
use serde::Serializer;
use serde::ser::SerializeStruct;

use super::PERIODS;
use super::lines::LateKind;
use super::lines::OrderRecord;
use super::lines::RankLabel;
use super::lines::WAIT_PARTS;
use super::lines::Wait;
use super::loads::Load;
use super::loads::LoadKind;
use super::requests::Arrival;
use super::requests::Outcome;

/// Name of a route or rank that no line states.
const UNSTATED: &str = "-";

/// Name of the part of a wait that the lines do not break down.
pub(super) const OTHER_PART: &str = "other";

/// The same counts for everything, and by route, rank and period.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Groups<T> {
    /// Everything.
    pub all: T,
    /// By route; empty for orders, which have none.
    pub routes: BTreeMap<String, T>,
    /// By rank.
    pub ranks: BTreeMap<RankLabel, T>,
    /// By tenth of the covered time.
    pub periods: [T; PERIODS],
}

impl<T: Default> Groups<T> {
    /// Applies `add` to each group that an item belongs to. An item without a route is in
    /// no group by route.
    pub(super) fn add_without_route(
        &mut self,
        rank: Option<&RankLabel>,
        period: usize,
        add: impl Fn(&mut T),
    ) {
        add(&mut self.all);
        let rank = rank.cloned();
        let rank = rank.unwrap_or_else(|| RankLabel(UNSTATED.to_owned()));
        add(self.ranks.entry(rank).or_default());
        add(&mut self.periods[period]);
    }

    /// As `add_without_route`, also for the group of the item's route.
    pub(super) fn add(
        &mut self,
        route: Option<&str>,
        rank: Option<&RankLabel>,
        period: usize,
        add: impl Fn(&mut T),
    ) {
        let route = route.unwrap_or(UNSTATED).to_owned();
        add(self.routes.entry(route).or_default());
        self.add_without_route(rank, period, add);
    }
}

/// Measured values, serialized as their number, mean, median and 90th percentile.
#[derive(Clone, Debug, Default)]
pub struct Samples(Vec<u64>);

impl Samples {
    pub(super) fn push(&mut self, value: u64) {
        self.0.push(value);
    }

    /// Returns the number of values.
    ///
    /// ```
    /// assert_eq!(banyangauge::operator::Samples::default().count(), 0);
    /// ```
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// Returns the mean, rounded down, or `None` if there are no values.
    ///
    /// ```
    /// assert_eq!(banyangauge::operator::Samples::default().mean(), None);
    /// ```
    pub fn mean(&self) -> Option<u64> {
        let sum: u128 = self.0.iter().map(|v| u128::from(*v)).sum();
        let mean = sum.checked_div(self.0.len() as u128)?;
        u64::try_from(mean).ok()
    }

    /// Returns the value that `percent` of the values are at most, or `None` if there are
    /// no values.
    ///
    /// ```
    /// assert_eq!(banyangauge::operator::Samples::default().percentile(50), None);
    /// ```
    pub fn percentile(&self, percent: usize) -> Option<u64> {
        let mut sorted = self.0.clone();
        sorted.sort_unstable();
        let at = (sorted.len() * percent).div_ceil(100).max(1) - 1;
        sorted.get(at).copied()
    }
}

impl Serialize for Samples {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut out = serializer.serialize_struct("Samples", 4)?;
        out.serialize_field("count", &self.count())?;
        out.serialize_field("mean", &self.mean())?;
        out.serialize_field("p50", &self.percentile(50))?;
        out.serialize_field("p90", &self.percentile(90))?;
        out.end()
    }
}

/// Streams that missed an objective, by which.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct LateCounts {
    /// The first event was late.
    pub first: u64,
    /// A pause between events was too long.
    pub pause: u64,
    /// Both.
    pub both: u64,
    /// The line does not say which.
    pub unstated: u64,
}

impl LateCounts {
    /// Returns the number of late streams.
    ///
    /// ```
    /// use banyangauge::operator::LateCounts;
    /// let late = LateCounts { first: 2, both: 1, ..LateCounts::default() };
    /// assert_eq!(late.total(), 3);
    /// ```
    pub fn total(&self) -> u64 {
        self.first + self.pause + self.both + self.unstated
    }
}

/// Requests whose caller disconnected.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct LeftCounts {
    /// Before the response began.
    pub before: u64,
    /// During the response.
    pub during: u64,
}

/// Requests that were refused for one reason.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RefusalTally {
    /// Number of refused requests.
    pub requests: u64,
    /// How long they were held, in milliseconds.
    pub held_ms: Samples,
    /// What `Retry-After` said, in milliseconds, where the response had it.
    pub retry_ms: Samples,
    /// Those whose ID is in the logs again later.
    pub returned: u64,
    /// Those whose ID was answered later, as far as the logs say.
    pub served: u64,
}

/// Requests that waited for a replica.
#[derive(Clone, Debug, Default, Serialize)]
pub struct WaitTally {
    /// Whole wait of each request, in milliseconds.
    pub total_ms: Samples,
    /// Sum of each part over all requests, in milliseconds. The parts add up to the sum of
    /// the waits; `other` is what the lines do not break down.
    pub parts_ms: BTreeMap<&'static str, u64>,
    /// Waits in milliseconds by the last reason for waiting. A request that was placed more
    /// than once has several.
    pub reasons_ms: BTreeMap<String, Samples>,
}

/// Counts of requests. `seen` is the sum of all outcomes.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RequestTally {
    /// Requests with at least one accounted line.
    pub seen: u64,
    /// Requests of which no line says that they were late, refused, failed or given up.
    pub in_time: u64,
    /// Late streams.
    pub late: LateCounts,
    /// Refused requests by reason.
    pub refused: BTreeMap<String, RefusalTally>,
    /// Failed requests by reason: they may have run.
    pub failed: BTreeMap<String, u64>,
    /// Requests whose caller disconnected.
    pub left: LeftCounts,
    /// Requests that were tried again after a failed try or a response that broke off.
    pub sent_again: u64,
    /// Failed tries and responses that broke off, by reason.
    pub failures: BTreeMap<String, u64>,
    /// Waits for a replica.
    pub waits: WaitTally,
}

impl RequestTally {
    /// Returns the sum of all outcomes, which is `seen`.
    ///
    /// ```
    /// use banyangauge::operator::RequestTally;
    /// let tally = RequestTally { seen: 2, in_time: 2, ..RequestTally::default() };
    /// assert_eq!(tally.outcomes(), tally.seen);
    /// ```
    pub fn outcomes(&self) -> u64 {
        let left = self.left.before + self.left.during;
        self.in_time + self.late.total() + self.refused() + self.failed.values().sum::<u64>() + left
    }

    /// Returns the number of refused requests.
    ///
    /// ```
    /// assert_eq!(banyangauge::operator::RequestTally::default().refused(), 0);
    /// ```
    pub fn refused(&self) -> u64 {
        self.refused.values().map(|r| r.requests).sum()
    }

    pub(super) fn add(&mut self, arrival: &Arrival) {
        self.seen += 1;
        match &arrival.outcome {
            Outcome::InTime => self.in_time += 1,
            Outcome::Late(LateKind::First) => self.late.first += 1,
            Outcome::Late(LateKind::Pause) => self.late.pause += 1,
            Outcome::Late(LateKind::Both) => self.late.both += 1,
            Outcome::Late(LateKind::Unstated) => self.late.unstated += 1,
            Outcome::Refused(line) => {
                let refusal = self.refused.entry(line.why.clone()).or_default();
                refusal.requests += 1;
                line.held_ms
                    .into_iter()
                    .for_each(|ms| refusal.held_ms.push(ms));
                line.retry_ms
                    .into_iter()
                    .for_each(|ms| refusal.retry_ms.push(ms));
                refusal.returned += u64::from(arrival.returned);
                refusal.served += u64::from(arrival.served);
            }
            Outcome::Failed { why } => *self.failed.entry(why.clone()).or_default() += 1,
            Outcome::LeftBefore => self.left.before += 1,
            Outcome::LeftDuring => self.left.during += 1,
        }
        for why in &arrival.failures {
            *self.failures.entry(why.clone()).or_default() += 1;
        }
        self.sent_again += u64::from(was_sent_again(arrival));
        self.waits.add(&arrival.waits);
    }
}

/// Returns whether another try followed a failed one: there was another failure, or a
/// response after it.
fn was_sent_again(arrival: &Arrival) -> bool {
    let has_response = matches!(
        arrival.outcome,
        Outcome::InTime | Outcome::Late(_) | Outcome::LeftDuring
    );
    arrival.failures.len() + usize::from(has_response) > 1
}

impl WaitTally {
    /// Adds the waits of one request; none if it did not wait.
    fn add(&mut self, waits: &[Wait]) {
        if waits.is_empty() {
            return;
        }
        let total = waits.iter().map(|w| w.total_ms);
        self.total_ms
            .push(total.fold(0, |sum: u64, ms| sum.saturating_add(ms)));
        for wait in waits {
            self.add_parts(wait);
            let reason = self.reasons_ms.entry(wait.why.clone()).or_default();
            reason.push(wait.total_ms);
        }
    }

    fn add_parts(&mut self, wait: &Wait) {
        let parts = wait.parts.unwrap_or_default();
        let mut rest = wait.total_ms;
        for ((_, name), ms) in WAIT_PARTS.iter().zip(parts) {
            let sum = self.parts_ms.entry(name).or_default();
            *sum = sum.saturating_add(ms);
            rest = rest.saturating_sub(ms);
        }
        let sum = self.parts_ms.entry(OTHER_PART).or_default();
        *sum = sum.saturating_add(rest);
    }
}

/// Loads by where they came from.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct LoadCounts {
    /// Loads from the weight store of adapters that the logs do not show unloaded there
    /// before.
    pub fetched: u64,
    /// Loads from the weight store of adapters that the same replica had unloaded before.
    pub again: u64,
    /// Loads that took under a quarter of the median: from the replica's own memory.
    pub cached: u64,
    /// Loads that ended without a line that says how long they took.
    pub unmeasured: u64,
    /// Loads whose end is not in the logs.
    pub unseen: u64,
}

impl LoadCounts {
    /// Returns the number of loads.
    ///
    /// ```
    /// use banyangauge::operator::LoadCounts;
    /// let loads = LoadCounts { fetched: 2, cached: 1, ..LoadCounts::default() };
    /// assert_eq!(loads.total(), 3);
    /// ```
    pub fn total(&self) -> u64 {
        self.fetched + self.again + self.cached + self.unmeasured + self.unseen
    }
}

/// Counts of loads and orders.
#[derive(Clone, Debug, Default, Serialize)]
pub struct OrderTally {
    /// Loads by where they came from.
    pub loads: LoadCounts,
    /// Duration of the loads in milliseconds.
    pub took_ms: Samples,
    /// Time from the first request for a load to its first order, in milliseconds.
    pub wait_ms: Samples,
    /// Number of requests that waited for a load when it was ordered.
    pub waiting: Samples,
    /// Orders by kind (`load`, `unload`) and outcome, polls of a load in progress included.
    pub orders: BTreeMap<String, BTreeMap<String, u64>>,
}

impl OrderTally {
    pub(super) fn add_order(&mut self, o: &OrderRecord) {
        let ends = self.orders.entry(o.what.clone()).or_default();
        *ends.entry(o.end.clone()).or_default() += 1;
    }

    pub(super) fn add_load(&mut self, load: &Load, kind: LoadKind) {
        match kind {
            LoadKind::Fetched => self.loads.fetched += 1,
            LoadKind::Again => self.loads.again += 1,
            LoadKind::Cached => self.loads.cached += 1,
            LoadKind::Unmeasured => self.loads.unmeasured += 1,
            LoadKind::Unseen => self.loads.unseen += 1,
        }
        let pairs = [
            (&mut self.took_ms, load.took_ms()),
            (&mut self.wait_ms, load.wait_ms),
            (&mut self.waiting, load.waiting),
        ];
        for (samples, value) in pairs {
            value.into_iter().for_each(|v| samples.push(v));
        }
    }
}
