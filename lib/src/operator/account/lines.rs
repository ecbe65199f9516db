//! Parses log lines to typed records.

use std::cmp::Ordering;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// Parts of a wait by reason: the key of a log line, and the name in output.
pub(in crate::operator) const WAIT_PARTS: [(&str, &str); 7] = [
    ("load_ms", "load"),
    ("copy_ms", "copy"),
    ("loading_ms", "loading"),
    ("full_ms", "full"),
    ("withheld_ms", "withheld"),
    ("none_ms", "none"),
    ("asks_ms", "asks"),
];

/// Microseconds in a day.
const DAY_US: i64 = 86_400_000_000;

/// Time of a log line in microseconds since the Unix epoch, UTC.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TimeUs(pub i64);

impl TimeUs {
    /// Parses a time as in `2026-01-01T10:00:01.5Z`, also with an offset from UTC.
    ///
    /// ```
    /// use banyangauge::operator::TimeUs;
    /// let at = TimeUs::parse("1970-01-02T01:00:00.5+01:00");
    /// assert_eq!(at, Some(TimeUs(86_400_500_000)));
    /// assert_eq!(TimeUs::parse("1970-13-02T00:00:00Z"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let (date, time) = text.split_once('T')?;
        let mut date = date.split('-');
        let year: u16 = date.next()?.parse().ok()?;
        let month: u8 = date.next()?.parse().ok()?;
        let day: u8 = date.next()?.parse().ok()?;
        let valid = (1..=12).contains(&month) && (1..=31).contains(&day);
        if !valid || date.next().is_some() {
            return None;
        }
        let zone = time.find(['Z', '+', '-'])?;
        let (clock, zone) = time.split_at(zone);
        let mut clock = clock.split(':');
        let hour: u8 = clock.next()?.parse().ok()?;
        let minute: u8 = clock.next()?.parse().ok()?;
        let second: f64 = clock.next()?.parse().ok()?;
        // A leap second has the number 60.
        if !(0.0..61.0).contains(&second) || hour > 23 || minute > 59 {
            return None;
        }
        let minutes = i64::from(hour) * 60 + i64::from(minute) - offset_minutes(zone)?;
        let us = minutes * 60_000_000 + (second * 1e6).round() as i64;
        Some(Self(
            days_since_epoch(year.into(), month.into(), day.into()) * DAY_US + us,
        ))
    }
}

/// Writes the time of day in UTC, to milliseconds.
impl fmt::Display for TimeUs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = self.0.rem_euclid(DAY_US) / 1_000;
        let (hours, minutes) = (ms / 3_600_000, ms / 60_000 % 60);
        let (seconds, ms) = (ms / 1_000 % 60, ms % 1_000);
        write!(f, "{hours:02}:{minutes:02}:{seconds:02}.{ms:03}")
    }
}

/// Parses `Z`, `+HH:MM` or `-HH:MM`.
fn offset_minutes(zone: &str) -> Option<i64> {
    if zone == "Z" {
        return Some(0);
    }
    let sign = if zone.starts_with('-') { -1 } else { 1 };
    let (hours, minutes) = zone.get(1..)?.split_once(':')?;
    let (hours, minutes): (u8, u8) = (hours.parse().ok()?, minutes.parse().ok()?);
    Some(sign * (i64::from(hours) * 60 + i64::from(minutes)))
}

/// Returns the number of days from 1970-01-01 to a date of the Gregorian calendar. Years
/// are counted from March, so that the leap day is the last one of a year.
fn days_since_epoch(year: i64, month: i64, day: i64) -> i64 {
    let year = if month < 3 { year - 1 } else { year };
    let day_of_year = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    year * 365 + year.div_euclid(4) - year.div_euclid(100) + year.div_euclid(400) + day_of_year
        - 719_468
}

/// A rank as a log line states it. Numbers in it are compared as numbers.
///
/// ```
/// use banyangauge::operator::RankLabel;
/// assert!(RankLabel("2/1".into()) < RankLabel("10/0".into()));
/// ```
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct RankLabel(pub String);

