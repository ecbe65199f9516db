//! Interface of the codec that converts a platform's formats to and from our types.

use std::fmt;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;

use crate::ids::FencingToken;
use crate::ids::OrganisationName;
use crate::ids::ReplicaName;
use crate::ids::VmName;
use crate::serving::decisions::adapter_planner::OrderOutcome;
use crate::serving::decisions::adapter_planner::ReplicaReport;
use crate::serving::path::types::AnnouncedVersion;
use crate::serving::path::types::Config;
use crate::serving::path::types::ReplicaInfo;
use crate::serving::path::types::RequestInfo;
use crate::serving::path::types::Target;
use crate::serving::store::port::Item;
use crate::upstream::BodyChunks;

/// The characters of an error that are displayed: it may quote a whole record.
const MAX_ERROR: usize = 300;

/// Error for a stored record or a message that does not have the published format.
///
/// ```
/// use banyangauge::serving::BadRecord;
/// assert_eq!(BadRecord("x".repeat(1 << 20)).to_string().len(), 300);
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BadRecord(pub String);

impl fmt::Display for BadRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.*}", MAX_ERROR, self.0)
    }
}

impl std::error::Error for BadRecord {}

/// Names of the object kinds in the store.
#[derive(Clone, Copy, Debug)]
pub struct ObjectKinds {
    /// Configurations.
    pub config: &'static str,
    /// Replicas.
    pub replicas: &'static str,
    /// Announced adapter versions.
    pub versions: &'static str,
    /// Objects that the serving VMs write themselves: VM entries and the owner table.
    pub internal: &'static str,
    /// Begins the names of the kinds that hold the builds of streams.
    pub streams: &'static str,
}

/// Values for the headers that are set on a request forwarded to a replica.
#[derive(Clone, Copy, Debug)]
pub struct ForwardHeaders<'a> {
    /// Time until the caller's deadline.
    pub timeout: Duration,
    /// The replica that must run the request.
    pub replica: &'a ReplicaName,
    /// The adapter version that the run must start with.
    pub version: Option<u32>,
    /// ID of the last event that the caller received, when a stream is resumed.
    pub resume_after: Option<u64>,
    /// The organisation that the request is sent for; the caller's API key is never
    /// forwarded.
    pub organisation: Option<&'a OrganisationName>,
    /// How urgent the request is, from 0 (first) to 9; `None` to leave that to the engine.
    pub urgency: Option<u8>,
}

/// Why a replica did not run a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRun {
    /// Another replica uses the address now.
    Gone,
    /// The adapter is not loaded, or not in the expected version.
    NotLoaded,
    /// The replica is at capacity or draining.
    Full,
}

/// Classification of a replica's response by its status and headers, which decides whether
/// the response is forwarded to the caller or the request is retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaReply {
    /// The replica's response to this request.
    Answer,
    /// The replica's response to this request, reporting that the replica failed.
    Failed,
    /// The replica has not run the request and will not.
    NotRun(NotRun),
    /// The response to another request, or one that must not be forwarded; holds the
    /// reason.
    Invalid(&'static str),
}

impl ReplicaReply {
    /// Returns whether only the replica that the request was meant for responds so. One that
    /// uses its address now refuses the request as not loaded as well.
    ///
    /// ```
    /// use banyangauge::serving::{NotRun, ReplicaReply};
    /// assert!(ReplicaReply::NotRun(NotRun::Full).is_of_replica());
    /// assert!(!ReplicaReply::NotRun(NotRun::NotLoaded).is_of_replica());
    /// ```
    pub fn is_of_replica(self) -> bool {
        matches!(
            self,
            Self::Answer | Self::Failed | Self::NotRun(NotRun::Full)
        )
    }
}

/// What a replica states about itself on a response, regardless of what the response says
/// about the request.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaStatement {
    /// Requests per second that it accepts from all VMs together; `None` if it states no
    /// limit. An error leaves what was known unchanged.
    pub rate_limit: Result<Option<f64>, BadRecord>,
    /// How long it wants nothing more from this VM; `None` unless it turned the call away.
    pub rest: Result<Option<Duration>, BadRecord>,
    /// Whether it is about to stop.
    pub leaving: Result<bool, BadRecord>,
}

/// An order to a replica to load or unload an adapter or a model.
#[derive(Clone, Copy, Debug)]
pub struct Order<'a> {
    /// True for a load, false for an unload.
    pub load: bool,
    /// The adapter or model.
    pub target: &'a Target,
    /// The version to load; the newest if `None`.
    pub version: Option<u32>,
    /// Number of orders that the replica is expected to have accepted before this one.
    pub expected: u64,
    /// The VM that sends the order.
    pub vm: &'a VmName,
    /// Fencing token of that VM's ownership of the replica.
    pub token: FencingToken,
    /// The replica that must execute the order.
    pub replica: &'a ReplicaName,
}

/// Functions that parse and encode a platform's formats.
///
/// None of them blocks, retries or makes decisions.
#[derive(Clone, Copy)]
pub struct Codec {
    /// Names of the object kinds.
    pub kinds: ObjectKinds,
    /// Path of the load balancer's readiness check.
    pub ready_path: &'static str,
    /// Parses the headers of a caller's request.
    pub parse_request: fn(&HeaderMap) -> RequestInfo,
    /// Removes the headers that callers must not set, and sets them for the replica.
    pub set_headers: fn(&mut HeaderMap, &ForwardHeaders<'_>),
    /// Classifies a response by its status and headers, given the request ID and the
    /// replica that were addressed.
    pub classify_response: fn(StatusCode, &HeaderMap, &str, &ReplicaName) -> ReplicaReply,
    /// Parses what a replica states about itself on a response, given the request ID, if the
    /// call was a caller's request, and the replica that was addressed. Returns `None` for a
    /// response that does not prove to be that replica's.
    pub parse_statement:
        fn(StatusCode, &HeaderMap, Option<&str>, &ReplicaName) -> Option<ReplicaStatement>,
    /// Parses a configuration.
    pub parse_config: fn(&Item) -> Result<Config, BadRecord>,
    /// Parses a replica's record.
    pub parse_replica: fn(&Item) -> Result<ReplicaInfo, BadRecord>,
    /// Parses an announced adapter version.
    pub parse_version: fn(&Item) -> Result<AnnouncedVersion, BadRecord>,
    /// Encodes an order as a request to its replica.
    pub encode_order: fn(&Order<'_>) -> Result<Request<BodyChunks>, BadRecord>,
    /// Maps the status of the response to an order to its outcome.
    pub parse_order_outcome: fn(StatusCode) -> OrderOutcome,
    /// Encodes a request for the status report of the named replica.
    pub encode_report_request: fn(&ReplicaName) -> Result<Request<BodyChunks>, BadRecord>,
    /// Encodes a request that a replica answers by itself, without running anything, given the
    /// health path of its service.
    pub encode_health_request: fn(&str, &ReplicaName) -> Result<Request<BodyChunks>, BadRecord>,
    /// Returns whether a response to such a request, or to one for a status report, is that of the
    /// named replica, as opposed to another start at its address; `None` if it does not say.
    pub identify: fn(StatusCode, &HeaderMap, &ReplicaName) -> Option<bool>,
    /// Parses a replica's status report.
    pub parse_report: fn(&[u8]) -> Result<ReplicaReport, BadRecord>,
}
