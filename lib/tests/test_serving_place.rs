//! Placement of requests: affinity, load, failures and versions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use banyangauge::ids::BuildName;
use banyangauge::ids::ModelName;
use banyangauge::ids::ReplicaName;
use banyangauge::ids::ServiceName;
use banyangauge::ids::VmName;
use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::serving::AdmittedBuilds;
use banyangauge::serving::AnnouncedVersion;
use banyangauge::serving::Config;
use banyangauge::serving::Engine;
use banyangauge::serving::Experiment;
use banyangauge::serving::Fleet;
use banyangauge::serving::Instance;
use banyangauge::serving::Limits;
use banyangauge::serving::Load;
use banyangauge::serving::Mechanism;
use banyangauge::serving::Placement;
use banyangauge::serving::PlacementRequest;
use banyangauge::serving::ReplicaInfo;
use banyangauge::serving::Residency;
use banyangauge::serving::RunOutcome;
use banyangauge::serving::Service;
use banyangauge::serving::SharedPrefix;
use banyangauge::serving::Target;
use banyangauge::serving::Versions;
use proptest::prelude::*;
use rstest::rstest;

/// Entry of a replica that holds models, and adapters in version 1.
pub(crate) fn listing(name: &str, service: &str, zone: &str, held: &[&str]) -> ReplicaInfo {
    let held: Vec<Target> = held.iter().map(|t| Target::parse(t).unwrap()).collect();
    let number = name
        .bytes()
        .fold(0_u16, |n, b| n.wrapping_mul(31) + u16::from(b));
    ReplicaInfo {
        name: name.parse().unwrap(),
        started_ms: 0,
        service: service.parse().unwrap(),
        address: ([127, 0, 0, 1], 1_024 + number % 40_000).into(),
        zone: zone.parse().unwrap(),
        build: "v1".parse().unwrap(),
        slots: 8,
        draining: false,
        models: held.iter().map(|t| t.model.clone()).collect(),
        adapters: held
            .into_iter()
            .filter(|t| t.adapter.is_some())
            .map(|t| (t, 1))
            .collect(),
    }
}

fn at(ms: u64) -> Moment {
    Moment(10_000_000).after(Span::from_millis(ms))
}

fn config() -> Config {
    let engine = Engine {
        slots: 8,
        kv_tokens: 100_000,
        adapter_slots: 2,
        event_tokens: 1,
        models: BTreeMap::from([(ModelName::new("base").unwrap(), 100)]),
        load_rate: 1.0,
    };
    let service = |name: &str, engine: Option<Engine>| {
        let name: ServiceName = name.parse().unwrap();
        let service = Service {
            name: name.clone(),
            connections: 100,
            health_path: None,
            engine,
        };
        (name, service)
    };
    Config {
        version: 1,
        routes: Vec::new(),
        services: BTreeMap::from([service("llm", Some(engine)), service("app", None)]),
        limits: Limits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
        organisations: None,
    }
}

/// A VM's view of the replicas, and the circumstances of the next request.
struct Fixture {
    fleet: Fleet,
    avoid: BTreeSet<ReplicaName>,
    loadable: BTreeSet<ReplicaName>,
    waited: Option<Span>,
    left: Option<Span>,
    store_busy: bool,
    objective_ms: f64,
    admitted: Option<AdmittedBuilds>,
}

impl Fixture {
    fn new(listings: &[ReplicaInfo]) -> Self {
        let mut fleet = Fleet::new("z-a".parse().unwrap());
        fleet.configure(&config());
        let mut loadable = BTreeSet::new();
        for l in listings {
            fleet.apply_listing(l.clone());
            loadable.insert(l.name.clone());
        }
        Self {
            fleet,
            avoid: BTreeSet::new(),
            loadable,
            waited: None,
            left: None,
            store_busy: false,
            objective_ms: 1_000.0,
            admitted: None,
        }
    }

    fn place(&self, now: Moment, service: &str, target: Option<&str>) -> Placement {
        let service = service.parse().unwrap();
        let target = target.map(|t| Target::parse(t).unwrap());
        let want = PlacementRequest {
            service: &service,
            target: target.as_ref(),
            cost: COST,
            shared_prefix: None,
            body_kb: 1.0,
            objective_ms: self.objective_ms,
            waited: self.waited,
            left: self.left,
            store_busy: self.store_busy,
            build: None,
            admitted: self.admitted.as_ref(),
            avoid: &self.avoid,
        };
        self.fleet.place(now, &want, |n| self.loadable.contains(n))
    }

