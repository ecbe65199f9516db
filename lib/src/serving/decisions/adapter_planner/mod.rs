//! What an owner knows of its replicas' adapters, and the next order to each.

mod order;
mod replica_plan;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::ModelName;
use crate::ids::ReplicaName;
use crate::ids::VmName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::fetch_limiter::FetchLimiter;
use crate::serving::decisions::fleet::Residency;
use crate::serving::decisions::fleet::Versions;
use crate::serving::path::types::ReplicaInfo;
use crate::serving::path::types::Target;
use crate::serving::program::experiment::Experiment;

pub use order::LoadDuration;
pub use order::OrderOutcome;
pub use order::ReplicaAction;
pub use order::ReplicaReport;

use self::replica_plan::Book;

/// The books of the replicas that this VM owns.
#[derive(Debug, Default)]
pub struct AdapterPlanner {
    books: BTreeMap<ReplicaName, Book>,
    pace: FetchLimiter,
    ceiling: Ceiling,
    /// Fetches under way at all replicas, as far as known.
    under_way: usize,
}

/// How often weights are loaded from the weight store, which all VMs share.
#[derive(Clone, Copy, Debug, Default)]
struct Ceiling {
    pause: Span,
    last: Option<Moment>,
}

impl Ceiling {
    fn allows(&self, now: Moment) -> bool {
        self.last.is_none_or(|at| now.since(at) >= self.pause)
    }
}

impl AdapterPlanner {
    /// Sets what is switched off.
    pub fn set_experiment(&mut self, experiment: &Experiment) {
        self.pace.set_experiment(experiment);
    }

    /// Opens a book for a replica that we came to own; what its entry in the
    /// store says is a start, its report decides.
    pub fn track(&mut self, now: Moment, listing: &ReplicaInfo, most: u32) {
        let book = self.books.entry(listing.name.clone());
        let book = book.or_insert_with(|| Book::new(now, listing));
        if book.listed != listing.started_ms {
            book.listed = listing.started_ms;
            if book.born != listing.started_ms {
                *book = Book::new(now, listing);
            }
        }
        // The configuration may come after the replica.
        book.most = most as usize;
    }

    /// Closes the books of replicas that are not ours any more.
    pub fn retain(&mut self, ours: &BTreeSet<ReplicaName>) {
        self.books.retain(|name, _| ours.contains(name));
    }

    /// The start of a replica whose book this is.
    pub fn started_ms(&self, name: &ReplicaName) -> Option<u64> {
        self.books.get(name).map(|b| b.born)
    }

    /// The replicas with a book.
    pub fn replicas(&self) -> impl Iterator<Item = &ReplicaName> {
        self.books.keys()
    }

    /// Somebody wants an adapter loaded there; the wish lapses unless renewed.
    pub fn request_load(&mut self, now: Moment, name: &ReplicaName, target: &Target) -> bool {
        let Some(book) = self.books.get_mut(name) else {
            return false;
        };
        book.wish(now, target);
        true
    }

    /// A VM has begun `begun` runs of an adapter and has `running` under way.
    pub fn record_use(
        &mut self,
        now: Moment,
        name: &ReplicaName,
        vm: &VmName,
        target: &Target,
        running: u32,
        begun: u32,
    ) {
        let Some(book) = self.books.get_mut(name) else {
            return;
        };
        book.used(now, vm, target, running, begun);
    }

    /// Whether a replica holds no model, and none is on its way.
    pub fn needs_model(&self, name: &ReplicaName) -> bool {
        self.books.get(name).is_some_and(Book::empty)
    }

    /// What a replica holds, for the other VMs.
    pub fn residency(&self, name: &ReplicaName) -> Option<Residency> {
        self.books.get(name).map(Book::held)
    }

    /// The replicas whose books changed since the last call.
    pub fn take_changed(&mut self) -> Vec<ReplicaName> {
        let changed = self.books.iter_mut().filter(|(_, b)| b.changed);
        let changed = changed.map(|(name, b)| {
            b.changed = false;
            name.clone()
        });
        changed.collect()
    }

