//! Groups the lines about requests by arrival and decides the outcome of each.

use std::collections::BTreeMap;

use super::lines::LateKind;
use super::lines::RankLabel;
use super::lines::RefusedLine;
use super::lines::RequestEvent;
use super::lines::RequestRecord;
use super::lines::TimeUs;
use super::lines::Wait;

/// Statuses of final errors after which the request may have run.
const FAILED_STATUSES: [u16; 2] = [502, 504];

/// Reason code of a response that broke off because its deadline passed; nothing follows.
const OVERDUE: &str = "overdue";

/// One arrival of a request at a VM.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) id: String,
    pub(super) first: TimeUs,
    pub(super) last: TimeUs,
    pub(super) route: Option<String>,
    pub(super) rank: Option<RankLabel>,
    pub(super) outcome: Outcome,
    /// Why tries ended and responses broke off.
    pub(super) failures: Vec<String>,
    pub(super) waits: Vec<Wait>,
    /// Whether the ID arrived again later.
    pub(super) returned: bool,
    /// Whether a later arrival of the ID was answered.
    pub(super) served: bool,
}

/// How an arrival ended, as far as its lines say.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Outcome {
    /// No line says that it was late, refused, failed or given up by its caller.
    InTime,
    Late(LateKind),
    /// It did not run, or was not allowed.
    Refused(RefusedLine),
    /// It may have run, but its caller got no complete response.
    Failed {
        why: String,
    },
    LeftBefore,
    LeftDuring,
}

impl Outcome {
    fn is_answered(&self) -> bool {
        matches!(self, Self::InTime | Self::Late(_))
    }
}

/// Returns all arrivals, by ID and time.
pub(super) fn group(mut records: Vec<RequestRecord>) -> Vec<Arrival> {
    // The sort is stable: lines of the same time stay in the order of the log.
    records.sort_by_key(|r| r.at);
    let mut lines: BTreeMap<(String, String), Vec<RequestRecord>> = BTreeMap::new();
    for r in records {
        let key = (r.id.clone(), r.vm.clone());
        lines.entry(key).or_default().push(r);
    }
    let mut by_id: BTreeMap<String, Vec<Arrival>> = BTreeMap::new();
    for ((id, _), records) in lines {
        by_id.entry(id).or_default().extend(split(&records));
    }
    for arrivals in by_id.values_mut() {
        arrivals.sort_by_key(|a| a.first);
        link(arrivals);
    }
    by_id.into_values().flatten().collect()
}

/// Returns the number of IDs; `arrivals` are ordered by ID.
pub(super) fn count_ids(arrivals: &[Arrival]) -> u64 {
    arrivals.chunk_by(|a, b| a.id == b.id).count() as u64
}

/// Splits the lines of one ID at one VM, in order of time, into arrivals.
fn split(records: &[RequestRecord]) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let mut start = 0;
    for (at, r) in records.iter().enumerate() {
        // After the headers of a response, a VM neither refuses the request nor logs
        // a disconnect before the response: this line is of a new arrival.
        let before_response =
            matches!(r.event, RequestEvent::Refused(_) | RequestEvent::LeftBefore);
        if before_response && has_response(&records[start..at]) {
            arrivals.extend(arrival(&records[start..at]));
            start = at;
        }
        if ends_arrival(&r.event) {
            arrivals.extend(arrival(&records[start..=at]));
            start = at + 1;
        }
    }
    arrivals.extend(arrival(&records[start..]));
    arrivals
}

/// Returns whether a response had begun by the last of these lines.
fn has_response(records: &[RequestRecord]) -> bool {
    let broke_off = |r: &RequestRecord| matches!(r.event, RequestEvent::BrokeOff { .. });
    records.iter().any(broke_off)
}

fn ends_arrival(event: &RequestEvent) -> bool {
    match event {
        RequestEvent::Refused(_)
        | RequestEvent::Late(_)
        | RequestEvent::LeftBefore
        | RequestEvent::LeftDuring => true,
        RequestEvent::BrokeOff { why } => why == OVERDUE,
        RequestEvent::Placed(_)
        | RequestEvent::NoReplica(_)
        | RequestEvent::TryEnded { .. }
        | RequestEvent::Resumed => false,
    }
}

