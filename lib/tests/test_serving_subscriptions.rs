//! Which VMs hear at once of a load.

use banyangauge::ids::ReplicaName;
use banyangauge::ids::VmName;
use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::serving::Subscriptions;

fn at(ms: u64) -> Moment {
    Moment(10_000_000).after(Span::from_millis(ms))
}

fn vm(name: &str) -> VmName {
    name.parse().unwrap()
}

fn replica(name: &str) -> ReplicaName {
    name.parse().unwrap()
}

/// Who is told of which replicas, as text.
fn owed(audience: &mut Subscriptions) -> String {
    let owed = audience.take_pending();
    let lines = owed.iter().map(|(vm, names)| {
        let names: Vec<_> = names.iter().map(ReplicaName::as_str).collect();
        format!("{}: {}", vm.as_str(), names.join(" "))
    });
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn changed_is_told_to_those_who_wait() {
    let mut a = Subscriptions::default();
    a.subscribe(at(0), &vm("vm-1"), &replica("i-1"), false);
    a.subscribe(at(0), &vm("vm-2"), &replica("i-2"), false);
    assert_eq!(owed(&mut a), "");
    a.record_change(at(200), &replica("i-1"));
    a.record_change(at(200), &replica("i-3"));
    assert_eq!(owed(&mut a), "vm-1: i-1");
    assert_eq!(owed(&mut a), "");
}

/// One that asks for what is there already has an old picture.
#[test]
fn ask_for_what_is_there_is_answered() {
    let mut a = Subscriptions::default();
    a.subscribe(at(0), &vm("vm-1"), &replica("i-1"), true);
    assert_eq!(owed(&mut a), "vm-1: i-1");
}

#[test]
fn ask_lapses_unless_renewed() {
    let mut a = Subscriptions::default();
    a.subscribe(at(0), &vm("vm-1"), &replica("i-1"), false);
    a.subscribe(at(900), &vm("vm-2"), &replica("i-1"), false);
    a.record_change(at(1_200), &replica("i-1"));
    assert_eq!(owed(&mut a), "vm-2: i-1");
}