    /// Returns the replica that a request is sent to, or what is done instead.
    fn destination(&self, now: Moment, service: &str, target: Option<&str>) -> String {
        match self.place(now, service, target) {
            Placement::Send { replica, .. } => replica.to_string(),
            other => format!("{other:?}"),
        }
    }
}

const COST: Load = Load {
    requests: 1,
    tokens: 1_000,
    prefill: 0,
};

/// Where no admitted build had a replica, streams began at a build that the ledger did not have.
#[rstest]
#[case::admitted(AdmittedBuilds::All, "v1", "r1")]
#[case::awaits_ledger(AdmittedBuilds::All, "v0", "Full")]
#[case::ledger_cannot_change(AdmittedBuilds::Preferred, "v0", "r1")]
fn stream_begins_at_admitted_build(
    #[case] admitted: fn(BTreeSet<BuildName>) -> AdmittedBuilds,
    #[case] build: &str,
    #[case] expected: &str,
) {
    let mut fixture = Fixture::new(&[listing("r1", "app", "z-a", &[])]);
    fixture.admitted = Some(admitted(BTreeSet::from([build.parse().unwrap()])));
    assert_eq!(fixture.destination(at(0), "app", None), expected);
}

#[test]
fn request_is_sent_to_holder_of_adapter() {
    let a = listing("i-a", "llm", "z-a", &["base"]);
    let b = listing("i-b", "llm", "z-b", &["base", "base/x"]);
    let fixture = Fixture::new(&[a, b]);
    assert_eq!(fixture.destination(at(0), "llm", Some("base/x")), "i-b");
}

/// All VMs choose the same home for an adapter, in whichever order they learn of
/// the replicas, and few homes change when a replica is added.
#[test]
fn adapter_has_one_home() {
    let all: Vec<_> = (0..6)
        .map(|n| listing(&format!("i-{n}"), "llm", "z-a", &["base"]))
        .collect();
    let reversed: Vec<_> = all.iter().rev().cloned().collect();
    let (one, other, smaller) = (
        Fixture::new(&all),
        Fixture::new(&reversed),
        Fixture::new(&all[..5]),
    );
    let mut moved = 0;
    for n in 0..60 {
        let adapter = format!("base/a{n}");
        let home = one.place(at(0), "llm", Some(&adapter));
        assert!(matches!(home, Placement::Load { .. }));
        assert_eq!(home, other.place(at(0), "llm", Some(&adapter)));
        moved += usize::from(home != smaller.place(at(0), "llm", Some(&adapter)));
    }
    assert!(moved <= 20, "{moved} of 60 homes moved");
}

/// A replica whose owner cannot order loads, or that holds no model, is no home.
#[rstest]
#[case::no_owner(&["base"], false)]
#[case::no_model(&[], true)]
fn home_must_be_able_to_load(#[case] held: &[&str], #[case] loadable: bool) {
    let a = listing("i-a", "llm", "z-a", held);
    let b = listing("i-b", "llm", "z-a", &["base"]);
    let mut fixture = Fixture::new(&[a.clone(), b]);
    if !loadable {
        fixture.loadable.remove(&a.name);
    }
    for n in 0..20 {
        let place = fixture.place(at(0), "llm", Some(&format!("base/a{n}")));
        let at = "i-b".parse().unwrap();
        assert_eq!(place, Placement::Load { replica: at });
    }
}

/// A replica that runs as many requests as it holds adapters cannot evict one,
/// and a load there waits. A request that has waited for longer than a load takes
/// goes to another replica.
#[test]
fn home_moves_to_replica_with_idle_adapter() {
    let all: Vec<_> = (0..4)
        .map(|n| listing(&format!("i-{n}"), "llm", "z-a", &["base"]))
        .collect();
    let mut fixture = Fixture::new(&all);
    for busy in ["i-0", "i-1", "i-2"] {
        // Two adapters fit, and two requests do not make it the busiest.
        fixture.fleet.begin_run(&busy.parse().unwrap(), COST);
        fixture.fleet.begin_run(&busy.parse().unwrap(), COST);
    }
    let home = |fixture: &Fixture, n: u32| fixture.place(at(0), "llm", Some(&format!("base/a{n}")));
    let idle = Placement::Load {
        replica: "i-3".parse().unwrap(),
    };
    fixture.waited = Some(Span::from_millis(100));
    assert!((0..20).any(|n| home(&fixture, n) != idle));
    fixture.waited = Some(Span::from_millis(500));
    assert!((0..20).all(|n| home(&fixture, n) == idle));
    // If no adapter is idle anywhere, a replica is still chosen.
    fixture.fleet.begin_run(&"i-3".parse().unwrap(), COST);
    fixture.fleet.begin_run(&"i-3".parse().unwrap(), COST);
    assert!(matches!(home(&fixture, 1), Placement::Load { .. }));
}

