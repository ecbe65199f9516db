//! What the platform holds of a lease.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::ids::Token;
use crate::ids::VmName;

/// One control process that may own pools.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Its VM.
    pub vm: VmName,
    /// Where it listens; held by one process at a time.
    pub address: SocketAddr,
    /// This start of the process.
    pub incarnation: Incarnation,
}

/// The content of the lease object `pool-<name>`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The VM that holds it.
    pub holder: VmName,
    /// Where the holder listens.
    pub address: SocketAddr,
    /// The holder's start of the process.
    pub incarnation: Incarnation,
    /// Rises by one at each change of holder.
    pub token: Token,
    /// How long it holds from its last write, in milliseconds.
    pub ttl_ms: u64,
    /// Given up on a planned stop; anybody may take it at once.
    pub released: bool,
    /// The longest that a grant of this holder lives unrenewed, in milliseconds.
    pub granted_ttl: u64,
    /// The holder has not yet been able to rule out that an earlier one's
    /// grants are in use; its successor has to wait as long as it would have.
    #[serde(default)]
    pub unsettled: bool,
    /// The write that made this content; settles a lost answer.
    pub operation: String,
    /// With `released`: every entry process that may hold a grant of this
    /// holder, as `name/incarnation`. Without it, nobody knows.
    #[serde(default)]
    pub entries: Option<BTreeSet<String>>,
}

impl Record {
    /// Whether exactly this process wrote it.
    pub fn is_of(&self, me: &Candidate) -> bool {
        self.holder == me.vm && self.address == me.address && self.incarnation == me.incarnation
    }

    /// Whether an earlier process at the same VM and address wrote it.
    ///
    /// Whoever listens on the address now knows that the earlier process has
    /// ended: a paused one would still hold the address.
    pub fn is_of_predecessor(&self, me: &Candidate) -> bool {
        self.holder == me.vm && self.address == me.address && self.incarnation != me.incarnation
    }
}
