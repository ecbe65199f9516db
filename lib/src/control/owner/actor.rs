//! The actor that owns one pool: it passes events to the pool and carries out
//! the pool's commands. `sessions`, `dispatch`, `replicas`, `journal` and
//! `maintenance` implement its parts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use banyangauge_proto as wire;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use xtra::prelude::*;

use crate::catalog::Catalog;
use crate::catalog::PoolKind;
use crate::catalog::PoolSpec;
use crate::claims::ClaimKey;
use crate::claims::Journal;
use crate::claims::Segment;
use crate::claims::WriteOutcome;
use crate::control::Shared;
use crate::control::clock;
use crate::control::owner::ExternalState;
use crate::control::owner::RequestTable;
use crate::control::owner::SafetyRules;
use crate::control::owner::SessionId;
use crate::control::owner::maintenance::FREEZE_AHEAD;
use crate::control::owner::sessions::message;
use crate::control::ownership::OwnershipState;
use crate::ids::FencingToken;
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::PoolName;
use crate::ids::ReplicaName;
use crate::lease::HeldLease;
use crate::platform::PlatformError;
use crate::pool::Health;
use crate::pool::InheritedDispatch;
use crate::pool::Moment;
use crate::pool::OrderEnd;
use crate::pool::OrderId;
use crate::pool::Pool;
use crate::pool::PoolSettings;
use crate::pool::Shares;
use crate::pool::Span;
use crate::pool::Ticket;
use crate::upstream::EngineReport;
use crate::upstream::FenceReply;
use crate::upstream::OrderClient;
use crate::upstream::OrderError;

/// The channel for messages to an entry. If it is full because the entry does not
/// read them, the owner drops it and refuses the entry's requests.
pub(super) type Outbox = mpsc::Sender<Result<wire::OwnerMessage, tonic::Status>>;

/// An event that an owner processes.
#[derive(Debug)]
pub enum Event {
    /// An entry opened a stream.
    SessionOpened {
        /// The stream.
        session: SessionId,
        /// Its first message.
        hello: wire::Hello,
        /// The channel for messages to the entry.
        out: mpsc::Sender<Result<wire::OwnerMessage, tonic::Status>>,
    },
    /// An entry sent a message.
    EntryMessage {
        /// The stream.
        session: SessionId,
        /// The message.
        body: wire::entry_message::Body,
    },
    /// A stream ended.
    SessionClosed(SessionId),
    /// A replica was asked for a load report.
    LoadReport {
        /// The replica.
        replica: ReplicaName,
        /// The address that was asked.
        address: SocketAddr,
        /// The report, or why there is none.
        report: Result<EngineReport, OrderError>,
    },
    /// An engine was asked to confirm the fencing token.
    FenceAnswer {
        /// The replica.
        replica: ReplicaName,
        /// The address that was asked.
        address: SocketAddr,
        /// When it was asked.
        asked: Moment,
        /// Its answer.
        answer: Result<FenceReply, OrderError>,
        /// The load report that made the owner ask.
        report: EngineReport,
    },
    /// An order to a replica ended.
    OrderEnded {
        /// The order.
        order: OrderId,
        /// The outcome.
        end: OrderEnd,
    },
    /// An unload began (true) or ended (false).
    Unloading(bool),
    /// The journal was read, or could not be.
    JournalRead(Result<Vec<(Segment, String)>, PlatformError>),
    /// The earlier owner was fenced off from the journal, or could not be.
    JournalSealed(Result<Vec<String>, PlatformError>),
    /// A commit to the journal ended.
    Committed(WriteOutcome),
    /// The lease has ended: the owner refuses waiting requests and stops.
    LeaseEnded,
    /// Time-driven work is due.
    Tick,
}

/// The state of one replica and the task that polls it.
#[derive(Debug)]
pub(super) struct ReplicaMonitor {
    pub(super) address: SocketAddr,
    pub(super) incarnation: Incarnation,
    // Load reports that failed in a row.
    pub(super) failures: u32,
    pub(super) leaving: bool,
    // A fence request is in flight.
    pub(super) fence_pending: bool,
    pub(super) health: Health,
    pub(super) poll_task: JoinHandle<()>,
}

impl Drop for ReplicaMonitor {
    fn drop(&mut self) {
        self.poll_task.abort();
    }
}

/// The longest time between two ticks.
const TICK_INTERVAL: Span = Span::from_millis(100);