    /// Adapters on their way to our replicas.
    pub fn loading_adapters(&self) -> usize {
        self.books.values().map(Book::coming).sum()
    }

    /// The next thing to do at a replica, if any; its end is told by
    /// [`AdapterPlanner::finish_order`] or [`AdapterPlanner::finish_inspection`] before the next is asked for.
    ///
    /// Made for many requests for adapters that are nowhere, at full slots.
    /// Wishes are served in the order in which they came, so none starves;
    /// what gives way is the adapter with the least demand that nothing uses,
    /// and an adapter that is wished for never gives way to another wish.
    ///
    /// A replica that restarted holds nothing: `model` is what it loads then.
    pub fn next_action(
        &mut self,
        now: Moment,
        name: &ReplicaName,
        versions: &Versions,
        model: Option<&ModelName>,
    ) -> Option<ReplicaAction> {
        let ceiling = self.ceiling;
        let fetch = self.under_way < self.pace.capacity();
        let book = self.books.get_mut(name)?;
        if book.busy {
            return None;
        }
        let step = book.next(now, versions, fetch);
        if let Some(ReplicaAction::Load { target, .. }) = &step
            && book.is_fetch(target)
        {
            self.under_way += 1;
        }
        let step = match (step, model, book.empty()) {
            (Some(step), ..) => Some(step),
            (None, Some(model), true) if book.weights_near || ceiling.allows(now) => {
                if !book.weights_near {
                    self.ceiling.last = Some(now);
                }
                book.load_model(model)
            }
            _ => None,
        };
        book.busy = step.is_some();
        step
    }

    /// Sets how many fetches are under way at all replicas, and how many
    /// engines the weight store serves.
    pub fn set_fetches(&mut self, under_way: usize, engines: usize) {
        self.under_way = under_way;
        self.pace.set_engine_count(engines);
    }

    /// Sets how often this VM may have weights loaded from the weight store.
    pub fn set_load_interval(&mut self, pause: Span) {
        self.ceiling.pause = pause;
    }

    /// Sets within how long uses by other VMs are known here. An adapter that
    /// was used within that time is not unloaded: a request on its way to it
    /// would be refused, and an unload that waits for a run holds up every
    /// other order there.
    pub fn set_report_delay(&mut self, news: Span) {
        self.books.values_mut().for_each(|b| b.news = news);
    }

    /// Orders in a row that a replica left unanswered.
    pub fn unanswered(&self, name: &ReplicaName) -> u32 {
        self.books.get(name).map_or(0, |b| b.unanswered)
    }

    /// When [`AdapterPlanner::next_action`] is worth asking again, at the latest.
    pub fn next_wake(&self, now: Moment) -> Option<Moment> {
        let books = self.books.values().filter(|b| !b.busy);
        books.filter_map(|b| b.next_wake(now)).min()
    }

    /// A report was read, or could not be.
    pub fn finish_inspection(
        &mut self,
        now: Moment,
        name: &ReplicaName,
        report: Option<ReplicaReport>,
    ) {
        let Some(book) = self.books.get_mut(name) else {
            return;
        };
        book.busy = false;
        book.looked(now, report);
    }

    /// An order ended; gives how long an adapter took to load, if one came.
    pub fn finish_order(
        &mut self,
        now: Moment,
        name: &ReplicaName,
        step: &ReplicaAction,
        end: OrderOutcome,
    ) -> Option<LoadDuration> {
        let time = self.pace.first_check_delay();
        let book = self.books.get_mut(name)?;
        book.busy = false;
        let fetched = matches!(step, ReplicaAction::Load { target, .. } if book.is_near(target) == Some(false));
        let took = book.ended(now, step, end, time);
        if let Some(took) = took.filter(|_| fetched) {
            self.pace.observe(took, self.under_way);
        }
        took
    }
}
