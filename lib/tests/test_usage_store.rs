//! Usage counted once, whatever is repeated, lost or written by two.
//!
//! The cases of stopping processes tell of usage that was charged to no team:
//! seed 40490 of `no_evict_in_use` stops a control process while the platform is
//! away, and 18 to 51 tokens were given and not charged. The history showed the
//! last report answered by the process that stopped, and none after it: it had
//! handed its counters to its peer before, so that nobody had them. Reports and
//! copies that nobody would write are refused now, and what is held is written or
//! handed on by whoever ends.

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

fn row(adapter: &str) -> UsageKey {
    UsageKey {
        team: "laundry".to_owned(),
        adapter: adapter.to_owned(),
        version: 1,
    }
}

async fn sum(platform: &Platform, adapter: &str) -> u64 {
    let empty = rig::shared("reader", platform, &[]).state.usage.clone();
    let all = usage::read_all(platform, &empty).await.unwrap();
    totals(&all).get(&row(adapter)).map_or(0, |c| c.requests)
}

#[tokio::test]
async fn take_lower_sequence_changes_nothing() {
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
    // A higher report may leave out what did not rise, and never lowers.
    store.record(report("vm-1", 6, &[("dryers", 1), ("rosters", 2)]));
    let sums = totals(&store.counts());
    let three = Count {
        requests: 3,
        prompt: 30,
        output: 300,
    };
    assert_eq!(sums[&row("rosters")], three);
    assert_eq!(sums[&row("dryers")].requests, 1);
}

/// The answer to the write is lost, the write is repeated, and a restarted
/// control process that knows only the last report writes as well.
#[tokio::test]
async fn flush_once_whatever_is_repeated() {
    let (running, platform) = rig::platform().await;
    let shared = rig::shared("vm-1", &platform, &[]);
    let store = &shared.state.usage;
    store.record(report("vm-1", 1, &[("rosters", 3), ("dryers", 2)]));
    rig::fault(&running, json!({"lose_after_write": 1})).await;
    usage::flush(&shared, store, usage::SOURCE_TIMEOUT).await;
    usage::flush(&shared, store, usage::SOURCE_TIMEOUT).await;
    assert_eq!(sum(&platform, "rosters").await, 3);
    let restarted = rig::shared("vm-1", &platform, &[]);
    let store = &restarted.state.usage;
    store.record(report("vm-1", 9, &[("rosters", 4)]));
    usage::flush(&restarted, store, usage::SOURCE_TIMEOUT).await;
    assert_eq!(sum(&platform, "rosters").await, 4);
    assert_eq!(sum(&platform, "dryers").await, 2);
    let before = rig::calls(&running, "usages", "replace").await;
    usage::flush(&restarted, store, usage::SOURCE_TIMEOUT).await;
    assert_eq!(rig::calls(&running, "usages", "replace").await, before);
}

#[tokio::test]
async fn flush_waits_out_an_outage() {
    let (running, platform) = rig::platform().await;
    let shared = rig::shared("vm-1", &platform, &[]);
    let store = &shared.state.usage;
    store.record(report("vm-1", 1, &[("rosters", 3)]));
    rig::fault(&running, json!({"down": true})).await;
    usage::flush(&shared, store, usage::SOURCE_TIMEOUT).await;
    assert!(usage::read_all(&platform, store).await.is_err());
    rig::fault(&running, json!({"down": false})).await;
    usage::flush(&shared, store, usage::SOURCE_TIMEOUT).await;
    assert_eq!(sum(&platform, "rosters").await, 3);
}

/// More rows than one object holds.
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

/// The VM is lost before it wrote anything: the peer in another zone writes
/// for it, and what both wrote counts once.
#[tokio::test]
async fn run_peer_writes_for_a_lost_vm() {
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
    let lost = tokio::spawn(usage::run(shared.clone(), store.clone(), usage_every()));
    store.record(report("vm-1", 1, &[("rosters", 3)]));
    store.record(report("vm-1", 2, &[("rosters", 5)]));
    rig::until(|| {
        totals(&holder.state.usage.counts())
            .get(&row("rosters"))
            .is_some_and(|c| c.requests == 5)
    })
    .await;
    assert!(near.state.usage.counts().is_empty());
    lost.abort();
    usage::flush(&holder, &holder.state.usage, usage::SOURCE_TIMEOUT).await;
    assert_eq!(sum(&platform, "rosters").await, 0, "the VM may be live");
    usage::flush(&holder, &holder.state.usage, Duration::ZERO).await;
    usage::flush(&holder, &holder.state.usage, Duration::ZERO).await;
    assert_eq!(sum(&platform, "rosters").await, 5);
}

/// An entry whose own control process is down reports to another VM's, and
/// that one writes its usage while the reports go on.
#[tokio::test]
async fn flush_writes_what_a_foreign_entry_reported() {
    let (_running, platform) = rig::platform().await;
    let shared = rig::shared("vm-2", &platform, &[]);
    let store = &shared.state.usage;
    store.record(report("vm-1", 1, &[("rosters", 3)]));
    store.hold_copy(report("vm-3", 1, &[("dryers", 2)]));
    usage::flush(&shared, store, usage::SOURCE_TIMEOUT).await;
    assert_eq!(sum(&platform, "rosters").await, 3);
    assert_eq!(sum(&platform, "dryers").await, 0, "its own VM writes it");
}

