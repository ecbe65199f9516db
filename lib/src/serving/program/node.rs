//! State that the tasks of the serving process share.

use std::cell::Cell;
use std::cell::RefCell;
use std::cell::RefMut;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use banyangauge_proto as wire;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::Mutex;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;
use wire::datagram::Body;

use crate::control;
use crate::ids::Incarnation;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::cluster::recency::reader_id;
use crate::serving::cluster::state::NodeState;
use crate::serving::decisions::memory_account::HolderId;
use crate::serving::decisions::stop_plan::StopPlan;
use crate::serving::decisions::stream_builds::StreamGroup;
use crate::serving::path::codec::Codec;
use crate::serving::path::waiting::Turn;
use crate::serving::program::event_loop::EventLoop;
use crate::serving::program::orders::DELIVERY_TIMEOUT;
use crate::serving::program::settings::ServeSettings;
use crate::serving::store::port::Store;
use crate::serving::store::streams::LedgerRead;
use crate::upstream::Upstreams;

/// Calls to other VMs that wait for an answer, by ID.
#[derive(Debug)]
pub(in crate::serving) struct PendingCalls<T>(RefCell<BTreeMap<u64, oneshot::Sender<T>>>);

impl<T> Default for PendingCalls<T> {
    fn default() -> Self {
        Self(RefCell::default())
    }
}

impl<T> PendingCalls<T> {
    /// Registers a call under an ID, until the returned guard is dropped.
    pub(in crate::serving) fn register(&self, id: u64) -> PendingCall<'_, T> {
        let (sender, receiver) = oneshot::channel();
        self.0.borrow_mut().insert(id, sender);
        PendingCall {
            calls: self,
            id,
            receiver,
        }
    }

    /// Delivers an answer; it is discarded if no call waits for it any more.
    pub(in crate::serving) fn complete(&self, id: u64, answer: T) {
        if let Some(sender) = self.0.borrow_mut().remove(&id) {
            sender.send(answer).ok();
        }
    }
}

/// A call that waits for its answer; dropping it, also when its caller disconnects, removes
/// the registration.
pub(in crate::serving) struct PendingCall<'a, T> {
    calls: &'a PendingCalls<T>,
    id: u64,
    receiver: oneshot::Receiver<T>,
}

impl<T> PendingCall<'_, T> {
    /// Waits for the answer; returns `None` after the timeout.
    pub(in crate::serving) async fn wait(mut self, timeout: Duration) -> Option<T> {
        let answer = tokio::time::timeout(timeout, &mut self.receiver).await;
        answer.ok()?.ok()
    }
}

impl<T> Drop for PendingCall<'_, T> {
    fn drop(&mut self) {
        self.calls.0.borrow_mut().remove(&self.id);
    }
}

/// Phases of the process until it has stopped.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(in crate::serving) enum Phase {
    /// Serves requests.
    Serving,
    /// Reports that it is not ready, but still serves new requests.
    Unready,
    /// Refuses new requests and finishes those in flight.
    Draining,
    /// Answers or breaks off what is still in flight.
    Ending,
}

