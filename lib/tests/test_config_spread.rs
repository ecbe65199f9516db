//! Distribution of catalog revisions: fast, never to a lower revision, and also
//! during an outage of the platform.

use banyangauge::catalog::Catalog;
use banyangauge::catalog::CatalogStore;
use banyangauge::control::Shared;
use banyangauge::control::config;
use banyangauge::control::feed::FeedService;
use banyangauge::platform::Platform;
use banyangauge_proto as wire;
use banyangauge_standin::http;
use serde_json::json;
use tokio_stream::StreamExt;
use wire::feed_message::Body;
use wire::feed_server::Feed;

use crate::rig;

async fn confirm(
    platform: &Platform,
    known: &Catalog,
    changes: Vec<banyangauge::catalog::Change>,
) -> Catalog {
    let store = CatalogStore::new(platform.clone());
    let plan = rig::plan(known, changes);
    let confirmed = store.confirm(&plan, "ana", known).await.unwrap().applied;
    confirmed.unwrap().1
}

fn set(
    revision: u64,
    changes: Vec<banyangauge::catalog::Change>,
) -> banyangauge::catalog::ChangeSet {
    banyangauge::catalog::ChangeSet {
        revision: banyangauge::ids::Revision(revision),
        operation: format!("{revision:016x}"),
        operator: "ana".to_owned(),
        changes,
    }
}

/// Activates `rig::base_changes` as revision 1, then `more` revisions on top.
fn advance(shared: &Shared, more: u32) {
    let mut sets = vec![set(1, rig::base_changes())];
    sets.extend((0..more).map(|n| set(u64::from(n) + 2, vec![rig::add("rosters", n + 4)])));
    for one in sets {
        let mut next = Catalog::clone(&shared.state.catalog.borrow());
        next.apply(&one.changes).unwrap();
        assert!(config::activate(shared, next, &[one]));
    }
}

/// A change in the root's log arrives with the watch and needs no read of shards.
#[tokio::test]
async fn run_applies_log() {
    let (running, platform) = rig::platform().await;
    let mut catalog = confirm(&platform, &Catalog::default(), rig::base_changes()).await;
    let shared = rig::shared("vm-1", &platform, &[]);
    tokio::spawn(config::run(shared.clone()));
    rig::wait_for_revision(&shared, 1).await;
    let before = rig::call_count(&running, "shards", "get").await;
    for version in 4..14 {
        catalog = confirm(&platform, &catalog, vec![rig::add("rosters", version)]).await;
        rig::wait_for_revision(&shared, catalog.revision.0).await;
    }
    assert_eq!(**shared.state.catalog.borrow(), catalog);
    assert_eq!(rig::call_count(&running, "shards", "get").await, before);
    assert!(rig::call_count(&running, "catalogs", "list").await <= 3);
}

/// A VM whose revision is older than the root's log reads the shards.
#[tokio::test]
async fn run_reads_shards_when_log_is_short() {
    let (running, platform) = rig::platform().await;
    let mut catalog = confirm(&platform, &Catalog::default(), rig::base_changes()).await;
    for version in 4..80 {
        catalog = confirm(&platform, &catalog, vec![rig::add("rosters", version)]).await;
    }
    let shared = rig::shared("vm-1", &platform, &[]);
    tokio::spawn(config::run(shared.clone()));
    rig::wait_for_revision(&shared, catalog.revision.0).await;
    assert_eq!(**shared.state.catalog.borrow(), catalog);
    assert!(rig::call_count(&running, "shards", "get").await > 0);
}

/// An older root returned by the platform's list and watch is ignored.
#[tokio::test]
async fn run_never_reverts() {
    let (_running, platform) = rig::platform().await;
    confirm(&platform, &Catalog::default(), rig::base_changes()).await;
    let old = CatalogStore::new(platform.clone())
        .read_root()
        .await
        .unwrap()
        .root;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stale = Platform::new(listener.local_addr().unwrap());
    let asked = std::sync::Arc::new(std::sync::atomic::AtomicU32::new(0));
    let counter = asked.clone();
    let object = json!({"kind": "catalogs", "spec": old,
        "metadata": {"name": "root", "resourceVersion": "1"}});
    let handle = move |request: hyper::Request<hyper::body::Incoming>| {
        counter.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        let body = match request.uri().query().unwrap_or("").contains("watch") {
            true => json!({"type": "MODIFIED", "object": object}),
            false => json!({"metadata": {"resourceVersion": "1"}, "items": [object]}),
        };
        let body = bytes::Bytes::from(format!("{body}\n"));
        let answer = hyper::Response::new(http::Body::Whole(Some(body)));
        std::future::ready(Ok(answer))
    };
    tokio::spawn(http::serve(listener, Default::default(), handle));
    let shared = rig::shared("vm-1", &stale, &[]);
    advance(&shared, 3);
    let seen = shared.state.catalog.subscribe();
    tokio::spawn(config::run(shared.clone()));
    rig::wait_until(|| asked.load(std::sync::atomic::Ordering::SeqCst) >= 6).await;
    assert_eq!(shared.state.catalog.borrow().revision.0, 4);
    assert!(!seen.has_changed().unwrap());
}

