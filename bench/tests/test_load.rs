//! The load tool finds what it is there to find.

use std::net::SocketAddr;

use banyangauge_bench::load::LoadArgs;
use banyangauge_bench::load::client::Caller;
use banyangauge_bench::load::client::Verdict;
use banyangauge_bench::load::profile::Requests;
use banyangauge_bench::load::profile::Work;
use banyangauge_standin::Running;
use banyangauge_standin::engine;
use banyangauge_standin::engine::EngineArgs;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rstest::rstest;

async fn post(address: SocketAddr, path: &str, body: &str) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::post(format!("http://{address}{path}"));
    let body = Full::new(Bytes::from(body.to_owned()));
    let answer = client.request(request.body(body).unwrap()).await.unwrap();
    assert!(answer.status().is_success());
}

async fn start() -> Running {
    let engine = engine::start(EngineArgs::builder().step_us(0).build());
    let engine = engine.await.unwrap();
    let order = r#"{"lora_name":"a@1"}"#;
    post(engine.address, "/v1/load_lora_adapter", order).await;
    engine
}

fn question(model: &str, stream: bool, chat: bool) -> Work {
    Work::Completion {
        chat,
        model: model.to_owned(),
        prompt: "who is next? len=12".to_owned(),
        most: 20,
        stream,
        long: false,
    }
}

async fn verdict(engine: &Running, work: &Work) -> Verdict {
    Caller::new(engine.address).send(work, "", 1_000).await.0
}

#[rstest]
#[tokio::test]
async fn send_answered(#[values(false, true)] stream: bool, #[values(false, true)] chat: bool) {
    let engine = start().await;
    let work = question("a@1", stream, chat);
    assert_eq!(verdict(&engine, &work).await, Verdict::Answered);
}

#[rstest]
#[case::crossed(r#"{"cross_next":1}"#, "wrong")]
#[case::truncated(r#"{"drop_next":1,"drop_after":5}"#, "lost")]
#[case::unanswered(r#"{"drop_before":1}"#, "lost")]
#[tokio::test]
async fn send_spoilt(
    #[case] fault: &str,
    #[case] expected: &str,
    #[values(false, true)] stream: bool,
) {
    let engine = start().await;
    post(engine.control, "/faults", fault).await;
    let found = match verdict(&engine, &question("a@1", stream, false)).await {
        Verdict::Wrong(_) => "wrong",
        Verdict::Lost(_) => "lost",
        other => panic!("{other:?}"),
    };
    assert_eq!(found, expected);
}

#[tokio::test]
async fn send_undocumented_error() {
    let engine = start().await;
    let found = verdict(&engine, &question("b@1", false, false)).await;
    assert!(matches!(found, Verdict::Lost(_)), "{found:?}");
}

#[test]
fn requests_repeatable() {
    use argh::FromArgs;
    let words = [
        "--entries",
        "127.0.0.1:1,127.0.0.1:2",
        "--adapters",
        "50",
        "--seed",
        "4",
    ];
    let args = LoadArgs::from_args(&["banyan-load"], &words).unwrap();
    let (mut a, mut b) = (Requests::new(&args), Requests::new(&args));
    let mut once = 0;
    for _ in 0..1_000 {
        let (x, y) = (a.next(), b.next());
        assert_eq!(format!("{x:?}"), format!("{y:?}"));
        once += u32::from(x.work.kind() == "once");
    }
    assert!((100..200).contains(&once), "{once}");
}
