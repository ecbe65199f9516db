//! State shared by the tasks that handle pool ownership.

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

/// Entry processes, as `name/incarnation`, that may hold grants; `None` if
/// unknown.
pub type GrantHolders = Option<BTreeSet<String>>;

/// State shared by the election, owner and gossip tasks; each sender has one
/// writer.
#[derive(Debug)]
pub struct OwnershipState {
    /// The settings.
    pub settings: ControlSettings,
    /// Leases held by this process; written by the election.
    pub leases: watch::Sender<BTreeMap<PoolName, HeldLease>>,
    /// Drained pools, whose leases may be released, and the entries that may
    /// still hold grants; written by the owners.
    pub drained: watch::Sender<BTreeMap<PoolName, GrantHolders>>,
    /// Pools whose slots may be changed because no grant of an earlier owner is
    /// in use any more, with the token of the lease; written by the owners.
    pub settled: watch::Sender<BTreeMap<PoolName, FencingToken>>,
    /// Pools whose owner learned of a successor, with the token of its own
    /// lease; written by the owners.
    pub deposed: watch::Sender<BTreeMap<PoolName, FencingToken>>,
    /// True once every lease has been released; written by the election.
    pub released: watch::Sender<bool>,
    /// Start of the last successful exchange with each configured peer; written
    /// by the gossip task.
    pub contacts: watch::Sender<BTreeMap<SocketAddr, Moment>>,
    /// VMs that have been on the platform's VM list and no longer are; written
    /// by the VM list task.
    pub departed: watch::Sender<BTreeSet<String>>,
    /// Upstreams marked as leaving in the VM list; written by the VM list task.
    pub listed_leaving: watch::Sender<BTreeSet<SocketAddr>>,
    /// Upstreams whose load reports say that they are leaving; written by the
    /// owners.
    pub reported_leaving: watch::Sender<BTreeMap<PoolName, BTreeSet<SocketAddr>>>,
    /// Wakes the gossip task for a change that peers should receive at once.
    pub gossip_wake: Notify,
}

impl OwnershipState {
    /// Creates the initial state, without leases or contacts.
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

    /// Returns the latest moment at or after which this process has exchanged
    /// heartbeats with a majority, itself included: zero if it never has, `now`
    /// if no peers are configured.
    ///
    /// Any two majorities of the same configured processes share a member, so
    /// two processes cannot both have a majority without a common peer.
    pub fn majority_contact(&self, now: Moment) -> Moment {
        majority_contact(now, &self.settings.peers, &self.contacts.borrow())
    }
}

/// Computes [`OwnershipState::majority_contact`] from the last contacts.
///
/// ```
/// use std::collections::BTreeMap;
/// use banyangauge::control::majority_contact;
/// use banyangauge::pool::Moment;
/// let peers: Vec<std::net::SocketAddr> =
///     (1..=4).map(|p| ([127, 0, 0, 1], p).into()).collect();
/// let last_contact = BTreeMap::from([(peers[0], Moment(5)), (peers[1], Moment(3))]);
/// assert_eq!(majority_contact(Moment(9), &peers, &last_contact), Moment(3));
/// assert_eq!(majority_contact(Moment(9), &[], &last_contact), Moment(9));
/// ```
pub fn majority_contact(
    now: Moment,
    peers: &[SocketAddr],
    contacts: &BTreeMap<SocketAddr, Moment>,
) -> Moment {
    let last_contact = |p: &SocketAddr| contacts.get(p).copied().unwrap_or_default();
    let mut times: Vec<Moment> = peers.iter().map(last_contact).collect();
    times.sort_unstable_by(|a, b| b.cmp(a));
    // Of n processes, including this one, n / 2 + 1 are a majority.
    match times.len().div_ceil(2) {
        0 => now,
        needed => times.get(needed - 1).copied().unwrap_or_default(),
    }
}
