//! Tracks the VMs of the fleet and which of them are alive.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::Incarnation;
use crate::ids::ServiceName;
use crate::ids::VmName;
use crate::ids::ZoneName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::cluster::ownership::NEW_MEMBER_GRACE;
use crate::serving::cluster::sharing::PeerKnowledge;
use crate::serving::cluster::topic::Topic;

/// The interval between two beacons of a VM in a small fleet.
const BEACON_INTERVAL: Span = Span::from_millis(400);

/// The largest fleet with the shortest beacon interval. In larger fleets the
/// interval grows in proportion, so that the cost of beacons to a VM does not:
/// it receives at most 240 a second. Requests are misplaced when a VM's view is
/// old.
const SMALL_FLEET: usize = 96;

/// The smallest fleet that relays beacons between availability zones. In
/// smaller fleets direct beacons give a more recent view.
const RELAY_MIN_VMS: usize = 16;

/// The largest fleet with the shortest beacon interval where beacons are
/// relayed: a VM then receives one datagram from each VM of its zone, which
/// includes the relayed beacons.
const RELAYED_SMALL_FLEET: usize = 240;

/// The smallest fleet without fencing in which one VM polls the store for all.
const SHARED_UPDATES_MIN_VMS: usize = 16;

/// Missed relayed beacons after which a VM is considered failed: either of the
/// two datagrams of a relayed beacon may be lost.
const RELAYED_MISSED_BEACONS: u64 = 7;

/// Beacons of an incarnation that are needed to estimate the least delay. Those that are read at
/// once count as one: they waited in the socket while this VM was suspended.
const DELAY_MIN_BEACONS: u32 = 3;

/// Missed beacons after which a VM is considered failed. A lossy link must not
/// trigger it.
const MISSED_BEACONS: u64 = 5;

/// Missed beacons after which another VM lends in place of a lender. The loss of
/// two beacons in a row must not replace it, although a relayed beacon is lost
/// if either of its two datagrams is.
const LENDER_MISSED_BEACONS: u64 = 4;

/// Missed beacons after which a VM no longer counts as reachable for a lender.
/// Until then it may use its own share of a limit in addition to what is lent.
const REACHABLE_MISSED_BEACONS: u64 = 3;

/// How long a VM that starts waits for the first beacon of another VM: an interval
/// until that one hears of it, an interval until its next beacon, and the delay.
const FIRST_BEACON_WAIT: Span = Span::from_millis(900);

/// The delay with which a busy VM sends or handles a beacon.
const BEACON_DELAY_MARGIN: Span = Span::from_millis(100);

/// How long a VM that was stopped as planned keeps its replicas: it is usually
/// back before a new owner could give orders.
const STOPPED_RETENTION: Span = Span::from_millis(6_000);

/// How long a VM that receives no beacons waits before it assumes that it
/// is the only one. A partitioned VM must not take over the others' replicas.
const ISOLATION_TIMEOUT: Span = Span::from_millis(6_000);

/// How long a VM that was stopped as planned and is started again considers no
/// other VM failed: the grace of a new member, less the delay of its last
/// beacon.
const STOPPED_GRACE: Span = Span(NEW_MEMBER_GRACE.0 - 5_000_000);

/// How long after its start a VM may not know the others yet: a few beacon
/// intervals.
const STARTUP_PERIOD: Span = Span::from_millis(1_500);

/// Returns the sort key of a VM in an order that depends on the seed, to spread
/// duties over the VMs.
pub(in crate::serving) fn hash_order(vm: &VmName, seed: u64) -> u64 {
    xxh3_64_with_seed(vm.as_str().as_bytes(), seed)
}

/// The last beacon of another VM.
#[derive(Clone, Copy, Debug)]
struct PeerBeacon {
    received_at: Moment,
    incarnation: Incarnation,
    number: u64,
    stopping: bool,
    /// When it was sent, on the sender's clock.
    sent: Moment,
    /// The least clock offset seen, in microseconds; it includes the least
    /// delay.
    min_offset: i64,
    /// The number of beacons received from this incarnation, at least half an interval apart.
    count: u32,
    /// When the last one of these was received.
    counted_at: Moment,
    /// Whether the VM lends shares of organisations' limits.
    lends: bool,
}

