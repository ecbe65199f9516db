//! One checker for each promise, over a history of callers and upstreams.
//!
//! Each gives the violations as text; none means that the history is allowed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::caller::Ask;
use crate::caller::Record;
use crate::caller::Told;
use crate::caller::prompt_of;

/// One run of a request at an upstream, as its stand-in saw it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Execution {
    /// The upstream.
    pub upstream: String,
    /// The call's id, from its prompt or body.
    pub call: String,
    /// The adapter and version that the request named there; empty at services.
    pub model: String,
    /// The idempotency key, or empty.
    pub key: String,
    /// When it began, in milliseconds on the run's clock.
    pub began: u64,
    /// How it ended.
    pub outcome: String,
}

/// A sighting of the revision in force on a VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sighting {
    /// The VM.
    pub vm: String,
    /// When, in milliseconds on the run's clock.
    pub at: u64,
    /// The revision in force.
    pub revision: u64,
}

/// A confirmation that an operator was told is accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Confirmed {
    /// When the operator was told, in milliseconds on the run's clock.
    pub at: u64,
    /// The revision that it made.
    pub revision: u64,
}

/// Tokens that a team was charged with and that its callers got.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Charge {
    /// Tokens that callers of the team were given in whole answers.
    pub given: u64,
    /// Tokens that callers were given in answers that broke off.
    pub partial: u64,
    /// Tokens in `banyan usage`.
    pub charged: u64,
}

/// The outcome that the engine stand-in gives to a request whose adapter was
/// unloaded while it ran.
pub const EVICTED_IN_USE: &str = "evicted_in_use";

/// A whole answer is the one to its own request: text as the model gives it.
///
/// `expected` gives the text of a model, prompt and token limit.
pub fn whole_answer(
    records: &[Record],
    expected: impl Fn(&str, &str, u32) -> String,
) -> Vec<String> {
    let mut bad = Vec::new();
    for r in records {
        let Ask::Completion { model, tokens, .. } = &r.call.ask else {
            if let Told::Answered { text, .. } = &r.told
                && !text.contains(&r.call.id)
            {
                bad.push(format!("{}: got another call's answer {text:?}", r.call.id));
            }
            continue;
        };
        let want = expected(model, &prompt_of(&r.call), *tokens);
        match &r.told {
            Told::Answered { text, .. } if *text != want => {
                bad.push(format!("{}: got {text:?}, whole is {want:?}", r.call.id));
            }
            Told::Broken { text } if !text.starts_with('{') && !want.starts_with(text.as_str()) => {
                bad.push(format!("{}: broken off with foreign {text:?}", r.call.id));
            }
            _ => {}
        }
    }
    bad
}

/// Each answered request ran on the adapter and version that it named.
pub fn exact_version(records: &[Record], runs: &[Execution]) -> Vec<String> {
    let mut bad = Vec::new();
    let mut named = BTreeMap::new();
    for r in records {
        let Ask::Completion { model, .. } = &r.call.ask else {
            continue;
        };
        named.insert(r.call.id.as_str(), model.as_str());
        if let Told::Answered { model: told, .. } = &r.told
            && told != model
        {
            bad.push(format!("{}: named {model}, told {told}", r.call.id));
        }
    }
    for run in runs {
        if let Some(model) = named.get(run.call.as_str())
            && *model != run.model
        {
            bad.push(format!("{}: named {model}, ran on {}", run.call, run.model));
        }
    }
    bad
}

/// A request that was refused as "not run" has no execution.
pub fn not_run_true(records: &[Record], runs: &[Execution]) -> Vec<String> {
    let ran: BTreeSet<&str> = runs.iter().map(|r| r.call.as_str()).collect();
    records
        .iter()
        .filter_map(|r| match &r.told {
            Told::Refused { ran: word, code }
                if word == "not_run" && ran.contains(r.call.id.as_str()) =>
            {
                Some(format!("{}: told not run ({code}), but it ran", r.call.id))
            }
            _ => None,
        })
        .collect()
}

