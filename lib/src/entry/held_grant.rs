//! A grant held by a request: its lease, and its release, which is sent once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use banyangauge_proto as wire;
use tokio::sync::mpsc;

use super::clock::now_us;
use super::session_state::Command;
use crate::pool::Outcome;
use crate::upstream::Upstreams;
use crate::upstream::cancel;

/// Expiry of a grant, in microseconds since the VM started.
#[derive(Debug)]
pub struct Lease(AtomicU64);

impl Lease {
    /// Returns a lease that expires at `until_us`.
    pub fn new(until_us: u64) -> Self {
        Self(AtomicU64::new(until_us))
    }

    /// Returns the time at which the lease expires, in microseconds.
    pub fn expires_at(&self) -> u64 {
        self.0.load(Ordering::Acquire)
    }

    /// Extends the lease to `until_us`; never shortens it.
    pub fn extend(&self, until_us: u64) {
        self.0.fetch_max(until_us, Ordering::AcqRel);
    }

    /// Expires the lease at once.
    pub fn revoke(&self) {
        self.0.store(0, Ordering::Release);
    }

    /// Returns whether the grant must no longer be used.
    pub fn has_expired(&self, now_us: u64) -> bool {
        now_us >= self.expires_at()
    }
}

/// A dispatched request, with what its cancellation needs.
#[derive(Clone)]
struct Dispatch {
    upstreams: Upstreams,
    address: SocketAddr,
    request: String,
    /// Whether the upstream is an engine, which supports cancellation.
    engine: bool,
    started_us: u64,
    first_byte_us: Option<u64>,
}

/// A grant held by a request.
///
/// Its release is sent exactly once: by [`HeldGrant::release`], or on drop if the
/// caller disconnected or the request's task panicked. The drop also cancels a
/// dispatch in progress.
pub struct HeldGrant {
    /// The owner's grant.
    pub grant: wire::Grant,
    /// Lease of the grant, extended by renewals.
    pub lease: Arc<Lease>,
    /// Tokens that were passed to the caller.
    pub tokens: u64,
    /// Incarnation named by the response; 0 if not known.
    pub seen_incarnation: u64,
    /// Claim of the request's idempotency key; empty if it has none.
    pub claim: String,
    commands: mpsc::Sender<Command>,
    dispatch: Option<Dispatch>,
    released: bool,
}

impl HeldGrant {
    /// Wraps a new grant whose request is not yet dispatched.
    pub fn new(grant: wire::Grant, lease: Arc<Lease>, commands: mpsc::Sender<Command>) -> Self {
        Self {
            grant,
            lease,
            tokens: 0,
            seen_incarnation: 0,
            claim: String::new(),
            commands,
            dispatch: None,
            released: false,
        }
    }

    /// Records that the request is dispatched now.
    pub fn dispatch(
        &mut self,
        upstreams: &Upstreams,
        address: SocketAddr,
        request: &str,
        engine: bool,
    ) {
        self.dispatch = Some(Dispatch {
            upstreams: upstreams.clone(),
            address,
            request: request.to_owned(),
            engine,
            started_us: now_us(),
            first_byte_us: None,
        });
    }

    /// Records when the response began and which incarnation it named.
    pub fn record_first_byte(&mut self, at_us: u64, incarnation: u64) {
        self.seen_incarnation = incarnation;
        if let Some(d) = &mut self.dispatch {
            d.first_byte_us.get_or_insert(at_us);
        }
    }

    /// Releases the grant with the outcome of the request.
    pub fn release(mut self, outcome: Outcome) {
        self.send_release(outcome);
    }

    fn send_release(&mut self, outcome: Outcome) {
        self.released = true;
        let now = now_us();
        let dispatch = self.dispatch.as_ref();
        let elapsed_ms =
            |end: u64| dispatch.map_or(0, |d| end.saturating_sub(d.started_us) / 1_000);
        let release = wire::Release {
            request: self.grant.request,
            grant: self.grant.grant,
            outcome: outcome_number(outcome),
            tokens: u32::try_from(self.tokens).unwrap_or(u32::MAX),
            first_ms: dispatch.and_then(|d| d.first_byte_us).map_or(0, elapsed_ms),
            total_ms: elapsed_ms(now),
            seen: self.seen_incarnation,
            claim_outcome: claim_outcome(!self.claim.is_empty(), outcome).to_owned(),
            claim: self.claim.clone(),
        };
        match self
            .dispatch
            .take()
            .filter(|d| d.engine && may_still_run(outcome))
        {
            Some(dispatch) => cancel_and_release(dispatch, self.commands.clone(), release),
            None => queue_release(&self.commands, release),
        }
    }
}

/// Returns whether the upstream may still run the request after this outcome.
const fn may_still_run(outcome: Outcome) -> bool {
    match outcome {
        Outcome::Answered | Outcome::NotRun => false,
        Outcome::BrokenEarly
        | Outcome::BrokenLate
        | Outcome::Cancelled
        | Outcome::WrongIdentity => true,
    }
}

// The owner may evict the adapter as soon as it reads the release, so the
// request is cancelled first. Until then the grant is renewed like any other.
fn cancel_and_release(dispatch: Dispatch, commands: mpsc::Sender<Command>, release: wire::Release) {
    let Ok(runtime) = tokio::runtime::Handle::try_current() else {
        return queue_release(&commands, release);
    };
    runtime.spawn(async move {
        cancel(&dispatch.upstreams, dispatch.address, &dispatch.request).await;
        queue_release(&commands, release);
    });
}

fn queue_release(commands: &mpsc::Sender<Command>, release: wire::Release) {
    // The channel has room for more than all requests in flight can send.
    commands.try_send(Command::Release(release)).ok();
}

impl Drop for HeldGrant {
    fn drop(&mut self) {
        if self.released {
            return;
        }
        let outcome = match self.dispatch {
            Some(_) => Outcome::Cancelled,
            None => Outcome::NotRun,
        };
        self.send_release(outcome);
    }
}

/// Returns the number of an outcome in `Release`.
pub(super) const fn outcome_number(outcome: Outcome) -> u32 {
    match outcome {
        Outcome::Answered => 0,
        Outcome::NotRun => 1,
        Outcome::BrokenEarly => 2,
        Outcome::BrokenLate => 3,
        Outcome::Cancelled => 4,
        Outcome::WrongIdentity => 5,
    }
}

const fn claim_outcome(claimed: bool, outcome: Outcome) -> &'static str {
    match (claimed, outcome) {
        (false, _) | (_, Outcome::NotRun) => "",
        (true, Outcome::Answered) => "answered",
        (true, _) => "unknown",
    }
}
