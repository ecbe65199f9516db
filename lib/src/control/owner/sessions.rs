//! What entries say to an owner.

use std::collections::BTreeSet;

use banyangauge_proto as wire;
use wire::entry_message::Body as Said;
use wire::owner_message::Body as Answer;

use crate::claims::ClaimKey;
use crate::claims::ClaimResult;
use crate::claims::Claimant;
use crate::claims::State;
use crate::control::owner::OwnerActor;
use crate::control::owner::SessionId;
use crate::control::owner::actor::Outbox;
use crate::ids::AdapterVersion;
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::ReplicaName;
use crate::ids::TeamName;
use crate::pool::Arrival;
use crate::pool::Class;
use crate::pool::DispatchEnd;
use crate::pool::InheritedDispatch;
use crate::pool::Moment;
use crate::pool::Outcome;
use crate::pool::Reason;
use crate::pool::Span;
use crate::pool::Ticket;

/// When a refused caller may come back, where nothing better is known.
const COME_BACK: Span = Span::from_millis(1_000);

/// The most grants taken from one hello: a bound on what a faulty entry can
/// make the owner hold. An entry runs a few thousand requests at the most.
const MAX_HELD: usize = 65_536;

impl OwnerActor {
    pub(super) fn open(
        &mut self,
        now: Moment,
        session: SessionId,
        hello: &wire::Hello,
        out: Outbox,
    ) {
        if self.deposed || self.draining {
            let _ = out.try_send(Ok(message(Answer::NotOwner(wire::NotOwner::default()))));
            return;
        }
        let entry = format!("{}/{}", hello.entry, hello.incarnation);
        let numbers: BTreeSet<u64> = hello.held.iter().map(|g| g.grant).collect();
        self.outboxes.insert(session, out);
        let opened = self.requests.open(session, &entry, &numbers);
        for ticket in opened.unused {
            self.finish(now, ticket, Outcome::NotRun);
        }
        for ticket in opened.waiting {
            self.forget(now, ticket);
        }
        for grant in hello.held.iter().take(MAX_HELD) {
            self.adopt(now, &entry, grant);
        }
        let welcome = wire::Welcome {
            token: self.token().0,
            ttl_ms: self.local.settings.grants.ttl_ms,
        };
        self.tell(session, Answer::Welcome(welcome));
    }

    pub(super) fn close(&mut self, now: Moment, session: SessionId) {
        self.outboxes.remove(&session);
        for ticket in self.requests.close(session) {
            self.forget(now, ticket);
        }
    }

    pub(super) fn say(&mut self, now: Moment, session: SessionId, said: Said) {
        let Some(entry) = self.requests.entry_of(session).map(str::to_owned) else {
            return;
        };
        match said {
            // A second hello on a stream has no meaning.
            Said::Hello(_) | Said::Revoked(_) => {}
            Said::Acquire(acquire) => self.acquire(now, session, &entry, acquire),
            Said::Abandon(abandon) => {
                if let Some(ticket) = self.requests.waiting(&entry, abandon.request) {
                    self.forget(now, ticket);
                }
            }
            Said::Release(release) => self.release(now, &entry, &release),
            Said::Renew(renew) => self.renew(now, session, &entry, &renew),
        }
    }

    fn adopt(&mut self, now: Moment, entry: &str, grant: &wire::Grant) {
        let until = now.after(self.grant_ttl());
        let Ok(replica) = ReplicaName::new(&grant.replica) else {
            return;
        };
        let Ok(team) = TeamName::new(&grant.team) else {
            return;
        };
        if grant.token > self.token().0 || !self.requests.adopt(entry, grant, until) {
            return;
        }
        let held = InheritedDispatch {
            ticket: Ticket(grant.grant),
            replica,
            incarnation: Incarnation(grant.incarnation),
            adapter: adapter_of(&grant.adapter, grant.version),
            team,
            class: class_of(grant.class),
            max_tokens: grant.max_tokens,
            fingerprint: Fingerprint(grant.fingerprint),
        };
        match self.replicas.contains_key(&held.replica) {
            true => self.pool.adopt(now, held),
            false => self.orphans.push(held),
        }
    }

    /// Counts grants on replicas that the catalog names only now.
    pub(super) fn adopt_orphans(&mut self, now: Moment) {
        for held in std::mem::take(&mut self.orphans) {
            if self.requests.get(held.ticket).is_none() {
                continue;
            }
            match self.replicas.contains_key(&held.replica) {
                true => self.pool.adopt(now, held),
                false => self.orphans.push(held),
            }
        }
    }

