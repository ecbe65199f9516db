//! Keeps the limits that replicas state for all VMs together: a request is sent to such a
//! replica only with a token of its lender.

use banyangauge_proto as wire;
use wire::datagram::Body;

use crate::ids::Incarnation;
use crate::ids::ReplicaName;
use crate::ids::VmName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::cluster::state::NodeState;
use crate::serving::cluster::state::replica_seed;
use crate::serving::decisions::fleet::Withheld;
use crate::serving::decisions::fleet::WithheldReason;
use crate::serving::decisions::quota::LendReply;
use crate::serving::decisions::quota::LendRequest;
use crate::serving::decisions::quota::Spend;
use crate::serving::decisions::replica_limits::GrantStamp;
use crate::serving::decisions::replica_limits::LimitReply;
use crate::serving::decisions::replica_limits::Observation;
use crate::serving::decisions::replica_limits::Outcome;
use crate::serving::path::charge::ANSWER_TIMEOUT;
use crate::serving::path::charge::LENDER_RANKS;
use crate::serving::path::types::Instance;
use crate::serving::peers::beacons::parse_instance;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;

/// Minimum and maximum time until a replica whose limit is exhausted is considered again. The
/// lender's estimate includes requests that were sent elsewhere since.
const MIN_RECHECK: Span = Span::from_millis(50);
const MAX_RECHECK: Span = Span::from_millis(1_000);

/// Time until a replica is considered again if no lender answers.
const NO_LENDER_DELAY: Span = Span::from_millis(200);

/// Permission to send one request to a replica.
#[derive(Clone, Copy, Debug)]
pub(in crate::serving) struct SendPermit {
    /// Whether it holds a token of the replica's limit.
    has_token: bool,
}

/// Acquires the permission to send a request to a replica, with a token if the replica states
/// a limit. Otherwise the replica is withheld from placement for a while.
pub(in crate::serving) async fn acquire(
    node: &Node,
    replica: &ReplicaName,
) -> Result<SendPermit, WithheldReason> {
    let instance = {
        let state = node.state();
        let limits = Some(&state.replica_limits).filter(|limits| !limits.is_empty());
        limits.and_then(|_| state.fleet.instance(replica))
    };
    let Some(instance) = instance else {
        return Ok(permit(false));
    };
    for rank in LENDER_RANKS {
        let (spend, heard) = {
            let mut state = node.state();
            if state.replica_limits.rate(now(), &instance).is_none() {
                return Ok(permit(false));
            }
            let spend = state.replica_limits.spend(now(), &instance);
            (spend, state.replica_limits.observation(&instance))
        };
        let request = match spend {
            Spend::Spent => return Ok(permit(true)),
            Spend::Exhausted(after) => return Err(withhold(node, replica, after)),
            Spend::Ask(request) => request,
        };
        let Some(reply) = ask_lender(node, &instance, rank, &heard, request).await else {
            continue;
        };
        let outcome =
            node.state()
                .replica_limits
                .apply_reply(now(), &instance, heard.number, &reply);
        match outcome {
            Outcome::Granted => return Ok(permit(reply.rate.is_some())),
            Outcome::Exhausted(after) => return Err(withhold(node, replica, after)),
            Outcome::AskAgain => {}
        }
    }
    let granted = {
        let mut state = node.state();
        let vm_count = state.members.listed_count();
        state.replica_limits.spend_local(now(), &instance, vm_count)
    };
    match granted {
        true => Ok(permit(true)),
        false => Err(withhold(node, replica, NO_LENDER_DELAY)),
    }
}

fn permit(has_token: bool) -> SendPermit {
    SendPermit { has_token }
}

/// Returns a permit that is valid now: the given one, or one with a token if the replica has
/// stated a limit since. There is none if it has stated that it leaves or asked for rest.
pub(in crate::serving) async fn renew(
    node: &Node,
    replica: &ReplicaName,
    permit: SendPermit,
) -> Result<SendPermit, WithheldReason> {
    if let Some(reason) = refusal_reason(&node.state(), replica) {
        return Err(reason);
    }
    let valid = permit.has_token || !node.state().is_limited(now(), replica);
    match valid {
        true => Ok(permit),
        false => acquire(node, replica).await,
    }
}