/// Creates replicas `i-0`, `i-1` and so on whose owners report vacancies.
fn with_vacancies(vacant: &[u32]) -> Fixture {
    let names = (0..vacant.len()).map(|n| format!("i-{n}"));
    let all: Vec<_> = names
        .map(|n| listing(&n, "llm", "z-a", &["base"]))
        .collect();
    let mut fixture = Fixture::new(&all);
    for (l, vacant) in all.iter().zip(vacant) {
        let residency = Residency {
            loaded: [(Target::parse("base").unwrap(), 0)].into(),
            vacant: Some(*vacant),
            ..Residency::default()
        };
        fixture.fleet.apply_residency(at(0), &l.name, residency);
    }
    fixture.waited = Some(Span::from_millis(0));
    fixture
}

/// Requests for rare adapters whose homes have all slots in use: each waited 0.7 s for an
/// adapter there to become idle, while other replicas had idle ones. A vacancy must not be
/// given to two adapters, nor an adapter to two replicas.
#[test]
fn rare_adapter_is_loaded_at_a_vacancy() {
    let mut fixture = with_vacancies(&[0, 0, 0, 1]);
    let vacant: ReplicaName = "i-3".parse().unwrap();
    let place = |fixture: &Fixture, ms: u64, n: u32| match fixture.place(
        at(ms),
        "llm",
        Some(&format!("base/a{n}")),
    ) {
        Placement::Load { replica } => replica,
        other => panic!("{other:?}"),
    };
    assert!((0..20).all(|n| place(&fixture, 1, n) == vacant));
    let first = Target::parse("base/a0").unwrap();
    fixture.fleet.record_load_request(at(1), &vacant, &first);
    assert_eq!(place(&fixture, 20, 0), vacant);
    assert!((1..20).any(|n| place(&fixture, 20, n) != vacant));
    // The load waits for something else, and another replica has a vacancy by now.
    let residency = Residency {
        loaded: [(Target::parse("base").unwrap(), 0)].into(),
        vacant: Some(2),
        ..Residency::default()
    };
    let other = "i-0".parse().unwrap();
    fixture
        .fleet
        .apply_residency(at(300), &other, residency.clone());
    let none = Residency {
        vacant: Some(0),
        ..residency
    };
    fixture.fleet.apply_residency(at(300), &vacant, none);
    assert_eq!(place(&fixture, 300, 0), vacant);
    assert_eq!(place(&fixture, 500, 0), other);
    fixture.fleet.set_experiment(&Experiment {
        off: [Mechanism::Vacancies].into(),
    });
    let homes: BTreeSet<_> = (0..20).map(|n| place(&fixture, 500, n)).collect();
    assert_eq!(homes.len(), 4);
}

proptest! {
    /// No replica gets more loads than it reported vacancies while others have some, and an
    /// adapter goes to its home if that has one.
    #[test]
    fn loads_do_not_exceed_vacancies(vacant in prop::collection::vec(0_u32..4, 1..6)) {
        let mut fixture = with_vacancies(&vacant);
        let homes = with_vacancies(&vec![1; vacant.len()]);
        let mut left = vacant.clone();
        for n in 0..vacant.iter().sum() {
            let adapter = format!("base/a{n}");
            let placed = fixture.place(at(1), "llm", Some(&adapter));
            let home = homes.place(at(1), "llm", Some(&adapter));
            let Placement::Load { replica } = &placed else {
                panic!("{placed:?}");
            };
            let index = |r: &ReplicaName| r.as_str()[2..].parse::<usize>().unwrap();
            if let Placement::Load { replica: home } = &home && left[index(home)] > 0 {
                prop_assert_eq!(replica, home);
            }
            prop_assert!(left[index(replica)] > 0, "{} got too many", replica);
            left[index(replica)] -= 1;
            let target = Target::parse(&adapter).unwrap();
            fixture.fleet.record_load_request(at(1), replica, &target);
        }
    }
}

