//! A grant in use: when it lapses, and its one release.

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

/// Until when a grant may be used, in microseconds since the VM started.
#[derive(Debug)]
pub struct Lease(AtomicU64);

impl Lease {
    /// A lease until `until_us`.
    pub fn new(until_us: u64) -> Self {
        Self(AtomicU64::new(until_us))
    }

    /// When it ends, in microseconds.
    pub fn expires_at(&self) -> u64 {
        self.0.load(Ordering::Acquire)
    }

    /// Prolongs it; never shortens it.
    pub fn extend(&self, until_us: u64) {
        self.0.fetch_max(until_us, Ordering::AcqRel);
    }

    /// Ends it at once.
    pub fn revoke(&self) {
        self.0.store(0, Ordering::Release);
    }

    /// Whether the grant must not be used any more.
    pub fn has_expired(&self, now_us: u64) -> bool {
        now_us >= self.expires_at()
    }
}

/// What a dispatch needs for being cancelled.
#[derive(Clone)]
struct Running {
    upstreams: Upstreams,
    address: SocketAddr,
    request: String,
    /// Whether the upstream knows how to cancel.
    engine: bool,
    since: u64,
    first: Option<u64>,
}

/// A grant in the hands of a request. Its release is sent exactly once: by
/// [`HeldGrant::settle`], or when it is dropped because the caller went away or the
/// request's task panicked; a dispatch under way is cancelled then.
pub struct HeldGrant {
    /// What was granted.
    pub grant: wire::Grant,
    /// Until when.
    pub lease: Arc<Lease>,
    /// Tokens that were passed on.
    pub tokens: u64,
    /// The incarnation by the answer; 0 is not known.
    pub seen: u64,
    /// The claim of its idempotency key; empty is none.
    pub claim: String,
    commands: mpsc::Sender<Command>,
    running: Option<Running>,
    settled: bool,
}

impl HeldGrant {
    /// A grant that has just come.
    pub fn new(grant: wire::Grant, lease: Arc<Lease>, commands: mpsc::Sender<Command>) -> Self {
        Self {
            grant,
            lease,
            tokens: 0,
            seen: 0,
            claim: String::new(),
            commands,
            running: None,
            settled: false,
        }
    }

    /// Notes that the request goes out now.
    pub fn dispatch(
        &mut self,
        upstreams: &Upstreams,
        address: SocketAddr,
        request: &str,
        engine: bool,
    ) {
        self.running = Some(Running {
            upstreams: upstreams.clone(),
            address,
            request: request.to_owned(),
            engine,
            since: now_us(),
            first: None,
        });
    }

    /// Notes when the answer began, and which incarnation it told.
    pub fn begun(&mut self, at_us: u64, seen: u64) {
        self.seen = seen;
        if let Some(r) = &mut self.running {
            r.first.get_or_insert(at_us);
        }
    }

    /// Tells the owner how it ended.
    pub fn settle(mut self, outcome: Outcome) {
        self.send(outcome);
    }

    fn send(&mut self, outcome: Outcome) {
        self.settled = true;
        let now = now_us();
        let running = self.running.as_ref();
        let span = |end: u64| running.map_or(0, |r| end.saturating_sub(r.since) / 1_000);
        let release = wire::Release {
            request: self.grant.request,
            grant: self.grant.grant,
            outcome: outcome_number(outcome),
            tokens: u32::try_from(self.tokens).unwrap_or(u32::MAX),
            first_ms: running.and_then(|r| r.first).map_or(0, span),
            total_ms: span(now),
            seen: self.seen,
            claim_outcome: claim_outcome(!self.claim.is_empty(), outcome).to_owned(),
            claim: self.claim.clone(),
        };
        match self
            .running
            .take()
            .filter(|r| r.engine && may_go_on(outcome))
        {
            Some(running) => release_when_ended(running, self.commands.clone(), release),
            None => tell(&self.commands, release),
        }
    }
}

/// Whether the upstream may still run the request after such an end.
const fn may_go_on(outcome: Outcome) -> bool {
    match outcome {
        Outcome::Answered | Outcome::NotRun => false,
        Outcome::BrokenEarly
        | Outcome::BrokenLate
        | Outcome::Cancelled
        | Outcome::WrongIdentity => true,
    }
}

// The owner may evict the adapter as soon as it is told, so the engine ends
// the request first. Until then the grant is renewed like any other.
fn release_when_ended(running: Running, commands: mpsc::Sender<Command>, release: wire::Release) {
    let Ok(runtime) = tokio::runtime::Handle::try_current() else {
        return tell(&commands, release);
    };
    runtime.spawn(async move {
        cancel(&running.upstreams, running.address, &running.request).await;
        tell(&commands, release);
    });
}

fn tell(commands: &mpsc::Sender<Command>, release: wire::Release) {
    // The mailbox holds more than all requests in flight can send.
    commands.try_send(Command::Release(release)).ok();
}

impl Drop for HeldGrant {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let outcome = match self.running {
            Some(_) => Outcome::Cancelled,
            None => Outcome::NotRun,
        };
        self.send(outcome);
    }
}

/// The number of an outcome in `Release`.
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
