//! What a run leaves behind, in the form that the checkers read.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;

use banyangauge_standin::text::expected_text;
use serde_json::Value;

use super::faults::Away;
use super::faults::Notes;
use super::load::Sent;
use super::schedule::Promise;
use super::schedule::Schedule;
use crate::caller::Ask;
use crate::caller::Record;
use crate::caller::Told;
use crate::caller::prompt_of;
use crate::check;
use crate::check::Charge;
use crate::check::Execution;
use crate::check::Sighting;
use crate::rig::Rig;
use crate::rig::TEAMS;

/// How long an accepted configuration may take, in milliseconds: the letter's.
pub(super) const IN_FORCE_LIMIT: u64 = 8_000;

/// When a leaving upstream gets nothing new any more, in milliseconds: the
/// issue's 2 s and what a dispatch under way takes.
const LEAVING_LIMIT: u64 = 2_200;

/// What a lost entry may lose of its metering, in milliseconds.
const USAGE_LIMIT: u64 = 1_300;

/// What a run leaves behind.
#[derive(Debug)]
pub struct Evidence {
    /// What callers were told.
    pub sent: Vec<Sent>,
    /// What upstreams ran.
    pub runs: Vec<Execution>,
    /// Revisions seen on VMs.
    pub seen: Vec<Sighting>,
    /// What the faults noted.
    pub notes: Notes,
    /// Tokens charged, by team.
    pub charged: BTreeMap<String, u64>,
    /// Calls of one token each that the first team's warm-up sent.
    pub warm: u64,
}

impl Evidence {
    /// All violations of the promises that this schedule puts to the test.
    pub fn violations(&self, schedule: &Schedule) -> Vec<String> {
        let records: Vec<Record> = self.sent.iter().map(|s| s.record.clone()).collect();
        let runs = &self.runs;
        let mut bad = Vec::new();
        let mut add = |name: Promise, found: Vec<String>| {
            bad.extend(found.into_iter().map(|v| format!("{name}: {v}")));
        };
        add(Promise::AtMostOnce, check::at_most_once(&records, runs));
        add(Promise::NotRunTrue, check::not_run_true(&records, runs));
        let whole = check::whole_answer(&records, expected_text);
        add(Promise::WholeAnswer, whole);
        add(Promise::ExactVersion, check::exact_version(&records, runs));
        add(Promise::NoEvictInUse, check::no_evict_in_use(runs));
        for l in &self.notes.leaving {
            let until: Vec<_> = runs.iter().filter(|r| r.began < l.back).cloned().collect();
            let late = check::leaving_drains(&until, &l.upstream, l.sign, LEAVING_LIMIT);
            add(Promise::LeavingDrains, late);
        }
        if schedule.promise == Promise::GracefulStop {
            add(Promise::GracefulStop, check::graceful_stop(&records));
        }
        add(Promise::GracefulStop, self.notes.stuck.clone());
        let confirmed = &self.notes.confirmed;
        let force = check::config_in_force(&self.seen, confirmed, IN_FORCE_LIMIT);
        add(Promise::ConfigInForce, force);
        let usage = check::usage_attributed(&self.charges(), self.may_be_lost());
        add(Promise::UsageAttributed, usage);
        bad
    }

    /// Requests without a final answer, but for those whose entry was killed.
    pub fn unfinished(&self) -> Vec<String> {
        let excused: BTreeSet<String> = self
            .sent
            .iter()
            .filter(|s| self.notes.away.iter().any(|a| covers(a, s)))
            .map(|s| s.record.call.id.clone())
            .collect();
        let records: Vec<Record> = self.sent.iter().map(|s| s.record.clone()).collect();
        check::all_final(&records, &excused)
    }

    /// Whether `banyan usage` shows less for a team than its callers were given.
    pub fn is_short(&self, team: &str) -> bool {
        self.charges()
            .get(team)
            .is_some_and(|c| c.charged < c.given)
    }

    fn charges(&self) -> BTreeMap<String, Charge> {
        let mut all: BTreeMap<String, Charge> = BTreeMap::new();
        for (team, key) in TEAMS {
            let mut c = Charge {
                charged: self.charged.get(team).copied().unwrap_or(0),
                partial: if team == TEAMS[0].0 { self.warm } else { 0 },
                ..Charge::default()
            };
            for s in self.sent.iter().filter(|s| s.record.call.bearer == key) {
                match &s.record.told {
                    Told::Answered { text, .. } => c.given += tokens_of(&s.record, text),
                    Told::Broken { .. } | Told::Dropped | Told::Nothing => {
                        c.partial += whole_tokens(&s.record);
                    }
                    Told::Refused { .. } => {}
                }
            }
            all.insert(team.to_owned(), c);
        }
        all
    }

    // Tokens of answers that a killed entry finished just before.
    fn may_be_lost(&self) -> u64 {
        let lost = |s: &&Sent| {
            self.notes.away.iter().any(|a| {
                let ended = s.record.ended / 1_000;
                a.entry == s.entry && ended + USAGE_LIMIT >= a.from && ended <= a.until
            })
        };
        let tokens = |s: &Sent| match &s.record.told {
            Told::Answered { text, .. } => tokens_of(&s.record, text),
            _ => 0,
        };
        self.sent.iter().filter(lost).map(tokens).sum()
    }
}

fn covers(away: &Away, sent: &Sent) -> bool {
    let record = &sent.record;
    away.entry == sent.entry
        && record.ended / 1_000 + 50 >= away.from
        && record.sent / 1_000 <= away.until
}

fn tokens_of(record: &Record, text: &str) -> u64 {
    match record.call.ask {
        Ask::Completion { .. } => text.split_whitespace().count() as u64,
        Ask::Booking { .. } => 0,
    }
}

fn whole_tokens(record: &Record) -> u64 {
    match &record.call.ask {
        Ask::Completion { model, tokens, .. } => {
            let text = expected_text(model, &prompt_of(&record.call), *tokens);
            text.split_whitespace().count() as u64
        }
        Ask::Booking { .. } => 0,
    }
}

/// Reads what every upstream ran.
///
/// # Errors
///
/// When a stand-in does not answer.
pub async fn read_runs(rig: &Rig) -> io::Result<Vec<Execution>> {
    let mut runs = Vec::new();
    for i in 0..rig.size.engines {
        add_runs(rig, rig.engine(i), &format!("engine-{i}"), &mut runs).await?;
    }
    for i in 0..rig.size.services {
        add_runs(rig, rig.service(i), &format!("service-{i}"), &mut runs).await?;
    }
    Ok(runs)
}

async fn add_runs(
    rig: &Rig,
    at: SocketAddr,
    name: &str,
    runs: &mut Vec<Execution>,
) -> io::Result<()> {
    let history = rig.history(at).await?;
    let text = |v: &Value| v.as_str().unwrap_or_default().to_owned();
    for r in history["requests"].as_array().into_iter().flatten() {
        let call = text(&r["call"]);
        runs.push(Execution {
            upstream: name.to_owned(),
            call: call.strip_prefix("call=").unwrap_or(&call).to_owned(),
            model: text(&r["model"]),
            key: text(&r["key"]),
            began: r["start_ms"].as_u64().unwrap_or(0),
            outcome: text(&r["outcome"]),
        });
    }
    Ok(())
}
