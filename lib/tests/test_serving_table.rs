//! Which VM owns which replica, and from when.

use std::collections::BTreeSet;

use banyangauge::ids::Incarnation;
use banyangauge::ids::ReplicaName;
use banyangauge::ids::VmName;
use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::serving::BeaconStamp;
use banyangauge::serving::Era;
use banyangauge::serving::Members;
use banyangauge::serving::OwnerTable;
use banyangauge::serving::Ownership;
use rstest::rstest;

use crate::rig::rev;

const LEASE: Span = Span::from_millis(3_000);

fn at(ms: u64) -> Moment {
    Moment(10_000_000).after(Span::from_millis(ms))
}

fn vms(names: &[&str]) -> BTreeSet<VmName> {
    names.iter().map(|n| n.parse().unwrap()).collect()
}

fn stamp(incarnation: u64, number: u64) -> BeaconStamp {
    BeaconStamp {
        incarnation: Incarnation(incarnation),
        number,
        sent: at(0),
    }
}

fn replicas(names: &[&str]) -> BTreeSet<ReplicaName> {
    names.iter().map(|n| n.parse().unwrap()).collect()
}

#[test]
fn reassigned_spreads_and_keeps() {
    let first = OwnerTable::default()
        .reassigned(
            &vms(&["a", "b"]),
            &vms(&[]),
            &replicas(&["1", "2", "3", "4"]),
        )
        .unwrap();
    let count = |vm: &str| {
        first
            .owners
            .values()
            .filter(|o| o.vm.as_str() == vm)
            .count()
    };
    assert_eq!((count("a"), count("b")), (2, 2));
    assert_eq!(
        first.reassigned(
            &vms(&["a", "b"]),
            &vms(&[]),
            &replicas(&["1", "2", "3", "4"])
        ),
        None
    );
    let lost = first
        .reassigned(&vms(&["b"]), &vms(&[]), &replicas(&["1", "2", "3", "4"]))
        .unwrap();
    for (name, owner) in &lost.owners {
        let old = &first.owners[name];
        assert_eq!(owner.vm.as_str(), "b");
        let kept = old.vm.as_str() == "b";
        assert_eq!(
            owner.token == old.token,
            kept,
            "only a change of owner takes a new token"
        );
        let former = if kept { vms(&[]) } else { vms(&["a"]) };
        assert_eq!(owner.former, former);
    }
}

/// The former owner may not know yet that it lost the replica.
#[test]
fn new_owner_waits_for_lease() {
    let first = OwnerTable::default()
        .reassigned(&vms(&["a"]), &vms(&[]), &replicas(&["1"]))
        .unwrap();
    let second = first
        .reassigned(&vms(&["b"]), &vms(&[]), &replicas(&["1"]))
        .unwrap();
    let name: ReplicaName = "1".parse().unwrap();
    let mut a = Ownership::new("a".parse().unwrap(), LEASE, true);
    let mut b = Ownership::new("b".parse().unwrap(), LEASE, true);
    assert!(a.apply_table(at(0), first, rev(1)));
    assert!(
        a.token(at(0), &name).is_some(),
        "a new replica needs no wait"
    );
    assert!(a.apply_table(at(10), second.clone(), rev(2)));
    assert!(b.apply_table(at(10), second, rev(2)));
    assert_eq!(a.token(at(10), &name), None);
    assert_eq!(b.token(at(3_010), &name), None);
    assert!(b.token(at(5_000), &name).is_some());
}

#[test]
fn rejected_token_is_not_used() {
    let table = OwnerTable::default()
        .reassigned(&vms(&["a"]), &vms(&[]), &replicas(&["1"]))
        .unwrap();
    let name: ReplicaName = "1".parse().unwrap();
    let mut a = Ownership::new("a".parse().unwrap(), LEASE, true);
    a.apply_table(at(0), table, rev(1));
    let token = a.token(at(0), &name).unwrap();
    a.record_refusal(&name, token);
    assert_eq!(a.token(at(9_000), &name), None);
}

/// A VM that was suspended may have lost its replicas to others, so it must read
/// the table again before it gives orders.
#[test]
fn invalidate_stops_orders() {
    let table = OwnerTable::default()
        .reassigned(&vms(&["a"]), &vms(&[]), &replicas(&["1"]))
        .unwrap();
    let name: ReplicaName = "1".parse().unwrap();
    let mut a = Ownership::new("a".parse().unwrap(), LEASE, true);
    a.apply_table(at(0), table.clone(), rev(1));
    a.invalidate();
    assert_eq!(a.token(at(1), &name), None);
    a.apply_table(at(2), table, rev(1));
    assert!(a.token(at(2), &name).is_some());
}

#[test]
fn apply_table_ignores_older_revision() {
    let first = OwnerTable::default()
        .reassigned(&vms(&["a"]), &vms(&[]), &replicas(&["1"]))
        .unwrap();
    let second = first
        .reassigned(&vms(&["b"]), &vms(&[]), &replicas(&["1"]))
        .unwrap();
    let mut a = Ownership::new("a".parse().unwrap(), LEASE, true);
    assert!(a.apply_table(at(0), second, rev(2)));
    assert!(!a.apply_table(at(1), first, rev(1)));
}

