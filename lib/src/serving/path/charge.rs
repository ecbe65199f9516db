//! Charges requests against the rate limits of their organisations.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use banyangauge_proto as wire;
use wire::datagram::Body;

use crate::ids::OrganisationName;
use crate::ids::VmName;
use crate::pool::Span;
use crate::serving::cluster::state::lender_seed;
use crate::serving::decisions::quota::LendReply;
use crate::serving::decisions::quota::LendRequest;
use crate::serving::decisions::quota::Spend;
use crate::serving::decisions::retry::RETRY_DELAY;
use crate::serving::decisions::retry::Refusal;
use crate::serving::path::types::Organisation;
use crate::serving::path::types::RateLimit;
use crate::serving::path::types::RequestInfo;
use crate::serving::program::experiment::Mechanism;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;

/// How long a request waits for a lender's answer, which usually takes a millisecond or two.
/// Callers of services without models wait for a tenth of a second only; two of these
/// timeouts fit into that.
pub(in crate::serving) const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);

/// Pause before the next attempt when no lender is known: VMs that start at the same time
/// know each other after a few of these.
const NO_LENDER_PAUSE: Duration = Duration::from_millis(100);

/// Ranks of the lenders that are asked for one request: the first one twice, because a
/// datagram may be lost, then the second one.
pub(in crate::serving) const LENDER_RANKS: [usize; 3] = [0, 0, 1];

/// A request's charge against its organisation's rate limit. Dropping it refunds the charge
/// if the request did not run.
pub(in crate::serving) struct Charge {
    node: Rc<Node>,
    organisation: OrganisationName,
    weight: f64,
    /// Number of sends in which the request may have run.
    runs: Cell<u32>,
}

impl Charge {
    /// Records that the request is about to be sent, so that it may run from now on.
    pub(in crate::serving) fn mark_sent(&self) -> ChargedSend<'_> {
        self.runs.set(self.runs.get() + 1);
        ChargedSend(self)
    }
}

/// One send of a charged request.
pub(in crate::serving) struct ChargedSend<'a>(&'a Charge);

impl ChargedSend<'_> {
    /// Records that this send did not run the request.
    pub(in crate::serving) fn revert(&self) {
        self.0.runs.set(self.0.runs.get().saturating_sub(1));
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let outcome = if self.runs.get() > 0 {
            "ran"
        } else {
            "not_run"
        };
        count_usage(&self.organisation, outcome, self.weight);
        if self.runs.get() == 0 {
            let mut state = self.node.state();
            state
                .borrower
                .refund(now(), &self.organisation, self.weight);
        }
    }
}

/// Counts a request's charge by its outcome.
fn count_usage(organisation: &OrganisationName, outcome: &'static str, weight: f64) {
    let organisation = organisation.to_string();
    metrics::counter!("serve_organisation_use_total",
        "organisation" => organisation, "outcome" => outcome)
    .increment(weight as u64);
}

/// Charges a request against its organisation's rate limit; returns `None` if the
/// organisation has no limit.
pub(in crate::serving) async fn acquire(
    node: &Rc<Node>,
    organisation: &Organisation,
    request: &RequestInfo,
) -> Result<Option<Charge>, Refusal> {
    let Some(limit) = &organisation.limit else {
        return Ok(None);
    };
    let name = &organisation.name;
    let weight = limit.weight.of(request);
    let charge = || Charge {
        node: node.clone(),
        organisation: name.clone(),
        weight,
        runs: Cell::new(0),
    };
    let over = |after: Span, answer_origin: &'static str| {
        count_usage(name, "over_limit", weight);
        // The key `by` is "told" if an earlier answer of a lender still applies, and "asked"
        // if a lender was asked for this request.
        slog::info!(node.log, "organisation is over its rate limit"; "id" => &request.id,
            "organisation" => name.as_str(), "weight" => weight,
            "rate" => limit.rate, "burst" => limit.burst,
            "after_ms" => after.as_millis(), "by" => answer_origin);
        Refusal::over_limit(Duration::from_micros(after.0))
    };
    let lending = node.settings.experiment.is_enabled(Mechanism::LimitLenders);
    for rank in LENDER_RANKS.into_iter().filter(|_| lending) {
        let spend = node.state().borrower.spend(now(), name, weight);
        let lend_request = match spend {
            Spend::Spent => return Ok(Some(charge())),
            Spend::Exhausted(after) => return Err(over(after, "told")),
            Spend::Ask(lend_request) => lend_request,
        };
        let answer = match ask_lender(node, name, limit, rank, lend_request).await {
            LenderReply::Answer(answer) => answer,
            LenderReply::Unanswered => continue,
            LenderReply::NoLender => {
                tokio::time::sleep(NO_LENDER_PAUSE).await;
                continue;
            }
        };
        let mut state = node.state();
        if state.borrower.apply_reply(now(), name, weight, answer) {
            return Ok(Some(charge()));
        }
        drop(state);
        if let LendReply::Exhausted(after) = answer {
            return Err(over(after, "asked"));
        }
    }
    let covered = {
        let mut state = node.state();
        let vm_count = state.members.listed_count();
        state
            .borrower
            .spend_local(now(), name, limit, vm_count, weight)
    };
    if covered {
        return Ok(Some(charge()));
    }
    slog::info!(node.log, "no lender answered and the local share is used up";
        "id" => &request.id, "organisation" => name.as_str(), "weight" => weight,
        "heard_part" => node.state().members.reachable_fraction(now()));
    Err(Refusal::not_run("no_lender", RETRY_DELAY))
}

