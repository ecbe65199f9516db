//! Splitting and checking of the events of a stream.

use banyangauge::upstream::EventSplitter;
use banyangauge::upstream::ExpectedIdentity;
use banyangauge::upstream::StreamChecker;
use banyangauge::upstream::StreamFault;
use bytes::Bytes;
use proptest::prelude::*;
use rstest::rstest;

fn expected() -> ExpectedIdentity {
    ExpectedIdentity {
        request: "r".into(),
        model: "a@1".into(),
        incarnation: 1,
    }
}

fn event(index: u64, finish: &str) -> String {
    format!(
        "data: {{\"id\":\"r\",\"model\":\"a@1\",\"token_index\":{index},\
         \"choices\":[{{\"index\":0,\"text\":\"w\",\"finish_reason\":{finish}}}]}}\n\n"
    )
}

#[test]
fn check_whole_stream() {
    let mut checker = StreamChecker::default();
    let text = event(0, "null") + ": comment\n\n" + &event(1, "\"stop\"") + "data: [DONE]\n\n";
    let progress = checker.check(text.as_bytes(), &expected()).unwrap();
    assert_eq!(
        (progress.tokens, progress.done, checker.next_index()),
        (2, true, 2)
    );
}

#[rstest]
#[case::index(event(1, "null"))]
#[case::request(event(0, "null").replace("\"r\"", "\"s\""))]
#[case::model(event(0, "null").replace("a@1", "a@2"))]
#[case::after_last(event(0, "\"stop\"") + &event(1, "null"))]
fn check_identity(#[case] text: String) {
    let fault = StreamChecker::default().check(text.as_bytes(), &expected());
    assert!(matches!(fault, Err(StreamFault::Identity(_))), "{fault:?}");
}

#[rstest]
#[case::done_early(event(0, "null") + "data: [DONE]\n\n")]
#[case::after_done(event(0, "\"stop\"") + "data: [DONE]\n\n" + &event(1, "null"))]
#[case::no_data("event: token\n\n".to_owned())]
#[case::no_json("data: {\n\n".to_owned())]
#[case::no_index(event(0, "null").replace("token_index", "index"))]
fn check_malformed(#[case] text: String) {
    let fault = StreamChecker::default().check(text.as_bytes(), &expected());
    assert!(matches!(fault, Err(StreamFault::Malformed(_))), "{fault:?}");
}

#[test]
fn splitter_endless_event() {
    let mut splitter = EventSplitter::default();
    let chunk = Bytes::from(vec![b'x'; 64 << 10]);
    let errors = (0..8).map(|_| splitter.push(chunk.clone()).is_err());
    assert!(errors.last().unwrap());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// The same events result wherever the network splits a stream.
    #[test]
    fn splitter_any_splits(mut splits in prop::collection::vec(0_usize..400, 0..12)) {
        let text = event(0, "null") + &event(1, "null") + &event(2, "\"stop\"") + "data: [DONE]\n\n";
        splits.push(text.len());
        splits.sort_unstable();
        let mut splitter = EventSplitter::default();
        let mut checker = StreamChecker::default();
        let (mut out, mut from) = (Vec::new(), 0);
        for split in splits {
            let split = split.min(text.len());
            let events = splitter.push(Bytes::copy_from_slice(&text.as_bytes()[from..split])).unwrap();
            checker.check(&events, &expected()).unwrap();
            out.extend_from_slice(&events);
            from = split;
        }
        prop_assert_eq!(out, text.as_bytes());
        prop_assert_eq!(checker.next_index(), 3);
    }
}