/// A call that may run once ran once at the most, by call and by key.
pub fn at_most_once(records: &[Record], runs: &[Execution]) -> Vec<String> {
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    let once: BTreeSet<&str> = records
        .iter()
        .filter(|r| matches!(r.call.ask, Ask::Booking { .. }))
        .map(|r| r.call.id.as_str())
        .collect();
    for run in runs {
        if once.contains(run.call.as_str()) {
            *counts.entry(format!("call {}", run.call)).or_default() += 1;
        }
        if !run.key.is_empty() {
            *counts.entry(format!("key {}", run.key)).or_default() += 1;
        }
    }
    counts
        .into_iter()
        .filter(|(_, n)| *n > 1)
        .map(|(what, n)| format!("{what}: ran {n} times"))
        .collect()
}

/// No request lost its adapter while it ran.
pub fn no_evict_in_use(runs: &[Execution]) -> Vec<String> {
    runs.iter()
        .filter(|r| r.outcome == EVICTED_IN_USE)
        .map(|r| format!("{}: {} was unloaded under it", r.call, r.model))
        .collect()
}

/// Nothing starts at `upstream` later than `limit` ms after `sign`, the first
/// sign that it leaves.
pub fn leaving_drains(runs: &[Execution], upstream: &str, sign: u64, limit: u64) -> Vec<String> {
    runs.iter()
        .filter(|r| r.upstream == upstream && r.began > sign + limit)
        .map(|r| {
            format!(
                "{}: began at {upstream} {} ms after the sign",
                r.call,
                r.began - sign
            )
        })
        .collect()
}

/// Every request got a final answer, and none was cut off. Calls whose entry
/// was killed under them may be [`Told::Dropped`]; those in `excused`.
pub fn all_final(records: &[Record], excused: &BTreeSet<String>) -> Vec<String> {
    records
        .iter()
        .filter(|r| match r.told {
            Told::Nothing => true,
            Told::Dropped => !excused.contains(&r.call.id),
            _ => false,
        })
        .map(|r| format!("{}: {:?}", r.call.id, r.told))
        .collect()
}

/// A planned stop cuts off nothing: no dropped or broken answer at all.
pub fn graceful_stop(records: &[Record]) -> Vec<String> {
    records
        .iter()
        .filter(|r| {
            matches!(r.told, Told::Nothing | Told::Dropped | Told::Broken { .. })
                || matches!(&r.told, Told::Refused { ran, .. } if ran == "unknown")
        })
        .map(|r| format!("{}: {:?}", r.call.id, r.told))
        .collect()
}

/// An accepted revision is in force on every VM within `limit` ms, and no VM
/// ever goes back.
pub fn config_in_force(seen: &[Sighting], confirmed: &[Confirmed], limit: u64) -> Vec<String> {
    let mut bad = Vec::new();
    let mut last: BTreeMap<&str, u64> = BTreeMap::new();
    for s in seen {
        let before = last.insert(&s.vm, s.revision).unwrap_or(0);
        if s.revision < before {
            bad.push(format!(
                "{}: went from {before} back to {}",
                s.vm, s.revision
            ));
        }
        let due = confirmed
            .iter()
            .filter(|c| c.at + limit < s.at)
            .map(|c| c.revision)
            .max()
            .unwrap_or(0);
        if s.revision < due {
            bad.push(format!(
                "{}: {} in force at {} ms, {due} was due",
                s.vm, s.revision, s.at
            ));
        }
    }
    bad
}

/// A team is charged what its callers were given: no less than the whole
/// answers less `lost`, what a lost VM may lose, and no more than all that
/// reached callers.
pub fn usage_attributed(charges: &BTreeMap<String, Charge>, lost: u64) -> Vec<String> {
    charges
        .iter()
        .filter(|(_, c)| c.charged + lost < c.given || c.charged > c.given + c.partial)
        .map(|(team, c)| format!("{team}: {c:?}, {lost} may be lost"))
        .collect()
}
