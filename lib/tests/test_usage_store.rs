//! Usage is counted once, even if reports or writes are repeated, lost or made by
//! two processes.
//!
//! The tests of stopping processes guard against usage that is charged to no team
//! (seed 40490 of `no_evict_in_use`: 18 to 51 tokens not charged). A control
//! process that stopped during an outage of the platform still acknowledged a
//! report after it had sent its counters to its peer, so that no process had them.
//! A stopping process therefore refuses reports and copies, and writes or forwards
//! what it holds.

use std::time::Duration;

use banyangauge::control::usage;
use banyangauge::control::usage::Count;
use banyangauge::control::usage::UsageKey;
use banyangauge::control::usage::totals;
use banyangauge::platform::Platform;
use banyangauge_proto as wire;
use rstest::rstest;
use serde_json::json;

use crate::rig;

fn report(vm: &str, sequence: u64, counts: &[(&str, u64)]) -> wire::UsageReport {
    let count = |(adapter, n): &(&str, u64)| wire::UsageCount {
        team: "laundry".to_owned(),
        adapter: (*adapter).to_owned(),
        version: 1,
        requests: *n,
        prompt_tokens: n * 10,
        output_tokens: n * 100,
    };
    wire::UsageReport {
        vm: vm.to_owned(),
        incarnation: 7,
        sequence,
        counts: counts.iter().map(count).collect(),
    }
}

fn key(adapter: &str) -> UsageKey {
    UsageKey {
        team: "laundry".to_owned(),
        adapter: adapter.to_owned(),
        version: 1,
    }
}

async fn sum(platform: &Platform, adapter: &str) -> u64 {
    let empty = rig::shared("reader", platform, &[]).state.usage.clone();
    let all = usage::read_all(platform, &empty).await.unwrap();
    totals(&all).get(&key(adapter)).map_or(0, |c| c.requests)
}

#[tokio::test]
async fn record_ignores_lower_sequence() {
    let (_running, platform) = rig::platform().await;
    let store = rig::shared("vm-1", &platform, &[]).state.usage.clone();
    assert_eq!(
        store
            .record(report("vm-1", 5, &[("rosters", 3)]))
            .unwrap()
            .sequence,
        5
    );
    assert_eq!(
        store
            .record(report("vm-1", 5, &[("rosters", 9)]))
            .unwrap()
            .sequence,
        5
    );
    assert_eq!(
        store
            .record(report("vm-1", 4, &[("rosters", 9)]))
            .unwrap()
            .sequence,
        5
    );
    // A newer report may omit counters that did not increase, and never lowers one.
    store.record(report("vm-1", 6, &[("dryers", 1), ("rosters", 2)]));
    let sums = totals(&store.counts());
    let three = Count {
        requests: 3,
        prompt: 30,
        output: 300,
    };
    assert_eq!(sums[&key("rosters")], three);
    assert_eq!(sums[&key("dryers")].requests, 1);
}

/// The response to a write is lost and the write repeated, and a restarted control
/// process that has only the last report writes the object as well.
#[tokio::test]
async fn flush_is_idempotent() {
    let (running, platform) = rig::platform().await;
    let shared = rig::shared("vm-1", &platform, &[]);
    let store = &shared.state.usage;
    store.record(report("vm-1", 1, &[("rosters", 3), ("dryers", 2)]));
    rig::set_faults(&running, json!({"lose_after_write": 1})).await;
    usage::flush(&shared, store, usage::SOURCE_TIMEOUT).await;
    usage::flush(&shared, store, usage::SOURCE_TIMEOUT).await;
    assert_eq!(sum(&platform, "rosters").await, 3);
    let restarted = rig::shared("vm-1", &platform, &[]);
    let store = &restarted.state.usage;
    store.record(report("vm-1", 9, &[("rosters", 4)]));
    usage::flush(&restarted, store, usage::SOURCE_TIMEOUT).await;
    assert_eq!(sum(&platform, "rosters").await, 4);
    assert_eq!(sum(&platform, "dryers").await, 2);
    let before = rig::call_count(&running, "usages", "replace").await;
    usage::flush(&restarted, store, usage::SOURCE_TIMEOUT).await;
    assert_eq!(rig::call_count(&running, "usages", "replace").await, before);
}