    fn acquire(&mut self, now: Moment, session: SessionId, entry: &str, acquire: wire::Acquire) {
        let request = acquire.request;
        let Ok(team) = TeamName::new(&acquire.team) else {
            return self.tell_refusal(session, request, Reason::NoReplica.as_str(), "");
        };
        if self.deposed || self.draining {
            return self.tell_refusal(session, request, Reason::Draining.as_str(), "");
        }
        // Dispatched once: nothing tells whether the first try ran.
        if !acquire.idempotent && acquire.claim.is_empty() && acquire.attempt > 0 {
            return self.tell_refusal(session, request, Reason::RetryBudget.as_str(), "");
        }
        if let Some(ticket) = self.requests.waiting(entry, request) {
            self.forget(now, ticket);
        }
        let claim = match self.claim(now, entry, &acquire) {
            Ok(claim) => claim,
            Err((reason, state)) => return self.tell_refusal(session, request, reason, state),
        };
        let ticket = self.requests.enqueue(entry, acquire.clone(), claim);
        let arrival = Arrival {
            ticket,
            team,
            adapter: adapter_of(&acquire.adapter, acquire.version),
            class: class_of(acquire.class),
            deadline: now.after(Span::from_millis(acquire.deadline_ms)),
            prompt_tokens: acquire.prompt_tokens,
            max_tokens: acquire.max_tokens,
            prefix: acquire.prefix,
            idempotent: acquire.idempotent,
            fingerprint: Fingerprint(acquire.fingerprint),
            attempt: acquire.attempt,
            avoid: acquire
                .avoid
                .iter()
                .filter_map(|r| ReplicaName::new(r).ok())
                .collect(),
        };
        self.pool.offer(now, arrival);
    }

    // Takes the key in memory; it becomes durable before the grant is sent.
    fn claim(
        &mut self,
        now: Moment,
        entry: &str,
        acquire: &wire::Acquire,
    ) -> Result<Option<ClaimKey>, (&'static str, &'static str)> {
        if acquire.claim.is_empty() {
            return Ok(None);
        }
        // Without the journal nobody knows whether the key was seen before.
        if !self.journal.is_ready() {
            return Err(("platform_down", ""));
        }
        let key = ClaimKey::new(&acquire.claim);
        let who = Claimant {
            entry: entry.to_owned(),
            request: acquire.request,
        };
        match self.journal.claim(now, &key, &who) {
            ClaimResult::Claimed => Ok(Some(key)),
            ClaimResult::Duplicate(state) => Err(("claim", state.as_str())),
            ClaimResult::Full => Err((Reason::QueueFull.as_str(), "")),
        }
    }

    fn release(&mut self, now: Moment, entry: &str, release: &wire::Release) {
        let ticket = Ticket(release.grant);
        let Some(item) = self.requests.get(ticket).filter(|i| i.entry == entry) else {
            return;
        };
        let outcome = outcome_of(release.outcome);
        // An adopted grant's key is known from its entry only.
        let told = Some(&release.claim).filter(|c| !c.is_empty());
        let claim = item.claim.clone();
        let claim = claim.or_else(|| told.map(|c| ClaimKey::new(c)));
        if let Some(key) = claim {
            self.end_claim(now, &key, outcome, &release.claim_outcome);
        }
        self.requests.remove(ticket);
        self.pool.finish(
            now,
            DispatchEnd {
                ticket,
                outcome,
                tokens: release.tokens,
                first_byte: Span::from_millis(release.first_ms),
                total: Span::from_millis(release.total_ms),
            },
        );
    }

    fn end_claim(&mut self, now: Moment, key: &ClaimKey, outcome: Outcome, told: &str) {
        match (told, outcome) {
            ("answered", _) | ("", Outcome::Answered) => {
                self.journal.set_outcome(now, key, State::Answered);
            }
            ("", Outcome::NotRun) => self.journal.free(now, key),
            // The entry may still settle it by resuming.
            ("", Outcome::BrokenEarly | Outcome::BrokenLate) => self.journal.mark_started(key),
            _ => self.journal.set_outcome(now, key, State::Unknown),
        }
    }

    fn renew(&mut self, now: Moment, session: SessionId, entry: &str, renew: &wire::Renew) {
        let until = now.after(self.grant_ttl());
        let mut renewed = wire::Renewed::default();
        for number in &renew.grants {
            let replica = self
                .requests
                .get(Ticket(*number))
                .and_then(|i| i.grant.as_ref())
                .and_then(|g| ReplicaName::new(&g.replica).ok());
            let Some(replica) = replica else {
                renewed.unknown.push(*number);
                continue;
            };
            if self.deposed || !self.safety.may_grant(now, &replica, &self.facts) {
                // Neither prolonged nor unknown: the entry asks again.
                continue;
            }
            match self.requests.renew(entry, *number, until) {
                true => renewed.grants.push(*number),
                false => renewed.unknown.push(*number),
            }
        }
        self.tell(session, Answer::Renewed(renewed));
    }

