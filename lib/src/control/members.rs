//! The membership table of a gossip protocol, without input and output.
//!
//! Each control process increments its own heartbeat counter; counters spread
//! by exchanges with a few members at a time. A member whose counter has not
//! increased for a while is suspect, then gone. Each process detects failures
//! by its own clock and does not pass on the result, so that one process's
//! faulty link does not affect the others' view.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use banyangauge_proto as wire;

use crate::ids::Revision;
use crate::ids::VmName;
use crate::pool::Moment;
use crate::pool::Span;

/// A member's state on the wire.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// Its heartbeat counter increases.
    Live = 0,
    /// No new heartbeat for `members.suspect_ms`.
    Suspect = 1,
    /// It announced that it is stopping.
    Leaving = 2,
    /// No new heartbeat for `members.gone_ms`.
    Gone = 3,
}

/// How long a gone member stays in the table. Other processes stop sending it
/// much earlier, so that a late digest does not add it again.
const GONE_RETENTION: Span = Span::from_millis(60_000);

/// Maximum members in a digest. Small deployments fit into one digest; in larger
/// ones a digest has the members with the most recent heartbeats, and the others
/// follow in later digests.
pub const MAX_DIGEST_MEMBERS: usize = 14;

/// How long a process counts as new after it was first seen. Digests to a new process
/// are complete, and digests to others repeat the address of a new member and
/// the owner of a pool for this long after a change.
pub const NEW_MEMBER_PERIOD: Span = Span::from_millis(10_000);

#[derive(Clone, Debug)]
struct Record {
    member: wire::Member,
    last_heartbeat: Moment,
    // When this incarnation was first seen.
    first_seen: Moment,
}

impl Record {
    fn is_new(&self, now: Moment) -> bool {
        now.since(self.first_seen) < NEW_MEMBER_PERIOD
    }

    // Without address and zone, which do not change within an incarnation and
    // make up most of the encoded size.
    fn without_location(&self) -> wire::Member {
        wire::Member {
            address: String::new(),
            zone: String::new(),
            ..self.member.clone()
        }
    }
}

/// One control process's view of all members.
#[derive(Clone, Debug)]
pub struct Members {
    me: VmName,
    suspect_after: Span,
    gone_after: Span,
    table: BTreeMap<VmName, Record>,
}

impl Members {
    /// Creates a table that contains only this process.
    ///
    /// # Errors
    ///
    /// If the VM's name is invalid.
    pub fn new(
        now: Moment,
        me: wire::Member,
        suspect_after: Span,
        gone_after: Span,
    ) -> Result<Self, crate::ids::IdError> {
        let name = VmName::new(&me.vm)?;
        let record = Record {
            member: me,
            last_heartbeat: now,
            first_seen: now,
        };
        Ok(Self {
            me: name.clone(),
            suspect_after,
            gone_after,
            table: BTreeMap::from([(name, record)]),
        })
    }

    /// Increments this process's heartbeat and updates its revision and state.
    pub fn advance_heartbeat(&mut self, now: Moment, revision: Revision, leaving: bool) {
        if let Some(me) = self.table.get_mut(&self.me) {
            me.last_heartbeat = now;
            me.member.heartbeat += 1;
            me.member.revision = revision.0;
            if leaving {
                me.member.state = MemberState::Leaving as u32;
            }
        }
    }

    /// Merges the members of a received digest. A higher (incarnation,
    /// heartbeat) replaces a known record. Records of this process are ignored,
    /// and so are records without an address of unknown incarnations.
    pub fn merge(&mut self, now: Moment, members: &[wire::Member]) {
        for member in members {
            match VmName::new(&member.vm) {
                Ok(vm) if vm != self.me => self.merge_one(now, vm, member),
                _ => {}
            }
        }
    }

