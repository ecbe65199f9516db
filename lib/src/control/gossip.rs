//! Heartbeats between control processes, and what travels with them.

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
use crate::control::members::WARM_UP;
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

/// The longest that an exchange may take; a peer answers in milliseconds.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The shortest time between two urgent rounds, so that news in a burst do
/// not become a burst of rounds.
const URGENT_GAP: Duration = Duration::from_millis(50);

/// Members that an urgent round reaches. Whoever learns something passes it
/// on in an urgent round of its own, so 700 members take about four rounds.
const URGENT_FANOUT: usize = 8;

/// How long a peer's word that an upstream is leaving counts without being
/// repeated; several heartbeats.
const LEAVING_KEPT: Span = Span::from_millis(10_000);

/// How much longer a verdict must hold to replace the known one. Less is the
/// time on the way, which would otherwise add up as verdicts are passed round.
const VERDICT_STEP_MS: u64 = 1_000;

/// The most verdicts that are kept; each takes a request that crashed several
/// upstreams, so more are a fault, and the oldest give way.
const MAX_VERDICTS: usize = 1_024;

struct State {
    members: Members,
    // When each pool's owner was last seen to change.
    changed: BTreeMap<PoolName, (FencingToken, Moment)>,
    // Leaving upstreams by a peer's word, and when it was last given.
    heard: BTreeMap<SocketAddr, Moment>,
}

/// The member table and what is spread with it; shared by the duty that sends
/// and the service that answers.
pub struct Gossip {
    shared: Shared,
    local: Arc<OwnershipState>,
    state: Mutex<State>,
}

impl Gossip {
    /// A table that holds this process alone.
    ///
    /// # Errors
    ///
    /// When the VM's name is no valid name.
    pub fn new(shared: Shared, local: Arc<OwnershipState>) -> Result<Self, IdError> {
        let me = wire::Member {
            vm: shared.vm.to_string(),
            address: shared.address.to_string(),
            zone: shared.zone.to_string(),
            incarnation: shared.incarnation.0,
            ..wire::Member::default()
        };
        let times = &local.settings.members;
        let suspect = Span::from_millis(times.suspect_ms);
        let gone = Span::from_millis(times.gone_ms);
        let members = Members::new(clock::now(), me, suspect, gone)?;
        Ok(Self {
            shared,
            local,
            state: Mutex::new(State {
                members,
                changed: BTreeMap::new(),
                heard: BTreeMap::new(),
            }),
        })
    }

    /// What this process tells: to a peer that asked, or to any.
    ///
    /// Owners are told when they changed lately, when this process holds them,
    /// when the reader started lately, and whenever the reader's own claim is
    /// out of date: an owner is never left in the belief that it has no
    /// successor.
    pub fn digest(&self, asked: Option<&wire::Digest>) -> wire::Digest {
        let now = clock::now();
        let board = &self.shared.state;
        let uptime = uptime_ms();
        let verdicts = board.verdicts.borrow();
        let verdicts = verdicts.iter().filter(|(_, until)| **until > uptime);
        let reader = asked.map_or(self.shared.vm.as_str(), |d| d.vm.as_str());
        let mut state = self.lock();
        let full = state.members.is_warming_up(now, reader);
        let owners = board.owners.borrow();
        state.note_owners(now, &owners);
        let told = owners.iter().filter(|(pool, owner)| {
            let claim = asked.and_then(|d| claim_of(d, pool));
            full || owner.vm == self.shared.vm
                || claim.is_some_and(|token| token < owner.token.0)
                || state.is_new(now, pool)
        });
        wire::Digest {
            vm: self.shared.vm.to_string(),
            revision: board.catalog.borrow().revision.0,
            members: state
                .members
                .digest(now, full, asked.map_or(&[], |d| &d.members)),
            verdicts: verdicts
                .map(|(fingerprint, until)| wire::Verdict {
                    fingerprint: fingerprint.0,
                    left_ms: until - uptime,
                })
                .collect(),
            owners: told.map(|(pool, o)| owner_on_wire(pool, o)).collect(),
            leaving: self.first_hand().iter().map(|a| a.to_string()).collect(),
        }
    }

    /// Takes in what a peer told; news are passed on at once.
    pub fn merge(&self, digest: &wire::Digest) {
        let now = clock::now();
        {
            let mut state = self.lock();
            state.members.merge(now, &digest.members);
            for address in digest.leaving.iter().filter_map(|a| a.parse().ok()) {
                state.heard.insert(address, now);
            }
        }
        let mut news = self.merge_verdicts(&digest.verdicts);
        news |= self.merge_owners(&digest.owners);
        self.refresh(now);
        let members = digest.members.iter().map(|m| m.revision);
        let highest = members.max().unwrap_or(0).max(digest.revision);
        config::notify_revision(&self.shared, Revision(highest));
        if news {
            self.local.gossip_wake.notify_one();
        }
    }

    /// One heartbeat; judges the others by their silence.
    pub fn beat(&self) {
        let board = &self.shared.state;
        let revision = board.catalog.borrow().revision;
        let stopping = *board.stopping.borrow();
        let now = clock::now();
        {
            let mut state = self.lock();
            state.members.advance_heartbeat(now, revision, stopping);
            state.members.detect_failures(now);
        }
        let uptime = uptime_ms();
        board.verdicts.send_if_modified(|verdicts| {
            let before = verdicts.len();
            verdicts.retain(|_, until| *until > uptime);
            verdicts.len() != before
        });
        self.refresh(now);
    }