    // A request that waits is no longer wanted.
    fn forget(&mut self, now: Moment, ticket: Ticket) {
        self.pool.abandon(now, ticket);
        if let Some(key) = self.requests.remove(ticket).and_then(|i| i.claim) {
            self.unhold(now, ticket, &key);
            self.journal.free(now, &key);
        }
    }

    // A grant that waited for its commit will not be sent.
    fn unhold(&mut self, now: Moment, ticket: Ticket, key: &ClaimKey) {
        if self.held.get(key).is_some_and(|(t, _)| *t == ticket) {
            self.held.remove(key);
            self.pool.finish(now, not_run(ticket));
        }
    }

    /// Ends grants that lapsed: nobody uses them any more.
    pub(super) fn end_lapsed(&mut self, now: Moment) {
        let margin = Span::from_millis(self.local.settings.grants.margin_ms);
        for ticket in self.requests.expired(now, margin) {
            self.finish(now, ticket, Outcome::Cancelled);
        }
    }

    /// Ends a dispatch without word from its entry.
    pub(super) fn finish(&mut self, now: Moment, ticket: Ticket, outcome: Outcome) {
        if let Some(key) = self.requests.remove(ticket).and_then(|i| i.claim) {
            self.end_claim(now, &key, outcome, "");
        }
        let finish = DispatchEnd {
            outcome,
            ..not_run(ticket)
        };
        self.pool.finish(now, finish);
    }

    /// Refuses a request that the pool had granted but no entry was told of.
    pub(super) fn take_back(&mut self, now: Moment, ticket: Ticket, reason: &str) {
        self.pool.finish(now, not_run(ticket));
        self.refuse(now, ticket, reason, COME_BACK);
    }

    /// Tells the entry that a request did not run, and frees its key.
    pub(super) fn refuse(&mut self, now: Moment, ticket: Ticket, reason: &str, retry: Span) {
        let Some(item) = self.requests.remove(ticket) else {
            return;
        };
        if let Some(key) = &item.claim {
            self.journal.free(now, key);
        }
        metrics::counter!("refused_total", "reason" => reason.to_owned()).increment(1);
        if let Some(session) = self.requests.session_of(&item.entry) {
            let refusal = wire::Refusal {
                request: item.request,
                reason: reason.to_owned(),
                retry_after_ms: retry.as_millis(),
                claim_state: String::new(),
            };
            self.tell(session, Answer::Refused(refusal));
        }
    }

    fn tell_refusal(&mut self, session: SessionId, request: u64, reason: &str, state: &str) {
        let refusal = wire::Refusal {
            request,
            reason: reason.to_owned(),
            retry_after_ms: COME_BACK.as_millis(),
            claim_state: state.to_owned(),
        };
        self.tell(session, Answer::Refused(refusal));
    }

    /// Sends to an entry. False when its stream is full or gone: it is ended,
    /// and the entry says hello again with what it holds.
    pub(super) fn tell(&mut self, session: SessionId, answer: Answer) -> bool {
        let Some(out) = self.outboxes.get(&session) else {
            return false;
        };
        if out.try_send(Ok(message(answer))).is_ok() {
            return true;
        }
        self.outboxes.remove(&session);
        false
    }

    pub(super) fn grant_ttl(&self) -> Span {
        Span::from_millis(self.local.settings.grants.ttl_ms)
    }
}

/// A message to an entry.
pub(super) fn message(answer: Answer) -> wire::OwnerMessage {
    wire::OwnerMessage { body: Some(answer) }
}

fn not_run(ticket: Ticket) -> DispatchEnd {
    DispatchEnd {
        ticket,
        outcome: Outcome::NotRun,
        tokens: 0,
        first_byte: Span(0),
        total: Span(0),
    }
}

fn adapter_of(name: &str, version: u32) -> Option<AdapterVersion> {
    let adapter = name.parse().ok()?;
    Some(AdapterVersion { adapter, version })
}

fn class_of(number: u32) -> Class {
    match number {
        0 => Class::Interactive,
        1 => Class::Call,
        _ => Class::Long,
    }
}

fn outcome_of(number: u32) -> Outcome {
    match number {
        0 => Outcome::Answered,
        1 => Outcome::NotRun,
        2 => Outcome::BrokenEarly,
        3 => Outcome::BrokenLate,
        5 => Outcome::WrongIdentity,
        _ => Outcome::Cancelled,
    }
}
