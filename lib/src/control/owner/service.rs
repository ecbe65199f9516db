//! The gRPC service through which entries acquire grants.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use banyangauge_proto as wire;
use tokio::sync::mpsc;
use tokio_stream::Stream;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::Streaming;
use wire::entry_message::Body as EntryBody;
use wire::grants_server::Grants;
use wire::owner_message::Body as OwnerBody;
use xtra::Address;

use crate::control::Shared;
use crate::control::owner::Event;
use crate::control::owner::OwnerActor;
use crate::control::owner::Registry;
use crate::control::owner::SessionId;
use crate::control::owner::sessions::message;
use crate::ids::PoolName;

/// The maximum number of messages queued for one entry.
const OUTBOX_CAPACITY: usize = 4_096;

/// How long the owner waits for the first message of a stream.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

type Outbox = mpsc::Sender<Result<wire::OwnerMessage, Status>>;

/// Serves grants for the pools that this process owns.
#[derive(Clone)]
pub struct GrantsService {
    shared: Shared,
    registry: Arc<Registry>,
    next_session: Arc<AtomicU64>,
}

impl GrantsService {
    /// Creates a service for the owners in the registry.
    pub fn new(shared: Shared, registry: Arc<Registry>) -> Self {
        Self {
            shared,
            registry,
            next_session: Arc::new(AtomicU64::new(1)),
        }
    }

    // Returns the message that redirects an entry; its address is empty unless another
    // VM is known to own the pool.
    fn not_owner(&self, pool: &PoolName) -> wire::OwnerMessage {
        let owners = self.shared.state.owners.borrow();
        let other = owners.get(pool).filter(|o| o.vm != self.shared.vm);
        let address = other.map_or(String::new(), |o| o.address.to_string());
        message(OwnerBody::NotOwner(wire::NotOwner { address }))
    }
}

#[tonic::async_trait]
impl Grants for GrantsService {
    type SessionStream = Pin<Box<dyn Stream<Item = Result<wire::OwnerMessage, Status>> + Send>>;

    async fn session(
        &self,
        request: Request<Streaming<wire::EntryMessage>>,
    ) -> Result<Response<Self::SessionStream>, Status> {
        let (out, messages) = mpsc::channel(OUTBOX_CAPACITY);
        // An entry sends its hello only once the stream is open, so the response
        // head must not wait for the hello.
        tokio::spawn(run_session(self.clone(), request.into_inner(), out));
        Ok(Response::new(Box::pin(ReceiverStream::new(messages))))
    }
}

async fn run_session(
    service: GrantsService,
    mut messages: Streaming<wire::EntryMessage>,
    out: Outbox,
) {
    let (pool, hello) = match read_hello(&mut messages).await {
        Ok(first) => first,
        Err(status) => {
            // Fails if the entry has disconnected, which needs no handling.
            let _ = out.try_send(Err(status));
            return;
        }
    };
    let not_owner = service.not_owner(&pool);
    let Some(owner) = service.registry.get(&pool) else {
        let _ = out.try_send(Ok(not_owner));
        return;
    };
    let session = SessionId(service.next_session.fetch_add(1, Ordering::Relaxed));
    let open = Event::SessionOpened {
        session,
        hello,
        out: out.clone(),
    };
    if owner.send(open).detach().await.is_err() {
        let _ = out.try_send(Ok(not_owner));
        return;
    }
    forward(messages, owner, session, out, not_owner).await;
}

async fn read_hello(
    messages: &mut Streaming<wire::EntryMessage>,
) -> Result<(PoolName, wire::Hello), Status> {
    let first = tokio::time::timeout(HELLO_TIMEOUT, messages.message())
        .await
        .map_err(|_| Status::deadline_exceeded("no hello within 5 s"))??;
    match first.and_then(|m| m.body) {
        Some(EntryBody::Hello(hello)) => {
            let pool =
                PoolName::new(&hello.pool).map_err(|e| Status::invalid_argument(e.to_string()))?;
            Ok((pool, hello))
        }
        _ => Err(Status::invalid_argument(
            "the first message must be a hello",
        )),
    }
}

// Forwards the entry's messages until the entry or the owner ends.
async fn forward(
    mut messages: Streaming<wire::EntryMessage>,
    owner: Address<OwnerActor>,
    session: SessionId,
    out: Outbox,
    not_owner: wire::OwnerMessage,
) {
    while let Ok(Some(m)) = messages.message().await {
        let Some(body) = m.body else { continue };
        if owner
            .send(Event::EntryMessage { session, body })
            .detach()
            .await
            .is_err()
        {
            let _ = out.try_send(Ok(not_owner));
            return;
        }
    }
    let _ = owner.send(Event::SessionClosed(session)).detach().await;
}
