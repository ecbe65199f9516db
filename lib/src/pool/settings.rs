//! What an operator sets for a pool.

use bon::Builder;
use serde::Deserialize;
use serde::Serialize;

use super::types::Objective;
use super::types::Shares;
use super::types::Span;
use crate::settings::BadValue;

/// What an operator sets for a pool; the rest follows from the load.
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
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Builder)]
#[serde(default, deny_unknown_fields)]
pub struct PoolSettings {
    /// What the deployment weighs more.
    #[builder(default = Objective::Stalls)]
    #[serde(rename = "weighing")]
    pub objective: Objective,
    /// Loads a second that the weight store gives at full speed.
    #[builder(default = 3.0)]
    pub loads_per_s: f64,
    /// The shortest engine step, in microseconds.
    #[builder(default = 5_500)]
    pub step_us: u64,
    /// Relative shares of teams; a team that is not named has 1.
    #[builder(default)]
    pub shares: Shares,
    /// The most requests of one team and class that may wait.
    #[builder(default = 256)]
    #[serde(rename = "queue")]
    pub queue_limit: u32,
    /// The part of each replica's batch, in hundredths, that long work may
    /// hold; 0 is by the weighing: 75 for stalls, 100 for batch.
    #[builder(default)]
    pub long_cap: u32,
    /// The part of each replica's batch, in hundredths, that waiting long work
    /// gets even when shorter work would fill it all.
    #[builder(default = 25)]
    pub long_floor: u32,
    /// The part of each replica's slots, in hundredths, whose adapters long
    /// work may use at the same time.
    #[builder(default = 75)]
    pub long_slots: u32,
    /// Where full steps weigh more: the part of a batch, in hundredths, that
    /// long work must fill with what runs to be started at once; 0 starts it
    /// always.
    #[builder(default = 60)]
    #[serde(rename = "gather")]
    pub batch_fill: u32,
    /// The longest that long work waits for company, in microseconds; never
    /// more than a tenth of the time to its deadline.
    #[builder(default = Span::from_millis(10_000))]
    #[serde(rename = "gather_for")]
    pub batch_delay: Span,
    /// Retries allowed, in hundredths of the answers.
    #[builder(default = 10)]
    pub retry_share: u32,
    /// Half-life of the count of an adapter's requests, in microseconds; 0 is
    /// by the weighing: 80 s for stalls, 200 s for batch.
    #[builder(default)]
    pub half_life: Span,
    /// Whether adapters are loaded ahead of requests while nothing waits for a
    /// load.
    #[builder(default = true)]
    #[serde(rename = "ahead")]
    pub prefetch: bool,
    /// How many times a request must have run where an upstream broke before
    /// it is run alone. With 1 a request that crashes its upstream takes one
    /// batch of others down; with 2 it takes two, but what an engine loses
    /// that fails for another reason is not retried one by one.
    #[builder(default = 1)]
    pub strikes: u32,
    /// How long a request stays convicted of crashing its upstream, in
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
    /// Half-life of the count of an adapter's requests, in microseconds.
    ///
    /// A short one notices a shift sooner, a long one tells apart adapters that
    /// are asked for once in a minute. Long work can wait for a load, so the
    /// second counts for more where full steps do.
    pub(super) fn half_life_us(&self) -> f64 {
        match (self.half_life.0, self.objective) {
            (0, Objective::Stalls) => 80e6,
            (0, Objective::Batch) => 200e6,
            (us, _) => us as f64,
        }
    }

    /// The part of a batch, in hundredths, that long work may hold.
    ///
    /// Where stalls weigh more, a quarter stays free for those who stand and
    /// wait. Where full steps weigh more, nothing does: short work goes first
    /// when the next place frees, which in a full batch of long work takes a
    /// fraction of a second.
    pub(super) fn long_part(&self) -> u32 {
        match (self.long_cap, self.objective) {
            (0, Objective::Stalls) => 75,
            (0, Objective::Batch) => 100,
            (cap, _) => cap,
        }
    }

    /// Checks the ranges of the values.
    ///
    /// # Errors
    ///
    /// The first value that is out of its range.
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
        if self.long_floor > self.long_part() {
            return bad("long_floor", self.long_floor.to_string(), "0 to long_cap");
        }
        Ok(())
    }
}
