//! The account of requests, loads and orders from log lines.

use banyangauge::operator::Account;
use banyangauge::operator::Groups;
use banyangauge::operator::LogAccount;
use banyangauge::operator::OrderTally;
use banyangauge::operator::RequestTally;
use banyangauge::operator::TimeUs;
use proptest::prelude::*;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

fn account<'a>(lines: impl IntoIterator<Item = &'a str>) -> Account {
    let mut log = LogAccount::default();
    lines.into_iter().for_each(|line| log.add_line(line));
    log.finish()
}

/// Returns a line at `ms` of a day, with the fields of `more`.
fn line(ms: u64, vm: &str, msg: &str, more: Value) -> String {
    let (seconds, ms) = (ms / 1_000, ms % 1_000);
    let mut fields =
        json!({"msg": msg, "vm": vm, "ts": format!("2026-01-01T00:00:{seconds:02}.{ms:03}Z")});
    let more = more.as_object().unwrap().clone();
    fields.as_object_mut().unwrap().extend(more);
    format!("prefix {fields}")
}

/// Returns the only outcome of an account with one request.
fn outcome(t: &RequestTally) -> String {
    assert_eq!((t.seen, t.outcomes()), (1, 1));
    let late = [t.late.first, t.late.pause, t.late.both, t.late.unstated];
    let names = ["first", "pause", "both", "unstated"];
    let late = names.iter().zip(late).find(|(_, n)| *n == 1);
    let refused = t.refused.keys().map(|why| format!("refused {why}")).next();
    let failed = t.failed.keys().map(|why| format!("failed {why}")).next();
    let found = late.map(|(name, _)| format!("late {name}"));
    let left = (t.left.before + t.left.during == 1).then(|| "left".to_owned());
    let found = found.or(refused).or(failed).or(left);
    found.unwrap_or_else(|| "in_time".to_owned())
}

const LATE: &str = "stream missed its latency objective";
const NO_REPLICA: &str = "no replica can take the request";

#[rstest]
#[case::waited(&[("placed", "not_loaded_in_time", 0)], "in_time")]
#[case::tried_again(&[("try ended", "not_sent", 0)], "in_time")]
#[case::late(&[("placed", "replicas_full", 0), (LATE, "", 0)], "late unstated")]
#[case::refused(&[(NO_REPLICA, "replicas_full", 0), ("refused", "replicas_full", 503)], "refused replicas_full")]
#[case::denied(&[("refused", "no_route", 404)], "refused no_route")]
#[case::may_have_run(&[("try ended", "broken", 0), ("refused", "broken", 502)], "failed broken")]
#[case::not_resumed(&[("response broke off", "broken", 0)], "failed broken")]
#[case::no_other_replica(&[("response broke off", "silent", 0), (NO_REPLICA, "replicas_full", 0)], "failed replicas_full")]
#[case::no_budget(&[("response broke off", "silent", 0), ("placed", "replicas_full", 0)], "failed silent")]
#[case::resumed(&[("response broke off", "broken", 0), ("try ended", "not_sent", 0), ("response resumed", "", 0)], "in_time")]
#[case::resumed_late(&[("response broke off", "broken", 0), (LATE, "", 0)], "late unstated")]
#[case::left_before(&[("placed", "replicas_full", 0), ("caller disconnected before the response", "", 0)], "left")]
#[case::left_during(&[("caller disconnected during the response", "", 0)], "left")]
fn account_outcome(#[case] events: &[(&str, &str, u64)], #[case] expected: &str) {
    let lines: Vec<String> = (0..)
        .zip(events)
        .map(|(ms, (msg, why, status))| {
            line(
                ms,
                "a",
                msg,
                json!({"id": "r1", "why": why, "status": status}),
            )
        })
        .collect();
    let account = account(lines.iter().map(String::as_str));
    assert_eq!(outcome(&account.requests.all), expected);
}

#[rstest]
#[case::first("first")]
#[case::pause("pause")]
#[case::both("both")]
fn account_late_kind(#[case] late: &str) {
    let text = line(0, "a", LATE, json!({"id": "r1", "late": late}));
    let account = account([text.as_str()]);
    assert_eq!(outcome(&account.requests.all), format!("late {late}"));
}

