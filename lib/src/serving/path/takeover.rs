//! Starts a run on another replica while its own, which is silent, may still go on with it.
//!
//! Load: a machine under load makes its replicas say nothing for a second or two. Harm: a run that
//! is given up before another replica has it is lost if none takes it, as its process stops, the
//! retry budget is spent, or the other replica refuses it. So it is given up only then.

use std::cell::RefCell;
use std::pin::Pin;

use tokio::sync::Notify;

use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::decisions::retry::Refusal;
use crate::serving::path::forward::StartedResponse;
use crate::serving::path::types::Instance;
use crate::serving::program::node::now;
use crate::serving::program::node::to_instant;

/// Longest time for which two replicas may work on a stream; one that was given up ends its work
/// within about as long again.
pub(in crate::serving) const MAX_OVERLAP: Span = Span::from_millis(200);

/// A run that was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(in crate::serving) struct SentRun {
    pub(in crate::serving) replica: Instance,
    pub(in crate::serving) id: u64,
    pub(in crate::serving) sent_at: Moment,
}

/// The last send of a request, from when it begins until it fails or another attempt begins.
#[derive(Debug, Default)]
pub(in crate::serving) struct LastSend {
    /// The run, and when the connection for it was open.
    pending: RefCell<Option<(SentRun, Option<Moment>)>>,
    wake: Notify,
}

impl LastSend {
    /// Records that a run is sent once a connection is open.
    pub(in crate::serving) fn begin(&self, run: SentRun) {
        self.pending.replace(Some((run, None)));
        self.wake.notify_waiters();
    }

    /// Records that the connection is open.
    pub(in crate::serving) fn open(&self) {
        if let Some((_, opened)) = &mut *self.pending.borrow_mut() {
            *opened = Some(now());
        }
        self.wake.notify_waiters();
    }

    /// Records that the send is over. Returns whether there was one.
    pub(in crate::serving) fn end(&self) -> bool {
        self.pending.take().is_some()
    }

    /// Waits until a run is sent.
    pub(in crate::serving) async fn until_sent(&self) -> SentRun {
        loop {
            let woken = self.wake.notified();
            let pending = self.pending.borrow().clone();
            match pending {
                Some((run, _)) => return run,
                None => woken.await,
            }
        }
    }

    /// Waits until a replica has had a run for so long.
    async fn until_held(&self, time: Span) {
        loop {
            let woken = self.wake.notified();
            let pending = self.pending.borrow().clone();
            let Some((_, Some(opened))) = pending else {
                woken.await;
                continue;
            };
            let due = opened.after(time);
            if now() >= due {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep_until(to_instant(due)) => {}
                () = woken => {}
            }
        }
    }
}

/// Attempts to start a run on other replicas.
pub(in crate::serving) type OtherAttempts<'a> =
    Pin<Box<dyn Future<Output = Result<StartedResponse, Refusal>> + 'a>>;

/// Result of starting a run on other replicas.
pub(in crate::serving) enum Takeover<T> {
    /// Its own replica went on with it.
    Own(T),
    /// Another replica has it. Its own run must be given up.
    Moved(Box<StartedResponse>),
    /// No other replica takes it, or its own is heard from again.
    Stays(&'static str),
    /// Another replica has had it for `MAX_OVERLAP` and has not refused it. Its own run must be
    /// given up before the attempts go on.
    GiveUp,
}

/// Makes attempts on other replicas until one has the run, or its own replica goes on with it.
/// `overlap` bounds the time for which two may run it; `is_silent` says whether its own replica
/// still says nothing.
pub(in crate::serving) async fn race<T>(
    own: impl Future<Output = T>,
    others: &mut OtherAttempts<'_>,
    last_send: &LastSend,
    overlap: Option<Span>,
    is_silent: impl Fn() -> bool,
) -> Takeover<T> {
    let overlap_ends = async {
        match overlap {
            Some(time) => last_send.until_held(time).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        biased;
        result = own => Takeover::Own(result),
        moved = others => match moved {
            Ok(started) => Takeover::Moved(Box::new(started)),
            Err(refusal) => Takeover::Stays(refusal.reason),
        },
        () = overlap_ends => match is_silent() {
            true => Takeover::GiveUp,
            false => Takeover::Stays("heard_again"),
        },
    }
}
