//! Text and JSON output of `banyan account`.

use serde_json::Value;
use serde_json::json;

use super::Account;
use super::Groups;
use super::OrderTally;
use super::RequestTally;
use super::Samples;
use super::TimeUs;
use super::lines::WAIT_PARTS;
use super::tally::OTHER_PART;
use super::tally::RefusalTally;
use crate::operator::table;

/// What the counts mean and what the logs do not hold.
const NOTES: [&str; 7] = [
    "A request is one arrival of an ID at a VM. seen = in_time + late + refused + failed + left.",
    "Requests that were answered in time and waited less than 20 ms have no line: they are in no count.",
    "in_time: no line says that it was late, refused, failed or given up. Only event streams have lines when they are late; responses that were under way at the end of the logs, and errors of a replica that were forwarded, are in this count too.",
    "late: first event, pause, both; unstated where the line has no key late. failed: 502 and 504, and responses that broke off without a line that they were resumed.",
    "returned, served: the ID is in the logs again later, and was answered then. An ID that came back and was answered in time without a wait is in neither.",
    "A load that took under a quarter of the median is taken as cached; again: not cached, and the replica had unloaded the adapter before in these logs. Durations are upper bounds, as the end of a load is found by polling.",
    "other: the part of the waits that the lines do not break down. Orders and loads have no route. - stands for what no line states.",
];

/// Returns the account as JSON. Times are in the unit that the field's name ends with;
/// `first_us` and `last_us` count from the Unix epoch.
///
/// ```
/// use banyangauge::operator::{Account, account_json};
/// assert_eq!(account_json(&Account::default())["requests"]["all"]["seen"], 0);
/// ```
pub fn account_json(account: &Account) -> Value {
    let mut value = json!(account);
    value["notes"] = json!(NOTES);
    value
}

/// Returns the account as text. Times are in milliseconds.
///
/// ```
/// use banyangauge::operator::{Account, account_text};
/// assert!(account_text(&Account::default()).starts_with("0 requests of 0 IDs"));
/// ```
pub fn account_text(account: &Account) -> String {
    let requests = rows(account, &account.requests);
    let orders = rows(account, &account.orders);
    let mut text = summary(account);
    for (title, section) in [
        ("Requests", outcomes_text(&requests)),
        ("Refused", refused_text(&requests)),
        ("Failed, left and tried again", reasons_text(&requests)),
        (
            "Waits for a replica: mean of each part over those that waited",
            waits_text(&requests),
        ),
        (
            "Waits for a replica by last reason",
            wait_reasons_text(&requests),
        ),
        ("Loads", loads_text(&orders)),
        ("Orders", orders_text(&orders)),
    ] {
        text += &format!("\n{title}\n{section}");
    }
    text.push('\n');
    for note in NOTES {
        text += &format!("{note}\n");
    }
    text
}

/// Renders what was read, from when to when.
fn summary(account: &Account) -> String {
    let l = &account.lines;
    let median = match account.median_load_ms {
        Some(ms) => format!(
            "median load: {ms} ms, taken as cached below {}",
            ms.div_ceil(4)
        ),
        None => "no load with a duration".to_owned(),
    };
    format!(
        "{} requests of {} IDs, {} to {}\n\
         {} lines: {} used, {} of other kinds, {} without an object, {} not JSON, {} incomplete\n\
         {} lines dropped by the VMs\n{median}\n",
        account.requests.all.seen,
        account.ids,
        account.first,
        account.last,
        l.read,
        l.used,
        l.other,
        l.no_object,
        l.not_json,
        l.incomplete,
        l.dropped,
    )
}

/// A group with its label.
type Row<'a, T> = (String, &'a T);

/// Returns all groups in the order of output.
fn rows<'a, T>(account: &Account, groups: &'a Groups<T>) -> Vec<Row<'a, T>> {
    let mut rows = vec![("all".to_owned(), &groups.all)];
    let routes = groups.routes.iter();
    rows.extend(routes.map(|(name, t)| (format!("route {name}"), t)));
    let ranks = groups.ranks.iter();
    rows.extend(ranks.map(|(rank, t)| (format!("rank {}", rank.0), t)));
    let span = account.last.0 - account.first.0;
    let count = groups.periods.len() as i64;
    rows.extend(groups.periods.iter().zip(0..).map(|(t, at)| {
        let start = TimeUs(account.first.0 + span / count * at);
        (format!("from {start}"), t)
    }));
    rows
}

fn outcomes_text(rows: &[Row<'_, RequestTally>]) -> String {
    let head = [
        "group", "seen", "in_time", "late", "first", "pause", "both", "unstated", "refused",
        "failed", "left",
    ];
    let cells = |(label, t): &Row<'_, RequestTally>| {
        let counts = [
            t.seen,
            t.in_time,
            t.late.total(),
            t.late.first,
            t.late.pause,
            t.late.both,
            t.late.unstated,
            t.refused(),
            t.failed.values().sum(),
            t.left.before + t.left.during,
        ];
        labelled(label, counts.iter().map(u64::to_string))
    };
    table(&head, &rows.iter().map(cells).collect::<Vec<_>>())
}

