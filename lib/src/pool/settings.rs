//! Settings of a pool.

use bon::Builder;
use serde::Deserialize;
use serde::Serialize;

use super::types::Objective;
use super::types::Shares;
use super::types::Span;
use crate::settings::BadValue;

/// Settings of a pool.
///
/// ```
/// use banyangauge::pool::PoolSettings;
/// use banyangauge::pool::Objective;
/// let s = PoolSettings::builder()
///     .objective(Objective::Batch)
///     .loads_per_s(2.0)
///     .step_us(3_500)
///     .build();
/// assert!(s.check().is_ok());
/// assert_eq!(s.queue_limit, PoolSettings::default().queue_limit);
/// ```
// Stored settings keep the older key names, which the `rename` attributes list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Builder)]
#[serde(default, deny_unknown_fields)]
pub struct PoolSettings {
    /// What the pool optimises for.
    #[builder(default = Objective::Stalls)]
    #[serde(rename = "weighing")]
    pub objective: Objective,
    /// Adapter loads per second that the weight store delivers at full speed.
    #[builder(default = 3.0)]
    pub loads_per_s: f64,
    /// Duration of the shortest engine step, in microseconds.
    #[builder(default = 5_500)]
    pub step_us: u64,
    /// Relative shares of teams; a team that is not listed has a share of 1.
    #[builder(default)]
    pub shares: Shares,
    /// Maximum number of waiting requests per team and lane.
    #[builder(default = 256)]
    #[serde(rename = "queue")]
    pub queue_limit: u32,
    /// Largest part of each replica's batch that long work may hold, in
    /// percent; 0 selects the default of the objective, 75 for stalls and 100
    /// for batch.
    #[builder(default)]
    pub long_cap: u32,
    /// Part of each replica's batch that is reserved for long work while it
    /// waits, in percent.
    #[builder(default = 25)]
    pub long_floor: u32,
    /// Largest part of each replica's slots whose adapters long work may use at
    /// the same time, in percent.
    #[builder(default = 75)]
    pub long_slots: u32,
    /// With the batch objective, the part of a batch that running and waiting
    /// requests must fill before long work starts without delay, in percent; 0
    /// starts it at once.
    #[builder(default = 60)]
    #[serde(rename = "gather")]
    pub batch_fill: u32,
    /// Longest delay of long work that waits to fill a batch, in microseconds.
    /// The delay also never exceeds a tenth of the time to the deadline.
    #[builder(default = Span::from_millis(10_000))]
    #[serde(rename = "gather_for")]
    pub batch_delay: Span,
    /// Retries accepted, in percent of the answers.
    #[builder(default = 10)]
    pub retry_share: u32,
    /// Half-life of the request rate of an adapter, in microseconds; 0 selects
    /// the default of the objective, 80 s for stalls and 200 s for batch.
    #[builder(default)]
    pub half_life: Span,
    /// Whether adapters are loaded ahead of requests while no request waits for
    /// a load.
    #[builder(default = true)]
    #[serde(rename = "ahead")]
    pub prefetch: bool,
    /// Number of upstream crashes during which a request must have run before
    /// it is isolated. With 1, a request that crashes its upstream fails one
    /// batch of other requests; with 2 it fails two batches, but after a crash
    /// for another reason the lost requests are not retried in isolation.
    #[builder(default = 1)]
    pub strikes: u32,
    /// How long a request that crashes its upstream stays blocked, in
    /// microseconds.
    #[builder(default = Span::from_millis(600_000))]
    #[serde(rename = "verdict")]
    pub block_for: Span,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl PoolSettings {
    /// Returns `half_life` in microseconds, or the default of the objective if
    /// it is 0.
    ///
    /// A short half-life follows a shift sooner; a long one distinguishes
    /// adapters that are requested about once a minute. Long work can wait for
    /// a load, so the latter matters more for the batch objective.
    pub(super) fn half_life_us(&self) -> f64 {
        match (self.half_life.0, self.objective) {
            (0, Objective::Stalls) => 80e6,
            (0, Objective::Batch) => 200e6,
            (us, _) => us as f64,
        }
    }

    /// Returns `long_cap`, or the default of the objective if it is 0.
    ///
    /// With the stalls objective a quarter stays free for short work. With the
    /// batch objective nothing does: short work goes first when the next place
    /// becomes free, which in a batch full of long work takes a fraction of a
    /// second.
    pub(super) fn effective_long_cap(&self) -> u32 {
        match (self.long_cap, self.objective) {
            (0, Objective::Stalls) => 75,
            (0, Objective::Batch) => 100,
            (cap, _) => cap,
        }
    }

    /// Checks the values that have a limited range.
    ///
    /// # Errors
    ///
    /// Returns the first value that is out of range.
    pub fn check(&self) -> Result<(), BadValue> {
        let bad = |key, found: String, allowed| {
            Err(BadValue {
                key,
                found,
                allowed,
            })
        };
        if !(self.loads_per_s > 0.0 && self.loads_per_s <= 1_000.0) {
            return bad("loads_per_s", self.loads_per_s.to_string(), "0 to 1000");
        }
        if !(1..=10_000_000).contains(&self.step_us) {
            return bad("step_us", self.step_us.to_string(), "1 to 10000000");
        }
        if self.queue_limit == 0 {
            return bad("queue", self.queue_limit.to_string(), "1 or more");
        }
        if self.long_cap > 100 {
            return bad("long_cap", self.long_cap.to_string(), "0 to 100");
        }
        if !(1..=100).contains(&self.long_slots) {
            return bad("long_slots", self.long_slots.to_string(), "1 to 100");
        }
        if self.strikes == 0 {
            return bad("strikes", self.strikes.to_string(), "1 or more");
        }
        if self.batch_fill > 100 {
            return bad("gather", self.batch_fill.to_string(), "0 to 100");
        }
        if self.long_floor > self.effective_long_cap() {
            return bad("long_floor", self.long_floor.to_string(), "0 to long_cap");
        }
        Ok(())
    }
}
