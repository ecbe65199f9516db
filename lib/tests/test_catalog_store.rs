//! Confirmations against a platform that loses responses, is down, or receives
//! concurrent confirmations.

use std::sync::Mutex;
use std::time::Duration;

use banyangauge::catalog::Catalog;
use banyangauge::catalog::CatalogStore;
use banyangauge::catalog::ConfirmError;
use banyangauge::catalog::MAX_LOG_ENTRIES;
use banyangauge::catalog::Plan;
use banyangauge::catalog::PlanError;
use banyangauge::catalog::Shard;
use banyangauge::ids::Revision;
use banyangauge::platform::Platform;
use banyangauge::platform::PlatformError;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use serde_json::json;
use todc_utils::Action;
use todc_utils::History;
use todc_utils::Specification;
use todc_utils::WGLChecker;

use crate::rig;

async fn with_basics(platform: &Platform) -> (CatalogStore, Catalog) {
    let store = CatalogStore::new(platform.clone());
    let first = rig::plan(&Catalog::default(), rig::base_changes());
    let confirmed = store.confirm(&first, "ana", &Catalog::default()).await;
    (store, confirmed.unwrap().applied.unwrap().1)
}

async fn read(store: &CatalogStore) -> Catalog {
    let root = store.read_root().await.unwrap().root;
    store.read_catalog(&root).await.unwrap()
}

/// The response to the write of a shard is lost, then also that of the root.
#[rstest]
#[case::shard(1)]
#[case::shard_and_root(2)]
#[tokio::test]
async fn confirm_answer_lost(#[case] lost: u32) {
    let (running, platform) = rig::platform().await;
    let (store, catalog) = with_basics(&platform).await;
    let plan = rig::plan(&catalog, vec![rig::serve("laundry", "rosters", 2)]);
    rig::set_faults(&running, json!({"lose_after_write": lost})).await;
    let confirmed = store.confirm(&plan, "ana", &catalog).await.unwrap();
    assert_eq!(confirmed.revision, Revision(2));
    assert_eq!(read(&store).await.revision, Revision(2));
    // The shards hold the result of the change set.
    let mut made = catalog.clone();
    made.apply(&plan.changes).unwrap();
    assert_eq!(read(&store).await, made);
}

/// Every response to a write is lost for longer than the client retries. The
/// result is unknown, and confirming the same plan again returns it.
#[tokio::test]
async fn confirm_unknown_then_repeated() {
    let (running, platform) = rig::platform().await;
    let (store, catalog) = with_basics(&platform).await;
    let plan = rig::plan(&catalog, vec![rig::serve("laundry", "rosters", 2)]);
    let lossy = CatalogStore::new(Platform::new(lossy_proxy(running.address).await));
    let end = lossy.confirm(&plan, "ana", &catalog).await;
    assert!(matches!(end, Err(ConfirmError::Unknown(_))), "{end:?}");
    let repeated = store.confirm(&plan, "ana", &catalog).await.unwrap();
    assert_eq!(repeated.revision, Revision(2));
    assert!(
        repeated.applied.is_none(),
        "the first attempt had taken effect"
    );
    assert_eq!(read(&store).await.revision, Revision(2));
}

/// Starts a proxy that forwards all calls, and drops the responses to updates of
/// the root and to all later calls that concern the root.
async fn lossy_proxy(real: std::net::SocketAddr) -> std::net::SocketAddr {
    use banyangauge_standin::http;
    use hyper_util::client::legacy::Client;
    use hyper_util::rt::TokioExecutor;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client = Client::builder(TokioExecutor::new()).build_http();
    let lost = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let handle = move |request: hyper::Request<hyper::body::Incoming>| {
        let (client, lost) = (client.clone(), lost.clone());
        async move {
            let (parts, body) = request.into_parts();
            let path = parts.uri.path_and_query().unwrap().to_string();
            let of_root = path.contains("catalogs");
            if of_root && parts.method == "PUT" {
                lost.store(true, std::sync::atomic::Ordering::SeqCst);
            }
            let body = http::read_body(body).await?;
            let request = hyper::Request::builder()
                .method(parts.method)
                .uri(format!("http://{real}{path}"))
                .body(http_body_util::Full::new(body))
                .unwrap();
            let answer = client.request(request).await.map_err(|_| http::Cut)?;
            let (parts, body) = answer.into_parts();
            let body = http::read_body(body).await?;
            if of_root && lost.load(std::sync::atomic::Ordering::SeqCst) {
                return Err(http::Cut);
            }
            Ok(hyper::Response::from_parts(
                parts,
                http::Body::Whole(Some(body)),
            ))
        }
    };
    tokio::spawn(http::serve(listener, Default::default(), handle));
    address
}