fn usage_every() -> Duration {
    Duration::from_secs(10)
}

/// A process is stopped while the platform is away, right after a report: its
/// peer has what cannot be written, and writes it later.
#[tokio::test]
async fn run_stopping_process_hands_over_its_last_report() {
    let (running, platform) = rig::platform().await;
    let holder = rig::shared("vm-2", &platform, &[]);
    let shared = rig::shared("vm-1", &platform, &[]);
    let member = rig::member(&holder, rig::serve_peer(&holder).await, "suva-b");
    shared.state.members.send_modify(|all| {
        all.insert(member.vm.parse().unwrap(), member);
    });
    rig::fault(&running, json!({"down": true})).await;
    let store = shared.state.usage.clone();
    let ends = usage::run(shared.clone(), store.clone(), Duration::from_secs(60));
    let ends = tokio::spawn(ends);
    store.record(report("vm-1", 1, &[("rosters", 3)]));
    rig::until(|| !holder.state.usage.counts().is_empty()).await;
    store.record(report("vm-1", 2, &[("rosters", 5)]));
    shared.state.stopping.send_replace(true);
    ends.await.unwrap();
    rig::fault(&running, json!({"down": false})).await;
    usage::flush(&holder, &holder.state.usage, Duration::ZERO).await;
    assert_eq!(sum(&platform, "rosters").await, 5);
}

/// What a stopping process would take after its last copy went to the peer,
/// nobody would write: its entry reports it to another.
#[tokio::test]
async fn take_refused_by_a_stopping_process() {
    let (_running, platform) = rig::platform().await;
    let shared = rig::shared("vm-1", &platform, &[]);
    let store = shared.state.usage.clone();
    assert!(store.record(report("vm-1", 1, &[("rosters", 3)])).is_some());
    shared.state.stopping.send_replace(true);
    usage::run(shared.clone(), store.clone(), usage_every()).await;
    assert!(store.record(report("vm-1", 2, &[("rosters", 5)])).is_none());
    assert_eq!(sum(&platform, "rosters").await, 3);
}

/// A copy that a stopping process would hold after its last write, nobody would
/// write: the peer that hands it over, and may stop as well, must be refused.
#[tokio::test]
async fn hold_refused_by_a_stopping_process() {
    let (_running, platform) = rig::platform().await;
    let shared = rig::shared("vm-2", &platform, &[]);
    let store = shared.state.usage.clone();
    let held = store.hold_copy(report("vm-1", 1, &[("rosters", 3)]));
    assert!(held.is_some());
    shared.state.stopping.send_replace(true);
    usage::run(shared.clone(), store.clone(), usage_every()).await;
    let held = store.hold_copy(report("vm-1", 2, &[("rosters", 5)]));
    assert!(held.is_none(), "it is held by who ends");
}

/// A process was stopped while the platform was away, and its peer, which holds
/// its last counters, is stopped a few seconds later as well: by then the
/// platform is back, or another peer takes them.
#[rstest]
#[case::platform_back(false)]
#[case::platform_still_away(true)]
#[tokio::test]
async fn run_stopping_holder_hands_copies_on(#[case] away: bool) {
    let (running, platform) = rig::platform().await;
    let shared = rig::shared("vm-2", &platform, &[]);
    let third = rig::shared("vm-3", &platform, &[]);
    let member = rig::member(&third, rig::serve_peer(&third).await, "suva-b");
    shared.state.members.send_modify(|all| {
        all.insert(member.vm.parse().unwrap(), member);
    });
    let store = shared.state.usage.clone();
    let _ = store.hold_copy(report("vm-1", 1, &[("rosters", 3)]));
    rig::fault(&running, json!({"down": away})).await;
    shared.state.stopping.send_replace(true);
    usage::run(shared.clone(), store.clone(), usage_every()).await;
    rig::fault(&running, json!({"down": false})).await;
    usage::flush(&third, &third.state.usage, Duration::ZERO).await;
    assert_eq!(sum(&platform, "rosters").await, 3);
}

/// The peer that ranks first cannot be reached, and the platform is away: the
/// next peer takes the last counters.
#[tokio::test]
async fn run_stopping_process_finds_another_peer() {
    let (running, platform) = rig::platform().await;
    let holder = rig::shared("vm-2", &platform, &[]);
    let shared = rig::shared("vm-1", &platform, &[]);
    let near = rig::member(&holder, rig::serve_peer(&holder).await, "suva-a");
    let gone = rig::shared("vm-3", &platform, &[]);
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    // It is silent: it takes connections and answers nothing.
    let far = rig::member(&gone, nobody.local_addr().unwrap(), "suva-b");
    shared.state.members.send_modify(|all| {
        for member in [near, far] {
            all.insert(member.vm.parse().unwrap(), member);
        }
    });
    rig::fault(&running, json!({"down": true})).await;
    let store = shared.state.usage.clone();
    store.record(report("vm-1", 1, &[("rosters", 3)]));
    shared.state.stopping.send_replace(true);
    usage::run(shared.clone(), store.clone(), usage_every()).await;
    rig::fault(&running, json!({"down": false})).await;
    usage::flush(&holder, &holder.state.usage, Duration::ZERO).await;
    assert_eq!(sum(&platform, "rosters").await, 3);
}
