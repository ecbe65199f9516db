//! What a VM knows of each kind of objects in the store, how old that is, and
//! who asks the store for news.

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
use crate::serving::store::port::Item;

/// How long a change is told: three beacons.
const SHARE_TTL: Span = Span::from_millis(1_300);

/// The most bytes of changes that are told at a time, packed: a beacon must fit
/// a datagram, and its copies for a zone the link of a small VM. Who misses
/// more asks the store.
const MAX_UPDATE_BYTES: usize = 8 << 10;

/// The first VMs in the order of asking, which tell what they know. Others
/// that ask, as they missed something, would all tell it again to all: with
/// 195 VMs that filled their links (served 0.90 -> 0.76 of what was owed).
const SENDER_COUNT: u64 = 3;

/// What to do next about a topic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedAction {
    /// Nothing before this moment.
    Wait(Moment),
    /// Read all of it.
    List,
    /// Ask what changed, and have the store wait so long for a change.
    Watch(Duration),
}

#[derive(Clone, Copy, Debug)]
struct SyncPoint {
    revision: u64,
    as_of: Moment,
}

/// What a VM knows of one topic.
///
/// Made for hundreds of VMs that must all know what changed within seconds,
/// where each call to the store is paid for and a waiting one as well. One VM
/// asks; what it hears goes to the others with its beacons, with the revision
/// and the time at which the store had nothing newer. A VM whose knowledge gets
/// too old asks for itself, whatever the reason, so that no lost, frozen or cut
/// off VM keeps a change from another. The store stays the only truth.
#[derive(Debug)]
pub struct Feed {
    policy: PollPolicy,
    synced: Option<SyncPoint>,
    /// The objects that are there.
    names: BTreeSet<String>,
    /// The newest change of each object, with the time until which it is told.
    shared: BTreeMap<String, (Moment, TopicChange)>,
    /// All changes after this revision are among the recent ones.
    history_start: u64,
    /// The part of that over which a list stepped.
    skipped: Option<SkippedRange>,
    /// When this VM last had an answer.
    last_answer: Option<Moment>,
    /// Since when changes are missing that others know of.
    gap_since: Option<Moment>,
    /// The revisions of changes that were taken beyond the one known, as
    /// others before them are missing.
    taken_ahead: BTreeMap<String, u64>,
    /// Whether the store failed to answer since the last answer.
    failing: bool,
    failures: u32,
    retry_at: Option<Moment>,
    /// Whether the store forgot what changed since our revision.
    expired: bool,
}

impl Feed {
    /// Nothing is known yet.
    pub fn new(rhythm: PollPolicy) -> Self {
        Self {
            policy: rhythm,
            synced: None,
            names: BTreeSet::new(),
            shared: BTreeMap::new(),
            history_start: 0,
            skipped: None,
            last_answer: None,
            gap_since: None,
            taken_ahead: BTreeMap::new(),
            failing: false,
            failures: 0,
            retry_at: None,
            expired: false,
        }
    }

    /// The revision up to which all is known.
    pub fn revision(&self) -> u64 {
        self.synced.map_or(0, |k| k.revision)
    }

    /// How old the knowledge is; `None` before there is any.
    pub fn age(&self, now: Moment) -> Option<Span> {
        self.synced.map(|k| now.since(k.as_of))
    }

    /// Whether others know of changes that are missing here.
    pub fn has_gap(&self) -> bool {
        self.gap_since.is_some()
    }

    /// Whether the store failed to answer this VM last.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// Whether a call failed a moment ago, so that the next one waits.
    pub fn is_backing_off(&self, now: Moment) -> bool {
        self.retry_at.is_some_and(|at| at > now)
    }

