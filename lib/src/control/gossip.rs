//! Gossip between control processes: heartbeats, catalog revisions, pool owners,
//! blocked requests and leaving upstreams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use banyangauge_proto as wire;
use rand::seq::IndexedRandom;
use tonic::transport::Channel;
use tonic::transport::Endpoint;
use wire::peers_client::PeersClient;

use crate::control::Owner;
use crate::control::Shared;
use crate::control::clock;
use crate::control::config;
use crate::control::members::Members;
use crate::control::members::NEW_MEMBER_PERIOD;
use crate::control::ownership::OwnershipState;
use crate::control::uptime_ms;
use crate::ids::FencingToken;
use crate::ids::Fingerprint;
use crate::ids::IdError;
use crate::ids::PoolName;
use crate::ids::Revision;
use crate::ids::VmName;
use crate::pool::Moment;
use crate::pool::Span;

/// Time limit of an exchange; a peer answers within milliseconds.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Minimum time between two urgent rounds, so that a burst of changes does not
/// cause a burst of rounds.
const MIN_URGENT_INTERVAL: Duration = Duration::from_millis(50);

/// Members contacted in an urgent round. A process that receives a change starts
/// an urgent round of its own, so that 700 members take about four rounds.
const URGENT_FANOUT: usize = 8;

/// How long a peer's report that an upstream is leaving stays valid without
/// being repeated; several heartbeats.
const LEAVING_REPORT_TTL: Span = Span::from_millis(10_000);

/// How much later a block must end to replace the known one. Smaller differences
/// come from transmission time, which would otherwise add up as blocks are
/// forwarded.
const MIN_BLOCK_EXTENSION_MS: u64 = 1_000;

/// Maximum blocks kept. Each needs a request that crashed several upstreams, so
/// more indicate a fault; the first to end are removed.
const MAX_BLOCKS: usize = 1_024;

struct State {
    members: Members,
    // When each pool's owner last changed.
    owner_changes: BTreeMap<PoolName, (FencingToken, Moment)>,
    // Leaving upstreams reported by peers, with the time of the last report.
    leaving_reports: BTreeMap<SocketAddr, Moment>,
}

/// The gossip state, shared by the task that sends digests and the service that
/// answers them.
pub struct Gossip {
    shared: Shared,
    ownership: Arc<OwnershipState>,
    state: Mutex<State>,
}

impl Gossip {
    /// Creates a member table that contains only this process.
    ///
    /// # Errors
    ///
    /// If the VM's name is invalid.
    pub fn new(shared: Shared, ownership: Arc<OwnershipState>) -> Result<Self, IdError> {
        let me = wire::Member {
            vm: shared.vm.to_string(),
            address: shared.address.to_string(),
            zone: shared.zone.to_string(),
            incarnation: shared.incarnation.0,
            ..wire::Member::default()
        };
        let settings = &ownership.settings.members;
        let suspect = Span::from_millis(settings.suspect_ms);
        let gone = Span::from_millis(settings.gone_ms);
        let members = Members::new(clock::now(), me, suspect, gone)?;
        Ok(Self {
            shared,
            ownership,
            state: Mutex::new(State {
                members,
                owner_changes: BTreeMap::new(),
                leaving_reports: BTreeMap::new(),
            }),
        })
    }

    /// Builds a digest, as the reply to `received` or for any peer.
    ///
    /// A pool's owner is included if it changed recently, if it is this process,
    /// if the receiver started recently, or if the token in `received` is out of
    /// date. The last case ensures that an owner learns of its successor.
    pub fn digest(&self, received: Option<&wire::Digest>) -> wire::Digest {
        let now = clock::now();
        let control = &self.shared.state;
        let uptime = uptime_ms();
        let blocked = control.blocked.borrow();
        let blocked = blocked.iter().filter(|(_, until)| **until > uptime);
        let receiver = received.map_or(self.shared.vm.as_str(), |d| d.vm.as_str());
        let mut state = self.lock();
        let full = state.members.is_new(now, receiver);
        let owners = control.owners.borrow();
        state.record_owner_changes(now, &owners);
        let included = owners.iter().filter(|(pool, owner)| {
            let known = received.and_then(|d| token_in(d, pool));
            full || owner.vm == self.shared.vm
                || known.is_some_and(|token| token < owner.token.0)
                || state.changed_recently(now, pool)
        });
        wire::Digest {
            vm: self.shared.vm.to_string(),
            revision: control.catalog.borrow().revision.0,
            members: state
                .members
                .digest(now, full, received.map_or(&[], |d| &d.members)),
            verdicts: blocked
                .map(|(fingerprint, until)| wire::Verdict {
                    fingerprint: fingerprint.0,
                    left_ms: until - uptime,
                })
                .collect(),
            owners: included.map(|(pool, o)| owner_to_wire(pool, o)).collect(),
            leaving: self
                .observed_leaving()
                .iter()
                .map(|a| a.to_string())
                .collect(),
        }
    }

