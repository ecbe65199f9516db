//! The session with the owner of one pool: a stream that requests, renews and
//! releases grants.

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

/// Interval of renewals. Grants last a few seconds, so a grant outlives two lost
/// renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a connection attempt and of the owner's answer to it; processes are
/// about a millisecond apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Minimum and maximum backoff between connection attempts. A new owner takes over
/// within seconds and must not receive a storm of attempts.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));

/// Capacity of the outgoing queue; if it is full, the connection is stuck.
const OUTBOX_CAPACITY: usize = 8_192;

/// Maximum commands of one request that may wait to be handled.
const COMMANDS_PER_REQUEST: usize = 4;

/// Configuration of sessions, the same for all pools.
#[derive(Clone)]
pub(super) struct SessionConfig {
    /// The name of this VM.
    pub entry: String,
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Control processes that are asked when the owner is not known.
    pub controls: Vec<SocketAddr>,
    /// Owners of pools, from the control feed.
    pub owners: watch::Receiver<BTreeMap<PoolName, Owner>>,
    /// Maximum requests in flight.
    pub max_requests: usize,
    /// Connects to other processes of the system.
    pub link: link::Link,
    /// The log.
    pub log: slog::Logger,
}

/// Reason why no grant was obtained.
#[derive(Debug)]
pub(super) enum NoGrant {
    /// The owner refused.
    Refused(wire::Refusal),
    /// The deadline passed while the request was queued at the owner.
    Deadline,
    /// The deadline passed without a connection to the owner, or too many commands
    /// wait for one.
    NoOwner,
}

/// Handle of a pool's session; clones share the session.
#[derive(Clone)]
pub(super) struct Session {
    commands: mpsc::Sender<Command>,
    connected: Arc<AtomicBool>,
}

impl Session {
    /// Starts the session with the owner of `pool`; it connects on first use.
    pub(super) fn start(pool: &PoolName, config: SessionConfig) -> Self {
        let (commands, command_queue) = mpsc::channel(config.max_requests * COMMANDS_PER_REQUEST);
        let connected = Arc::new(AtomicBool::new(false));
        let state = SessionState::new(
            pool.as_str(),
            &config.entry,
            config.incarnation,
            commands.clone(),
        );
        let task = SessionTask {
            pool: pool.clone(),
            config,
            state,
            command_queue,
            connected: connected.clone(),
        };
        tokio::spawn(task.run());
        Self {
            commands,
            connected,
        }
    }

    /// Requests a grant for one request; `deadline` is a time of the entry's clock,
    /// in microseconds. Dropping the future abandons the request.
    ///
    /// # Errors
    ///
    /// See [`NoGrant`]; in each case the request was not dispatched.
    pub(super) async fn acquire(
        &self,
        acquire: wire::Acquire,
        deadline: u64,
    ) -> Result<Box<HeldGrant>, NoGrant> {
        let (reply, receiver) = oneshot::channel();
        let request = acquire.request;
        let pending = Box::new(PendingAcquire {
            acquire,
            deadline_us: deadline,
            sent_us: now_us(),
            reply,
        });
        self.commands
            .try_send(Command::Acquire(pending))
            .map_err(|_| NoGrant::NoOwner)?;
        let mut abandon = AbandonOnDrop {
            commands: &self.commands,
            request: Some(request),
        };
        let reply = tokio::time::timeout_at(clock::to_instant(deadline), receiver).await;
        let reply = match reply {
            Ok(Ok(reply)) => reply,
            // The session ended with the process.
            Ok(Err(_)) => return Err(NoGrant::NoOwner),
            Err(_) if self.connected.load(Ordering::Relaxed) => return Err(NoGrant::Deadline),
            Err(_) => return Err(NoGrant::NoOwner),
        };
        abandon.request = None;
        match reply {
            Reply::Granted(held_grant) => Ok(held_grant),
            Reply::Refused(refusal) => Err(NoGrant::Refused(refusal)),
        }
    }
}

/// Abandons a pending request when it is dropped, unless `request` was cleared.
struct AbandonOnDrop<'a> {
    commands: &'a mpsc::Sender<Command>,
    request: Option<u64>,
}

impl Drop for AbandonOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            // If the command is lost, the grant finds no receiver and is released.
            self.commands.try_send(Command::Abandon(request)).ok();
        }
    }
}