/// Returns why a replica gets no request at all, whatever its limit.
fn refusal_reason(state: &NodeState, replica: &ReplicaName) -> Option<WithheldReason> {
    if state.fleet.is_draining(replica) {
        return Some(WithheldReason::Leaving);
    }
    let withheld = state.fleet.withheld(now(), replica);
    let reason = withheld.map(|w| w.reason);
    // A limit is checked by its tokens.
    reason.filter(|reason| *reason != WithheldReason::Limit)
}

/// Withholds a replica from placement whose limit is exhausted for `after`.
fn withhold(node: &Node, replica: &ReplicaName, after: Span) -> WithheldReason {
    metrics::counter!("serve_withheld_total", "why" => "limit").increment(1);
    let at = now();
    let recheck = Span(after.0 / 2).clamp(MIN_RECHECK, MAX_RECHECK);
    let withheld = Withheld {
        until: at.after(recheck),
        ready: at.after(after),
        reason: WithheldReason::Limit,
    };
    node.state().fleet.withhold(replica, withheld);
    WithheldReason::Limit
}

/// Asks the lender of this rank for a token and reports what was heard of the replica.
async fn ask_lender(
    node: &Node,
    replica: &Instance,
    rank: usize,
    heard: &Observation,
    request: LendRequest,
) -> Option<LimitReply> {
    let own = &node.settings.vm;
    let address = {
        let state = node.state();
        let lenders = state.members.lenders(now(), replica_seed(&replica.name));
        let lender = lenders.get(rank).or(lenders.first()).copied()?;
        match lender == own {
            true => None,
            false => Some(state.members.address(lender)?),
        }
    };
    let Some(address) = address else {
        return lend(node, replica, (own, node.incarnation), heard, request);
    };
    let id = node.next_id();
    let call = node.limit_calls.register(id);
    let ask = encode_ask(node, replica, heard, id, request);
    node.send_message(Body::LimitAsk(ask), address).await;
    let answer = call.wait(ANSWER_TIMEOUT).await;
    let outcome = match &answer {
        Some(answer) if answer.declined => "declined",
        Some(answer) if answer.lent > 0.0 => "lent",
        Some(_) => "short",
        None => "unanswered",
    };
    metrics::counter!("serve_limit_asks_total", "outcome" => outcome).increment(1);
    let answer = answer.filter(|a| !a.declined)?;
    let stamp = answer.stamp.as_ref().and_then(decode_stamp)?;
    Some(LimitReply {
        rate: answer.per_second,
        lend: match answer.lent > 0.0 {
            true => LendReply::Lent(answer.lent),
            false => LendReply::Exhausted(Span(answer.after_us)),
        },
        stamp,
    })
}

/// Reports what replicas newly state about limits to the first lenders, without waiting for
/// answers: the next request for a token makes up for a lost report.
pub(in crate::serving) async fn send_reports(node: &Node) {
    let replicas = std::mem::take(&mut node.state().limit_reports);
    for replica in replicas {
        report(node, replica).await;
    }
}

/// Reports the newest statement of a replica; again later if no lender is known yet.
async fn report(node: &Node, replica: Instance) {
    let own = &node.settings.vm;
    let nothing = LendRequest {
        need: 0.0,
        ahead: 0.0,
    };
    let heard = node.state().replica_limits.observation(&replica);
    let lender = {
        let state = node.state();
        let lenders = state.members.lenders(now(), replica_seed(&replica.name));
        let first = lenders.first();
        first.map(|vm| (*vm == own, state.members.address(vm)))
    };
    match lender {
        None => {
            node.state().limit_reports.insert(replica);
        }
        Some((true, _)) => {
            lend(node, &replica, (own, node.incarnation), &heard, nothing);
        }
        Some((false, None)) => {}
        Some((false, Some(address))) => {
            let ask = encode_ask(node, &replica, &heard, 0, nothing);
            node.send_message(Body::LimitAsk(ask), address).await;
        }
    }
}

/// Lends a token of a replica's limit after applying what the VM reports; returns `None` if
/// this VM is not among the lenders, or is not the first one and the VM has heard nothing.
fn lend(
    node: &Node,
    replica: &Instance,
    vm: (&VmName, Incarnation),
    heard: &Observation,
    request: LendRequest,
) -> Option<LimitReply> {
    let at = now();
    let mut state = node.state();
    let state = &mut *state;
    let lenders = state.members.lenders(at, replica_seed(&replica.name));
    let rank = lenders.iter().position(|l| **l == node.settings.vm)?;
    let reachable = state.members.reachable_fraction(at);
    let ledger = &mut state.limit_ledger;
    let before = ledger.rate(replica);
    let ask = (heard, request);
    let reply = ledger.answer(at, replica, vm, ask, reachable, rank == 0);
    // A limit may change with each response; a new value is announced with the next beacon.
    if before.is_some() != ledger.rate(replica).is_some() {
        state.limits_changed = true;
        node.beacon_wake.notify_one();
        slog::info!(node.log, "lent limit changed"; "replica" => replica.name.as_str(),
            "born" => replica.started_ms, "per_second" => heard.rate, "told_by" => vm.0.as_str());
    }
    reply
}

