//! Which VMs there are, and how often they tell of themselves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use banyangauge::ids::Incarnation;
use banyangauge::ids::VmName;
use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::serving::BeaconStamp;
use banyangauge::serving::Members;
use rstest::rstest;

/// VMs, as the first of them sees them.
fn fleet(vms: u16) -> Members {
    let mut members = Members::new("vm-0".parse().unwrap(), Moment(0));
    for i in 1..vms {
        let address = ([127, 0, 0, 1], 1_024 + i).into();
        members.set_address(format!("vm-{i}").parse().unwrap(), address);
    }
    members
}

/// The pause grows with the fleet only where beacons would take a part of a
/// small VM that shows; until then a picture is young at any size.
#[rstest]
#[case::small(9, 400)]
#[case::large(71, 400)]
#[case::larger(300, 1_600)]
#[case::largest(700, 3_200)]
fn beat_by_the_size_of_the_fleet(#[case] vms: u16, #[case] ms: u64) {
    let members = fleet(vms);
    assert_eq!(members.beacon_interval(), Span::from_millis(ms));
    assert_eq!(members.report_delay(), Span::from_millis(ms + 100));
}

/// Who asks the store: one for all, or each for itself.
#[rstest]
#[case::alone(1, true, false)]
#[case::small_fenced(9, true, true)]
#[case::small(8, false, false)]
#[case::grown(89, false, true)]
fn shares_news_by_the_fleet(#[case] vms: u16, #[case] fenced: bool, #[case] shares: bool) {
    assert_eq!(fleet(vms).shares_updates(fenced), shares);
}

fn at(ms: u64) -> Moment {
    Moment(50_000_000).after(Span::from_millis(ms))
}

/// A VM of zone z-0 in a fleet of zones, all of them heard at the start.
fn zoned(zones: u16, each: u16) -> Members {
    let mut members = Members::new("vm-0".parse().unwrap(), at(0));
    members.enable_relays("z-0".parse().unwrap());
    for i in 1..zones * each {
        let vm: VmName = format!("vm-{i}").parse().unwrap();
        members.set_address(vm.clone(), address(i));
        members.set_zone(&vm, format!("z-{}", i % zones).parse().unwrap());
        members.record_beacon(at(0), &vm, stamp(1, at(0)), false);
    }
    members
}

fn address(vm: u16) -> SocketAddr {
    ([127, 0, 0, 1], 1_024 + vm).into()
}

fn stamp(number: u64, sent: Moment) -> BeaconStamp {
    BeaconStamp {
        incarnation: Incarnation(7),
        number,
        sent,
    }
}

/// A beacon crosses to each other zone once, whatever the size of the fleet,
/// and goes to each VM of its own.
#[rstest]
#[case::few(3, 4, false)]
#[case::grown(4, 18, true)]
#[case::large(5, 39, true)]
fn beacons_cross_once_a_zone(#[case] zones: u16, #[case] each: u16, #[case] relays: bool) {
    let members = zoned(zones, each);
    assert_eq!(members.uses_relays(), relays);
    assert_eq!(members.direct_peers().count(), usize::from(each - 1));
    let crossing = members.relay_targets(at(10), 1);
    assert_eq!(crossing.len(), usize::from(zones - 1));
}

/// The VM that passes beacons on is another one each time, and one that lives.
#[test]
fn relays_take_turns() {
    let mut members = zoned(2, 20);
    let many: BTreeSet<_> = (0..20)
        .flat_map(|n| members.relay_targets(at(10), n))
        .collect();
    assert_eq!(many.len(), 20);
    let alive: VmName = "vm-7".parse().unwrap();
    members.record_beacon(at(9_000), &alive, stamp(2, at(9_000)), false);
    let live: BTreeSet<_> = (0..20)
        .flat_map(|n| members.relay_targets(at(9_010), n))
        .collect();
    assert_eq!(live, BTreeSet::from([address(7)]));
}

/// At first nobody is heard: those that are listed are taken.
#[test]
fn relays_before_anybody_is_heard() {
    let mut members = Members::new("vm-0".parse().unwrap(), at(0));
    members.enable_relays("z-0".parse().unwrap());
    for i in 1..20_u16 {
        let vm: VmName = format!("vm-{i}").parse().unwrap();
        members.set_address(vm.clone(), address(i));
        members.set_zone(&vm, "z-1".parse().unwrap());
    }
    assert_eq!(members.relay_targets(at(0), 3).len(), 1);
}

/// A relayed fleet's picture is as young at 195 VMs as at 40.
#[rstest]
#[case::grown(40, 400)]
#[case::large(195, 400)]
#[case::larger(300, 800)]
fn beat_where_beacons_are_relayed(#[case] vms: u16, #[case] ms: u64) {
    assert_eq!(zoned(5, vms / 5).beacon_interval(), Span::from_millis(ms));
}

/// Just one VM is the first in an order, and the next one follows when it is
/// lost; a VM that has just started leaves it to the others.
#[test]
fn rank_is_one_order_for_all() {
    let names: Vec<VmName> = (0..30)
        .map(|i| format!("vm-{i}").parse().unwrap())
        .collect();
    let ranks = |lost: Option<&VmName>, ms: u64| -> BTreeMap<u64, VmName> {
        let rank = |own: &VmName| {
            let mut members = Members::new(own.clone(), at(0));
            for vm in names.iter().filter(|vm| *vm != own) {
                members.set_address(vm.clone(), address(1));
                if Some(vm) != lost {
                    members.record_beacon(at(ms), vm, stamp(1, at(ms)), false);
                }
            }
            (members.rank(at(ms), 3), own.clone())
        };
        let live = names.iter().filter(|vm| Some(*vm) != lost);
        live.map(rank).collect()
    };
    let all = ranks(None, 3_000);
    assert_eq!(all.len(), 30, "each has a place of its own");
    let left = ranks(Some(&all[&0]), 3_000);
    assert_eq!(left[&0], all[&1]);
    assert!(
        !ranks(None, 100).contains_key(&0),
        "nobody is first at once"
    );
}

/// A datagram that was read late, as this VM was suspended, does not pass for a
/// young one.
#[test]
fn delay_of_a_late_datagram() {
    let mut members = zoned(2, 2);
    let vm: VmName = "vm-1".parse().unwrap();
    assert_eq!(members.beacon_delay(&vm), None, "one beacon tells nothing");
    for n in 1..=3 {
        let sent = at(400 * n);
        members.record_beacon(at(400 * n + 2), &vm, stamp(n + 1, sent), false);
    }
    // The first one came at once.
    assert_eq!(members.beacon_delay(&vm), Some(Span::from_millis(2)));
    members.record_beacon(at(9_000), &vm, stamp(9, at(1_600)), false);
    assert_eq!(members.beacon_delay(&vm), Some(Span::from_millis(7_400)));
}