#[tokio::test]
async fn flush_retries_after_outage() {
    let (running, platform) = rig::platform().await;
    let shared = rig::shared("vm-1", &platform, &[]);
    let store = &shared.state.usage;
    store.record(report("vm-1", 1, &[("rosters", 3)]));
    rig::set_faults(&running, json!({"down": true})).await;
    usage::flush(&shared, store, usage::SOURCE_TIMEOUT).await;
    assert!(usage::read_all(&platform, store).await.is_err());
    rig::set_faults(&running, json!({"down": false})).await;
    usage::flush(&shared, store, usage::SOURCE_TIMEOUT).await;
    assert_eq!(sum(&platform, "rosters").await, 3);
}

/// More counters than one object holds are split into several objects.
#[tokio::test]
async fn flush_in_parts() {
    let (_running, platform) = rig::platform().await;
    let shared = rig::shared("vm-1", &platform, &[]);
    let store = &shared.state.usage;
    let names: Vec<_> = (0..4_500).map(|n| format!("adapter-{n:05}")).collect();
    let rows: Vec<_> = names.iter().map(|n| (n.as_str(), 1)).collect();
    store.record(report("vm-1", 1, &rows));
    usage::flush(&shared, store, usage::SOURCE_TIMEOUT).await;
    let list = platform.list::<serde_json::Value>("usages").await.unwrap();
    assert_eq!(list.items.len(), 3);
    assert_eq!(sum(&platform, "adapter-04499").await, 1);
}

/// A VM is lost before it wrote anything. The peer in another zone writes its
/// counters, and writing them twice counts them once.
#[tokio::test]
async fn run_peer_writes_for_lost_vm() {
    let (_running, platform) = rig::platform().await;
    let holder = rig::shared("vm-2", &platform, &[]);
    let near = rig::shared("vm-3", &platform, &[]);
    let shared = rig::shared("vm-1", &platform, &[]);
    let members = [
        rig::member(&holder, rig::serve_peer(&holder).await, "suva-b"),
        rig::member(&near, rig::serve_peer(&near).await, "suva-a"),
    ];
    shared.state.members.send_modify(|all| {
        all.extend(members.into_iter().map(|m| (m.vm.parse().unwrap(), m)));
    });
    let store = shared.state.usage.clone();
    let lost = tokio::spawn(usage::run(shared.clone(), store.clone(), flush_interval()));
    store.record(report("vm-1", 1, &[("rosters", 3)]));
    store.record(report("vm-1", 2, &[("rosters", 5)]));
    rig::wait_until(|| {
        totals(&holder.state.usage.counts())
            .get(&key("rosters"))
            .is_some_and(|c| c.requests == 5)
    })
    .await;
    assert!(near.state.usage.counts().is_empty());
    lost.abort();
    usage::flush(&holder, &holder.state.usage, usage::SOURCE_TIMEOUT).await;
    assert_eq!(
        sum(&platform, "rosters").await,
        0,
        "the VM may still be live"
    );
    usage::flush(&holder, &holder.state.usage, Duration::ZERO).await;
    usage::flush(&holder, &holder.state.usage, Duration::ZERO).await;
    assert_eq!(sum(&platform, "rosters").await, 5);
}

/// An entry whose control process is down reports to another VM's, which writes
/// the usage; copies held for a live peer are not written.
#[tokio::test]
async fn flush_writes_reports_of_other_vms() {
    let (_running, platform) = rig::platform().await;
    let shared = rig::shared("vm-2", &platform, &[]);
    let store = &shared.state.usage;
    store.record(report("vm-1", 1, &[("rosters", 3)]));
    store.hold_copy(report("vm-3", 1, &[("dryers", 2)]));
    usage::flush(&shared, store, usage::SOURCE_TIMEOUT).await;
    assert_eq!(sum(&platform, "rosters").await, 3);
    assert_eq!(sum(&platform, "dryers").await, 0, "its own VM writes it");
}

fn flush_interval() -> Duration {
    Duration::from_secs(10)
}

/// A process stops during an outage of the platform, right after a report. Its
/// peer receives the counters that cannot be written and writes them later.
#[tokio::test]
async fn run_copies_last_report_while_stopping() {
    let (running, platform) = rig::platform().await;
    let holder = rig::shared("vm-2", &platform, &[]);
    let shared = rig::shared("vm-1", &platform, &[]);
    let member = rig::member(&holder, rig::serve_peer(&holder).await, "suva-b");
    shared.state.members.send_modify(|all| {
        all.insert(member.vm.parse().unwrap(), member);
    });
    rig::set_faults(&running, json!({"down": true})).await;
    let store = shared.state.usage.clone();
    let ends = usage::run(shared.clone(), store.clone(), Duration::from_secs(60));
    let ends = tokio::spawn(ends);
    store.record(report("vm-1", 1, &[("rosters", 3)]));
    rig::wait_until(|| !holder.state.usage.counts().is_empty()).await;
    store.record(report("vm-1", 2, &[("rosters", 5)]));
    shared.state.stopping.send_replace(true);
    ends.await.unwrap();
    rig::set_faults(&running, json!({"down": false})).await;
    usage::flush(&holder, &holder.state.usage, Duration::ZERO).await;
    assert_eq!(sum(&platform, "rosters").await, 5);
}

