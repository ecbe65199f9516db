//! When the configuration that a VM holds was surely the newest.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::Incarnation;
use crate::ids::VmName;
use crate::pool::Moment;
use crate::pool::Span;

/// How long the store's watches may hear nothing of changes that are made, as
/// it drops its history: an answer "nothing changed" may be wrong for so long.
const MAX_WATCH_LAG: Span = Span::from_millis(1_100);

/// The part of the bound on revoked keys after which a VM asks the store for
/// itself: what is left is for its call, and for one more after a failed one.
const PROOF_AGE_FRACTION: f64 = 0.5;

/// The part of that bound over which the VMs' own questions are spread: the
/// answers to the first ones spare the others theirs.
const STAGGER_FRACTION: f64 = 0.12;

/// VMs in the order of asking after which the spread grows no more.
const MAX_STAGGER_RANK: u64 = 16;

/// The VMs that are told in one beacon of their own last ones; others follow
/// with the next.
const MAX_WITNESSES: usize = 128;

/// When a VM's configuration was surely the newest, by its own clock.
///
/// Made for keys that are taken away while VMs are frozen, cut off, or have a
/// store that is silent: a VM goes by its keys only as long as this is recent.
/// It is never the moment at which an answer came, which may have waited in a
/// socket for as long as the VM was suspended, but that at which the question
/// was sent. What another VM knows counts from the moment at which this VM sent
/// the beacon that the other one names: an age that is told grows on the way by
/// what nobody knows.
#[derive(Debug, Default)]
pub struct Recency {
    as_of: Option<Moment>,
    /// Whether the newest configuration could not be read.
    unreadable: bool,
}

impl Recency {
    /// The store was read at `asked`, and what it held is known.
    pub fn confirm_list(&mut self, asked: Moment) {
        self.advance(asked);
    }

    /// The store was asked at `asked` to wait for changes, and named none that
    /// are not known for at least `waited`.
    pub fn confirm_watch(&mut self, asked: Moment, waited: Span) {
        let until = asked.after(waited);
        self.advance(Moment(until.0.saturating_sub(MAX_WATCH_LAG.0)));
    }

    /// Another VM got our beacon of the moment `sent`, and last knew our
    /// configuration to be the newest `after` microseconds after that.
    pub fn confirm_witness(&mut self, now: Moment, sent: Moment, after: i64) {
        let at = sent.0.saturating_add_signed(after);
        // It cannot know of what is to come.
        self.advance(Moment(at.min(now.0)));
    }

    fn advance(&mut self, at: Moment) {
        self.as_of = Some(self.as_of.map_or(at, |known| known.max(at)));
    }

    /// Whether the newest configuration that came could be read.
    pub fn set_readable(&mut self, done: bool) {
        self.unreadable = !done;
    }

    /// How long ago the configuration was surely the newest; `None` if that is
    /// not known.
    pub fn age(&self, now: Moment) -> Option<Span> {
        let as_of = self.as_of.filter(|_| !self.unreadable)?;
        Some(now.since(as_of))
    }

    /// Whether the VM at this place in the order of asking asks the store now.
    pub fn is_due(&self, now: Moment, revoke: Span, rank: u64) -> bool {
        let spread = STAGGER_FRACTION * rank.min(MAX_STAGGER_RANK) as f64 / MAX_STAGGER_RANK as f64;
        let limit = Span((revoke.0 as f64 * (PROOF_AGE_FRACTION + spread)) as u64);
        self.age(now).is_none_or(|age| age >= limit)
    }

    /// When it was the newest, in microseconds after `heard`.
    fn offset_from(&self, heard: Moment) -> Option<i64> {
        let as_of = self.as_of.filter(|_| !self.unreadable)?;
        Some(as_of.0.wrapping_sub(heard.0).cast_signed())
    }
}

/// What one VM is told: when its last beacon was sent, on its own clock, and
/// what is known since.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Witness {
    /// Tells the VM and its incarnation.
    pub reader: u64,
    /// When its last beacon that came was sent.
    pub sent: Moment,
    /// When the configuration was the newest, in microseconds after it came.
    pub after_us: i64,
}

/// What stands for a VM and its incarnation in a [`Witness`].
pub fn reader_id(vm: &VmName, incarnation: Incarnation) -> u64 {
    xxh3_64_with_seed(vm.as_str().as_bytes(), incarnation.0)
}

/// What to tell the VMs that were heard, some with each beacon.
#[derive(Debug, Default)]
pub struct WitnessQueue {
    next: usize,
}

impl WitnessQueue {
    /// Those to tell now. Of each VM that was heard: its incarnation, when its
    /// last beacon was sent by its clock, and when that came.
    pub fn next_batch<'a>(
        &mut self,
        recency: &Recency,
        heard: impl Iterator<Item = (&'a VmName, Incarnation, Moment, Moment)>,
    ) -> Vec<Witness> {
        let all: Vec<_> = heard
            .filter_map(|(vm, incarnation, sent, at)| {
                Some(Witness {
                    reader: reader_id(vm, incarnation),
                    sent,
                    after_us: recency.offset_from(at)?,
                })
            })
            .collect();
        if all.is_empty() {
            return all;
        }
        let from = self.next % all.len();
        let count = all.len().min(MAX_WITNESSES);
        self.next = from + count;
        all.into_iter().cycle().skip(from).take(count).collect()
    }
}