/// Sums up the lines of one arrival; `None` if there are none.
fn arrival(records: &[RequestRecord]) -> Option<Arrival> {
    let (first, last) = (records.first()?, records.last()?);
    Some(Arrival {
        id: first.id.clone(),
        first: first.at,
        last: last.at,
        route: records.iter().find_map(|r| r.route.clone()),
        rank: records.iter().find_map(|r| r.rank.clone()),
        outcome: outcome(records),
        failures: records.iter().filter_map(failure).collect(),
        waits: waits(records),
        returned: false,
        served: false,
    })
}

fn failure(r: &RequestRecord) -> Option<String> {
    match &r.event {
        RequestEvent::TryEnded { why } | RequestEvent::BrokeOff { why } => Some(why.clone()),
        _ => None,
    }
}

/// Decides the outcome of one arrival from its lines in order of time.
fn outcome(records: &[RequestRecord]) -> Outcome {
    let mut has_response = false;
    let mut outcome = Outcome::InTime;
    for r in records {
        outcome = match &r.event {
            // A broken response that finds a replica again may still not be resumed.
            RequestEvent::Placed(_) if has_response => outcome,
            RequestEvent::Placed(_) | RequestEvent::Resumed => Outcome::InTime,
            RequestEvent::Late(kind) => Outcome::Late(*kind),
            RequestEvent::LeftBefore => Outcome::LeftBefore,
            RequestEvent::LeftDuring => Outcome::LeftDuring,
            RequestEvent::Refused(line) if FAILED_STATUSES.contains(&line.status) => {
                let why = line.why.clone();
                Outcome::Failed { why }
            }
            RequestEvent::Refused(line) => Outcome::Refused(line.clone()),
            // Without a line `refused` after it, an error of the replica was forwarded
            // or a response broke off.
            RequestEvent::NoReplica(wait) => Outcome::Failed {
                why: wait.why.clone(),
            },
            RequestEvent::BrokeOff { why } => {
                has_response = true;
                Outcome::Failed { why: why.clone() }
            }
            RequestEvent::TryEnded { why } if has_response => Outcome::Failed { why: why.clone() },
            // The final response to a request without one has a line `refused`.
            RequestEvent::TryEnded { .. } => Outcome::InTime,
        };
    }
    outcome
}

/// Returns the waits of one arrival. A line `refused` repeats the wait of the line before
/// it, and counts only if no other line states one.
fn waits(records: &[RequestRecord]) -> Vec<Wait> {
    let own = records.iter().filter_map(|r| match &r.event {
        RequestEvent::Placed(wait) | RequestEvent::NoReplica(wait) => Some(wait),
        _ => None,
    });
    let own: Vec<Wait> = own.filter(|w| w.total_ms > 0).cloned().collect();
    if !own.is_empty() {
        return own;
    }
    let refused = records.iter().filter_map(|r| match &r.event {
        RequestEvent::Refused(line) => Some(&line.wait),
        _ => None,
    });
    refused.filter(|w| w.total_ms > 0).cloned().collect()
}

/// Links the arrivals of one ID, which are in order of time: which came back and were
/// answered later, and the route and rank where only another arrival states them.
fn link(arrivals: &mut [Arrival]) {
    let route = arrivals.iter().find_map(|a| a.route.clone());
    let rank = arrivals.iter().find_map(|a| a.rank.clone());
    for at in 0..arrivals.len() {
        let last = arrivals[at].last;
        let later = arrivals[at + 1..].iter().filter(|a| a.first >= last);
        let answered: Vec<bool> = later.map(|a| a.outcome.is_answered()).collect();
        let arrival = &mut arrivals[at];
        arrival.returned = !answered.is_empty();
        arrival.served = answered.contains(&true);
        arrival.route = arrival.route.take().or_else(|| route.clone());
        arrival.rank = arrival.rank.take().or_else(|| rank.clone());
    }
}