impl PeerBeacon {
    /// The clock difference plus the delay of the last beacon, in microseconds.
    fn clock_offset(&self) -> i64 {
        self.received_at.0.wrapping_sub(self.sent.0).cast_signed()
    }
}

/// What a VM can do for requests that other VMs cannot send to a replica.
#[derive(Clone, Debug, Default)]
struct Helper {
    /// Whether it serves requests of other VMs.
    relays: bool,
    /// Services that it cannot reach either, and when it first said so.
    unreachable: BTreeMap<ServiceName, Moment>,
}

/// Identifies a beacon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BeaconStamp {
    /// The incarnation of the sender.
    pub incarnation: Incarnation,
    /// The number of the beacon, which increases.
    pub number: u64,
    /// When it was sent, on the sender's clock.
    pub sent: Moment,
}

/// The VMs known from their entries in the store and from their beacons.
#[derive(Debug)]
pub struct Members {
    own: VmName,
    started_at: Moment,
    addresses: BTreeMap<VmName, SocketAddr>,
    beacons: BTreeMap<VmName, PeerBeacon>,
    /// When the newest of our beacons that each VM acknowledged was sent.
    echoes: BTreeMap<VmName, Moment>,
    zones: BTreeMap<VmName, ZoneName>,
    helpers: BTreeMap<VmName, Helper>,
    /// What each VM knows of the store, by topic.
    knowledge: BTreeMap<VmName, [PeerKnowledge; Topic::ALL.len()]>,
    /// Whether the VM entries were read from the store.
    listed: bool,
    /// Our availability zone if relaying is enabled.
    zone: Option<ZoneName>,
}

impl Members {
    /// Creates a membership that has only this VM.
    pub fn new(own: VmName, now: Moment) -> Self {
        Self {
            own,
            started_at: now,
            addresses: BTreeMap::new(),
            beacons: BTreeMap::new(),
            echoes: BTreeMap::new(),
            zones: BTreeMap::new(),
            helpers: BTreeMap::new(),
            knowledge: BTreeMap::new(),
            listed: false,
            zone: None,
        }
    }

    /// Returns the name of this VM.
    pub fn local(&self) -> &VmName {
        &self.own
    }

    /// Enables relaying of beacons between availability zones; `zone` is ours.
    pub fn enable_relays(&mut self, zone: ZoneName) {
        self.zone = Some(zone);
    }

    /// Sets the availability zone of a VM.
    pub fn set_zone(&mut self, vm: &VmName, zone: ZoneName) {
        if self.zones.get(vm) != Some(&zone) {
            self.zones.insert(vm.clone(), zone);
        }
    }

    /// Whether beacons are relayed between availability zones.
    ///
    /// In a fleet of hundreds of VMs in five zones, four fifths of direct
    /// beacons cross zones, and a VM wakes up for each of them. With relaying,
    /// a beacon crosses to each zone once per interval, and one VM there passes
    /// it on together with its own.
    pub fn uses_relays(&self) -> bool {
        self.zone.is_some() && self.count() >= RELAY_MIN_VMS
    }

    /// Returns the VMs that get our beacons directly: those in our zone and
    /// those whose zone is unknown.
    pub fn direct_peers(&self) -> impl Iterator<Item = (&VmName, SocketAddr)> {
        let near = |vm: &VmName| {
            self.zones
                .get(vm)
                .is_none_or(|z| Some(z) == self.zone.as_ref())
        };
        self.peers().filter(move |(vm, _)| near(vm))
    }

