//! Tracks how far a VM has followed each kind of stored objects, how old that
//! state is, and which VM polls the store next.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::cluster::topic::PollPolicy;
use crate::serving::cluster::topic::Topic;
use crate::serving::cluster::update::SkippedRange;
use crate::serving::cluster::update::TopicChange;
use crate::serving::cluster::update::TopicUpdate;
use crate::serving::peers::compression::compress;
use crate::serving::store::port::Era;
use crate::serving::store::port::Item;
use crate::serving::store::port::StoreRevision;

/// How long a change is repeated in beacons to VMs that do not state what they know:
/// three beacon intervals.
const SHARE_TTL: Span = Span::from_millis(1_300);

/// How long a change is kept for VMs that state that they lack it.
const HISTORY_TTL: Span = Span::from_millis(5_000);

/// The size limit of the changes in one update, compressed. A beacon must fit a
/// datagram, and its copies for a zone must fit the link of a small VM. VMs
/// that miss changes because of the limit poll the store.
const MAX_UPDATE_BYTES: usize = 8 << 10;

/// How many of the first VMs in polling order send updates. If every VM that
/// polls because it missed changes sent them on, the copies would fill the
/// links: with 195 VMs, the share of the requests due that were served fell
/// from 0.90 to 0.76.
const SENDER_COUNT: u64 = 3;

/// The next action of a feed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedAction {
    /// Do nothing before this moment.
    Wait(Moment),
    /// List all objects of the topic.
    List,
    /// Watch for changes, with this long-poll timeout.
    Watch(Duration),
}

/// How far the store's changes are known, and as of when.
#[derive(Clone, Copy, Debug)]
struct SyncPoint {
    /// All changes up to this revision are known.
    revision: StoreRevision,
    /// The latest time at which the store is known to have had no newer
    /// revision.
    as_of: Moment,
}

/// The synchronization state of one topic.
///
/// Hundreds of VMs must learn of each change within seconds, and every call to
/// the store has a cost, also one that only waits. One VM therefore watches the
/// store and passes the changes on with its beacons, along with the revision
/// and the time at which the store had nothing newer. A VM whose state gets too
/// old polls the store itself, whatever the reason, so that a VM that failed,
/// froze or was partitioned cannot withhold changes from the others. The store
/// remains the only source of truth.
#[derive(Debug)]
pub struct Feed {
    policy: PollPolicy,
    /// The latest known era of the store. While it is later than that of the state
    /// reached, the state is not continued but replaced.
    era: Era,
    /// When that era became known.
    era_since: Moment,
    /// The state reached; `None` before the first list.
    synced: Option<SyncPoint>,
    /// The names of the objects that exist.
    names: BTreeSet<String>,
    /// The newest change of each object that is being shared, and since when.
    shared: BTreeMap<String, (Moment, TopicChange)>,
    /// All changes after this revision are in `shared`.
    history_start: StoreRevision,
    /// The revisions after `history_start` that a list skipped.
    skipped: Option<SkippedRange>,
    /// When the store last answered this VM.
    last_answer: Option<Moment>,
    /// Since when another VM is known to have changes that are missing here.
    gap_since: Option<Moment>,
    /// The revision of each object whose newest change was applied beyond the
    /// synced revision, by object name; earlier changes may be missing.
    applied_ahead: BTreeMap<String, StoreRevision>,
    /// Whether a call failed since the last answer of the store.
    failing: bool,
    failures: u32,
    retry_at: Option<Moment>,
    /// Whether the store no longer has the history after the synced revision.
    history_expired: bool,
}

impl Feed {
    /// Creates a feed that has no state yet.
    pub fn new(policy: PollPolicy) -> Self {
        Self {
            policy,
            era: Era::default(),
            era_since: Moment(0),
            synced: None,
            names: BTreeSet::new(),
            shared: BTreeMap::new(),
            history_start: StoreRevision::default(),
            skipped: None,
            last_answer: None,
            gap_since: None,
            applied_ahead: BTreeMap::new(),
            failing: false,
            failures: 0,
            retry_at: None,
            history_expired: false,
        }
    }

    /// Returns the revision up to which all changes are known.
    pub fn revision(&self) -> StoreRevision {
        self.synced.map_or(StoreRevision::default(), |k| k.revision)
    }

