//! What one session with a pool's owner knows: requests that wait for a
//! grant, grants in use, and which of them are confirmed until when.
//!
//! Plain state with time as an argument; [`super::session`] does the input
//! and output.

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

/// Renewals that may be unanswered before the owner counts as gone: at one a
/// second, shorter than any useful lifetime of a grant.
const MOST_UNANSWERED: usize = 4;

/// What a request gets from the owner.
pub enum Reply {
    /// Leave to dispatch.
    Granted(Box<HeldGrant>),
    /// It may not run.
    Refused(wire::Refusal),
}

/// A request that waits for a grant.
pub struct PendingAcquire {
    /// What it asks for; its deadline is set at each sending.
    pub acquire: wire::Acquire,
    /// When its caller gives up, in microseconds.
    pub deadline: u64,
    /// When it was last sent to the owner, in microseconds.
    pub sent: u64,
    /// Where the reply goes.
    pub reply: oneshot::Sender<Reply>,
}

/// What requests tell their session.
pub enum Command {
    /// Ask for a grant.
    Acquire(Box<PendingAcquire>),
    /// The request with this number no longer waits.
    Abandon(u64),
    /// A dispatch ended.
    Release(wire::Release),
}

struct GrantEntry {
    grant: wire::Grant,
    lease: Arc<Lease>,
    /// Not handed out until the owner confirms it.
    parked: Option<PendingAcquire>,
}

struct Ended {
    grant: wire::Grant,
    release: wire::Release,
    /// Renewals sent before the release: the answer to a later one shows that
    /// the owner has read it.
    mark: u64,
}

/// What the session does next.
#[derive(Debug, PartialEq)]
pub enum SessionAction {
    /// Nothing.
    Continue,
    /// Send these.
    Send(Vec<ToOwner>),
    /// Leave this owner; the address is where it says the owner is.
    Disconnect(Option<SocketAddr>),
}

/// The state of one session.
pub struct SessionState {
    pool: String,
    entry: String,
    incarnation: u64,
    commands: mpsc::Sender<Command>,
    waiting: BTreeMap<u64, PendingAcquire>,
    held: BTreeMap<u64, GrantEntry>,
    /// Dispatches that ended, until the owner is known to have heard of it. A
    /// grant that a hello leaves out counts as never used, which must not
    /// happen to one whose release was lost.
    ended: VecDeque<Ended>,
    /// When each unanswered renewal was sent.
    renewals: VecDeque<u64>,
    /// Renewals answered on this stream.
    answered: u64,
    /// When the latest renewal was sent that the owner has answered: whatever
    /// comes after the answer was sent by the owner after this moment.
    confirmed: u64,
    ttl: u64,
    /// The fencing token that the owner told; the highest until it has.
    token: u64,
    connected: bool,
}

impl SessionState {
    /// Nothing waits and nothing is held.
    pub fn new(pool: &str, entry: &str, incarnation: u64, commands: mpsc::Sender<Command>) -> Self {
        Self {
            pool: pool.to_owned(),
            entry: entry.to_owned(),
            incarnation,
            commands,
            waiting: BTreeMap::new(),
            held: BTreeMap::new(),
            ended: VecDeque::new(),
            renewals: VecDeque::new(),
            answered: 0,
            confirmed: 0,
            ttl: 0,
            token: u64::MAX,
            connected: false,
        }
    }