#[tokio::test]
async fn confirm_platform_down() {
    let (running, platform) = rig::platform().await;
    let (store, catalog) = with_basics(&platform).await;
    let plan = rig::plan(&catalog, vec![rig::serve("laundry", "rosters", 2)]);
    rig::set_faults(&running, json!({"down": true})).await;
    let end = store.confirm(&plan, "ana", &catalog).await;
    let expected = ConfirmError::Platform(PlatformError::Refused(503));
    assert_eq!(end.unwrap_err(), expected);
    rig::set_faults(&running, json!({"down": false})).await;
    assert_eq!(read(&store).await, catalog);
    store.confirm(&plan, "ana", &catalog).await.unwrap();
}

#[tokio::test]
async fn confirm_is_idempotent() {
    let (_running, platform) = rig::platform().await;
    let (store, catalog) = with_basics(&platform).await;
    let plan = rig::plan(&catalog, vec![rig::serve("laundry", "rosters", 2)]);
    let back = |v| vec![rig::serve("laundry", "rosters", v)];
    store.confirm(&plan, "ana", &catalog).await.unwrap();
    let next = read(&store).await;
    let other = rig::plan(&next, back(1));
    store.confirm(&other, "ben", &next).await.unwrap();
    let again = store.confirm(&plan, "ana", &catalog).await.unwrap();
    assert_eq!(
        (again.revision, again.applied.is_none()),
        (Revision(2), true)
    );
    let serving = &read(&store).await.adapters["rosters"].serving;
    assert_eq!(serving["laundry"], 1);
}

/// The operator's client times out at one control process and asks another. Both
/// confirm the same operation concurrently, and it takes effect once.
#[tokio::test]
async fn confirm_same_operation_at_two_vms() {
    let (_running, platform) = rig::platform().await;
    let (store, mut catalog) = with_basics(&platform).await;
    for version in 4..14 {
        let plan = rig::plan(&catalog, vec![rig::add("rosters", version)]);
        let other = CatalogStore::new(platform.clone());
        let (one, two) = tokio::join!(
            store.confirm(&plan, "ana", &catalog),
            other.confirm(&plan, "ana", &catalog)
        );
        let (one, two) = (one.unwrap(), two.unwrap());
        assert_eq!(one.revision, two.revision);
        assert!(one.applied.is_some() != two.applied.is_some());
        catalog = read(&store).await;
        assert_eq!(catalog.revision, one.revision);
    }
}

/// A process ended after it had written a shard and before it replaced the root.
/// A later confirmation deletes the shard; referenced shards stay.
#[tokio::test]
async fn confirm_deletes_orphans() {
    let (_running, platform) = rig::platform().await;
    let (store, mut catalog) = with_basics(&platform).await;
    let orphan = "00-2-00112233445566aa";
    let late = "00-9000-00112233445566aa";
    for name in [orphan, late] {
        platform
            .create("shards", name, &Shard::default())
            .await
            .unwrap();
    }
    while catalog.revision.0 < 256 {
        let version = catalog.revision.0 as u32 + 3;
        let plan = rig::plan(&catalog, vec![rig::add("rosters", version)]);
        let confirmed = store.confirm(&plan, "ana", &catalog).await.unwrap().applied;
        catalog = confirmed.unwrap().1;
    }
    let list = platform.list::<Shard>("shards").await.unwrap();
    let names: Vec<_> = list
        .items
        .iter()
        .map(|o| o.metadata.name.as_str())
        .collect();
    assert!(!names.contains(&orphan));
    // It may belong to a confirmation in progress.
    assert!(names.contains(&late));
    assert_eq!(read(&store).await, catalog);
}

