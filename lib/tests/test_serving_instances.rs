//! A replica that restarts under its name is a new instance: no state of the
//! earlier instance applies to it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::serving::AdapterPlanner;
use banyangauge::serving::Fleet;
use banyangauge::serving::Instance;
use banyangauge::serving::Load;
use banyangauge::serving::LoadNeed;
use banyangauge::serving::ReplicaAction;
use banyangauge::serving::ReplicaInfo;
use banyangauge::serving::ReplicaReport;
use banyangauge::serving::RunOutcome;
use banyangauge::serving::Target;
use banyangauge::serving::Versions;

use super::test_serving_place::listing;

fn at(ms: u64) -> Moment {
    Moment(10_000_000).after(Span::from_millis(ms))
}

fn started(started_ms: u64, loaded: &[&str]) -> ReplicaInfo {
    ReplicaInfo {
        started_ms,
        ..listing("i-1", "llm", "z-a", loaded)
    }
}

fn instance(started_ms: u64) -> Instance {
    Instance {
        name: "i-1".parse().unwrap(),
        started_ms,
    }
}

#[test]
fn draining_ends_with_instance() {
    let mut fleet = Fleet::new("z-a".parse().unwrap());
    fleet.apply_listing(ReplicaInfo {
        draining: true,
        ..started(1, &["base"])
    });
    fleet.apply_listing(started(1, &["base"]));
    let name = "i-1".parse().unwrap();
    assert!(
        fleet.replica_info(&name).unwrap().draining,
        "the replica is no longer draining"
    );
    assert!(
        fleet.apply_listing(started(2, &["base"])),
        "a restart must change what requests may use"
    );
    assert!(!fleet.replica_info(&name).unwrap().draining);
    assert!(
        !fleet.mark_draining(&instance(1)),
        "the message is about the earlier instance"
    );
    assert!(!fleet.replica_info(&name).unwrap().draining);
    assert!(fleet.mark_draining(&instance(2)));
}

#[test]
fn health_and_counts_end_with_instance() {
    let mut fleet = Fleet::new("z-a".parse().unwrap());
    fleet.apply_listing(started(1, &["base"]));
    let name = "i-1".parse().unwrap();
    let load = Load {
        requests: 3,
        tokens: 30,
        prefill: 3,
    };
    fleet.begin_run(&name, load);
    fleet.apply_peer_loads(
        at(0),
        &"vm".parse().unwrap(),
        &BTreeMap::from([(name.clone(), load)]),
    );
    fleet.record_outcome(at(0), &name, RunOutcome::Broken);
    assert_eq!(fleet.status(at(10), &name), "paused");
    fleet.apply_listing(started(2, &[]));
    assert_eq!(fleet.status(at(10), &name), "live");
    assert_eq!(fleet.total_load(at(10), &name), Some(Load::default()));
    assert!(!fleet.is_current(&instance(1)));
}

fn report(started_ms: u64, accepted: u64, loaded: &[&str]) -> ReplicaReport {
    let here = loaded.iter().map(|t| (Target::parse(t).unwrap(), 1));
    ReplicaReport {
        started_ms,
        accepted,
        loaded: here.collect(),
        loading: BTreeSet::new(),
        weights_cached: true,
    }
}

/// Requests the load of an adapter at `i-1`.
fn request(planner: &mut AdapterPlanner, ms: u64, adapter: &str) {
    let (name, vm) = ("i-1".parse().unwrap(), "vm-1".parse().unwrap());
    let target = Target::parse(adapter).unwrap();
    planner.request_load(at(ms), &name, &vm, &target, &LoadNeed::default());
}

/// After a restart, the planner forgets the loaded adapters, and the next order
/// expects the order count of the new instance.
#[test]
fn planner_state_ends_with_instance() {
    let mut planner = AdapterPlanner::default();
    let name = "i-1".parse().unwrap();
    let versions = Versions::default();
    let loaded = ["base", "base/a1"];
    planner.track(at(0), &started(1, &loaded), 2);
    assert_eq!(
        planner.next_action(at(0), &name, &versions, None),
        Some(ReplicaAction::Inspect)
    );
    planner.finish_inspection(at(0), &name, Some(report(1, 9, &loaded)));
    planner.track(at(10), &started(2, &[]), 2);
    let here = planner.residency(&name).unwrap().loaded;
    assert!(here.is_empty(), "{here:?}");
    assert_eq!(
        planner.next_action(at(10), &name, &versions, None),
        Some(ReplicaAction::Inspect)
    );
    planner.finish_inspection(at(10), &name, Some(report(2, 0, &["base"])));
    request(&mut planner, 20, "base/a2");
    let next = planner.next_action(at(20), &name, &versions, None);
    assert!(
        matches!(next, Some(ReplicaAction::Load { expected: 0, .. })),
        "{next:?}"
    );
}

/// A report of the new instance may arrive before its entry in the store. The
/// older entry, if applied after the report, must not bring back the earlier
/// instance.
#[test]
fn planner_detects_restart_from_report() {
    let mut planner = AdapterPlanner::default();
    let name = "i-1".parse().unwrap();
    let versions = Versions::default();
    planner.track(at(0), &started(1, &["base", "base/a1"]), 2);
    planner.next_action(at(0), &name, &versions, None);
    planner.finish_inspection(at(0), &name, Some(report(2, 4, &["base"])));
    assert_eq!(planner.started_ms(&name), Some(2));
    assert!(
        !planner
            .residency(&name)
            .unwrap()
            .loaded
            .contains_key(&Target::parse("base/a1").unwrap())
    );
    planner.track(at(10), &started(1, &["base", "base/a1"]), 2);
    planner.track(at(20), &started(2, &["base"]), 2);
    request(&mut planner, 30, "base/a2");
    let next = planner.next_action(at(30), &name, &versions, None);
    assert!(
        matches!(next, Some(ReplicaAction::Load { expected: 4, .. })),
        "{next:?}"
    );
}
