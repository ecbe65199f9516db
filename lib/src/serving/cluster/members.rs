//! Which VMs there are, and which of them live.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::Incarnation;
use crate::ids::VmName;
use crate::ids::ZoneName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::cluster::ownership::NEW_MEMBER_GRACE;

/// The pause between two beacons of a VM in a small fleet.
const BEACON_INTERVAL: Span = Span::from_millis(400);

/// VMs up to which the pause stays so; with more it grows in proportion, so
/// that what a VM spends on beacons does not grow with the fleet: it hears 240
/// a second at most. The age of a VM's picture is what misplaces requests.
/// Measured at 71 VMs on a calm day, with a pause of 1.2 s and of 0.4 s: served
/// in time 0.669 and 0.788 of what was owed, processor 0.015 and 0.022 cores.
const SMALL_FLEET: usize = 96;

/// VMs from which beacons cross between availability zones by relays: with
/// fewer, a VM's picture is younger where each sends to all.
const RELAY_MIN_VMS: usize = 16;

/// VMs up to which the pause stays so where beacons are relayed: a VM then
/// hears a datagram from each VM of its zone, with what those passed on.
const RELAYED_SMALL_FLEET: usize = 240;

/// VMs from which one asks the store for all where replicas check no fences.
const SHARED_UPDATES_MIN_VMS: usize = 16;

/// Beats that a VM's beacons are missed where they are relayed: any of two
/// datagrams may be lost.
const RELAYED_MISSED_BEACONS: u64 = 7;

/// Beacons of an incarnation from which the shortest way of one is known.
const DELAY_MIN_BEACONS: u32 = 3;

/// Beats that are missed until a VM is taken for lost: a lossy link does not
/// make it so.
const MISSED_BEACONS: u64 = 5;

/// Beats that a VM's beacons are missed until others lend in its place: any of
/// two datagrams, and of two more, may be lost.
const LENDER_MISSED_BEACONS: u64 = 4;

/// Beats that a VM's beacons are missed until it no longer counts among those
/// that a lender hears: until then the VM may use its own part on top of what is
/// lent.
const REACHABLE_MISSED_BEACONS: u64 = 3;

/// How late a beacon may come on a busy VM.
const BEACON_DELAY_MARGIN: Span = Span::from_millis(100);

/// How long a VM that was stopped as planned keeps what it owns: it is usually
/// back before others could order in its place.
const STOPPED_RETENTION: Span = Span::from_millis(6_000);

/// How long a VM that hears nobody waits until it takes itself for the only
/// one: a VM that is cut off must not take what the others own.
const ISOLATION_TIMEOUT: Span = Span::from_millis(6_000);

/// How long a VM that was stopped as planned, and is started again, takes nobody
/// for lost: as a new member, less what its word was on its way.
const STOPPED_GRACE: Span = Span(NEW_MEMBER_GRACE.0 - 5_000_000);

/// How long after its start a VM knows the others: a few beats.
const STARTUP_PERIOD: Span = Span::from_millis(1_500);

/// The place of a VM in an order that differs by seed, so that duties spread.
fn hash_order(vm: &VmName, seed: u64) -> u64 {
    xxh3_64_with_seed(vm.as_str().as_bytes(), seed)
}

#[derive(Clone, Copy, Debug)]
struct PeerBeacon {
    received_at: Moment,
    incarnation: Incarnation,
    number: u64,
    stopping: bool,
    /// When it was sent, on the other VM's clock.
    sent: Moment,
    /// The least difference of the clocks over a beacon's way, in microseconds.
    min_offset: i64,
    /// Beacons of this incarnation.
    count: u32,
    /// Whether it lends parts of organisations' limits.
    lends: bool,
}

impl PeerBeacon {
    /// The difference of the clocks over the way of the last beacon.
    fn clock_offset(&self) -> i64 {
        self.received_at.0.wrapping_sub(self.sent.0).cast_signed()
    }
}

/// What a beacon says of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BeaconStamp {
    /// The incarnation of the sender.
    pub incarnation: Incarnation,
    /// Its number; it rises.
    pub number: u64,
    /// When it was sent, on the sender's clock.
    pub sent: Moment,
}

/// The VMs by their entries in the store and their beacons.
#[derive(Debug)]
pub struct Members {
    own: VmName,
    started_at: Moment,
    addresses: BTreeMap<VmName, SocketAddr>,
    beacons: BTreeMap<VmName, PeerBeacon>,
    /// When the newest of our beacons that each VM heard was sent.
    echoes: BTreeMap<VmName, Moment>,
    zones: BTreeMap<VmName, ZoneName>,
    /// Whether the store said once which VMs there are.
    listed: bool,
    /// Our own, where beacons may be relayed.
    zone: Option<ZoneName>,
}

