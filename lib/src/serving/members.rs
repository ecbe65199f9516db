//! Which VMs there are, and which of them live.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::ids::Incarnation;
use crate::ids::VmName;
use crate::ids::ZoneName;
use crate::pool::Moment;
use crate::pool::Span;

/// The pause between two beacons of a VM in a small fleet.
const BEAT: Span = Span::from_millis(400);

/// VMs up to which the pause stays so; with more it grows in proportion, so
/// that what a VM spends on beacons does not grow with the fleet: it hears 240
/// a second at most. The age of a VM's picture is what misplaces requests.
/// Measured at 71 VMs on a calm day, with a pause of 1.2 s and of 0.4 s: served
/// in time 0.669 and 0.788 of what was owed, processor 0.012 and 0.022 cores.
const SMALL_FLEET: usize = 96;

/// Beats after which VMs in other zones are told, in a fleet of more than
/// [`NEAR_FLEET`]: bytes between zones are dear, and most requests stay in
/// their zone.
const FAR_BEATS: u64 = 3;

/// VMs up to which all are told with each beat.
const NEAR_FLEET: usize = 24;

/// Beats that are missed until a VM is taken for lost: a lossy link does not
/// make it so, nor a beacon that is lost on its way to another zone.
const MISSED: u64 = 5;
const FAR_MISSED: u64 = 2 * FAR_BEATS + 1;

/// How late a beacon may come on a busy VM.
const NEWS_MARGIN: Span = Span::from_millis(100);

/// How long a VM that was stopped as planned keeps what it owns: it is usually
/// back before others could order in its place.
const STOPPED_KEPT: Span = Span::from_millis(6_000);

/// How long a VM that hears nobody waits until it takes itself for the only
/// one: a VM that is cut off must not take what the others own.
const ALONE_AFTER: Span = Span::from_millis(6_000);

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Moment,
    incarnation: Incarnation,
    number: u64,
    stopping: bool,
}

/// Where a VM is.
#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    /// Its availability zone, if it is known.
    zone: Option<ZoneName>,
}

/// The VMs by their entries in the store and their beacons.
#[derive(Debug)]
pub struct Members {
    own: VmName,
    zone: ZoneName,
    since: Moment,
    peers: BTreeMap<VmName, Peer>,
    heard: BTreeMap<VmName, Heard>,
}

impl Members {
    /// Only this VM, as of now.
    pub fn new(own: VmName, zone: ZoneName, now: Moment) -> Self {
        Self {
            own,
            zone,
            since: now,
            peers: BTreeMap::new(),
            heard: BTreeMap::new(),
        }
    }

    /// A VM's entry in the store.
    pub fn list(&mut self, vm: VmName, address: SocketAddr, zone: ZoneName) {
        let zone = Some(zone);
        if vm != self.own {
            self.peers.insert(vm, Peer { address, zone });
        }
    }

    /// A VM spoke that may not be listed yet.
    pub fn meet(&mut self, vm: VmName, address: SocketAddr) {
        if vm != self.own {
            let new = Peer {
                address,
                zone: None,
            };
            self.peers.entry(vm).or_insert(new).address = address;
        }
    }

    /// A VM's entry was removed.
    pub fn unlist(&mut self, vm: &VmName) {
        self.peers.remove(vm);
    }

    /// A beacon came; gives whether it is newer than the last one, and whether
    /// the VM was not heard of before.
    pub fn hear(
        &mut self,
        now: Moment,
        vm: &VmName,
        stamp: (Incarnation, u64),
        stopping: bool,
    ) -> bool {
        let (incarnation, number) = stamp;
        let old = self.heard.get(vm);
        if old.is_some_and(|h| (h.incarnation, h.number) >= stamp) {
            return false;
        }
        let heard = Heard {
            at: now,
            incarnation,
            number,
            stopping,
        };
        self.heard.insert(vm.clone(), heard);
        true
    }

    /// Where the others are.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.values().map(|p| p.address)
    }

    /// Whom to tell with this beat of a VM, by their names.
    pub fn audience(&self, beat: u64) -> impl Iterator<Item = (&VmName, SocketAddr)> {
        let all = beat.is_multiple_of(self.far_beats());
        let due = move |p: &Peer| all || p.zone.as_ref().is_none_or(|z| *z == self.zone);
        let due = self.peers.iter().filter(move |(_, p)| due(p));
        due.map(|(vm, p)| (vm, p.address))
    }

    fn far_beats(&self) -> u64 {
        match self.count() > NEAR_FLEET {
            true => FAR_BEATS,
            false => 1,
        }
    }

    /// Where a VM is.
    pub fn address(&self, vm: &VmName) -> Option<SocketAddr> {
        self.peers.get(vm).map(|p| p.address)
    }

    /// Whether a VM's beacons come; this VM always lives.
    pub fn lives(&self, now: Moment, vm: &VmName) -> bool {
        if *vm == self.own {
            return true;
        }
        let heard = self.heard.get(vm);
        heard.is_some_and(|h| now.since(h.at) < self.lost_after())
    }

    /// The pause between two beacons of a VM.
    pub fn beat(&self) -> Span {
        Span(BEAT.0 * self.count().div_ceil(SMALL_FLEET) as u64)
    }

    /// Within how long what a VM does is known to the others: a beacon that is
    /// lost is made good by the next one.
    pub fn news(&self) -> Span {
        Span(self.beat().0 * 2.max(self.far_beats()) + NEWS_MARGIN.0)
    }

    /// A VM that was silent for so long is lost.
    pub fn lost_after(&self) -> Span {
        let missed = match self.far_beats() {
            1 => MISSED,
            _ => FAR_MISSED,
        };
        Span(self.beat().0 * missed)
    }

    /// The VMs that keep what they own: those that live, and those that were
    /// stopped as planned a short while ago.
    pub fn live(&self, now: Moment) -> BTreeSet<VmName> {
        let keeps = |h: &Heard| match h.stopping {
            true => now.since(h.at) < STOPPED_KEPT,
            false => now.since(h.at) < self.lost_after(),
        };
        let others = self.heard.iter().filter(|(_, h)| keeps(h));
        let others = others.map(|(vm, _)| vm.clone());
        others.chain([self.own.clone()]).collect()
    }

    /// Whether this VM may judge who is lost: it hears somebody, or has been
    /// alone for so long that it is the only one.
    pub fn may_judge(&self, now: Moment) -> bool {
        let last = self.heard.values().map(|h| h.at).max();
        let quiet = now.since(last.unwrap_or(self.since).max(self.since));
        self.peers.is_empty() || quiet < self.lost_after() && last.is_some() || quiet >= ALONE_AFTER
    }

    /// How many VMs share the retry budget: those listed or heard.
    pub fn count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Listed VMs that have been silent for `span`.
    pub fn silent(&self, now: Moment, span: Span) -> Vec<VmName> {
        let heard = |vm: &VmName| self.heard.get(vm).map_or(self.since, |h| h.at);
        let listed = self.peers.keys();
        let silent = listed.filter(|vm| now.since(heard(vm).max(self.since)) >= span);
        silent.cloned().collect()
    }
}
