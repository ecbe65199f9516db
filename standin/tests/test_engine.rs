//! The engine stand-in: runs, streams, orders and faults.

use banyangauge_standin::Running;
use banyangauge_standin::engine;
use banyangauge_standin::engine::EngineArgs;
use banyangauge_standin::expected_text;
use rstest::rstest;

use crate::wire::call;
use crate::wire::fault;
use crate::wire::history;
use crate::wire::read;
use crate::wire::send;

async fn start() -> Running {
    let args = EngineArgs::builder()
        .slots(1)
        .step_us(1_000)
        .honours_token(true)
        .report_lag_ms(0);
    engine::start(args.build()).await.unwrap()
}

async fn order(engine: &Running, what: &str, model: &str, token: &str) -> u16 {
    let line = format!("POST /v1/{what}_lora_adapter");
    let body = format!(r#"{{"lora_name":"{model}","lora_path":"weights:{model}"}}"#);
    let headers = [("x-fencing-token", token)];
    let answer = call(engine.address, &line, &headers, &body).await.unwrap();
    answer.status
}

fn body(model: &str, prompt: &str, stream: bool) -> String {
    format!(r#"{{"model":"{model}","prompt":"{prompt}","max_tokens":100,"stream":{stream}}}"#)
}

/// The text of a stream and whether it ended as it should.
fn stream_text(sse: &str) -> (String, bool) {
    let mut text = String::new();
    for data in sse.lines().filter_map(|l| l.strip_prefix("data: ")) {
        if data == "[DONE]" {
            return (text, true);
        }
        let event: serde_json::Value = serde_json::from_str(data).unwrap();
        text.push_str(event["choices"][0]["text"].as_str().unwrap());
    }
    (text, false)
}

const RUN: &str = "POST /v1/completions";

#[tokio::test]
async fn run_whole() {
    let engine = start().await;
    assert_eq!(order(&engine, "load", "a@1", "1").await, 200);
    let headers = [("x-request-id", "r1")];
    let answer = call(engine.address, RUN, &headers, &body("a@1", "hello", false)).await;
    let answer = answer.unwrap();
    assert_eq!(answer.headers["x-request-id"], "r1");
    assert_eq!(answer.headers["x-served-model"], "a@1");
    let text = expected_text("a@1", "hello", 100);
    assert_eq!(answer.json()["choices"][0]["text"], text);
    assert_eq!(
        history(engine.control).await["requests"][0]["outcome"],
        "answered"
    );
    engine.stop().await;
}

#[tokio::test]
async fn run_not_loaded() {
    let engine = start().await;
    let answer = call(engine.address, RUN, &[], &body("a@1", "hello", false)).await;
    let answer = answer.unwrap();
    assert_eq!(answer.status, 404);
    assert_eq!(answer.json()["error"]["code"], "model_not_found");
    assert_eq!(
        history(engine.control).await["requests"]
            .as_array()
            .unwrap()
            .len(),
        0
    );
}

#[tokio::test]
async fn resume_after_drop() {
    let engine = start().await;
    order(&engine, "load", "a@1", "1").await;
    fault(engine.control, r#"{"drop_next":1,"drop_after":3}"#).await;
    let headers = [("x-request-id", "r1")];
    let request = body("a@1", "len=20", true);
    let first = call(engine.address, RUN, &headers, &request).await.unwrap();
    assert!(first.broken);
    let (head, whole) = stream_text(first.text());
    assert_eq!((head.split_whitespace().count(), whole), (3, false));
    let headers = [("x-request-id", "r1"), ("x-resume-from", "3")];
    let rest = call(engine.address, RUN, &headers, &request).await.unwrap();
    let (tail, whole) = stream_text(rest.text());
    assert!(whole);
    assert_eq!(head + &tail, expected_text("a@1", "len=20", 100));
}

#[tokio::test]
async fn resume_on_another_engine() {
    let (from, to) = (start().await, start().await);
    order(&from, "load", "a@1", "1").await;
    order(&to, "load", "a@1", "1").await;
    let headers = [("x-request-id", "r1")];
    let request = body("a@1", "len=60", true);
    let stream = send(from.address, RUN, &headers, &request).await.unwrap();
    let export = r#"{"request_id":"r1"}"#;
    let moved = call(from.address, "POST /v1/kv/export", &[], export).await;
    let moved = moved.unwrap();
    let taken = call(to.address, "POST /v1/kv/import", &[], moved.text()).await;
    assert_eq!(taken.unwrap().status, 200);
    drop(stream);
    let headers = [("x-request-id", "r1"), ("x-resume-from", "0")];
    let answer = call(to.address, RUN, &headers, &request).await.unwrap();
    let expected = (expected_text("a@1", "len=60", 100), true);
    assert_eq!(stream_text(answer.text()), expected);
}

#[rstest]
#[case::unloaded("unload", "evicted_in_use")]
#[case::restarted("restart", "restarted")]
#[case::cancelled("cancel", "cancelled")]
#[tokio::test]
async fn stream_broken(#[case] by: &str, #[case] outcome: &str) {
    let engine = start().await;
    order(&engine, "load", "a@1", "1").await;
    let headers = [("x-request-id", "r1")];
    let request = body("a@1", "len=100", true);
    let stream = send(engine.address, RUN, &headers, &request).await.unwrap();
    match by {
        "unload" => drop(order(&engine, "unload", "a@1", "1").await),
        "restart" => fault(engine.control, r#"{"restart":true}"#).await,
        _ => drop(call(engine.address, "DELETE /v1/requests/r1", &[], "").await),
    }
    let (_, whole) = stream_text(read(stream).await.text());
    assert!(!whole);
    assert_eq!(
        history(engine.control).await["requests"][0]["outcome"],
        outcome
    );
}

#[tokio::test]
async fn crash_marked_request() {
    let engine = start().await;
    order(&engine, "load", "a@1", "1").await;
    let before = call(engine.address, "GET /load", &[], "")
        .await
        .unwrap()
        .json();
    fault(engine.control, r#"{"crash_on":"poison"}"#).await;
    let answer = call(engine.address, RUN, &[], &body("a@1", "poison", false)).await;
    assert!(answer.is_none());
    let after = call(engine.address, "GET /load", &[], "")
        .await
        .unwrap()
        .json();
    assert!(after["incarnation"].as_u64() > before["incarnation"].as_u64());
    assert_eq!(after["loaded"].as_array().unwrap().len(), 0);
    assert_eq!(
        history(engine.control).await["requests"][0]["outcome"],
        "crash"
    );
}

#[tokio::test]
async fn orders_fenced_and_full() {
    let engine = start().await;
    let fence = call(engine.address, "POST /v1/fence", &[], r#"{"token":7}"#).await;
    assert_eq!(fence.unwrap().json()["token"], 7);
    assert_eq!(order(&engine, "load", "a@1", "6").await, 412);
    assert_eq!(order(&engine, "load", "a@1", "7").await, 200);
    assert_eq!(order(&engine, "load", "b@1", "7").await, 409);
    assert_eq!(order(&engine, "unload", "b@1", "7").await, 404);
    assert_eq!(order(&engine, "unload", "a@1", "7").await, 200);
    fault(engine.control, r#"{"fail_loads":1}"#).await;
    assert_eq!(order(&engine, "load", "b@1", "7").await, 502);
    assert_eq!(order(&engine, "load", "b@1", "7").await, 200);
}

#[tokio::test]
async fn stop_finishes_streams() {
    let engine = start().await;
    order(&engine, "load", "a@1", "1").await;
    let request = body("a@1", "len=50", true);
    let stream = send(engine.address, RUN, &[], &request).await.unwrap();
    engine.begin_stop();
    let expected = (expected_text("a@1", "len=50", 100), true);
    assert_eq!(stream_text(read(stream).await.text()), expected);
    engine.stop().await;
}
