//! Follows a control process: catalog, owners and verdicts come in, usage
//! goes out.

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

/// The pause before the next control process is tried.
const PAUSE: Duration = Duration::from_millis(100);

/// How long another VM's control process is followed before the own one is
/// tried again: the own one costs no traffic between VMs.
const BORROWED: Duration = Duration::from_secs(20);

/// The longest call to a control process.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How often usage is reported: a lost VM loses at most about this much.
const REPORT_EVERY: Duration = Duration::from_secs(1);

/// The longest that a stopping process looks for one that takes its last
/// report: two that do not answer, and one that does.
const LAST_REPORT: Duration = Duration::from_secs(5);

/// The pause after none took it.
const LAST_PAUSE: Duration = Duration::from_millis(100);

/// Follows the own VM's control process, or another one while that is down;
/// runs until the process ends.
pub(super) async fn follow(state: Arc<State>) {
    let mut lost = false;
    for at in (0..state.settings.controls.len()).cycle() {
        let address = state.settings.controls[at];
        let work = subscribe(&state, address, &mut lost);
        let ended = match at {
            0 => work.await,
            _ => tokio::time::timeout(BORROWED, work).await.unwrap_or(Ok(())),
        };
        // One line when the feed is lost, not one for each try.
        match ended {
            Ok(()) => {}
            Err(e) if lost => {
                slog::trace!(state.log, "no feed"; "address" => %address, "error" => %e);
            }
            Err(e) => {
                lost = true;
                slog::warn!(state.log, "no feed"; "address" => %address, "error" => %e);
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// `lost` becomes false once the feed is there.
async fn subscribe(state: &State, address: SocketAddr, lost: &mut bool) -> Result<(), String> {
    let mut client = client(state, address).await?;
    let request = wire::FeedRequest {
        entry: state.settings.vm.to_string(),
        incarnation: state.incarnation.0,
        revision: state.view().revision().0,
    };
    let mut stream = tokio::time::timeout(CALL_TIMEOUT, client.subscribe(request))
        .await
        .map_err(|_| "no answer in time".to_owned())?
        .map_err(|e| e.to_string())?
        .into_inner();
    *lost = false;
    slog::info!(state.log, "feed"; "address" => %address);
    while let Some(message) = stream.message().await.map_err(|e| e.to_string())? {
        apply(state, message)?;
    }
    Ok(())
}

async fn client(state: &State, address: SocketAddr) -> Result<FeedClient<Channel>, String> {
    let client = FeedClient::new(channel(&state.link, address).await?);
    Ok(client.max_decoding_message_size(MAX_SNAPSHOT_BYTES))
}

/// Applies one message of the feed; a catalog only if its revision is higher.
///
/// # Errors
///
/// When it is malformed or does not follow what is in force; the feed is
/// opened again then, and brings a snapshot.
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
        None => Err("an empty message".to_owned()),
    }
}

fn apply_snapshot(state: &State, s: &wire::Snapshot) -> Result<(), String> {
    if s.revision <= state.view().revision().0 {
        return Ok(());
    }
    let catalog: Catalog = serde_json::from_slice(&s.catalog).map_err(|e| e.to_string())?;
    if catalog.revision.0 != s.revision {
        return Err("a snapshot of another revision than it says".to_owned());
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
        return Err("a change set of another revision than it says".to_owned());
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

/// A higher token wins, so that news from a control process that lags does not
/// lead back to an earlier owner.
fn apply_owners(state: &State, owners: wire::Owners) {
    let list = owners.owners.into_iter().filter_map(|o| {
        let owner = Owner {
            vm: o.vm.parse().ok()?,
            address: o.address.parse().ok()?,
            token: FencingToken(o.token),
        };
        Some((o.pool.parse().ok()?, owner))
    });
    state.owners.send_if_modified(|have| {
        let mut changed = false;
        for (pool, owner) in list {
            let newer = have.get(&pool).is_none_or(|h| owner.token > h.token);
            if newer {
                have.insert(pool, owner);
                changed = true;
            }
        }
        changed
    });
}

/// Reports usage each second until the process ends: what rose since the last
/// report that was answered, and everything to a control process that is new.
pub(super) async fn report(state: Arc<State>) {
    let mut reporter = Reporter::new(state);
    let mut tick = tokio::time::interval(REPORT_EVERY);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        reporter.send().await;
    }
}

/// Reports all usage at the end of the process, to the first control process
/// that takes it: those that stop as well refuse, and are soon back.
pub(super) async fn report_last(state: Arc<State>) {
    let log = state.log.clone();
    let mut reporter = Reporter::new(state);
    let taken = async {
        while !reporter.send().await {
            tokio::time::sleep(LAST_PAUSE).await;
        }
    };
    if tokio::time::timeout(LAST_REPORT, taken).await.is_err() {
        slog::warn!(log, "last usage not reported");
    }
}

struct Reporter {
    state: Arc<State>,
    client: Option<FeedClient<Channel>>,
    at: usize,
}

impl Reporter {
    fn new(state: Arc<State>) -> Self {
        Self {
            state,
            client: None,
            at: 0,
        }
    }

    /// Sends one report to the first control process that takes it; gives
    /// whether one did, or nothing was left to report.
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
                Err(e) => slog::debug!(self.state.log, "usage not reported"; "error" => %e),
            }
            self.client = None;
            self.at = (self.at + 1) % self.state.settings.controls.len();
        }
        false
    }

    async fn try_send(&mut self, mut report: UsageBatch) -> Result<(), String> {
        let message = wire::UsageReport {
            vm: self.state.settings.vm.to_string(),
            incarnation: self.state.incarnation.0,
            // Reports of one process are told apart by when they were made.
            sequence: super::clock::now_us(),
            counts: std::mem::take(&mut report.counts),
        };
        let work = async {
            let mut client = match self.client.take() {
                Some(client) => client,
                None => client(&self.state, self.state.settings.controls[self.at]).await?,
            };
            let reply = client.report_usage(message).await;
            reply.map_err(|e| e.to_string())?;
            self.client = Some(client);
            Ok(())
        };
        let answered = tokio::time::timeout(CALL_TIMEOUT, work);
        answered
            .await
            .unwrap_or_else(|_| Err("no answer in time".to_owned()))?;
        report.mark_reported();
        Ok(())
    }
}