    /// What the VM at place `rank` in the order of asking does next; `None`
    /// where each VM asks for itself.
    pub fn next_action(&self, now: Moment, rank: Option<u64>) -> FeedAction {
        if let Some(retry) = self.retry_at.filter(|at| *at > now) {
            return FeedAction::Wait(retry);
        }
        let Some(known) = self.synced.filter(|_| !self.expired) else {
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

    /// The pause after an answer with changes.
    pub fn pause(&self, rank: Option<u64>) -> Duration {
        match rank {
            None => self.policy.solo_pause,
            Some(_) => self.policy.shared_pause,
        }
    }

    /// The whole topic, asked for at `asked`. Gives what changed since what was
    /// known; the first time there is nothing that it could follow on from.
    pub fn apply_list(
        &mut self,
        now: Moment,
        asked: Moment,
        revision: u64,
        items: &[Item],
    ) -> Vec<TopicChange> {
        let names: BTreeSet<_> = items.iter().map(|i| i.name.clone()).collect();
        let Some(known) = self.synced else {
            let newest = items.iter().map(|i| i.revision).max().unwrap_or(0);
            // What was removed before is not known.
            self.history_start = match self.policy.has_removals {
                true => revision,
                false => newest,
            };
            self.names = names;
            // It may be seconds old: it is told to nobody, and followed on from
            // as soon as any other knowledge that gets too old.
            self.record_answer(now, asked, revision);
            self.last_answer = None;
            return Vec::new();
        };
        // Another VM told of all up to a later revision since it was asked for:
        // what is not in the list may have come after it.
        if revision <= known.revision {
            self.record_answer(now, asked, revision);
            return Vec::new();
        }
        let present = items
            .iter()
            .map(|item| TopicChange::new(item.clone(), false, false));
        let gone = self.names.difference(&names).map(|name| {
            let mut item = Item::empty(name);
            item.revision = revision;
            TopicChange::new(item, true, self.failing)
        });
        let changes = self.accept_new(present.chain(gone).collect());
        // What is never removed cannot have come and gone in between.
        if self.policy.has_removals {
            self.record_skipped(SkippedRange {
                from: known.revision,
                to: revision,
            });
        }
        self.record_answer(now, asked, revision);
        changes
    }

    fn record_skipped(&mut self, blind: SkippedRange) {
        self.skipped = Some(self.skipped.map_or(blind, |b| b.merge(blind)));
    }

    /// The part of the history that is told over which a list stepped.
    pub fn skipped(&self) -> Option<SkippedRange> {
        self.skipped.filter(|b| b.to > self.history_start)
    }

    /// What changed, asked for at `asked` by a question that waited at least
    /// `waited`: an answer without changes says that there were none so long.
    /// Gives the changes, with what is to be told of each.
    pub fn apply_changes(
        &mut self,
        now: Moment,
        asked: Moment,
        waited: Duration,
        revision: u64,
        changes: Vec<(Item, bool)>,
    ) -> Vec<TopicChange> {
        let as_of = match changes.is_empty() {
            true => asked
                .after(Span(u64::try_from(waited.as_micros()).unwrap_or(0)))
                .min(now),
            false => asked,
        };
        let changes = self.with_removal_revisions(revision, changes);
        let changes = self.accept_new(changes);
        self.record_answer(now, as_of, revision);
        changes
    }

    /// The changes of an answer as they are told. The revision of an object that
    /// is gone may be that of its content: it is gone as of the answer, or until
    /// its next change.
    fn with_removal_revisions(
        &self,
        revision: u64,
        changes: Vec<(Item, bool)>,
    ) -> Vec<TopicChange> {
        let mut next = BTreeMap::new();
        let mut told = Vec::new();
        for (mut item, removed) in changes.into_iter().rev() {
            let after = next.get(&item.name).copied().unwrap_or(revision + 1);
            if removed {
                item.revision = after - 1;
            }
            next.insert(item.name.clone(), item.revision);
            told.push(TopicChange::new(item, removed, removed && self.failing));
        }
        told.reverse();
        told
    }

    /// Those changes that are news, which are known from now on.
    fn accept_new(&mut self, changes: Vec<TopicChange>) -> Vec<TopicChange> {
        let changes: Vec<_> = changes.into_iter().filter(|c| self.is_new(c)).collect();
        for c in &changes {
            let name = c.item.name.clone();
            self.taken_ahead.insert(name.clone(), c.item.revision);
            match c.removed {
                true => self.names.remove(&name),
                false => self.names.insert(name),
            };
        }
        changes
    }

    /// Whether a change is newer than what is known of its object. A question
    /// may be answered after another VM told of something newer: taken late, an
    /// older change would be told on in place of the newer one, and whoever
    /// knows the older one would believe that it knows all.
    fn is_new(&self, change: &TopicChange) -> bool {
        let revision = change.item.revision;
        let ahead = self.taken_ahead.get(&change.item.name);
        revision > self.revision() && ahead.is_none_or(|known| revision > *known)
    }

    /// All changes up to a revision are known.
    fn advance(&mut self, revision: u64, as_of: Moment) {
        let old = self.synced.unwrap_or(SyncPoint { revision, as_of });
        let known = SyncPoint {
            revision: old.revision.max(revision),
            as_of: old.as_of.max(as_of),
        };
        self.taken_ahead.retain(|_, taken| *taken > known.revision);
        self.synced = Some(known);
    }

    fn record_answer(&mut self, now: Moment, as_of: Moment, revision: u64) {
        self.advance(revision, as_of);
        self.last_answer = Some(now);
        self.gap_since = None;
        self.failing = false;
        self.failures = 0;
        self.retry_at = None;
        self.expired = false;
    }

    /// A change is worth telling the other VMs.
    pub fn share(&mut self, now: Moment, mut change: TopicChange) {
        if change.compressed.is_empty() {
            change.compressed = compress(change.item.spec.get());
        }
        let until = now.after(SHARE_TTL);
        self.shared
            .insert(change.item.name.clone(), (until, change));
    }

    /// The store did not answer, or with a failure.
    pub fn record_failure(&mut self, now: Moment, rank: Option<u64>) {
        self.failing = true;
        let pause = self.policy.retry_backoff(rank, self.failures);
        self.failures += 1;
        self.retry_at = Some(now.after(pause));
    }

    /// The store forgot what changed since our revision: all is read anew.
    pub fn mark_expired(&mut self) {
        self.expired = true;
    }

    /// Another VM tells what it knows. Gives the changes that are news.
    ///
    /// They are news also where others before them are missing: the newest
    /// content of an object holds whatever was missed. A VM that the store
    /// turns away is not left on an old configuration that way, though only the
    /// store can fill its gap.
    pub fn apply_update(&mut self, now: Moment, said: TopicUpdate) -> Vec<TopicChange> {
        let Some(known) = &mut self.synced else {
            return Vec::new();
        };
        if said.revision <= known.revision {
            known.as_of = known.as_of.max(said.as_of);
            return Vec::new();
        }
        let follows = said.since <= known.revision;
        let changes = self.accept_new(said.changes);
        for c in &changes {
            self.share(now, c.clone());
        }
        if follows {
            self.advance(said.revision, said.as_of);
            self.gap_since = None;
            self.failing = false;
            self.expired = false;
        } else {
            self.gap_since.get_or_insert(now);
        }
        changes
    }

    /// The same where the other VM stepped over a part of the history: within
    /// that, an object may have come that this VM knows of, and gone again.
    pub fn apply_update_over(
        &mut self,
        now: Moment,
        mut said: TopicUpdate,
        blind: SkippedRange,
    ) -> Vec<TopicChange> {
        if blind.contains(self.revision()) {
            said.since = said.revision;
        }
        let to = said.revision;
        let changes = self.apply_update(now, said);
        if self.revision() == to {
            self.record_skipped(blind);
        }
        changes
    }

    /// What this VM tells the others: nothing unless it is one of the first to
    /// ask, and had an answer lately.
    pub fn outgoing_update(&mut self, now: Moment, rank: Option<u64>) -> Option<TopicUpdate> {
        let known = self.synced?;
        let over = |(until, _): &(Moment, TopicChange)| *until <= now;
        for (_, (_, change)) in self.shared.extract_if(.., |_, kept| over(kept)) {
            self.history_start = self.history_start.max(change.item.revision);
        }
        let answered = self.last_answer?;
        let tells = rank.is_some_and(|rank| rank < SENDER_COUNT);
        if !tells || now.since(answered) >= self.policy.max_staleness {
            return None;
        }
        let mut newest: Vec<_> = self.shared.values().map(|(_, c)| c).collect();
        newest.sort_by_key(|c| std::cmp::Reverse(c.item.revision));
        let mut since = self.history_start;
        let mut bytes = 0;
        let mut changes = Vec::new();
        for change in newest {
            bytes += change.item.name.len() + change.compressed.len();
            if bytes > MAX_UPDATE_BYTES {
                since = since.max(change.item.revision);
                break;
            }
            changes.push(change.clone());
        }
        changes.reverse();
        Some(TopicUpdate {
            revision: known.revision,
            as_of: known.as_of,
            since,
            changes,
        })
    }
}

/// The topics of a VM.
#[derive(Debug)]
pub struct Feeds {
    config: Feed,
    replicas: Feed,
    versions: Feed,
    own: Feed,
}

impl Feeds {
    /// Nothing is known yet of any.
    pub fn new(rhythm: impl Fn(Topic) -> PollPolicy) -> Self {
        let feed = |topic| Feed::new(rhythm(topic));
        Self {
            config: feed(Topic::Config),
            replicas: feed(Topic::Replicas),
            versions: feed(Topic::Versions),
            own: feed(Topic::Cluster),
        }
    }

    /// One of them.
    pub fn get(&mut self, topic: Topic) -> &mut Feed {
        match topic {
            Topic::Config => &mut self.config,
            Topic::Replicas => &mut self.replicas,
            Topic::Versions => &mut self.versions,
            Topic::Cluster => &mut self.own,
        }
    }
}
