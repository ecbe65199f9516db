//! Handles the streams and messages of entries.

use std::collections::BTreeSet;

use banyangauge_proto as wire;
use wire::entry_message::Body as EntryBody;
use wire::owner_message::Body as OwnerBody;

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

/// The retry-after time of refusals for which the pool computes none.
const DEFAULT_RETRY_AFTER: Span = Span::from_millis(1_000);

/// The most grants accepted from one hello: bounds the memory that a faulty entry
/// can use. An entry runs a few thousand requests at most.
const MAX_REPORTED_GRANTS: usize = 65_536;

impl OwnerActor {
    /// Opens a stream from an entry. Ends the entry's requests on its earlier stream,
    /// except the grants that the hello lists, adopts those grants and answers with
    /// a welcome. A deposed or draining owner answers `NotOwner` instead.
    pub(super) fn open_session(
        &mut self,
        now: Moment,
        session: SessionId,
        hello: &wire::Hello,
        out: Outbox,
    ) {
        if self.deposed || self.draining {
            let _ = out.try_send(Ok(message(OwnerBody::NotOwner(wire::NotOwner::default()))));
            return;
        }
        let entry = format!("{}/{}", hello.entry, hello.incarnation);
        let held: BTreeSet<u64> = hello.held.iter().map(|g| g.grant).collect();
        self.outboxes.insert(session, out);
        let superseded = self.requests.open(session, &entry, &held);
        for ticket in superseded.unused {
            self.end_dispatch(now, ticket, Outcome::NotRun);
        }
        for ticket in superseded.waiting {
            self.cancel_waiting(now, ticket);
        }
        for grant in hello.held.iter().take(MAX_REPORTED_GRANTS) {
            self.adopt_grant(now, &entry, grant);
        }
        let welcome = wire::Welcome {
            token: self.token().0,
            ttl_ms: self.local.settings.grants.ttl_ms,
        };
        self.send(session, OwnerBody::Welcome(welcome));
    }

    /// Closes a stream and cancels the requests that wait on it.
    pub(super) fn close_session(&mut self, now: Moment, session: SessionId) {
        self.outboxes.remove(&session);
        for ticket in self.requests.close(session) {
            self.cancel_waiting(now, ticket);
        }
    }

    /// Processes a message of an entry; ignores it if a newer stream of the entry has
    /// replaced this one.
    pub(super) fn handle_message(&mut self, now: Moment, session: SessionId, body: EntryBody) {
        let Some(entry) = self.requests.entry_of(session).map(str::to_owned) else {
            return;
        };
        match body {
            // A hello has a meaning only as the first message of a stream.
            EntryBody::Hello(_) | EntryBody::Revoked(_) => {}
            EntryBody::Acquire(acquire) => self.acquire(now, session, &entry, acquire),
            EntryBody::Abandon(abandon) => {
                if let Some(ticket) = self.requests.waiting(&entry, abandon.request) {
                    self.cancel_waiting(now, ticket);
                }
            }
            EntryBody::Release(release) => self.release(now, &entry, &release),
            EntryBody::Renew(renew) => self.renew(now, session, &entry, &renew),
        }
    }

    // Adopts a grant that an entry reports in its hello. Ignores a malformed grant
    // and one with a higher token than this owner's.
    fn adopt_grant(&mut self, now: Moment, entry: &str, grant: &wire::Grant) {
        let expires = now.after(self.grant_ttl());
        let Ok(replica) = ReplicaName::new(&grant.replica) else {
            return;
        };
        let Ok(team) = TeamName::new(&grant.team) else {
            return;
        };
        if grant.token > self.token().0 || !self.requests.adopt(entry, grant, expires) {
            return;
        }
        let inherited = InheritedDispatch {
            ticket: Ticket(grant.grant),
            replica,
            incarnation: Incarnation(grant.incarnation),
            adapter: adapter_of(&grant.adapter, grant.version),
            team,
            class: class_of(grant.class),
            max_tokens: grant.max_tokens,
            fingerprint: Fingerprint(grant.fingerprint),
        };
        match self.replicas.contains_key(&inherited.replica) {
            true => self.pool.adopt(now, inherited),
            false => self.unlisted_dispatches.push(inherited),
        }
    }