    /// Merges a received digest; changes to blocks or owners start an urgent
    /// round.
    pub fn merge(&self, digest: &wire::Digest) {
        let now = clock::now();
        {
            let mut state = self.lock();
            state.members.merge(now, &digest.members);
            for address in digest.leaving.iter().filter_map(|a| a.parse().ok()) {
                state.leaving_reports.insert(address, now);
            }
        }
        let mut changed = self.merge_blocks(&digest.verdicts);
        changed |= self.merge_owners(&digest.owners);
        self.publish_view(now);
        let members = digest.members.iter().map(|m| m.revision);
        let highest = members.max().unwrap_or(0).max(digest.revision);
        config::notify_revision(&self.shared, Revision(highest));
        if changed {
            self.ownership.gossip_wake.notify_one();
        }
    }

    /// Advances the heartbeat, detects failed members and removes blocks that
    /// have ended.
    pub fn heartbeat(&self) {
        let control = &self.shared.state;
        let revision = control.catalog.borrow().revision;
        let stopping = *control.stopping.borrow();
        let now = clock::now();
        {
            let mut state = self.lock();
            state.members.advance_heartbeat(now, revision, stopping);
            state.members.detect_failures(now);
        }
        let uptime = uptime_ms();
        control.blocked.send_if_modified(|blocked| {
            let before = blocked.len();
            blocked.retain(|_, until| *until > uptime);
            blocked.len() != before
        });
        self.publish_view(now);
    }

