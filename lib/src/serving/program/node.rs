//! What the tasks of the serving process share.

use std::cell::Cell;
use std::cell::RefCell;
use std::cell::RefMut;
use std::collections::BTreeMap;
use std::time::Duration;

use banyangauge_proto as wire;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::control;
use crate::ids::Incarnation;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::cluster::recency::reader_id;
use crate::serving::cluster::state::NodeState;
use crate::serving::path::codec::Codec;
use crate::serving::program::settings::ServeSettings;
use crate::serving::store::port::Store;
use crate::upstream::Upstreams;

/// Questions to other VMs that wait for an answer, by number.
#[derive(Debug)]
pub(in crate::serving) struct PendingCalls<T>(RefCell<BTreeMap<u64, oneshot::Sender<T>>>);

impl<T> Default for PendingCalls<T> {
    fn default() -> Self {
        Self(RefCell::default())
    }
}

impl<T> PendingCalls<T> {
    /// An answer to this number is waited for, until what is returned is dropped.
    pub(in crate::serving) fn register(&self, number: u64) -> PendingCall<'_, T> {
        let (sender, receiver) = oneshot::channel();
        self.0.borrow_mut().insert(number, sender);
        PendingCall {
            questions: self,
            number,
            receiver,
        }
    }

    /// An answer came; one that nobody waits for any more is dropped.
    pub(in crate::serving) fn complete(&self, number: u64, answer: T) {
        if let Some(sender) = self.0.borrow_mut().remove(&number) {
            sender.send(answer).ok();
        }
    }
}

/// A question that waits for its answer; its caller may leave meanwhile.
pub(in crate::serving) struct PendingCall<'a, T> {
    questions: &'a PendingCalls<T>,
    number: u64,
    receiver: oneshot::Receiver<T>,
}

impl<T> PendingCall<'_, T> {
    /// The answer, if it comes in time.
    pub(in crate::serving) async fn wait(mut self, time: Duration) -> Option<T> {
        let answer = tokio::time::timeout(time, &mut self.receiver).await;
        answer.ok()?.ok()
    }
}

impl<T> Drop for PendingCall<'_, T> {
    fn drop(&mut self) {
        self.questions.0.borrow_mut().remove(&self.number);
    }
}

/// How far the process is in stopping.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(in crate::serving) enum Phase {
    /// It serves.
    Serving,
    /// It says that it is not ready, and serves what still comes.
    Unready,
    /// It refuses what still comes and sees the rest through.
    Draining,
}

/// One VM of the serving path.
pub(in crate::serving) struct Node {
    pub(in crate::serving) settings: ServeSettings,
    pub(in crate::serving) codec: Codec,
    pub(in crate::serving) store: Store,
    pub(in crate::serving) upstreams: Upstreams,
    pub(in crate::serving) log: slog::Logger,
    pub(in crate::serving) incarnation: Incarnation,
    /// Wakes requests that wait for a place.
    pub(in crate::serving) placement_wake: Notify,
    /// Wakes the task that gives orders.
    pub(in crate::serving) orders_wake: Notify,
    /// Wakes the followers of the store that miss changes.
    pub(in crate::serving) catch_up_wake: Notify,
    /// Wakes the task that reads the owner table anew.
    pub(in crate::serving) owners_wake: Notify,
    /// Datagrams to and from the other VMs.
    pub(in crate::serving) socket: UdpSocket,
    /// Wakes the task that tells the peers.
    pub(in crate::serving) beacon_wake: Notify,
    pub(in crate::serving) phase: watch::Sender<Phase>,
    state: RefCell<NodeState>,
    last_id: Cell<u64>,
    in_flight: Cell<usize>,
    /// Runs that wait for their turn.
    pub(in crate::serving) turn_calls: PendingCalls<()>,
    /// Questions to owners of replicas.
    pub(in crate::serving) place_calls: PendingCalls<wire::PlaceAnswer>,
    /// Questions to the VMs that lend for organisations.
    pub(in crate::serving) lease_calls: PendingCalls<wire::LeaseAnswer>,
    /// What stands for this VM in what others tell it.
    pub(in crate::serving) reader_id: u64,
    /// Wakes the task that gives turns.
    pub(in crate::serving) turns_wake: Notify,
}

impl Node {
    pub(in crate::serving) fn new(
        settings: ServeSettings,
        border: Codec,
        store: Store,
        log: slog::Logger,
        socket: UdpSocket,
    ) -> Self {
        let now = now();
        let state = NodeState::new(&settings, now);
        // A restarted process must be told from the one before it; the clock
        // since the VM's start differs at each.
        let incarnation = Incarnation(now.0);
        let reader = reader_id(&settings.vm, incarnation);
        Self {
            settings,
            codec: border,
            store,
            upstreams: Upstreams::with(CONNECT_TIMEOUT, IDLE_TIMEOUT),
            log,
            incarnation,
            placement_wake: Notify::new(),
            orders_wake: Notify::new(),
            catch_up_wake: Notify::new(),
            owners_wake: Notify::new(),
            socket,
            beacon_wake: Notify::new(),
            phase: watch::Sender::new(Phase::Serving),
            state: RefCell::new(state),
            last_id: Cell::new(0),
            in_flight: Cell::new(0),
            turn_calls: PendingCalls::default(),
            place_calls: PendingCalls::default(),
            lease_calls: PendingCalls::default(),
            reader_id: reader,
            turns_wake: Notify::new(),
        }
    }

    /// The state; never held across an await.
    pub(in crate::serving) fn state(&self) -> RefMut<'_, NodeState> {
        self.state.borrow_mut()
    }

    /// A number that is used once.
    pub(in crate::serving) fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    pub(in crate::serving) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Counts a request that is under way, until the guard is dropped.
    pub(in crate::serving) fn track_request(self: &std::rc::Rc<Self>) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight(self.clone())
    }

    /// Requests under way.
    pub(in crate::serving) fn in_flight(&self) -> usize {
        self.in_flight.get()
    }
}

/// A request that is under way.
pub(in crate::serving) struct InFlight(std::rc::Rc<Node>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0
            .in_flight
            .set(self.0.in_flight.get().saturating_sub(1));
    }
}

/// The longest wait for a connection to a replica: they are about a
/// millisecond away, and one that is dark must not use up a caller's time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// A connection unused for longer is closed, where the replica names no time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Now, on the clock that counts suspension.
pub(in crate::serving) fn now() -> Moment {
    control::now()
}

/// A duration as a span of that clock.
pub(in crate::serving) fn to_span(d: Duration) -> Span {
    Span(u64::try_from(d.as_micros()).unwrap_or(u64::MAX))
}

/// The timer's instant for a moment.
pub(in crate::serving) fn to_instant(at: Moment) -> Instant {
    Instant::now() + Duration::from_micros(at.since(now()).0)
}

/// How long until a moment.
pub(in crate::serving) fn time_until(at: Moment) -> Duration {
    Duration::from_micros(at.since(now()).0)
}