/// The shared state of one VM's serving process.
pub(in crate::serving) struct Node {
    pub(in crate::serving) settings: ServeSettings,
    pub(in crate::serving) codec: Codec,
    pub(in crate::serving) store: Store,
    pub(in crate::serving) upstreams: Upstreams,
    /// Connections to replicas for orders and reports.
    pub(in crate::serving) controls: Upstreams,
    pub(in crate::serving) log: slog::Logger,
    pub(in crate::serving) incarnation: Incarnation,
    pub(in crate::serving) event_loop: EventLoop,
    /// Held by the first request that waits for room for its body.
    pub(in crate::serving) body_turn: Mutex<()>,
    /// Wakes connections and bodies that give way to others.
    pub(in crate::serving) closers: RefCell<BTreeMap<HolderId, Rc<Notify>>>,
    /// What gave way since that was last logged, and when that was.
    pub(in crate::serving) closed: Cell<(u64, Moment)>,
    /// Wakes the first request that waits for room for its body.
    pub(in crate::serving) body_wake: Notify,
    /// Wakes requests that wait for a replica.
    pub(in crate::serving) placement_wake: Notify,
    /// Wakes the task that issues orders.
    pub(in crate::serving) orders_wake: Notify,
    /// Wakes the tasks that follow the store and have missed changes.
    pub(in crate::serving) catch_up_wake: Notify,
    /// Wakes calls that wait for changes when the store came back from an earlier copy.
    pub(in crate::serving) restore_wake: Notify,
    /// Wakes the task that judges crashes of replicas.
    pub(in crate::serving) crash_wake: Notify,
    /// Notified when a replica is taken for crashed that did not break all its connections.
    pub(in crate::serving) dead_wake: Notify,
    /// Wakes the task that keeps the blocked features in the store.
    pub(in crate::serving) blocks_wake: Notify,
    /// Wakes the task that keeps the ledger of builds in the store.
    pub(in crate::serving) ledger_wake: Notify,
    /// Wakes the task that keeps streams in the store.
    pub(in crate::serving) streams_wake: Notify,
    /// The ledger of builds as it was last read for callers that resume streams.
    pub(in crate::serving) ledger_read: Mutex<LedgerRead>,
    /// When the stored streams of each group were last read.
    pub(in crate::serving) stream_reads: Mutex<BTreeMap<StreamGroup, Moment>>,
    /// Wakes the task that writes this VM's entry.
    pub(in crate::serving) register_wake: Notify,
    /// Wakes the task that reloads the owner table.
    pub(in crate::serving) owners_wake: Notify,
    /// UDP socket for datagrams to and from the other VMs.
    pub(in crate::serving) socket: UdpSocket,
    /// Wakes the task that sends beacons.
    pub(in crate::serving) beacon_wake: Notify,
    pub(in crate::serving) phase: watch::Sender<Phase>,
    /// The times of the planned stop, once it has begun.
    pub(in crate::serving) stop_plan: Cell<Option<StopPlan>>,
    state: RefCell<NodeState>,
    last_id: Cell<u64>,
    in_flight: Cell<usize>,
    /// Connections of callers and of other VMs that are open.
    connections: Cell<usize>,
    /// Requests in flight that other VMs handed to this one.
    relayed: Cell<usize>,
    /// Runs that wait for a prefill turn.
    pub(in crate::serving) turn_calls: PendingCalls<()>,
    /// Queued requests that wait for their turn to try.
    pub(in crate::serving) wait_calls: PendingCalls<Turn>,
    /// Pending calls to owners of replicas.
    pub(in crate::serving) place_calls: PendingCalls<wire::PlaceAnswer>,
    /// Pending calls to the lenders of organisations' limits.
    pub(in crate::serving) lease_calls: PendingCalls<wire::LeaseAnswer>,
    /// Pending calls to the lenders of replicas' limits.
    pub(in crate::serving) limit_calls: PendingCalls<wire::LimitAnswer>,
    /// Pending questions to other VMs about the builds that began streams.
    pub(in crate::serving) build_calls: PendingCalls<wire::StreamAnswer>,
    /// Streams that wait until the store keeps them.
    pub(in crate::serving) keep_calls: PendingCalls<bool>,
    /// ID of this process in the witnesses that other VMs send.
    pub(in crate::serving) reader_id: u64,
    /// Wakes the task that grants prefill turns.
    pub(in crate::serving) turns_wake: Notify,
}

impl Node {
    pub(in crate::serving) fn new(
        settings: ServeSettings,
        codec: Codec,
        store: Store,
        log: slog::Logger,
        socket: UdpSocket,
    ) -> Self {
        let now = now();
        let state = NodeState::new(&settings, now);
        // The time since the VM booted differs between restarts of the process, so it
        // identifies the incarnation.
        let incarnation = Incarnation(now.0);
        let reader = reader_id(&settings.vm, incarnation);
        Self {
            settings,
            codec,
            store,
            upstreams: Upstreams::with_timeouts(CONNECT_TIMEOUT, IDLE_TIMEOUT),
            controls: Upstreams::with_timeouts(CONNECT_TIMEOUT, IDLE_TIMEOUT)
                .with_delivery_timeout(DELIVERY_TIMEOUT),
            log,
            incarnation,
            event_loop: EventLoop::new(now),
            body_turn: Mutex::new(()),
            closers: RefCell::default(),
            closed: Cell::new((0, Moment(0))),
            body_wake: Notify::new(),
            placement_wake: Notify::new(),
            orders_wake: Notify::new(),
            catch_up_wake: Notify::new(),
            restore_wake: Notify::new(),
            crash_wake: Notify::new(),
            dead_wake: Notify::new(),
            blocks_wake: Notify::new(),
            ledger_wake: Notify::new(),
            streams_wake: Notify::new(),
            ledger_read: Mutex::default(),
            stream_reads: Mutex::default(),
            register_wake: Notify::new(),
            owners_wake: Notify::new(),
            socket,
            beacon_wake: Notify::new(),
            phase: watch::Sender::new(Phase::Serving),
            stop_plan: Cell::new(None),
            state: RefCell::new(state),
            last_id: Cell::new(0),
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            relayed: Cell::new(0),
            turn_calls: PendingCalls::default(),
            wait_calls: PendingCalls::default(),
            place_calls: PendingCalls::default(),
            lease_calls: PendingCalls::default(),
            limit_calls: PendingCalls::default(),
            build_calls: PendingCalls::default(),
            keep_calls: PendingCalls::default(),
            reader_id: reader,
            turns_wake: Notify::new(),
        }
    }