impl RankLabel {
    fn numbers(&self) -> Vec<Option<u64>> {
        let parts = self.0.split(|c: char| !c.is_ascii_digit());
        parts.map(|p| p.parse().ok()).collect()
    }
}

impl Ord for RankLabel {
    fn cmp(&self, other: &Self) -> Ordering {
        let numbers = self.numbers().cmp(&other.numbers());
        numbers.then_with(|| self.0.cmp(&other.0))
    }
}

impl PartialOrd for RankLabel {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Why a line cannot be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LineError {
    /// It has no `{`.
    NoObject,
    /// The text from the first `{` on is not a JSON object.
    NotJson,
    /// A field is missing or has another type.
    Incomplete,
}

/// What a line says.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Record {
    Request(RequestRecord),
    Order(OrderRecord),
    /// A VM dropped this number of lines.
    Dropped(u64),
    /// A line that the account does not need.
    Other,
}

/// A line about a request.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct RequestRecord {
    pub(super) at: TimeUs,
    pub(super) vm: String,
    pub(super) id: String,
    pub(super) route: Option<String>,
    pub(super) rank: Option<RankLabel>,
    pub(super) event: RequestEvent,
}

/// What happened to a request. Reasons are those of the key `why`.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RequestEvent {
    Placed(Wait),
    NoReplica(Wait),
    Refused(RefusedLine),
    TryEnded { why: String },
    BrokeOff { why: String },
    Resumed,
    Late(LateKind),
    LeftBefore,
    LeftDuring,
}

/// A wait for a replica. Times are in milliseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Wait {
    pub(super) why: String,
    pub(super) total_ms: u64,
    /// In the order of `WAIT_PARTS`; `None` if the line states no parts.
    pub(super) parts: Option<[u64; WAIT_PARTS.len()]>,
}

/// The final error response of a VM.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct RefusedLine {
    pub(super) why: String,
    pub(super) status: u16,
    pub(super) held_ms: Option<u64>,
    pub(super) retry_ms: Option<u64>,
    pub(super) wait: Wait,
}

/// Which objective a stream missed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LateKind {
    First,
    Pause,
    Both,
    /// The line does not say.
    Unstated,
}

/// A line about an order to a replica. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct OrderRecord {
    pub(super) at: TimeUs,
    pub(super) what: String,
    pub(super) end: String,
    pub(super) replica: String,
    pub(super) target: String,
    pub(super) rank: Option<RankLabel>,
    pub(super) took_ms: Option<u64>,
    pub(super) wait_ms: Option<u64>,
    pub(super) waiting: Option<u64>,
}

/// The message of a line; read first, as other lines may have fields of the same names
/// and other types.
#[derive(Deserialize)]
struct Head {
    #[serde(default)]
    msg: String,
}

#[derive(Deserialize)]
struct Fields {
    ts: Option<String>,
    vm: Option<String>,
    id: Option<String>,
    route: Option<String>,
    rank: Option<Value>,
    why: Option<String>,
    status: Option<u16>,
    held_ms: Option<u64>,
    retry_after_ms: Option<u64>,
    waited_ms: Option<u64>,
    load_ms: Option<u64>,
    copy_ms: Option<u64>,
    loading_ms: Option<u64>,
    full_ms: Option<u64>,
    withheld_ms: Option<u64>,
    none_ms: Option<u64>,
    asks_ms: Option<u64>,
    late: Option<String>,
    what: Option<String>,
    end: Option<String>,
    replica: Option<String>,
    target: Option<String>,
    took_ms: Option<u64>,
    wait_ms: Option<u64>,
    waiting: Option<u64>,
    count: Option<u64>,
}

