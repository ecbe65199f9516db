//! What a border to the outside gives: bytes into our types and back.

use std::fmt;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;

use crate::ids::OrganisationName;
use crate::ids::ReplicaName;
use crate::ids::Token;
use crate::ids::VmName;
use crate::serving::decisions::books::OrderEnd;
use crate::serving::decisions::books::Report;
use crate::serving::path::types::AnnouncedVersion;
use crate::serving::path::types::Config;
use crate::serving::path::types::ReplicaInfo;
use crate::serving::path::types::RequestInfo;
use crate::serving::path::types::Target;
use crate::serving::store::port::Item;
use crate::upstream::Parts;

/// A record that is not of the published form.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BadRecord(pub String);

impl fmt::Display for BadRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for BadRecord {}

/// The kinds of objects in the store.
#[derive(Clone, Copy, Debug)]
pub struct ObjectKinds {
    /// The configuration.
    pub config: &'static str,
    /// The replicas.
    pub replicas: &'static str,
    /// Announced versions of adapters.
    pub versions: &'static str,
    /// Our own: VMs and owners.
    pub internal: &'static str,
}

/// What we set on a request that goes to a replica.
#[derive(Clone, Copy, Debug)]
pub struct ForwardHeaders<'a> {
    /// How long the answer is worth waiting for.
    pub timeout: Duration,
    /// The replica that it is meant for.
    pub replica: &'a ReplicaName,
    /// The version of the adapter that it must begin on.
    pub version: Option<u32>,
    /// The event after which a broken stream goes on.
    pub resume_after: Option<u64>,
    /// On whose behalf it is sent; the caller's key is never passed on.
    pub organisation: Option<&'a OrganisationName>,
}

/// Why a replica did not run a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRun {
    /// Another replica has the address now.
    Gone,
    /// It does not hold the adapter, or not in this version.
    NotLoaded,
    /// It is full, or leaving.
    Full,
}

/// What the head of an answer says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The replica's answer to this request.
    Answer,
    /// The same, and it says that the replica failed.
    Failed,
    /// The replica did not run it and will not.
    NotRun(NotRun),
    /// Another request's answer, or not an answer that may be passed on.
    Invalid(&'static str),
}

/// An order to a replica.
#[derive(Clone, Copy, Debug)]
pub struct Order<'a> {
    /// Whether to load; else to unload.
    pub load: bool,
    /// The adapter.
    pub target: &'a Target,
    /// The version to load; the newest if none is named.
    pub version: Option<u32>,
    /// Orders that the replica is expected to have accepted.
    pub expected: u64,
    /// Who orders.
    pub vm: &'a VmName,
    /// The fencing token.
    pub token: Token,
    /// The replica that it is meant for.
    pub replica: &'a ReplicaName,
}

/// The functions of a border. None of them waits, repeats or chooses.
#[derive(Clone, Copy)]
pub struct Codec {
    /// Kinds of objects.
    pub kinds: ObjectKinds,
    /// The path on which the balancer asks whether we are ready.
    pub ready_path: &'static str,
    /// Reads what a caller's request says of itself.
    pub parse_request: fn(&HeaderMap) -> RequestInfo,
    /// Takes out what only we may set, and sets it.
    pub set_headers: fn(&mut HeaderMap, &ForwardHeaders<'_>),
    /// Reads the head of an answer to the request with this id from this
    /// replica.
    pub classify_response: fn(StatusCode, &HeaderMap, &str, &ReplicaName) -> Reply,
    /// Reads the configuration.
    pub parse_config: fn(&Item) -> Result<Config, BadRecord>,
    /// Reads a replica's entry.
    pub parse_replica: fn(&Item) -> Result<ReplicaInfo, BadRecord>,
    /// Reads an announced version.
    pub parse_version: fn(&Item) -> Result<AnnouncedVersion, BadRecord>,
    /// Writes an order.
    pub encode_order: fn(&Order<'_>) -> Result<Request<Parts>, BadRecord>,
    /// Reads its answer.
    pub parse_order_end: fn(StatusCode) -> OrderEnd,
    /// Asks for a report.
    pub encode_report_request: fn() -> Result<Request<Parts>, BadRecord>,
    /// Reads a report.
    pub parse_report: fn(&[u8]) -> Result<Report, BadRecord>,
}
