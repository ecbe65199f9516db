//! Tracks waiting requests, outstanding grants and entry streams; no I/O.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use banyangauge_proto as wire;

use crate::claims::ClaimKey;
use crate::ids::FencingToken;
use crate::pool::Moment;
use crate::pool::Span;
use crate::pool::Ticket;

/// Bits of a ticket below the owner's token. Tickets, which also number the
/// grants, thus differ from those of earlier owners. 2^36 requests at 33,000 a
/// second last 24 days; 2^28 changes of owner last longer.
const TICKET_BITS: u32 = 36;

/// One stream from an entry.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SessionId(pub u64);

/// A request that waits or is granted.
#[derive(Clone, Debug)]
pub struct TrackedRequest {
    /// The entry process, as `name/incarnation`.
    pub entry: String,
    /// The number that the entry gave the request.
    pub request: u64,
    /// The request as received; the grant repeats parts of it.
    pub acquire: wire::Acquire,
    /// The key that the request claims, if any.
    pub claim: Option<ClaimKey>,
    /// When the grant expires; `None` while the request waits.
    pub expires: Option<Moment>,
    /// The grant, once sent or adopted.
    pub grant: Option<wire::Grant>,
}

/// Requests of an entry that end when it opens a new stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Superseded {
    /// Grants that the entry never received: its hello does not list them, so it
    /// will not use them.
    pub unused: Vec<Ticket>,
    /// Waiting requests; the entry sends those it still wants again.
    pub waiting: Vec<Ticket>,
}

/// All requests and grants of a pool that its owner knows of.
#[derive(Clone, Debug)]
pub struct RequestTable {
    next_ticket: u64,
    // The entry of each open stream.
    sessions: BTreeMap<SessionId, String>,
    // The latest stream of each entry.
    current: BTreeMap<String, SessionId>,
    requests: BTreeMap<Ticket, TrackedRequest>,
    // By the entry and the number that it gave the request.
    waiting: BTreeMap<(String, u64), Ticket>,
    // Entries that have opened a stream to this owner.
    synced: BTreeSet<String>,
}

impl RequestTable {
    /// Creates an empty table for an owner with this token.
    pub fn new(token: FencingToken) -> Self {
        Self {
            next_ticket: token.0 << TICKET_BITS,
            sessions: BTreeMap::new(),
            current: BTreeMap::new(),
            requests: BTreeMap::new(),
            waiting: BTreeMap::new(),
            synced: BTreeSet::new(),
        }
    }

    /// Replaces the entry's earlier stream, if any, with a new one on which the
    /// entry reported the grants in `held`. Returns the requests that end.
    pub fn open(&mut self, session: SessionId, entry: &str, held: &BTreeSet<u64>) -> Superseded {
        self.sessions.insert(session, entry.to_owned());
        self.current.insert(entry.to_owned(), session);
        self.synced.insert(entry.to_owned());
        let of_entry = || self.requests.iter().filter(|(_, r)| r.entry == entry);
        let unused = of_entry().filter(|(t, r)| r.expires.is_some() && !held.contains(&t.0));
        let waiting = of_entry().filter(|(_, r)| r.expires.is_none());
        Superseded {
            unused: unused.map(|(t, _)| *t).collect(),
            waiting: waiting.map(|(t, _)| *t).collect(),
        }
    }

    /// Removes a stream that ended. Returns the requests that waited on it.
    pub fn close(&mut self, session: SessionId) -> Vec<Ticket> {
        let Some(entry) = self.sessions.remove(&session) else {
            return Vec::new();
        };
        if self.current.get(&entry) != Some(&session) {
            return Vec::new();
        }
        self.current.remove(&entry);
        let waits = |(_, r): &(&Ticket, &TrackedRequest)| r.entry == entry && r.expires.is_none();
        self.requests
            .iter()
            .filter(waits)
            .map(|(t, _)| *t)
            .collect()
    }