    /// Blocks requests with this fingerprint for `duration`, and wakes the gossip
    /// task to tell peers.
    pub fn block(
        shared: &Shared,
        ownership: &OwnershipState,
        fingerprint: Fingerprint,
        duration: Span,
    ) {
        let until = uptime_ms() + duration.as_millis();
        let changed = shared
            .state
            .blocked
            .send_if_modified(|blocked| record_block(blocked, fingerprint, until));
        if changed {
            ownership.gossip_wake.notify_one();
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    // Leaving upstreams observed by this VM. Only these are sent to peers, so
    // that a report expires when its source stops repeating it.
    fn observed_leaving(&self) -> BTreeSet<SocketAddr> {
        let mut seen = self.ownership.listed_leaving.borrow().clone();
        seen.extend(self.ownership.reported_leaving.borrow().values().flatten());
        seen
    }

    fn publish_view(&self, now: Moment) {
        let mut leaving = self.observed_leaving();
        let mut state = self.lock();
        state
            .leaving_reports
            .retain(|_, at| now.since(*at) < LEAVING_REPORT_TTL);
        leaving.extend(state.leaving_reports.keys());
        let view = state.members.view();
        drop(state);
        self.shared.state.leaving.send_if_modified(|old| {
            let changed = *old != leaving;
            *old = leaving;
            changed
        });
        self.shared.state.members.send_if_modified(|old| {
            let changed = *old != view;
            *old = view;
            changed
        });
    }

    fn merge_blocks(&self, verdicts: &[wire::Verdict]) -> bool {
        let uptime = uptime_ms();
        self.shared.state.blocked.send_if_modified(|known| {
            let mut changed = false;
            for v in verdicts {
                changed |= record_block(known, Fingerprint(v.fingerprint), uptime + v.left_ms);
            }
            changed
        })
    }

    fn merge_owners(&self, owners: &[wire::Owner]) -> bool {
        self.shared.state.owners.send_if_modified(|known| {
            let mut changed = false;
            for (pool, owner) in owners.iter().filter_map(owner_from_wire) {
                if known.get(&pool).is_none_or(|o| o.token < owner.token) {
                    known.insert(pool, owner);
                    changed = true;
                }
            }
            changed
        })
    }

    fn targets(&self, max: usize) -> Vec<SocketAddr> {
        let mut all: BTreeSet<SocketAddr> = self.shared.peers.iter().copied().collect();
        all.extend(self.lock().members.addresses());
        all.remove(&self.shared.address);
        let all: Vec<SocketAddr> = all.into_iter().collect();
        all.sample(&mut rand::rng(), max).copied().collect()
    }

    fn record_contact(&self, peer: SocketAddr, started: Moment) {
        if self.shared.peers.contains(&peer) {
            self.ownership.contacts.send_modify(|c| {
                let at = c.entry(peer).or_default();
                *at = started.max(*at);
            });
        }
    }
}

/// Records that requests with this fingerprint are blocked until `until`. Returns
/// false if a known block ends at about the same time or later.
fn record_block(known: &mut BTreeMap<Fingerprint, u64>, key: Fingerprint, until: u64) -> bool {
    if known
        .get(&key)
        .is_some_and(|old| until < old + MIN_BLOCK_EXTENSION_MS)
    {
        return false;
    }
    known.insert(key, until);
    if known.len() > MAX_BLOCKS {
        let oldest = known.iter().min_by_key(|(_, until)| **until);
        if let Some(key) = oldest.map(|(k, _)| *k) {
            known.remove(&key);
        }
    }
    true
}

impl State {
    fn record_owner_changes(&mut self, now: Moment, owners: &BTreeMap<PoolName, Owner>) {
        self.owner_changes
            .retain(|pool, _| owners.contains_key(pool));
        for (pool, owner) in owners {
            let known = self.owner_changes.get(pool).map(|(token, _)| *token);
            if known != Some(owner.token) {
                self.owner_changes.insert(pool.clone(), (owner.token, now));
            }
        }
    }

    fn changed_recently(&self, now: Moment, pool: &PoolName) -> bool {
        let change = self.owner_changes.get(pool);
        change.is_some_and(|(_, at)| now.since(*at) < NEW_MEMBER_PERIOD)
    }
}

// The token of a pool's owner in a digest.
fn token_in(digest: &wire::Digest, pool: &PoolName) -> Option<u64> {
    let owner = digest.owners.iter().find(|o| o.pool == pool.as_str());
    owner.map(|o| o.token)
}

fn owner_to_wire(pool: &PoolName, owner: &Owner) -> wire::Owner {
    wire::Owner {
        pool: pool.to_string(),
        vm: owner.vm.to_string(),
        address: owner.address.to_string(),
        token: owner.token.0,
    }
}

fn owner_from_wire(owner: &wire::Owner) -> Option<(PoolName, Owner)> {
    let pool = PoolName::new(&owner.pool).ok()?;
    let owner = Owner {
        vm: VmName::new(&owner.vm).ok()?,
        address: owner.address.parse().ok()?,
        token: FencingToken(owner.token),
    };
    Some((pool, owner))
}

/// Exchanges digests with peers for the lifetime of the process.
pub(super) async fn run(gossip: Arc<Gossip>) {
    let settings = gossip.ownership.settings.members.clone();
    let mut beat = tokio::time::interval(Duration::from_millis(settings.beat_ms));
    beat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut channels: BTreeMap<SocketAddr, PeersClient<Channel>> = BTreeMap::new();
    loop {
        let fanout = tokio::select! {
            _ = beat.tick() => settings.fanout,
            () = gossip.ownership.gossip_wake.notified() => URGENT_FANOUT,
        };
        gossip.heartbeat();
        let targets = gossip.targets(fanout);
        channels.retain(|a, _| gossip.shared.peers.contains(a) || targets.contains(a));
        for target in targets {
            let Some(client) = client_for(&gossip.shared, &mut channels, target) else {
                continue;
            };
            tokio::spawn(exchange(Arc::clone(&gossip), target, client));
        }
        if fanout == URGENT_FANOUT {
            tokio::time::sleep(MIN_URGENT_INTERVAL).await;
        }
    }
}

fn client_for(
    shared: &Shared,
    channels: &mut BTreeMap<SocketAddr, PeersClient<Channel>>,
    target: SocketAddr,
) -> Option<PeersClient<Channel>> {
    if let Some(client) = channels.get(&target) {
        return Some(client.clone());
    }
    let limits = |e: Endpoint| {
        e.connect_timeout(EXCHANGE_TIMEOUT)
            .timeout(EXCHANGE_TIMEOUT)
    };
    let channel = shared.state.link().connect_lazy(target, limits).ok()?;
    let client = PeersClient::new(channel);
    channels.insert(target, client.clone());
    Some(client)
}

async fn exchange(gossip: Arc<Gossip>, target: SocketAddr, mut client: PeersClient<Channel>) {
    let started = clock::now();
    let digest = gossip.digest(None);
    count_bytes("sent", &digest);
    match client.exchange(digest).await {
        Ok(answer) => {
            count_bytes("received", answer.get_ref());
            gossip.merge(answer.get_ref());
            gossip.record_contact(target, started);
        }
        Err(_) => metrics::counter!("peer_exchange_failed_total").increment(1),
    }
}

/// Counts the encoded size of a digest, without transport overhead.
pub(super) fn count_bytes(direction: &'static str, digest: &wire::Digest) {
    let bytes = prost::Message::encoded_len(digest) as u64;
    metrics::counter!("peer_bytes_total", "direction" => direction).increment(bytes);
}
