//! Owners that crash, stop, lose the platform or are partitioned from it.

use std::time::Duration;

use banyangauge::ids::Fingerprint;
use banyangauge_proto as wire;
use serde_json::json;
use tokio_stream::wrappers::ReceiverStream;
use wire::grants_client::GrantsClient;

use crate::test_owner_rig::Entry;
use crate::test_owner_rig::Plan;
use crate::test_owner_rig::Rig;
use crate::test_owner_rig::pool;
use crate::test_owner_rig::until;

const THREE: Plan = Plan {
    controls: 3,
    engines: 1,
    slots: 1,
    honours_token: true,
};

#[tokio::test]
async fn killed_owner_held_adapter_stays() {
    let mut rig = Rig::start(THREE).await;
    let first = rig.owner(1).await;
    let mut entry = rig.open_session(first, "e", &[]).await;
    entry.acquire(1, "a", "").await;
    let grant = entry.granted().await;
    rig.controls[first] = None;
    let second = rig.owner(2).await;
    assert_ne!(first, second);
    let mut entry = rig
        .open_session(second, "e", std::slice::from_ref(&grant))
        .await;
    assert_eq!(entry.token, 2);
    // The only slot is in use for longer than slots are frozen.
    entry.acquire(2, "b", "").await;
    for _ in 0..40 {
        entry.renew(&[grant.grant]).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(rig.orders(0, "unload").await, []);
    }
    entry.release(&grant, 0, "").await;
    let next = entry.granted().await;
    assert_eq!((next.adapter.as_str(), next.token), ("b", 2));
    assert_eq!(rig.orders(0, "unload").await, [("a@1".to_owned(), 2)]);
}

#[tokio::test]
async fn killed_owner_unknown_grant_outlives_the_freeze() {
    let mut rig = Rig::start(THREE).await;
    let first = rig.owner(1).await;
    let mut silent = rig.open_session(first, "silent", &[]).await;
    silent.acquire(1, "a", "").await;
    silent.granted().await;
    let granted = tokio::time::Instant::now();
    rig.controls[first] = None;
    let second = rig.owner(2).await;
    // The entry with the grant does not reconnect; another needs the slot.
    let mut entry = rig.open_session(second, "e", &[]).await;
    entry.acquire(2, "b", "").await;
    entry.granted().await;
    // The unknown grant expired 1.2 s after it was sent; until then the slot must
    // not be evicted.
    assert!(granted.elapsed() >= Duration::from_millis(1_200));
    drop(silent);
}

#[tokio::test]
async fn held_on_a_replica_that_is_listed_later() {
    let mut rig = Rig::start(Plan {
        engines: 2,
        ..THREE
    })
    .await;
    let first = rig.owner(1).await;
    let mut entry = rig.open_session(first, "e", &[]).await;
    entry.acquire(1, "a", "").await;
    let grant = entry.granted().await;
    let (held_at, other) = match grant.replica.as_str() {
        "r-0" => (0, "r-1"),
        _ => (1, "r-0"),
    };
    // The next owner's catalog does not contain the replica yet.
    rig.list_replicas(&[other]);
    rig.controls[first] = None;
    let second = rig.owner(2).await;
    let mut entry = rig
        .open_session(second, "e", std::slice::from_ref(&grant))
        .await;
    rig.list_replicas(&["r-0", "r-1"]);
    // Two adapters compete for the other slot, so one of them needs the held one.
    entry.acquire(2, "b", "").await;
    entry.acquire(3, "c", "").await;
    let mut held = vec![grant.grant];
    let mut after = 0;
    for _ in 0..400 {
        after += usize::from(held.len() == 2);
        if after > 20 {
            break;
        }
        entry.renew(&held).await;
        let next = tokio::time::timeout(Duration::from_millis(100), entry.granted());
        if let Ok(next) = next.await {
            assert_eq!(next.replica, other);
            held.push(next.grant);
        }
        assert_eq!(rig.orders(held_at, "unload").await, []);
    }
    // One got the other slot; the last one gets the released one.
    assert_eq!(held.len(), 2);
    entry.release(&grant, 0, "").await;
    assert_eq!(entry.granted().await.replica, grant.replica);
}

#[tokio::test]
async fn hello_after_the_response_head() {
    let rig = Rig::start(THREE).await;
    let first = rig.owner(1).await;
    rig.open_session(first, "e", &[]).await;
    let target = format!("http://{}", rig.control(first).shared.address);
    let mut client = GrantsClient::connect(target).await.unwrap();
    let (out, sent) = tokio::sync::mpsc::channel(1);
    let opening = client.session(ReceiverStream::new(sent));
    let opened = tokio::time::timeout(Duration::from_secs(20), opening).await;
    let mut messages = opened.unwrap().unwrap().into_inner();
    let hello = wire::Hello {
        pool: "p".to_owned(),
        entry: "late".to_owned(),
        ..wire::Hello::default()
    };
    let body = Some(wire::entry_message::Body::Hello(hello));
    out.send(wire::EntryMessage { body }).await.unwrap();
    let welcome = messages.message().await.unwrap().unwrap().body;
    assert!(matches!(
        welcome,
        Some(wire::owner_message::Body::Welcome(w)) if w.token == 1
    ));
}

