//! The lease object as stored on the platform.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::FencingToken;
use crate::ids::Incarnation;
use crate::ids::VmName;

/// A control process that can hold leases.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The VM that the process runs on.
    pub vm: VmName,
    /// The address the process listens on; bound by one process at a time.
    pub address: SocketAddr,
    /// Identifies this start of the process.
    pub incarnation: Incarnation,
}

/// The content of the lease object `pool-<name>`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The VM of the holder.
    pub holder: VmName,
    /// The address the holder listens on.
    pub address: SocketAddr,
    /// Identifies the start of the holder's process.
    pub incarnation: Incarnation,
    /// The fencing token; increases by one at each change of holder.
    pub token: FencingToken,
    /// How long the lease is valid after its last write, in milliseconds.
    pub ttl_ms: u64,
    /// Set on a planned stop; any candidate may then acquire the lease at once.
    pub released: bool,
    /// The longest time, in milliseconds, for which a grant of this holder stays
    /// valid without a renewal.
    pub granted_ttl: u64,
    /// Set until the holder can rule out that grants of earlier holders are
    /// still in use; a successor then has to wait as long as this holder would.
    #[serde(default)]
    pub unsettled: bool,
    /// Identifies the write that stored this record, so that a writer that lost
    /// the answer can tell whether its write took effect.
    pub operation: String,
    /// With `released`: every entry process that may hold a grant of this
    /// holder, as `name/incarnation`. `None` if the set is not known.
    #[serde(default)]
    pub entries: Option<BTreeSet<String>>,
}

impl Record {
    /// Returns whether exactly this process holds the lease.
    pub fn is_held_by(&self, me: &Candidate) -> bool {
        self.holder == me.vm && self.address == me.address && self.incarnation == me.incarnation
    }

    /// Returns whether an earlier process on the same VM and address holds the lease.
    ///
    /// The process that listens on the address now can be sure that the earlier
    /// one has ended: a paused process would still have the address bound.
    pub fn is_held_by_earlier_process(&self, me: &Candidate) -> bool {
        self.holder == me.vm && self.address == me.address && self.incarnation != me.incarnation
    }
}
