//! The plain service stand-in and the weight store.

use banyangauge_standin::engine;
use banyangauge_standin::engine::EngineArgs;
use banyangauge_standin::service;
use banyangauge_standin::service::ServiceArgs;
use banyangauge_standin::weights;
use banyangauge_standin::weights::WeightsArgs;

use crate::wire::call;
use crate::wire::fault;
use crate::wire::history;

#[tokio::test]
async fn call_echoed_and_dropped() {
    let service = service::start(ServiceArgs::builder().build())
        .await
        .unwrap();
    let headers = [("x-request-id", "r1"), ("idempotency-key", "k1")];
    let line = "PUT /booking/7?slot=2";
    let answer = call(service.address, line, &headers, "basket")
        .await
        .unwrap();
    assert_eq!(answer.headers["x-request-id"], "r1");
    assert_eq!(answer.json()["path"], "/booking/7");
    assert_eq!(answer.json()["body"], "basket");
    fault(service.control, r#"{"drop_after_run":1,"refuse":0}"#).await;
    assert!(
        call(service.address, line, &headers, "basket")
            .await
            .is_none()
    );
    fault(service.control, r#"{"refuse":1}"#).await;
    let refused = call(service.address, line, &headers, "basket").await;
    assert_eq!(refused.unwrap().status, 503);
    let seen = history(service.control).await;
    let requests = seen["requests"].as_array().unwrap();
    let outcomes: Vec<_> = requests.iter().map(|r| &r["outcome"]).collect();
    assert_eq!(outcomes, ["answered", "dropped"]);
    assert_eq!(requests[0]["key"], "k1");
}

#[tokio::test]
async fn faults_unknown_switch() {
    let service = service::start(ServiceArgs::builder().build())
        .await
        .unwrap();
    let answer = call(service.control, "POST /faults", &[], r#"{"drop":1}"#).await;
    assert_eq!(answer.unwrap().status, 400);
}

#[tokio::test]
async fn loads_one_at_a_time() {
    let store = weights::start(WeightsArgs::builder().loads_per_s(50.0).build());
    let store = store.await.unwrap();
    let args = EngineArgs::builder().weights(store.address).build();
    let engine = engine::start(args).await.unwrap();
    let load = async |model: &str| {
        let body = format!(r#"{{"lora_name":"{model}"}}"#);
        let answer = call(engine.address, "POST /v1/load_lora_adapter", &[], &body).await;
        answer.unwrap().status
    };
    assert_eq!(tokio::join!(load("a@1"), load("b@1")), (200, 200));
    fault(store.control, r#"{"fail_next":1}"#).await;
    assert_eq!(load("c@1").await, 502);
    let seen = history(store.control).await;
    let spans: Vec<(u64, u64)> = seen["requests"]
        .as_array()
        .unwrap()
        .iter()
        .map(|r| {
            (
                r["start_ms"].as_u64().unwrap(),
                r["end_ms"].as_u64().unwrap(),
            )
        })
        .collect();
    assert_eq!(spans.len(), 3);
    assert!(spans.windows(2).all(|w| w[0].1 <= w[1].0), "{spans:?}");
}
