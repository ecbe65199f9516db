//! The retry budgets of all VMs against the limit of the fleet, in every window: single
//! cases, and a randomised search in which VMs are killed, join and leave, the store is away,
//! replicas stand still and read later what was sent to them, and callers come in bursts and fall
//! silent.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use banyangauge::ids::ServiceName;
use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::serving::RetryBudget;
use banyangauge::serving::RetryLimits;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const WINDOW_MS: u64 = 10_000;

/// How long retries go to replicas that stand still: until VMs find them silent, after a wait for
/// the turn of a prompt and for a connection.
const STANDSTILL_MS: u64 = 1_500 + 600 + 250;

const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    window_us: WINDOW_MS * 1_000,
    slack: 56.0,
};

fn at(ms: u64) -> Moment {
    Moment(100_000_000).after(Span::from_millis(ms))
}

/// One process of a VM.
struct Process {
    budget: RetryBudget,
    /// The VMs that it knows, itself included; `None` before it has read the list.
    known: Option<usize>,
}

impl Process {
    fn start(ms: u64, known: Option<usize>) -> Self {
        Self {
            budget: RetryBudget::new(LIMITS, at(ms)),
            known,
        }
    }

    /// The first process of a VM.
    fn first(ms: u64, known: Option<usize>) -> Self {
        let mut process = Self::start(ms, known);
        process.set_vm_count(ms);
        process.budget.mark_first_start();
        process
    }

    fn set_vm_count(&mut self, ms: u64) {
        if let Some(known) = self.known {
            self.budget.set_vm_count(at(ms), known);
        }
    }
}

/// The requests and retries of one service over all VMs.
struct History {
    service: ServiceName,
    vms: BTreeMap<usize, Process>,
    requests: Vec<u64>,
    retries: Vec<u64>,
    /// Retries that were wanted.
    wanted: usize,
}

impl History {
    /// Starts a fleet whose VMs all know each other.
    fn new(vms: usize) -> Self {
        Self {
            service: "llm".parse().unwrap(),
            vms: (0..vms)
                .map(|i| (i, Process::start(0, Some(vms))))
                .collect(),
            requests: Vec::new(),
            retries: Vec::new(),
            wanted: 0,
        }
    }

    /// Sends a request at a VM, and up to `retries` retries that arrive at once.
    fn request(&mut self, ms: u64, vm: usize, retries: usize) {
        self.request_late(ms, vm, retries, ms);
    }

    /// Sends a request at a VM, and up to `retries` retries that arrive at `arrival`.
    fn request_late(&mut self, ms: u64, vm: usize, retries: usize, arrival: u64) {
        self.requests.push(ms);
        let Some(process) = self.vms.get_mut(&vm) else {
            return;
        };
        process.set_vm_count(ms);
        process.budget.record_first_send(at(ms), &self.service);
        for _ in 0..retries {
            self.wanted += 1;
            if !process.budget.try_retry(at(ms), &self.service) {
                return;
            }
            self.retries.push(arrival);
        }
    }

    /// Returns the first window with more retries than the limit allows. The requests of a
    /// window are those in it, in the one before it or in the one half a window before it,
    /// whichever has most.
    fn first_excess(&self) -> Option<String> {
        let count = |times: &[u64], from: i64| {
            let to = from + WINDOW_MS.cast_signed();
            let inside = |ms: &&u64| (from..to).contains(&ms.cast_signed());
            times.iter().filter(inside).count()
        };
        self.retries.iter().step_by(7).find_map(|from| {
            let from = from.cast_signed();
            let window = WINDOW_MS.cast_signed();
            let starts = [from, from - window / 2, from - window];
            let requests = starts.map(|start| count(&self.requests, start));
            let most = requests.into_iter().max().unwrap_or_default();
            let allowed = LIMITS.ratio * most as f64 + LIMITS.slack;
            let retries = count(&self.retries, from);
            let excess = retries as f64 > allowed;
            excess.then(|| format!("{from} ms: {retries} retries, {allowed:.0} allowed"))
        })
    }

    fn assert_within_limits(&self) {
        assert_eq!(self.first_excess(), None);
    }
}

/// Two bursts of failures 9.5 s apart lie in one window.
#[test]
fn retry_budget_two_bursts_in_a_window() {
    let mut fleet = History::new(8);
    for ms in (0..30_000).step_by(5) {
        let fails = (10_400..10_900).contains(&ms) || (19_900..20_400).contains(&ms);
        let retries = if fails { 3 } else { 0 };
        fleet.request(ms, ms as usize / 5 % 8, retries);
    }
    fleet.assert_within_limits();
}

/// Failures begin after a calm time, and go on.
#[test]
fn retry_budget_failures_after_calm() {
    let mut fleet = History::new(8);
    for ms in (0..30_000).step_by(5) {
        let retries = if ms >= 12_000 { 3 } else { 0 };
        fleet.request(ms, ms as usize / 5 % 8, retries);
    }
    fleet.assert_within_limits();
}