impl Members {
    /// Only this VM, as of now.
    pub fn new(own: VmName, now: Moment) -> Self {
        Self {
            own,
            started_at: now,
            addresses: BTreeMap::new(),
            beacons: BTreeMap::new(),
            echoes: BTreeMap::new(),
            zones: BTreeMap::new(),
            listed: false,
            zone: None,
        }
    }

    /// This VM.
    pub fn local(&self) -> &VmName {
        &self.own
    }

    /// Lets beacons be relayed between availability zones; ours is this one.
    pub fn enable_relays(&mut self, zone: ZoneName) {
        self.zone = Some(zone);
    }

    /// A VM's availability zone.
    pub fn set_zone(&mut self, vm: &VmName, zone: ZoneName) {
        if self.zones.get(vm) != Some(&zone) {
            self.zones.insert(vm.clone(), zone);
        }
    }

    /// Whether beacons go to other availability zones by relays.
    ///
    /// Made for fleets in which each VM hears hundreds of others. Sent by each
    /// to all, four fifths of the beacons of five zones cross between them, and
    /// a VM wakes for each. One relay a zone and beat passes them on within it,
    /// together with its own: they cross once for each zone.
    pub fn uses_relays(&self) -> bool {
        self.zone.is_some() && self.count() >= RELAY_MIN_VMS
    }

    /// The VMs that get our beacons themselves: those of our zone, and those
    /// whose zone is not known yet.
    pub fn direct_peers(&self) -> impl Iterator<Item = (&VmName, SocketAddr)> {
        let near = |vm: &VmName| {
            self.zones
                .get(vm)
                .is_none_or(|z| Some(z) == self.zone.as_ref())
        };
        self.peers().filter(move |(vm, _)| near(vm))
    }

    /// Who passes our beacon of this number on, one VM in each other zone: each
    /// time another one, so that one that is lost costs one beacon.
    pub fn relay_targets(&self, now: Moment, number: u64) -> Vec<SocketAddr> {
        let mut zones: BTreeMap<&ZoneName, Vec<(bool, SocketAddr)>> = BTreeMap::new();
        for (vm, address) in self.peers() {
            let zone = self
                .zones
                .get(vm)
                .filter(|z| Some(*z) != self.zone.as_ref());
            if let Some(zone) = zone {
                let lives = self.is_live(now, vm) && !self.is_stopping(vm);
                zones.entry(zone).or_default().push((lives, address));
            }
        }
        let start = hash_order(&self.own, 0).wrapping_add(number);
        let choose = |vms: Vec<(bool, SocketAddr)>| {
            let live: Vec<_> = vms.iter().filter(|(lives, _)| *lives).collect();
            let index = |len: usize| (start % len.max(1) as u64) as usize;
            let live = live.get(index(live.len())).map(|(_, at)| *at);
            live.or(vms.get(index(vms.len())).map(|(_, at)| *at))
        };
        zones.into_values().filter_map(choose).collect()
    }

    fn is_stopping(&self, vm: &VmName) -> bool {
        self.beacons.get(vm).is_some_and(|h| h.stopping)
    }

    /// Our place among the live VMs in the order of a hash with this seed. A VM
    /// that has just started does not know the others yet and is not the first.
    pub fn rank(&self, now: Moment, seed: u64) -> u64 {
        let own = hash_order(&self.own, seed);
        let before = self.beacons.iter().filter(|(vm, h)| {
            !h.stopping
                && now.since(h.received_at) < self.failure_timeout()
                && hash_order(vm, seed) < own
        });
        let before = before.count() as u64;
        let new = !self.addresses.is_empty() && now.since(self.started_at) < STARTUP_PERIOD;
        before + u64::from(new)
    }

    /// How much longer the last beacon of a VM was on its way than the quickest
    /// one; `None` while too few came to tell. One that was read long after it
    /// came, as this VM was suspended, shows here.
    pub fn beacon_delay(&self, vm: &VmName) -> Option<Span> {
        let heard = self
            .beacons
            .get(vm)
            .filter(|h| h.count >= DELAY_MIN_BEACONS)?;
        let late = heard.clock_offset().saturating_sub(heard.min_offset);
        Some(Span(late.unsigned_abs()))
    }

    /// A VM's entry in the store, or where its beacon came from.
    pub fn set_address(&mut self, vm: VmName, address: SocketAddr) {
        if vm != self.own {
            self.addresses.insert(vm, address);
        }
    }

    /// The store said which VMs there are.
    pub fn mark_listed(&mut self) {
        self.listed = true;
    }

