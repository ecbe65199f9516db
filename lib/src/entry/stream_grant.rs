//! The grant of a stream under way, ended in time even when its caller reads
//! nothing and so nobody polls the stream.

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
    /// The dispatch is under way; the request counts as in flight.
    Running(Box<HeldGrant>, Option<OwnedSemaphorePermit>),
    /// It was ended because of this.
    Stopped(Failure),
    /// Its release has been sent.
    Settled,
}

struct Inner {
    held: Mutex<GrantState>,
    waker: AtomicWaker,
    deadline: u64,
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, GrantState> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the dispatch if it is past its deadline or its grant has lapsed;
    /// else tells when to look again.
    fn check(&self, now: u64) -> Option<u64> {
        let mut held = self.lock();
        let GrantState::Running(hold, _) = &*held else {
            return None;
        };
        let until = hold.lease.expires_at();
        let failure = match now {
            _ if now >= self.deadline => Failure::Deadline,
            _ if now >= until => Failure::GrantExpired,
            _ => return Some(until.min(self.deadline)),
        };
        // The hold that is dropped here cancels and releases the dispatch.
        *held = GrantState::Stopped(failure);
        self.waker.wake();
        None
    }
}

/// A stream's grant under watch; dropping it cancels the dispatch.
pub(super) struct StreamGrant {
    inner: Arc<Inner>,
    watch: AbortHandle,
}

impl StreamGrant {
    /// Watches a grant from now on; `deadline` is a reading of the entry's
    /// clock.
    pub(super) fn new(hold: Box<HeldGrant>, deadline: u64) -> Self {
        let inner = Arc::new(Inner {
            held: Mutex::new(GrantState::Running(hold, None)),
            waker: AtomicWaker::new(),
            deadline,
        });
        let watch = tokio::spawn(watch(inner.clone())).abort_handle();
        Self { inner, watch }
    }

    /// Why the stream must end now, if it must; wakes the task when that
    /// comes later.
    pub(super) fn poll_stop(&self, cx: &mut Context<'_>) -> Option<Failure> {
        self.inner.waker.register(cx.waker());
        self.inner.check(now_us());
        match &*self.inner.lock() {
            GrantState::Stopped(failure) => Some(failure.clone()),
            _ => None,
        }
    }

    /// Reads or changes the grant while the dispatch is under way.
    pub(super) fn with<T>(&self, f: impl FnOnce(&mut HeldGrant) -> T) -> Option<T> {
        match &mut *self.inner.lock() {
            GrantState::Running(hold, _) => Some(f(hold)),
            _ => None,
        }
    }

    /// Keeps the request's place among those in flight until it ends.
    pub(super) fn keep(&self, room: OwnedSemaphorePermit) {
        if let GrantState::Running(_, kept) = &mut *self.inner.lock() {
            *kept = Some(room);
        }
    }

    /// Sends the release, if it has not been sent. False when it had been.
    pub(super) fn settle(&self, outcome: Outcome) -> bool {
        let held = std::mem::replace(&mut *self.inner.lock(), GrantState::Settled);
        let GrantState::Running(hold, _) = held else {
            return false;
        };
        match outcome {
            // A dropped hold cancels the dispatch besides.
            Outcome::Cancelled => drop(hold),
            outcome => hold.settle(outcome),
        }
        true
    }
}

impl Drop for StreamGrant {
    fn drop(&mut self) {
        self.watch.abort();
        self.settle(Outcome::Cancelled);
    }
}

async fn watch(inner: Arc<Inner>) {
    while let Some(next) = inner.check(now_us()) {
        tokio::time::sleep_until(clock::instant(next)).await;
    }
}