/// The shortest time between two publications of the pool's state for
/// `banyan status`.
const PUBLISH_INTERVAL: Span = Span::from_millis(500);

/// The owner of one pool.
pub struct OwnerActor {
    pub(super) shared: Shared,
    pub(super) local: Arc<OwnershipState>,
    pub(super) name: PoolName,
    pub(super) spec: PoolSpec,
    pub(super) catalog: Arc<Catalog>,
    pub(super) pool: Pool,
    pub(super) requests: RequestTable,
    pub(super) safety: SafetyRules,
    pub(super) external: ExternalState,
    pub(super) journal: Journal,
    // Grants that are sent once their claim is durable.
    pub(super) awaiting_commit: BTreeMap<ClaimKey, (Ticket, wire::Grant)>,
    // Inherited dispatches to replicas that are not in this process's catalog yet.
    pub(super) unlisted_dispatches: Vec<InheritedDispatch>,
    pub(super) outboxes: BTreeMap<SessionId, Outbox>,
    pub(super) replicas: BTreeMap<ReplicaName, ReplicaMonitor>,
    // Sends load and unload orders.
    pub(super) order_client: OrderClient,
    // Requests load reports and fences, with a timeout of its own.
    pub(super) report_client: OrderClient,
    // Blocked request fingerprints, each with the uptime in ms at which its block
    // ends.
    pub(super) blocked: BTreeMap<Fingerprint, u64>,
    pub(super) pending_unloads: u32,
    pub(super) draining: bool,
    // There is or may be a successor, so no grants or orders are sent.
    pub(super) deposed: bool,
    // No order may be sent.
    pub(super) frozen: bool,
    // No slot may be evicted.
    pub(super) evictions_frozen: bool,
    // No grant of an earlier owner can be in use any more.
    pub(super) settled: bool,
    // The journal is being read and sealed.
    pub(super) recovering: bool,
    // When the journal may be read again after a failure.
    pub(super) recover_at: Moment,
    last_publish: Moment,
    next_tick: watch::Sender<Moment>,
    pub(super) address: Option<Address<Self>>,
}

impl Actor for OwnerActor {
    type Stop = ();

    async fn started(&mut self, mailbox: &Mailbox<Self>) -> Result<(), ()> {
        self.address = mailbox.address().try_upgrade();
        // The pool must know its replicas before the first entry reports its
        // grants on them.
        self.tick(clock::now());
        Ok(())
    }

    async fn stopped(self) {}
}

impl OwnerActor {
    /// Creates an owner that has not read its journal nor polled its replicas.
    /// Returns `None` if the catalog does not contain the pool.
    pub fn new(
        shared: Shared,
        local: Arc<OwnershipState>,
        name: PoolName,
        lease: HeldLease,
    ) -> Option<Self> {
        let catalog = shared.state.catalog.borrow().clone();
        let spec = catalog.pools.get(&name)?.clone();
        let honours = match &spec.kind {
            PoolKind::Engine { honours_token, .. } => *honours_token,
            PoolKind::Service { .. } => false,
        };
        let grants = &local.settings.grants;
        let margin = Span::from_millis(grants.margin_ms);
        let quarantine = Span::from_millis(grants.quarantine_ms);
        let upstreams = &local.settings.upstreams;
        let order_client = OrderClient::new(std::time::Duration::from_millis(upstreams.order_ms));
        let report_client = OrderClient::new(std::time::Duration::from_millis(upstreams.report_ms));
        let limits = local.settings.claim_limits();
        let mut pool = new_pool(&catalog, &spec);
        pool.freeze_slots(clock::now().after(FREEZE_AHEAD));
        Some(Self {
            pool,
            requests: RequestTable::new(lease.token),
            journal: Journal::new(lease.token, limits),
            safety: SafetyRules::new(honours, lease, margin, quarantine),
            spec: PoolSpec {
                replicas: Vec::new(),
                ..spec
            },
            catalog: Arc::default(),
            external: ExternalState::default(),
            awaiting_commit: BTreeMap::new(),
            unlisted_dispatches: Vec::new(),
            outboxes: BTreeMap::new(),
            replicas: BTreeMap::new(),
            blocked: BTreeMap::new(),
            pending_unloads: 0,
            draining: false,
            deposed: false,
            frozen: true,
            evictions_frozen: true,
            settled: false,
            recovering: false,
            recover_at: Moment(0),
            last_publish: Moment(0),
            next_tick: watch::Sender::new(Moment(0)),
            address: None,
            shared,
            local,
            name,
            order_client,
            report_client,
        })
    }