/// A VM that starts during an outage fetches the highest revision from its
/// configured peers and continues to follow them.
#[tokio::test]
async fn run_starts_during_outage() {
    let (running, platform) = rig::platform().await;
    rig::set_faults(&running, json!({"down": true})).await;
    let ahead = rig::shared("vm-2", &platform, &[]);
    let behind = rig::shared("vm-3", &platform, &[]);
    advance(&ahead, 300);
    advance(&behind, 5);
    let peers = [
        rig::serve_peer(&behind).await,
        rig::serve_peer(&ahead).await,
    ];
    let shared = rig::shared("vm-1", &platform, &peers);
    tokio::spawn(config::run(shared.clone()));
    rig::wait_for_revision(&shared, 301).await;
    assert!(!*shared.state.platform_up.borrow());
    assert_eq!(
        *shared.state.catalog.borrow(),
        *ahead.state.catalog.borrow()
    );
    let mut next = Catalog::clone(&ahead.state.catalog.borrow());
    let change = vec![rig::add("dryers", 9)];
    next.apply(&change).unwrap();
    config::activate(&ahead, next, &[set(302, change)]);
    rig::wait_for_revision(&shared, 302).await;
}

/// A heartbeat with a higher revision triggers a fetch from the peer, even though
/// the platform has no catalog.
#[tokio::test]
async fn run_fetches_after_heartbeat() {
    let (_running, platform) = rig::platform().await;
    let ahead = rig::shared("vm-2", &platform, &[]);
    advance(&ahead, 20);
    let address = rig::serve_peer(&ahead).await;
    let shared = rig::shared("vm-1", &platform, &[]);
    advance(&shared, 2);
    tokio::spawn(config::run(shared.clone()));
    let member = rig::member(&ahead, address, "suva-b");
    shared.state.members.send_modify(|m| {
        m.insert(ahead.vm.clone(), member);
    });
    rig::wait_for_revision(&shared, 21).await;
    assert_eq!(
        shared
            .state
            .history
            .since(banyangauge::ids::Revision(3))
            .unwrap()
            .len(),
        18
    );
}

/// Three VMs per zone watch the root and the others fetch from them, so that nine
/// VMs cause three watches, and a change causes no more.
#[tokio::test]
async fn run_limits_watches_per_zone() {
    let (running, platform) = rig::platform().await;
    let mut catalog = confirm(&platform, &Catalog::default(), rig::base_changes()).await;
    let all: Vec<_> = (0..9)
        .map(|n| rig::shared(&format!("vm-{n}"), &platform, &[]))
        .collect();
    let mut addresses = Vec::new();
    for shared in &all {
        addresses.push(rig::serve_peer(shared).await);
    }
    let publish_members = |all: &[Shared]| {
        for shared in all {
            let table = all.iter().zip(&addresses);
            let table = table.map(|(m, a)| (m.vm.clone(), rig::member(m, *a, "suva-a")));
            shared.state.members.send_replace(table.collect());
        }
    };
    publish_members(&all);
    for shared in &all {
        tokio::spawn(config::run(shared.clone()));
    }
    for version in 4..9 {
        let at = catalog.revision.0;
        rig::wait_until(|| {
            publish_members(&all);
            all.iter()
                .all(|s| s.state.catalog.borrow().revision.0 == at)
        })
        .await;
        catalog = confirm(&platform, &catalog, vec![rig::add("rosters", version)]).await;
    }
    assert_eq!(rig::call_count(&running, "catalogs", "watch").await, 3);
}

#[tokio::test]
async fn fetch_changes_bounds() {
    let (_running, platform) = rig::platform().await;
    let shared = rig::shared("vm-1", &platform, &[]);
    advance(&shared, 300);
    let ask = |revision| config::fetch_changes(&shared, &wire::FetchRequest { revision }).deltas;
    assert_eq!(ask(300).len(), 1);
    assert_eq!(ask(45).len(), 256);
    assert!(ask(44).is_empty() && ask(301).is_empty());
    let whole = |revision| config::fetch_catalog(&shared, &wire::FetchRequest { revision });
    assert!(whole(301).catalog.is_empty());
    let read: Catalog = serde_json::from_slice(&whole(0).catalog).unwrap();
    assert_eq!(read, **shared.state.catalog.borrow());
}

/// A new entry receives a snapshot, then deltas; one that has a recent revision
/// receives only the missing deltas.
#[tokio::test]
async fn subscribe_snapshot_then_deltas() {
    let (_running, platform) = rig::platform().await;
    let shared = rig::shared("vm-1", &platform, &[]);
    advance(&shared, 300);
    let feed = FeedService::new(shared.clone());
    let subscribe = async |revision| {
        let request = wire::FeedRequest {
            entry: "entry-1".to_owned(),
            incarnation: 1,
            revision,
        };
        let stream = feed.subscribe(tonic::Request::new(request)).await.unwrap();
        let bodies = stream.into_inner().map(|m| m.unwrap().body.unwrap());
        bodies.filter(|b| matches!(b, Body::Snapshot(_) | Body::Delta(_)))
    };
    let mut new = subscribe(0).await;
    assert!(matches!(new.next().await, Some(Body::Snapshot(s)) if s.revision == 301));
    let mut old = subscribe(299).await;
    assert!(matches!(old.next().await, Some(Body::Delta(d)) if d.revision == 300));
    assert!(matches!(old.next().await, Some(Body::Delta(d)) if d.revision == 301));
    let mut next = Catalog::clone(&shared.state.catalog.borrow());
    let change = vec![rig::add("dryers", 9)];
    next.apply(&change).unwrap();
    config::activate(&shared, next, &[set(302, change)]);
    assert!(matches!(new.next().await, Some(Body::Delta(d)) if d.revision == 302));
}
