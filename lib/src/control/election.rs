//! The duty that holds leases: one contest a pool, one watch for all.

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
const LEASES: &str = "leases";

/// How often the contests are asked what to do; a tenth of the time in which
/// a planned stop is to be handed over.
const TICK: Duration = Duration::from_millis(50);

/// How long after a broken watch the next is tried.
const WATCH_PAUSE: Duration = Duration::from_millis(200);

/// Events between the calls and the contests; calls are one a pool.
const RING: usize = 256;

enum Event {
    Listed(Vec<(String, Record, String)>),
    Changed(String, Option<(Record, String)>),
    WatchBroke,
    Read(PoolName, Result<Option<(Record, String)>, PlatformError>),
    Written(PoolName, WriteOutcome),
}

fn object_name(pool: &PoolName) -> String {
    format!("pool-{pool}")
}

struct Election {
    shared: Shared,
    local: Arc<OwnershipState>,
    events: mpsc::Sender<Event>,
    contests: BTreeMap<PoolName, Elector>,
    watching: bool,
}

/// Contends for and holds leases until the process stops and has released
/// them.
pub(super) async fn run(shared: Shared, local: Arc<OwnershipState>) {
    let (events, mut inbox) = mpsc::channel(RING);
    tokio::spawn(follow(shared.platform.clone(), events.clone()));
    let mut election = Election {
        shared,
        local,
        events,
        contests: BTreeMap::new(),
        watching: false,
    };
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            Some(event) = inbox.recv() => election.take(event),
        }
        election.advance();
        if election.is_over() {
            election.local.released.send_replace(true);
            return;
        }
    }
}

impl Election {
    fn take(&mut self, event: Event) {
        let now = clock::now();
        match event {
            Event::Listed(records) => {
                self.watching = true;
                for (pool, contest) in &mut self.contests {
                    let name = object_name(pool);
                    let found = records.iter().find(|(n, _, _)| *n == name);
                    contest.restart_ttl(now);
                    contest.observe(now, found.map(|(_, r, v)| (r.clone(), v.clone())));
                }
            }
            Event::Changed(name, object) => {
                let found = self
                    .contests
                    .iter_mut()
                    .find(|(pool, _)| object_name(pool) == name);
                if let Some((_, contest)) = found {
                    contest.observe(now, object);
                }
            }
            Event::WatchBroke => self.watching = false,
            Event::Read(pool, answer) => {
                if let Some(contest) = self.contests.get_mut(&pool) {
                    match answer {
                        Ok(object) => {
                            contest.read_done();
                            contest.observe(now, object);
                        }
                        Err(_) => contest.read_failed(now),
                    }
                }
            }
            Event::Written(pool, end) => {
                if let Some(contest) = self.contests.get_mut(&pool) {
                    contest.write_done(now, end);
                }
            }
        }
    }

    // Asks every contest for its next step and publishes what is held.
    fn advance(&mut self) {
        self.follow_catalog();
        let now = clock::now();
        let stopping = *self.shared.state.stopping.borrow();
        let live = members::candidates(&self.shared.state.members.borrow());
        let drained = self.local.drained.borrow().clone();
        let settled = self.local.settled.borrow().clone();
        let deposed = self.local.deposed.borrow().clone();
        let mut steps = Vec::new();
        for (pool, contest) in &mut self.contests {
            settled.get(pool).inspect(|t| contest.set_settled(**t));
            deposed.get(pool).inspect(|t| contest.resign(**t));
            if contest.lease().is_none() && (!self.watching || stopping) {
                continue;
            }
            let stop = drained.get(pool).filter(|_| stopping);
            let place = || rank(pool, &self.shared.vm, &live);
            steps.push((pool.clone(), contest.step(now, place, stop)));
        }
        for (pool, step) in steps {
            self.carry_out(pool, step);
        }
        self.publish();
    }

    fn follow_catalog(&mut self) {
        let catalog = self.shared.state.catalog.borrow().clone();
        if catalog.pools.len() == self.contests.len()
            && catalog.pools.keys().eq(self.contests.keys())
        {
            return;
        }
        self.contests.retain(|p, _| catalog.pools.contains_key(p));
        for pool in catalog.pools.keys() {
            self.contests.entry(pool.clone()).or_insert_with(|| {
                let me = Candidate {
                    vm: self.shared.vm.clone(),
                    address: self.shared.address,
                    incarnation: self.shared.incarnation,
                };
                Elector::new(me, self.local.settings.lease_timing())
            });
        }
    }