/// A burst within one beacon interval: requests that this VM sends count at once.
#[test]
fn burst_spreads_by_local_load() {
    let held: Vec<_> = ["i-a", "i-b", "i-c"]
        .iter()
        .map(|n| listing(n, "app", "z-a", &[]))
        .collect();
    let mut fixture = Fixture::new(&held);
    let mut counts = BTreeMap::<String, u32>::new();
    for _ in 0..12 {
        let name = fixture.destination(at(0), "app", None);
        fixture.fleet.begin_run(&name.parse().unwrap(), COST);
        *counts.entry(name).or_default() += 1;
    }
    assert!(counts.values().all(|n| *n == 4), "{counts:?}");
}

#[test]
fn peer_loads_count_and_expire() {
    let a = listing("i-a", "app", "z-a", &[]);
    let b = listing("i-b", "app", "z-a", &[]);
    let mut fixture = Fixture::new(&[a, b]);
    let vm: VmName = "vm-2".parse().unwrap();
    let load = Load {
        requests: 5,
        tokens: 0,
        prefill: 0,
    };
    let counts = BTreeMap::from([("i-a".parse().unwrap(), load)]);
    fixture.fleet.apply_peer_loads(at(0), &vm, &counts);
    assert_eq!(fixture.destination(at(100), "app", None), "i-b");
    assert_eq!(fixture.destination(at(5_000), "app", None), "i-a");
}

/// Full replicas get no requests that would only wait there.
#[test]
fn full_replica_gets_no_request() {
    let a = listing("i-a", "app", "z-a", &[]);
    let mut fixture = Fixture::new(&[a]);
    for _ in 0..16 {
        assert_eq!(fixture.destination(at(0), "app", None), "i-a");
        fixture.fleet.begin_run(&"i-a".parse().unwrap(), COST);
    }
    assert_eq!(fixture.place(at(0), "app", None), Placement::Full);
}

#[test]
fn kv_cache_limits_an_engine() {
    let a = listing("i-a", "llm", "z-a", &["base"]);
    let mut fixture = Fixture::new(&[a]);
    let large = Load {
        requests: 1,
        tokens: 89_500,
        prefill: 0,
    };
    fixture.fleet.begin_run(&"i-a".parse().unwrap(), large);
    assert_eq!(fixture.place(at(0), "llm", Some("base")), Placement::Full);
}

/// Pending prefill delays the next requests at an engine.
#[test]
fn pending_prefill_weighs_more_than_runs() {
    let a = listing("i-a", "llm", "z-a", &["base", "base/x"]);
    let b = listing("i-b", "llm", "z-a", &["base", "base/x"]);
    let mut fixture = Fixture::new(&[a, b]);
    let load = Load {
        requests: 1,
        tokens: 9_000,
        prefill: 9_000,
    };
    fixture.fleet.begin_run(&"i-a".parse().unwrap(), load);
    for _ in 0..5 {
        fixture.fleet.begin_run(&"i-b".parse().unwrap(), COST);
    }
    assert_eq!(fixture.destination(at(0), "llm", Some("base/x")), "i-b");
    fixture.fleet.finish_prefill(&"i-a".parse().unwrap(), 9_000);
    assert_eq!(fixture.destination(at(0), "llm", Some("base/x")), "i-a");
}

/// A second copy of a hot adapter is requested only when the queue of its single
/// holder takes up most of the latency objective: a copy evicts another adapter.
#[rstest]
#[case::in_time(24_000, None)]
#[case::late(36_000, Some("i-b"))]
fn busy_holder_causes_a_copy(#[case] prefill: u64, #[case] expected: Option<&str>) {
    let a = listing("i-a", "llm", "z-a", &["base", "base/x"]);
    let b = listing("i-b", "llm", "z-a", &["base"]);
    let mut fixture = Fixture::new(&[a, b]);
    let copy = |f: &Fixture| match f.place(at(0), "llm", Some("base/x")) {
        Placement::Send { copy, .. } => copy.map(|n| n.to_string()),
        other => panic!("{other:?}"),
    };
    assert_eq!(copy(&fixture), None);
    let load = Load {
        requests: 2,
        tokens: prefill,
        prefill,
    };
    fixture.fleet.begin_run(&"i-a".parse().unwrap(), load);
    assert_eq!(copy(&fixture).as_deref(), expected);
}

