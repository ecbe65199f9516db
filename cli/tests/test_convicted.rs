//! A request that crashes each upstream that runs it is found and refused
//! everywhere, and nothing else is.

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

/// Sendings until the verdict must stand; each runs an engine down at the most.
const SENDINGS: usize = 12;

/// Engines that one request may take down: the first crash makes all that ran
/// there suspects, the second convicts; one more when it was alone by chance.
const CRASHES_MOST: usize = 3;

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
async fn conviction_everywhere() {
    let rig = Rig::start(Size::default()).await.unwrap();
    for i in 0..rig.size.engines {
        let marker = json!({"crash_on": "call=evil"});
        rig.faults(rig.engine(i), marker).await.unwrap();
    }
    let caller = Caller::new(Instant::now());
    let mut refused = vec![false; rig.size.entries];
    for n in 0..SENDINGS {
        let entry = n % rig.size.entries;
        let (evil, good) = tokio::join!(
            caller.send(rig.entry(entry), call("evil")),
            caller.send(rig.entry(entry), call(&format!("good{n}"))),
        );
        refused[entry] |= is_convicted(&evil.told);
        assert!(!is_convicted(&good.told), "{:?}", good.told);
        if refused.iter().all(|r| *r) {
            break;
        }
    }
    assert_eq!(refused, vec![true; rig.size.entries]);
    let crashed = crashes(&rig).await;
    assert!(crashed <= CRASHES_MOST, "{crashed} crashes");
    let last = caller.send(rig.entry(0), call("after")).await;
    assert!(
        matches!(last.told, Told::Answered { .. }),
        "{:?}",
        last.told
    );
}
