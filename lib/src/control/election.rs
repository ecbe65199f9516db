//! The election task: runs one elector per pool and one watch for all leases.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::control::Owner;
use crate::control::Shared;
use crate::control::clock;
use crate::control::members;
use crate::control::ownership::OwnershipState;
use crate::ids::PoolName;
use crate::lease::Candidate;
use crate::lease::Elector;
use crate::lease::HeldLease;
use crate::lease::Record;
use crate::lease::Step;
use crate::lease::WriteOutcome;
use crate::lease::rank;
use crate::platform::List;
use crate::platform::Platform;
use crate::platform::PlatformError;
use crate::platform::WatchEvent;
use crate::timeline::EventFields;
use crate::timeline::EventKind;

/// The kind of lease objects.
const LEASE_KIND: &str = "leases";

/// Interval at which the electors are advanced; a tenth of the time limit for the
/// handover at a planned stop.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Delay before a failed watch is reopened.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Capacity of the event queue; each pool has at most one call in flight.
const EVENT_CAPACITY: usize = 256;

enum Event {
    Listed(Vec<(String, Record, String)>),
    Changed(String, Option<(Record, String)>),
    WatchFailed,
    ReadDone(PoolName, Result<Option<(Record, String)>, PlatformError>),
    WriteDone(PoolName, WriteOutcome),
}

fn object_name(pool: &PoolName) -> String {
    format!("pool-{pool}")
}

struct Election {
    shared: Shared,
    ownership: Arc<OwnershipState>,
    events: mpsc::Sender<Event>,
    electors: BTreeMap<PoolName, Elector>,
    watch_open: bool,
}

/// Acquires and renews leases until the process stops and has released them.
pub(super) async fn run(shared: Shared, ownership: Arc<OwnershipState>) {
    let (events, mut inbox) = mpsc::channel(EVENT_CAPACITY);
    tokio::spawn(watch_leases(shared.platform.clone(), events.clone()));
    let mut election = Election {
        shared,
        ownership,
        events,
        electors: BTreeMap::new(),
        watch_open: false,
    };
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            Some(event) = inbox.recv() => election.handle(event),
        }
        election.advance();
        if election.is_finished() {
            election.ownership.released.send_replace(true);
            return;
        }
    }
}

impl Election {
    fn handle(&mut self, event: Event) {
        let now = clock::now();
        match event {
            Event::Listed(records) => {
                self.watch_open = true;
                for (pool, elector) in &mut self.electors {
                    let name = object_name(pool);
                    let found = records.iter().find(|(n, _, _)| *n == name);
                    elector.restart_ttl(now);
                    elector.observe(now, found.map(|(_, r, v)| (r.clone(), v.clone())));
                }
            }
            Event::Changed(name, object) => {
                let found = self
                    .electors
                    .iter_mut()
                    .find(|(pool, _)| object_name(pool) == name);
                if let Some((_, elector)) = found {
                    elector.observe(now, object);
                }
            }
            Event::WatchFailed => self.watch_open = false,
            Event::ReadDone(pool, answer) => {
                if let Some(elector) = self.electors.get_mut(&pool) {
                    match answer {
                        Ok(object) => {
                            elector.read_done();
                            elector.observe(now, object);
                        }
                        Err(_) => elector.read_failed(now),
                    }
                }
            }
            Event::WriteDone(pool, outcome) => {
                if let Some(elector) = self.electors.get_mut(&pool) {
                    elector.write_done(now, outcome);
                }
            }
        }
    }

    // Executes the next step of every elector and publishes the held leases.
    fn advance(&mut self) {
        self.sync_pools();
        let now = clock::now();
        let stopping = *self.shared.state.stopping.borrow();
        let live = members::candidates(&self.shared.state.members.borrow());
        let drained = self.ownership.drained.borrow().clone();
        let settled = self.ownership.settled.borrow().clone();
        let deposed = self.ownership.deposed.borrow().clone();
        let mut steps = Vec::new();
        for (pool, elector) in &mut self.electors {
            settled.get(pool).inspect(|t| elector.set_settled(**t));
            deposed.get(pool).inspect(|t| elector.resign(**t));
            if elector.lease().is_none() && (!self.watch_open || stopping) {
                continue;
            }
            let release = drained.get(pool).filter(|_| stopping);
            let position = || rank(pool, &self.shared.vm, &live);
            steps.push((pool.clone(), elector.step(now, position, release)));
        }
        for (pool, step) in steps {
            self.execute(pool, step);
        }
        self.publish();
    }

    fn sync_pools(&mut self) {
        let catalog = self.shared.state.catalog.borrow().clone();
        if catalog.pools.len() == self.electors.len()
            && catalog.pools.keys().eq(self.electors.keys())
        {
            return;
        }
        self.electors.retain(|p, _| catalog.pools.contains_key(p));
        for pool in catalog.pools.keys() {
            self.electors.entry(pool.clone()).or_insert_with(|| {
                let me = Candidate {
                    vm: self.shared.vm.clone(),
                    address: self.shared.address,
                    incarnation: self.shared.incarnation,
                };
                Elector::new(me, self.ownership.settings.lease_timing())
            });
        }
    }