/// For some seconds all VMs read a list that lacks the others, from a store that came back
/// from an earlier copy.
#[test]
fn retry_budget_list_lacks_vms_for_a_while() {
    let mut fleet = History::new(8);
    for ms in (0..30_000).step_by(50) {
        fleet.request(ms, ms as usize / 50 % 8, 3);
        let known = if (15_000..24_000).contains(&ms) { 1 } else { 8 };
        let processes = fleet.vms.values_mut();
        processes.for_each(|p| p.known = Some(known));
    }
    fleet.assert_within_limits();
}

/// VMs that had no request for longer than a window read a list that lacks the others for a moment,
/// and took the others for gone that long.
#[rstest]
#[case::at_once(12_000, &[1])]
#[case::in_steps(5_000, &[6, 1])]
fn retry_budget_idle_vms_read_a_short_list(#[case] idle: u64, #[case] counts: &[usize]) {
    let mut fleet = History::new(8);
    let mut ms = 0;
    for vm in 0..8 {
        fleet.request(ms, vm, 0);
    }
    for known in counts {
        ms += idle;
        for vm in 0..8 {
            fleet.vms.get_mut(&vm).unwrap().known = Some(*known);
            fleet.request(ms, vm, 0);
        }
    }
    // The list lacks them for less than a window.
    ms += if counts.len() > 1 { 5_500 } else { 100 };
    for _ in 0..4 {
        (0..8).for_each(|vm| fleet.request(ms, vm, 40));
        ms += 100;
    }
    fleet.assert_within_limits();
}

/// All requests fail after a calm time. The retries of the first seconds lie with replicas that
/// stand still, and arrive together at the beginning of the window in which the others follow.
#[rstest]
#[case::few(50)]
#[case::as_usual(20)]
#[case::many(2)]
fn retry_budget_retries_arrive_after_a_standstill(#[case] gap: usize) {
    let mut fleet = History::new(6);
    let (from, to) = (20_000, 20_000 + STANDSTILL_MS);
    for ms in (0..40_000).step_by(gap) {
        let retries = if ms >= from { 3 } else { 0 };
        let arrival = if (from..to).contains(&ms) { to } else { ms };
        fleet.request_late(ms, ms as usize / gap % 6, retries, arrival);
    }
    fleet.assert_within_limits();
}

/// All VMs are killed five times in a window while all requests fail.
#[test]
fn retry_budget_vms_restart_in_a_window() {
    let mut fleet = History::new(8);
    for ms in (0..30_000).step_by(50) {
        let vm = ms as usize / 50 % 8;
        fleet.request(ms, vm, 3);
        if (10_000..18_000).contains(&ms) && ms % 1_600 == 0 {
            let processes = fleet.vms.values_mut();
            processes.for_each(|p| *p = Process::start(ms, p.known));
        }
    }
    fleet.assert_within_limits();
}

/// All VMs are stopped as planned and started again, twice in a window. Each removes its entry
/// when it stops, so it creates it anew.
#[test]
fn retry_budget_vms_restart_as_planned() {
    let mut fleet = History::new(8);
    for ms in (0..30_000).step_by(50) {
        fleet.request(ms, ms as usize / 50 % 8, 3);
        if ms == 10_000 || ms == 14_000 || ms == 18_000 {
            let processes = fleet.vms.values_mut();
            processes.for_each(|p| *p = Process::first(ms, p.known));
        }
    }
    fleet.assert_within_limits();
}

/// The VMs start while the store turns them away, so none knows the others.
#[test]
fn retry_budget_vms_know_no_others() {
    let mut fleet = History::new(8);
    let processes = fleet.vms.values_mut();
    processes.for_each(|p| *p = Process::first(0, None));
    for ms in (0..30_000).step_by(20) {
        let retries = if ms > 10_000 { 3 } else { 0 };
        fleet.request(ms, ms as usize / 20 % 8, retries);
    }
    fleet.assert_within_limits();
}

/// A fleet under faults that are drawn from a seed.
struct Scenario {
    rng: ChaCha8Rng,
    history: History,
    /// How many VMs there are or were, started or not.
    size: usize,
    /// How many of them left; these have the lowest numbers.
    gone: usize,
    /// VMs that are down, and until when.
    down: BTreeMap<usize, u64>,
    /// VMs that were never started.
    unstarted: BTreeSet<usize>,
    /// Until when the store answers no VM.
    store_away: u64,
    /// Whether the store may list few VMs for a while, and until when it does.
    short_list: Option<u64>,
    /// Requests in 10 ms.
    rate: f64,
    /// Fraction of requests that fail at each send.
    failing: f64,
    /// Longest time for which replicas stand still, in milliseconds; 0 if they do not.
    standstill: u64,
    /// Until when they do.
    still_until: u64,
}

