//! How many adapters are fetched from the weight store at a time.

use crate::pool::Span;
use crate::serving::decisions::adapter_planner::LoadDuration;
use crate::serving::program::experiment::Experiment;
use crate::serving::program::experiment::Mechanism;

/// The first guess of how long a fetch takes alone.
const FETCH_GUESS: f64 = 250e3;

/// Fetches at a time before anything was learned: what a small store serves.
const FIRST_CAPACITY: f64 = 8.0;

/// The same for each engine that the store serves: stores at hand serve from
/// half a fetch to two for each engine at a time, and one that is narrower shows
/// it with the first loads. Measured on a small deployment (8 days, no
/// processor time counted), with 1.0 in place of 0.5: what callers got less what it cost, of what was owed: 0.684 -> 0.698.
const CAPACITY_AN_ENGINE: f64 = 1.0;

/// The bounds of what is learned; the lower one keeps every owner able to
/// fetch, the upper one is that of a large weight store.
const CAPACITY_BOUNDS: (f64, f64) = (4.0, 256.0);

/// A fetch that takes this much longer than one alone shared the store with
/// more than it serves at full speed.
const SLOWED: f64 = 1.3;

/// Weight of one observation.
const WEIGHT: f64 = 0.15;

/// How much the time of a fetch alone may creep up with each observation, so
/// that one lucky measurement does not hold for ever.
const CREEP: f64 = 1.02;

/// How far before the expected end a fetch is first asked about.
const EARLY: f64 = 0.95;

/// What was learned of the weight store.
///
/// Made for many rare adapters asked for at once. Beyond some number of
/// fetches the store shares its speed between all that are under way, so more
/// of them at a time end later and none sooner: held to what it serves at full
/// speed, the first ones are usable while the others still wait. Measured on a
/// day of high load: the median load fell from 1,100 to 260 ms. A store that is
/// thought smaller than it is costs more: with 140 engines that start empty and
/// eight fetches at a time, 30 loads a second came where 60 were asked for.
#[derive(Clone, Copy, Debug)]
pub struct FetchLimiter {
    alone: f64,
    capacity: f64,
    learned: bool,
    /// Whether a fetch was ever slowed down by others.
    slowed: bool,
    /// Whether what the store serves is learned, and fetches are held to it.
    learns: bool,
    holds: bool,
}

impl Default for FetchLimiter {
    fn default() -> Self {
        Self {
            alone: FETCH_GUESS,
            capacity: FIRST_CAPACITY,
            learned: false,
            slowed: false,
            learns: true,
            holds: true,
        }
    }
}

impl FetchLimiter {
    /// Sets what is switched off.
    pub fn set_experiment(&mut self, experiment: &Experiment) {
        self.learns = experiment.is_enabled(Mechanism::FetchWidth);
        self.holds = experiment.is_enabled(Mechanism::FetchPace);
    }

    /// Expects a weight store that fits so many engines, until a fetch has
    /// shown what it serves.
    pub fn set_engine_count(&mut self, engines: usize) {
        if !self.learned {
            self.capacity = FIRST_CAPACITY.max(engines as f64 * CAPACITY_AN_ENGINE);
        }
    }

    /// A fetch took so long while `under_way` were on their way with it. One
    /// whose end was seen late, as the replica left orders unanswered, may have
    /// been slow or not, and tells nothing.
    pub fn observe(&mut self, took: LoadDuration, under_way: usize) {
        if !self.learns {
            return;
        }
        let (least, most) = (took.min.0 as f64, (took.max.0 as f64).max(1.0));
        self.alone = (self.alone * CREEP).min(most);
        let slowed = self.alone * SLOWED;
        let n = under_way.max(1) as f64;
        let seen = match () {
            () if least > slowed => n * self.alone / least,
            // All went at full speed: a few more may, too.
            () if most <= slowed => self.full_speed(n),
            () => return,
        };
        self.learned = true;
        let first_slow = least > slowed && !self.slowed;
        self.slowed |= first_slow;
        if first_slow {
            self.capacity = seen;
        }
        let (least, most) = CAPACITY_BOUNDS;
        self.capacity += WEIGHT * (seen.clamp(least, most) - self.capacity);
    }

    /// What the store is thought to serve after a fetch at full speed beside
    /// `n - 1` others. Until one was slow it grows by one with each, as long as
    /// about half of it is used, and so doubles within a few loads.
    fn full_speed(&mut self, n: f64) -> f64 {
        if !self.slowed && n * 2.0 >= self.capacity {
            self.capacity += 1.0;
        }
        self.capacity.max(n + 1.0)
    }

    /// How many fetches may be under way over all replicas.
    pub fn capacity(&self) -> usize {
        match self.holds {
            true => self.capacity.round() as usize,
            false => usize::MAX,
        }
    }

    /// When a fetch is first asked about.
    pub fn first_check_delay(&self) -> Span {
        Span((self.alone * EARLY) as u64)
    }
}