/// Parses one line.
pub(super) fn parse_line(line: &str) -> Result<Record, LineError> {
    let json = line.find('{').map(|at| &line[at..]);
    let json = json.ok_or(LineError::NoObject)?;
    let head: Head = serde_json::from_str(json).map_err(|_| LineError::NotJson)?;
    let make_event = match head.msg.as_str() {
        "placed" => |f: &Fields| Some(RequestEvent::Placed(f.wait())),
        "no replica can take the request" => |f: &Fields| Some(RequestEvent::NoReplica(f.wait())),
        "refused" => |f: &Fields| Some(RequestEvent::Refused(f.refused()?)),
        "try ended" => |f: &Fields| Some(RequestEvent::TryEnded { why: f.reason() }),
        "response broke off" => |f: &Fields| Some(RequestEvent::BrokeOff { why: f.reason() }),
        "response resumed" => |_: &Fields| Some(RequestEvent::Resumed),
        "stream missed its latency objective" => |f: &Fields| Some(RequestEvent::Late(f.late())),
        "caller disconnected before the response" => |_: &Fields| Some(RequestEvent::LeftBefore),
        "caller disconnected during the response" => |_: &Fields| Some(RequestEvent::LeftDuring),
        "order" => return parse_fields(json)?.order().ok_or(LineError::Incomplete),
        "lines lost" => {
            let count = parse_fields(json)?.count;
            return count.map(Record::Dropped).ok_or(LineError::Incomplete);
        }
        _ => return Ok(Record::Other),
    };
    let fields = parse_fields(json)?;
    let record = make_event(&fields).and_then(|event| fields.request(event));
    record.ok_or(LineError::Incomplete)
}

fn parse_fields(json: &str) -> Result<Fields, LineError> {
    serde_json::from_str(json).map_err(|_| LineError::Incomplete)
}

impl Fields {
    fn time(&self) -> Option<TimeUs> {
        self.ts.as_deref().and_then(TimeUs::parse)
    }

    fn rank(&self) -> Option<RankLabel> {
        match self.rank.as_ref()? {
            Value::String(text) => Some(RankLabel(text.clone())),
            Value::Number(number) => Some(RankLabel(number.to_string())),
            _ => None,
        }
    }

    /// Returns the reason; one that is absent or empty has the name `-`.
    fn reason(&self) -> String {
        let why = self.why.clone().filter(|w| !w.is_empty());
        why.unwrap_or_else(|| "-".to_owned())
    }

    fn wait(&self) -> Wait {
        let parts = [
            self.load_ms,
            self.copy_ms,
            self.loading_ms,
            self.full_ms,
            self.withheld_ms,
            self.none_ms,
            self.asks_ms,
        ];
        let stated = parts.iter().any(Option::is_some);
        let parts = parts.map(Option::unwrap_or_default);
        let sum = parts.iter().fold(0, |sum: u64, p| sum.saturating_add(*p));
        Wait {
            why: self.reason(),
            total_ms: self.waited_ms.unwrap_or_default().max(sum),
            parts: stated.then_some(parts),
        }
    }

    fn refused(&self) -> Option<RefusedLine> {
        Some(RefusedLine {
            why: self.reason(),
            status: self.status?,
            held_ms: self.held_ms,
            retry_ms: self.retry_after_ms,
            wait: self.wait(),
        })
    }

    fn late(&self) -> LateKind {
        match self.late.as_deref() {
            Some("first") => LateKind::First,
            Some("pause") => LateKind::Pause,
            Some("both") => LateKind::Both,
            _ => LateKind::Unstated,
        }
    }

    fn request(&self, event: RequestEvent) -> Option<Record> {
        Some(Record::Request(RequestRecord {
            at: self.time()?,
            vm: self.vm.clone().unwrap_or_default(),
            id: self.id.clone()?,
            route: self.route.clone(),
            rank: self.rank(),
            event,
        }))
    }

    fn order(&self) -> Option<Record> {
        Some(Record::Order(OrderRecord {
            at: self.time()?,
            what: self.what.clone()?,
            end: self.end.clone()?,
            replica: self.replica.clone()?,
            target: self.target.clone().unwrap_or_default(),
            rank: self.rank(),
            took_ms: self.took_ms,
            wait_ms: self.wait_ms,
            waiting: self.waiting,
        }))
    }
}
