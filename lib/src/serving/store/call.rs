//! Calls of the store, and what their answers say of its history.

use std::fmt;
use std::time::Duration;

use tokio::time::Instant;

use crate::platform::PlatformError;
use crate::serving::cluster::topic::CALL_MARGIN;
use crate::serving::cluster::topic::Topic;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;
use crate::serving::store::port::Answer;
use crate::serving::store::port::Era;
use crate::serving::store::port::Pending;

/// The timeout of a call that does not wait for changes.
pub(in crate::serving) const CALL_TIMEOUT: Duration = CALL_MARGIN;

/// Time without data after which an answer that has begun to arrive is given up.
const STALL_TIMEOUT: Duration = CALL_MARGIN;

/// Why a call gave no result that can be used.
#[derive(Debug)]
pub(in crate::serving) enum CallError {
    /// The call failed.
    Failed(PlatformError),
    /// The answer began to arrive, and nothing more of it came for so long.
    Stalled(Duration),
    /// The answer is of another era than expected: the store came back from an
    /// earlier copy before or after it.
    OtherEra {
        /// The era that the result was needed for.
        expected: Era,
        /// The era of the answer.
        answered: Era,
    },
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(e) => e.fmt(f),
            Self::Stalled(time) => write!(
                f,
                "an answer that had begun did not go on for {} ms",
                time.as_millis()
            ),
            Self::OtherEra { expected, answered } => write!(
                f,
                "expected an answer of era {}, found one of era {}",
                expected.0, answered.0
            ),
        }
    }
}

impl std::error::Error for CallError {}

impl From<PlatformError> for CallError {
    fn from(e: PlatformError) -> Self {
        Self::Failed(e)
    }
}

/// Waits for the answer to a call until it begins, at most for `timeout`, and for as long as
/// it goes on to arrive; after that its effect is unknown. Any answer, also a failure, says in
/// which era the store is. The result of an era that the store has left is not used.
pub(in crate::serving) async fn call<T>(
    node: &Node,
    timeout: Duration,
    pending: Pending<T>,
) -> Result<T, CallError> {
    let answer = arrival(timeout, pending).await?;
    if answer.unreadable_era {
        slog::warn!(node.log, "store era not parsed, taken as unchanged");
    }
    if let Some(era) = answer.era {
        observe_era(node, era, None);
        expect_era(node, era)?;
    }
    Ok(answer.result?)
}

/// Returns the answer once it has arrived.
async fn arrival<T>(timeout: Duration, mut pending: Pending<T>) -> Result<Answer<T>, CallError> {
    let progress = pending.progress();
    let begin_by = Instant::now() + timeout;
    loop {
        let give_up = progress
            .last()
            .map_or(begin_by, |last| begin_by.max(last + STALL_TIMEOUT));
        if let Ok(answer) = tokio::time::timeout_at(give_up, &mut pending).await {
            return Ok(answer);
        }
        match progress.last() {
            Some(last) if last + STALL_TIMEOUT > give_up => {}
            Some(_) => return Err(CallError::Stalled(STALL_TIMEOUT)),
            None => {
                let error = format!("no answer within {} ms", timeout.as_millis());
                return Err(PlatformError::Lost(error).into());
            }
        }
    }
}

/// Checks that a result is of the latest known era.
pub(in crate::serving) fn expect_era(node: &Node, answered: Era) -> Result<(), CallError> {
    let expected = node.state().store_era();
    match answered == expected {
        true => Ok(()),
        false => Err(CallError::OtherEra { expected, answered }),
    }
}

/// Records the era of the store, as an answer or another VM states it. If it came back
/// from an earlier copy, all topics are read again and this VM's entry is written again.
pub(in crate::serving) fn observe_era(node: &Node, era: Era, told_by: Option<&str>) {
    let mut state = node.state();
    let Some(old) = state.observe_era(now(), era) else {
        return;
    };
    let known = Topic::ALL.map(|t| state.feeds.get(t).revision().to_string());
    let config = state.active.as_ref().map(|a| a.config.version);
    drop(state);
    slog::warn!(node.log, "store came back from an earlier copy, reading all again";
        "era" => era.0, "old_era" => old.0, "known" => known.join(" "),
        "config" => config, "told_by" => told_by);
    metrics::counter!("serve_store_restores_total").increment(1);
    metrics::gauge!("serve_store_era").set(era.0 as f64);
    node.restore_wake.notify_waiters();
    node.catch_up_wake.notify_waiters();
    node.register_wake.notify_one();
}