    /// A VM's entry was removed.
    pub fn remove(&mut self, vm: &VmName) {
        self.addresses.remove(vm);
        self.zones.remove(vm);
        self.echoes.remove(vm);
    }

    /// A beacon came; gives whether it is newer than the last one, and whether
    /// the VM was not heard of before.
    pub fn record_beacon(
        &mut self,
        now: Moment,
        vm: &VmName,
        stamp: BeaconStamp,
        stopping: bool,
    ) -> bool {
        let BeaconStamp {
            incarnation,
            number,
            sent,
        } = stamp;
        let old = self.beacons.get(vm);
        if old.is_some_and(|h| (h.incarnation, h.number) >= (incarnation, number)) {
            return false;
        }
        let same = old.filter(|h| h.incarnation == incarnation);
        let mut heard = PeerBeacon {
            received_at: now,
            incarnation,
            number,
            stopping,
            sent,
            min_offset: 0,
            count: same.map_or(0, |h| h.count).saturating_add(1),
            lends: false,
        };
        heard.min_offset = same.map_or(heard.clock_offset(), |h| {
            h.min_offset.min(heard.clock_offset())
        });
        self.beacons.insert(vm.clone(), heard);
        true
    }

    /// What was heard of a VM last: its incarnation, when that was sent on its
    /// clock, and when it came.
    pub fn last_beacon(&self, vm: &VmName) -> Option<(Incarnation, Moment, Moment)> {
        let heard = self.beacons.get(vm)?;
        Some((heard.incarnation, heard.sent, heard.received_at))
    }

    /// All VMs that were heard within `span`: the incarnation of each, when its
    /// last beacon was sent on its clock, and when that came.
    pub fn recent_beacons(
        &self,
        now: Moment,
        span: Span,
    ) -> impl Iterator<Item = (&VmName, Incarnation, Moment, Moment)> {
        let recent = self
            .beacons
            .iter()
            .filter(move |(_, h)| now.since(h.received_at) < span);
        recent.map(|(vm, h)| (vm, h.incarnation, h.sent, h.received_at))
    }

    /// Whether a VM lends, by its last beacon.
    pub fn set_lends(&mut self, vm: &VmName, lends: bool) {
        if let Some(heard) = self.beacons.get_mut(vm) {
            heard.lends = lends;
        }
    }

    /// The part of the VMs that this one heard a moment ago, itself among them.
    pub fn reachable_fraction(&self, now: Moment) -> f64 {
        let recent = self.recent_beacons(
            now,
            Span(self.beacon_interval().0 * REACHABLE_MISSED_BEACONS),
        );
        let listed = recent.filter(|(vm, ..)| self.addresses.contains_key(*vm));
        (listed.count() + 1) as f64 / self.count() as f64
    }

    /// Whether this VM lends parts of organisations' limits: it hears most of
    /// the others, so that no two sides of a cut do.
    pub fn lends(&self, now: Moment) -> bool {
        // One that knows nobody yet may be one of many.
        let alone = self.addresses.is_empty() && !self.listed;
        let new = alone && now.since(self.started_at) < STARTUP_PERIOD;
        !new && self.reachable_fraction(now) > 0.5
    }

    /// Who lends, in the order of a hash with this seed: the first one, and
    /// those that are asked in its place when it does not answer.
    pub fn lenders(&self, now: Moment, seed: u64) -> Vec<&VmName> {
        let kept = self.lender_timeout();
        let others = self.beacons.iter().filter(|(vm, h)| {
            h.lends
                && !h.stopping
                && now.since(h.received_at) < kept
                && self.addresses.contains_key(*vm)
        });
        let own = Some(&self.own).filter(|_| self.lends(now));
        let mut all: Vec<_> = others.map(|(vm, _)| vm).chain(own).collect();
        all.sort_by_key(|vm| hash_order(vm, seed));
        all
    }

    /// How long a VM that is silent is still asked to lend: each request of an
    /// organisation waits for it in vain meanwhile.
    fn lender_timeout(&self) -> Span {
        Span(self.beacon_interval().0 * LENDER_MISSED_BEACONS)
    }

    /// A VM heard our beacon that was sent at `sent`.
    pub fn record_echo(&mut self, vm: &VmName, sent: Moment) {
        let echo = self.echoes.entry(vm.clone()).or_insert(sent);
        *echo = sent.max(*echo);
    }

