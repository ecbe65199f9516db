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

/// Upper bound on connecting; a VM that has been removed never answers.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Upper bound on a call; a confirmation may need several attempts when the
/// platform is slow.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Value of `Member.state` for a VM that has left.
const STATE_GONE: u32 = 3;

/// Why a call failed; each variant maps to an exit code of `banyan`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClientError {
    /// The system rejected the call: a rule forbids it, or the operator's key is
    /// not valid.
    Refused(String),
    /// The input is malformed or too large.
    InvalidInput(String),
    /// No control process answered, the platform was unreachable, or the outcome
    /// is unknown.
    Unreachable(String),
    /// Another operator's change was applied first.
    Conflict(String),
}

impl ClientError {
    /// Returns the exit code of `banyan` for this error.
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
            // tonic reports a message above the size limit as `OutOfRange`.
            Code::InvalidArgument | Code::OutOfRange => Self::InvalidInput(text),
            Code::FailedPrecondition | Code::Unauthenticated | Code::PermissionDenied => {
                Self::Refused(text)
            }
            _ => Self::Unreachable(text),
        }
    }
}

/// The merged timeline of several processes.
#[derive(Clone, Debug)]
pub struct MergedTimeline {
    /// The events in the order of the hybrid logical clock.
    pub events: Vec<TimelineEvent>,
    /// Number of older events that the processes' buffers have evicted.
    pub dropped: u64,
    /// Processes that did not answer, with the error.
    pub unreachable: Vec<(SocketAddr, ClientError)>,
}

/// A client that calls the first of several control processes to answer.
#[derive(Clone, Debug)]
pub struct Client {
    addresses: Vec<SocketAddr>,
    /// Value of the `authorization` header.
    bearer: AsciiMetadataValue,
    link: Link,
}

type Stub = OperatorClient<Channel>;

impl Client {
    /// Returns a client that tries `addresses` in order and authenticates with
    /// `key`, over plain TCP.
    ///
    /// # Errors
    ///
    /// When the key contains characters that a header value cannot.
    pub fn new(addresses: &[SocketAddr], key: &str) -> Result<Self, ClientError> {
        let bearer = format!("Bearer {key}").parse().map_err(|_| {
            ClientError::InvalidInput(
                "the key contains characters that are not allowed in a header".to_owned(),
            )
        })?;
        Ok(Self {
            addresses: addresses.to_vec(),
            bearer,
            link: Link::plain(),
        })
    }

    /// Sets the link over which the client connects.
    #[must_use]
    pub fn with_link(mut self, link: Link) -> Self {
        self.link = link;
        self
    }

    async fn connect(&self, address: SocketAddr) -> Result<Channel, ClientError> {
        let channel = self.link.connect(address, CONNECT_TIMEOUT).await;
        channel.map_err(|e| ClientError::Unreachable(e.to_string()))
    }

    /// Computes the plan of an intent without applying it.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
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

    /// Applies a plan and returns its revision. Confirming is idempotent, also
    /// across control processes.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn confirm(&self, plan: &Plan) -> Result<u64, ClientError> {
        // Confirming does not need the effects; without them the message is half
        // the size.
        let request_plan = Plan {
            effects: Vec::new(),
            ..plan.clone()
        };
        let body = serde_json::to_vec(&request_plan)
            .map_err(|e| ClientError::InvalidInput(e.to_string()))?;
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

    /// Returns the status as seen by one control process.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn status(&self) -> Result<wire::StatusReply, ClientError> {
        let message = wire::StatusRequest::default();
        self.call(&message, async |mut s, r| s.status(r).await)
            .await
    }

    /// Returns the active catalog. A `filter` that is not empty limits the
    /// adapters to those of that name, team or pool.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn adapters(&self, filter: &str) -> Result<Catalog, ClientError> {
        let message = wire::StatusRequest {
            filter: filter.to_owned(),
        };
        let reply = self
            .call(&message, async |mut s, r| s.adapters(r).await)
            .await?;
        serde_json::from_slice(&reply.catalog).map_err(|e| malformed(&e))
    }

    /// Returns usage by team and adapter version.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn usage(&self, filter: &str) -> Result<Vec<wire::UsageCount>, ClientError> {
        let message = wire::StatusRequest {
            filter: filter.to_owned(),
        };
        let reply = self
            .call(&message, async |mut s, r| s.usage(r).await)
            .await?;
        Ok(reply.counts)
    }

    /// Returns the state of the pools, each as reported by the VM that owns it.
    /// VMs that do not answer are skipped.
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
            let member_client = Self {
                addresses: vec![address],
                bearer: self.bearer.clone(),
                link: self.link.clone(),
            };
            if let Ok(status) = member_client.status().await {
                pools.extend(status.pools);
            }
        }
        // During a change of owner two VMs may report the same pool: keep the
        // report with the higher fencing token.
        pools.sort_by(|a, b| (&a.pool, b.token).cmp(&(&b.pool, a.token)));
        pools.dedup_by(|a, b| a.pool == b.pool);
        Ok(pools)
    }

    /// Returns the control processes of all VMs that have not left, as seen by
    /// one of them.
    ///
    /// # Errors
    ///
    /// When no control process answers.
    pub async fn members(&self) -> Result<Vec<SocketAddr>, ClientError> {
        let status = self.status().await?;
        let present = status.members.iter().filter(|m| m.state != STATE_GONE);
        let mut all: BTreeSet<_> = present.filter_map(|m| m.address.parse().ok()).collect();
        if all.is_empty() {
            all.extend(&self.addresses);
        }
        Ok(all.into_iter().collect())
    }

    /// Returns the events of several processes as one timeline. Processes that do
    /// not answer are listed in [`MergedTimeline::unreachable`].
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

    /// Returns the events of one entry or control process.
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

    /// Calls each process in turn until one answers. A rejection is final; after
    /// an unreachable platform or a lost response the next process is tried,
    /// which is safe because every call is idempotent.
    async fn call<Q, A, F>(&self, message: &Q, run: F) -> Result<A, ClientError>
    where
        Q: Clone,
        F: AsyncFn(Stub, Request<Q>) -> Result<tonic::Response<A>, Status>,
    {
        let mut last = ClientError::Unreachable("no control process is configured".to_owned());
        for address in &self.addresses {
            let result = match self.connect(*address).await {
                Ok(channel) => {
                    let stub =
                        OperatorClient::new(channel).max_decoding_message_size(MAX_SNAPSHOT_BYTES);
                    let reply = run(stub, self.request(message)).await;
                    reply.map_err(ClientError::from)
                }
                Err(e) => Err(e),
            };
            match result {
                Ok(response) => return Ok(response.into_inner()),
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
    ClientError::Unreachable(format!("the response is malformed: {error}"))
}
