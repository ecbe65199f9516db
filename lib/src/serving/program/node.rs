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
use crate::serving::beliefs::state::Beliefs;
use crate::serving::path::border::Border;
use crate::serving::program::settings::ServeSettings;
use crate::serving::store::port::Store;
use crate::upstream::Upstreams;

/// How far the process is in stopping.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(in crate::serving) enum Phase {
    /// It serves.
    Serving,
    /// It says that it is not ready, and serves what still comes.
    Leaving,
    /// It refuses what still comes and sees the rest through.
    Closing,
}

/// One VM of the serving path.
pub(in crate::serving) struct Node {
    pub(in crate::serving) settings: ServeSettings,
    pub(in crate::serving) border: Border,
    pub(in crate::serving) store: Store,
    pub(in crate::serving) upstreams: Upstreams,
    pub(in crate::serving) log: slog::Logger,
    pub(in crate::serving) incarnation: Incarnation,
    /// Wakes requests that wait for a place.
    pub(in crate::serving) changed: Notify,
    /// Wakes the task that gives orders.
    pub(in crate::serving) orders: Notify,
    /// Wakes the followers of the store that miss changes.
    pub(in crate::serving) asks: Notify,
    /// Wakes the task that reads the owner table anew.
    pub(in crate::serving) reread: Notify,
    /// Datagrams to and from the other VMs.
    pub(in crate::serving) socket: UdpSocket,
    /// Wakes the task that tells the peers.
    pub(in crate::serving) news: Notify,
    pub(in crate::serving) phase: watch::Sender<Phase>,
    beliefs: RefCell<Beliefs>,
    numbers: Cell<u64>,
    open: Cell<usize>,
    /// Runs that wait for their turn, by number.
    turns: RefCell<BTreeMap<u64, oneshot::Sender<()>>>,
    /// Questions to owners of replicas that wait for an answer, by number.
    answers: RefCell<BTreeMap<u64, oneshot::Sender<wire::PlaceAnswer>>>,
    /// Wakes the task that gives turns.
    pub(in crate::serving) turn_news: Notify,
}

impl Node {
    pub(in crate::serving) fn new(
        settings: ServeSettings,
        border: Border,
        store: Store,
        log: slog::Logger,
        socket: UdpSocket,
    ) -> Self {
        let now = now();
        let beliefs = Beliefs::new(&settings, now);
        Self {
            settings,
            border,
            store,
            upstreams: Upstreams::with(CONNECT_TIMEOUT, IDLE_TIMEOUT),
            log,
            // A restarted process must be told from the one before it; the
            // clock since the VM's start differs at each.
            incarnation: Incarnation(now.0),
            changed: Notify::new(),
            orders: Notify::new(),
            asks: Notify::new(),
            reread: Notify::new(),
            socket,
            news: Notify::new(),
            phase: watch::Sender::new(Phase::Serving),
            beliefs: RefCell::new(beliefs),
            numbers: Cell::new(0),
            open: Cell::new(0),
            turns: RefCell::default(),
            answers: RefCell::default(),
            turn_news: Notify::new(),
        }
    }

    /// The beliefs; never held across an await.
    pub(in crate::serving) fn beliefs(&self) -> RefMut<'_, Beliefs> {
        self.beliefs.borrow_mut()
    }

    /// A number that is used once.
    pub(in crate::serving) fn number(&self) -> u64 {
        self.numbers.set(self.numbers.get() + 1);
        self.numbers.get()
    }

    pub(in crate::serving) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits for a turn; the receiver hears of it.
    pub(in crate::serving) fn await_turn(&self, number: u64) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.turns.borrow_mut().insert(number, sender);
        receiver
    }

    /// It is the turn of a run; one that waits no more is passed over.
    pub(in crate::serving) fn grant_turn(&self, number: u64) {
        if let Some(sender) = self.turns.borrow_mut().remove(&number) {
            sender.send(()).ok();
        }
    }

    /// A run waits no more.
    pub(in crate::serving) fn forget_turn(&self, number: u64) {
        self.turns.borrow_mut().remove(&number);
    }

    /// An answer of a replica's owner goes to this sender.
    pub(in crate::serving) fn await_answer(
        &self,
        number: u64,
        sender: oneshot::Sender<wire::PlaceAnswer>,
    ) {
        self.answers.borrow_mut().insert(number, sender);
    }

    /// A replica's owner answered; one that came too late is dropped.
    pub(in crate::serving) fn take_answer(&self, answer: wire::PlaceAnswer) {
        if let Some(sender) = self.answers.borrow_mut().remove(&answer.number) {
            sender.send(answer).ok();
        }
    }

    /// An answer is waited for no more.
    pub(in crate::serving) fn forget_answer(&self, number: u64) {
        self.answers.borrow_mut().remove(&number);
    }

    /// Counts a request that is under way, until the guard is dropped.
    pub(in crate::serving) fn enter(self: &std::rc::Rc<Self>) -> Open {
        self.open.set(self.open.get() + 1);
        Open(self.clone())
    }

    /// Requests under way.
    pub(in crate::serving) fn open(&self) -> usize {
        self.open.get()
    }
}

/// A request that is under way.
pub(in crate::serving) struct Open(std::rc::Rc<Node>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
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

/// The timer's instant for a moment.
pub(in crate::serving) fn instant(at: Moment) -> Instant {
    Instant::now() + Duration::from_micros(at.since(now()).0)
}

/// How long until a moment.
pub(in crate::serving) fn until(at: Moment) -> Duration {
    Duration::from_micros(at.since(now()).0)
}
