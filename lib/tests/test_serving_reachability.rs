//! Which services a VM takes for unreachable, and which VMs help it.

use std::net::SocketAddr;

use banyangauge::ids::Incarnation;
use banyangauge::ids::ReplicaName;
use banyangauge::ids::ServiceName;
use banyangauge::ids::VmName;
use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::serving::BeaconStamp;
use banyangauge::serving::Members;
use banyangauge::serving::Reachability;
use rstest::rstest;

fn at(ms: u64) -> Moment {
    Moment(50_000_000).after(Span::from_millis(ms))
}

fn service(name: &str) -> ServiceName {
    name.parse().unwrap()
}

fn replica(number: usize) -> ReplicaName {
    format!("i-{number}").parse().unwrap()
}

/// A crashed replica, or one that falls silent for a second, is no cut.
#[rstest]
#[case::one_of_many(9, &[1, 1, 1], 0, false)]
#[case::two_of_many(9, &[1, 2], 0, true)]
#[case::the_only_one(1, &[1], 0, true)]
#[case::others_answered_just_now(9, &[1, 2, 3], 900, false)]
fn unreachable_by_failures(
    #[case] listed: usize,
    #[case] failed: &[usize],
    #[case] heard: u64,
    #[case] unreachable: bool,
) {
    let (mut links, llm) = (Reachability::default(), service("llm"));
    links.record_heard(at(heard), &llm);
    for number in failed {
        links.record_failure(at(1_000), &llm, &replica(*number), listed);
    }
    assert_eq!(links.is_unreachable(&llm), unreachable);
    assert!(!links.is_unreachable(&service("app")));
}

/// Data of any replica ends it; what failed before no longer counts.
#[test]
fn unreachable_until_heard() {
    let (mut links, llm) = (Reachability::default(), service("llm"));
    for number in 0..2 {
        links.record_failure(at(1_000), &llm, &replica(number), 9);
    }
    assert!(links.record_heard(at(2_000), &llm));
    assert!(!links.record_heard(at(2_100), &llm));
    links.record_failure(at(3_000), &llm, &replica(0), 9);
    assert!(!links.is_unreachable(&llm));
    assert!(links.has_heard(at(3_000), &llm, Span::from_millis(1_000)));
    assert!(!links.has_heard(at(3_200), &llm, Span::from_millis(1_000)));
}

fn vm(number: u16) -> VmName {
    format!("vm-{number}").parse().unwrap()
}

/// Six VMs in two zones from the view of the first, each heard at the start.
fn fleet() -> Members {
    let mut members = Members::new(vm(0), at(0));
    for number in 1..6 {
        let address = SocketAddr::from(([127, 0, 0, 1], 1_024 + number));
        members.set_address(vm(number), address);
        members.set_zone(&vm(number), format!("z-{}", number % 2).parse().unwrap());
        hear(&mut members, number, 1, false, true, &[]);
    }
    members
}

fn hear(
    members: &mut Members,
    number: u16,
    beacon: u64,
    stopping: bool,
    relays: bool,
    cut: &[&str],
) {
    let stamp = BeaconStamp {
        incarnation: Incarnation(1),
        number: beacon,
        sent: at(beacon),
    };
    members.record_beacon(at(beacon), &vm(number), stamp, stopping);
    let cut = cut.iter().map(|name| service(name));
    members.set_helper(at(beacon), &vm(number), relays, cut);
}

fn helpers(members: &Members, ms: u64, seed: u64) -> Vec<String> {
    let (llm, zone) = (service("llm"), "z-0".parse().unwrap());
    let helpers = members.helpers(at(ms), &llm, &zone, seed);
    helpers.iter().map(|(vm, _)| vm.to_string()).collect()
}

/// Those in the own zone go first, and different requests go to different ones.
#[test]
fn helpers_near_first_and_spread() {
    let members = fleet();
    let mut first = std::collections::BTreeSet::new();
    for seed in 0..40 {
        let all = helpers(&members, 100, seed);
        assert_eq!(all.len(), 5);
        assert!(all[..2].iter().all(|vm| vm == "vm-2" || vm == "vm-4"));
        first.insert(all[0].clone());
    }
    assert_eq!(first.len(), 2);
}

/// VMs that are silent, stop, cannot reach the service or run an earlier release do not help.
#[test]
fn helpers_must_reach_the_service() {
    let mut members = fleet();
    hear(&mut members, 1, 3_000, true, true, &[]);
    hear(&mut members, 2, 3_000, false, true, &["llm"]);
    hear(&mut members, 3, 3_000, false, false, &[]);
    hear(&mut members, 4, 3_000, false, true, &["app"]);
    assert_eq!(helpers(&members, 3_100, 0), ["vm-4"]);
}

/// A VM without replicas loses them only if the cut lasts and this VM reaches the service.
#[rstest]
#[case::short(3_900, true, 0)]
#[case::lasting(4_600, true, 1)]
#[case::reached_by_nobody(4_600, false, 0)]
fn without_replicas_by_time(#[case] ms: u64, #[case] reached: bool, #[case] count: usize) {
    let mut members = fleet();
    for beacon in [3_000, 3_400, 3_800] {
        hear(&mut members, 2, beacon, false, true, &["llm"]);
    }
    let span = Span::from_millis(1_500);
    let cut = members.without_replicas(at(ms), span, |_| reached);
    assert_eq!(cut.len(), count);
}