    /// Returns the address of the VM in each other zone that relays our beacon
    /// of this number. The choice rotates, so that a failed relay costs one
    /// beacon.
    pub fn relay_targets(&self, now: Moment, number: u64) -> Vec<SocketAddr> {
        let mut zones: BTreeMap<&ZoneName, Vec<(bool, SocketAddr)>> = BTreeMap::new();
        for (vm, address) in self.peers() {
            let zone = self
                .zones
                .get(vm)
                .filter(|z| Some(*z) != self.zone.as_ref());
            if let Some(zone) = zone {
                let is_live = self.is_live(now, vm) && !self.is_stopping(vm);
                zones.entry(zone).or_default().push((is_live, address));
            }
        }
        let start = hash_order(&self.own, 0).wrapping_add(number);
        let choose = |vms: Vec<(bool, SocketAddr)>| {
            let live: Vec<_> = vms.iter().filter(|(is_live, _)| *is_live).collect();
            let index = |len: usize| (start % len.max(1) as u64) as usize;
            let live = live.get(index(live.len())).map(|(_, at)| *at);
            live.or(vms.get(index(vms.len())).map(|(_, at)| *at))
        };
        zones.into_values().filter_map(choose).collect()
    }

    /// Whether the VM's last beacon said that it is stopping. Such a VM is not
    /// chosen as a relay while another is live.
    pub fn is_stopping(&self, vm: &VmName) -> bool {
        self.beacons.get(vm).is_some_and(|b| b.stopping)
    }

    /// Returns our position among the live VMs in the hash order of this seed.
    /// During `STARTUP_PERIOD` after its start a VM may not have heard of all
    /// others; if it knows the address of another, it counts one more VM before
    /// itself, so that it is never first.
    pub fn rank(&self, now: Moment, seed: u64) -> u64 {
        let own = hash_order(&self.own, seed);
        let before = self.beacons.iter().filter(|(vm, b)| {
            !b.stopping
                && now.since(b.received_at) < self.failure_timeout()
                && hash_order(vm, seed) < own
        });
        let before = before.count() as u64;
        let new = !self.addresses.is_empty() && now.since(self.started_at) < STARTUP_PERIOD;
        before + u64::from(new)
    }

    /// Returns how much longer the last beacon of a VM took than its quickest
    /// one, or `None` if too few have arrived to compare. The delay includes
    /// the time that a datagram waited while this VM was suspended.
    pub fn beacon_delay(&self, vm: &VmName) -> Option<Span> {
        let beacon = self
            .beacons
            .get(vm)
            .filter(|b| b.count >= DELAY_MIN_BEACONS)?;
        let delay = beacon.clock_offset().saturating_sub(beacon.min_offset);
        Some(Span(delay.unsigned_abs()))
    }

    /// Sets the address of a VM, from its entry in the store or from its
    /// beacon.
    pub fn set_address(&mut self, vm: VmName, address: SocketAddr) {
        if vm != self.own {
            self.addresses.insert(vm, address);
        }
    }

    /// Whether this VM has just started and has not heard from the others yet.
    pub fn awaits_peers(&self, now: Moment) -> bool {
        let expected = !self.listed || !self.addresses.is_empty();
        let new = now.since(self.started_at) < FIRST_BEACON_WAIT;
        new && expected && self.beacons.is_empty()
    }

    /// Records that the VM entries were read from the store.
    pub fn mark_listed(&mut self) {
        self.listed = true;
    }

    /// Removes a VM whose entry was removed.
    pub fn remove(&mut self, vm: &VmName) {
        self.addresses.remove(vm);
        self.zones.remove(vm);
        self.helpers.remove(vm);
        self.echoes.remove(vm);
        self.knowledge.remove(vm);
    }

    /// Returns what a VM knows of a topic of the store.
    pub fn knowledge(&mut self, vm: &VmName, topic: Topic) -> &mut PeerKnowledge {
        let topics = self.knowledge.entry(vm.clone()).or_default();
        &mut topics[topic as usize]
    }