/// A repeated operation that is no longer in the root's log is refused, even if
/// all items that it read are in the same state again.
#[tokio::test]
async fn confirm_repeat_not_in_log_refused() {
    let (_running, platform) = rig::platform().await;
    let (store, mut catalog) = with_basics(&platform).await;
    let old = rig::plan(&catalog, vec![rig::serve("laundry", "rosters", 2)]);
    let undo = banyangauge::catalog::Change::Withdraw {
        team: "laundry".parse().unwrap(),
        adapter: "rosters".parse().unwrap(),
    };
    let mut changes = vec![old.changes.clone(), vec![undo]];
    changes.extend((1..=MAX_LOG_ENTRIES as u32).map(|n| vec![rig::add("dryers", n + 3)]));
    for (n, set) in changes.into_iter().enumerate() {
        let plan = if n == 0 {
            old.clone()
        } else {
            rig::plan(&catalog, set)
        };
        let confirmed = store.confirm(&plan, "ana", &catalog).await.unwrap().applied;
        catalog = confirmed.unwrap().1;
    }
    assert!(old.changed_reads(&catalog).is_empty());
    let end = store.confirm(&old, "ana", &catalog).await.unwrap_err();
    assert!(matches!(end, ConfirmError::TooOld { .. }), "{end:?}");
}

#[tokio::test]
async fn confirm_read_conflict_names_operator() {
    let (_running, platform) = rig::platform().await;
    let (store, catalog) = with_basics(&platform).await;
    let stale = rig::plan(&catalog, vec![rig::serve("laundry", "rosters", 2)]);
    let applied_first = rig::plan(&catalog, vec![rig::serve("laundry", "rosters", 3)]);
    let unrelated = rig::plan(&catalog, vec![rig::serve("laundry", "dryers", 1)]);
    store
        .confirm(&applied_first, "ben", &catalog)
        .await
        .unwrap();
    let end = store.confirm(&stale, "ana", &catalog).await.unwrap_err();
    let text = end.to_string();
    let expected = format!(
        "adapter rosters was changed by ben in revision 2 (operation {})",
        applied_first.operation
    );
    assert!(text.contains(&expected), "{text}");
    // Changes to items that the plan did not read do not conflict.
    let confirmed = store.confirm(&unrelated, "ana", &catalog).await.unwrap();
    assert_eq!(confirmed.revision, Revision(3));
}

#[tokio::test]
async fn confirm_edited_plan_refused() {
    let (_running, platform) = rig::platform().await;
    let (store, catalog) = with_basics(&platform).await;
    let plan = rig::plan(&catalog, vec![rig::serve("laundry", "rosters", 2)]);
    let mut other = plan.clone();
    other.changes = vec![rig::serve("laundry", "rosters", 3)];
    let mut missing_reads = plan.clone();
    missing_reads.reads.clear();
    let mut malformed = plan.clone();
    malformed.operation = "../x".to_owned();
    store.confirm(&plan, "ana", &catalog).await.unwrap();
    for bad in [other, missing_reads, malformed] {
        let end = store.confirm(&bad, "ana", &catalog).await.unwrap_err();
        assert!(
            matches!(end, ConfirmError::Plan(PlanError::Malformed(_))),
            "{end:?}"
        );
    }
}

/// Confirmations of several shards leave only objects that the last two roots
/// reference.
#[tokio::test]
async fn confirm_deletes_unreferenced_shards() {
    let (_running, platform) = rig::platform().await;
    let (store, mut catalog) = with_basics(&platform).await;
    for version in 4..20 {
        let set = vec![rig::add("rosters", version), rig::add("dryers", version)];
        let plan = rig::plan(&catalog, set);
        let confirmed = store.confirm(&plan, "ana", &catalog).await.unwrap().applied;
        catalog = confirmed.unwrap().1;
    }
    let root = store.read_root().await.unwrap().root;
    let list = platform.list::<Shard>("shards").await.unwrap();
    let names: Vec<_> = list.items.iter().map(|o| &o.metadata.name).collect();
    let live = root.shards.values();
    assert!(live.clone().all(|n| names.contains(&n)));
    assert_eq!(names.len(), live.count() + root.retired.len());
    assert!(root.retired.len() <= 4, "{:?}", root.retired);
}