    /// Records that the store is in an era. If it is later than that of the state
    /// reached, the store came back from an earlier copy: the state is replaced by
    /// a list, or by the update of a VM that had the same state before.
    pub fn begin_era(&mut self, now: Moment, era: Era) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.era_since = now;
        self.failures = 0;
        self.retry_at = None;
    }

    /// Whether the state reached is of an era that the store has left.
    pub fn is_outdated(&self) -> bool {
        self.synced.is_some_and(|k| k.revision.era < self.era)
    }

    /// Returns the latest time at which the state is known to have been the newest, unless the
    /// store has left its era.
    pub fn as_of(&self) -> Option<Moment> {
        self.synced.filter(|_| !self.is_outdated()).map(|k| k.as_of)
    }

    /// Returns the age of the state, or `None` before the first list.
    pub fn age(&self, now: Moment) -> Option<Span> {
        self.synced.map(|k| now.since(k.as_of))
    }

    /// Whether another VM has changes that are missing here.
    pub fn has_gap(&self) -> bool {
        self.gap_since.is_some()
    }

    /// Whether the last call to the store failed.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// Whether the next call waits because one failed recently.
    pub fn is_backing_off(&self, now: Moment) -> bool {
        self.retry_at.is_some_and(|at| at > now)
    }

    /// Returns what the VM at position `rank` in polling order does next.
    /// `rank` is `None` where each VM polls for itself.
    pub fn next_action(&self, now: Moment, rank: Option<u64>) -> FeedAction {
        if let Some(retry) = self.retry_at.filter(|at| *at > now) {
            return FeedAction::Wait(retry);
        }
        if self.is_outdated() {
            let spread = |rank| Span(self.policy.news_wait().0 + self.policy.stagger(rank).0);
            let wait = rank.filter(|rank| *rank > 0).map_or(Span(0), spread);
            let due = self.era_since.after(wait);
            return match due <= now {
                true => FeedAction::List,
                false => FeedAction::Wait(due),
            };
        }
        let Some(known) = self.synced.filter(|_| !self.history_expired) else {
            return FeedAction::List;
        };
        let Some(rank) = rank else {
            return FeedAction::Watch(self.policy.solo_wait());
        };
        if rank == 0 {
            return FeedAction::Watch(self.policy.shared_wait());
        }
        let spread = self.policy.stagger(rank);
        let gap = self.gap_since.map(|at| at.after(Span(spread.0 / 2)));
        let due = known.as_of.after(self.policy.max_age(rank));
        let due = gap.map_or(due, |gap| gap.min(due));
        match due <= now {
            true => FeedAction::Watch(Duration::ZERO),
            false => FeedAction::Wait(due),
        }
    }

    /// Returns the pause after an answer that had changes.
    pub fn pause(&self, rank: Option<u64>) -> Duration {
        match rank {
            None => self.policy.solo_pause,
            Some(_) => self.policy.shared_pause,
        }
    }

    /// Applies a complete list requested at `asked`. Returns the changes
    /// against the previous state; there are none for the first list, or if the list
    /// is of an era that the store has left.
    pub fn apply_list(
        &mut self,
        now: Moment,
        asked: Moment,
        revision: StoreRevision,
        items: &[Item],
    ) -> Vec<TopicChange> {
        if revision.era < self.era {
            return Vec::new();
        }
        self.begin_era(now, revision.era);
        let names: BTreeSet<_> = items.iter().map(|i| i.name.clone()).collect();
        let Some(known) = self.synced else {
            let newest = items.iter().map(|i| i.revision).max().unwrap_or_default();
            // Removals before the list are unknown.
            self.history_start = match self.policy.has_removals {
                true => revision,
                false => newest,
            };
            self.names = names;
            // Other VMs know what the first list says, so it is not shared.
            self.record_store_answer(now, asked, revision);
            self.last_answer = None;
            return Vec::new();
        };
        // The store lost changes without stating a new era.
        if revision < known.revision && self.history_expired {
            self.record_failure(now, None);
            return Vec::new();
        }
        // Since the list was requested, another VM's update brought this VM
        // past its revision: objects missing from the list may have been
        // created after it.
        if revision <= known.revision {
            self.record_store_answer(now, asked, revision);
            return Vec::new();
        }
        let restored = known.revision.era < revision.era;
        let present = items.iter().map(|item| TopicChange {
            copied: restored,
            ..TopicChange::new(item.clone(), false, false)
        });
        // What a copy lacks is written again by its author, or is gone.
        let may_return = restored || self.may_have_lapsed(now);
        let removed = self.names.difference(&names).map(|name| {
            let mut item = Item::empty(name);
            item.revision = revision;
            TopicChange::new(item, true, may_return)
        });
        let changes: Vec<_> = present.chain(removed).collect();
        if restored {
            self.restart_history(revision);
        }
        let changes = self.accept_new(changes);
        // Objects that are never removed cannot have been created and removed
        // in between.
        if self.policy.has_removals || restored {
            self.record_skipped(SkippedRange {
                last_before: known.revision,
                first_after: revision,
            });
        }
        self.record_store_answer(now, asked, revision);
        changes
    }

    /// Restarts the history that is shared, at the state reached in an earlier era:
    /// what was shared in that era is not part of the store's history any more.
    /// `revision` is the state that replaces it.
    ///
    /// A VM continues from the state reached only if it knows exactly that. Changes
    /// applied ahead of it may be among those that the store lost, so then none does.
    fn restart_history(&mut self, revision: StoreRevision) {
        self.shared
            .retain(|_, (_, c)| c.item.revision.era == revision.era);
        self.history_start = match self.applied_ahead.is_empty() {
            true => self.revision(),
            false => revision,
        };
        self.skipped = None;
    }

    /// Extends the skipped range by the revisions that a list skipped.
    fn record_skipped(&mut self, skipped: SkippedRange) {
        self.skipped = Some(self.skipped.map_or(skipped, |s| s.merge(skipped)));
    }

    /// Returns the skipped revisions within the history that is shared.
    pub fn skipped(&self) -> Option<SkippedRange> {
        self.skipped.filter(|s| s.first_after > self.history_start)
    }

    /// Applies the changes returned by a watch that was sent at `asked` and
    /// waited at least `waited`. An answer without changes proves that there
    /// were none during that wait. Returns the changes that are new.
    pub fn apply_changes(
        &mut self,
        now: Moment,
        asked: Moment,
        waited: Duration,
        revision: StoreRevision,
        changes: Vec<(Item, bool)>,
    ) -> Vec<TopicChange> {
        self.begin_era(now, revision.era);
        // The answer is of a history that does not continue the state reached, or
        // that the store has left.
        if revision.era != self.revision().era || revision.era < self.era {
            return Vec::new();
        }
        let as_of = match changes.is_empty() {
            true => asked
                .after(Span(u64::try_from(waited.as_micros()).unwrap_or(0)))
                .min(now),
            false => asked,
        };
        let may_return = self.may_have_lapsed(now);
        let changes = with_removal_revisions(revision, changes, may_return);
        let changes = self.accept_new(changes);
        self.record_store_answer(now, as_of, revision);
        changes
    }

    /// Whether entries of replicas that live may have lapsed since the state reached: calls fail,
    /// and the store is not known to have answered anyone for long enough. If it did, it was
    /// this VM that could not reach it.
    fn may_have_lapsed(&self, now: Moment) -> bool {
        self.failing && self.was_away(now)
    }

    /// Whether the store may have been away until `until` for so long that entries lapsed.
    fn was_away(&self, until: Moment) -> bool {
        let known = self.synced.map(|known| until.since(known.as_of));
        known.is_some_and(|span| span >= self.policy.lapse_time)
    }

    /// Records the changes that are new and returns them.
    fn accept_new(&mut self, changes: Vec<TopicChange>) -> Vec<TopicChange> {
        let changes: Vec<_> = changes.into_iter().filter(|c| self.is_new(c)).collect();
        for c in &changes {
            let name = c.item.name.clone();
            self.applied_ahead.insert(name.clone(), c.item.revision);
            match c.removed {
                true => self.names.remove(&name),
                false => self.names.insert(name),
            };
        }
        changes
    }

    /// Whether a change is newer than the known state of its object. An answer
    /// may arrive after another VM shared something newer. If the older change
    /// were applied, it would be shared in place of the newer one, and a VM
    /// that already has the older change would conclude that it is up to date.
    fn is_new(&self, change: &TopicChange) -> bool {
        let revision = change.item.revision;
        let ahead = self.applied_ahead.get(&change.item.name);
        revision > self.revision() && ahead.is_none_or(|known| revision > *known)
    }

    /// Records that all changes up to a revision are known and that the store
    /// had none newer at `as_of`. Neither the revision nor the time goes back.
    fn advance(&mut self, revision: StoreRevision, as_of: Moment) {
        let old = self.synced.unwrap_or(SyncPoint { revision, as_of });
        let known = SyncPoint {
            revision: old.revision.max(revision),
            as_of: old.as_of.max(as_of),
        };
        self.applied_ahead
            .retain(|_, applied| *applied > known.revision);
        self.synced = Some(known);
    }

    /// Records an answer of the store to this VM: nothing newer than `revision`
    /// existed at `as_of`, no gap remains, and the retry pause ends.
    fn record_store_answer(&mut self, now: Moment, as_of: Moment, revision: StoreRevision) {
        self.advance(revision, as_of);
        self.last_answer = Some(now);
        self.gap_since = None;
        self.failing = false;
        self.failures = 0;
        self.retry_at = None;
        self.history_expired = false;
    }

    /// Shares a change with the other VMs.
    pub fn share(&mut self, now: Moment, mut change: TopicChange) {
        if change.compressed.is_empty() {
            change.compressed = compress(change.item.spec.get());
        }
        self.shared.insert(change.item.name.clone(), (now, change));
    }

    /// Records that a call to the store failed or timed out.
    pub fn record_failure(&mut self, now: Moment, rank: Option<u64>) {
        self.failing = true;
        // Another VM has newer changes, so the store answers others: this call was lost.
        let rank = rank.filter(|_| self.failures > 0 || self.gap_since.is_none());
        let pause = self.policy.retry_backoff(rank, self.failures);
        self.failures += 1;
        self.retry_at = Some(now.after(pause));
    }

    /// Records that the store no longer has the history needed: the next action
    /// is a list.
    pub fn mark_history_expired(&mut self) {
        self.history_expired = true;
    }

    /// Applies an update from another VM. Returns the changes that are new.
    ///
    /// Changes are applied even if earlier ones are missing, as the newest
    /// content of an object replaces everything that was missed. A VM that the
    /// store rejects thus still gets the current configuration, although only
    /// the store can close its gap.
    pub fn apply_update(&mut self, now: Moment, update: TopicUpdate) -> Vec<TopicChange> {
        self.begin_era(now, update.revision.era);
        // Nothing that was known in an earlier era is confirmed by it.
        if update.revision.era < self.era {
            return Vec::new();
        }
        let Some(known) = &mut self.synced else {
            return Vec::new();
        };
        if update.revision <= known.revision {
            known.as_of = known.as_of.max(update.as_of);
            return Vec::new();
        }
        // An update of a later era replaces the very state that it starts from, and
        // no other.
        let restored = known.revision.era < update.revision.era;
        let follows = match restored {
            true => update.since == known.revision && self.applied_ahead.is_empty(),
            false => update.since <= known.revision,
        };
        if restored && follows {
            self.restart_history(update.revision);
        }
        let was_away = self.was_away(update.as_of);
        let mut changes = self.accept_new(update.changes);
        // The sender could not reach the store; whether the store was away is for each VM to
        // tell by what it knows itself.
        for c in &mut changes {
            c.missing_after_outage &= restored || was_away;
        }
        for c in &changes {
            self.share(now, c.clone());
        }
        if follows {
            self.advance(update.revision, update.as_of);
            self.gap_since = None;
            self.failing = false;
            self.history_expired = false;
        } else {
            self.gap_since.get_or_insert(now);
        }
        changes
    }

    /// Applies an update from a VM whose list skipped a range of revisions. An
    /// object that this VM knows may have been created and removed within that
    /// range, so a state inside it has a gap.
    pub fn apply_update_over(
        &mut self,
        now: Moment,
        mut update: TopicUpdate,
        skipped: SkippedRange,
    ) -> Vec<TopicChange> {
        if skipped.contains(self.revision()) {
            update.since = update.revision;
        }
        let to = update.revision;
        let changes = self.apply_update(now, update);
        if self.revision() == to {
            self.record_skipped(skipped);
        }
        changes
    }

    /// Returns the update for VMs that do not state what they know. There is none unless
    /// this VM is among the first in polling order and had an answer from the
    /// store recently.
    pub fn outgoing_update(&mut self, now: Moment, rank: Option<u64>) -> Option<TopicUpdate> {
        let synced = self.begin_sharing(now, rank)?;
        let is_over = |shared_at: Moment| now.since(shared_at) >= SHARE_TTL;
        let over = self.shared.values().filter(|(at, _)| is_over(*at));
        let over = over.map(|(_, change)| change.item.revision);
        let since = over.fold(self.history_start, StoreRevision::max);
        let shared = self.shared.values().filter(|(at, _)| !is_over(*at));
        let changes = shared.map(|(_, change)| change);
        Some(limited_update(synced, since, changes.collect()))
    }

    /// Returns the update for a VM that knows all changes up to a revision, under the same
    /// conditions as [`outgoing_update`](Self::outgoing_update).
    pub fn update_for(
        &mut self,
        now: Moment,
        rank: Option<u64>,
        known: StoreRevision,
    ) -> Option<TopicUpdate> {
        let synced = self.begin_sharing(now, rank)?;
        // What is known of an earlier era does not continue.
        if known.era != synced.revision.era {
            return self.outgoing_update(now, rank);
        }
        let shared = self.shared.values().map(|(_, change)| change);
        let missing = shared.filter(|change| change.item.revision > known);
        let since = self.history_start.max(known.min(synced.revision));
        Some(limited_update(synced, since, missing.collect()))
    }

    /// Forgets changes that were shared for long enough. Returns the state reached if this
    /// VM shares it.
    fn begin_sharing(&mut self, now: Moment, rank: Option<u64>) -> Option<SyncPoint> {
        let synced = self.synced.filter(|_| !self.is_outdated())?;
        let is_over = |(at, _): &(Moment, TopicChange)| now.since(*at) >= HISTORY_TTL;
        for (_, (_, change)) in self.shared.extract_if(.., |_, kept| is_over(kept)) {
            self.history_start = self.history_start.max(change.item.revision);
        }
        let answered = self.last_answer?;
        let sends = rank.is_some_and(|rank| rank < SENDER_COUNT);
        (sends && now.since(answered) < self.policy.max_staleness).then_some(synced)
    }
}

