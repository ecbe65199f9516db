//! State of the session with a pool's owner: requests that wait for a grant,
//! grants in use, and until when the owner has confirmed each grant.
//!
//! This module does no I/O and takes the time as an argument;
//! [`super::session`] drives it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use banyangauge_proto as wire;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use wire::entry_message::Body as ToOwner;
use wire::owner_message::Body as FromOwner;

use super::held_grant::HeldGrant;
use super::held_grant::Lease;

/// Unanswered renewals after which the owner counts as unreachable: at one per
/// second, this is shorter than any useful lifetime of a grant.
const MAX_UNANSWERED_RENEWALS: usize = 4;

/// The owner's reply to a request for a grant.
pub enum Reply {
    /// The request may be dispatched.
    Granted(Box<HeldGrant>),
    /// The request must not be dispatched.
    Refused(wire::Refusal),
}

/// A request that waits for a grant.
pub struct PendingAcquire {
    /// The message to the owner; its deadline is updated each time it is sent.
    pub acquire: wire::Acquire,
    /// Deadline of the request, in microseconds of the entry's clock.
    pub deadline_us: u64,
    /// Time at which `acquire` was last sent, in microseconds.
    pub sent_us: u64,
    /// Receives the owner's reply.
    pub reply: oneshot::Sender<Reply>,
}

/// Commands of requests to their session.
pub enum Command {
    /// Request a grant.
    Acquire(Box<PendingAcquire>),
    /// Cancel the pending acquire of the request with this number.
    Abandon(u64),
    /// Release a grant.
    Release(wire::Release),
}

struct GrantEntry {
    grant: wire::Grant,
    lease: Arc<Lease>,
    /// The request that waits for this grant; `None` once the grant was handed out.
    /// Handing out may wait for a renewal.
    undelivered: Option<PendingAcquire>,
}

/// A released grant.
struct Released {
    grant: wire::Grant,
    release: wire::Release,
    /// Number of renewals sent before the release. The answer to a later renewal
    /// shows that the owner has read the release.
    renewals_before: u64,
}

/// Action that the session takes next.
#[derive(Debug, PartialEq)]
pub enum SessionAction {
    /// Keep the connection and send nothing.
    Continue,
    /// Send these messages.
    Send(Vec<ToOwner>),
    /// Disconnect; the address is that of the owner, if the peer named it.
    Disconnect(Option<SocketAddr>),
}

/// State of the session with one pool's owner.
pub struct SessionState {
    pool: String,
    entry: String,
    incarnation: u64,
    commands: mpsc::Sender<Command>,
    waiting: BTreeMap<u64, PendingAcquire>,
    held: BTreeMap<u64, GrantEntry>,
    /// Released grants whose release the owner may not have read yet. The owner
    /// treats a grant that is missing from a hello as never used, which would be
    /// wrong for one whose release was lost.
    released: VecDeque<Released>,
    /// Times at which the unanswered renewals were sent.
    renewals: VecDeque<u64>,
    /// Number of renewals answered on this stream.
    answered_renewals: u64,
    /// Time at which the latest answered renewal was sent. The owner sent every
    /// message that follows the answer after this time.
    confirmed_us: u64,
    ttl_us: u64,
    /// The owner's fencing token; `u64::MAX` until the owner's welcome.
    token: u64,
    connected: bool,
}

impl SessionState {
    /// Returns the state of a session without requests and grants.
    pub fn new(pool: &str, entry: &str, incarnation: u64, commands: mpsc::Sender<Command>) -> Self {
        Self {
            pool: pool.to_owned(),
            entry: entry.to_owned(),
            incarnation,
            commands,
            waiting: BTreeMap::new(),
            held: BTreeMap::new(),
            released: VecDeque::new(),
            renewals: VecDeque::new(),
            answered_renewals: 0,
            confirmed_us: 0,
            ttl_us: 0,
            token: u64::MAX,
            connected: false,
        }
    }