#[tokio::test]
async fn planned_stop_hands_over() {
    let rig = Rig::start(THREE).await;
    let first = rig.owner(1).await;
    let mut entry = rig.open_session(first, "e", &[]).await;
    entry.acquire(1, "a", "").await;
    let grant = entry.granted().await;
    rig.control(first).stop().await;
    let released = rig.object("leases", "pool-p").await.unwrap();
    let second = rig.owner(2).await;
    assert_ne!(first, second);
    assert!(released["token"] == 1 || released["token"] == 2);
    let mut entry = rig
        .open_session(second, "e", std::slice::from_ref(&grant))
        .await;
    entry.release(&grant, 0, "").await;
    entry.acquire(2, "b", "").await;
    assert_eq!(entry.granted().await.token, 2);
}

#[tokio::test]
async fn outage_grants_go_on_past_the_lease() {
    let rig = Rig::start(THREE).await;
    let first = rig.owner(1).await;
    let mut entry = rig.open_session(first, "e", &[]).await;
    rig.faults(json!({"down": true})).await;
    // The rounds last three lease TTLs; each loads another adapter into the only
    // slot.
    for round in 0..12 {
        let adapter = ["a", "b", "c"][round % 3];
        entry.acquire(round as u64, adapter, "").await;
        let grant = entry.granted().await;
        assert_eq!((grant.adapter.as_str(), grant.token), (adapter, 1));
        entry.release(&grant, 0, "").await;
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    rig.faults(json!({"down": false})).await;
    entry.acquire(99, "a", "").await;
    assert_eq!(entry.granted().await.token, 1);
}

#[tokio::test]
async fn outage_placement_freezes_where_tokens_are_ignored() {
    let rig = Rig::start(Plan {
        honours_token: false,
        ..THREE
    })
    .await;
    let first = rig.owner(1).await;
    let mut entry = rig.open_session(first, "e", &[]).await;
    entry.acquire(1, "a", "").await;
    let grant = entry.granted().await;
    entry.release(&grant, 0, "").await;
    rig.faults(json!({"down": true})).await;
    tokio::time::sleep(Duration::from_millis(900)).await;
    entry.acquire(2, "b", "").await;
    for round in 10..20 {
        entry.acquire(round, "a", "").await;
        let grant = entry.granted().await;
        assert_eq!(grant.adapter, "a");
        entry.release(&grant, 0, "").await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(rig.orders(0, "unload").await, []);
    rig.faults(json!({"down": false})).await;
    assert_eq!(entry.granted().await.adapter, "b");
}

#[tokio::test]
async fn cut_off_owner_is_deposed() {
    let rig = Rig::start(THREE).await;
    let first = rig.owner(1).await;
    let mut entry = rig.open_session(first, "e", &[]).await;
    entry.acquire(1, "a", "").await;
    entry.granted().await;
    rig.links[first].cut();
    let second = rig.owner(2).await;
    assert_ne!(first, second);
    let address = rig.control(first).shared.address;
    // It learns of its successor from a peer or the engine, and redirects entries.
    until(async || {
        Entry::open(address, "late", &[])
            .await
            .is_none()
            .then_some(())
    })
    .await;
    let orders = rig.orders(0, "fence").await;
    assert!(orders.iter().any(|(_, token)| *token == 2), "{orders:?}");
    let owner = rig.control(first).shared.state.owners.borrow()[&pool()].clone();
    assert_eq!(owner.token.0, 2);
}

#[tokio::test]
async fn lost_answers_keep_one_owner() {
    let rig = Rig::start(THREE).await;
    let first = rig.owner(1).await;
    let entry = rig.open_session(first, "e", &[]).await;
    for _ in 0..5 {
        rig.faults(json!({"lose_after_write": 1})).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    assert_eq!((rig.owner(1).await, entry.token), (first, 1));
    assert_eq!(rig.object("leases", "pool-p").await.unwrap()["token"], 1);
}

#[tokio::test]
async fn conviction_reaches_every_vm_in_an_outage() {
    let rig = Rig::start(THREE).await;
    let first = rig.owner(1).await;
    rig.faults(json!({"down": true})).await;
    let shared = &rig.control(first).shared;
    let until_ms = banyangauge::control::uptime_ms() + 60_000;
    shared.state.blocked.send_modify(|v| {
        v.insert(Fingerprint(7), until_ms);
    });
    until(async || {
        let knows = |n: usize| {
            let state = &rig.control(n).shared.state;
            state.blocked.borrow().contains_key(&Fingerprint(7))
        };
        (0..3).all(knows).then_some(())
    })
    .await;
    // The pool's owner refuses the request.
    let mut entry = rig.open_session(first, "e", &[]).await;
    until(async || {
        let pools = shared.state.pools.borrow();
        pools.contains_key(&pool()).then_some(())
    })
    .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    entry.acquire(7, "a", "").await;
    assert_eq!(entry.refused().await.reason, "convicted");
}

#[tokio::test]
async fn leaving_replica_gets_nothing_new() {
    let rig = Rig::start(Plan {
        engines: 2,
        ..THREE
    })
    .await;
    let first = rig.owner(1).await;
    let mut entry = rig.open_session(first, "e", &[]).await;
    let leaving = rig.engines[0].address;
    rig.engines[0].begin_stop();
    let board = &rig.control(first).shared.state;
    until(async || {
        let pools = board.pools.borrow();
        let replicas = pools.get(&pool())?.replicas.clone();
        let seen = replicas.iter().find(|r| r.address == leaving.to_string())?;
        // Shown by its load report, or by its refused connections.
        (seen.state == "leaving" || seen.state == "suspect").then_some(())
    })
    .await;
    for request in 0..8 {
        entry.acquire(request, "a", "").await;
        let grant = entry.granted().await;
        assert_eq!(grant.address, rig.engines[1].address.to_string());
    }
}