    /// Passes inherited dispatches to the pool once the catalog lists their replicas.
    pub(super) fn adopt_unlisted(&mut self, now: Moment) {
        for dispatch in std::mem::take(&mut self.unlisted_dispatches) {
            if self.requests.get(dispatch.ticket).is_none() {
                continue;
            }
            match self.replicas.contains_key(&dispatch.replica) {
                true => self.pool.adopt(now, dispatch),
                false => self.unlisted_dispatches.push(dispatch),
            }
        }
    }

    // Passes a request to the pool, or refuses it.
    fn acquire(&mut self, now: Moment, session: SessionId, entry: &str, acquire: wire::Acquire) {
        let request = acquire.request;
        let Ok(team) = TeamName::new(&acquire.team) else {
            return self.send_refusal(session, request, Reason::NoReplica.as_str(), "");
        };
        if self.deposed || self.draining {
            return self.send_refusal(session, request, Reason::Draining.as_str(), "");
        }
        // A retry of a request that is neither idempotent nor claimed by key is
        // refused: its first attempt may have run.
        if !acquire.idempotent && acquire.claim.is_empty() && acquire.attempt > 0 {
            return self.send_refusal(session, request, Reason::RetryBudget.as_str(), "");
        }
        if let Some(ticket) = self.requests.waiting(entry, request) {
            self.cancel_waiting(now, ticket);
        }
        let claim = match self.claim(now, entry, &acquire) {
            Ok(claim) => claim,
            Err((reason, state)) => return self.send_refusal(session, request, reason, state),
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

    // Claims the key in memory; the claim becomes durable before the grant is sent.
    fn claim(
        &mut self,
        now: Moment,
        entry: &str,
        acquire: &wire::Acquire,
    ) -> Result<Option<ClaimKey>, (&'static str, &'static str)> {
        if acquire.claim.is_empty() {
            return Ok(None);
        }
        // Until the journal is read, it is unknown whether the key was used before.
        if !self.journal.is_ready() {
            return Err(("platform_down", ""));
        }
        let key = ClaimKey::new(&acquire.claim);
        let claimant = Claimant {
            entry: entry.to_owned(),
            request: acquire.request,
        };
        match self.journal.claim(now, &key, &claimant) {
            ClaimResult::Claimed => Ok(Some(key)),
            ClaimResult::Duplicate(state) => Err(("claim", state.as_str())),
            ClaimResult::Full => Err((Reason::QueueFull.as_str(), "")),
        }
    }

    // Ends a grant that its entry has released.
    fn release(&mut self, now: Moment, entry: &str, release: &wire::Release) {
        let ticket = Ticket(release.grant);
        let Some(tracked) = self.requests.get(ticket).filter(|r| r.entry == entry) else {
            return;
        };
        let outcome = outcome_of(release.outcome);
        // Only the entry knows the key of an adopted grant.
        let reported = Some(&release.claim).filter(|c| !c.is_empty());
        let claim = tracked.claim.clone();
        let claim = claim.or_else(|| reported.map(|c| ClaimKey::new(c)));
        if let Some(key) = claim {
            self.settle_claim(now, &key, outcome, &release.claim_outcome);
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

    // Records the final state of a claim, as reported by the entry or, if `reported`
    // is empty, as the outcome of the dispatch implies.
    fn settle_claim(&mut self, now: Moment, key: &ClaimKey, outcome: Outcome, reported: &str) {
        match (reported, outcome) {
            ("answered", _) | ("", Outcome::Answered) => {
                self.journal.set_outcome(now, key, State::Answered);
            }
            ("", Outcome::NotRun) => self.journal.free(now, key),
            // The entry may still complete the call by resuming the stream.
            ("", Outcome::BrokenEarly | Outcome::BrokenLate) => self.journal.mark_started(key),
            _ => self.journal.set_outcome(now, key, State::Unknown),
        }
    }

    // Renews the grants that an entry lists, if granting is still allowed, and
    // answers which were renewed and which are unknown.
    fn renew(&mut self, now: Moment, session: SessionId, entry: &str, renew: &wire::Renew) {
        let expires = now.after(self.grant_ttl());
        let mut renewed = wire::Renewed::default();
        for number in &renew.grants {
            let replica = self
                .requests
                .get(Ticket(*number))
                .and_then(|r| r.grant.as_ref())
                .and_then(|g| ReplicaName::new(&g.replica).ok());
            let Some(replica) = replica else {
                renewed.unknown.push(*number);
                continue;
            };
            if self.deposed || !self.safety.may_grant(now, &replica, &self.external) {
                // Neither renewed nor unknown: the entry asks again.
                continue;
            }
            match self.requests.renew(entry, *number, expires) {
                true => renewed.grants.push(*number),
                false => renewed.unknown.push(*number),
            }
        }
        self.send(session, OwnerBody::Renewed(renewed));
    }

    // Removes a waiting request that its entry no longer wants.
    fn cancel_waiting(&mut self, now: Moment, ticket: Ticket) {
        self.pool.abandon(now, ticket);
        if let Some(key) = self.requests.remove(ticket).and_then(|r| r.claim) {
            self.cancel_commit(now, ticket, &key);
            self.journal.free(now, &key);
        }
    }

    // Drops a grant that waits for its commit.
    fn cancel_commit(&mut self, now: Moment, ticket: Ticket, key: &ClaimKey) {
        if self
            .awaiting_commit
            .get(key)
            .is_some_and(|(t, _)| *t == ticket)
        {
            self.awaiting_commit.remove(key);
            self.pool.finish(now, not_run(ticket));
        }
    }

    /// Ends grants that have expired and are therefore no longer in use.
    pub(super) fn expire_grants(&mut self, now: Moment) {
        let margin = Span::from_millis(self.local.settings.grants.margin_ms);
        for ticket in self.requests.expired(now, margin) {
            self.end_dispatch(now, ticket, Outcome::Cancelled);
        }
    }

    /// Ends a dispatch that its entry did not release.
    pub(super) fn end_dispatch(&mut self, now: Moment, ticket: Ticket, outcome: Outcome) {
        if let Some(key) = self.requests.remove(ticket).and_then(|r| r.claim) {
            self.settle_claim(now, &key, outcome, "");
        }
        let end = DispatchEnd {
            outcome,
            ..not_run(ticket)
        };
        self.pool.finish(now, end);
    }

    /// Refuses a request that the pool granted but whose grant was not sent.
    pub(super) fn refuse_granted(&mut self, now: Moment, ticket: Ticket, reason: &str) {
        self.pool.finish(now, not_run(ticket));
        self.refuse(now, ticket, reason, DEFAULT_RETRY_AFTER);
    }

    /// Refuses a request and frees its key.
    pub(super) fn refuse(&mut self, now: Moment, ticket: Ticket, reason: &str, retry_after: Span) {
        let Some(tracked) = self.requests.remove(ticket) else {
            return;
        };
        if let Some(key) = &tracked.claim {
            self.journal.free(now, key);
        }
        metrics::counter!("refused_total", "reason" => reason.to_owned()).increment(1);
        if let Some(session) = self.requests.session_of(&tracked.entry) {
            let refusal = wire::Refusal {
                request: tracked.request,
                reason: reason.to_owned(),
                retry_after_ms: retry_after.as_millis(),
                claim_state: String::new(),
            };
            self.send(session, OwnerBody::Refused(refusal));
        }
    }

    fn send_refusal(&mut self, session: SessionId, request: u64, reason: &str, state: &str) {
        let refusal = wire::Refusal {
            request,
            reason: reason.to_owned(),
            retry_after_ms: DEFAULT_RETRY_AFTER.as_millis(),
            claim_state: state.to_owned(),
        };
        self.send(session, OwnerBody::Refused(refusal));
    }

    /// Sends a message to an entry. If its channel is full or closed, drops the
    /// channel and returns false; an entry that reconnects reports its grants again.
    pub(super) fn send(&mut self, session: SessionId, body: OwnerBody) -> bool {
        let Some(out) = self.outboxes.get(&session) else {
            return false;
        };
        if out.try_send(Ok(message(body))).is_ok() {
            return true;
        }
        self.outboxes.remove(&session);
        false
    }

    pub(super) fn grant_ttl(&self) -> Span {
        Span::from_millis(self.local.settings.grants.ttl_ms)
    }
}

/// Wraps the body of a message to an entry.
pub(super) fn message(body: OwnerBody) -> wire::OwnerMessage {
    wire::OwnerMessage { body: Some(body) }
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
