//! Types of the request path: requests, routes, services, organisations, replicas.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use sha2::Digest;
use sha2::Sha256;

use crate::ids::AdapterName;
use crate::ids::BuildName;
use crate::ids::ModelName;
use crate::ids::OrganisationName;
use crate::ids::ReplicaName;
use crate::ids::ServiceName;
use crate::ids::ZoneName;

/// A base model, or an adapter of one, as a request names it.
///
/// ```
/// use banyangauge::serving::Target;
/// let t = Target::parse("base/rosters").unwrap();
/// assert_eq!(t.to_string(), "base/rosters");
/// assert!(Target::parse("base").unwrap().adapter.is_none());
/// ```
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Target {
    /// The base model.
    pub model: ModelName,
    /// The adapter; `None` for the base model itself.
    pub adapter: Option<AdapterName>,
}

impl Target {
    /// Parses `MODEL` or `MODEL/ADAPTER`.
    pub fn parse(text: &str) -> Option<Self> {
        let (model, adapter) = match text.split_once('/') {
            Some((model, adapter)) => (model, Some(AdapterName::new(adapter).ok()?)),
            None => (text, None),
        };
        let model = ModelName::new(model).ok()?;
        Some(Self { model, adapter })
    }
}

impl ModelName {
    /// Returns the target for the base model without an adapter.
    pub fn target(&self) -> Target {
        Target {
            model: self.clone(),
            adapter: None,
        }
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}/{adapter}", self.model),
            None => write!(f, "{}", self.model),
        }
    }
}

/// A prompt prefix that several requests have in common.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedPrefix {
    /// Hash that identifies the prefix.
    pub key: u64,
    /// Length of the prefix in tokens.
    pub tokens: u32,
}

/// The properties of a request that its caller states in headers.
#[derive(Clone, Debug, Default)]
pub struct RequestInfo {
    /// The caller's ID for this attempt; empty if it sent none.
    pub id: String,
    /// The model or adapter; `None` for a service without models.
    pub target: Option<Target>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// The prompt prefix that it has in common with other requests.
    pub shared_prefix: Option<SharedPrefix>,
    /// IDs of the parts of the prompt that other requests may share.
    pub prompt_parts: Vec<u64>,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// ID of the last event that the caller has received, when it resumes a stream.
    pub resume_after: Option<u64>,
    /// ID of the attempt whose response began the stream that it resumes, as the caller
    /// states it.
    pub resumes: Option<String>,
    /// Digest of the API key, if the request has a readable one.
    pub key: Option<KeyDigest>,
}

/// How the requests of a route may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// A request may run more than once.
    Safe,
    /// A request runs at most once.
    Unsafe,
    /// The response is an event stream; a request runs at most once, unless the stream is
    /// resumable.
    Stream,
}

/// A route: how requests for one host and path prefix are served.
#[derive(Clone, Debug)]
pub struct Route {
    /// The operator's name for the route.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// The path prefix; it ends with a slash.
    pub prefix: String,
    /// How requests may be retried.
    pub kind: RouteKind,
    /// Maximum time until the response is complete.
    pub timeout: Duration,
    /// Latency objective: time until the first byte of the response.
    pub objective: Duration,
    /// Maximum number of replicas that may run one request.
    pub max_attempts: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// The services and their traffic weights.
    pub services: Vec<(ServiceName, u32)>,
    /// Whether a broken stream may be resumed on another replica.
    pub resumable: bool,
    /// Longest gap between events that meets the route's objective.
    pub max_gap: Option<Duration>,
    /// Whether callers need no API key.
    pub public: bool,
}

/// How urgent a request is: lower ranks go first.
///
/// The priority of the organisation goes before that of the route.
///
/// ```
/// use banyangauge::serving::Rank;
/// let urgent_route = Rank { organisation: 1, route: 0 };
/// let urgent_organisation = Rank { organisation: 0, route: 2 };
/// assert!(urgent_organisation < urgent_route);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// Priority of the organisation; 0 is the most urgent, and the value without
    /// organisations.
    pub organisation: u32,
    /// Priority of the route; 0 is the most urgent.
    pub route: u32,
}

impl Rank {
    /// Routes of one organisation that are told apart on the wire.
    const ROUTES: u32 = 256;

    /// Returns the rank as a number in the same order, for messages to other VMs.
    pub fn to_wire(self) -> u32 {
        let organisation = self.organisation.min(u32::MAX / Self::ROUTES - 1);
        organisation * Self::ROUTES + self.route.min(Self::ROUTES - 1)
    }

    /// Returns the rank that [`Rank::to_wire`] encoded.
    pub fn from_wire(rank: u32) -> Self {
        Self {
            organisation: rank / Self::ROUTES,
            route: rank % Self::ROUTES,
        }
    }
}

impl Route {
    /// Returns whether a request may run more than once.
    pub fn idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Stream => self.resumable,
        }
    }
}

/// The inference engine of a service that serves models.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Maximum number of requests in a batch.
    pub slots: u32,
    /// Capacity of the KV cache in tokens.
    pub kv_tokens: u64,
    /// Number of adapters that a replica can have loaded.
    pub adapter_slots: u32,
    /// Tokens per event of a stream.
    pub event_tokens: u32,
    /// The base models, with the number of adapters of each.
    pub models: BTreeMap<ModelName, u32>,
    /// Loads per second that the weight store allows over all replicas.
    pub load_rate: f64,
}