    fn execute(&self, pool: PoolName, step: Step) {
        let platform = self.shared.platform.clone();
        let events = self.events.clone();
        let name = object_name(&pool);
        match step {
            Step::Wait => {}
            Step::Read => {
                tokio::spawn(async move {
                    let answer = read(&platform, &name).await;
                    let _ = events.send(Event::ReadDone(pool, answer)).await;
                });
            }
            Step::Create(record) => {
                tokio::spawn(async move {
                    let outcome = write_outcome(platform.create(LEASE_KIND, &name, &record).await);
                    let _ = events.send(Event::WriteDone(pool, outcome)).await;
                });
            }
            Step::Replace(version, record) => {
                tokio::spawn(async move {
                    let answer = platform.replace(LEASE_KIND, &name, &version, &record).await;
                    let _ = events
                        .send(Event::WriteDone(pool, write_outcome(answer)))
                        .await;
                });
            }
        }
    }

    fn publish(&self) {
        let held: BTreeMap<PoolName, HeldLease> = self
            .electors
            .iter()
            .filter_map(|(p, c)| Some((p.clone(), c.lease()?.clone())))
            .collect();
        let before = self.ownership.leases.borrow().clone();
        if before != held {
            self.record_changes(&before, &held);
            self.ownership.leases.send_replace(held);
        }
        self.publish_owners();
    }

    fn record_changes(
        &self,
        before: &BTreeMap<PoolName, HeldLease>,
        after: &BTreeMap<PoolName, HeldLease>,
    ) {
        let lost = before.iter().filter(|(p, t)| is_absent(after, p, t));
        let gained = after.iter().filter(|(p, t)| is_absent(before, p, t));
        let lost = lost.map(|(p, t)| (EventKind::Lost, p, t));
        for (kind, pool, lease) in lost.chain(gained.map(|(p, t)| (EventKind::Acquired, p, t))) {
            slog::info!(self.shared.log, "lease"; "event" => kind.as_str(),
                "pool" => %pool, "token" => lease.token.0);
            metrics::counter!("lease_changes_total", "event" => kind.as_str()).increment(1);
            let about = EventFields {
                pool: pool.to_string(),
                detail: format!("token {}, former {:?}", lease.token.0, lease.predecessor),
                ..EventFields::default()
            };
            self.shared.recorder.record(kind, about);
        }
    }

    fn publish_owners(&self) {
        let changed = self.shared.state.owners.send_if_modified(|owners| {
            let mut changed = false;
            for (pool, elector) in &self.electors {
                let Some(record) = elector.record() else {
                    continue;
                };
                let known = owners.get(pool).map(|o| o.token);
                // The owner of a released lease stays until there is a new one:
                // if it were removed, gossip from peers would add it again.
                if known.is_none_or(|t| t < record.token) {
                    owners.insert(pool.clone(), owner_of(record));
                    changed = true;
                }
            }
            changed
        });
        if changed {
            self.ownership.gossip_wake.notify_one();
        }
    }

    fn is_finished(&self) -> bool {
        *self.shared.state.stopping.borrow() && self.electors.values().all(|c| c.lease().is_none())
    }
}

fn is_absent(other: &BTreeMap<PoolName, HeldLease>, pool: &PoolName, lease: &HeldLease) -> bool {
    other.get(pool).is_none_or(|t| t.token != lease.token)
}

fn owner_of(record: &Record) -> Owner {
    Owner {
        vm: record.holder.clone(),
        address: record.address,
        token: record.token,
    }
}

async fn read(platform: &Platform, name: &str) -> Result<Option<(Record, String)>, PlatformError> {
    match platform.get::<Record>(LEASE_KIND, name).await {
        Ok(object) => Ok(Some((object.spec, object.metadata.version))),
        Err(PlatformError::NotFound) => Ok(None),
        Err(e) => Err(e),
    }
}

fn write_outcome(answer: Result<String, PlatformError>) -> WriteOutcome {
    match answer {
        Ok(version) => WriteOutcome::Done(version),
        Err(PlatformError::Conflict | PlatformError::NotFound) => WriteOutcome::Conflict,
        Err(PlatformError::Lost(_) | PlatformError::Malformed(_)) => WriteOutcome::Unknown,
        Err(_) => WriteOutcome::NotApplied,
    }
}

// Lists and watches the leases for the lifetime of the process.
async fn watch_leases(platform: Platform, events: mpsc::Sender<Event>) {
    loop {
        // After any failure the leases are listed again.
        let _ = watch_once(&platform, &events).await;
        if events.send(Event::WatchFailed).await.is_err() {
            return;
        }
        tokio::time::sleep(WATCH_RETRY_DELAY).await;
    }
}

async fn watch_once(
    platform: &Platform,
    events: &mpsc::Sender<Event>,
) -> Result<(), PlatformError> {
    let list: List<Record> = platform.list(LEASE_KIND).await?;
    let mut watch = platform.watch(LEASE_KIND, &list.metadata.version).await?;
    let records = list
        .items
        .into_iter()
        .map(|o| (o.metadata.name, o.spec, o.metadata.version))
        .collect();
    let _ = events.send(Event::Listed(records)).await;
    while let Some(event) = watch.next::<Record>().await? {
        let (name, object) = match event {
            WatchEvent::Added(o) | WatchEvent::Modified(o) => {
                (o.metadata.name, Some((o.spec, o.metadata.version)))
            }
            WatchEvent::Deleted(o) => (o.metadata.name, None),
            WatchEvent::Bookmark(_) => continue,
        };
        if events.send(Event::Changed(name, object)).await.is_err() {
            break;
        }
    }
    Ok(())
}
