//! The stream to the owner of one pool.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use banyangauge_proto as wire;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;
use tonic::transport::Channel;
use tonic::transport::Endpoint;
use wire::grants_client::GrantsClient;

use super::clock;
use super::clock::now_us;
use super::held_grant::HeldGrant;
use super::session_state::Command;
use super::session_state::PendingAcquire;
use super::session_state::Reply;
use super::session_state::SessionAction;
use super::session_state::SessionState;
use crate::control::Owner;
use crate::ids::PoolName;
use crate::link;

/// Grants last some seconds; a renewal a second outlives two lost ones.
const RENEW_EVERY: Duration = Duration::from_secs(1);

/// The longest wait for a connection or for the owner's welcome; processes
/// are about a millisecond apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The pause after a failed try, which grows to the second value: a new owner
/// takes over within seconds, and must not be met by a storm of tries.
const PAUSES: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));

/// Messages that may wait for the connection; more mean that it is stuck.
const OUTBOX: usize = 8_192;

/// A request sends at most this many commands before they are taken up.
const COMMANDS_PER_REQUEST: usize = 4;

/// What a session needs to know of its process.
#[derive(Clone)]
pub(super) struct Identity {
    /// The VM's name.
    pub entry: String,
    /// This start of the process.
    pub incarnation: u64,
    /// Control processes to ask when the owner is not known.
    pub controls: Vec<SocketAddr>,
    /// Owners as the feed tells them.
    pub owners: watch::Receiver<BTreeMap<PoolName, Owner>>,
    /// Requests in flight at the most.
    pub requests: usize,
    /// Connections to our other processes.
    pub trust: link::Link,
    /// The log.
    pub log: slog::Logger,
}

/// Why there is no grant.
#[derive(Debug)]
pub(super) enum NoGrant {
    /// The owner refused.
    Refused(wire::Refusal),
    /// The deadline passed while the owner had the request in its queue.
    Deadline,
    /// The deadline passed without an owner, or too much waits for one.
    NoOwner,
}

/// A pool's session; clones share it.
#[derive(Clone)]
pub(super) struct Session {
    commands: mpsc::Sender<Command>,
    connected: Arc<AtomicBool>,
}

impl Session {
    /// Starts the session of `pool`; it connects when first used.
    pub(super) fn start(pool: &PoolName, identity: Identity) -> Self {
        let (commands, mailbox) = mpsc::channel(identity.requests * COMMANDS_PER_REQUEST);
        let connected = Arc::new(AtomicBool::new(false));
        let ledger = SessionState::new(
            pool.as_str(),
            &identity.entry,
            identity.incarnation,
            commands.clone(),
        );
        let task = Task {
            pool: pool.clone(),
            identity,
            ledger,
            mailbox,
            connected: connected.clone(),
        };
        tokio::spawn(task.run());
        Self {
            commands,
            connected,
        }
    }

    /// Asks the owner for leave to dispatch one request; `deadline` is a
    /// reading of the entry's clock. Dropping the call abandons the request.
    ///
    /// # Errors
    ///
    /// See [`NoGrant`]; in each case the request did not run.
    pub(super) async fn acquire(
        &self,
        acquire: wire::Acquire,
        deadline: u64,
    ) -> Result<Box<HeldGrant>, NoGrant> {
        let (reply, receiver) = oneshot::channel();
        let request = acquire.request;
        let waiting = Box::new(PendingAcquire {
            acquire,
            deadline_us: deadline,
            sent_us: now_us(),
            reply,
        });
        self.commands
            .try_send(Command::Acquire(waiting))
            .map_err(|_| NoGrant::NoOwner)?;
        let mut abandon = Abandon {
            commands: &self.commands,
            request: Some(request),
        };
        let reply = tokio::time::timeout_at(clock::instant(deadline), receiver).await;
        let reply = match reply {
            Ok(Ok(reply)) => reply,
            // The session ended with the process.
            Ok(Err(_)) => return Err(NoGrant::NoOwner),
            Err(_) if self.connected.load(Ordering::Relaxed) => return Err(NoGrant::Deadline),
            Err(_) => return Err(NoGrant::NoOwner),
        };
        abandon.request = None;
        match reply {
            Reply::Granted(hold) => Ok(hold),
            Reply::Refused(refusal) => Err(NoGrant::Refused(refusal)),
        }
    }
}