/// A burst on one adapter while its single holder prefills long prompts. A request
/// with time left waits for the copy, as it would be late at the holder and delay
/// the others; one without time left is sent to the holder.
#[rstest]
#[case::has_time(Some(0), 36_000, Placement::Load { replica: "i-b".parse().unwrap() })]
#[case::has_none(None, 36_000, Placement::Send {
    replica: "i-a".parse().unwrap(),
    copy: Some("i-b".parse().unwrap()),
})]
#[case::waited_for_a_load(Some(460), 34_000, Placement::Send {
    replica: "i-a".parse().unwrap(),
    copy: Some("i-b".parse().unwrap()),
})]
#[case::long_queue(Some(460), 60_000, Placement::Load { replica: "i-b".parse().unwrap() })]
#[case::holder_soon_free(Some(0), 24_000, Placement::Send {
    replica: "i-a".parse().unwrap(),
    copy: None,
})]
fn request_waits_for_copy_of_overloaded_holder(
    #[case] waited: Option<u64>,
    #[case] prefill: u64,
    #[case] expected: Placement,
) {
    let a = listing("i-a", "llm", "z-a", &["base", "base/x"]);
    let b = listing("i-b", "llm", "z-a", &["base"]);
    let mut fixture = Fixture::new(&[a, b]);
    fixture.waited = waited.map(Span::from_millis);
    let prompts = Load {
        requests: 2,
        tokens: prefill,
        prefill,
    };
    fixture.fleet.begin_run(&"i-a".parse().unwrap(), prompts);
    let place = fixture.place(at(0), "llm", Some("base/x"));
    assert_eq!(place, expected);
}

/// A request that waits for a copy until it has missed its objective, although its holder
/// would have served it no later, is late for nothing and costs a fetch.
#[rstest]
#[case::copy_in_time(0, 36_000, Some(800), true)]
#[case::copy_late_and_slower(0, 17_000, Some(200), false)]
#[case::copy_late_but_faster(0, 60_000, Some(200), true)]
#[case::copy_soon(400, 36_000, Some(200), true)]
#[case::no_limit(0, 17_000, None, true)]
fn wait_for_copy_ends_when_it_gains_nothing(
    #[case] waited: u64,
    #[case] prefill: u64,
    #[case] left: Option<u64>,
    #[case] waits: bool,
) {
    let a = listing("i-a", "llm", "z-a", &["base", "base/x"]);
    let b = listing("i-b", "llm", "z-a", &["base"]);
    let mut fixture = Fixture::new(&[a, b]);
    fixture.waited = Some(Span::from_millis(waited));
    fixture.left = left.map(Span::from_millis);
    fixture.objective_ms = 400.0;
    let prompts = Load {
        requests: 2,
        tokens: prefill,
        prefill,
    };
    fixture.fleet.begin_run(&"i-a".parse().unwrap(), prompts);
    let place = fixture.place(at(0), "llm", Some("base/x"));
    assert_eq!(matches!(place, Placement::Load { .. }), waits, "{place:?}");
}

/// Many rare adapters are requested at once, and the weight store is the bottleneck. A second
/// copy for a single request delays the first copy of an adapter that no replica holds.
#[rstest]
#[case::store_idle(false, false, Some("i-b"))]
#[case::store_busy(true, false, None)]
#[case::busy_and_hot(true, true, Some("i-b"))]
fn busy_store_serves_first_copies(
    #[case] busy: bool,
    #[case] hot: bool,
    #[case] expected: Option<&str>,
) {
    let a = listing("i-a", "llm", "z-a", &["base", "base/x"]);
    let b = listing("i-b", "llm", "z-a", &["base"]);
    let mut fixture = Fixture::new(&[a, b]);
    fixture.store_busy = busy;
    let target = Target::parse("base/x").unwrap();
    let report = Residency {
        loaded: BTreeMap::from([(target.clone(), 1), (Target::parse("base").unwrap(), 0)]),
        hot: BTreeSet::from_iter(hot.then_some(target)),
        ..Residency::default()
    };
    let name = "i-a".parse().unwrap();
    fixture.fleet.apply_residency(at(0), &name, report);
    let prompts = Load {
        requests: 2,
        tokens: 36_000,
        prefill: 36_000,
    };
    fixture.fleet.begin_run(&name, prompts);
    let place = fixture.place(at(0), "llm", Some("base/x"));
    let copy = match place {
        Placement::Send { copy, .. } => copy.map(|n| n.to_string()),
        other => panic!("{other:?}"),
    };
    assert_eq!(copy.as_deref(), expected);
}