    /// Records a beacon. Returns whether it is newer than the VM's last one.
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
        if old.is_some_and(|b| (b.incarnation, b.number) >= (incarnation, number)) {
            return false;
        }
        let same = old.filter(|b| b.incarnation == incarnation);
        let gap = Span(self.beacon_interval().0 / 2);
        let at_once = same.filter(|b| now.since(b.counted_at) < gap);
        let mut beacon = PeerBeacon {
            received_at: now,
            incarnation,
            number,
            stopping,
            sent,
            min_offset: 0,
            count: match at_once {
                Some(old) => old.count,
                None => same.map_or(0, |b| b.count).saturating_add(1),
            },
            counted_at: at_once.map_or(now, |b| b.counted_at),
            lends: false,
        };
        beacon.min_offset = same.map_or(beacon.clock_offset(), |b| {
            b.min_offset.min(beacon.clock_offset())
        });
        self.beacons.insert(vm.clone(), beacon);
        true
    }

    /// Returns the last beacon of a VM: its incarnation, when it was sent (on
    /// the sender's clock) and when it was received (on ours).
    pub fn last_beacon(&self, vm: &VmName) -> Option<(Incarnation, Moment, Moment)> {
        let beacon = self.beacons.get(vm)?;
        Some((beacon.incarnation, beacon.sent, beacon.received_at))
    }

    /// Returns whether a beacon of any VM was received since `since`.
    pub fn hears_any(&self, since: Moment) -> bool {
        self.beacons.values().any(|b| b.received_at >= since)
    }

    /// Returns the VMs whose last beacon was received within `span`: name,
    /// incarnation, when it was sent (on the sender's clock) and when it was
    /// received (on ours).
    pub fn recent_beacons(
        &self,
        now: Moment,
        span: Span,
    ) -> impl Iterator<Item = (&VmName, Incarnation, Moment, Moment)> {
        let recent = self
            .beacons
            .iter()
            .filter(move |(_, b)| now.since(b.received_at) < span);
        recent.map(|(vm, b)| (vm, b.incarnation, b.sent, b.received_at))
    }

    /// Records whether a VM lends, according to its last beacon.
    pub fn set_lends(&mut self, vm: &VmName, lends: bool) {
        if let Some(beacon) = self.beacons.get_mut(vm) {
            beacon.lends = lends;
        }
    }

    /// Records what a VM's last beacon says about requests of other VMs: whether it serves
    /// them, and which services it cannot reach.
    pub fn set_helper(
        &mut self,
        now: Moment,
        vm: &VmName,
        relays: bool,
        unreachable: impl Iterator<Item = ServiceName>,
    ) {
        let old = self.helpers.remove(vm).unwrap_or_default().unreachable;
        let since = |service: &ServiceName| old.get(service).copied().unwrap_or(now);
        let unreachable = unreachable.map(|service| (since(&service), service));
        let helper = Helper {
            relays,
            unreachable: unreachable.map(|(at, service)| (service, at)).collect(),
        };
        self.helpers.insert(vm.clone(), helper);
    }

    /// Returns the VMs that have not reached a service for `span`, by their beacons.
    /// `is_reached` says whether this VM reaches it.
    pub fn without_replicas(
        &self,
        now: Moment,
        span: Span,
        is_reached: impl Fn(&ServiceName) -> bool,
    ) -> BTreeSet<VmName> {
        let cut = |helper: &Helper| {
            let mut services = helper.unreachable.iter();
            services.any(|(service, since)| now.since(*since) >= span && is_reached(service))
        };
        let all = self.helpers.iter();
        let vms = all.filter(|(vm, helper)| cut(helper) && self.is_live(now, vm));
        vms.map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns how long ago this process started.
    pub fn age(&self, now: Moment) -> Span {
        now.since(self.started_at)
    }

    /// Returns the live VMs that can serve requests of a service for this one, with their
    /// addresses. Those in `zone` come first, because traffic between zones is expensive, and
    /// each part is in the hash order of the seed, which spreads requests over them.
    pub fn helpers(
        &self,
        now: Moment,
        service: &ServiceName,
        zone: &ZoneName,
        seed: u64,
    ) -> Vec<(&VmName, SocketAddr)> {
        let helps = |vm: &VmName| {
            let helper = self.helpers.get(vm);
            helper.is_some_and(|h| h.relays && !h.unreachable.contains_key(service))
                && self.is_live(now, vm)
                && !self.is_stopping(vm)
        };
        let mut helpers: Vec<_> = self.peers().filter(|(vm, _)| helps(vm)).collect();
        helpers.sort_by_cached_key(|(vm, _)| {
            (self.zones.get(*vm) != Some(zone), hash_order(vm, seed))
        });
        helpers
    }

    /// Returns the fraction of all VMs that are reachable, including this one.
    pub fn reachable_fraction(&self, now: Moment) -> f64 {
        let recent = self.recent_beacons(
            now,
            Span(self.beacon_interval().0 * REACHABLE_MISSED_BEACONS),
        );
        let listed = recent.filter(|(vm, ..)| self.addresses.contains_key(*vm));
        (listed.count() + 1) as f64 / self.count() as f64
    }

    /// Whether this VM lends shares of organisations' limits. It must reach
    /// most of the VMs, so that two sides of a partition never both lend.
    pub fn lends(&self, now: Moment) -> bool {
        // A VM that knows no others yet may be one of many.
        let alone = self.addresses.is_empty() && !self.listed;
        let new = alone && now.since(self.started_at) < STARTUP_PERIOD;
        !new && self.reachable_fraction(now) > 0.5
    }

    /// Returns the VMs with recent beacons that lend shares of organisations'
    /// limits, in the hash order of the seed. Each organisation has a seed of its own
    /// (`lender_seed`), which spreads the organisations over the lenders. A
    /// request asks the first lender and, if it gives no answer, the second one
    /// (`LENDER_RANKS` in `path/charge.rs`).
    pub fn lenders(&self, now: Moment, seed: u64) -> Vec<&VmName> {
        let timeout = self.lender_timeout();
        let others = self.beacons.iter().filter(|(vm, b)| {
            b.lends
                && !b.stopping
                && now.since(b.received_at) < timeout
                && self.addresses.contains_key(*vm)
        });
        let own = Some(&self.own).filter(|_| self.lends(now));
        let mut all: Vec<_> = others.map(|(vm, _)| vm).chain(own).collect();
        all.sort_by_key(|vm| hash_order(vm, seed));
        all
    }

    /// Returns how long a lender without beacons is still asked. Until then, each
    /// request that needs a loan from it waits for the answer until the timeout.
    fn lender_timeout(&self) -> Span {
        Span(self.beacon_interval().0 * LENDER_MISSED_BEACONS)
    }

    /// Records that a VM received our beacon that was sent at `sent`.
    pub fn record_echo(&mut self, vm: &VmName, sent: Moment) {
        let echo = self.echoes.entry(vm.clone()).or_insert(sent);
        *echo = sent.max(*echo);
    }

    /// Returns until when none of the `members` can consider this VM failed, or
    /// `None` if one of them has not acknowledged a beacon. A member that
    /// received our beacon waits for the failure timeout, and one that was
    /// stopped as planned for its grace.
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
        let stopped = self.beacons.get(vm).filter(|b| b.stopping);
        match stopped {
            Some(beacon) => Some(beacon.received_at.after(STOPPED_GRACE)),
            None => Some(self.echoes.get(vm)?.after(self.failure_timeout())),
        }
    }

    /// Returns all other VMs whose address is known, live or not, with their
    /// addresses.
    pub fn peers(&self) -> impl Iterator<Item = (&VmName, SocketAddr)> {
        self.addresses.iter().map(|(vm, address)| (vm, *address))
    }

    /// Returns all VMs, this one in `own_zone` included, in an order that depends on the seed and
    /// is the same at all VMs: the availability zones in turn, and those of each in hash order.
    pub fn ordered(&self, seed: u64, own_zone: &ZoneName) -> Vec<&VmName> {
        let mut zones: BTreeMap<Option<&ZoneName>, Vec<(u64, &VmName)>> = BTreeMap::new();
        let others = self.addresses.keys().map(|vm| (self.zones.get(vm), vm));
        for (zone, vm) in others.chain([(Some(own_zone), &self.own)]) {
            let zone = zones.entry(zone).or_default();
            zone.push((hash_order(vm, seed), vm));
        }
        let mut ranked = Vec::new();
        for mut vms in zones.into_values() {
            vms.sort();
            let first = vms.first().map(|(hash, _)| *hash);
            let vms = vms.into_iter().enumerate();
            ranked.extend(vms.map(|(place, (_, vm))| (place, first, vm)));
        }
        ranked.sort();
        ranked.into_iter().map(|(.., vm)| vm).collect()
    }

    /// Returns the address of a VM.
    pub fn address(&self, vm: &VmName) -> Option<SocketAddr> {
        self.addresses.get(vm).copied()
    }

    /// Whether a VM is alive by its beacons. This VM always is.
    pub fn is_live(&self, now: Moment, vm: &VmName) -> bool {
        if *vm == self.own {
            return true;
        }
        let beacon = self.beacons.get(vm);
        beacon.is_some_and(|b| now.since(b.received_at) < self.failure_timeout())
    }

    /// Returns the interval between two beacons of a VM.
    pub fn beacon_interval(&self) -> Span {
        let small = match self.uses_relays() {
            true => RELAYED_SMALL_FLEET,
            false => SMALL_FLEET,
        };
        Span(BEACON_INTERVAL.0 * self.count().div_ceil(small) as u64)
    }

    /// Returns how long a VM's use of a replica may take to reach the owner. It
    /// is reported at once, and the next beacon makes up for a lost report. An
    /// adapter stays loaded for this long after its last use. On a small
    /// deployment at high load (8 days, processor time not counted), 0.54 s in
    /// place of 0.9 s raised the share of the requests due that were served in
    /// time from 0.884 to 0.901; 0.32 s served as many. The value here is 0.5 s.
    pub fn report_delay(&self) -> Span {
        Span(self.beacon_interval().0 + BEACON_DELAY_MARGIN.0)
    }

    /// Returns how long a VM must be silent to be considered failed.
    pub fn failure_timeout(&self) -> Span {
        let missed = match self.uses_relays() {
            true => RELAYED_MISSED_BEACONS,
            false => MISSED_BEACONS,
        };
        Span(self.beacon_interval().0 * missed)
    }

    /// Returns the VMs that keep their replicas: the live ones and those that
    /// were stopped as planned recently.
    pub fn live_vms(&self, now: Moment) -> BTreeSet<VmName> {
        let keeps = |b: &PeerBeacon| match b.stopping {
            true => now.since(b.received_at) < STOPPED_RETENTION,
            false => now.since(b.received_at) < self.failure_timeout(),
        };
        let others = self.beacons.iter().filter(|(_, b)| keeps(b));
        let others = others.map(|(vm, _)| vm.clone());
        others.chain([self.own.clone()]).collect()
    }

    /// Whether this VM may decide which others have failed: it receives
    /// beacons, or has received none for so long that it is the only VM.
    pub fn can_detect_failures(&self, now: Moment) -> bool {
        let last = self.beacons.values().map(|b| b.received_at).max();
        let quiet = now.since(last.unwrap_or(self.started_at).max(self.started_at));
        self.addresses.is_empty()
            || quiet < self.failure_timeout() && last.is_some()
            || quiet >= ISOLATION_TIMEOUT
    }

    /// Whether VMs share store updates instead of polling the store each for
    /// itself. In a small fleet without fencing each VM polls: the calls cost
    /// little, and requests are served better under high load.
    pub fn shares_updates(&self, fenced: bool) -> bool {
        let least = if fenced { 2 } else { SHARED_UPDATES_MIN_VMS };
        self.count() >= least
    }

    /// Returns the number of VMs, including this one.
    pub fn count(&self) -> usize {
        self.addresses.len() + 1
    }

    /// Returns the number of VMs, including this one; `None` before the VM entries were
    /// read from the store, when there may be any number of others.
    pub fn listed_count(&self) -> Option<usize> {
        self.listed.then(|| self.count())
    }

    /// Returns the listed VMs that have been silent for `span`.
    pub fn silent_for(&self, now: Moment, span: Span) -> Vec<VmName> {
        let last_seen = |vm: &VmName| {
            self.beacons
                .get(vm)
                .map_or(self.started_at, |b| b.received_at)
        };
        let listed = self.addresses.keys();
        let silent = listed.filter(|vm| now.since(last_seen(vm).max(self.started_at)) >= span);
        silent.cloned().collect()
    }
}
