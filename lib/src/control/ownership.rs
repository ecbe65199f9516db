//! What the duties of control's ownership side tell each other.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use tokio::sync::Notify;
use tokio::sync::watch;

use crate::control::ControlSettings;
use crate::ids::FencingToken;
use crate::ids::PoolName;
use crate::lease::HeldLease;
use crate::pool::Moment;

/// GrantHolders, as `name/incarnation`, that may hold grants; `None` is unknown.
pub type GrantHolders = Option<BTreeSet<String>>;

/// Values between election, owner and peers; each sender has one writer.
#[derive(Debug)]
pub struct OwnershipState {
    /// The settings.
    pub settings: ControlSettings,
    /// The pools held; written by the election.
    pub leases: watch::Sender<BTreeMap<PoolName, HeldLease>>,
    /// Pools that grant and order nothing any more, ready to be released;
    /// written by the owner.
    pub drained: watch::Sender<BTreeMap<PoolName, GrantHolders>>,
    /// Pools whose slots may be changed, by token: no earlier owner's grant is
    /// in use any more; written by the owners.
    pub settled: watch::Sender<BTreeMap<PoolName, FencingToken>>,
    /// Pools whose owner found a successor, by token; written by the owners.
    pub deposed: watch::Sender<BTreeMap<PoolName, FencingToken>>,
    /// True when every lease was released; written by the election.
    pub released: watch::Sender<bool>,
    /// When the last answered exchange with each configured peer began;
    /// written by the peers duty.
    pub contacts: watch::Sender<BTreeMap<SocketAddr, Moment>>,
    /// VMs that the platform's list named once and names no longer; written by
    /// its watcher.
    pub departed: watch::Sender<BTreeSet<String>>,
    /// Upstreams that the VM list calls leaving; written by its watcher.
    pub listed_leaving: watch::Sender<BTreeSet<SocketAddr>>,
    /// Upstreams whose own reports say leaving; written by the owners.
    pub reported_leaving: watch::Sender<BTreeMap<PoolName, BTreeSet<SocketAddr>>>,
    /// Something changed that the peers should know at once.
    pub gossip_wake: Notify,
}

impl OwnershipState {
    /// Nothing is known yet.
    pub fn new(settings: ControlSettings) -> Self {
        Self {
            settings,
            leases: watch::Sender::default(),
            drained: watch::Sender::default(),
            settled: watch::Sender::default(),
            deposed: watch::Sender::default(),
            released: watch::Sender::new(false),
            contacts: watch::Sender::default(),
            departed: watch::Sender::default(),
            listed_leaving: watch::Sender::default(),
            reported_leaving: watch::Sender::default(),
            gossip_wake: Notify::new(),
        }
    }

    /// The latest moment such that exchanges begun then or later were answered
    /// by so many of the configured peers that, with this process, they are a
    /// majority; zero when there is none, `now` without peers.
    ///
    /// Two processes with the same peers in their settings cannot both have a
    /// majority without a peer that talked to both.
    pub fn majority_contact(&self, now: Moment) -> Moment {
        majority_contact(now, &self.settings.peers, &self.contacts.borrow())
    }
}

/// See [`OwnershipState::majority_contact`].
///
/// ```
/// use std::collections::BTreeMap;
/// use banyangauge::control::majority_contact;
/// use banyangauge::pool::Moment;
/// let peers: Vec<std::net::SocketAddr> =
///     (1..=4).map(|p| ([127, 0, 0, 1], p).into()).collect();
/// let heard = BTreeMap::from([(peers[0], Moment(5)), (peers[1], Moment(3))]);
/// assert_eq!(majority_contact(Moment(9), &peers, &heard), Moment(3));
/// assert_eq!(majority_contact(Moment(9), &[], &heard), Moment(9));
/// ```
pub fn majority_contact(
    now: Moment,
    peers: &[SocketAddr],
    contacts: &BTreeMap<SocketAddr, Moment>,
) -> Moment {
    let heard = |p: &SocketAddr| contacts.get(p).copied().unwrap_or_default();
    let mut times: Vec<Moment> = peers.iter().map(heard).collect();
    times.sort_unstable_by(|a, b| b.cmp(a));
    // Of n processes, this one among them, n / 2 + 1 are a majority.
    match times.len().div_ceil(2) {
        0 => now,
        needed => times.get(needed - 1).copied().unwrap_or_default(),
    }
}
