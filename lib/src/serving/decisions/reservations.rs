//! Short-lived reservations of replica capacity.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::ids::ReplicaName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::fleet::Load;
use crate::serving::decisions::fleet::PrefillSpeed;

/// Lifetime of a reservation: by then its VM has sent the request and reported
/// it.
const RESERVATION_TTL: Span = Span::from_millis(150);

/// How much busier than the sender assumes a replica may be and still accept a
/// request, in milliseconds: about the prefill time of a long prompt. Beyond it
/// the sender should look for a better replica. With 200 instead of 100 ms the
/// net value (what callers received minus what it cost, as a fraction of what was
/// owed to them) rose from 0.554 to 0.567 (a fifth of a large deployment, four runs
/// each).
const SLACK_MS: f64 = 200.0;

/// Reservations that this VM granted at the replicas it owns.
///
/// With hundreds of VMs placing requests by load reports that are some hundred
/// milliseconds old, all of them choose the same least busy replica between two
/// beacons (a thundering herd). The owner sees each request before it is sent
/// and has the current load. Asking it costs two datagrams and a few
/// milliseconds, against latency objectives of hundreds.
#[derive(Debug, Default)]
pub struct Reservations {
    reserved: BTreeMap<ReplicaName, VecDeque<(Moment, Load)>>,
}

impl Reservations {
    /// Returns the load that was reserved at a replica and is not reported yet.
    pub fn load(&mut self, now: Moment, replica: &ReplicaName) -> Load {
        let Some(reserved) = self.reserved.get_mut(replica) else {
            return Load::default();
        };
        while reserved.front().is_some_and(|(until, _)| *until <= now) {
            reserved.pop_front();
        }
        let sum = reserved.iter().map(|(_, load)| *load);
        let sum = sum.fold(Load::default(), Load::plus);
        if reserved.is_empty() {
            self.reserved.remove(replica);
        }
        sum
    }

    /// Reserves capacity for a request of `cost` at a replica with `reported`
    /// load, and returns whether it may be sent there. `assumed_ms` is how busy
    /// the sender assumes the replica to be, at the default speed: sender and owner
    /// may know different speeds, and only a difference in load is a reason to
    /// decline. `speed` is the replica's own, at which the unknown load delays the
    /// request.
    pub fn try_reserve(
        &mut self,
        now: Moment,
        replica: &ReplicaName,
        reported: Load,
        assumed_ms: f64,
        cost: Load,
        speed: PrefillSpeed,
    ) -> bool {
        let load = reported.plus(self.load(now, replica));
        let unknown_ms = load.busy_ms(PrefillSpeed::default()) - assumed_ms;
        if speed.scale_ms(unknown_ms) > SLACK_MS {
            return false;
        }
        let reserved = self.reserved.entry(replica.clone()).or_default();
        reserved.push_back((now.after(RESERVATION_TTL), cost));
        true
    }
}