    fn carry_out(&self, pool: PoolName, step: Step) {
        let platform = self.shared.platform.clone();
        let events = self.events.clone();
        let name = object_name(&pool);
        match step {
            Step::Wait => {}
            Step::Read => {
                tokio::spawn(async move {
                    let answer = read(&platform, &name).await;
                    let _ = events.send(Event::Read(pool, answer)).await;
                });
            }
            Step::Create(record) => {
                tokio::spawn(async move {
                    let end = write_end(platform.create(LEASES, &name, &record).await);
                    let _ = events.send(Event::Written(pool, end)).await;
                });
            }
            Step::Replace(version, record) => {
                tokio::spawn(async move {
                    let answer = platform.replace(LEASES, &name, &version, &record).await;
                    let _ = events.send(Event::Written(pool, write_end(answer))).await;
                });
            }
        }
    }

    fn publish(&self) {
        let held: BTreeMap<PoolName, HeldLease> = self
            .contests
            .iter()
            .filter_map(|(p, c)| Some((p.clone(), c.lease()?.clone())))
            .collect();
        let before = self.local.leases.borrow().clone();
        if before != held {
            self.note_changes(&before, &held);
            self.local.leases.send_replace(held);
        }
        self.publish_owners();
    }

    fn note_changes(
        &self,
        before: &BTreeMap<PoolName, HeldLease>,
        after: &BTreeMap<PoolName, HeldLease>,
    ) {
        let lost = before.iter().filter(|(p, t)| is_new(after, p, t));
        let gained = after.iter().filter(|(p, t)| is_new(before, p, t));
        let lost = lost.map(|(p, t)| (EventKind::Lost, p, t));
        for (kind, pool, tenure) in lost.chain(gained.map(|(p, t)| (EventKind::Acquired, p, t))) {
            slog::info!(self.shared.log, "lease"; "event" => kind.as_str(),
                "pool" => %pool, "token" => tenure.token.0);
            metrics::counter!("lease_changes_total", "event" => kind.as_str()).increment(1);
            let about = EventFields {
                pool: pool.to_string(),
                detail: format!("token {}, former {:?}", tenure.token.0, tenure.predecessor),
                ..EventFields::default()
            };
            self.shared.recorder.record(kind, about);
        }
    }

    fn publish_owners(&self) {
        let changed = self.shared.state.owners.send_if_modified(|owners| {
            let mut changed = false;
            for (pool, contest) in &self.contests {
                let Some(record) = contest.record() else {
                    continue;
                };
                let known = owners.get(pool).map(|o| o.token);
                // A released lease keeps its last holder on the board until
                // the next one: peers would otherwise bring it back.
                if known.is_none_or(|t| t < record.token) {
                    owners.insert(pool.clone(), owner_of(record));
                    changed = true;
                }
            }
            changed
        });
        if changed {
            self.local.gossip_wake.notify_one();
        }
    }

    fn is_over(&self) -> bool {
        *self.shared.state.stopping.borrow() && self.contests.values().all(|c| c.lease().is_none())
    }
}

fn is_new(other: &BTreeMap<PoolName, HeldLease>, pool: &PoolName, tenure: &HeldLease) -> bool {
    other.get(pool).is_none_or(|t| t.token != tenure.token)
}

fn owner_of(record: &Record) -> Owner {
    Owner {
        vm: record.holder.clone(),
        address: record.address,
        token: record.token,
    }
}

async fn read(platform: &Platform, name: &str) -> Result<Option<(Record, String)>, PlatformError> {
    match platform.get::<Record>(LEASES, name).await {
        Ok(object) => Ok(Some((object.spec, object.metadata.version))),
        Err(PlatformError::NotFound) => Ok(None),
        Err(e) => Err(e),
    }
}

fn write_end(answer: Result<String, PlatformError>) -> WriteOutcome {
    match answer {
        Ok(version) => WriteOutcome::Done(version),
        Err(PlatformError::Conflict | PlatformError::NotFound) => WriteOutcome::Conflict,
        Err(PlatformError::Lost(_) | PlatformError::Malformed(_)) => WriteOutcome::Unknown,
        Err(_) => WriteOutcome::NotApplied,
    }
}

// Lists and watches the leases for as long as the process runs.
async fn follow(platform: Platform, events: mpsc::Sender<Event>) {
    loop {
        // Any failure is mended the same way: list again.
        let _ = follow_once(&platform, &events).await;
        if events.send(Event::WatchBroke).await.is_err() {
            return;
        }
        tokio::time::sleep(WATCH_PAUSE).await;
    }
}

async fn follow_once(
    platform: &Platform,
    events: &mpsc::Sender<Event>,
) -> Result<(), PlatformError> {
    let list: List<Record> = platform.list(LEASES).await?;
    let mut watch = platform.watch(LEASES, &list.metadata.version).await?;
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