/// The first live VM proposes a change at once, the next one a step later.
#[rstest]
#[case::first("a", 0, true)]
#[case::second("b", 0, false)]
#[case::second_later("b", 1_300, true)]
fn proposal_is_staggered(#[case] vm: &str, #[case] ms: u64, #[case] proposes: bool) {
    let mut o = Ownership::new(vm.parse().unwrap(), LEASE, true);
    let (live, all) = (vms(&["a", "b"]), replicas(&["1"]));
    assert_eq!(
        o.proposal(at(0), &live, &all),
        None,
        "what is stored is not known yet"
    );
    o.mark_read(Era::default(), false);
    let now = o.proposal(at(0), &live, &all);
    let later = o.proposal(at(ms), &live, &all);
    assert_eq!(now.or(later).is_some(), proposes);
}

#[test]
fn members_by_beacons() {
    let mut m = Members::new("a".parse().unwrap(), at(0));
    let b: VmName = "b".parse().unwrap();
    m.set_address(b.clone(), ([127, 0, 0, 1], 1).into());
    assert!(
        !m.can_detect_failures(at(100)),
        "no beacon has been received yet"
    );
    assert!(m.record_beacon(at(100), &b, stamp(1, 1), false));
    assert!(
        !m.record_beacon(at(101), &b, stamp(1, 1), false),
        "a duplicate beacon must be ignored"
    );
    assert!(m.can_detect_failures(at(200)));
    assert_eq!(m.live_vms(at(200)).len(), 2);
    assert_eq!(m.live_vms(at(2_200)).len(), 1);
    assert!(
        !m.can_detect_failures(at(2_200)),
        "a partitioned VM must not decide who failed"
    );
    assert!(m.can_detect_failures(at(7_000)));
    assert!(m.record_beacon(at(7_000), &b, stamp(2, 1), true));
    assert_eq!(
        m.live_vms(at(12_000)).len(),
        2,
        "a restarted VM keeps its replicas"
    );
    assert_eq!(m.live_vms(at(13_100)).len(), 1);
}

/// After a restart of all VMs, owners that had waited do not wait again.
#[test]
fn restarted_owner_does_not_wait_twice() {
    let first = OwnerTable::default()
        .reassigned(&vms(&["a"]), &vms(&[]), &replicas(&["1"]))
        .unwrap();
    let second = first
        .reassigned(&vms(&["b"]), &vms(&[]), &replicas(&["1"]))
        .unwrap();
    let name: ReplicaName = "1".parse().unwrap();
    let (live, all) = (vms(&["b"]), replicas(&["1"]));
    let mut b = Ownership::new("b".parse().unwrap(), LEASE, true);
    b.apply_table(at(0), second.clone(), rev(2));
    assert_eq!(b.proposal(at(4_000), &live, &all), None);
    let settled = b.proposal(at(5_000), &live, &all).unwrap();
    assert_eq!(settled.owners[&name].token, second.owners[&name].token);
    let mut again = Ownership::new("b".parse().unwrap(), LEASE, true);
    again.apply_table(at(60_000), settled, rev(3));
    assert!(again.token(at(60_000), &name).is_some());
}

/// A replica whose entry was removed and came back goes to its last owner, whose
/// orders may still reach it.
#[test]
fn reassigned_remembers_owners_of_removed_replicas() {
    let none = vms(&[]);
    let first = OwnerTable::default();
    let first = first.reassigned(&vms(&["a", "b"]), &none, &replicas(&["1", "2"]));
    let first = first.unwrap();
    let left = first.reassigned(&vms(&["a", "b"]), &none, &replicas(&["2"]));
    let left = left.unwrap();
    let name: ReplicaName = "1".parse().unwrap();
    assert_eq!(left.owners.get(&name), None);
    let back = left.reassigned(&vms(&["a", "b"]), &none, &replicas(&["1", "2"]));
    assert_eq!(back.unwrap().owners[&name], first.owners[&name]);
    let lost = left.reassigned(&vms(&["b"]), &none, &replicas(&["1", "2"]));
    assert_eq!(lost.unwrap().owners[&name].former, vms(&["a"]));
}

/// A former owner may have lost the replica to a VM that lost it as well, and
/// know of neither change.
#[test]
fn former_owners_add_up() {
    let none = vms(&[]);
    let all = replicas(&["1"]);
    let table = OwnerTable::default().reassigned(&vms(&["a"]), &none, &all);
    let table = table.unwrap().reassigned(&vms(&["b"]), &none, &all);
    let table = table
        .unwrap()
        .reassigned(&vms(&["c"]), &none, &all)
        .unwrap();
    let owner = table.owners.values().next().unwrap();
    assert_eq!(owner.former, vms(&["a", "b"]));
}

/// VMs that may not be considered failed yet keep their replicas and get no
/// others.
#[test]
fn reassigned_keeps_protected_owner() {
    let none = vms(&[]);
    let table = OwnerTable::default().reassigned(&vms(&["a"]), &none, &replicas(&["1"]));
    let table = table.unwrap();
    let next = table.reassigned(&vms(&["b"]), &vms(&["a"]), &replicas(&["1", "2", "3"]));
    let next = next.unwrap();
    let owner = |name: &str| next.owners[name].vm.to_string();
    assert_eq!([owner("1"), owner("2"), owner("3")], ["a", "b", "b"]);
}