    fn merge_one(&mut self, now: Moment, vm: VmName, member: &wire::Member) {
        let known = self.table.get(&vm);
        let version = |m: &wire::Member| (m.incarnation, m.heartbeat);
        if known.is_some_and(|r| version(&r.member) >= version(member)) {
            return;
        }
        let same = known.filter(|r| r.member.incarnation == member.incarnation);
        let mut member = member.clone();
        if let Some(r) = same.filter(|_| member.address.is_empty()) {
            member.address.clone_from(&r.member.address);
            member.zone.clone_from(&r.member.zone);
        }
        if member.address.parse::<SocketAddr>().is_err() {
            return;
        }
        if member.state != MemberState::Leaving as u32 {
            member.state = MemberState::Live as u32;
        }
        let first_seen = same.map_or(now, |r| r.first_seen);
        let last_heartbeat = now;
        self.table.insert(
            vm,
            Record {
                member,
                last_heartbeat,
                first_seen,
            },
        );
    }

    /// Whether digests to this VM must be complete: its process was first seen less
    /// than [`NEW_MEMBER_PERIOD`] ago, or is unknown.
    pub fn is_new(&self, now: Moment, vm: &str) -> bool {
        self.table.get(vm).is_none_or(|r| r.is_new(now))
    }

    /// Marks members without recent heartbeats as suspect or gone, and removes
    /// those that have been gone for long.
    pub fn detect_failures(&mut self, now: Moment) {
        let (me, suspect_after, gone_after) = (&self.me, self.suspect_after, self.gone_after);
        self.table.retain(|vm, r| {
            vm == me || now.since(r.last_heartbeat) < Span(gone_after.0 + GONE_RETENTION.0)
        });
        for (vm, record) in &mut self.table {
            let silent = now.since(record.last_heartbeat);
            if vm == me {
                continue;
            }
            if silent >= gone_after {
                record.member.state = MemberState::Gone as u32;
            } else if silent >= suspect_after && record.member.state == MemberState::Live as u32 {
                record.member.state = MemberState::Suspect as u32;
            }
        }
    }

    /// Returns all members, including this process.
    pub fn view(&self) -> BTreeMap<VmName, wire::Member> {
        self.table
            .iter()
            .map(|(vm, r)| (vm.clone(), r.member.clone()))
            .collect()
    }

    /// Returns the members for a digest: this process and those with the most
    /// recent heartbeats, except gone ones and those that the receiver already
    /// has according to `received`. With `full`, for a receiver that is new, every
    /// record has its address and zone; otherwise only those of this process and
    /// of new members.
    pub fn digest(&self, now: Moment, full: bool, received: &[wire::Member]) -> Vec<wire::Member> {
        let is_self = |r: &Record| r.member.vm == self.me.as_str();
        let version = |m: &wire::Member| (m.incarnation, m.heartbeat);
        let is_newer = |r: &&Record| {
            let known = received.iter().find(|m| m.vm == r.member.vm);
            known.is_none_or(|m| version(m) < version(&r.member))
        };
        let mut records: Vec<&Record> = self
            .table
            .values()
            .filter(|r| r.member.state != MemberState::Gone as u32)
            .filter(is_newer)
            .collect();
        records.sort_by_key(|r| (!is_self(r), std::cmp::Reverse(r.last_heartbeat)));
        records.truncate(MAX_DIGEST_MEMBERS);
        records
            .into_iter()
            .map(|r| match full || is_self(r) || r.is_new(now) {
                true => r.member.clone(),
                false => r.without_location(),
            })
            .collect()
    }

    /// Returns the addresses of the other members that are not gone.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.table
            .iter()
            .filter(|(vm, r)| **vm != self.me && r.member.state != MemberState::Gone as u32)
            .filter_map(|(_, r)| r.member.address.parse().ok())
            .collect()
    }
}

/// Returns the members that may own pools: those in state live, including this
/// process unless it is stopping.
pub fn candidates(members: &BTreeMap<VmName, wire::Member>) -> Vec<VmName> {
    members
        .iter()
        .filter(|(_, m)| m.state == MemberState::Live as u32)
        .map(|(vm, _)| vm.clone())
        .collect()
}
