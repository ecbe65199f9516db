//! The owner of one pool: an actor that feeds the pool and carries out what it
//! decides. Its parts stand in `sessions`, `dispatch` and `replicas`.

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
use crate::control::local::Local;
use crate::control::owner::ExternalState;
use crate::control::owner::RequestTable;
use crate::control::owner::SafetyRules;
use crate::control::owner::SessionId;
use crate::control::owner::maintenance::AHEAD;
use crate::control::owner::sessions::message;
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::PoolName;
use crate::ids::ReplicaName;
use crate::ids::Token;
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
use crate::upstream::Fence;
use crate::upstream::OrderError;
use crate::upstream::Orders;
use crate::upstream::Report;

/// The stream to an entry; a full one means that the entry does not read, and
/// its requests are refused.
pub(super) type Outbox = mpsc::Sender<Result<wire::OwnerMessage, tonic::Status>>;

/// What an owner is told.
#[derive(Debug)]
pub enum Event {
    /// An entry opened a stream.
    SessionOpened {
        /// The stream.
        session: SessionId,
        /// Its first message.
        hello: wire::Hello,
        /// Where answers go.
        out: mpsc::Sender<Result<wire::OwnerMessage, tonic::Status>>,
    },
    /// An entry says something.
    EntryMessage {
        /// On which stream.
        session: SessionId,
        /// What.
        body: wire::entry_message::Body,
    },
    /// A stream ended.
    SessionClosed(SessionId),
    /// A load report came, or none.
    LoadReport {
        /// Which replica.
        replica: ReplicaName,
        /// Where it was asked.
        address: SocketAddr,
        /// Its answer.
        report: Result<Report, OrderError>,
    },
    /// An engine was asked for its fence.
    FenceAnswer {
        /// Which replica.
        replica: ReplicaName,
        /// Where it was asked.
        address: SocketAddr,
        /// When it was asked.
        asked: Moment,
        /// Its answer.
        answer: Result<Fence, OrderError>,
        /// The report that made the owner ask.
        report: Report,
    },
    /// An order ended.
    OrderEnded {
        /// Its number.
        order: OrderId,
        /// How it ended.
        end: OrderEnd,
    },
    /// An unload began or ended.
    Unloading(bool),
    /// The journal was read.
    JournalRead(Result<Vec<(Segment, String)>, PlatformError>),
    /// The earlier owner was shut out of the journal, or not.
    JournalSealed(Result<Vec<String>, PlatformError>),
    /// A commit to the journal ended.
    Committed(WriteOutcome),
    /// The lease is over: refuse what waits and end.
    LeaseEnded,
    /// Time passes.
    Tick,
}

/// One replica as the owner sees it.
#[derive(Debug)]
pub(super) struct Watched {
    pub(super) address: SocketAddr,
    pub(super) incarnation: Incarnation,
    pub(super) failures: u32,
    pub(super) leaving: bool,
    pub(super) fencing: bool,
    pub(super) health: Health,
    pub(super) polling: JoinHandle<()>,
}

impl Drop for Watched {
    fn drop(&mut self) {
        self.polling.abort();
    }
}

/// How often time passes at the least.
const TICK: Span = Span::from_millis(100);

/// How often the pool's state is published for `banyan status`.
const PUBLISH: Span = Span::from_millis(500);

/// The owner of one pool.
pub struct OwnerActor {
    pub(super) shared: Shared,
    pub(super) local: Arc<Local>,
    pub(super) name: PoolName,
    pub(super) spec: PoolSpec,
    pub(super) catalog: Arc<Catalog>,
    pub(super) pool: Pool,
    pub(super) requests: RequestTable,
    pub(super) safety: SafetyRules,
    pub(super) facts: ExternalState,
    pub(super) journal: Journal,
    pub(super) held: BTreeMap<ClaimKey, (Ticket, wire::Grant)>,
    // Grants on replicas that the catalog here does not name yet.
    pub(super) orphans: Vec<InheritedDispatch>,
    pub(super) outboxes: BTreeMap<SessionId, Outbox>,
    pub(super) replicas: BTreeMap<ReplicaName, Watched>,
    pub(super) orders: Orders,
    pub(super) reports: Orders,
    pub(super) verdicts: BTreeMap<Fingerprint, u64>,
    pub(super) unloading: u32,
    pub(super) draining: bool,
    pub(super) deposed: bool,
    /// No order may be given.
    pub(super) frozen: bool,
    /// No slot may be given up.
    pub(super) keeping: bool,
    pub(super) settled: bool,
    pub(super) recovering: bool,
    pub(super) recover_at: Moment,
    published: Moment,
    wake: watch::Sender<Moment>,
    pub(super) address: Option<Address<Self>>,
}

impl Actor for OwnerActor {
    type Stop = ();

    async fn started(&mut self, mailbox: &Mailbox<Self>) -> Result<(), ()> {
        self.address = mailbox.address().try_upgrade();
        // Before the first entry speaks: the pool must know its replicas to
        // count what entries hold on them.
        self.tick(clock::now());
        Ok(())
    }

    async fn stopped(self) {}
}

