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

/// Longest time for which two replicas may run a request; a replica that was given up ends its
/// work within about as long again.
const MAX_OVERLAP: Span = Span::from_millis(200);

/// A send whose response has not begun.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(in crate::serving) struct PendingSend {
    pub(in crate::serving) replica: Instance,
    /// The ID of the run.
    pub(in crate::serving) run: u64,
    pub(in crate::serving) at: Moment,
}

/// The last send of a request, while its response has not begun.
#[derive(Debug, Default)]
pub(in crate::serving) struct LastSend {
    pending: RefCell<Option<PendingSend>>,
    wake: Notify,
}

impl LastSend {
    /// Records that the request is sent.
    pub(in crate::serving) fn begin(&self, send: PendingSend) {
        self.pending.replace(Some(send));
        self.wake.notify_waiters();
    }

    /// Records that the send is over. Returns whether there was one.
    pub(in crate::serving) fn end(&self) -> bool {
        self.pending.take().is_some()
    }

    /// Waits until the request is sent.
    pub(in crate::serving) async fn until_sent(&self) -> PendingSend {
        loop {
            let woken = self.wake.notified();
            let pending = self.pending.borrow().clone();
            match pending {
                Some(send) => return send,
                None => woken.await,
            }
        }
    }

    /// Waits until one send has been under way for `MAX_OVERLAP`.
    async fn until_overlap_ends(&self) {
        loop {
            let send = self.until_sent().await;
            tokio::time::sleep_until(to_instant(send.at.after(MAX_OVERLAP))).await;
            if self.pending.borrow().as_ref() == Some(&send) && now() >= send.at.after(MAX_OVERLAP)
            {
                return;
            }
        }
    }
}

/// The attempts to start a run on other replicas.
pub(in crate::serving) type OtherAttempts<'a> =
    Pin<Box<dyn Future<Output = Result<StartedResponse, Refusal>> + 'a>>;

/// Result of starting a run on other replicas.
pub(in crate::serving) enum Takeover<T> {
    /// Its own replica went on meanwhile.
    Stayed(T),
    /// Another replica has it. Its own must be given up.
    Moved(Box<StartedResponse>),
    /// No other replica takes it.
    Refused(Refusal),
    /// Another replica has had it for `MAX_OVERLAP` without refusing it. Its own must be given up
    /// before the attempts go on.
    GiveUp,
}

/// Makes attempts on other replicas until one has the run, or its own replica goes on with it.
pub(in crate::serving) async fn take_over<T>(
    own: impl Future<Output = T>,
    others: &mut OtherAttempts<'_>,
    last_send: &LastSend,
) -> Takeover<T> {
    tokio::select! {
        biased;
        result = own => Takeover::Stayed(result),
        moved = others => match moved {
            Ok(started) => Takeover::Moved(Box::new(started)),
            Err(refusal) => Takeover::Refused(refusal),
        },
        () = last_send.until_overlap_ends() => Takeover::GiveUp,
    }
}
