//! Each checker against a good history and a bad one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use banyangauge_testutils::caller::Ask;
use banyangauge_testutils::caller::Call;
use banyangauge_testutils::caller::Record;
use banyangauge_testutils::caller::Told;
use banyangauge_testutils::check;
use banyangauge_testutils::check::Charge;
use banyangauge_testutils::check::Confirmed;
use banyangauge_testutils::check::Execution;
use banyangauge_testutils::check::Sighting;
use rstest::rstest;

fn record(ask: Ask, told: Told) -> Record {
    Record {
        call: Call {
            id: "c1".to_owned(),
            bearer: "k".to_owned(),
            ask,
            deadline: Duration::from_secs(1),
        },
        request: String::new(),
        sent: 0,
        ended: 1,
        told,
    }
}

fn completion() -> Ask {
    Ask::Completion {
        model: "a@1".to_owned(),
        stream: true,
        tokens: 2,
    }
}

fn booking(key: Option<&str>) -> Ask {
    Ask::Booking {
        path: "/booking/1".to_owned(),
        key: key.map(str::to_owned),
    }
}

fn answered(text: &str, model: &str) -> Told {
    Told::Answered {
        text: text.to_owned(),
        model: model.to_owned(),
    }
}

fn refused(ran: &str) -> Told {
    Told::Refused {
        code: "deadline".to_owned(),
        ran: ran.to_owned(),
    }
}

fn run(call: &str, model: &str, key: &str) -> Execution {
    Execution {
        upstream: "engine-0".to_owned(),
        call: call.to_owned(),
        model: model.to_owned(),
        key: key.to_owned(),
        began: 100,
        outcome: "answered".to_owned(),
    }
}

#[rstest]
#[case::own_and_whole(answered("x y ", "a@1"), 0)]
#[case::another_one(answered("p q ", "a@1"), 1)]
#[case::cut_but_called_whole(answered("x ", "a@1"), 1)]
#[case::cut_and_seen(Told::Broken { text: "x ".to_owned() }, 0)]
#[case::cut_with_foreign_tokens(Told::Broken { text: "p ".to_owned() }, 1)]
fn whole_answer_history(#[case] told: Told, #[case] violations: usize) {
    let expected = |_: &str, _: &str, _: u32| "x y ".to_owned();
    let found = check::whole_answer(&[record(completion(), told)], expected);
    assert_eq!(found.len(), violations, "{found:?}");
}

#[rstest]
#[case::as_named("a@1", "a@1", 0)]
#[case::told_another("a@2", "a@1", 1)]
#[case::ran_on_another("a@1", "a@2", 1)]
fn exact_version_history(#[case] told: &str, #[case] ran: &str, #[case] violations: usize) {
    let records = [record(completion(), answered("x", told))];
    let found = check::exact_version(&records, &[run("c1", ran, "")]);
    assert_eq!(found.len(), violations, "{found:?}");
}

#[rstest]
#[case::did_not_run(&[], "not_run", 0)]
#[case::ran(&[run("c1", "", "")], "not_run", 1)]
#[case::ran_and_unknown(&[run("c1", "", "")], "unknown", 0)]
fn not_run_true_history(#[case] runs: &[Execution], #[case] ran: &str, #[case] violations: usize) {
    let found = check::not_run_true(&[record(booking(None), refused(ran))], runs);
    assert_eq!(found.len(), violations, "{found:?}");
}

#[rstest]
#[case::once(&[run("c1", "", "k")], 0)]
#[case::same_call_twice(&[run("c1", "", ""), run("c1", "", "")], 1)]
#[case::repeat_under_one_key(&[run("c1", "", "k"), run("c1r1", "", "k")], 1)]
fn at_most_once_history(#[case] runs: &[Execution], #[case] violations: usize) {
    let records = [record(booking(Some("k")), answered("c1", ""))];
    let found = check::at_most_once(&records, runs);
    assert_eq!(found.len(), violations, "{found:?}");
}

#[test]
fn no_evict_in_use_history() {
    let good = run("c1", "a@1", "");
    let bad = Execution {
        outcome: check::EVICTED_IN_USE.to_owned(),
        ..good.clone()
    };
    assert!(check::no_evict_in_use(std::slice::from_ref(&good)).is_empty());
    assert_eq!(check::no_evict_in_use(&[good, bad]).len(), 1);
}

#[rstest]
#[case::in_time(100, 0)]
#[case::too_late(10, 1)]
fn leaving_drains_history(#[case] limit: u64, #[case] violations: usize) {
    let found = check::leaving_drains(&[run("c1", "", "")], "engine-0", 20, limit);
    assert_eq!(found.len(), violations, "{found:?}");
}

#[rstest]
#[case::answered(answered("x", "a@1"), 0)]
#[case::refused(refused("not_run"), 0)]
#[case::unknown(refused("unknown"), 1)]
#[case::cut(Told::Broken { text: String::new() }, 1)]
#[case::dropped(Told::Dropped, 1)]
#[case::nothing(Told::Nothing, 1)]
fn graceful_stop_history(#[case] told: Told, #[case] violations: usize) {
    let found = check::graceful_stop(&[record(completion(), told)]);
    assert_eq!(found.len(), violations, "{found:?}");
}

#[rstest]
#[case::killed_entry(Told::Dropped, true, 0)]
#[case::live_entry(Told::Dropped, false, 1)]
#[case::nothing_is_never_excused(Told::Nothing, true, 1)]
fn all_final_history(#[case] told: Told, #[case] killed: bool, #[case] violations: usize) {
    let excused: BTreeSet<_> = killed.then(|| "c1".to_owned()).into_iter().collect();
    let found = check::all_final(&[record(completion(), told)], &excused);
    assert_eq!(found.len(), violations, "{found:?}");
}

#[rstest]
#[case::rises(&[(50, 1), (200, 2)], 0)]
#[case::reverts(&[(50, 2), (60, 1)], 1)]
#[case::late(&[(50, 1), (500, 1)], 1)]
fn config_in_force_history(#[case] seen: &[(u64, u64)], #[case] violations: usize) {
    let seen: Vec<_> = seen
        .iter()
        .map(|(at, revision)| Sighting {
            vm: "vm-0".to_owned(),
            at: *at,
            revision: *revision,
        })
        .collect();
    let confirmed = [Confirmed {
        at: 100,
        revision: 2,
    }];
    let found = check::config_in_force(&seen, &confirmed, 200);
    assert_eq!(found.len(), violations, "{found:?}");
}

#[rstest]
#[case::all(10, 0, 10, 0, 0)]
#[case::lost_with_its_vm(10, 0, 7, 3, 0)]
#[case::lost(10, 0, 7, 0, 1)]
#[case::broken_off_may_count(10, 5, 15, 0, 0)]
#[case::twice(10, 0, 20, 0, 1)]
fn usage_attributed_history(
    #[case] given: u64,
    #[case] partial: u64,
    #[case] charged: u64,
    #[case] lost: u64,
    #[case] violations: usize,
) {
    let charge = Charge {
        given,
        partial,
        charged,
    };
    let charges = BTreeMap::from([("t".to_owned(), charge)]);
    let found = check::usage_attributed(&charges, lost);
    assert_eq!(found.len(), violations, "{found:?}");
}