struct Abandon<'a> {
    commands: &'a mpsc::Sender<Command>,
    request: Option<u64>,
}

impl Drop for Abandon<'_> {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            // If it is lost, the grant finds nobody and releases itself.
            self.commands.try_send(Command::Abandon(request)).ok();
        }
    }
}

/// Where to look for a pool's owner at the given try: first where the last
/// control said, then where the feed says, then at each control in turn, as
/// any of them may know.
pub fn owner_candidate(
    hint: Option<SocketAddr>,
    owner: Option<SocketAddr>,
    controls: &[SocketAddr],
    tries: usize,
) -> Option<SocketAddr> {
    let mut list: Vec<SocketAddr> = hint.into_iter().chain(owner).collect();
    list.extend_from_slice(controls);
    let mut seen = std::collections::BTreeSet::new();
    list.retain(|a| seen.insert(*a));
    list.get(tries % list.len().max(1)).copied()
}

struct Task {
    pool: PoolName,
    identity: Identity,
    ledger: SessionState,
    mailbox: mpsc::Receiver<Command>,
    connected: Arc<AtomicBool>,
}

struct Link {
    outbox: Outbox,
    inbox: Streaming<wire::OwnerMessage>,
}

impl Task {
    async fn run(mut self) {
        let mut hint = None;
        let mut tries = 0;
        let mut pause = PAUSES.0;
        loop {
            if self.ledger.is_idle() && !self.wait_for_work().await {
                return;
            }
            let owner = self.owner();
            let Some(address) = owner_candidate(hint, owner, &self.identity.controls, tries) else {
                return;
            };
            let served = self.connect_and_serve(address).await;
            self.connected.store(false, Ordering::Relaxed);
            self.ledger.disconnected();
            match served {
                Served::Ended => return,
                // It was the owner for a while: begin again with what is known.
                Served::Worked => {
                    (hint, tries, pause) = (None, 0, PAUSES.0);
                    if !self.rest(pause).await {
                        return;
                    }
                }
                Served::Failed(told) => {
                    tries = if told.is_some() && told != hint {
                        0
                    } else {
                        tries + 1
                    };
                    hint = told.or(hint.filter(|h| *h != address));
                    if !self.rest(pause).await {
                        return;
                    }
                    pause = (pause * 2).min(PAUSES.1);
                }
            }
        }
    }

    fn owner(&self) -> Option<SocketAddr> {
        let owners = self.identity.owners.borrow();
        owners.get(&self.pool).map(|o| o.address)
    }

    /// Whether the feed names a later owner than the one that is connected.
    fn replaced(&self) -> bool {
        let owners = self.identity.owners.borrow();
        owners
            .get(&self.pool)
            .is_some_and(|o| o.token.0 > self.ledger.token())
    }

    async fn wait_for_work(&mut self) -> bool {
        let Some(command) = self.mailbox.recv().await else {
            return false;
        };
        self.ledger.handle_command(command, now_us());
        true
    }

