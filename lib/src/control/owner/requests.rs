//! Who asked for what, and which grants are out; plain state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use banyangauge_proto as wire;

use crate::claims::ClaimKey;
use crate::ids::Token;
use crate::pool::Moment;
use crate::pool::Span;
use crate::pool::Ticket;

/// Bits of a ticket below the owner's token: tickets, which are also the
/// numbers of grants, never meet those of an earlier owner. 2^36 requests at
/// 33,000 a second last 24 days; 2^28 changes of owner last longer.
const TICKET_BITS: u32 = 36;

/// One stream from an entry.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SessionId(pub u64);

/// One request that waits or is granted.
#[derive(Clone, Debug)]
pub struct TrackedRequest {
    /// The entry process, as `name/incarnation`.
    pub entry: String,
    /// The entry's number for it.
    pub request: u64,
    /// What it asked; the grant repeats parts of it.
    pub acquire: wire::Acquire,
    /// The key that it claims.
    pub claim: Option<ClaimKey>,
    /// Until when its grant counts as in use; `None` while it waits.
    pub until: Option<Moment>,
    /// The grant as sent or adopted.
    pub grant: Option<wire::Grant>,
}

/// What a new stream ends of its entry's earlier one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Superseded {
    /// Grants that were lost on the way: by its hello the entry will not use
    /// them.
    pub unused: Vec<Ticket>,
    /// Requests that waited; the entry asks again for those it still wants.
    pub waiting: Vec<Ticket>,
}

/// All requests of a pool that its owner knows of.
#[derive(Clone, Debug)]
pub struct RequestTable {
    next: u64,
    sessions: BTreeMap<SessionId, String>,
    current: BTreeMap<String, SessionId>,
    items: BTreeMap<Ticket, TrackedRequest>,
    waiting: BTreeMap<(String, u64), Ticket>,
    synced: BTreeSet<String>,
}

impl RequestTable {
    /// An empty book for an owner with this token.
    pub fn new(token: Token) -> Self {
        Self {
            next: token.0 << TICKET_BITS,
            sessions: BTreeMap::new(),
            current: BTreeMap::new(),
            items: BTreeMap::new(),
            waiting: BTreeMap::new(),
            synced: BTreeSet::new(),
        }
    }

    /// A new stream takes the place of the entry's earlier one, and with it
    /// what the entry holds and waits for.
    pub fn open(&mut self, session: SessionId, entry: &str, held: &BTreeSet<u64>) -> Superseded {
        self.sessions.insert(session, entry.to_owned());
        self.current.insert(entry.to_owned(), session);
        self.synced.insert(entry.to_owned());
        let of_entry = || self.items.iter().filter(|(_, i)| i.entry == entry);
        let unused = of_entry().filter(|(t, i)| i.until.is_some() && !held.contains(&t.0));
        let waiting = of_entry().filter(|(_, i)| i.until.is_none());
        Superseded {
            unused: unused.map(|(t, _)| *t).collect(),
            waiting: waiting.map(|(t, _)| *t).collect(),
        }
    }

    /// A stream ended. Gives the tickets that waited on it.
    pub fn close(&mut self, session: SessionId) -> Vec<Ticket> {
        let Some(entry) = self.sessions.remove(&session) else {
            return Vec::new();
        };
        if self.current.get(&entry) != Some(&session) {
            return Vec::new();
        }
        self.current.remove(&entry);
        let waits = |(_, i): &(&Ticket, &TrackedRequest)| i.entry == entry && i.until.is_none();
        self.items.iter().filter(waits).map(|(t, _)| *t).collect()
    }

    /// The entry that speaks on a stream, unless another stream has replaced
    /// this one.
    pub fn entry_of(&self, session: SessionId) -> Option<&str> {
        let entry = self.sessions.get(&session)?;
        (self.current.get(entry) == Some(&session)).then_some(entry.as_str())
    }

    /// The stream to an entry.
    pub fn session_of(&self, entry: &str) -> Option<SessionId> {
        self.current.get(entry).copied()
    }

    /// Enters a request that waits.
    pub fn enqueue(
        &mut self,
        entry: &str,
        acquire: wire::Acquire,
        claim: Option<ClaimKey>,
    ) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        let key = (entry.to_owned(), acquire.request);
        let item = TrackedRequest {
            entry: entry.to_owned(),
            request: acquire.request,
            acquire,
            claim,
            until: None,
            grant: None,
        };
        self.waiting.insert(key, ticket);
        self.items.insert(ticket, item);
        ticket
    }

    /// Enters a grant that an entry holds from this or an earlier owner.
    /// False when it was known.
    pub fn adopt(&mut self, entry: &str, grant: &wire::Grant, until: Moment) -> bool {
        let ticket = Ticket(grant.grant);
        if let Some(item) = self.items.get_mut(&ticket) {
            item.until = item.until.map(|old| old.max(until));
            return false;
        }
        let item = TrackedRequest {
            entry: entry.to_owned(),
            request: grant.request,
            acquire: wire::Acquire::default(),
            claim: None,
            until: Some(until),
            grant: Some(grant.clone()),
        };
        self.items.insert(ticket, item);
        true
    }

    /// The ticket of a request that waits.
    pub fn waiting(&self, entry: &str, request: u64) -> Option<Ticket> {
        self.waiting.get(&(entry.to_owned(), request)).copied()
    }

    /// A request by its ticket.
    pub fn get(&self, ticket: Ticket) -> Option<&TrackedRequest> {
        self.items.get(&ticket)
    }

    /// A request is granted until then.
    pub fn mark_granted(&mut self, ticket: Ticket, grant: wire::Grant, until: Moment) {
        if let Some(item) = self.items.get_mut(&ticket) {
            self.waiting.remove(&(item.entry.clone(), item.request));
            item.grant = Some(grant);
            item.until = Some(until);
        }
    }

    /// Prolongs a grant of this entry; gives it.
    pub fn renew(&mut self, entry: &str, grant: u64, until: Moment) -> bool {
        match self.items.get_mut(&Ticket(grant)) {
            Some(item) if item.entry == entry && item.until.is_some() => {
                item.until = Some(until);
                true
            }
            _ => false,
        }
    }

    /// Strikes a request out.
    pub fn remove(&mut self, ticket: Ticket) -> Option<TrackedRequest> {
        let item = self.items.remove(&ticket)?;
        let key = (item.entry.clone(), item.request);
        if self.waiting.get(&key) == Some(&ticket) {
            self.waiting.remove(&key);
        }
        Some(item)
    }

    /// Grants whose time, with `margin`, has passed unrenewed.
    pub fn expired(&self, now: Moment, margin: Span) -> Vec<Ticket> {
        self.items
            .iter()
            .filter(|(_, i)| i.until.is_some_and(|u| u.after(margin) <= now))
            .map(|(t, _)| *t)
            .collect()
    }

    /// Entries with a stream or a grant.
    pub fn entries(&self) -> BTreeSet<String> {
        let holders = self.items.values().filter(|i| i.until.is_some());
        let holders = holders.map(|i| i.entry.clone());
        holders.chain(self.current.keys().cloned()).collect()
    }

    /// Entries that have opened a stream since this owner began, and so have
    /// told of all grants that they held.
    pub fn synced(&self) -> &BTreeSet<String> {
        &self.synced
    }
}
