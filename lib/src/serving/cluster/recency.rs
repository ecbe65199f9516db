//! Tracks when the configuration of a VM was last proven to be the newest.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::Incarnation;
use crate::ids::VmName;
use crate::pool::Moment;
use crate::pool::Span;

/// How long watches may miss changes while the store drops its history. An
/// answer without changes may be wrong for this long.
const MAX_WATCH_LAG: Span = Span::from_millis(1_100);

/// How long after the store came back from an earlier copy the operator may still
/// write again what it had lost.
const REWRITE_TIME: Span = Span::from_millis(2_000);

/// The fraction of `key_revocation` after which a VM asks the store
/// itself. The rest is for its call and for one more if that fails.
const PROOF_AGE_FRACTION: f64 = 0.5;

/// The fraction of `key_revocation` over which the calls of the VMs are staggered:
/// the answers to the first ones make the others unnecessary.
const STAGGER_FRACTION: f64 = 0.12;

/// The position in polling order after which the stagger stops growing.
const MAX_STAGGER_RANK: u64 = 16;

/// The maximum number of witnesses in one beacon; further VMs follow with the
/// next beacon.
const MAX_WITNESSES: usize = 128;

/// The last moment, by this VM's clock, at which its configuration is proven to
/// have been the newest.
///
/// Keys may be revoked while VMs are frozen or partitioned, or while the store
/// does not answer, so a VM only trusts its keys while this proof is recent. A
/// proof counts from the sending of the request and never from the arrival of
/// its answer, which may have waited in a socket while the VM was suspended. A
/// proof from another VM counts from the sending of our beacon that it names:
/// an age that is sent instead would grow in transit by an unknown delay.
#[derive(Debug, Default)]
pub struct Recency {
    as_of: Option<Moment>,
    /// The earliest proof that counts: the store came back from an earlier copy that
    /// may lack a configuration which revoked keys.
    valid_from: Moment,
    /// Whether the newest configuration could not be decoded.
    unreadable: bool,
}

impl Recency {
    /// Records a list of the store requested at `asked`.
    pub fn confirm_list(&mut self, asked: Moment) {
        self.advance(asked);
    }

    /// Records a watch sent at `asked` that returned no unknown change for at
    /// least `waited`.
    pub fn confirm_watch(&mut self, asked: Moment, waited: Span) {
        let until = asked.after(waited);
        self.advance(Moment(until.0.saturating_sub(MAX_WATCH_LAG.0)));
    }

    /// Records that another VM received the beacon that we sent at `sent`, and
    /// last knew our configuration to be the newest `after` microseconds after
    /// receiving it.
    pub fn confirm_witness(&mut self, now: Moment, sent: Moment, after: i64) {
        let at = sent.0.saturating_add_signed(after);
        // The proof cannot lie in the future.
        self.advance(Moment(at.min(now.0)));
    }

    /// Records that the store came back from an earlier copy. What it then says is no
    /// proof before the operator has had the time to write again what was lost.
    pub fn begin_era(&mut self, now: Moment) {
        self.valid_from = now.after(REWRITE_TIME);
    }

    /// Whether no proof counts yet.
    pub fn is_suspended(&self, now: Moment) -> bool {
        now < self.valid_from
    }

    /// Records that the configuration was the newest at `at`, unless a later
    /// proof is known.
    fn advance(&mut self, at: Moment) {
        if at < self.valid_from {
            return;
        }
        self.as_of = Some(self.as_of.map_or(at, |known| known.max(at)));
    }

    /// Sets whether the newest configuration could be decoded.
    pub fn set_readable(&mut self, readable: bool) {
        self.unreadable = !readable;
    }

    /// Returns how long ago the configuration was proven to be the newest, or
    /// `None` if there is no proof.
    pub fn age(&self, now: Moment) -> Option<Span> {
        let as_of = self.as_of.filter(|_| !self.unreadable)?;
        Some(now.since(as_of))
    }

    /// Whether the VM at this position in polling order should ask the store
    /// now.
    pub fn is_due(&self, now: Moment, revoke: Span, rank: u64) -> bool {
        let stagger =
            STAGGER_FRACTION * rank.min(MAX_STAGGER_RANK) as f64 / MAX_STAGGER_RANK as f64;
        let due_age = Span((revoke.0 as f64 * (PROOF_AGE_FRACTION + stagger)) as u64);
        self.age(now).is_none_or(|age| age >= due_age)
    }

    /// Returns the time of the proof in microseconds after `received_at`.
    fn offset_from(&self, received_at: Moment) -> Option<i64> {
        let as_of = self.as_of.filter(|_| !self.unreadable)?;
        Some(as_of.0.wrapping_sub(received_at.0).cast_signed())
    }
}

/// A proof for one VM: the beacon that it sent last, and when the configuration
/// was the newest after that.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Witness {
    /// The VM for which the proof is meant and its incarnation, as [`reader_id`]
    /// identifies them.
    pub reader: u64,
    /// When its last beacon that arrived was sent, by its own clock.
    pub sent: Moment,
    /// When the configuration was the newest, in microseconds after that beacon
    /// was received.
    pub after_us: i64,
}

/// Returns the identifier of a VM and its incarnation in a [`Witness`].
pub fn reader_id(vm: &VmName, incarnation: Incarnation) -> u64 {
    xxh3_64_with_seed(vm.as_str().as_bytes(), incarnation.0)
}

/// Distributes the witnesses for all VMs over successive beacons.
#[derive(Debug, Default)]
pub struct WitnessQueue {
    next: usize,
}

impl WitnessQueue {
    /// Returns the witnesses for the next beacon. `beacons` has the last beacon
    /// of each VM: its incarnation, when it was sent (on the sender's clock) and
    /// when it was received (on ours).
    pub fn next_batch<'a>(
        &mut self,
        recency: &Recency,
        beacons: impl Iterator<Item = (&'a VmName, Incarnation, Moment, Moment)>,
    ) -> Vec<Witness> {
        let all: Vec<_> = beacons
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