    /// Borrows the state. The guard must not be held across an await.
    pub(in crate::serving) fn state(&self) -> RefMut<'_, NodeState> {
        self.state.borrow_mut()
    }

    /// Returns an ID that this process has not used before.
    pub(in crate::serving) fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// Sends a datagram to another VM. A failure is only logged.
    pub(in crate::serving) async fn send(&self, bytes: &[u8], address: SocketAddr) {
        if let Err(e) = self.socket.send_to(bytes, address).await {
            // Like a lost datagram, this is tolerated: full beacons and load reports are
            // repeated, and calls to other VMs and prefill turns time out.
            slog::debug!(self.log, "datagram not sent"; "to" => %address, "error" => %e);
        }
    }

    /// Sends a message to another VM.
    pub(in crate::serving) async fn send_message(&self, body: Body, address: SocketAddr) {
        let datagram = wire::Datagram { body: Some(body) };
        self.send(&datagram.encode_to_vec(), address).await;
    }

    /// Returns the current phase of the process.
    pub(in crate::serving) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub(in crate::serving) fn track_request(self: &std::rc::Rc<Self>) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight {
            node: self.clone(),
            relayed: false,
        }
    }

    /// Counts a request that another VM handed to this one as in flight; returns `None` if
    /// there are `max` of them.
    pub(in crate::serving) fn track_relayed(
        self: &std::rc::Rc<Self>,
        max: usize,
    ) -> Option<InFlight> {
        if self.relayed.get() >= max {
            return None;
        }
        self.relayed.set(self.relayed.get() + 1);
        let mut in_flight = self.track_request();
        in_flight.relayed = true;
        Some(in_flight)
    }

    /// Counts a connection as open until the returned guard is dropped.
    pub(in crate::serving) fn track_connection(self: &std::rc::Rc<Self>) -> OpenConnection {
        self.connections.set(self.connections.get() + 1);
        OpenConnection(self.clone())
    }

    /// Returns the number of open connections.
    pub(in crate::serving) fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Returns the number of requests in flight.
    pub(in crate::serving) fn in_flight(&self) -> usize {
        self.in_flight.get()
    }
}

/// Guard for a request in flight.
pub(in crate::serving) struct InFlight {
    node: std::rc::Rc<Node>,
    /// Whether another VM handed it to this one.
    relayed: bool,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let count = |cell: &Cell<usize>, by: usize| cell.set(cell.get().saturating_sub(by));
        count(&self.node.in_flight, 1);
        count(&self.node.relayed, usize::from(self.relayed));
    }
}

/// Guard for an open connection.
pub(in crate::serving) struct OpenConnection(std::rc::Rc<Node>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let connections = &self.0.connections;
        connections.set(connections.get().saturating_sub(1));
    }
}

/// Connect timeout for replicas: they are about a millisecond away, and an unreachable one
/// must not use up a caller's time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Idle timeout for connections to replicas whose `Keep-Alive` header names none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Returns the current time of a clock that also runs while the VM is suspended.
pub(in crate::serving) fn now() -> Moment {
    control::now()
}

/// Converts a duration to a `Span`.
pub(in crate::serving) fn to_span(d: Duration) -> Span {
    Span(u64::try_from(d.as_micros()).unwrap_or(u64::MAX))
}

/// Converts a `Moment` to an instant for tokio's timers.
pub(in crate::serving) fn to_instant(at: Moment) -> Instant {
    Instant::now() + Duration::from_micros(at.since(now()).0)
}

/// Returns the time until a moment; zero if it is past.
pub(in crate::serving) fn time_until(at: Moment) -> Duration {
    Duration::from_micros(at.since(now()).0)
}