    /// Until when none of the `members` takes this VM for lost: each heard it,
    /// and judges nobody whom it heard that lately, or was stopped as planned.
    /// `None` if one of them has not said so.
    pub fn acknowledged_until(&self, members: &BTreeSet<VmName>) -> Option<Moment> {
        if !members.contains(&self.own) {
            return None;
        }
        let others = members.iter().filter(|vm| **vm != self.own);
        let until = others
            .map(|vm| self.acknowledged_by(vm))
            .collect::<Option<Vec<_>>>()?;
        Some(until.into_iter().min().unwrap_or(Moment(u64::MAX)))
    }

    fn acknowledged_by(&self, vm: &VmName) -> Option<Moment> {
        let stopped = self.beacons.get(vm).filter(|h| h.stopping);
        match stopped {
            Some(heard) => Some(heard.received_at.after(STOPPED_GRACE)),
            None => Some(self.echoes.get(vm)?.after(self.failure_timeout())),
        }
    }

    /// The others, and where they are.
    pub fn peers(&self) -> impl Iterator<Item = (&VmName, SocketAddr)> {
        self.addresses.iter().map(|(vm, address)| (vm, *address))
    }

    /// Where a VM is.
    pub fn address(&self, vm: &VmName) -> Option<SocketAddr> {
        self.addresses.get(vm).copied()
    }

    /// Whether a VM's beacons come; this VM always lives.
    pub fn is_live(&self, now: Moment, vm: &VmName) -> bool {
        if *vm == self.own {
            return true;
        }
        let heard = self.beacons.get(vm);
        heard.is_some_and(|h| now.since(h.received_at) < self.failure_timeout())
    }

    /// The pause between two beacons of a VM.
    pub fn beacon_interval(&self) -> Span {
        let small = match self.uses_relays() {
            true => RELAYED_SMALL_FLEET,
            false => SMALL_FLEET,
        };
        Span(BEACON_INTERVAL.0 * self.count().div_ceil(small) as u64)
    }

    /// Within how long a VM's use of a replica is known to its owner: it is
    /// reported at once, and a report that is lost is made good by the next
    /// beacon. An adapter keeps its place as long after its last use. Measured
    /// on a small deployment at high load (8 days, no processor time counted):
    /// served in time 0.884 -> 0.901 of what was owed, with 0.54 s in place of
    /// 0.9 s; this is 0.5 s, and 0.32 s served as much.
    pub fn report_delay(&self) -> Span {
        Span(self.beacon_interval().0 + BEACON_DELAY_MARGIN.0)
    }

    /// A VM that was silent for so long is lost.
    pub fn failure_timeout(&self) -> Span {
        let missed = match self.uses_relays() {
            true => RELAYED_MISSED_BEACONS,
            false => MISSED_BEACONS,
        };
        Span(self.beacon_interval().0 * missed)
    }

    /// The VMs that keep what they own: those that live, and those that were
    /// stopped as planned a short while ago.
    pub fn live_vms(&self, now: Moment) -> BTreeSet<VmName> {
        let keeps = |h: &PeerBeacon| match h.stopping {
            true => now.since(h.received_at) < STOPPED_RETENTION,
            false => now.since(h.received_at) < self.failure_timeout(),
        };
        let others = self.beacons.iter().filter(|(_, h)| keeps(h));
        let others = others.map(|(vm, _)| vm.clone());
        others.chain([self.own.clone()]).collect()
    }

    /// Whether this VM may judge who is lost: it hears somebody, or has been
    /// alone for so long that it is the only one.
    pub fn can_detect_failures(&self, now: Moment) -> bool {
        let last = self.beacons.values().map(|h| h.received_at).max();
        let quiet = now.since(last.unwrap_or(self.started_at).max(self.started_at));
        self.addresses.is_empty()
            || quiet < self.failure_timeout() && last.is_some()
            || quiet >= ISOLATION_TIMEOUT
    }

    /// Whether VMs tell each other what they hear of the store, in place of each
    /// asking for itself. In a small fleet whose replicas check no fences each
    /// asks: its calls cost little, and its callers are served better so under
    /// high load.
    pub fn shares_updates(&self, fenced: bool) -> bool {
        let least = if fenced { 2 } else { SHARED_UPDATES_MIN_VMS };
        self.count() >= least
    }

    /// How many VMs share the retry budget: those listed or heard.
    pub fn count(&self) -> usize {
        self.addresses.len() + 1
    }

    /// Listed VMs that have been silent for `span`.
    pub fn silent_for(&self, now: Moment, span: Span) -> Vec<VmName> {
        let heard = |vm: &VmName| {
            self.beacons
                .get(vm)
                .map_or(self.started_at, |h| h.received_at)
        };
        let listed = self.addresses.keys();
        let silent = listed.filter(|vm| now.since(heard(vm).max(self.started_at)) >= span);
        silent.cloned().collect()
    }
}
