//! The member table, apart from input and output.
//!
//! Each control process counts up its own heartbeat; counts spread by
//! exchanges with a few members at a time. Whoever's count has not risen for a
//! while is suspect, then gone: each process judges by its own clock, no
//! judgement is passed on, so that one process's bad link convinces nobody.

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
    /// Its heartbeat rises.
    Live = 0,
    /// Not heard of for a while.
    Suspect = 1,
    /// It said that it stops.
    Leaving = 2,
    /// Not heard of for long.
    Gone = 3,
}

/// How long a gone member is remembered: several times longer than any other
/// process passes it on, so that a late digest does not bring it back.
const FORGET: Span = Span::from_millis(60_000);

/// Members that one digest carries. Today all fit; with more, each digest
/// carries the ones heard of last, and the rest travel in later ones.
pub const MAX_DIGEST_MEMBERS: usize = 14;

/// How long after its start a process is young: what it tells and is told
/// names everything, after that only what moves.
pub const WARM_UP: Span = Span::from_millis(10_000);

#[derive(Clone, Debug)]
struct Seen {
    member: wire::Member,
    heard: Moment,
    // When this incarnation was first heard of.
    born: Moment,
}

impl Seen {
    fn is_warming_up(&self, now: Moment) -> bool {
        now.since(self.born) < WARM_UP
    }

    // Where a member is does not change within an incarnation, and is most of
    // its bytes.
    fn brief(&self) -> wire::Member {
        wire::Member {
            address: String::new(),
            zone: String::new(),
            ..self.member.clone()
        }
    }
}

/// What one control process knows of the others.
#[derive(Clone, Debug)]
pub struct Members {
    me: VmName,
    suspect: Span,
    gone: Span,
    table: BTreeMap<VmName, Seen>,
}

impl Members {
    /// A table that holds this process alone.
    pub fn new(
        now: Moment,
        me: wire::Member,
        suspect: Span,
        gone: Span,
    ) -> Result<Self, crate::ids::IdError> {
        let name = VmName::new(&me.vm)?;
        let seen = Seen {
            member: me,
            heard: now,
            born: now,
        };
        Ok(Self {
            me: name.clone(),
            suspect,
            gone,
            table: BTreeMap::from([(name, seen)]),
        })
    }

    /// One heartbeat of this process.
    pub fn advance_heartbeat(&mut self, now: Moment, revision: Revision, leaving: bool) {
        if let Some(me) = self.table.get_mut(&self.me) {
            me.heard = now;
            me.member.heartbeat += 1;
            me.member.revision = revision.0;
            if leaving {
                me.member.state = MemberState::Leaving as u32;
            }
        }
    }

    /// Takes in what another process sent. A higher (incarnation, heartbeat)
    /// replaces what is known; what it says of this process is passed over, and
    /// so is a brief word of a process that is not known.
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
        let age = |m: &wire::Member| (m.incarnation, m.heartbeat);
        if known.is_some_and(|s| age(&s.member) >= age(member)) {
            return;
        }
        let same = known.filter(|s| s.member.incarnation == member.incarnation);
        let mut member = member.clone();
        if let Some(s) = same.filter(|_| member.address.is_empty()) {
            member.address.clone_from(&s.member.address);
            member.zone.clone_from(&s.member.zone);
        }
        if member.address.parse::<SocketAddr>().is_err() {
            return;
        }
        if member.state != MemberState::Leaving as u32 {
            member.state = MemberState::Live as u32;
        }
        let born = same.map_or(now, |s| s.born);
        let heard = now;
        self.table.insert(
            vm,
            Seen {
                member,
                heard,
                born,
            },
        );
    }

    /// Whether a process started lately, or is not known.
    pub fn is_warming_up(&self, now: Moment, vm: &str) -> bool {
        self.table.get(vm).is_none_or(|s| s.is_warming_up(now))
    }

    /// Judges by silence.
    pub fn detect_failures(&mut self, now: Moment) {
        let (me, suspect, gone) = (&self.me, self.suspect, self.gone);
        self.table
            .retain(|vm, s| vm == me || now.since(s.heard) < Span(gone.0 + FORGET.0));
        for (vm, seen) in &mut self.table {
            let silent = now.since(seen.heard);
            if vm == me {
                continue;
            }
            if silent >= gone {
                seen.member.state = MemberState::Gone as u32;
            } else if silent >= suspect && seen.member.state == MemberState::Live as u32 {
                seen.member.state = MemberState::Suspect as u32;
            }
        }
    }

    /// All members, this process among them.
    pub fn view(&self) -> BTreeMap<VmName, wire::Member> {
        self.table
            .iter()
            .map(|(vm, s)| (vm.clone(), s.member.clone()))
            .collect()
    }

    /// What a digest carries: this process and those heard of last; in full
    /// for a young reader, in brief for one that has heard of them, and without
    /// those that the reader itself told as much of.
    pub fn digest(&self, now: Moment, full: bool, told: &[wire::Member]) -> Vec<wire::Member> {
        let mine = |s: &Seen| s.member.vm == self.me.as_str();
        let age = |m: &wire::Member| (m.incarnation, m.heartbeat);
        let is_news = |s: &&Seen| {
            let known = told.iter().find(|m| m.vm == s.member.vm);
            known.is_none_or(|m| age(m) < age(&s.member))
        };
        let mut seen: Vec<&Seen> = self
            .table
            .values()
            .filter(|s| s.member.state != MemberState::Gone as u32)
            .filter(is_news)
            .collect();
        seen.sort_by_key(|s| (!mine(s), std::cmp::Reverse(s.heard)));
        seen.truncate(MAX_DIGEST_MEMBERS);
        seen.into_iter()
            .map(|s| match full || mine(s) || s.is_warming_up(now) {
                true => s.member.clone(),
                false => s.brief(),
            })
            .collect()
    }

    /// Where the members that are not gone listen, this process left out.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.table
            .iter()
            .filter(|(vm, s)| **vm != self.me && s.member.state != MemberState::Gone as u32)
            .filter_map(|(_, s)| s.member.address.parse().ok())
            .collect()
    }
}

/// The members that may own pools: live ones, and this one while it stays.
pub fn candidates(members: &BTreeMap<VmName, wire::Member>) -> Vec<VmName> {
    members
        .iter()
        .filter(|(_, m)| m.state == MemberState::Live as u32)
        .map(|(vm, _)| vm.clone())
        .collect()
}
