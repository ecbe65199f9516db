//! Subscribes to the feed of a control process, which carries the catalog, the
//! owners of pools and blocked requests, and reports usage to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use banyangauge_proto as wire;
use tonic::transport::Channel;
use wire::feed_client::FeedClient;
use wire::feed_message::Body;

use super::session::channel;
use super::state::State;
use super::usage::UsageBatch;
use super::view::CatalogView;
use crate::catalog::Catalog;
use crate::catalog::ChangeSet;
use crate::catalog::MAX_SNAPSHOT_BYTES;
use crate::control::Owner;
use crate::ids::FencingToken;
use crate::ids::Fingerprint;
use crate::timeline::EventFields;
use crate::timeline::EventKind;

/// Delay before the next control process is tried.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Time after which the entry leaves the feed of another VM's control process to
/// try its own VM's, which costs no traffic between VMs.
const REMOTE_FEED_TIME: Duration = Duration::from_secs(20);

/// Timeout of a call to a control process.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval of usage reports; bounds the usage that is lost with a VM.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time that a stopping process spends on its final usage report: enough for two
/// control processes that do not answer and one that does.
const FINAL_REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before the final report is retried after all control processes failed.
const FINAL_REPORT_DELAY: Duration = Duration::from_millis(100);

/// Follows the feed of this VM's control process, or of another one while that is
/// down. Runs until the process ends.
pub(super) async fn follow(state: Arc<State>) {
    let mut disconnected = false;
    for index in (0..state.settings.controls.len()).cycle() {
        let address = state.settings.controls[index];
        let work = subscribe(&state, address, &mut disconnected);
        let ended = match index {
            0 => work.await,
            _ => tokio::time::timeout(REMOTE_FEED_TIME, work)
                .await
                .unwrap_or(Ok(())),
        };
        // Only the loss of the feed is a warning, not each failed reconnection.
        match ended {
            Ok(()) => {}
            Err(e) if disconnected => {
                slog::trace!(state.log, "control feed still unavailable"; "address" => %address, "error" => %e);
            }
            Err(e) => {
                disconnected = true;
                slog::warn!(state.log, "control feed unavailable"; "address" => %address, "error" => %e);
            }
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Applies the messages of a feed until it ends; clears `disconnected` once it is
/// subscribed.
async fn subscribe(
    state: &State,
    address: SocketAddr,
    disconnected: &mut bool,
) -> Result<(), String> {
    let mut client = client(state, address).await?;
    let request = wire::FeedRequest {
        entry: state.settings.vm.to_string(),
        incarnation: state.incarnation.0,
        revision: state.view().revision().0,
    };
    let mut stream = tokio::time::timeout(CALL_TIMEOUT, client.subscribe(request))
        .await
        .map_err(|_| format!("no answer within {CALL_TIMEOUT:?}"))?
        .map_err(|e| e.to_string())?
        .into_inner();
    *disconnected = false;
    slog::info!(state.log, "subscribed to the control feed"; "address" => %address);
    while let Some(message) = stream.message().await.map_err(|e| e.to_string())? {
        apply(state, message)?;
    }
    Ok(())
}

async fn client(state: &State, address: SocketAddr) -> Result<FeedClient<Channel>, String> {
    let client = FeedClient::new(channel(&state.link, address).await?);
    Ok(client.max_decoding_message_size(MAX_SNAPSHOT_BYTES))
}

/// Applies a message of the feed; ignores a catalog whose revision is not higher
/// than the current one.
///
/// # Errors
///
/// If the message is malformed or does not follow the current catalog. A new
/// subscription then starts with a snapshot.
pub fn apply(state: &State, message: wire::FeedMessage) -> Result<(), String> {
    match message.body {
        Some(Body::Snapshot(s)) => apply_snapshot(state, &s),
        Some(Body::Delta(d)) => apply_delta(state, &d),
        Some(Body::Owners(o)) => {
            apply_owners(state, o);
            Ok(())
        }
        Some(Body::Verdicts(v)) => {
            let list = v.verdicts.iter();
            state.block(list.map(|v| (Fingerprint(v.fingerprint), v.left_ms)));
            Ok(())
        }
        None => Err("feed message has no body".to_owned()),
    }
}

fn apply_snapshot(state: &State, s: &wire::Snapshot) -> Result<(), String> {
    if s.revision <= state.view().revision().0 {
        return Ok(());
    }
    let catalog: Catalog = serde_json::from_slice(&s.catalog).map_err(|e| e.to_string())?;
    if catalog.revision.0 != s.revision {
        return Err(format!(
            "snapshot claims revision {} but contains revision {}",
            s.revision, catalog.revision.0
        ));
    }
    install_view(state, CatalogView::new(catalog));
    Ok(())
}

fn apply_delta(state: &State, d: &wire::Delta) -> Result<(), String> {
    let view = state.view();
    if d.revision <= view.revision().0 {
        return Ok(());
    }
    let set: ChangeSet = serde_json::from_slice(&d.changes).map_err(|e| e.to_string())?;
    if set.revision.0 != d.revision {
        return Err(format!(
            "delta claims revision {} but contains revision {}",
            d.revision, set.revision.0
        ));
    }
    install_view(state, view.apply(&set)?);
    Ok(())
}

fn install_view(state: &State, view: CatalogView) {
    let revision = view.revision().0;
    if state.install_view(view) {
        let about = EventFields {
            detail: format!("revision {revision}"),
            ..EventFields::default()
        };
        state.recorder.record(EventKind::InForce, about);
        metrics::gauge!("entry_revision").set(revision as f64);
    }
}

/// Updates the owners of pools. Only a higher fencing token replaces an owner, so
/// that a lagging control process does not bring back an earlier owner.
fn apply_owners(state: &State, owners: wire::Owners) {
    let list = owners.owners.into_iter().filter_map(|o| {
        let owner = Owner {
            vm: o.vm.parse().ok()?,
            address: o.address.parse().ok()?,
            token: FencingToken(o.token),
        };
        Some((o.pool.parse().ok()?, owner))
    });
    state.owners.send_if_modified(|current| {
        let mut changed = false;
        for (pool, owner) in list {
            let newer = current.get(&pool).is_none_or(|c| owner.token > c.token);
            if newer {
                current.insert(pool, owner);
                changed = true;
            }
        }
        changed
    });
}

/// Reports usage each second until the process ends: the counts that changed since
/// the last acknowledged report, or all counts after a change of control process.
pub(super) async fn report_usage(state: Arc<State>) {
    let mut reporter = Reporter::new(state);
    let mut tick = tokio::time::interval(REPORT_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        reporter.send().await;
    }
}

/// Reports all usage at the end of the process to the first control process that
/// accepts it. Retries, as control processes that are restarting too refuse it for
/// a short time.
pub(super) async fn report_final_usage(state: Arc<State>) {
    let log = state.log.clone();
    let mut reporter = Reporter::new(state);
    let sending = async {
        while !reporter.send().await {
            tokio::time::sleep(FINAL_REPORT_DELAY).await;
        }
    };
    if tokio::time::timeout(FINAL_REPORT_TIMEOUT, sending)
        .await
        .is_err()
    {
        slog::warn!(log, "failed to report the final usage");
    }
}

struct Reporter {
    state: Arc<State>,
    client: Option<FeedClient<Channel>>,
    /// Index of the control process in the settings.
    index: usize,
}

impl Reporter {
    fn new(state: Arc<State>) -> Self {
        Self {
            state,
            client: None,
            index: 0,
        }
    }

    /// Sends a report to the first control process that accepts it; returns whether
    /// one did or there was nothing to report.
    async fn send(&mut self) -> bool {
        for _ in 0..self.state.settings.controls.len() {
            let report = match self.client {
                Some(_) => self.state.usage.unreported(),
                None => self.state.usage.all(),
            };
            if report.counts.is_empty() {
                return true;
            }
            match self.try_send(report).await {
                Ok(()) => return true,
                Err(e) => slog::debug!(self.state.log, "failed to report usage"; "error" => %e),
            }
            self.client = None;
            self.index = (self.index + 1) % self.state.settings.controls.len();
        }
        false
    }

    async fn try_send(&mut self, mut report: UsageBatch) -> Result<(), String> {
        let message = wire::UsageReport {
            vm: self.state.settings.vm.to_string(),
            incarnation: self.state.incarnation.0,
            // The time of the report identifies it among those of this process.
            sequence: super::clock::now_us(),
            counts: std::mem::take(&mut report.counts),
        };
        let work = async {
            let mut client = match self.client.take() {
                Some(client) => client,
                None => client(&self.state, self.state.settings.controls[self.index]).await?,
            };
            let reply = client.report_usage(message).await;
            reply.map_err(|e| e.to_string())?;
            self.client = Some(client);
            Ok(())
        };
        let answered = tokio::time::timeout(CALL_TIMEOUT, work);
        answered
            .await
            .unwrap_or_else(|_| Err(format!("no answer within {CALL_TIMEOUT:?}")))?;
        report.mark_reported();
        Ok(())
    }
}
