//! What a VM knows after the store came back from an earlier copy.

use std::collections::BTreeSet;

use banyangauge::ids::ReplicaName;
use banyangauge::ids::VmName;
use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::serving::Era;
use banyangauge::serving::Fleet;
use banyangauge::serving::Owner;
use banyangauge::serving::OwnerTable;
use banyangauge::serving::Ownership;
use banyangauge::serving::Recency;
use banyangauge::serving::ReplicaInfo;
use banyangauge::serving::StoreRevision;
use rstest::rstest;

use super::test_serving_place::listing;

const LEASE: Span = Span::from_millis(3_000);

fn at(ms: u64) -> Moment {
    Moment(10_000_000).after(Span::from_millis(ms))
}

fn vms(names: &[&str]) -> BTreeSet<VmName> {
    names.iter().map(|n| n.parse().unwrap()).collect()
}

fn replica() -> ReplicaName {
    "i-1".parse().unwrap()
}

/// A table of the first era in which `a` owns the replica, and what it becomes when `b`
/// takes over.
fn tables() -> (OwnerTable, OwnerTable) {
    let all = BTreeSet::from([replica()]);
    let first = OwnerTable::default().regranted(Era(1), true);
    let first = first.reassigned(&vms(&["a"]), &vms(&[]), &all).unwrap();
    let first = OwnerTable {
        members: vms(&["a", "b"]),
        ..first
    };
    let mut later = first.reassigned(&vms(&["b"]), &vms(&[]), &all).unwrap();
    // Its wait is over.
    later.owners.values_mut().for_each(|o| o.former.clear());
    (first, later)
}

fn rev(era: u64, number: u64) -> StoreRevision {
    StoreRevision::new(Era(era), number)
}

/// A VM that knows the later table, in a store that came back with the first one.
fn restored(vm: &str, fenced: bool) -> Ownership {
    let (first, later) = tables();
    let mut own = Ownership::new(vm.parse().unwrap(), LEASE, fenced);
    own.apply_table(at(0), first.clone(), rev(1, 5));
    own.apply_table(at(10), later, rev(1, 9));
    assert!(!own.apply_table(at(20_000), first, rev(2, 5)));
    own
}

fn propose(own: &mut Ownership, ms: u64) -> Option<OwnerTable> {
    own.proposal(at(ms), &vms(&["a", "b"]), &BTreeSet::from([replica()]))
}

fn owner(table: &OwnerTable) -> &Owner {
    &table.owners[&replica()]
}

/// Where replicas check fencing tokens, the newest known owner goes on with a higher token.
#[test]
fn fenced_owner_continues_after_restore() {
    let mut b = restored("b", true);
    let old = b.token(at(20_000), &replica()).unwrap();
    let mut a = restored("a", true);
    let table = propose(&mut a, 20_000).unwrap();
    assert_eq!(owner(&table).vm, "b".parse().unwrap());
    assert!(b.apply_table(at(20_100), table, rev(2, 6)));
    assert!(b.token(at(20_100), &replica()).unwrap() > old);
}

/// A VM that knows an older table than another one lets that one propose; if it does not,
/// unknown owners are waited for.
#[test]
fn outdated_vm_proposes_later_and_waits() {
    let (first, _) = tables();
    let mut own = Ownership::new("a".parse().unwrap(), LEASE, true);
    own.apply_table(at(0), first.clone(), rev(1, 5));
    own.record_peer_revision(at(10), &"b".parse().unwrap(), rev(1, 9));
    own.apply_table(at(20_000), first, rev(2, 5));
    assert_eq!(propose(&mut own, 20_000), None);
    assert_eq!(propose(&mut own, 25_900), None);
    let table = propose(&mut own, 26_000).unwrap();
    own.apply_table(at(26_000), table, rev(2, 6));
    assert_eq!(own.token(at(30_400), &replica()), None);
    assert!(own.token(at(30_500), &replica()).is_some());
}

/// Where replicas check none, nobody orders until all members know the new era or nothing
/// that was granted before can be valid.
#[rstest]
#[case::silent(false, 39_000, None)]
#[case::expired(false, 39_200, Some(()))]
#[case::acknowledged(true, 24_200, None)]
#[case::acknowledged_and_leased(true, 24_400, Some(()))]
fn unfenced_owner_waits_after_restore(
    #[case] acknowledged: bool,
    #[case] ms: u64,
    #[case] expected: Option<()>,
) {
    let mut own = restored("b", false);
    own.confirm(at(20_000), Era(1));
    assert_eq!(own.token(at(20_000), &replica()), None, "of an earlier era");
    let table = propose(&mut own, 21_200).or_else(|| propose(&mut own, 22_400));
    assert!(own.apply_table(at(20_000), table.unwrap(), rev(2, 6)));
    if acknowledged {
        own.record_peer_revision(at(20_200), &"a".parse().unwrap(), rev(2, 6));
    }
    own.confirm(at(ms), Era(2));
    let token = own.token(at(ms), &replica());
    assert_eq!(token.map(|_| ()), expected);
}

/// A write of the era before landed on a revision that was given out again.
#[test]
fn table_overwritten_by_late_write_is_put_back() {
    let (first, _) = tables();
    let mut own = restored("a", true);
    let table = propose(&mut own, 20_000).unwrap();
    own.apply_table(at(20_100), table.clone(), rev(2, 6));
    assert_eq!(propose(&mut own, 20_200), None);
    assert!(!own.apply_table(at(20_300), first, rev(2, 7)));
    assert_eq!(own.stored(), Some(rev(2, 7)));
    assert_eq!(propose(&mut own, 20_400), Some(table));
}

/// The store may lack a configuration that revoked keys until the operator wrote it again.
#[rstest]
#[case::at_once(100, false)]
#[case::written_again(2_000, true)]
fn proof_counts_once_the_operator_wrote_again(#[case] asked: u64, #[case] counts: bool) {
    let mut recency = Recency::default();
    recency.confirm_list(at(0));
    recency.begin_era(at(5_000));
    recency.confirm_list(at(5_000 + asked));
    let age = recency.age(at(8_000)).unwrap();
    let expected = if counts { 3_000 - asked } else { 8_000 };
    assert_eq!(age, Span::from_millis(expected));
}

/// A copy lists the incarnation of a replica before the one that is known.
#[test]
fn former_incarnation_of_copy_is_ignored() {
    let mut fleet = Fleet::new("z-a".parse().unwrap());
    let entry = |started_ms| ReplicaInfo {
        started_ms,
        ..listing("i-1", "app", "z-a", &[])
    };
    fleet.apply_listing(entry(2));
    assert!(!fleet.apply_copied_listing(at(0), entry(1)));
    assert_eq!(fleet.started_ms(&replica()), Some(2));
}
