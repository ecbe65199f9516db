//! The grant of a streamed response, with a task that enforces its expiry.
//!
//! A caller that stops reading also stops the polling of its stream, so the
//! stream alone cannot notice that its deadline passed or its grant expired.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;

use futures_util::task::AtomicWaker;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::AbortHandle;

use super::clock;
use super::clock::now_us;
use super::held_grant::HeldGrant;
use super::retry::Failure;
use crate::pool::Outcome;

enum GrantState {
    /// The dispatch is in progress; the request counts as in flight.
    Running(Box<HeldGrant>, Option<OwnedSemaphorePermit>),
    /// The dispatch was cancelled because of this failure.
    Cancelled(Failure),
    /// The release was sent.
    Released,
}

/// State shared by a [`StreamGrant`] and the task that enforces its deadline and
/// expiry.
struct SharedState {
    state: Mutex<GrantState>,
    waker: AtomicWaker,
    deadline_us: u64,
}

impl SharedState {
    fn lock(&self) -> MutexGuard<'_, GrantState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Cancels the dispatch if its deadline has passed or its grant has expired;
    /// otherwise returns the time of the next check.
    fn check(&self, now: u64) -> Option<u64> {
        let mut state = self.lock();
        let GrantState::Running(held_grant, _) = &*state else {
            return None;
        };
        let until = held_grant.lease.expires_at();
        let failure = match now {
            _ if now >= self.deadline_us => Failure::Deadline,
            _ if now >= until => Failure::GrantExpired,
            _ => return Some(until.min(self.deadline_us)),
        };
        // Dropping the held grant cancels the dispatch and releases the grant.
        *state = GrantState::Cancelled(failure);
        self.waker.wake();
        None
    }
}

/// The grant of a stream; dropping it cancels the dispatch.
pub(super) struct StreamGrant {
    inner: Arc<SharedState>,
    watchdog: AbortHandle,
}

impl StreamGrant {
    /// Starts the task that enforces the expiry of the grant and `deadline_us`, a
    /// time of the entry's clock.
    pub(super) fn new(held_grant: Box<HeldGrant>, deadline_us: u64) -> Self {
        let inner = Arc::new(SharedState {
            state: Mutex::new(GrantState::Running(held_grant, None)),
            waker: AtomicWaker::new(),
            deadline_us,
        });
        let watchdog = tokio::spawn(enforce_expiry(inner.clone())).abort_handle();
        Self { inner, watchdog }
    }

    /// Returns the failure that ends the stream now, if any; otherwise wakes the
    /// task of `cx` when one occurs.
    pub(super) fn poll_failure(&self, cx: &mut Context<'_>) -> Option<Failure> {
        self.inner.waker.register(cx.waker());
        self.inner.check(now_us());
        match &*self.inner.lock() {
            GrantState::Cancelled(failure) => Some(failure.clone()),
            _ => None,
        }
    }

    /// Applies `f` to the grant if the dispatch is in progress.
    pub(super) fn with<T>(&self, f: impl FnOnce(&mut HeldGrant) -> T) -> Option<T> {
        match &mut *self.inner.lock() {
            GrantState::Running(held_grant, _) => Some(f(held_grant)),
            _ => None,
        }
    }

    /// Counts the request as in flight until the dispatch ends.
    pub(super) fn hold_permit(&self, permit: OwnedSemaphorePermit) {
        if let GrantState::Running(_, kept) = &mut *self.inner.lock() {
            *kept = Some(permit);
        }
    }

    /// Sends the release and returns true, or returns false if the dispatch has
    /// ended before.
    pub(super) fn release(&self, outcome: Outcome) -> bool {
        let state = std::mem::replace(&mut *self.inner.lock(), GrantState::Released);
        let GrantState::Running(held_grant, _) = state else {
            return false;
        };
        match outcome {
            // Dropping the held grant also cancels the dispatch.
            Outcome::Cancelled => drop(held_grant),
            outcome => held_grant.release(outcome),
        }
        true
    }
}

impl Drop for StreamGrant {
    fn drop(&mut self) {
        self.watchdog.abort();
        self.release(Outcome::Cancelled);
    }
}

async fn enforce_expiry(inner: Arc<SharedState>) {
    while let Some(next) = inner.check(now_us()) {
        tokio::time::sleep_until(clock::to_instant(next)).await;
    }
}