    /// Returns whether no connection to the owner is needed.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.held.is_empty() && self.released.is_empty()
    }

    /// Returns the fencing token of the connected owner.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Returns the first messages to a new owner: a hello with all grants, the
    /// releases that may be unread, a renewal and the pending acquires. Sending
    /// an acquire again is safe, as its request was not dispatched.
    pub fn connect(&mut self, now: u64) -> Vec<ToOwner> {
        self.renewals.clear();
        self.answered_renewals = 0;
        self.confirmed_us = 0;
        self.token = u64::MAX;
        self.connected = true;
        let held = self.held.values().map(|h| &h.grant);
        let released = self.released.iter().map(|e| &e.grant);
        let mut out = vec![ToOwner::Hello(wire::Hello {
            pool: self.pool.clone(),
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            held: held.chain(released).cloned().collect(),
        })];
        for e in &mut self.released {
            e.renewals_before = 0;
            out.push(ToOwner::Release(e.release.clone()));
        }
        self.waiting
            .retain(|_, w| w.deadline_us > now && !w.reply.is_closed());
        out.extend(self.renew(now));
        out.extend(
            self.waiting
                .values_mut()
                .map(|w| ToOwner::Acquire(acquire_message(w, now))),
        );
        out
    }

    /// Records that the connection to the owner was lost.
    pub fn disconnected(&mut self) {
        self.connected = false;
    }

    /// Handles a command and returns the message to send to the owner, if any.
    pub fn handle_command(&mut self, command: Command, now: u64) -> Option<ToOwner> {
        let message = match command {
            Command::Acquire(mut w) => {
                let acquire = acquire_message(&mut w, now);
                self.waiting.insert(acquire.request, *w);
                ToOwner::Acquire(acquire)
            }
            Command::Abandon(request) => {
                self.waiting.remove(&request)?;
                ToOwner::Abandon(wire::Abandon { request })
            }
            Command::Release(release) => {
                let held = self.held.remove(&release.grant)?;
                self.released.push_back(Released {
                    grant: held.grant,
                    release: release.clone(),
                    renewals_before: self.answered_renewals + self.renewals.len() as u64,
                });
                ToOwner::Release(release)
            }
        };
        self.connected.then_some(message)
    }

    /// Handles a message from the owner.
    pub fn handle_message(&mut self, message: FromOwner, now: u64) -> SessionAction {
        match message {
            FromOwner::Welcome(w) => {
                self.ttl_us = w.ttl_ms * 1_000;
                self.token = w.token;
                SessionAction::Continue
            }
            FromOwner::Granted(grant) => self.handle_grant(grant, now),
            FromOwner::Refused(refusal) => {
                if let Some(w) = self.waiting.remove(&refusal.request) {
                    // The caller may have disconnected.
                    w.reply.send(Reply::Refused(refusal)).ok();
                }
                SessionAction::Continue
            }
            FromOwner::Renewed(r) => self.handle_renewal(&r, now),
            FromOwner::NotOwner(n) => SessionAction::Disconnect(n.address.parse().ok()),
        }
    }

    /// Renews the grants; called each second. Disconnects from an owner that has
    /// stopped answering renewals.
    pub fn tick(&mut self, now: u64) -> SessionAction {
        if self.renewals.len() >= MAX_UNANSWERED_RENEWALS {
            return SessionAction::Disconnect(None);
        }
        let mut out = self.reacquire_expired(now);
        out.extend(self.renew(now));
        match out.is_empty() {
            true => SessionAction::Continue,
            false => SessionAction::Send(out),
        }
    }

    /// Releases the grants that expired before they were handed out, and requests
    /// them again.
    fn reacquire_expired(&mut self, now: u64) -> Vec<ToOwner> {
        let expired = |h: &GrantEntry| h.undelivered.is_some() && h.lease.has_expired(now);
        let expired_ids: Vec<u64> = self
            .held
            .iter()
            .filter(|(_, h)| expired(h))
            .map(|(id, _)| *id)
            .collect();
        let mut out = Vec::new();
        for id in expired_ids {
            let release = self.held.get(&id).map(|h| unused_release(&h.grant));
            out.extend(release.map(ToOwner::Release));
            out.extend(self.drop_grant(id, now));
        }
        out
    }

    fn renew(&mut self, now: u64) -> Option<ToOwner> {
        if self.is_idle() {
            return None;
        }
        self.renewals.push_back(now);
        let live = self.held.iter().filter(|(_, h)| !h.lease.has_expired(now));
        Some(ToOwner::Renew(wire::Renew {
            grants: live.map(|(id, _)| *id).collect(),
        }))
    }

    fn handle_grant(&mut self, grant: wire::Grant, now: u64) -> SessionAction {
        if self.held.contains_key(&grant.grant) {
            return SessionAction::Continue;
        }
        let Some(w) = self.waiting.remove(&grant.request) else {
            return SessionAction::Send(vec![ToOwner::Release(unused_release(&grant))]);
        };
        let ttl = grant.ttl_ms * 1_000;
        let until = w.sent_us.max(self.confirmed_us) + ttl;
        let lease = Arc::new(Lease::new(until));
        let id = grant.grant;
        let mut held = GrantEntry {
            grant,
            lease,
            undelivered: Some(w),
        };
        // `sent_us` may be long before the grant was made, so `until` may be far too
        // early. A renewal gives an exact bound.
        let fresh = until.saturating_sub(now) >= ttl / 2;
        if fresh {
            self.hand_out(&mut held);
        }
        self.held.insert(id, held);
        if fresh {
            return SessionAction::Continue;
        }
        self.renewals.push_back(now);
        SessionAction::Send(vec![ToOwner::Renew(wire::Renew { grants: vec![id] })])
    }

    fn handle_renewal(&mut self, r: &wire::Renewed, now: u64) -> SessionAction {
        let Some(sent) = self.renewals.pop_front() else {
            return SessionAction::Continue;
        };
        self.confirmed_us = self.confirmed_us.max(sent);
        self.answered_renewals += 1;
        while self
            .released
            .front()
            .is_some_and(|e| e.renewals_before < self.answered_renewals)
        {
            self.released.pop_front();
        }
        for id in &r.grants {
            let Some(mut held) = self.held.remove(id) else {
                continue;
            };
            let ttl = match self.ttl_us {
                0 => held.grant.ttl_ms * 1_000,
                ttl => ttl,
            };
            held.lease.extend(sent + ttl);
            self.hand_out(&mut held);
            self.held.insert(*id, held);
        }
        let unknown = r.unknown.iter();
        let acquires: Vec<_> = unknown.filter_map(|id| self.drop_grant(*id, now)).collect();
        match acquires.is_empty() {
            true => SessionAction::Continue,
            false => SessionAction::Send(acquires),
        }
    }

    /// Handles a grant that the owner does not renew: a dispatch under it is
    /// ended, a request that was not dispatched asks for a new grant.
    fn drop_grant(&mut self, id: u64, now: u64) -> Option<ToOwner> {
        let held = self.held.get_mut(&id)?;
        held.lease.revoke();
        let mut w = held.undelivered.take()?;
        self.held.remove(&id);
        let acquire = acquire_message(&mut w, now);
        self.waiting.insert(acquire.request, w);
        Some(ToOwner::Acquire(acquire))
    }

    fn hand_out(&self, held: &mut GrantEntry) {
        let Some(w) = held.undelivered.take() else {
            return;
        };
        let mut held_grant = HeldGrant::new(
            held.grant.clone(),
            held.lease.clone(),
            self.commands.clone(),
        );
        held_grant.claim.clone_from(&w.acquire.claim);
        // If the caller has disconnected, the grant is dropped and thereby released.
        w.reply.send(Reply::Granted(Box::new(held_grant))).ok();
    }
}

fn acquire_message(w: &mut PendingAcquire, now: u64) -> wire::Acquire {
    w.sent_us = now;
    w.acquire.deadline_ms = w.deadline_us.saturating_sub(now) / 1_000;
    w.acquire.clone()
}

fn unused_release(grant: &wire::Grant) -> wire::Release {
    wire::Release {
        request: grant.request,
        grant: grant.grant,
        outcome: super::held_grant::outcome_number(crate::pool::Outcome::NotRun),
        ..Default::default()
    }
}