impl OwnerActor {
    /// An owner that knows nothing of its replicas yet.
    pub fn new(
        shared: Shared,
        local: Arc<Local>,
        name: PoolName,
        tenure: HeldLease,
    ) -> Option<Self> {
        let catalog = shared.board.catalog.borrow().clone();
        let spec = catalog.pools.get(&name)?.clone();
        let honours = match &spec.kind {
            PoolKind::Engine { honours_token, .. } => *honours_token,
            PoolKind::Service { .. } => false,
        };
        let grants = &local.settings.grants;
        let margin = Span::from_millis(grants.margin_ms);
        let quarantine = Span::from_millis(grants.quarantine_ms);
        let times = &local.settings.upstreams;
        let orders = Orders::new(std::time::Duration::from_millis(times.order_ms));
        let reports = Orders::new(std::time::Duration::from_millis(times.report_ms));
        let limits = local.settings.claim_limits();
        let mut pool = new_pool(&catalog, &spec);
        pool.freeze_slots(clock::now().after(AHEAD));
        Some(Self {
            pool,
            requests: RequestTable::new(tenure.token),
            journal: Journal::new(tenure.token, limits),
            safety: SafetyRules::new(honours, tenure, margin, quarantine),
            spec: PoolSpec {
                replicas: Vec::new(),
                ..spec
            },
            catalog: Arc::default(),
            facts: ExternalState::default(),
            held: BTreeMap::new(),
            orphans: Vec::new(),
            outboxes: BTreeMap::new(),
            replicas: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            unloading: 0,
            draining: false,
            deposed: false,
            frozen: true,
            keeping: true,
            settled: false,
            recovering: false,
            recover_at: Moment(0),
            published: Moment(0),
            wake: watch::Sender::new(Moment(0)),
            address: None,
            shared,
            local,
            name,
            orders,
            reports,
        })
    }

    /// When the owner next wants a tick.
    pub fn wakes(&self) -> watch::Receiver<Moment> {
        self.wake.subscribe()
    }

    pub(super) fn token(&self) -> Token {
        self.safety.lease().token
    }

    /// Sends an event to this owner from a task of its own.
    pub(super) fn later(&self, work: impl Future<Output = Event> + Send + 'static) {
        let Some(address) = self.address.clone() else {
            return;
        };
        tokio::spawn(async move {
            let event = work.await;
            let _ = address.send(event).detach().await;
        });
    }

    fn tick(&mut self, now: Moment) {
        self.learn_facts(now);
        self.follow_tenure();
        self.follow_catalog(now);
        self.follow_verdicts(now);
        self.judge_replicas(now);
        self.end_lapsed(now);
        self.keep_frozen(now);
        self.keep_journal(now);
        self.drain_if_stopping(now);
        self.pool.tick(now);
    }

    // Tells every entry to look for another owner.
    fn part(&mut self) {
        for (_, out) in std::mem::take(&mut self.outboxes) {
            let answer = wire::owner_message::Body::NotOwner(wire::NotOwner::default());
            let _ = out.try_send(Ok(message(answer)));
        }
        self.replicas.clear();
    }

    fn publish(&mut self, now: Moment) {
        if now < self.published.after(PUBLISH) {
            return;
        }
        self.published = now;
        let status = self.status();
        self.shared
            .board
            .pools
            .send_modify(|pools| drop(pools.insert(self.name.clone(), status)));
    }

    fn schedule(&self, now: Moment) {
        let mut next = now.after(TICK);
        for wish in [self.pool.next_wake(), self.journal.next_wake()] {
            next = next.min(wish.unwrap_or(next));
        }
        self.wake.send_if_modified(|wake| {
            let changed = next < *wake || *wake <= now;
            if changed {
                *wake = next;
            }
            changed
        });
    }
}

// The one place where a pool is made from what operators configured.
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

/// The shares of all teams.
pub(super) fn shares(catalog: &Catalog) -> Shares {
    let teams = catalog.teams.iter();
    teams.map(|(name, t)| (name.clone(), t.share)).collect()
}

impl Handler<Event> for OwnerActor {
    type Return = ();

    async fn handle(&mut self, event: Event, ctx: &mut Context<Self>) {
        let now = clock::now();
        let last = matches!(event, Event::LeaseEnded);
        match event {
            Event::SessionOpened {
                session,
                hello,
                out,
            } => self.open(now, session, &hello, out),
            Event::EntryMessage { session, body } => self.say(now, session, body),
            Event::SessionClosed(session) => self.close(now, session),
            Event::LoadReport {
                replica,
                address,
                report,
            } => self.reported(now, &replica, address, report),
            Event::FenceAnswer {
                replica,
                address,
                asked,
                answer,
                report,
            } => self.fenced(now, &replica, address, asked, answer, &report),
            Event::OrderEnded { order, end } => self.ordered(now, order, end),
            Event::Unloading(true) => self.unloading += 1,
            Event::Unloading(false) => self.unloading = self.unloading.saturating_sub(1),
            Event::JournalRead(read) => self.journal_read(now, read),
            Event::JournalSealed(sealed) => self.journal_sealed(now, sealed),
            Event::Committed(end) => self.committed(now, end),
            Event::LeaseEnded => self.depose(),
            Event::Tick => self.tick(now),
        }
        self.carry_out(now);
        if last {
            self.part();
            ctx.stop_self();
            return;
        }
        self.commit_journal(now);
        self.publish(now);
        self.schedule(now);
    }
}