    /// A verdict found here: known on this VM now, on its way to the others.
    pub fn block(shared: &Shared, local: &OwnershipState, fingerprint: Fingerprint, hold: Span) {
        let until = uptime_ms() + hold.as_millis();
        let news = shared
            .state
            .verdicts
            .send_if_modified(|verdicts| note_verdict(verdicts, fingerprint, until));
        if news {
            local.gossip_wake.notify_one();
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    // Only what this VM saw itself is passed on, so that a word ages out.
    fn first_hand(&self) -> BTreeSet<SocketAddr> {
        let mut seen = self.local.listed_leaving.borrow().clone();
        seen.extend(self.local.reported_leaving.borrow().values().flatten());
        seen
    }

    fn refresh(&self, now: Moment) {
        let mut leaving = self.first_hand();
        let mut state = self.lock();
        state.heard.retain(|_, at| now.since(*at) < LEAVING_KEPT);
        leaving.extend(state.heard.keys());
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

    fn merge_verdicts(&self, verdicts: &[wire::Verdict]) -> bool {
        let uptime = uptime_ms();
        self.shared.state.verdicts.send_if_modified(|known| {
            let mut news = false;
            for v in verdicts {
                news |= note_verdict(known, Fingerprint(v.fingerprint), uptime + v.left_ms);
            }
            news
        })
    }

    fn merge_owners(&self, owners: &[wire::Owner]) -> bool {
        self.shared.state.owners.send_if_modified(|known| {
            let mut news = false;
            for (pool, owner) in owners.iter().filter_map(owner_from_wire) {
                if known.get(&pool).is_none_or(|o| o.token < owner.token) {
                    known.insert(pool, owner);
                    news = true;
                }
            }
            news
        })
    }

    fn targets(&self, most: usize) -> Vec<SocketAddr> {
        let mut all: BTreeSet<SocketAddr> = self.shared.peers.iter().copied().collect();
        all.extend(self.lock().members.addresses());
        all.remove(&self.shared.address);
        let all: Vec<SocketAddr> = all.into_iter().collect();
        all.sample(&mut rand::rng(), most).copied().collect()
    }

    fn note_contact(&self, peer: SocketAddr, began: Moment) {
        if self.shared.peers.contains(&peer) {
            self.local.contacts.send_modify(|c| {
                let at = c.entry(peer).or_default();
                *at = began.max(*at);
            });
        }
    }
}

fn note_verdict(known: &mut BTreeMap<Fingerprint, u64>, key: Fingerprint, until: u64) -> bool {
    if known
        .get(&key)
        .is_some_and(|old| until < old + VERDICT_STEP_MS)
    {
        return false;
    }
    known.insert(key, until);
    if known.len() > MAX_VERDICTS {
        let oldest = known.iter().min_by_key(|(_, until)| **until);
        if let Some(key) = oldest.map(|(k, _)| *k) {
            known.remove(&key);
        }
    }
    true
}

impl State {
    fn note_owners(&mut self, now: Moment, owners: &BTreeMap<PoolName, Owner>) {
        self.changed.retain(|pool, _| owners.contains_key(pool));
        for (pool, owner) in owners {
            let known = self.changed.get(pool).map(|(token, _)| *token);
            if known != Some(owner.token) {
                self.changed.insert(pool.clone(), (owner.token, now));
            }
        }
    }

    fn is_new(&self, now: Moment, pool: &PoolName) -> bool {
        let changed = self.changed.get(pool);
        changed.is_some_and(|(_, at)| now.since(*at) < WARM_UP)
    }
}

// The token that the sender of a digest knows for a pool.
fn claim_of(digest: &wire::Digest, pool: &PoolName) -> Option<u64> {
    let claim = digest.owners.iter().find(|o| o.pool == pool.as_str());
    claim.map(|o| o.token)
}

fn owner_on_wire(pool: &PoolName, owner: &Owner) -> wire::Owner {
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

/// Exchanges heartbeats for as long as the process runs.
pub(super) async fn run(peers: Arc<Gossip>) {
    let settings = peers.local.settings.members.clone();
    let mut beat = tokio::time::interval(Duration::from_millis(settings.beat_ms));
    beat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut channels: BTreeMap<SocketAddr, PeersClient<Channel>> = BTreeMap::new();
    loop {
        let fanout = tokio::select! {
            _ = beat.tick() => settings.fanout,
            () = peers.local.gossip_wake.notified() => URGENT_FANOUT,
        };
        peers.beat();
        let targets = peers.targets(fanout);
        channels.retain(|a, _| peers.shared.peers.contains(a) || targets.contains(a));
        for target in targets {
            let Some(client) = client_for(&peers.shared, &mut channels, target) else {
                continue;
            };
            tokio::spawn(exchange(Arc::clone(&peers), target, client));
        }
        if fanout == URGENT_FANOUT {
            tokio::time::sleep(URGENT_GAP).await;
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

async fn exchange(peers: Arc<Gossip>, target: SocketAddr, mut client: PeersClient<Channel>) {
    let began = clock::now();
    let digest = peers.digest(None);
    count_bytes("sent", &digest);
    match client.exchange(digest).await {
        Ok(answer) => {
            count_bytes("received", answer.get_ref());
            peers.merge(answer.get_ref());
            peers.note_contact(target, began);
        }
        Err(_) => metrics::counter!("peer_exchange_failed_total").increment(1),
    }
}

/// Counts the bytes of a digest, without what the transport adds.
pub(super) fn count_bytes(direction: &'static str, digest: &wire::Digest) {
    let bytes = prost::Message::encoded_len(digest) as u64;
    metrics::counter!("peer_bytes_total", "direction" => direction).increment(bytes);
}
