//! A request that crashes every upstream that runs it is identified and refused
//! by all entry processes, and no other request is.

use std::time::Duration;
use std::time::Instant;

use banyangauge_testutils::caller::Ask;
use banyangauge_testutils::caller::Call;
use banyangauge_testutils::caller::Caller;
use banyangauge_testutils::caller::Told;
use banyangauge_testutils::rig::Rig;
use banyangauge_testutils::rig::Size;
use banyangauge_testutils::rig::TEAMS;
use serde_json::json;

/// Number of attempts within which every entry process must refuse the request;
/// each attempt crashes at most one engine.
const MAX_ATTEMPTS: usize = 12;

/// Number of engines that one request may crash. The first crash makes every
/// request that ran on the engine a suspect, and the second one blocks it. One
/// more is allowed for a request that happened to run alone.
const MAX_CRASHES: usize = 3;

fn call(id: &str) -> Call {
    Call {
        id: id.to_owned(),
        bearer: TEAMS[0].1.to_owned(),
        ask: Ask::Completion {
            model: "adapter-000@1".to_owned(),
            stream: false,
            tokens: 5,
        },
        deadline: Duration::from_secs(8),
    }
}

fn is_convicted(told: &Told) -> bool {
    matches!(told, Told::Refused { code, .. } if code == "convicted")
}

async fn crashes(rig: &Rig) -> usize {
    let mut count = 0;
    for i in 0..rig.size.engines {
        let history = rig.history(rig.engine(i)).await.unwrap();
        let requests = history["requests"].as_array().unwrap();
        count += requests.iter().filter(|r| r["outcome"] == "crash").count();
    }
    count
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashing_request_refused_by_all_entries() {
    let rig = Rig::start(Size::default()).await.unwrap();
    for i in 0..rig.size.engines {
        let marker = json!({"crash_on": "call=evil"});
        rig.faults(rig.engine(i), marker).await.unwrap();
    }
    let caller = Caller::new(Instant::now());
    let mut refused = vec![false; rig.size.entries];
    for n in 0..MAX_ATTEMPTS {
        let entry = n % rig.size.entries;
        let (crashing, good) = tokio::join!(
            caller.send(rig.entry(entry), call("evil")),
            caller.send(rig.entry(entry), call(&format!("good{n}"))),
        );
        refused[entry] |= is_convicted(&crashing.told);
        assert!(!is_convicted(&good.told), "{:?}", good.told);
        if refused.iter().all(|r| *r) {
            break;
        }
    }
    assert_eq!(refused, vec![true; rig.size.entries]);
    let crashed = crashes(&rig).await;
    assert!(crashed <= MAX_CRASHES, "{crashed} crashes");
    let last = caller.send(rig.entry(0), call("after")).await;
    assert!(
        matches!(last.told, Told::Answered { .. }),
        "{:?}",
        last.told
    );
}