/// Requests with the same prompt prefix go where it is cached.
#[test]
fn shared_prefixes_are_placed_together() {
    let all: Vec<_> = (0..4)
        .map(|n| listing(&format!("i-{n}"), "llm", "z-a", &["base", "base/x"]))
        .collect();
    let fixture = Fixture::new(&all);
    let target = Target::parse("base/x").unwrap();
    let service = "llm".parse().unwrap();
    let at_key = |key: u64| {
        let want = PlacementRequest {
            service: &service,
            target: Some(&target),
            cost: COST,
            shared_prefix: Some(SharedPrefix { key, tokens: 6_000 }),
            body_kb: 1.0,
            objective_ms: 1_000.0,
            waited: None,
            left: None,
            store_busy: false,
            build: None,
            admitted: None,
            avoid: &fixture.avoid,
        };
        fixture.fleet.place(at(0), &want, |_| true)
    };
    let places: Vec<_> = (0..40).map(at_key).collect();
    assert_eq!(places, (0..40).map(at_key).collect::<Vec<_>>());
    let first = places.iter().filter(|p| **p == places[0]).count();
    assert!(first < 25, "{first} of 40 prefixes at one replica");
}

/// A crashed replica refuses at once and would appear the least loaded.
#[rstest]
#[case::unreached(RunOutcome::Unreached)]
#[case::broken(RunOutcome::Broken)]
#[case::gone(RunOutcome::Gone)]
fn failing_replica_is_avoided(#[case] end: RunOutcome) {
    let a = listing("i-a", "app", "z-a", &[]);
    let b = listing("i-b", "app", "z-b", &[]);
    let mut fixture = Fixture::new(&[a, b]);
    let name: ReplicaName = "i-a".parse().unwrap();
    assert_eq!(fixture.destination(at(0), "app", None), "i-a");
    fixture.fleet.record_outcome(at(0), &name, end);
    assert_eq!(fixture.destination(at(100), "app", None), "i-b");
}

/// After its back-off a failed replica gets one request at a time.
#[test]
fn failed_replica_gets_one_request_at_a_time() {
    let a = listing("i-a", "app", "z-a", &[]);
    let b = listing("i-b", "app", "z-b", &[]);
    let mut fixture = Fixture::new(&[a, b]);
    let name: ReplicaName = "i-a".parse().unwrap();
    fixture
        .fleet
        .record_outcome(at(0), &name, RunOutcome::Unreached);
    assert_eq!(fixture.destination(at(5_000), "app", None), "i-a");
    fixture.fleet.begin_run(&name, COST);
    assert_eq!(fixture.destination(at(5_000), "app", None), "i-b");
    fixture
        .fleet
        .record_outcome(at(5_010), &name, RunOutcome::Answered);
    fixture.fleet.end_run(&name, COST);
    assert_eq!(fixture.destination(at(5_010), "app", None), "i-a");
}

/// A replica that accepts requests and sends nothing is not used.
#[test]
fn unresponsive_replica_is_avoided() {
    let a = listing("i-a", "app", "z-a", &[]);
    let b = listing("i-b", "app", "z-b", &[]);
    let mut fixture = Fixture::new(&[a, b]);
    fixture
        .fleet
        .await_first_byte(at(0), &"i-a".parse().unwrap(), 1);
    assert_eq!(fixture.destination(at(1_000), "app", None), "i-a");
    assert_eq!(fixture.destination(at(1_700), "app", None), "i-b");
}

#[test]
fn old_version_serves_until_the_new_one_can_be_loaded() {
    let a = listing("i-a", "llm", "z-a", &["base", "base/x"]);
    let mut fixture = Fixture::new(&[a]);
    let announced = AnnouncedVersion {
        target: Target::parse("base/x").unwrap(),
        version: 2,
    };
    fixture.fleet.versions.announce(at(0), &announced);
    assert_eq!(fixture.destination(at(1_000), "llm", Some("base/x")), "i-a");
    assert_eq!(
        fixture
            .fleet
            .versions
            .required(at(1_000), &announced.target),
        None
    );
    assert_ne!(fixture.destination(at(3_000), "llm", Some("base/x")), "i-a");
    assert_eq!(
        fixture
            .fleet
            .versions
            .required(at(3_000), &announced.target),
        Some(2)
    );
}

