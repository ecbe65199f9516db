//! A client of the control processes' operator service.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use banyangauge_proto as wire;
use tonic::Code;
use tonic::Request;
use tonic::Status;
use tonic::metadata::AsciiMetadataValue;
use tonic::transport::Channel;
use wire::operator_client::OperatorClient;
use wire::timeline_client::TimelineClient;

use super::TimelineEvent;
use super::merge;
use crate::catalog::Catalog;
use crate::catalog::Intent;
use crate::catalog::MAX_SNAPSHOT_BYTES;
use crate::catalog::Plan;
use crate::link::Link;

/// The longest that connecting may take; a VM that is gone does not answer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest that a call may take: a confirmation may need several tries at
/// a slow platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// `Member.state` of a VM that is gone.
const GONE: u32 = 3;

/// Why a call failed; each has an exit code of `banyan`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClientError {
    /// The system refused, by its rules or for the operator's key.
    Refused(String),
    /// What was sent is not of the published form.
    InvalidInput(String),
    /// No control process or no platform answered, or the outcome is open.
    Unreachable(String),
    /// Another operator's change came first.
    Conflict(String),
}

impl ClientError {
    /// The exit code.
    ///
    /// ```
    /// use banyangauge::operator::ClientError;
    /// assert_eq!(ClientError::Conflict(String::new()).exit_code(), 4);
    /// ```
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(_) => 1,
            Self::InvalidInput(_) => 2,
            Self::Unreachable(_) => 3,
            Self::Conflict(_) => 4,
        }
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(e) | Self::InvalidInput(e) | Self::Unreachable(e) | Self::Conflict(e) => {
                f.write_str(e)
            }
        }
    }
}

impl std::error::Error for ClientError {}

impl From<Status> for ClientError {
    fn from(status: Status) -> Self {
        let text = status.message().to_owned();
        match status.code() {
            Code::Aborted => Self::Conflict(text),
            // Out of range: the message is larger than the process accepts.
            Code::InvalidArgument | Code::OutOfRange => Self::InvalidInput(text),
            Code::FailedPrecondition | Code::Unauthenticated | Code::PermissionDenied => {
                Self::Refused(text)
            }
            _ => Self::Unreachable(text),
        }
    }
}

/// A merged time line.
#[derive(Clone, Debug)]
pub struct MergedTimeline {
    /// The events in order.
    pub events: Vec<TimelineEvent>,
    /// Events that the processes' rings had dropped.
    pub dropped: u64,
    /// Processes that did not answer, and why.
    pub unreachable: Vec<(SocketAddr, ClientError)>,
}

/// Calls one of several control processes, the first that answers.
#[derive(Clone, Debug)]
pub struct Client {
    addresses: Vec<SocketAddr>,
    bearer: AsciiMetadataValue,
    link: Link,
}

type Stub = OperatorClient<Channel>;

impl Client {
    /// A client that tries `addresses` in order and shows `key`.
    ///
    /// # Errors
    ///
    /// When the key cannot stand in a header.
    pub fn new(addresses: &[SocketAddr], key: &str) -> Result<Self, ClientError> {
        let bearer = format!("Bearer {key}").parse().map_err(|_| {
            ClientError::InvalidInput("the key holds characters not allowed".to_owned())
        })?;
        Ok(Self {
            addresses: addresses.to_vec(),
            bearer,
            link: Link::plain(),
        })
    }

    /// The same client, by way of `link`.
    #[must_use]
    pub fn with_link(mut self, link: Link) -> Self {
        self.link = link;
        self
    }

    async fn connect(&self, address: SocketAddr) -> Result<Channel, ClientError> {
        let channel = self.link.connect(address, CONNECT_TIMEOUT).await;
        channel.map_err(|e| ClientError::Unreachable(e.to_string()))
    }

    /// Makes a plan of an intent; nothing takes effect.
    ///
    /// # Errors
    ///
    /// As for each call: see [`ClientError`].
    pub async fn plan(&self, intent: &Intent) -> Result<Plan, ClientError> {
        let body =
            serde_json::to_vec(intent).map_err(|e| ClientError::InvalidInput(e.to_string()))?;
        let message = wire::PlanRequest {
            operator: String::new(),
            intent: body.into(),
        };
        let reply = self
            .call(&message, async |mut s, r| s.plan(r).await)
            .await?;
        serde_json::from_slice(&reply.plan).map_err(|e| malformed(&e))
    }

    /// Puts a plan in force; gives its revision. Confirming it again, also at
    /// another control process, is the same as once.
    ///
    /// # Errors
    ///
    /// As for each call: see [`ClientError`].
    pub async fn confirm(&self, plan: &Plan) -> Result<u64, ClientError> {
        // The effects are for the reader; without them the message is half as
        // large.
        let bare = Plan {
            effects: Vec::new(),
            ..plan.clone()
        };
        let body =
            serde_json::to_vec(&bare).map_err(|e| ClientError::InvalidInput(e.to_string()))?;
        let message = wire::ConfirmRequest {
            operator: String::new(),
            operation: plan.operation.clone(),
            plan: body.into(),
        };
        let reply = self
            .call(&message, async |mut s, r| s.confirm(r).await)
            .await?;
        Ok(reply.revision)
    }

    /// What one control process sees.
    ///
    /// # Errors
    ///
    /// As for each call: see [`ClientError`].
    pub async fn status(&self) -> Result<wire::StatusReply, ClientError> {
        let message = wire::StatusRequest::default();
        self.call(&message, async |mut s, r| s.status(r).await)
            .await
    }