/// An ID that comes back to the same VM after a refusal must not hide the refusal.
#[test]
fn account_returned_id() {
    let refused = |ms, id| {
        let more = json!({"id": id, "why": "w", "status": 503, "held_ms": 7,
            "retry_after_ms": 300, "route": "chat"});
        line(ms, "a", "refused", more)
    };
    let placed = |ms, vm, id| line(ms, vm, "placed", json!({"id": id, "waited_ms": 30}));
    let lines = [
        refused(0, "served"),
        placed(500, "b", "served"),
        refused(0, "again"),
        refused(500, "again"),
        refused(0, "gone"),
    ];
    let account = account(lines.iter().map(String::as_str));
    let (all, chat) = (&account.requests.all, &account.requests.routes["chat"]);
    assert_eq!((account.ids, all.seen, all.in_time), (3, 5, 1));
    // The arrival at `b` has the route that the refusal of its ID states.
    assert_eq!(chat.seen, 5);
    let r = &all.refused["w"];
    assert_eq!((r.requests, r.returned, r.served), (4, 2, 1));
    assert_eq!(r.held_ms.percentile(50), Some(7));
    assert_eq!(r.retry_ms.percentile(90), Some(300));
}

/// `refused` repeats the wait of the line before it, which must not count twice.
#[rstest]
#[case::repeated(&[NO_REPLICA, "refused"])]
#[case::refused_only(&["refused"])]
fn account_wait_counted_once(#[case] messages: &[&str]) {
    let more = json!({"id": "r1", "why": "w", "status": 503, "waited_ms": 100, "copy_ms": 60});
    let lines: Vec<String> = messages
        .iter()
        .map(|msg| line(0, "a", msg, more.clone()))
        .collect();
    let waits = account(lines.iter().map(String::as_str)).requests.all.waits;
    assert_eq!(
        (waits.total_ms.count(), waits.total_ms.mean()),
        (1, Some(100))
    );
    assert_eq!((waits.parts_ms["copy"], waits.parts_ms["other"]), (60, 40));
}

fn order(ms: u64, what: &str, target: &str, end: &str, took: Option<u64>) -> String {
    let more =
        json!({"what": what, "target": target, "replica": "i-1", "end": end, "took_ms": took});
    line(ms, "a", "order", more)
}

#[test]
fn account_loads() {
    let lines = [
        order(0, "load", "a1", "accepted", None),
        // A poll of the load in progress is no further load.
        order(200, "load", "a1", "accepted", None),
        order(300, "load", "a1", "holds", Some(300)),
        order(310, "load", "a1", "holds", None),
        order(400, "unload", "a1", "accepted", None),
        order(400, "load", "a2", "unknown", None),
        order(500, "load", "a2", "holds", Some(290)),
        order(500, "load", "a1", "accepted", None),
        order(800, "load", "a1", "holds", Some(280)),
        order(810, "unload", "a1", "holds", None),
        order(820, "load", "a1", "holds", Some(30)),
        order(900, "load", "a3", "accepted", None),
        order(950, "load", "a4", "accepted", None),
        order(960, "load", "a4", "holds", None),
    ];
    let account = account(lines.iter().map(String::as_str));
    let tally = &account.orders.all;
    assert_eq!(account.median_load_ms, Some(290));
    let l = &tally.loads;
    let counts = (l.fetched, l.again, l.cached, l.unmeasured, l.unseen);
    assert_eq!(counts, (2, 1, 1, 1, 1));
    assert_eq!(tally.orders["load"]["unknown"], 1);
    assert_eq!(tally.orders["unload"]["holds"], 1);
}

#[rstest]
#[case::no_object("cut off", (1, 0, 0))]
#[case::not_json(r#"a {"msg":"refused","id":"r1"#, (0, 1, 0))]
#[case::no_id(r#"{"msg":"placed","ts":"2026-01-01T00:00:00Z"}"#, (0, 0, 1))]
#[case::no_time(r#"{"msg":"placed","id":"r1"}"#, (0, 0, 1))]
#[case::bad_time(r#"{"msg":"placed","id":"r1","ts":"10:00"}"#, (0, 0, 1))]
#[case::other_type(r#"{"msg":"placed","id":1,"ts":"2026-01-01T00:00:00Z"}"#, (0, 0, 1))]
#[case::other_message(r#"{"msg":"started","id":1}"#, (0, 0, 0))]
#[case::no_message(r#"{}"#, (0, 0, 0))]
fn account_broken_line(#[case] text: &str, #[case] expected: (u64, u64, u64)) {
    let lines = account([text]).lines;
    assert_eq!(
        (lines.no_object, lines.not_json, lines.incomplete),
        expected
    );
    assert_eq!((lines.read, lines.used), (1, 0));
}

#[test]
fn account_dropped_lines() {
    let text = line(0, "a", "lines lost", json!({"count": 5}));
    assert_eq!(account([text.as_str()]).lines.dropped, 5);
}