/// Entries that expired during a store outage may reappear within two seconds.
#[rstest]
#[case::after_outage(true, 1_000, true)]
#[case::too_late(true, 2_100, false)]
#[case::without_outage(false, 0, false)]
fn missing_replica_is_kept(#[case] outage: bool, #[case] ms: u64, #[case] kept: bool) {
    let a = listing("i-a", "app", "z-a", &[]);
    let mut fixture = Fixture::new(&[a]);
    fixture.fleet.replace_listings(at(0), Vec::new(), outage);
    fixture.fleet.remove_expired(at(ms));
    assert_eq!(fixture.destination(at(ms), "app", None) == "i-a", kept);
}

/// The owner's load of a replica includes this VM's requests as last reported;
/// they must not be counted twice.
#[test]
fn local_load_is_counted_once() {
    let mut fixture = Fixture::new(&[
        listing("i-1", "app", "z-a", &[]),
        listing("i-2", "app", "z-a", &[]),
    ]);
    let one: ReplicaName = "i-1".parse().unwrap();
    let requests = |requests| Load {
        requests,
        tokens: 0,
        prefill: 0,
    };
    fixture.fleet.begin_run(&one, requests(14));
    assert_eq!(fixture.fleet.take_report(&one), requests(14));
    fixture.fleet.apply_owner_load(at(0), &one, requests(14));
    // The owner's total consists of this VM's requests only.
    let total_requests = |fixture: &Fixture, now| {
        let total = fixture.fleet.total_load(now, &one).unwrap();
        total.requests
    };
    assert_eq!(total_requests(&fixture, at(10)), 14);
    fixture.fleet.end_run(&one, requests(4));
    assert_eq!(total_requests(&fixture, at(10)), 10);
    fixture.fleet.apply_owner_load(at(20), &one, requests(20));
    assert_eq!(total_requests(&fixture, at(20)), 16);
    // After the owner's report expired only this VM's own load is known.
    assert_eq!(total_requests(&fixture, at(9_000)), 10);
}

/// The period of the previous version starts with each announcement: an adapter
/// with frequent announcements would otherwise serve its first version for ever.
#[test]
fn required_version_under_frequent_announcements() {
    let mut versions = Versions::default();
    let target = Target::parse("base/a1").unwrap();
    for version in 2..12 {
        let announced = AnnouncedVersion {
            target: target.clone(),
            version,
        };
        let ms = u64::from(version) * 1_000;
        assert!(versions.announce(at(ms), &announced));
        assert!(!versions.announce(at(ms + 10), &announced));
        let required = versions.required(at(ms + 900), &target);
        let expected = (version > 2).then(|| version - 1);
        assert_eq!(
            required, expected,
            "{version} is 0.9 s old, the one before 1.9 s"
        );
        assert_eq!(versions.newest(&target), Some(version));
    }
}

/// A replica that already holds a newer version must not be asked for the
/// required one.
#[test]
fn expected_version_is_at_least_the_loaded_one() {
    let mut fixture = Fixture::new(&[]);
    let target = Target::parse("base/a1").unwrap();
    for (ms, version) in [(0, 2), (2_000, 3)] {
        let announced = AnnouncedVersion {
            target: target.clone(),
            version,
        };
        fixture.fleet.versions.announce(at(ms), &announced);
    }
    let name: ReplicaName = "i-1".parse().unwrap();
    let mut entry = listing("i-1", "llm", "z-a", &["base", "base/a1"]);
    for (held, expected) in [(1, 2), (2, 2), (3, 3)] {
        entry.adapters.insert(target.clone(), held);
        fixture.fleet.apply_listing(entry.clone());
        let version = fixture.fleet.expected_version(at(2_100), &name, &target);
        assert_eq!(version, Some(expected));
    }
}

