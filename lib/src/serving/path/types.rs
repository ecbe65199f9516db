//! What the request path speaks of: requests, routes, services, replicas.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use sha2::Digest;
use sha2::Sha256;

use crate::ids::AdapterName;
use crate::ids::ModelName;
use crate::ids::OrganisationName;
use crate::ids::ReplicaName;
use crate::ids::ServiceName;
use crate::ids::ZoneName;

/// A base model, or an adapter on it: what a request names.
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
    /// The adapter, if one is named.
    pub adapter: Option<AdapterName>,
}

impl Target {
    /// Reads `MODEL` or `MODEL/ADAPTER`.
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
    /// The model itself, without an adapter.
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

/// The beginning of a prompt that other requests have as well.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedPrefix {
    /// Tells it from others.
    pub key: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// What a caller's request says of itself.
#[derive(Clone, Debug, Default)]
pub struct RequestInfo {
    /// The caller's id of this attempt; empty if it sent none.
    pub id: String,
    /// The model or adapter; `None` for a plain service.
    pub target: Option<Target>,
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// The most tokens that it may generate.
    pub max_tokens: u32,
    /// The beginning of the prompt that it shares with others.
    pub shared: Option<SharedPrefix>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The last event that the caller has already.
    pub resume_after: Option<u64>,
    /// The key that it bears, if it bears one that can be read.
    pub key: Option<KeyDigest>,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// It may run more than once.
    Safe,
    /// It runs at most once.
    Unsafe,
    /// A stream of events; it runs at most once, unless it may be resumed.
    Stream,
}

/// Where requests of one host and path go.
#[derive(Clone, Debug)]
pub struct Route {
    /// The operator's name for it.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// How the path begins; it ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time until the final answer.
    pub timeout: Duration,
    /// The latency objective.
    pub objective: Duration,
    /// Replicas that may run one request.
    pub max_attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// The services and their weights.
    pub services: Vec<(ServiceName, u32)>,
    /// Whether a stream may go on at another replica.
    pub resumable: bool,
    /// The longest pause between events that is in time.
    pub max_gap: Option<Duration>,
    /// Whether callers need no key.
    pub public: bool,
}

impl Route {
    /// Whether a request may run more than once.
    pub fn idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Stream => self.resumable,
        }
    }
}

/// The engine of a service that serves models.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Requests in a batch.
    pub slots: u32,
    /// Tokens that the KV memory holds.
    pub kv_tokens: u64,
    /// Adapters that a replica holds.
    pub adapter_slots: u32,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
    /// The models, with the number of their adapters.
    pub models: BTreeMap<ModelName, u32>,
    /// Loads of weights a second that the weight store allows, over all
    /// replicas.
    pub load_rate: f64,
}

/// A service as the operator configured it.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one replica accepts from all callers.
    pub connections: u32,
    /// Its engine; `None` for a plain application.
    pub engine: Option<Engine>,
}

/// What a caller may send, and how slowly.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of its body.
    pub body_bytes: usize,
    /// Time for the head to come.
    pub header_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// What stands for a caller's key: keys themselves are kept nowhere, so that
/// none can get into a log line or an error.
///
/// ```
/// use banyangauge::serving::KeyDigest;
/// assert_eq!(KeyDigest::of(b"a key"), KeyDigest::of(b"a key"));
/// assert_eq!(format!("{:?}", KeyDigest::of(b"a key")), "KeyDigest(..)");
/// ```
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key. Only digests are compared, so the time that a
    /// comparison takes tells nothing of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// A customer whose people and programs call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationName,
    /// The keys that its callers bear.
    pub keys: BTreeSet<KeyDigest>,
    /// What it may use; `None` for any amount.
    pub limit: Option<RateLimit>,
}

/// How much an organisation may use, over all VMs: a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// What flows into the bucket a second.
    pub rate: f64,
    /// What the bucket holds.
    pub burst: f64,
    /// What a request takes out.
    pub weight: Weight,
}

impl Eq for RateLimit {}

/// What a request takes out of its organisation's bucket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Weight {
    /// One.
    Request,
    /// The tokens of its prompt and the most that it may generate; so many
    /// where it names none.
    Tokens {
        /// For a request that names no tokens.
        default: u32,
    },
}

impl Weight {
    /// What this request takes.
    ///
    /// ```
    /// use banyangauge::serving::{RequestInfo, Weight};
    /// let ask = RequestInfo { prompt_tokens: 90, max_tokens: 10, ..RequestInfo::default() };
    /// let tokens = Weight::Tokens { default: 7 };
    /// assert_eq!(tokens.of(&ask), 100.0);
    /// assert_eq!(tokens.of(&RequestInfo::default()), 7.0);
    /// assert_eq!(Weight::Request.of(&ask), 1.0);
    /// ```
    pub fn of(self, ask: &RequestInfo) -> f64 {
        match self {
            Self::Request => 1.0,
            Self::Tokens { default: plain } if ask.prompt_tokens == 0 && ask.max_tokens == 0 => {
                f64::from(plain)
            }
            Self::Tokens { .. } => f64::from(ask.prompt_tokens) + f64::from(ask.max_tokens),
        }
    }
}

/// All that the operator configured, at one version.
#[derive(Clone, Debug)]
pub struct Config {
    /// It only rises.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: BTreeMap<ServiceName, Service>,
    /// What callers may send.
    pub limits: Limits,
    /// Who may call; `None` where callers need no keys.
    pub organisations: Option<Vec<Organisation>>,
}

/// One start of a replica: a replica may start again under its name, and then
/// holds and knows nothing of before.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Instance {
    /// The name of the replica.
    pub name: ReplicaName,
    /// When it started, in Unix milliseconds; 0 where replicas do not say.
    pub started_ms: u64,
}

/// A replica as it is listed in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaInfo {
    /// Its name; a restarted replica may have another.
    pub name: ReplicaName,
    /// When it started, in Unix milliseconds; 0 where replicas do not say.
    pub started_ms: u64,
    /// What it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// The base models that it holds.
    pub models: BTreeSet<ModelName>,
    /// The adapters that it holds, with their versions.
    pub adapters: BTreeMap<Target, u32>,
}

/// An adapter and a version of it that was announced.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnnouncedVersion {
    /// The adapter.
    pub target: Target,
    /// Its version.
    pub version: u32,
}