fn refused_text(rows: &[Row<'_, RequestTally>]) -> String {
    let head = [
        "group",
        "reason",
        "requests",
        "held p50",
        "p90",
        "retry_after p50",
        "p90",
        "returned",
        "served",
    ];
    let cells = |label: &str, reason: &str, r: &RefusalTally| {
        let [held, held_tail] = quantiles(&r.held_ms);
        let [retry, retry_tail] = quantiles(&r.retry_ms);
        let counts = [r.requests, r.returned, r.served].map(|n| n.to_string());
        let [requests, returned, served] = counts;
        let reason = reason.to_owned();
        let cells = [
            reason, requests, held, held_tail, retry, retry_tail, returned, served,
        ];
        labelled(label, cells)
    };
    let rows = rows.iter().flat_map(|(label, t)| {
        let reasons = t.refused.iter();
        reasons.map(move |(reason, r)| cells(label, reason, r))
    });
    table(&head, &rows.collect::<Vec<_>>())
}

fn reasons_text(rows: &[Row<'_, RequestTally>]) -> String {
    let mut table_rows = Vec::new();
    for (label, t) in rows {
        let mut push = |what: &str, reason: &str, count: u64| {
            if count > 0 {
                let cells = [what.to_owned(), reason.to_owned(), count.to_string()];
                table_rows.push(labelled(label, cells));
            }
        };
        for (reason, count) in &t.failed {
            push("failed", reason, *count);
        }
        push("left", "before the response", t.left.before);
        push("left", "during the response", t.left.during);
        push("requests sent again", "", t.sent_again);
        for (reason, count) in &t.failures {
            push("try ended", reason, *count);
        }
    }
    table(&["group", "what", "reason", "count"], &table_rows)
}

fn waits_text(rows: &[Row<'_, RequestTally>]) -> String {
    let names = WAIT_PARTS.iter().map(|(_, name)| *name);
    let names: Vec<&str> = names.chain([OTHER_PART]).collect();
    let mut head = vec!["group", "waited", "mean", "p50", "p90"];
    head.extend(&names);
    let waited = rows.iter().filter(|(_, t)| t.waits.total_ms.count() > 0);
    let cells = |(label, t): &Row<'_, RequestTally>| {
        let count = t.waits.total_ms.count() as u64;
        let part = |name: &&str| {
            let sum = t.waits.parts_ms.get(name).copied().unwrap_or_default();
            (sum / count.max(1)).to_string()
        };
        labelled(
            label,
            distribution(&t.waits.total_ms)
                .into_iter()
                .chain(names.iter().map(part)),
        )
    };
    table(&head, &waited.map(cells).collect::<Vec<_>>())
}

fn wait_reasons_text(rows: &[Row<'_, RequestTally>]) -> String {
    let rows = rows.iter().flat_map(|(label, t)| {
        let reasons = t.waits.reasons_ms.iter();
        reasons.map(move |(reason, ms)| {
            labelled(
                label,
                std::iter::once(reason.clone()).chain(distribution(ms)),
            )
        })
    });
    let head = ["group", "reason", "waits", "mean", "p50", "p90"];
    table(&head, &rows.collect::<Vec<_>>())
}

fn loads_text(rows: &[Row<'_, OrderTally>]) -> String {
    let head = [
        "group",
        "loads",
        "fetched",
        "again",
        "cached",
        "unmeasured",
        "unseen",
        "took p50",
        "p90",
        "ordered after p50",
        "p90",
        "waiting p50",
        "p90",
    ];
    let cells = |(label, t): &Row<'_, OrderTally>| {
        let l = &t.loads;
        let counts = [
            l.total(),
            l.fetched,
            l.again,
            l.cached,
            l.unmeasured,
            l.unseen,
        ];
        let samples = [&t.took_ms, &t.wait_ms, &t.waiting];
        let samples = samples.into_iter().flat_map(quantiles);
        labelled(label, counts.iter().map(u64::to_string).chain(samples))
    };
    table(&head, &rows.iter().map(cells).collect::<Vec<_>>())
}

fn orders_text(rows: &[Row<'_, OrderTally>]) -> String {
    let rows = rows.iter().flat_map(|(label, t)| {
        let ends = t.orders.iter().flat_map(|(what, ends)| {
            let ends = ends.iter();
            ends.map(move |(end, count)| [what.clone(), end.clone(), count.to_string()])
        });
        ends.map(move |cells| labelled(label, cells))
    });
    table(
        &["group", "order", "outcome", "count"],
        &rows.collect::<Vec<_>>(),
    )
}

fn labelled(label: &str, cells: impl IntoIterator<Item = String>) -> Vec<String> {
    std::iter::once(label.to_owned()).chain(cells).collect()
}

/// Returns the cells for the number of values, mean, median and 90th percentile.
fn distribution(samples: &Samples) -> [String; 4] {
    let [median, tail] = quantiles(samples);
    [
        samples.count().to_string(),
        or_dash(samples.mean()),
        median,
        tail,
    ]
}

/// Returns the cells for the median and the 90th percentile.
fn quantiles(samples: &Samples) -> [String; 2] {
    [50, 90].map(|percent| or_dash(samples.percentile(percent)))
}

fn or_dash(value: Option<u64>) -> String {
    value.map_or_else(|| "-".to_owned(), |v| v.to_string())
}