/// Converts the changes of an answer. The store may report a removal with the revision of the
/// object's last content, so a removal gets the revision of the answer, or the one before the
/// object's next change. `may_return` says whether what was removed may come back.
fn with_removal_revisions(
    revision: StoreRevision,
    changes: Vec<(Item, bool)>,
    may_return: bool,
) -> Vec<TopicChange> {
    let mut next = BTreeMap::new();
    let mut converted = Vec::new();
    for (mut item, removed) in changes.into_iter().rev() {
        let last = next.get(&item.name).copied().unwrap_or(revision.number);
        if removed {
            item.revision = StoreRevision::new(revision.era, last);
        }
        next.insert(item.name.clone(), item.revision.number.saturating_sub(1));
        converted.push(TopicChange::new(item, removed, removed && may_return));
    }
    converted.reverse();
    converted
}

/// Returns an update with the newest of all `changes` after `since` that fit a datagram.
fn limited_update(
    synced: SyncPoint,
    mut since: StoreRevision,
    mut changes: Vec<&TopicChange>,
) -> TopicUpdate {
    changes.sort_by_key(|c| std::cmp::Reverse(c.item.revision));
    let mut bytes = 0;
    let mut fitting = Vec::new();
    for change in changes {
        bytes += change.bytes();
        if bytes > MAX_UPDATE_BYTES {
            since = since.max(change.item.revision);
            break;
        }
        fitting.push(change.clone());
    }
    fitting.reverse();
    TopicUpdate {
        revision: synced.revision,
        as_of: synced.as_of,
        since,
        changes: fitting,
    }
}

/// The feeds of all topics.
#[derive(Debug)]
pub struct Feeds {
    config: Feed,
    replicas: Feed,
    versions: Feed,
    own: Feed,
}

impl Feeds {
    /// Creates feeds that have no state yet.
    pub fn new(policy: impl Fn(Topic) -> PollPolicy) -> Self {
        let feed = |topic| Feed::new(policy(topic));
        Self {
            config: feed(Topic::Config),
            replicas: feed(Topic::Replicas),
            versions: feed(Topic::Versions),
            own: feed(Topic::Cluster),
        }
    }

    /// Returns the feed of a topic.
    pub fn get(&mut self, topic: Topic) -> &mut Feed {
        match topic {
            Topic::Config => &mut self.config,
            Topic::Replicas => &mut self.replicas,
            Topic::Versions => &mut self.versions,
            Topic::Cluster => &mut self.own,
        }
    }
}