/// Answers another VM that asks for a token.
pub(in crate::serving) async fn handle_limit_ask(node: &Node, ask: &wire::LimitAsk) {
    let (Ok(vm), Some(replica)) = (
        ask.vm.parse::<VmName>(),
        parse_instance(&ask.replica, ask.born),
    ) else {
        return;
    };
    let heard = Observation {
        number: ask.heard,
        rate: ask.per_second,
        grant: ask.grant.as_ref().and_then(decode_stamp),
    };
    let request = LendRequest {
        need: ask.need.max(0.0),
        ahead: ask.ahead.max(0.0),
    };
    let reply = lend(
        node,
        &replica,
        (&vm, Incarnation(ask.incarnation)),
        &heard,
        request,
    );
    let address = node.state().members.address(&vm);
    let Some(address) = address.filter(|_| ask.number > 0) else {
        return;
    };
    let mut answer = wire::LimitAnswer {
        number: ask.number,
        declined: reply.is_none(),
        ..wire::LimitAnswer::default()
    };
    if let Some(reply) = reply {
        answer.per_second = reply.rate;
        answer.stamp = Some(encode_stamp(&reply.stamp));
        match reply.lend {
            LendReply::Lent(lent) => answer.lent = lent,
            LendReply::Exhausted(after) => answer.after_us = after.0,
        }
    }
    node.send_message(Body::LimitAnswer(answer), address).await;
}

/// Returns the limits that this VM lends, for its beacons. They are also applied here, as this
/// VM may not have heard of them itself.
pub(in crate::serving) fn announce_limits(
    node: &Node,
    state: &mut NodeState,
    now: Moment,
) -> Vec<wire::ReplicaLimit> {
    let limits = state.limit_ledger.announced(now);
    let encoded = limits.map(|(replica, rate)| wire::ReplicaLimit {
        replica: replica.name.to_string(),
        born: replica.started_ms,
        per_second: rate,
    });
    let encoded: Vec<_> = encoded.collect();
    apply_announced(node, state, now, &node.settings.vm, &encoded);
    encoded
}

/// Applies the limits that a lender announces.
pub(in crate::serving) fn apply_announced(
    node: &Node,
    state: &mut NodeState,
    now: Moment,
    vm: &VmName,
    limits: &[wire::ReplicaLimit],
) {
    let ttl = state.members.failure_timeout();
    for limit in limits {
        let replica = parse_instance(&limit.replica, limit.born);
        let Some(replica) = replica.filter(|r| state.fleet.is_current(r)) else {
            continue;
        };
        let rate = limit.per_second;
        let limits = &mut state.replica_limits;
        if limits.apply_announcement(now, &replica, rate, ttl) {
            slog::info!(node.log, "replica's limit changed"; "replica" => replica.name.as_str(),
                "born" => replica.started_ms, "per_second" => rate, "told_by" => vm.as_str());
        }
    }
}

fn encode_ask(
    node: &Node,
    replica: &Instance,
    heard: &Observation,
    number: u64,
    request: LendRequest,
) -> wire::LimitAsk {
    wire::LimitAsk {
        vm: node.settings.vm.to_string(),
        incarnation: node.incarnation.0,
        number,
        replica: replica.name.to_string(),
        born: replica.started_ms,
        need: request.need,
        ahead: request.ahead,
        heard: heard.number,
        per_second: heard.rate,
        grant: heard.grant.as_ref().map(encode_stamp),
    }
}

fn encode_stamp(stamp: &GrantStamp) -> wire::GrantStamp {
    wire::GrantStamp {
        lender: stamp.lender.to_string(),
        at_us: stamp.at.0,
    }
}

fn decode_stamp(stamp: &wire::GrantStamp) -> Option<GrantStamp> {
    Some(GrantStamp {
        lender: stamp.lender.parse().ok()?,
        at: Moment(stamp.at_us),
    })
}