/// A stopping process refuses reports after its last copy, because they would not
/// be written; the entry reports to another process instead.
#[tokio::test]
async fn record_refused_while_stopping() {
    let (_running, platform) = rig::platform().await;
    let shared = rig::shared("vm-1", &platform, &[]);
    let store = shared.state.usage.clone();
    assert!(store.record(report("vm-1", 1, &[("rosters", 3)])).is_some());
    shared.state.stopping.send_replace(true);
    usage::run(shared.clone(), store.clone(), flush_interval()).await;
    assert!(store.record(report("vm-1", 2, &[("rosters", 5)])).is_none());
    assert_eq!(sum(&platform, "rosters").await, 3);
}

/// A stopping process refuses copies after its last write, because they would not
/// be written; the peer that sends them may be stopping as well.
#[tokio::test]
async fn hold_copy_refused_while_stopping() {
    let (_running, platform) = rig::platform().await;
    let shared = rig::shared("vm-2", &platform, &[]);
    let store = shared.state.usage.clone();
    let held = store.hold_copy(report("vm-1", 1, &[("rosters", 3)]));
    assert!(held.is_some());
    shared.state.stopping.send_replace(true);
    usage::run(shared.clone(), store.clone(), flush_interval()).await;
    let held = store.hold_copy(report("vm-1", 2, &[("rosters", 5)]));
    assert!(held.is_none(), "copy accepted by a stopping process");
}

/// A process stopped during an outage of the platform, and the peer that holds its
/// last counters stops soon after. The platform is back by then, or another peer
/// receives them.
#[rstest]
#[case::platform_back(false)]
#[case::platform_still_down(true)]
#[tokio::test]
async fn run_forwards_copies_while_stopping(#[case] down: bool) {
    let (running, platform) = rig::platform().await;
    let shared = rig::shared("vm-2", &platform, &[]);
    let third = rig::shared("vm-3", &platform, &[]);
    let member = rig::member(&third, rig::serve_peer(&third).await, "suva-b");
    shared.state.members.send_modify(|all| {
        all.insert(member.vm.parse().unwrap(), member);
    });
    let store = shared.state.usage.clone();
    let _ = store.hold_copy(report("vm-1", 1, &[("rosters", 3)]));
    rig::set_faults(&running, json!({"down": down})).await;
    shared.state.stopping.send_replace(true);
    usage::run(shared.clone(), store.clone(), flush_interval()).await;
    rig::set_faults(&running, json!({"down": false})).await;
    usage::flush(&third, &third.state.usage, Duration::ZERO).await;
    assert_eq!(sum(&platform, "rosters").await, 3);
}

/// The preferred peer does not respond during an outage of the platform. The next
/// peer receives the last counters.
#[tokio::test]
async fn run_tries_next_peer_while_stopping() {
    let (running, platform) = rig::platform().await;
    let holder = rig::shared("vm-2", &platform, &[]);
    let shared = rig::shared("vm-1", &platform, &[]);
    let near = rig::member(&holder, rig::serve_peer(&holder).await, "suva-a");
    let gone = rig::shared("vm-3", &platform, &[]);
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    // It accepts connections and never responds.
    let far = rig::member(&gone, silent.local_addr().unwrap(), "suva-b");
    shared.state.members.send_modify(|all| {
        for member in [near, far] {
            all.insert(member.vm.parse().unwrap(), member);
        }
    });
    rig::set_faults(&running, json!({"down": true})).await;
    let store = shared.state.usage.clone();
    store.record(report("vm-1", 1, &[("rosters", 3)]));
    shared.state.stopping.send_replace(true);
    usage::run(shared.clone(), store.clone(), flush_interval()).await;
    rig::set_faults(&running, json!({"down": false})).await;
    usage::flush(&holder, &holder.state.usage, Duration::ZERO).await;
    assert_eq!(sum(&platform, "rosters").await, 3);
}