#[rstest]
#[case::epoch("1970-01-01T00:00:00Z", Some(0))]
#[case::leap_day("2024-02-29T12:00:00.000001Z", Some(1_709_208_000_000_001))]
#[case::offset("2024-03-01T00:30:00-01:30", Some(1_709_258_400_000_000))]
#[case::no_offset("2024-03-01T00:30:00", None)]
#[case::no_date("10:00:00Z", None)]
#[case::hour("2024-03-01T24:30:00Z", None)]
#[case::infinite("2024-03-01T00:30:infZ", None)]
fn time_parse(#[case] text: &str, #[case] expected: Option<i64>) {
    assert_eq!(TimeUs::parse(text).map(|t| t.0), expected);
}

/// Returns the sums of a count over all groups of each kind that holds each item.
fn sums<T>(groups: &Groups<T>, count: impl Fn(&T) -> u64) -> [u64; 3] {
    [
        count(&groups.all),
        groups.ranks.values().map(&count).sum(),
        groups.periods.iter().map(&count).sum(),
    ]
}

fn assert_sums(account: &Account, lines: usize) {
    let l = &account.lines;
    let errors = l.no_object + l.not_json + l.incomplete;
    assert_eq!(l.read, l.used + l.other + errors);
    assert_eq!(l.read, lines as u64);
    let requests = &account.requests;
    let seen = requests.all.seen;
    assert_eq!(sums(requests, |t| t.seen), [seen; 3]);
    assert_eq!(requests.routes.values().map(|t| t.seen).sum::<u64>(), seen);
    let tallies = requests.periods.iter().chain(requests.routes.values());
    for t in tallies
        .chain(requests.ranks.values())
        .chain([&requests.all])
    {
        assert_eq!(t.outcomes(), t.seen);
        let waits = &t.waits;
        let parts: u64 = waits.parts_ms.values().sum();
        let mean = parts.checked_div(waits.total_ms.count() as u64);
        assert_eq!(waits.total_ms.mean(), mean);
    }
    let order_count = |t: &OrderTally| t.orders.values().flat_map(|ends| ends.values()).sum();
    let [orders, by_rank, by_period] = sums(&account.orders, order_count);
    assert_eq!((by_rank, by_period), (orders, orders));
    let loads = account.orders.all.loads.total();
    assert_eq!(sums(&account.orders, |t| t.loads.total()), [loads; 3]);
}

const MESSAGES: [&str; 11] = [
    "placed",
    "refused",
    NO_REPLICA,
    "try ended",
    LATE,
    "response broke off",
    "response resumed",
    "caller disconnected before the response",
    "caller disconnected during the response",
    "order",
    "started",
];

fn any_line() -> impl Strategy<Value = String> {
    let names = (0_u64..20_000, 0_u8..3, 0_u8..6);
    let fields = (0_u64..4, 0_u64..400, 0_u64..400, any::<bool>());
    (names, prop::sample::select(&MESSAGES[..]), fields).prop_map(
        |((ms, vm, id), msg, (pick, waited, part, stated))| {
            let pick = pick as usize;
            let mut more = json!({"id": format!("r{id}"), "waited_ms": waited,
                "why": (["overdue", "broken", "w", ""][pick]),
                "status": ([502, 503, 504, 404][pick]),
                "what": (["load", "load", "unload", "look"][pick]),
                "end": (["accepted", "holds", "unknown", "accepted"][id as usize % 4]),
                "target": format!("t{}", id % 2), "replica": "i-1"});
            if stated {
                more["load_ms"] = json!(part);
                more["took_ms"] = json!(part);
                more["rank"] = json!(pick);
                more["route"] = json!(format!("route-{pick}"));
            }
            line(ms, &format!("vm-{vm}"), msg, more)
        },
    )
}

proptest! {
    /// Each request has one outcome, and is in one group of each kind.
    #[test]
    fn account_sums_add_up(lines in prop::collection::vec(any_line(), 0..80)) {
        assert_sums(&account(lines.iter().map(String::as_str)), lines.len());
    }

    /// A log that was cut anywhere is read to its end.
    #[test]
    fn account_cut_lines(lines in prop::collection::vec((any_line(), 0_usize..200), 1..30)) {
        let cut = lines.iter().map(|(text, at)| &text[..(*at).clamp(1, text.len())]);
        assert_sums(&account(cut), lines.len());
    }

    #[test]
    fn account_any_text(text in "[^\n]*") {
        let account = account([text.as_str()]);
        prop_assert_eq!(account.lines.used, 0);
    }
}
