//! Accounts for the requests, loads and orders in the log lines of all VMs.
//!
//! A request is one arrival: the lines of one ID at one VM, up to the line that ends
//! it. An ID that comes back after a refusal is a further request.

mod lines;
mod loads;
mod render;
mod requests;
mod tally;

use serde::Serialize;

pub use lines::RankLabel;
pub use lines::TimeUs;
pub use render::account_json;
pub use render::account_text;
pub use tally::Groups;
pub use tally::LateCounts;
pub use tally::LeftCounts;
pub use tally::LoadCounts;
pub use tally::OrderTally;
pub use tally::RefusalTally;
pub use tally::RequestTally;
pub use tally::Samples;
pub use tally::WaitTally;

pub(super) use lines::WAIT_PARTS;

use lines::LineError;
use lines::OrderRecord;
use lines::Record;
use lines::RequestRecord;
use lines::parse_line;

/// Number of equal periods into which the covered time is divided.
const PERIODS: usize = 10;

/// How many lines were read, by what became of them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct LineCounts {
    /// All lines that are not blank.
    pub read: u64,
    /// Lines that are counted in the account.
    pub used: u64,
    /// Readable lines about something else.
    pub other: u64,
    /// Lines without `{`.
    pub no_object: u64,
    /// Lines whose text from the first `{` on is not JSON, such as truncated ones.
    pub not_json: u64,
    /// Lines of an accounted message that lack a time or an ID, or have a field of
    /// another type.
    pub incomplete: u64,
    /// Lines that the VMs say they dropped before writing them.
    pub dropped: u64,
}

/// What the log lines of all VMs say about requests, loads and orders.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Account {
    /// Lines by what became of them.
    pub lines: LineCounts,
    /// Time of the first accounted line.
    #[serde(rename = "first_us")]
    pub first: TimeUs,
    /// Time of the last accounted line.
    #[serde(rename = "last_us")]
    pub last: TimeUs,
    /// Number of request IDs; one that came back has several requests.
    pub ids: u64,
    /// Median duration of the loads in milliseconds, if one was stated.
    pub median_load_ms: Option<u64>,
    /// Requests by route, rank and period. A period has the requests whose first line is
    /// in it.
    pub requests: Groups<RequestTally>,
    /// Loads and orders by rank and period; orders have no route.
    pub orders: Groups<OrderTally>,
}

/// Reads log lines and accounts for what they say.
///
/// ```
/// use banyangauge::operator::LogAccount;
/// let mut log = LogAccount::default();
/// log.add_line(r#"vm-a {"msg":"refused","ts":"2026-01-01T00:00:01.5Z","vm":"a","id":"r1","why":"no_replica","status":503}"#);
/// let account = log.finish();
/// assert_eq!(account.requests.all.seen, 1);
/// assert_eq!(account.requests.all.refused["no_replica"].requests, 1);
/// ```
#[derive(Debug, Default)]
pub struct LogAccount {
    lines: LineCounts,
    requests: Vec<RequestRecord>,
    orders: Vec<OrderRecord>,
}

impl LogAccount {
    /// Adds one line. Any text before the first `{` is skipped, such as a time and the
    /// name of a machine.
    ///
    /// ```
    /// use banyangauge::operator::LogAccount;
    /// let mut log = LogAccount::default();
    /// log.add_line("not a log line");
    /// assert_eq!(log.finish().lines.no_object, 1);
    /// ```
    pub fn add_line(&mut self, line: &str) {
        if line.trim().is_empty() {
            return;
        }
        self.lines.read += 1;
        match parse_line(line) {
            Ok(Record::Request(r)) => self.requests.push(r),
            Ok(Record::Order(r)) => self.orders.push(r),
            Ok(Record::Dropped(n)) => {
                self.lines.dropped = self.lines.dropped.saturating_add(n);
                self.lines.other += 1;
                return;
            }
            Ok(Record::Other) => {
                self.lines.other += 1;
                return;
            }
            Err(e) => {
                match e {
                    LineError::NoObject => self.lines.no_object += 1,
                    LineError::NotJson => self.lines.not_json += 1,
                    LineError::Incomplete => self.lines.incomplete += 1,
                }
                return;
            }
        }
        self.lines.used += 1;
    }

    /// Returns the account of all lines added so far.
    ///
    /// ```
    /// use banyangauge::operator::LogAccount;
    /// assert_eq!(LogAccount::default().finish().requests.all.seen, 0);
    /// ```
    pub fn finish(self) -> Account {
        let times = || {
            let requests = self.requests.iter().map(|r| r.at);
            requests.chain(self.orders.iter().map(|o| o.at))
        };
        let first = times().min().unwrap_or_default();
        let last = times().max().unwrap_or_default();
        let period = |at: TimeUs| period_of(first, last, at);
        let arrivals = requests::group(self.requests);
        let mut account = Account {
            lines: self.lines,
            first,
            last,
            ids: requests::count_ids(&arrivals),
            ..Account::default()
        };
        for a in &arrivals {
            account.requests.add(
                a.route.as_deref(),
                a.rank.as_ref(),
                period(a.first),
                |tally| tally.add(a),
            );
        }
        let mut orders = self.orders;
        orders.sort_by_key(|o| o.at);
        for o in &orders {
            account
                .orders
                .add_without_route(o.rank.as_ref(), period(o.at), |t| t.add_order(o));
        }
        let loads = loads::group(&orders);
        account.median_load_ms = loads::median_ms(&loads);
        for l in &loads {
            let kind = loads::classify(l, account.median_load_ms);
            account
                .orders
                .add_without_route(l.rank.as_ref(), period(l.at), |t| t.add_load(l, kind));
        }
        account
    }
}

/// Returns in which of the `PERIODS` equal parts of `first..=last` a time lies.
fn period_of(first: TimeUs, last: TimeUs, at: TimeUs) -> usize {
    let (span, offset) = (last.0 - first.0, at.0 - first.0);
    if span <= 0 {
        return 0;
    }
    let index = i128::from(offset) * PERIODS as i128 / i128::from(span);
    usize::try_from(index).unwrap_or(0).min(PERIODS - 1)
}