    /// Returns when the owner next needs a tick.
    pub fn next_tick(&self) -> watch::Receiver<Moment> {
        self.next_tick.subscribe()
    }

    pub(super) fn token(&self) -> FencingToken {
        self.safety.lease().token
    }

    /// Spawns a task that sends the resulting event to this owner.
    pub(super) fn spawn_event(&self, task: impl Future<Output = Event> + Send + 'static) {
        let Some(address) = self.address.clone() else {
            return;
        };
        tokio::spawn(async move {
            let event = task.await;
            let _ = address.send(event).detach().await;
        });
    }

    fn tick(&mut self, now: Moment) {
        self.update_external(now);
        self.check_ownership();
        self.apply_catalog(now);
        self.apply_blocks(now);
        self.update_replicas(now);
        self.expire_grants(now);
        self.update_freeze(now);
        self.maintain_journal(now);
        self.drain_if_stopping(now);
        self.pool.tick(now);
    }

    // Notifies every entry that this process is no longer the owner, and stops
    // polling replicas.
    fn redirect_entries(&mut self) {
        for (_, out) in std::mem::take(&mut self.outboxes) {
            let body = wire::owner_message::Body::NotOwner(wire::NotOwner::default());
            let _ = out.try_send(Ok(message(body)));
        }
        self.replicas.clear();
    }

    fn publish(&mut self, now: Moment) {
        if now < self.last_publish.after(PUBLISH_INTERVAL) {
            return;
        }
        self.last_publish = now;
        let status = self.status();
        self.shared
            .state
            .pools
            .send_modify(|pools| drop(pools.insert(self.name.clone(), status)));
    }

    fn schedule(&self, now: Moment) {
        let mut next = now.after(TICK_INTERVAL);
        for wake in [self.pool.next_wake(), self.journal.next_wake()] {
            next = next.min(wake.unwrap_or(next));
        }
        self.next_tick.send_if_modified(|tick| {
            let changed = next < *tick || *tick <= now;
            if changed {
                *tick = next;
            }
            changed
        });
    }
}

// Creates the pool from its specification in the catalog.
fn new_pool(catalog: &Catalog, spec: &PoolSpec) -> Pool {
    let shares = shares(catalog);
    let settings = match &spec.kind {
        PoolKind::Engine {
            weighing,
            loads_per_s,
            step_us,
            ..
        } => PoolSettings::builder()
            .objective(*weighing)
            .loads_per_s(*loads_per_s)
            .step_us(*step_us)
            .shares(shares)
            .build(),
        PoolKind::Service { .. } => PoolSettings::builder().shares(shares).build(),
    };
    Pool::new(settings)
}

/// Returns the shares of all teams.
pub(super) fn shares(catalog: &Catalog) -> Shares {
    let teams = catalog.teams.iter();
    teams.map(|(name, t)| (name.clone(), t.share)).collect()
}

impl Handler<Event> for OwnerActor {
    type Return = ();

    async fn handle(&mut self, event: Event, ctx: &mut Context<Self>) {
        let now = clock::now();
        let ended = matches!(event, Event::LeaseEnded);
        match event {
            Event::SessionOpened {
                session,
                hello,
                out,
            } => self.open_session(now, session, &hello, out),
            Event::EntryMessage { session, body } => self.handle_message(now, session, body),
            Event::SessionClosed(session) => self.close_session(now, session),
            Event::LoadReport {
                replica,
                address,
                report,
            } => self.handle_report(now, &replica, address, report),
            Event::FenceAnswer {
                replica,
                address,
                asked,
                answer,
                report,
            } => self.handle_fence(now, &replica, address, asked, answer, &report),
            Event::OrderEnded { order, end } => self.handle_order_end(now, order, end),
            Event::Unloading(true) => self.pending_unloads += 1,
            Event::Unloading(false) => {
                self.pending_unloads = self.pending_unloads.saturating_sub(1)
            }
            Event::JournalRead(read) => self.handle_journal_read(now, read),
            Event::JournalSealed(sealed) => self.handle_journal_sealed(now, sealed),
            Event::Committed(end) => self.handle_commit(now, end),
            Event::LeaseEnded => self.depose(),
            Event::Tick => self.tick(now),
        }
        self.run_commands(now);
        if ended {
            self.redirect_entries();
            ctx.stop_self();
            return;
        }
        self.commit_journal(now);
        self.publish(now);
        self.schedule(now);
    }
}
