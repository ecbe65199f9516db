//! Streams the catalog, pool owners and blocked requests to entry processes.

use std::pin::Pin;

use banyangauge_proto as wire;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_stream::Stream;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use wire::feed_message::Body;

use super::Shared;
use super::config;
use super::uptime_ms;
use crate::ids::Revision;

/// Buffered messages per entry. Messages are built when the buffer has room, so
/// a slow entry receives fewer and newer ones.
const BUFFERED_MESSAGES: usize = 4;

/// The gRPC service `Feed`.
#[derive(Clone)]
pub struct FeedService {
    shared: Shared,
}

impl FeedService {
    /// Creates a service that streams `shared.state` and records usage reports
    /// in it.
    pub const fn new(shared: Shared) -> Self {
        Self { shared }
    }
}

type Messages = mpsc::Sender<Result<wire::FeedMessage, Status>>;

#[tonic::async_trait]
impl wire::feed_server::Feed for FeedService {
    type SubscribeStream =
        Pin<Box<dyn Stream<Item = Result<wire::FeedMessage, Status>> + Send + 'static>>;

    async fn subscribe(
        &self,
        request: Request<wire::FeedRequest>,
    ) -> Result<Response<Self::SubscribeStream>, Status> {
        let (to, from) = mpsc::channel(BUFFERED_MESSAGES);
        let from_revision = Revision(request.into_inner().revision);
        tokio::spawn(feed(self.shared.clone(), from_revision, to));
        Ok(Response::new(Box::pin(ReceiverStream::new(from))))
    }

    async fn report_usage(
        &self,
        request: Request<wire::UsageReport>,
    ) -> Result<Response<wire::UsageReply>, Status> {
        let reply = self.shared.state.usage.record(request.into_inner());
        let reply = reply.ok_or_else(|| Status::unavailable("stopping"))?;
        Ok(Response::new(reply))
    }
}

/// Streams changes until the entry disconnects or the process stops.
async fn feed(shared: Shared, from: Revision, to: Messages) {
    let state = &shared.state;
    let mut catalog = state.catalog.subscribe();
    let mut owners = state.owners.subscribe();
    let mut verdicts = state.blocked.subscribe();
    let mut stopping = state.stopping.subscribe();
    // Send all three values first.
    catalog.mark_changed();
    owners.mark_changed();
    verdicts.mark_changed();
    let mut sent = from;
    loop {
        let open = tokio::select! {
            biased;
            () = to.closed() => false,
            () = stopped(&mut stopping) => false,
            Ok(()) = catalog.changed() => {
                send_catalog(&shared, &mut sent, &to).await
            }
            Ok(()) = owners.changed() => send(&to, owners_body(&shared)).await,
            Ok(()) = verdicts.changed() => send(&to, verdicts_body(&shared)).await,
            else => false,
        };
        if !open {
            return;
        }
    }
}

async fn stopped(stopping: &mut watch::Receiver<bool>) {
    // A dropped sender counts as stopped.
    let _ = stopping.wait_for(|s| *s).await;
}

async fn send(to: &Messages, body: Body) -> bool {
    to.send(Ok(wire::FeedMessage { body: Some(body) }))
        .await
        .is_ok()
}

/// Sends the deltas since `sent`, or a snapshot if the history does not reach
/// back that far.
async fn send_catalog(shared: &Shared, sent: &mut Revision, to: &Messages) -> bool {
    let catalog = shared.state.catalog.borrow().clone();
    if catalog.revision <= *sent {
        return true;
    }
    let Some(deltas) = shared.state.history.since(*sent).filter(|d| !d.is_empty()) else {
        *sent = catalog.revision;
        return send(to, Body::Snapshot(config::snapshot(&catalog))).await;
    };
    for delta in deltas {
        *sent = Revision(delta.revision);
        if !send(to, Body::Delta(delta)).await {
            return false;
        }
    }
    true
}

fn owners_body(shared: &Shared) -> Body {
    let owners = shared.state.owners.borrow();
    let owners = owners.iter().map(|(pool, owner)| wire::Owner {
        pool: pool.to_string(),
        vm: owner.vm.to_string(),
        address: owner.address.to_string(),
        token: owner.token.0,
    });
    Body::Owners(wire::Owners {
        owners: owners.collect(),
    })
}

fn verdicts_body(shared: &Shared) -> Body {
    let now = uptime_ms();
    let verdicts = shared.state.blocked.borrow();
    let active = verdicts.iter().filter(|(_, end)| **end > now);
    let verdicts = active.map(|(fingerprint, end)| wire::Verdict {
        fingerprint: fingerprint.0,
        left_ms: end - now,
    });
    Body::Verdicts(wire::Verdicts {
        verdicts: verdicts.collect(),
    })
}