/// Sequential specification of the served version: a confirmation is a
/// compare-and-swap that either takes effect or changes nothing.
struct Serving;

#[derive(Clone, Copy, Debug)]
enum Operation {
    /// The version that was read.
    Read(Option<u32>),
    /// Confirmation of the second version on top of the first, and whether it took
    /// effect.
    Swap(u32, u32, Option<bool>),
}

impl Specification for Serving {
    type State = u32;
    type Operation = Operation;

    fn init() -> u32 {
        0
    }

    fn apply(operation: &Operation, state: &u32) -> (bool, u32) {
        match *operation {
            Operation::Read(seen) => (seen == Some(*state), *state),
            Operation::Swap(from, to, Some(true)) => (from == *state, to),
            Operation::Swap(from, _, _) => (from != *state, *state),
        }
    }
}

fn version_of(catalog: &Catalog) -> u32 {
    let serving = &catalog.adapters["rosters"].serving;
    serving.get("laundry").copied().unwrap_or(0)
}

/// Four operators change one adapter concurrently while responses are lost. Their
/// results are linearizable as compare-and-swaps of the served version.
#[tokio::test]
async fn confirm_race_linearizable() {
    let (running, platform) = rig::platform().await;
    let (_, catalog) = with_basics(&platform).await;
    let versions: Vec<_> = (4..40).map(|v| rig::add("rosters", v)).collect();
    let store = CatalogStore::new(platform.clone());
    let more = rig::plan(&catalog, versions);
    store.confirm(&more, "ana", &catalog).await.unwrap();
    let actions = Mutex::new(Vec::new());
    let record = |operator_id: usize, action| actions.lock().unwrap().push((operator_id, action));
    let operator = async |operator_id: usize| {
        let store = CatalogStore::new(platform.clone());
        for turn in 0..5_u32 {
            record(operator_id, Action::Call(Operation::Read(None)));
            let catalog = read(&store).await;
            let from = version_of(&catalog);
            record(operator_id, Action::Response(Operation::Read(Some(from))));
            let to = operator_id as u32 * 5 + turn + 4;
            let plan = rig::plan(&catalog, vec![rig::serve("laundry", "rosters", to)]);
            if turn == 2 {
                rig::set_faults(&running, json!({"lose_after_write": 2})).await;
            }
            record(operator_id, Action::Call(Operation::Swap(from, to, None)));
            let took_effect = match store
                .confirm(&plan, &format!("o{operator_id}"), &catalog)
                .await
            {
                Ok(_) => true,
                Err(ConfirmError::ReadConflict(_)) => false,
                Err(e) => panic!("{e:?}"),
            };
            record(
                operator_id,
                Action::Response(Operation::Swap(from, to, Some(took_effect))),
            );
        }
    };
    tokio::join!(operator(0), operator(1), operator(2), operator(3));
    let actions = actions.into_inner().unwrap();
    let took_effect = |(_, a): &&(usize, Action<Operation>)| {
        matches!(a, Action::Response(Operation::Swap(_, _, Some(true))))
    };
    let winners = actions.iter().filter(took_effect).count();
    assert!(winners >= 5, "{winners} took effect");
    let history = History::from_actions(actions);
    assert!(WGLChecker::<Serving>::is_linearizable(history));
}

/// The result of a confirmation as reported to an operator.
enum Reported {
    InForce(u64),
    NothingChanged,
    Unknown,
}