/// Returns the address at which to look for a pool's owner at the given attempt:
/// first `hint`, the address that the last peer named, then the owner in the feed,
/// then each control process in turn, as any of them may know the owner.
pub fn owner_candidate(
    hint: Option<SocketAddr>,
    owner: Option<SocketAddr>,
    controls: &[SocketAddr],
    attempts: usize,
) -> Option<SocketAddr> {
    let mut list: Vec<SocketAddr> = hint.into_iter().chain(owner).collect();
    list.extend_from_slice(controls);
    let mut seen = std::collections::BTreeSet::new();
    list.retain(|a| seen.insert(*a));
    list.get(attempts % list.len().max(1)).copied()
}

/// The task that runs a session.
struct SessionTask {
    pool: PoolName,
    config: SessionConfig,
    state: SessionState,
    command_queue: mpsc::Receiver<Command>,
    connected: Arc<AtomicBool>,
}

/// An open stream to an owner.
struct OwnerStream {
    outbox: Outbox,
    inbox: Streaming<wire::OwnerMessage>,
}

impl SessionTask {
    async fn run(mut self) {
        let mut hint = None;
        let mut attempts = 0;
        let mut backoff = BACKOFF.0;
        loop {
            if self.state.is_idle() && !self.wait_for_command().await {
                return;
            }
            let owner = self.feed_owner();
            let Some(address) = owner_candidate(hint, owner, &self.config.controls, attempts)
            else {
                return;
            };
            let end = self.connect_and_serve(address).await;
            self.connected.store(false, Ordering::Relaxed);
            self.state.disconnected();
            match end {
                StreamEnd::Shutdown => return,
                // The peer was the owner for a while: start again from the feed.
                StreamEnd::Disconnected => {
                    (hint, attempts, backoff) = (None, 0, BACKOFF.0);
                    if !self.back_off(backoff).await {
                        return;
                    }
                }
                StreamEnd::Failed(redirect) => {
                    attempts = if redirect.is_some() && redirect != hint {
                        0
                    } else {
                        attempts + 1
                    };
                    hint = redirect.or(hint.filter(|h| *h != address));
                    if !self.back_off(backoff).await {
                        return;
                    }
                    backoff = (backoff * 2).min(BACKOFF.1);
                }
            }
        }
    }

    fn feed_owner(&self) -> Option<SocketAddr> {
        let owners = self.config.owners.borrow();
        owners.get(&self.pool).map(|o| o.address)
    }

    /// Returns whether the feed names a later owner than the connected one.
    fn is_superseded(&self) -> bool {
        let owners = self.config.owners.borrow();
        owners
            .get(&self.pool)
            .is_some_and(|o| o.token.0 > self.state.token())
    }

    /// Waits for a command and handles it; false when the process ends.
    async fn wait_for_command(&mut self) -> bool {
        let Some(command) = self.command_queue.recv().await else {
            return false;
        };
        self.state.handle_command(command, now_us());
        true
    }