    /// Returns the entry of a stream, unless another stream has replaced it.
    pub fn entry_of(&self, session: SessionId) -> Option<&str> {
        let entry = self.sessions.get(&session)?;
        (self.current.get(entry) == Some(&session)).then_some(entry.as_str())
    }

    /// Returns the current stream of an entry.
    pub fn session_of(&self, entry: &str) -> Option<SessionId> {
        self.current.get(entry).copied()
    }

    /// Adds a waiting request.
    pub fn enqueue(
        &mut self,
        entry: &str,
        acquire: wire::Acquire,
        claim: Option<ClaimKey>,
    ) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let key = (entry.to_owned(), acquire.request);
        let tracked = TrackedRequest {
            entry: entry.to_owned(),
            request: acquire.request,
            acquire,
            claim,
            expires: None,
            grant: None,
        };
        self.waiting.insert(key, ticket);
        self.requests.insert(ticket, tracked);
        ticket
    }

    /// Adds a grant that an entry holds from this or an earlier owner. Returns
    /// false if it was known already.
    pub fn adopt(&mut self, entry: &str, grant: &wire::Grant, expires: Moment) -> bool {
        let ticket = Ticket(grant.grant);
        if let Some(tracked) = self.requests.get_mut(&ticket) {
            tracked.expires = tracked.expires.map(|old| old.max(expires));
            return false;
        }
        let tracked = TrackedRequest {
            entry: entry.to_owned(),
            request: grant.request,
            acquire: wire::Acquire::default(),
            claim: None,
            expires: Some(expires),
            grant: Some(grant.clone()),
        };
        self.requests.insert(ticket, tracked);
        true
    }

    /// Returns the ticket of a waiting request.
    pub fn waiting(&self, entry: &str, request: u64) -> Option<Ticket> {
        self.waiting.get(&(entry.to_owned(), request)).copied()
    }

    /// Returns a request by its ticket.
    pub fn get(&self, ticket: Ticket) -> Option<&TrackedRequest> {
        self.requests.get(&ticket)
    }

    /// Records that a request was granted until the given moment.
    pub fn mark_granted(&mut self, ticket: Ticket, grant: wire::Grant, expires: Moment) {
        if let Some(tracked) = self.requests.get_mut(&ticket) {
            self.waiting
                .remove(&(tracked.entry.clone(), tracked.request));
            tracked.grant = Some(grant);
            tracked.expires = Some(expires);
        }
    }

    /// Extends a grant. Returns false if the entry does not hold it.
    pub fn renew(&mut self, entry: &str, grant: u64, expires: Moment) -> bool {
        match self.requests.get_mut(&Ticket(grant)) {
            Some(tracked) if tracked.entry == entry && tracked.expires.is_some() => {
                tracked.expires = Some(expires);
                true
            }
            _ => false,
        }
    }

    /// Removes a request or grant.
    pub fn remove(&mut self, ticket: Ticket) -> Option<TrackedRequest> {
        let tracked = self.requests.remove(&ticket)?;
        let key = (tracked.entry.clone(), tracked.request);
        if self.waiting.get(&key) == Some(&ticket) {
            self.waiting.remove(&key);
        }
        Some(tracked)
    }

    /// Returns the grants that expired at least `margin` ago.
    pub fn expired(&self, now: Moment, margin: Span) -> Vec<Ticket> {
        self.requests
            .iter()
            .filter(|(_, r)| r.expires.is_some_and(|u| u.after(margin) <= now))
            .map(|(t, _)| *t)
            .collect()
    }

    /// Returns the entries with a stream or a grant.
    pub fn entries(&self) -> BTreeSet<String> {
        let holders = self.requests.values().filter(|r| r.expires.is_some());
        let holders = holders.map(|r| r.entry.clone());
        holders.chain(self.current.keys().cloned()).collect()
    }

    /// Returns the entries that have opened a stream to this owner and thereby
    /// reported all grants that they held.
    pub fn synced(&self) -> &BTreeSet<String> {
        &self.synced
    }
}
