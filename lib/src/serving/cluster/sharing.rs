//! Decides which updates the other VMs get in a beacon interval, so that these do not fill
//! the link of this VM.

use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::cluster::feed::Feed;
use crate::serving::cluster::update::TopicUpdate;
use crate::serving::store::port::StoreRevision;

/// The fraction of the link that the changes in updates may use. The rest is for the beacons
/// themselves, for callers and for this VM's calls to the store.
const UPDATE_FRACTION: f64 = 0.25;

/// How long after changes were sent to a VM they are sent again if it does not state to know
/// them: two beacon intervals, as it does so with its next beacon.
const RESEND_DELAY: Span = Span::from_millis(900);

/// The bytes of changes that may be sent in one beacon interval.
#[derive(Clone, Copy, Debug)]
pub struct UpdateBudget {
    left: usize,
    /// Whether nothing was taken yet.
    unused: bool,
}

impl UpdateBudget {
    /// Creates the budget of an interval on a link of so many bytes per second; `None` for a
    /// link whose rate is unknown, which sets no bound.
    ///
    /// ```
    /// use banyangauge::pool::Span;
    /// use banyangauge::serving::UpdateBudget;
    /// let mut budget = UpdateBudget::new(Some(1_250_000), Span::from_millis(400));
    /// assert!(budget.take(100_000));
    /// assert!(!budget.take(100_000));
    /// ```
    pub fn new(link_rate: Option<u64>, interval: Span) -> Self {
        let bytes = |rate: u64| (rate as f64 * UPDATE_FRACTION * interval.0 as f64 / 1e6) as usize;
        Self {
            left: link_rate.map_or(usize::MAX, bytes),
            unused: true,
        }
    }

    /// Takes so many bytes; returns whether they may be sent. The first bytes of an interval
    /// always may, so that a change larger than the budget is delayed and not withheld.
    pub fn take(&mut self, bytes: usize) -> bool {
        if bytes > self.left && !self.unused {
            return false;
        }
        self.left = self.left.saturating_sub(bytes);
        self.unused &= bytes == 0;
        true
    }
}

/// What another VM knows of a topic.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerKnowledge {
    /// The revision up to which it states to know all changes; `None` if it states none.
    stated: Option<StoreRevision>,
    /// The revision of the last changes that it was sent, and when.
    sent: Option<(StoreRevision, Moment)>,
}

impl PeerKnowledge {
    /// Records what the VM states.
    pub fn state(&mut self, revision: Option<StoreRevision>) {
        self.stated = revision;
    }

    /// Returns the revision of changes that the VM was sent and has not confirmed yet.
    fn awaited(&self, now: Moment) -> Option<StoreRevision> {
        let (sent, at) = self.sent?;
        let confirmed = self.stated.is_some_and(|stated| stated >= sent);
        (!confirmed && now.since(at) < RESEND_DELAY).then_some(sent)
    }

    /// Returns the update that the VM needs.
    fn update(&self, feed: &mut Feed, now: Moment, rank: Option<u64>) -> Option<TopicUpdate> {
        let Some(stated) = self.stated else {
            return feed.outgoing_update(now, rank);
        };
        match self.awaited(now) {
            None => feed.update_for(now, rank, stated),
            // Without further changes, the update would only tell of those that are on the
            // way, and a VM that has lost them would poll the store.
            Some(sent) => {
                let update = feed.update_for(now, rank, sent);
                update.filter(|u| !u.changes.is_empty())
            }
        }
    }
}

/// Returns the update on a topic for each of the `peers`, `None` for those that get none in
/// this interval. A VM that states no revision gets all changes that are being shared.
///
/// A VM that lacks changes gets either those or nothing: an update that only named a newer
/// revision would make it poll the store.
pub fn share_updates(
    feed: &mut Feed,
    now: Moment,
    rank: Option<u64>,
    peers: &mut [PeerKnowledge],
    budget: &mut UpdateBudget,
) -> Vec<Option<TopicUpdate>> {
    let updates = peers.iter_mut().map(|peer| {
        let update = peer.update(feed, now, rank)?;
        if !budget.take(update.changes.iter().map(|c| c.bytes()).sum()) {
            return None;
        }
        if !update.changes.is_empty() {
            peer.sent = Some((update.revision, now));
        }
        Some(update)
    });
    updates.collect()
}