    /// Waits for `delay` or until the owners in the feed change; false when the
    /// process ends.
    async fn back_off(&mut self, delay: Duration) -> bool {
        let mut owners = self.config.owners.clone();
        owners.mark_unchanged();
        let work = async {
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                Ok(()) = owners.changed() => {}
            }
        };
        self.wait_handling_commands(work, None).await.is_some()
    }

    async fn connect_and_serve(&mut self, address: SocketAddr) -> StreamEnd {
        let mut stream = match self.connect(address).await {
            Ok(Some(stream)) => stream,
            Ok(None) => return StreamEnd::Shutdown,
            Err(e) => {
                slog::debug!(self.config.log, "failed to open a session with the pool's owner";
                    "pool" => %self.pool, "address" => %address, "error" => %e);
                return StreamEnd::Failed(None);
            }
        };
        self.serve(&mut stream).await
    }

    /// Connects and sends the first messages while it handles commands; `None` when
    /// the process ends.
    async fn connect(&mut self, address: SocketAddr) -> Result<Option<OwnerStream>, String> {
        let link = self.config.link.clone();
        let opening = channel(&link, address);
        let Some(channel) = self.wait_handling_commands(opening, None).await else {
            return Ok(None);
        };
        let (outbox, messages) = mpsc::channel(OUTBOX_CAPACITY);
        let outbox = Outbox(outbox);
        // The owner answers the call only after it has read the hello.
        for m in self.state.connect(now_us()) {
            outbox.send(m);
        }
        let mut client = GrantsClient::new(channel?);
        let call = client.session(ReceiverStream::new(messages));
        let call = tokio::time::timeout(CONNECT_TIMEOUT, call);
        let Some(inbox) = self.wait_handling_commands(call, Some(&outbox)).await else {
            return Ok(None);
        };
        let inbox = inbox
            .map_err(|_| format!("no answer within {CONNECT_TIMEOUT:?}"))?
            .map_err(|e| e.to_string())?
            .into_inner();
        Ok(Some(OwnerStream { outbox, inbox }))
    }

    /// Waits for `work` while it handles commands and sends their messages to
    /// `outbox`; `None` when the process ends.
    async fn wait_handling_commands<T>(
        &mut self,
        work: impl Future<Output = T>,
        outbox: Option<&Outbox>,
    ) -> Option<T> {
        tokio::pin!(work);
        loop {
            tokio::select! {
                done = &mut work => return Some(done),
                command = self.command_queue.recv() => {
                    let message = self.state.handle_command(command?, now_us());
                    if let (Some(m), Some(outbox)) = (message, outbox) {
                        outbox.send(m);
                    }
                }
            }
        }
    }

    async fn serve(&mut self, stream: &mut OwnerStream) -> StreamEnd {
        let mut welcomed = false;
        let mut owners = self.config.owners.clone();
        let mut tick = tokio::time::interval(RENEW_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        tick.reset();
        loop {
            let action = tokio::select! {
                command = self.command_queue.recv() => match command {
                    Some(c) => match self.state.handle_command(c, now_us()) {
                        Some(m) => SessionAction::Send(vec![m]),
                        None => SessionAction::Continue,
                    },
                    None => return StreamEnd::Shutdown,
                },
                message = stream.inbox.message() => match message {
                    Ok(Some(wire::OwnerMessage { body: Some(body) })) => {
                        let action = self.state.handle_message(body, now_us());
                        if !welcomed && !matches!(action, SessionAction::Disconnect(_)) {
                            welcomed = true;
                            self.connected.store(true, Ordering::Relaxed);
                            // The feed may have named another owner meanwhile.
                            owners.mark_changed();
                        }
                        action
                    }
                    // An empty message is malformed; it is skipped.
                    Ok(Some(_)) => SessionAction::Continue,
                    Ok(None) | Err(_) => SessionAction::Disconnect(None),
                },
                // A paused process does not report that it has lost its ownership.
                Ok(()) = owners.changed() => match self.is_superseded() {
                    true => SessionAction::Disconnect(None),
                    false => SessionAction::Continue,
                },
                _ = tick.tick() => match welcomed {
                    true => self.state.tick(now_us()),
                    // The owner sent no welcome within `RENEW_INTERVAL`.
                    false => SessionAction::Disconnect(None),
                },
            };
            let sent = match action {
                SessionAction::Continue => true,
                SessionAction::Send(list) => list.into_iter().all(|m| stream.outbox.send(m)),
                SessionAction::Disconnect(Some(owner)) => return StreamEnd::Failed(Some(owner)),
                SessionAction::Disconnect(None) if welcomed => return StreamEnd::Disconnected,
                SessionAction::Disconnect(None) => return StreamEnd::Failed(None),
            };
            if !sent {
                return StreamEnd::Failed(None);
            }
        }
    }
}

/// How a stream to an owner ended.
enum StreamEnd {
    /// The process ends.
    Shutdown,
    /// The owner had accepted the session.
    Disconnected,
    /// The session was not accepted or got stuck; the address is that of the owner
    /// if the peer named it.
    Failed(Option<SocketAddr>),
}

struct Outbox(mpsc::Sender<wire::EntryMessage>);

impl Outbox {
    /// Queues a message; false when the connection is closed or stuck.
    fn send(&self, body: wire::entry_message::Body) -> bool {
        let message = wire::EntryMessage { body: Some(body) };
        self.0.try_send(message).is_ok()
    }
}

/// Connects to another process of the system.
///
/// # Errors
///
/// If no connection is made in time.
pub(super) async fn channel(link: &link::Link, address: SocketAddr) -> Result<Channel, String> {
    let limits = |e: Endpoint| {
        e.connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            // Detects within 3 s a peer that vanished without closing the connection.
            .http2_keep_alive_interval(Duration::from_secs(1))
            .keep_alive_timeout(Duration::from_secs(2))
            .keep_alive_while_idle(true)
    };
    link.connect_with(address, limits)
        .await
        .map_err(|e| e.to_string())
}
