//! Calls of the store, and what their answers say of its history.

use std::fmt;
use std::time::Duration;

use crate::platform::PlatformError;
use crate::serving::cluster::topic::CALL_MARGIN;
use crate::serving::cluster::topic::Topic;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;
use crate::serving::store::port::Answer;
use crate::serving::store::port::Era;

/// The timeout of a call that does not wait for changes.
pub(in crate::serving) const CALL_TIMEOUT: Duration = CALL_MARGIN;

/// Why a call gave no result that can be used.
#[derive(Debug)]
pub(in crate::serving) enum CallError {
    /// The call failed.
    Failed(PlatformError),
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

/// Waits for the answer to a call, at most for `timeout`; after that its effect is
/// unknown. Any answer, also a failure, says in which era the store is. The result of
/// an era that the store has left is not used.
pub(in crate::serving) async fn call<T>(
    node: &Node,
    timeout: Duration,
    pending: impl Future<Output = Answer<T>>,
) -> Result<T, CallError> {
    let timed_out = |_| PlatformError::Lost(format!("no answer within {} ms", timeout.as_millis()));
    let answer = tokio::time::timeout(timeout, pending)
        .await
        .map_err(timed_out)?;
    if answer.unreadable_era {
        slog::warn!(node.log, "store era not parsed, taken as unchanged");
    }
    if let Some(era) = answer.era {
        observe_era(node, era, None);
        expect_era(node, era)?;
    }
    Ok(answer.result?)
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