    /// Waits, or until the feed names another owner; false when the process
    /// ends.
    async fn rest(&mut self, pause: Duration) -> bool {
        let mut owners = self.identity.owners.clone();
        owners.mark_unchanged();
        let work = async {
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                Ok(()) = owners.changed() => {}
            }
        };
        self.attend(work, None).await.is_some()
    }

    async fn connect_and_serve(&mut self, address: SocketAddr) -> Served {
        let mut link = match self.connect(address).await {
            Ok(Some(link)) => link,
            Ok(None) => return Served::Ended,
            Err(e) => {
                slog::debug!(self.identity.log, "no session";
                    "pool" => %self.pool, "address" => %address, "error" => %e);
                return Served::Failed(None);
            }
        };
        self.serve(&mut link).await
    }

    /// Connects and says hello, taking commands meanwhile; `None` when the
    /// process ends.
    async fn connect(&mut self, address: SocketAddr) -> Result<Option<Link>, String> {
        let trust = self.identity.trust.clone();
        let opening = channel(&trust, address);
        let Some(channel) = self.attend(opening, None).await else {
            return Ok(None);
        };
        let (outbox, messages) = mpsc::channel(OUTBOX);
        let outbox = Outbox(outbox);
        // The owner answers the call only after the hello.
        for m in self.ledger.connect(now_us()) {
            outbox.send(m);
        }
        let mut client = GrantsClient::new(channel?);
        let call = client.session(ReceiverStream::new(messages));
        let call = tokio::time::timeout(CONNECT_TIMEOUT, call);
        let Some(inbox) = self.attend(call, Some(&outbox)).await else {
            return Ok(None);
        };
        let inbox = inbox
            .map_err(|_| "no answer in time".to_owned())?
            .map_err(|e| e.to_string())?
            .into_inner();
        Ok(Some(Link { outbox, inbox }))
    }

    /// Waits for `work` while commands go on to the ledger and the owner;
    /// `None` when the process ends.
    async fn attend<T>(
        &mut self,
        work: impl Future<Output = T>,
        outbox: Option<&Outbox>,
    ) -> Option<T> {
        tokio::pin!(work);
        loop {
            tokio::select! {
                done = &mut work => return Some(done),
                command = self.mailbox.recv() => {
                    let message = self.ledger.handle_command(command?, now_us());
                    if let (Some(m), Some(outbox)) = (message, outbox) {
                        outbox.send(m);
                    }
                }
            }
        }
    }

    async fn serve(&mut self, link: &mut Link) -> Served {
        let mut worked = false;
        let mut owners = self.identity.owners.clone();
        let mut tick = tokio::time::interval(RENEW_EVERY);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        tick.reset();
        loop {
            let step = tokio::select! {
                command = self.mailbox.recv() => match command {
                    Some(c) => match self.ledger.handle_command(c, now_us()) {
                        Some(m) => SessionAction::Send(vec![m]),
                        None => SessionAction::Continue,
                    },
                    None => return Served::Ended,
                },
                message = link.inbox.message() => match message {
                    Ok(Some(wire::OwnerMessage { body: Some(body) })) => {
                        let step = self.ledger.handle_message(body, now_us());
                        if !worked && !matches!(step, SessionAction::Disconnect(_)) {
                            worked = true;
                            self.connected.store(true, Ordering::Relaxed);
                            // The feed may have told of another meanwhile.
                            owners.mark_changed();
                        }
                        step
                    }
                    // An empty message is malformed; the owner's next may be good.
                    Ok(Some(_)) => SessionAction::Continue,
                    Ok(None) | Err(_) => SessionAction::Disconnect(None),
                },
                // An owner that is paused does not say that it is no longer one.
                Ok(()) = owners.changed() => match self.replaced() {
                    true => SessionAction::Disconnect(None),
                    false => SessionAction::Continue,
                },
                _ = tick.tick() => match worked {
                    true => self.ledger.tick(now_us()),
                    // No welcome within a second.
                    false => SessionAction::Disconnect(None),
                },
            };
            let sent = match step {
                SessionAction::Continue => true,
                SessionAction::Send(list) => list.into_iter().all(|m| link.outbox.send(m)),
                SessionAction::Disconnect(Some(told)) => return Served::Failed(Some(told)),
                SessionAction::Disconnect(None) if worked => return Served::Worked,
                SessionAction::Disconnect(None) => return Served::Failed(None),
            };
            if !sent {
                return Served::Failed(None);
            }
        }
    }
}

enum Served {
    /// The process ends.
    Ended,
    /// The owner answered for a while.
    Worked,
    /// It did not, and perhaps said who does.
    Failed(Option<SocketAddr>),
}

struct Outbox(mpsc::Sender<wire::EntryMessage>);

impl Outbox {
    /// False when the connection is gone or stuck.
    fn send(&self, body: wire::entry_message::Body) -> bool {
        let message = wire::EntryMessage { body: Some(body) };
        self.0.try_send(message).is_ok()
    }
}

/// Connects to another process of the system.
///
/// # Errors
///
/// When it cannot be reached in time.
pub(super) async fn channel(link: &link::Link, address: SocketAddr) -> Result<Channel, String> {
    let limits = |e: Endpoint| {
        e.connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            // A peer that vanished without a word is noticed within three
            // seconds.
            .http2_keep_alive_interval(Duration::from_secs(1))
            .keep_alive_timeout(Duration::from_secs(2))
            .keep_alive_while_idle(true)
    };
    link.connect_with(address, limits)
        .await
        .map_err(|e| e.to_string())
}