    /// The catalog in force, only the adapters that `filter` names when it is
    /// not empty.
    ///
    /// # Errors
    ///
    /// As for each call: see [`ClientError`].
    pub async fn adapters(&self, filter: &str) -> Result<Catalog, ClientError> {
        let message = wire::StatusRequest {
            filter: filter.to_owned(),
        };
        let reply = self
            .call(&message, async |mut s, r| s.adapters(r).await)
            .await?;
        serde_json::from_slice(&reply.catalog).map_err(|e| malformed(&e))
    }

    /// Usage by team and adapter version.
    ///
    /// # Errors
    ///
    /// As for each call: see [`ClientError`].
    pub async fn usage(&self, filter: &str) -> Result<Vec<wire::UsageCount>, ClientError> {
        let message = wire::StatusRequest {
            filter: filter.to_owned(),
        };
        let reply = self
            .call(&message, async |mut s, r| s.usage(r).await)
            .await?;
        Ok(reply.counts)
    }

    /// The state of the pools, each from the VM that owns it. VMs that do not
    /// answer are passed over.
    ///
    /// # Errors
    ///
    /// When no control process answers.
    pub async fn pools(&self) -> Result<Vec<wire::PoolStatus>, ClientError> {
        let first = self.status().await?;
        let mut pools = first.pools;
        for member in first.members.iter().filter(|m| m.vm != first.vm) {
            let Ok(address) = member.address.parse() else {
                continue;
            };
            let one = Self {
                addresses: vec![address],
                bearer: self.bearer.clone(),
                link: self.link.clone(),
            };
            if let Ok(status) = one.status().await {
                pools.extend(status.pools);
            }
        }
        // Around a change of owner two VMs may tell of a pool.
        pools.sort_by(|a, b| (&a.pool, b.token).cmp(&(&b.pool, a.token)));
        pools.dedup_by(|a, b| a.pool == b.pool);
        Ok(pools)
    }

    /// The control processes of all VMs that are not gone, as one of them sees
    /// them.
    ///
    /// # Errors
    ///
    /// When no control process answers.
    pub async fn members(&self) -> Result<Vec<SocketAddr>, ClientError> {
        let status = self.status().await?;
        let here = status.members.iter().filter(|m| m.state != GONE);
        let mut all: BTreeSet<_> = here.filter_map(|m| m.address.parse().ok()).collect();
        if all.is_empty() {
            all.extend(&self.addresses);
        }
        Ok(all.into_iter().collect())
    }

    /// The rings of several processes as one time line; a process that does
    /// not answer leaves a gap, which is told.
    ///
    /// # Errors
    ///
    /// When none of them answers.
    pub async fn timelines(
        &self,
        processes: &[SocketAddr],
        filter: &wire::TimelineRequest,
    ) -> Result<MergedTimeline, ClientError> {
        let mut replies = Vec::new();
        let mut unreachable = Vec::new();
        for process in processes {
            match self.timeline(*process, filter).await {
                Ok(reply) => replies.push(reply),
                Err(e) => unreachable.push((*process, e)),
            }
        }
        if let (true, Some((_, e))) = (replies.is_empty(), unreachable.first()) {
            return Err(e.clone());
        }
        Ok(MergedTimeline {
            dropped: replies.iter().map(|r| r.dropped).sum(),
            events: merge(replies),
            unreachable,
        })
    }

    /// The ring of one process, entry or control.
    ///
    /// # Errors
    ///
    /// When the process does not answer.
    async fn timeline(
        &self,
        process: SocketAddr,
        filter: &wire::TimelineRequest,
    ) -> Result<wire::TimelineReply, ClientError> {
        let channel = self.connect(process).await?;
        let mut stub = TimelineClient::new(channel).max_decoding_message_size(MAX_SNAPSHOT_BYTES);
        let request = self.request(filter);
        Ok(stub.read(request).await?.into_inner())
    }

    fn request<T: Clone>(&self, message: &T) -> Request<T> {
        let mut request = Request::new(message.clone());
        request.set_timeout(CALL_TIMEOUT);
        request
            .metadata_mut()
            .insert("authorization", self.bearer.clone());
        request
    }

    /// Calls each process in turn until one answers. An answer that refuses
    /// ends it; one that could not reach the platform, or lost it, does not:
    /// every call may be repeated.
    async fn call<Q, A, F>(&self, message: &Q, run: F) -> Result<A, ClientError>
    where
        Q: Clone,
        F: AsyncFn(Stub, Request<Q>) -> Result<tonic::Response<A>, Status>,
    {
        let mut last = ClientError::Unreachable("no control process is named".to_owned());
        for address in &self.addresses {
            let result = match self.connect(*address).await {
                Ok(channel) => {
                    let stub =
                        OperatorClient::new(channel).max_decoding_message_size(MAX_SNAPSHOT_BYTES);
                    let end = run(stub, self.request(message)).await;
                    end.map_err(ClientError::from)
                }
                Err(e) => Err(e),
            };
            match result {
                Ok(answer) => return Ok(answer.into_inner()),
                Err(ClientError::Unreachable(e)) => {
                    last = ClientError::Unreachable(format!("{address}: {e}"));
                }
                Err(e) => return Err(e),
            }
        }
        Err(last)
    }
}

fn malformed(error: &serde_json::Error) -> ClientError {
    ClientError::Unreachable(format!("the answer is malformed: {error}"))
}