/// A service as the operator configured it.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Maximum number of connections that one replica accepts.
    pub connections: u32,
    /// Path at which its replicas say whether they are healthy.
    pub health_path: Option<String>,
    /// Its inference engine; `None` for a service without models.
    pub engine: Option<Engine>,
}

/// Size and time limits for callers' requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of the request line and headers in bytes.
    pub header_bytes: usize,
    /// Maximum size of the body in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive the request line and headers.
    pub header_timeout: Duration,
    /// Maximum time that a connection may be idle between requests.
    pub idle_timeout: Duration,
}

/// SHA-256 digest of a caller's API key.
///
/// The keys themselves are not kept, so that none can get into a log line or an error.
///
/// ```
/// use banyangauge::serving::KeyDigest;
/// assert_eq!(KeyDigest::of(b"a key"), KeyDigest::of(b"a key"));
/// assert_eq!(format!("{:?}", KeyDigest::of(b"a key")), "KeyDigest(..)");
/// ```
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key. Only digests are compared, so the duration of a
    /// comparison reveals nothing about a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns the digest that [`KeyDigest::as_bytes`] returned; `None` for another length.
    pub fn from_bytes(digest: &[u8]) -> Option<Self> {
        digest.try_into().ok().map(Self)
    }

    /// Returns the 32 bytes of the digest, for messages to other VMs.
    ///
    /// ```
    /// use banyangauge::serving::KeyDigest;
    /// let digest = KeyDigest::of(b"a key");
    /// assert_eq!(KeyDigest::from_bytes(digest.as_bytes()), Some(digest));
    /// assert_eq!(KeyDigest::from_bytes(b"short"), None);
    /// ```
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// An organisation: a customer whose users and programs send requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationName,
    /// Digests of the API keys of its callers.
    pub keys: BTreeSet<KeyDigest>,
    /// Its rate limit over all VMs; `None` for no limit.
    pub limit: Option<RateLimit>,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u32,
}

/// An organisation's rate limit over all VMs: the parameters of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Refill per second, in units of `weight`.
    pub rate: f64,
    /// Capacity of the bucket, in units of `weight`.
    pub burst: f64,
    /// What a request is charged.
    pub weight: Weight,
}

impl Eq for RateLimit {}

/// What a request is charged against its organisation's rate limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Weight {
    /// One unit for each request.
    Request,
    /// The tokens of the prompt plus the maximum number of generated tokens.
    Tokens {
        /// Charged for a request that states neither number.
        default: u32,
    },
}

impl Weight {
    /// Returns the charge for a request.
    ///
    /// ```
    /// use banyangauge::serving::{RequestInfo, Weight};
    /// let request = RequestInfo { prompt_tokens: 90, max_tokens: 10, ..RequestInfo::default() };
    /// let tokens = Weight::Tokens { default: 7 };
    /// assert_eq!(tokens.of(&request), 100.0);
    /// assert_eq!(tokens.of(&RequestInfo::default()), 7.0);
    /// assert_eq!(Weight::Request.of(&request), 1.0);
    /// ```
    pub fn of(self, request: &RequestInfo) -> f64 {
        match self {
            Self::Request => 1.0,
            Self::Tokens { default } if request.prompt_tokens == 0 && request.max_tokens == 0 => {
                f64::from(default)
            }
            Self::Tokens { .. } => f64::from(request.prompt_tokens) + f64::from(request.max_tokens),
        }
    }
}

/// One version of the operator's configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// Version number; it only increases.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: BTreeMap<ServiceName, Service>,
    /// Limits for callers' requests.
    pub limits: Limits,
    /// The organisations whose callers are admitted; `None` if callers need no API keys.
    pub organisations: Option<Vec<Organisation>>,
}

/// One incarnation of a replica.
///
/// A replica may restart under the same name; it has then lost all that was loaded and
/// running before.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Instance {
    /// The name of the replica.
    pub name: ReplicaName,
    /// Start time in Unix milliseconds; 0 if replicas do not report it.
    pub started_ms: u64,
}

/// A replica as recorded in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaInfo {
    /// Its name; it may change with a restart.
    pub name: ReplicaName,
    /// Start time in Unix milliseconds; 0 if replicas do not report it.
    pub started_ms: u64,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The build of its software.
    pub build: BuildName,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is draining before it stops.
    pub draining: bool,
    /// The base models that are loaded.
    pub models: BTreeSet<ModelName>,
    /// The adapters that are loaded, with their versions.
    pub adapters: BTreeMap<Target, u32>,
}

impl ReplicaInfo {
    /// Returns the incarnation that the record is about.
    pub fn instance(&self) -> Instance {
        Instance {
            name: self.name.clone(),
            started_ms: self.started_ms,
        }
    }
}

/// A version of an adapter that the catalog has announced.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnnouncedVersion {
    /// The adapter.
    pub target: Target,
    /// The announced version.
    pub version: u32,
}
