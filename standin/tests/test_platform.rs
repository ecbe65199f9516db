//! The platform stand-in, through the client that the system uses.

use std::net::SocketAddr;
use std::time::Duration;

use banyangauge::platform::Platform;
use banyangauge::platform::PlatformError;
use banyangauge::platform::WatchEvent;
use banyangauge_standin::Running;
use banyangauge_standin::platform;
use banyangauge_standin::platform::PlatformArgs;
use serde_json::Value;
use serde_json::json;

use crate::wire::call;
use crate::wire::fault;
use crate::wire::history;

async fn start(writes: f64) -> (Running, Platform) {
    let args = PlatformArgs::builder().list_lag_ms(50).writes_per_s(writes);
    let running = platform::start(args.build()).await.unwrap();
    let client = Platform::new(running.address);
    (running, client)
}

#[tokio::test]
async fn replace_conditional() {
    let (_running, client) = start(300.0).await;
    let first = client
        .create("leases", "p", &json!({"n": 1}))
        .await
        .unwrap();
    let again = client.create("leases", "p", &json!({"n": 9})).await;
    assert_eq!(again, Err(PlatformError::Conflict));
    client
        .replace("leases", "p", &first, &json!({"n": 2}))
        .await
        .unwrap();
    let stale = client
        .replace("leases", "p", &first, &json!({"n": 3}))
        .await;
    assert_eq!(stale, Err(PlatformError::Conflict));
    let held = client.get::<Value>("leases", "p").await.unwrap();
    assert_eq!(held.spec, json!({"n": 2}));
    client.delete("leases", "p").await.unwrap();
    let gone = client.get::<Value>("leases", "p").await;
    assert_eq!(gone.unwrap_err(), PlatformError::NotFound);
}

#[tokio::test]
async fn watch_in_order() {
    let (running, client) = start(300.0).await;
    let from = client
        .list::<Value>("claims")
        .await
        .unwrap()
        .metadata
        .version;
    let mut watch = client.watch("claims", &from).await.unwrap();
    let first = client.create("claims", "j", &json!(1)).await.unwrap();
    client.create("leases", "other", &json!(0)).await.unwrap();
    client
        .replace("claims", "j", &first, &json!(2))
        .await
        .unwrap();
    client.delete("claims", "j").await.unwrap();
    let mut seen = Vec::new();
    for _ in 0..3 {
        seen.push(match watch.next::<Value>().await.unwrap().unwrap() {
            WatchEvent::Added(o) => format!("added {}", o.spec),
            WatchEvent::Modified(o) => format!("modified {}", o.spec),
            WatchEvent::Deleted(o) => format!("deleted {}", o.spec),
            WatchEvent::Bookmark(_) => "bookmark".to_owned(),
        });
    }
    assert_eq!(seen, ["added 1", "modified 2", "deleted 2"]);
    fault(running.control, r#"{"down":true}"#).await;
    assert!(watch.next::<Value>().await.unwrap().is_none());
    let down = client.get::<Value>("claims", "j").await;
    assert_eq!(down.unwrap_err(), PlatformError::Refused(503));
}

#[tokio::test]
async fn write_answer_lost() {
    let (running, client) = start(300.0).await;
    fault(running.control, r#"{"lose_after_write":1}"#).await;
    let lost = client.create("catalogs", "root", &json!({"n": 1})).await;
    assert!(matches!(lost, Err(PlatformError::Lost(_))), "{lost:?}");
    let held = client.get::<Value>("catalogs", "root").await.unwrap();
    assert_eq!(held.spec, json!({"n": 1}));
    let seen = history(running.control).await;
    assert_eq!(seen["calls"]["catalogs"], json!({"create": 1, "get": 1}));
    assert_eq!(seen["writes"][0]["object"]["spec"], json!({"n": 1}));
}

#[tokio::test]
async fn writes_over_rate() {
    let (_running, client) = start(1.0).await;
    client.create("leases", "a", &json!(1)).await.unwrap();
    let over = client.create("leases", "b", &json!(1)).await;
    assert_eq!(over, Err(PlatformError::Refused(429)));
    let large = json!("x".repeat(1 << 20));
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let large = client.create("leases", "c", &large).await;
    assert_eq!(large, Err(PlatformError::TooLarge));
}

async fn set_vms(control: SocketAddr, state: &str) {
    let vms = json!([{"name": "vm-1", "address": "127.0.0.1:1", "zone": "suva-a", "state": state}]);
    let set = call(control, "POST /vms", &[], &vms.to_string()).await;
    assert_eq!(set.unwrap().status, 200);
}

#[tokio::test]
async fn vms_late() {
    let (running, client) = start(300.0).await;
    let mut watch = client.watch("vms", "0").await.unwrap();
    set_vms(running.control, "live").await;
    assert!(client.list::<Value>("vms").await.unwrap().items.is_empty());
    let added = watch.next::<Value>().await.unwrap();
    assert!(matches!(added, Some(WatchEvent::Added(o)) if o.spec["state"] == "live"));
    set_vms(running.control, "leaving").await;
    let changed = watch.next::<Value>().await.unwrap();
    assert!(matches!(changed, Some(WatchEvent::Modified(o)) if o.spec["state"] == "leaving"));
}