    /// Whether there is any reason to be connected.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.held.is_empty() && self.ended.is_empty()
    }

    /// The fencing token of the owner, by which a later one is known.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// The first messages to a new owner: what is held, what ended, a renewal
    /// of what is held, and what still waits. Asking again is safe, as nothing
    /// that waits was dispatched.
    pub fn connect(&mut self, now: u64) -> Vec<ToOwner> {
        self.renewals.clear();
        self.answered = 0;
        self.confirmed = 0;
        self.token = u64::MAX;
        self.connected = true;
        let held = self.held.values().map(|h| &h.grant);
        let ended = self.ended.iter().map(|e| &e.grant);
        let mut out = vec![ToOwner::Hello(wire::Hello {
            pool: self.pool.clone(),
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            held: held.chain(ended).cloned().collect(),
        })];
        for e in &mut self.ended {
            e.mark = 0;
            out.push(ToOwner::Release(e.release.clone()));
        }
        self.waiting
            .retain(|_, w| w.deadline > now && !w.reply.is_closed());
        out.extend(self.renew(now));
        out.extend(
            self.waiting
                .values_mut()
                .map(|w| ToOwner::Acquire(ask(w, now))),
        );
        out
    }

    /// The connection to the owner is gone.
    pub fn disconnected(&mut self) {
        self.connected = false;
    }

    /// Takes a command; gives what the owner must be told of it.
    pub fn handle_command(&mut self, command: Command, now: u64) -> Option<ToOwner> {
        let message = match command {
            Command::Acquire(mut w) => {
                let acquire = ask(&mut w, now);
                self.waiting.insert(acquire.request, *w);
                ToOwner::Acquire(acquire)
            }
            Command::Abandon(request) => {
                self.waiting.remove(&request)?;
                ToOwner::Abandon(wire::Abandon { request })
            }
            Command::Release(release) => {
                let held = self.held.remove(&release.grant)?;
                self.ended.push_back(Ended {
                    grant: held.grant,
                    release: release.clone(),
                    mark: self.answered + self.renewals.len() as u64,
                });
                ToOwner::Release(release)
            }
        };
        self.connected.then_some(message)
    }

    /// Takes a message of the owner.
    pub fn handle_message(&mut self, message: FromOwner, now: u64) -> SessionAction {
        match message {
            FromOwner::Welcome(w) => {
                self.ttl = w.ttl_ms * 1_000;
                self.token = w.token;
                SessionAction::Continue
            }
            FromOwner::Granted(grant) => self.granted(grant, now),
            FromOwner::Refused(refusal) => {
                if let Some(w) = self.waiting.remove(&refusal.request) {
                    // A caller that has gone away needs no reply.
                    w.reply.send(Reply::Refused(refusal)).ok();
                }
                SessionAction::Continue
            }
            FromOwner::Renewed(r) => self.renewed(&r, now),
            FromOwner::NotOwner(n) => SessionAction::Disconnect(n.address.parse().ok()),
        }
    }

    /// Renews what is held, each second; leaves an owner that has gone silent.
    pub fn tick(&mut self, now: u64) -> SessionAction {
        if self.renewals.len() >= MOST_UNANSWERED {
            return SessionAction::Disconnect(None);
        }
        let mut out = self.ask_again(now);
        out.extend(self.renew(now));
        match out.is_empty() {
            true => SessionAction::Continue,
            false => SessionAction::Send(out),
        }
    }

    /// Grants that lapsed before they were handed out are given back, and
    /// asked for again.
    fn ask_again(&mut self, now: u64) -> Vec<ToOwner> {
        let late = |h: &GrantEntry| h.parked.is_some() && h.lease.has_expired(now);
        let late: Vec<u64> = self
            .held
            .iter()
            .filter(|(_, h)| late(h))
            .map(|(id, _)| *id)
            .collect();
        let mut out = Vec::new();
        for id in late {
            let release = self.held.get(&id).map(|h| not_run(&h.grant));
            out.extend(release.map(ToOwner::Release));
            out.extend(self.disowned(id, now));
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

    fn granted(&mut self, grant: wire::Grant, now: u64) -> SessionAction {
        if self.held.contains_key(&grant.grant) {
            return SessionAction::Continue;
        }
        let Some(w) = self.waiting.remove(&grant.request) else {
            return SessionAction::Send(vec![ToOwner::Release(not_run(&grant))]);
        };
        let ttl = grant.ttl_ms * 1_000;
        let until = w.sent.max(self.confirmed) + ttl;
        let lease = Arc::new(Lease::new(until));
        let id = grant.grant;
        let mut held = GrantEntry {
            grant,
            lease,
            parked: Some(w),
        };
        // Of a grant that waited long, only its renewal tells how much is left.
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

    fn renewed(&mut self, r: &wire::Renewed, now: u64) -> SessionAction {
        let Some(sent) = self.renewals.pop_front() else {
            return SessionAction::Continue;
        };
        self.confirmed = self.confirmed.max(sent);
        self.answered += 1;
        while self.ended.front().is_some_and(|e| e.mark < self.answered) {
            self.ended.pop_front();
        }
        for id in &r.grants {
            let Some(mut held) = self.held.remove(id) else {
                continue;
            };
            let ttl = match self.ttl {
                0 => held.grant.ttl_ms * 1_000,
                ttl => ttl,
            };
            held.lease.extend(sent + ttl);
            self.hand_out(&mut held);
            self.held.insert(*id, held);
        }
        let unknown = r.unknown.iter();
        let again: Vec<_> = unknown.filter_map(|id| self.disowned(*id, now)).collect();
        match again.is_empty() {
            true => SessionAction::Continue,
            false => SessionAction::Send(again),
        }
    }

    /// The owner will not prolong a grant: what runs on it ends visibly, what
    /// was never dispatched is asked for again.
    fn disowned(&mut self, id: u64, now: u64) -> Option<ToOwner> {
        let held = self.held.get_mut(&id)?;
        held.lease.revoke();
        let mut w = held.parked.take()?;
        self.held.remove(&id);
        let acquire = ask(&mut w, now);
        self.waiting.insert(acquire.request, w);
        Some(ToOwner::Acquire(acquire))
    }

    fn hand_out(&self, held: &mut GrantEntry) {
        let Some(w) = held.parked.take() else { return };
        let mut hold = HeldGrant::new(
            held.grant.clone(),
            held.lease.clone(),
            self.commands.clone(),
        );
        hold.claim.clone_from(&w.acquire.claim);
        // If the caller has gone, the hold comes back and releases itself.
        w.reply.send(Reply::Granted(Box::new(hold))).ok();
    }
}

fn ask(w: &mut PendingAcquire, now: u64) -> wire::Acquire {
    w.sent = now;
    w.acquire.deadline_ms = w.deadline.saturating_sub(now) / 1_000;
    w.acquire.clone()
}

fn not_run(grant: &wire::Grant) -> wire::Release {
    wire::Release {
        request: grant.request,
        grant: grant.grant,
        outcome: super::held_grant::outcome_number(crate::pool::Outcome::NotRun),
        ..Default::default()
    }
}
