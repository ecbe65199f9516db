//! One request's story, from the log lines of all VMs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;

use serde_json::Value;

/// Events of a replica or adapter that the story names, this much before its
/// first line at the most, belong to it.
const BEFORE_MS: i64 = 5_000;

/// Fields that each line begins with, or that say nothing here.
const HIDDEN: [&str; 6] = ["msg", "level", "ts", "program", "vm", "id"];

/// Messages of a whole VM that bear on each request.
const OF_THE_VM: [&str; 6] = [
    "configuration",
    "owners",
    "store lost",
    "store regained",
    "stopping",
    "was suspended",
];

#[derive(Clone, Debug)]
struct Line {
    at: String,
    ms: i64,
    fields: BTreeMap<String, Value>,
}

/// The story of one request: its own lines, and what changed of the replicas
/// and adapters that they name shortly before.
///
/// ```
/// use banyangauge::operator::RequestHistory;
/// let mut s = RequestHistory::new("r1");
/// s.add_log(r#"{"msg":"refused","ts":"2026-01-01T00:00:01.5Z","vm":"a","id":"r1","why":"no_replica"}"#);
/// assert_eq!(s.render(), "00:00:01.500 a refused why=no_replica\n");
/// ```
#[derive(Debug)]
pub struct RequestHistory {
    id: String,
    lines: Vec<Line>,
}

impl RequestHistory {
    /// The story of the request with this id; nothing was read yet.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            lines: Vec::new(),
        }
    }

    /// Reads log lines; what stands before a line's JSON is passed over, and
    /// so are lines without any.
    pub fn add_log(&mut self, text: &str) {
        for line in text.lines() {
            let json = line.find('{').map(|at| &line[at..]);
            let fields = json.and_then(|j| serde_json::from_str(j).ok());
            let Some(fields): Option<BTreeMap<String, Value>> = fields else {
                continue;
            };
            let at = fields.get("ts").and_then(Value::as_str).unwrap_or_default();
            let at = at.split_once('T').map_or(at, |(_, time)| time).to_owned();
            if let Some(ms) = millis_of(&at) {
                self.lines.push(Line { at, ms, fields });
            }
        }
    }

    /// The story, a line an event, in order.
    pub fn render(&self) -> String {
        let own = |l: &&Line| text(l, "id") == Some(self.id.as_str());
        let first = self.lines.iter().filter(own).map(|l| l.ms).min();
        let last = self.lines.iter().filter(own).map(|l| l.ms).max();
        let (Some(first), Some(last)) = (first, last) else {
            return format!("no line names {}\n", self.id);
        };
        let named = |key| {
            let lines = self.lines.iter().filter(own);
            lines.filter_map(|l| text(l, key)).collect::<BTreeSet<_>>()
        };
        let (replicas, targets, vms) = (named("replica"), named("target"), named("vm"));
        let bears = |l: &&Line| {
            let about =
                |key, names: &BTreeSet<&str>| text(l, key).is_some_and(|n| names.contains(n));
            let near = l.ms >= first - BEFORE_MS && l.ms <= last;
            let of_vm = text(l, "msg").is_some_and(|m| OF_THE_VM.contains(&m));
            let other = !l.fields.contains_key("id");
            let about = about("replica", &replicas) || about("target", &targets);
            near && other && (about || of_vm && vms.contains(text(l, "vm").unwrap_or_default()))
        };
        let mut told: Vec<&Line> = self.lines.iter().filter(|l| own(l) || bears(l)).collect();
        told.sort_by_key(|l| l.ms);
        told.iter().map(|l| line(l)).collect()
    }
}

fn line(l: &Line) -> String {
    let vm = text(l, "vm").unwrap_or("-");
    let at = l.at.trim_end_matches('Z');
    let (seconds, part) = at.split_once('.').unwrap_or((at, ""));
    let mut told = format!(
        "{seconds}.{part:0<3.3} {vm} {}",
        text(l, "msg").unwrap_or("-")
    );
    let shown = l
        .fields
        .iter()
        .filter(|(k, _)| !HIDDEN.contains(&k.as_str()));
    for (key, value) in shown.filter(|(_, v)| !v.is_null()) {
        let value = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        // Writing to a string does not fail.
        write!(told, " {key}={value}").ok();
    }
    told.push('\n');
    told
}

fn text<'a>(l: &'a Line, key: &str) -> Option<&'a str> {
    l.fields.get(key).and_then(Value::as_str)
}

/// Milliseconds of a day by `HH:MM:SS.fraction`.
fn millis_of(time: &str) -> Option<i64> {
    let mut parts = time.trim_end_matches('Z').split(':');
    let hours: i64 = parts.next()?.parse().ok()?;
    let minutes: i64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some((hours * 60 + minutes) * 60_000 + (seconds * 1e3) as i64)
}