/// Result of asking a lender.
enum LenderReply {
    Answer(LendReply),
    Unanswered,
    /// No lender is known.
    NoLender,
}

/// Asks the lender of this rank for a part of the organisation's limit, without a datagram if
/// that is this VM. The first lender is asked if there is none of this rank.
async fn ask_lender(
    node: &Node,
    name: &OrganisationName,
    limit: &RateLimit,
    rank: usize,
    mut lend_request: LendRequest,
) -> LenderReply {
    if !node.settings.experiment.is_enabled(Mechanism::LimitsAhead) {
        lend_request.ahead = 0.0;
    }
    let address = {
        let mut state = node.state();
        let state = &mut *state;
        let lenders = state.members.lenders(now(), lender_seed(name));
        let Some(lender) = lenders.get(rank).or(lenders.first()).copied() else {
            return LenderReply::NoLender;
        };
        if *lender == node.settings.vm {
            let reachable = state.members.reachable_fraction(now());
            let first = lenders.first() == Some(&lender);
            let answer = state
                .lender
                .lend(now(), name, limit, reachable, first, lend_request);
            return LenderReply::Answer(answer);
        }
        state.members.address(lender)
    };
    let Some(address) = address else {
        return LenderReply::Unanswered;
    };
    let id = node.next_id();
    let call = node.lease_calls.register(id);
    let ask = wire::LeaseAsk {
        vm: node.settings.vm.to_string(),
        number: id,
        organisation: name.to_string(),
        need: lend_request.need,
        ahead: lend_request.ahead,
    };
    node.send_message(Body::LeaseAsk(ask), address).await;
    let (outcome, reply) = match call.wait(ANSWER_TIMEOUT).await {
        Some(answer) if answer.declined => ("declined", LenderReply::Unanswered),
        Some(answer) if answer.lent > 0.0 => {
            ("lent", LenderReply::Answer(LendReply::Lent(answer.lent)))
        }
        Some(answer) => {
            let after = Span(answer.after_us);
            ("short", LenderReply::Answer(LendReply::Exhausted(after)))
        }
        None => ("unanswered", LenderReply::Unanswered),
    };
    metrics::counter!("serve_lease_asks_total", "outcome" => outcome).increment(1);
    reply
}

/// Answers another VM that asks for a part of an organisation's limit.
pub(in crate::serving) async fn handle_lease_ask(node: &Node, ask: &wire::LeaseAsk) {
    let (Ok(name), Ok(vm)) = (
        ask.organisation.parse::<OrganisationName>(),
        ask.vm.parse::<VmName>(),
    ) else {
        return;
    };
    let address = node.state().members.address(&vm);
    let Some(address) = address else {
        return;
    };
    let lend_request = LendRequest {
        need: ask.need.max(0.0),
        ahead: ask.ahead.max(0.0),
    };
    let mut answer = wire::LeaseAnswer {
        number: ask.number,
        ..wire::LeaseAnswer::default()
    };
    match lend(node, &name, lend_request) {
        Some(LendReply::Lent(lent)) => answer.lent = lent,
        Some(LendReply::Exhausted(after)) => answer.after_us = after.0,
        None => answer.declined = true,
    }
    node.send_message(Body::LeaseAnswer(answer), address).await;
}

/// Lends a part of an organisation's limit; returns `None` if this VM is not among the
/// organisation's lenders.
fn lend(node: &Node, name: &OrganisationName, lend_request: LendRequest) -> Option<LendReply> {
    let mut state = node.state();
    let state = &mut *state;
    let at = now();
    let limit = *state.active.as_ref()?.use_limits.get(name)?;
    let lenders = state.members.lenders(at, lender_seed(name));
    let rank = lenders.iter().position(|vm| **vm == node.settings.vm)?;
    let reachable = state.members.reachable_fraction(at);
    Some(
        state
            .lender
            .lend(at, name, &limit, reachable, rank == 0, lend_request),
    )
}