impl Scenario {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let size = rng.random_range(3..12);
        Self {
            history: History::new(size),
            size,
            gone: 0,
            down: BTreeMap::new(),
            unstarted: BTreeSet::new(),
            store_away: 0,
            short_list: None,
            rate: rng.random_range(0.05..2.0),
            failing: 0.0,
            standstill: 0,
            still_until: 0,
            rng,
        }
    }

    fn run(mut self) -> History {
        for ms in (0..60_000).step_by(10) {
            if self.rng.random_bool(0.02) {
                self.disturb(ms);
            }
            self.recover(ms);
            self.shorten_list(ms);
            if self.standstill > 0 && ms > self.still_until && self.rng.random_bool(0.01) {
                self.still_until = ms + self.rng.random_range(0..=self.standstill);
            }
            let requests =
                self.rate as usize + usize::from(self.rng.random_bool(self.rate.fract()));
            for _ in 0..requests {
                let vm = self.rng.random_range(self.gone..self.size);
                let retries = (0..3).take_while(|_| self.rng.random_bool(self.failing));
                let retries = retries.count();
                let arrival = ms.max(self.still_until);
                self.history.request_late(ms, vm, retries, arrival);
            }
        }
        self.history
    }

    fn disturb(&mut self, ms: u64) {
        match self.rng.random_range(0..11) {
            0 => self.rate = self.rng.random_range(0.0..0.1),
            1 => self.rate = self.rng.random_range(0.1..4.0),
            2..=4 => self.failing = self.rng.random_range(0.0..1.0),
            5 => self.failing = 1.0,
            6 => self.store_away = ms + self.rng.random_range(500..8_000),
            7 => {
                let vm = self.rng.random_range(self.gone..self.size);
                self.kill(ms, vm);
            }
            // A VM leaves for good; its name is not used again.
            8 if self.gone + 2 < self.size => {
                self.history.vms.remove(&self.gone);
                self.down.remove(&self.gone);
                self.gone += 1;
            }
            // A VM joins; the others hear of it at once if the store is there.
            9 => {
                self.unstarted.insert(self.size);
                self.kill(ms, self.size);
                self.size += 1;
            }
            _ => (self.gone..self.size).for_each(|vm| self.kill(ms, vm)),
        }
    }

    /// All VMs read for less than a window a list that lacks some.
    fn shorten_list(&mut self, ms: u64) {
        let Some(until) = self.short_list else {
            return;
        };
        if ms >= until + WINDOW_MS && self.rng.random_bool(0.002) {
            self.short_list = Some(ms + self.rng.random_range(100..8_000));
        }
        if ms < until {
            let known = self.rng.random_range(1..=2);
            let processes = self.history.vms.values_mut();
            processes.for_each(|p| p.known = p.known.map(|k| k.min(known)));
        }
    }

    fn kill(&mut self, ms: u64, vm: usize) {
        self.history.vms.remove(&vm);
        let until = ms + self.rng.random_range(100..1_500);
        self.down.insert(vm, until);
    }

    fn recover(&mut self, ms: u64) {
        let back: Vec<_> = self
            .down
            .iter()
            .filter(|(_, until)| **until <= ms)
            .collect();
        let back: Vec<usize> = back.into_iter().map(|(vm, _)| *vm).collect();
        for vm in back {
            self.down.remove(&vm);
            let known = (ms >= self.store_away).then_some(self.size - self.gone);
            let process = match known.is_some() && self.unstarted.remove(&vm) {
                true => Process::first(ms, known),
                false => Process::start(ms, known),
            };
            self.history.vms.insert(vm, process);
        }
        if ms >= self.store_away {
            let size = self.size - self.gone;
            let processes = self.history.vms.values_mut();
            processes.for_each(|p| p.known = Some(size));
        }
    }
}

#[test]
fn retry_budget_search_stays_within_limits() {
    for seed in 0..60 {
        let found = Scenario::new(seed).run().first_excess();
        assert_eq!(found, None, "seed {seed}");
    }
}

#[test]
fn retry_budget_search_with_short_lists_stays_within_limits() {
    for seed in 100..160 {
        let mut scenario = Scenario::new(seed);
        scenario.short_list = Some(0);
        let found = scenario.run().first_excess();
        assert_eq!(found, None, "seed {seed}");
    }
}

/// Retries that all arrive at the end of a standstill of the replicas lie in one window with those
/// that follow. VMs find a replica silent within this time and send it nothing more.
#[test]
fn retry_budget_search_with_late_arrivals_stays_within_limits() {
    for seed in 200..260 {
        let mut scenario = Scenario::new(seed);
        scenario.standstill = STANDSTILL_MS;
        let found = scenario.run().first_excess();
        assert_eq!(found, None, "seed {seed}");
    }
}

/// A budget that grants nothing would keep every limit.
#[test]
fn retry_budget_search_grants_retries() {
    let histories = (0..60).map(|seed| Scenario::new(seed).run());
    let (granted, wanted) = histories.fold((0, 0), |(granted, wanted), history| {
        (granted + history.retries.len(), wanted + history.wanted)
    });
    assert!(granted * 8 > wanted, "{granted} of {wanted} granted");
}