/// Placement with mechanisms switched off: each case lists those that are off.
#[rstest]
#[case::whole(&[], Placement::Load { replica: "i-b".parse().unwrap() })]
#[case::copy_waits(&[Mechanism::CopyWaits], Placement::Send {
    replica: "i-a".parse().unwrap(),
    copy: Some("i-b".parse().unwrap()),
})]
#[case::second_copies(&[Mechanism::SecondCopies], Placement::Send {
    replica: "i-a".parse().unwrap(),
    copy: None,
})]
fn place_with_mechanism_off(#[case] off: &[Mechanism], #[case] expected: Placement) {
    let a = listing("i-a", "llm", "z-a", &["base", "base/x"]);
    let b = listing("i-b", "llm", "z-a", &["base"]);
    let mut fixture = Fixture::new(&[a, b]);
    fixture.waited = Some(Span::from_millis(0));
    fixture.fleet.set_experiment(&Experiment {
        off: off.iter().copied().collect(),
    });
    let prompts = Load {
        requests: 2,
        tokens: 36_000,
        prefill: 36_000,
    };
    fixture.fleet.begin_run(&"i-a".parse().unwrap(), prompts);
    assert_eq!(fixture.place(at(0), "llm", Some("base/x")), expected);
}

/// Without a preference for its own zone a VM uses all replicas alike.
#[rstest]
#[case::whole(&[], "i-near")]
#[case::near_zone(&[Mechanism::NearZone], "i-far")]
fn zone_with_mechanism_off(#[case] off: &[Mechanism], #[case] expected: &str) {
    let far = listing("i-far", "app", "z-b", &[]);
    let near = listing("i-near", "app", "z-a", &[]);
    let mut fixture = Fixture::new(&[far, near]);
    fixture.fleet.set_experiment(&Experiment {
        off: off.iter().copied().collect(),
    });
    assert_eq!(fixture.destination(at(0), "app", None), expected);
}

/// A request that waits in the queue of a busy engine begins later than it is
/// sent, when the old version may no longer serve.
#[rstest]
#[case::free(0, "i-a")]
#[case::crowded(4_000, "Load { replica: ReplicaName(\"i-b\") }")]
fn old_version_is_not_used_behind_a_long_queue(#[case] wait_ms: u64, #[case] expected: &str) {
    let a = listing("i-a", "llm", "z-a", &["base", "base/x"]);
    let b = listing("i-b", "llm", "z-a", &["base"]);
    let mut fixture = Fixture::new(&[a, b]);
    let announced = AnnouncedVersion {
        target: Target::parse("base/x").unwrap(),
        version: 2,
    };
    fixture.fleet.versions.announce(at(0), &announced);
    let prompts = Load {
        requests: 1,
        tokens: 0,
        prefill: wait_ms * 40,
    };
    if wait_ms > 0 {
        fixture.fleet.begin_run(&"i-a".parse().unwrap(), prompts);
    }
    assert_eq!(
        fixture.destination(at(1_500), "llm", Some("base/x")),
        expected
    );
}

/// A VM that learned from another VM that a replica is draining still announces
/// the entry when it reads it: not all VMs know it.
#[rstest]
#[case::reported_by_a_peer(true)]
#[case::not_reported(false)]
fn draining_entry_is_always_an_update(#[case] reported: bool) {
    let mut a = listing("i-a", "llm", "z-a", &["base"]);
    let mut fixture = Fixture::new(&[a.clone()]);
    assert!(!fixture.fleet.is_update(&a));
    let replica = Instance {
        name: a.name.clone(),
        started_ms: a.started_ms,
    };
    if reported {
        assert!(fixture.fleet.mark_draining(&replica));
    }
    a.draining = true;
    assert!(fixture.fleet.is_update(&a));
}

/// A change of the adapters alone is not announced: the owner reports those.
#[test]
fn adapters_alone_are_no_update() {
    let a = listing("i-a", "llm", "z-a", &["base"]);
    let fixture = Fixture::new(&[a]);
    let loaded = listing("i-a", "llm", "z-a", &["base", "base/x"]);
    assert!(!fixture.fleet.is_update(&loaded));
    let moved = listing("i-a", "llm", "z-b", &["base"]);
    assert!(fixture.fleet.is_update(&moved));
}

/// An entry that expired in a store outage reappears unchanged. It must be
/// announced: the VMs that know of the expiry would drop the replica two seconds
/// later.
#[test]
fn reappearance_of_an_expired_entry_is_an_update() {
    let a = listing("i-a", "llm", "z-a", &["base"]);
    let mut fixture = Fixture::new(std::slice::from_ref(&a));
    fixture.fleet.mark_expired(at(0), &a.name);
    assert!(fixture.fleet.is_update(&a));
    fixture.fleet.apply_listing(a.clone());
    assert!(!fixture.fleet.is_update(&a));
}
