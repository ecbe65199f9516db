//! Which VMs are notified at once when the adapters loaded at a replica change.

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

/// The pending notifications as text, one line for each VM.
fn pending(subscriptions: &mut Subscriptions) -> String {
    let pending = subscriptions.take_pending();
    let lines = pending.iter().map(|(vm, names)| {
        let names: Vec<_> = names.iter().map(ReplicaName::as_str).collect();
        format!("{}: {}", vm.as_str(), names.join(" "))
    });
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn record_change_notifies_subscribers() {
    let mut subscriptions = Subscriptions::default();
    subscriptions.subscribe(at(0), &vm("vm-1"), &replica("i-1"), false);
    subscriptions.subscribe(at(0), &vm("vm-2"), &replica("i-2"), false);
    assert_eq!(pending(&mut subscriptions), "");
    subscriptions.record_change(at(200), &replica("i-1"));
    subscriptions.record_change(at(200), &replica("i-3"));
    assert_eq!(pending(&mut subscriptions), "vm-1: i-1");
    assert_eq!(pending(&mut subscriptions), "");
}

/// A VM that requests what is loaded already has an outdated view.
#[test]
fn subscribe_to_loaded_adapter_notifies() {
    let mut subscriptions = Subscriptions::default();
    subscriptions.subscribe(at(0), &vm("vm-1"), &replica("i-1"), true);
    assert_eq!(pending(&mut subscriptions), "vm-1: i-1");
}

#[test]
fn subscribe_expires_unless_renewed() {
    let mut subscriptions = Subscriptions::default();
    subscriptions.subscribe(at(0), &vm("vm-1"), &replica("i-1"), false);
    subscriptions.subscribe(at(900), &vm("vm-2"), &replica("i-1"), false);
    subscriptions.record_change(at(1_200), &replica("i-1"));
    assert_eq!(pending(&mut subscriptions), "vm-2: i-1");
}