/// Six operators confirm plans while responses are lost and the platform has
/// outages. The results match the platform's history of writes: a confirmed
/// operation is there once and with its revision, and one that failed with
/// "nothing changed" is not there.
#[rstest]
#[tokio::test]
async fn confirm_results_match_history(#[values(1, 2, 3, 4)] seed: u64) {
    let (running, platform) = rig::platform().await;
    let (_, catalog) = with_basics(&platform).await;
    let chaos = async {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for _ in 0..16 {
            let lost = rng.random_range(0..5);
            let switches = json!({"lose_after_write": lost, "down": rng.random_bool(0.4)});
            rig::set_faults(&running, switches).await;
            tokio::time::sleep(Duration::from_millis(rng.random_range(5..200))).await;
        }
        rig::set_faults(&running, json!({"lose_after_write": 0, "down": false})).await;
    };
    let operator = async |operator_id: u32| {
        let store = CatalogStore::new(platform.clone());
        let mut reported = Vec::new();
        for turn in 0..8 {
            let known = match store.read_root().await {
                Ok(read) => store
                    .read_catalog(&read.root)
                    .await
                    .unwrap_or(catalog.clone()),
                Err(_) => catalog.clone(),
            };
            let adapter = ["rosters", "dryers"][(operator_id % 2) as usize];
            let version = 4 + turn * 6 + operator_id;
            let Ok(plan) = Plan::new(&known, vec![rig::add(adapter, version)]) else {
                continue;
            };
            let end = match store
                .confirm(&plan, &format!("o{operator_id}"), &known)
                .await
            {
                Ok(confirmed) => Reported::InForce(confirmed.revision.0),
                Err(ConfirmError::Unknown(_)) => Reported::Unknown,
                Err(_) => Reported::NothingChanged,
            };
            reported.push((plan.operation, end));
        }
        reported
    };
    let (_, a, b, c, d, e, f) = tokio::join!(
        chaos,
        operator(0),
        operator(1),
        operator(2),
        operator(3),
        operator(4),
        operator(5)
    );
    let made = root_operations(&rig::history(&running).await);
    let mut in_force = 0;
    for (operation, reported) in [a, b, c, d, e, f].into_iter().flatten() {
        let at: Vec<_> = made.iter().filter(|(o, _)| *o == operation).collect();
        match reported {
            Reported::InForce(revision) => {
                assert_eq!(at, [&(operation, revision)]);
                in_force += 1;
            }
            Reported::NothingChanged => assert!(at.is_empty(), "{operation} took effect"),
            Reported::Unknown => assert!(at.len() <= 1),
        }
    }
    assert!(in_force > 0);
    let revisions: Vec<_> = made.iter().map(|(_, r)| *r).collect();
    assert!(
        revisions.iter().copied().eq(1..=made.len() as u64),
        "{revisions:?}"
    );
    let store = CatalogStore::new(platform.clone());
    let root = store.read_root().await.unwrap().root;
    let mut replayed = Catalog::default();
    if let Some(next) = banyangauge::catalog::replay(&replayed, &root) {
        replayed = next;
        assert_eq!(replayed, read(&store).await);
    }
}

/// Returns the operation and revision of each write of the root from the
/// platform's history.
fn root_operations(history: &serde_json::Value) -> Vec<(String, u64)> {
    let writes = history["writes"].as_array().unwrap().iter();
    let roots = writes.filter(|w| w["object"]["kind"] == "catalogs");
    let last = |w: &serde_json::Value| {
        let entry = w["object"]["spec"]["log"]
            .as_array()
            .unwrap()
            .last()
            .unwrap();
        let operation = entry["operation"].as_str().unwrap().to_owned();
        (operation, entry["revision"].as_u64().unwrap())
    };
    roots.map(last).collect()
}

#[test]
fn plan_effects() {
    let mut catalog = Catalog::default();
    catalog.apply(&rig::base_changes()).unwrap();
    catalog
        .apply(&[rig::put_team("b"), rig::serve("laundry", "rosters", 1)])
        .unwrap();
    let changes = vec![
        rig::serve("laundry", "rosters", 2),
        rig::serve("b", "rosters", 2),
        rig::engine_pool("assistant", 1),
    ];
    let plan = Plan::new(&catalog, changes).unwrap();
    let costs: Vec<_> = plan.effects.iter().map(|e| (e.loads, e.slots)).collect();
    // The version is already loaded for the second team; the removed replica had 4
    // slots.
    assert_eq!(costs, [(1, 1), (0, 0), (4, 4)]);
}
