//! Reconstructs the history of one request from the log lines of all VMs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;

use serde_json::Value;

use super::account::WAIT_PARTS;

/// How long before the request's first log line an event of one of its replicas
/// or adapters still counts as related.
const LOOKBACK_MS: i64 = 5_000;

/// Fields that start each rendered line or add no information to it.
const HIDDEN_FIELDS: [&str; 6] = ["msg", "level", "ts", "program", "vm", "id"];

/// Log messages of `banyan-serve` about a VM as a whole, which can affect every
/// request on it.
const VM_MESSAGES: [&str; 8] = [
    "configuration",
    "owners",
    "store came back from an earlier copy, reading all again",
    "store lost",
    "store objects replaced after a restore",
    "store regained",
    "stopping",
    "was suspended",
];

#[derive(Clone, Debug)]
struct LogLine {
    /// Time of day, `HH:MM:SS.fraction`.
    time: String,
    /// Milliseconds since midnight.
    ms: i64,
    fields: BTreeMap<String, Value>,
}

/// The history of one request: its own log lines, and related events of its
/// replicas, adapters and VMs shortly before or during it.
///
/// ```
/// use banyangauge::operator::RequestHistory;
/// let mut history = RequestHistory::new("r1");
/// history.add_log(r#"{"msg":"refused","ts":"2026-01-01T00:00:01.5Z","vm":"a","id":"r1","why":"no_replica"}"#);
/// assert_eq!(history.render(), "00:00:01.500 a refused why=no_replica\n");
/// ```
#[derive(Debug)]
pub struct RequestHistory {
    id: String,
    lines: Vec<LogLine>,
}

impl RequestHistory {
    /// Returns an empty history for the request with this id.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            lines: Vec::new(),
        }
    }

    /// Adds log lines. Any text before the JSON object of a line is skipped, and
    /// so are lines that contain no JSON object.
    pub fn add_log(&mut self, text: &str) {
        for line in text.lines() {
            let json = line.find('{').map(|at| &line[at..]);
            let fields = json.and_then(|j| serde_json::from_str(j).ok());
            let Some(fields): Option<BTreeMap<String, Value>> = fields else {
                continue;
            };
            let time = fields.get("ts").and_then(Value::as_str).unwrap_or_default();
            let time = time.split_once('T').map_or(time, |(_, t)| t).to_owned();
            if let Some(ms) = parse_millis(&time) {
                self.lines.push(LogLine { time, ms, fields });
            }
        }
    }

    /// Renders the history in order of time, one line per event.
    pub fn render(&self) -> String {
        let own = |l: &&LogLine| field(l, "id") == Some(self.id.as_str());
        let first = self.lines.iter().filter(own).map(|l| l.ms).min();
        let last = self.lines.iter().filter(own).map(|l| l.ms).max();
        let (Some(first), Some(last)) = (first, last) else {
            return format!("no log line names request {}\n", self.id);
        };
        let named = |key| {
            let lines = self.lines.iter().filter(own);
            lines.filter_map(|l| field(l, key)).collect::<BTreeSet<_>>()
        };
        let (replicas, targets, vms) = (named("replica"), named("target"), named("vm"));
        let related = |l: &&LogLine| {
            let names_any =
                |key, names: &BTreeSet<&str>| field(l, key).is_some_and(|n| names.contains(n));
            let in_window = l.ms >= first - LOOKBACK_MS && l.ms <= last;
            let of_vm = field(l, "msg").is_some_and(|m| VM_MESSAGES.contains(&m));
            let no_request = !l.fields.contains_key("id");
            let of_target = names_any("replica", &replicas) || names_any("target", &targets);
            in_window
                && no_request
                && (of_target || of_vm && vms.contains(field(l, "vm").unwrap_or_default()))
        };
        let mut shown: Vec<&LogLine> = self.lines.iter().filter(|l| own(l) || related(l)).collect();
        shown.sort_by_key(|l| l.ms);
        shown.iter().map(|l| render_line(l)).collect()
    }
}

fn render_line(l: &LogLine) -> String {
    let vm = field(l, "vm").unwrap_or("-");
    let time = l.time.trim_end_matches('Z');
    let (seconds, fraction) = time.split_once('.').unwrap_or((time, ""));
    let mut rendered = format!(
        "{seconds}.{fraction:0<3.3} {vm} {}",
        field(l, "msg").unwrap_or("-")
    );
    let shown = l
        .fields
        .iter()
        .filter(|(k, _)| !HIDDEN_FIELDS.contains(&k.as_str()) && !is_wait_part(k));
    for (key, value) in shown.filter(|(_, v)| !v.is_null()) {
        let value = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        // Writing to a `String` cannot fail.
        write!(rendered, " {key}={value}").ok();
    }
    rendered.push('\n');
    rendered += &render_wait(l).unwrap_or_default();
    rendered
}

fn is_wait_part(key: &str) -> bool {
    WAIT_PARTS.iter().any(|(part, _)| *part == key)
}

/// Renders the parts of a wait in milliseconds, in a line of their own; `None` if the line
/// states none. `other` is the rest of `waited_ms`.
fn render_wait(l: &LogLine) -> Option<String> {
    let value = |key: &str| l.fields.get(key).and_then(Value::as_u64);
    let parts = WAIT_PARTS
        .iter()
        .filter_map(|(key, name)| Some((*name, value(key)?)));
    let parts: Vec<(&str, u64)> = parts.collect();
    if parts.is_empty() {
        return None;
    }
    let sum = parts
        .iter()
        .fold(0, |sum: u64, (_, ms)| sum.saturating_add(*ms));
    let rest = value("waited_ms").unwrap_or(sum).saturating_sub(sum);
    let shown = parts.into_iter().chain([("other", rest)]);
    let shown: Vec<String> = shown
        .filter(|(_, ms)| *ms > 0)
        .map(|(name, ms)| format!("{name} {ms} ms"))
        .collect();
    (!shown.is_empty()).then(|| format!("    wait: {}\n", shown.join(", ")))
}

fn field<'a>(l: &'a LogLine, key: &str) -> Option<&'a str> {
    l.fields.get(key).and_then(Value::as_str)
}

/// Parses `HH:MM:SS.fraction` to milliseconds since midnight.
fn parse_millis(time: &str) -> Option<i64> {
    let mut parts = time.trim_end_matches('Z').split(':');
    let hours: i64 = parts.next()?.parse().ok()?;
    let minutes: i64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some((hours * 60 + minutes) * 60_000 + (seconds * 1e3) as i64)
}
