//! The gRPC side of grants.

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
use wire::entry_message::Body as Said;
use wire::grants_server::Grants;
use wire::owner_message::Body as Answer;
use xtra::Address;

use crate::control::Shared;
use crate::control::owner::Event;
use crate::control::owner::OwnerActor;
use crate::control::owner::Registry;
use crate::control::owner::SessionId;
use crate::control::owner::sessions::message;
use crate::ids::PoolName;

/// Answers that may wait for one entry to read them.
const OUTBOX: usize = 4_096;

/// The longest that the first message of a stream may take.
const HELLO: Duration = Duration::from_secs(5);

type Out = mpsc::Sender<Result<wire::OwnerMessage, Status>>;

/// Serves grants for the pools that are owned here.
#[derive(Clone)]
pub struct GrantsService {
    shared: Shared,
    registry: Arc<Registry>,
    sessions: Arc<AtomicU64>,
}

impl GrantsService {
    /// A service over the owners in the registry.
    pub fn new(shared: Shared, registry: Arc<Registry>) -> Self {
        Self {
            shared,
            registry,
            sessions: Arc::new(AtomicU64::new(1)),
        }
    }

    fn not_owner(&self, pool: &PoolName) -> wire::OwnerMessage {
        let owners = self.shared.board.owners.borrow();
        let other = owners.get(pool).filter(|o| o.vm != self.shared.vm);
        let address = other.map_or(String::new(), |o| o.address.to_string());
        message(Answer::NotOwner(wire::NotOwner { address }))
    }
}

#[tonic::async_trait]
impl Grants for GrantsService {
    type SessionStream = Pin<Box<dyn Stream<Item = Result<wire::OwnerMessage, Status>> + Send>>;

    async fn session(
        &self,
        request: Request<Streaming<wire::EntryMessage>>,
    ) -> Result<Response<Self::SessionStream>, Status> {
        let (out, answers) = mpsc::channel(OUTBOX);
        // An entry says hello only once the stream is open, so the answer's
        // head must not wait for it.
        tokio::spawn(converse(self.clone(), request.into_inner(), out));
        Ok(Response::new(Box::pin(ReceiverStream::new(answers))))
    }
}

async fn converse(service: GrantsService, mut said: Streaming<wire::EntryMessage>, out: Out) {
    let (pool, hello) = match read_hello(&mut said).await {
        Ok(first) => first,
        Err(status) => {
            // The entry may be gone; nobody else waits for this.
            let _ = out.try_send(Err(status));
            return;
        }
    };
    let last = service.not_owner(&pool);
    let Some(owner) = service.registry.get(&pool) else {
        let _ = out.try_send(Ok(last));
        return;
    };
    let session = SessionId(service.sessions.fetch_add(1, Ordering::Relaxed));
    let open = Event::SessionOpened {
        session,
        hello,
        out: out.clone(),
    };
    if owner.send(open).detach().await.is_err() {
        let _ = out.try_send(Ok(last));
        return;
    }
    listen(said, owner, session, out, last).await;
}

async fn read_hello(
    said: &mut Streaming<wire::EntryMessage>,
) -> Result<(PoolName, wire::Hello), Status> {
    let first = tokio::time::timeout(HELLO, said.message())
        .await
        .map_err(|_| Status::deadline_exceeded("no hello"))??;
    match first.and_then(|m| m.body) {
        Some(Said::Hello(hello)) => {
            let pool =
                PoolName::new(&hello.pool).map_err(|e| Status::invalid_argument(e.to_string()))?;
            Ok((pool, hello))
        }
        _ => Err(Status::invalid_argument("the first message is a hello")),
    }
}

// Passes on what the entry says until it, or the owner, ends.
async fn listen(
    mut said: Streaming<wire::EntryMessage>,
    owner: Address<OwnerActor>,
    session: SessionId,
    out: Out,
    last: wire::OwnerMessage,
) {
    while let Ok(Some(m)) = said.message().await {
        let Some(body) = m.body else { continue };
        if owner
            .send(Event::EntryMessage { session, body })
            .detach()
            .await
            .is_err()
        {
            let _ = out.try_send(Ok(last));
            return;
        }
    }
    let _ = owner.send(Event::SessionClosed(session)).detach().await;
}
