//! Keeps in the store at which builds streams began, for VMs that start later.
//!
//! The ledger of builds is one object that all VMs follow. While several builds serve, the streams
//! that begin are kept in batches, which are read only where a caller resumes a stream that no VM
//! knows.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use banyangauge_proto as wire;
use serde_json::value::to_raw_value;
use wire::datagram::Body;

use crate::ids::BuildName;
use crate::ids::ServiceName;
use crate::ids::VmName;
use crate::platform::PlatformError;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::cluster::state::NodeState;
use crate::serving::decisions::stream_builds::BatchWrite;
use crate::serving::decisions::stream_builds::BuildLedger;
use crate::serving::decisions::stream_builds::BuildReplicas;
use crate::serving::decisions::stream_builds::Builds;
use crate::serving::decisions::stream_builds::KeptGroup;
use crate::serving::decisions::stream_builds::LedgerView;
use crate::serving::decisions::stream_builds::MAX_STREAM_AGE;
use crate::serving::decisions::stream_builds::StreamBatch;
use crate::serving::decisions::stream_builds::StreamGroup;
use crate::serving::decisions::stream_builds::StreamId;
use crate::serving::path::types::RouteKind;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;
use crate::serving::program::node::to_instant;
use crate::serving::program::node::to_span;
use crate::serving::store::call::CALL_TIMEOUT;
use crate::serving::store::call::CallError;
use crate::serving::store::call::call;
use crate::serving::store::follow::count_call;
use crate::serving::store::follow::list;
use crate::serving::store::port::Era;
use crate::serving::store::port::Item;
use crate::serving::store::port::StoreRevision;

/// The name of the ledger of builds in the store.
pub(in crate::serving) const BUILD_LEDGER: &str = "builds";

/// Interval at which it is checked whether the ledger needs a change.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which a VM waits for the one before it in the order of VMs to write the ledger.
const WRITE_STAGGER: Span = Span::from_millis(1_000);

/// Pause after a write that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Pause after a read of the ledger that failed.
const FAILED_READ_PAUSE: Span = Span::from_millis(500);

/// The least time between two reads of the streams of a group.
const READ_INTERVAL: Span = Span::from_millis(50);

/// Returns the kind of the objects that hold a group's streams.
fn kind_of(node: &Node, group: StreamGroup) -> String {
    format!("{}-{group}", node.codec.kinds.streams)
}

/// Applies an entry of the store; returns whether it is the ledger of builds.
pub(in crate::serving) fn apply_ledger(node: &Node, item: &Item) -> bool {
    if item.name != BUILD_LEDGER {
        return false;
    }
    match item.decode::<BuildLedger>() {
        Ok(ledger) => record_ledger(node, ledger, item.revision),
        Err(e) => slog::error!(node.log, "ledger of builds not decoded"; "error" => %e),
    }
    true
}

fn record_ledger(node: &Node, ledger: BuildLedger, revision: StoreRevision) {
    let text = describe(&ledger.services);
    let (era, settled) = (ledger.era, ledger.settled);
    let mut state = node.state();
    if state
        .stream_builds
        .apply_ledger(now(), Some(ledger), revision)
    {
        slog::info!(node.log, "builds at which streams begin"; "builds" => text, "era" => era,
            "settled" => settled, "revision" => %revision);
        drop(state);
        node.placement_wake.notify_waiters();
    }
}

/// Applies the removal of an entry of the store; returns whether it was the ledger of builds.
pub(in crate::serving) fn remove_ledger(node: &Node, item: &Item) -> bool {
    if item.name != BUILD_LEDGER {
        return false;
    }
    let mut state = node.state();
    let applied = state.stream_builds.apply_ledger(now(), None, item.revision);
    drop(state);
    if applied {
        slog::warn!(node.log, "no ledger of builds"; "revision" => %item.revision);
    }
    true
}

fn describe(builds: &Builds) -> String {
    let services = builds.iter().map(|(service, builds)| {
        let builds: Vec<_> = builds.iter().map(BuildName::as_str).collect();
        format!("{}={}", service.as_str(), builds.join("+"))
    });
    services.collect::<Vec<_>>().join(" ")
}

/// Counts the replicas that take requests.
fn usable_replicas(state: &NodeState) -> BuildReplicas {
    let mut counts = BuildReplicas::new();
    for replica in state.fleet.replica_infos().filter(|r| !r.draining) {
        let builds = counts.entry(replica.service.clone()).or_default();
        *builds.entry(replica.build.clone()).or_default() += 1;
    }
    counts
}

/// Returns the longest time that a stream may last which callers may resume.
fn stream_time(state: &NodeState) -> Span {
    let routes = state.active.iter().flat_map(|active| &active.config.routes);
    let resumable = routes.filter(|r| r.kind == RouteKind::Stream && r.resumable);
    let longest = resumable.map(|r| to_span(r.timeout)).max();
    longest.map_or(MAX_STREAM_AGE, |longest| longest.min(MAX_STREAM_AGE))
}

/// Keeps the ledger of builds in the store until the process ends.
pub(in crate::serving) async fn keep_ledger(node: Rc<Node>) {
    loop {
        let woken = tokio::time::timeout(CHECK_INTERVAL, node.ledger_wake.notified());
        woken.await.ok();
        let Some((ledger, stored)) = due_ledger(&node) else {
            continue;
        };
        if !write_ledger(&node, &ledger, stored).await {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Returns the ledger that this VM should write now, and the revision that it replaces.
fn due_ledger(node: &Node) -> Option<(BuildLedger, Option<StoreRevision>)> {
    let at = now();
    let mut state = node.state();
    let state = &mut *state;
    if !state.replicas_listed {
        return None;
    }
    state.observe_builds(at);
    let usable = usable_replicas(state);
    let view = LedgerView {
        notice: to_span(node.settings.drain),
        stream_time: stream_time(state),
        usable: &usable,
    };
    let (ledger, since) = state.stream_builds.ledger_change(at, &view)?;
    let rank = state.members.rank(at, 0);
    let due = at.since(since) >= Span(WRITE_STAGGER.0 * rank);
    due.then(|| (ledger, state.stream_builds.stored_ledger()))
}

/// Writes the ledger; returns whether that was done, by this VM or another.
async fn write_ledger(node: &Node, ledger: &BuildLedger, stored: Option<StoreRevision>) -> bool {
    let Ok(spec) = to_raw_value(ledger) else {
        return false;
    };
    let kind = node.codec.kinds.internal;
    let write = match stored {
        None => (node.store.create)(kind, BUILD_LEDGER, &spec),
        Some(revision) => (node.store.replace)(kind, BUILD_LEDGER, revision, &spec),
    };
    match call(node, CALL_TIMEOUT, write).await {
        Ok(revision) => record_ledger(node, ledger.clone(), revision),
        // Another VM wrote first; the watch delivers its ledger.
        Err(CallError::Failed(PlatformError::Conflict)) => return false,
        Err(e) => {
            slog::warn!(node.log, "could not write the ledger of builds"; "error" => %e);
            return false;
        }
    }
    true
}

/// What the store proves of the build that began a stream.
pub(in crate::serving) enum Proven {
    /// The build.
    Build(BuildName),
    /// It has several builds, and the stream is not certain.
    Several,
    /// It could not be read, or may lack builds.
    Nothing,
}

/// The ledger, or that it could not be read, as of the last time that it was asked for.
#[derive(Debug, Default)]
pub(in crate::serving) struct LedgerRead {
    asked: Option<Moment>,
    found: Option<(BuildLedger, Era)>,
}

/// Reads what the store proves of the build that began a stream, for a caller that resumed it at
/// `asked`. A stream that was not kept by then began at the default build.
pub(in crate::serving) async fn find_build(
    node: &Node,
    asked: Moment,
    stream: Option<StreamId>,
    service: &ServiceName,
) -> Proven {
    let Some((ledger, era)) = share_ledger(node, asked).await else {
        return Proven::Nothing;
    };
    if let Some(sole) = ledger.sole(era, service) {
        return Proven::Build(sole.clone());
    }
    let has_several = ledger.services.get(service).is_some_and(|b| b.len() > 1);
    if !has_several && !ledger.binds(era) {
        return Proven::Nothing;
    }
    let Some(stream) = stream else {
        return Proven::Several;
    };
    if read_groups(node, asked, stream).await.is_none() {
        return Proven::Several;
    }
    let state = node.state();
    let found = match state.stream_builds.kept_builds(stream, service)[..] {
        [] => ledger.default_build(era, service),
        [build] => Some(build),
        _ => None,
    };
    found.map_or(Proven::Several, |build| Proven::Build(build.clone()))
}

/// Returns the ledger as it was at `asked` or later, with the era of the store. Callers that
/// resume at the same time share a read; none follows at once on one that failed.
async fn share_ledger(node: &Node, asked: Moment) -> Option<(BuildLedger, Era)> {
    let mut read = node.ledger_read.lock().await;
    let valid_from = match read.found {
        Some(_) => asked,
        None => Moment(now().0.saturating_sub(FAILED_READ_PAUSE.0)),
    };
    if read.asked.is_none_or(|at| at < valid_from) {
        let at = now();
        let found = read_ledger(node).await;
        let asked = if found.is_some() { at } else { now() };
        *read = LedgerRead {
            asked: Some(asked),
            found,
        };
    }
    read.found.clone()
}

/// Reads the ledger as it is now, with the era of the store.
async fn read_ledger(node: &Node) -> Option<(BuildLedger, Era)> {
    let get = (node.store.get)(node.codec.kinds.internal, BUILD_LEDGER);
    let item = call(node, CALL_TIMEOUT, get).await;
    count_call(node.codec.kinds.internal, item.is_ok());
    match item {
        Ok(item) => {
            apply_ledger(node, &item);
            let ledger = item.decode::<BuildLedger>().ok()?;
            Some((ledger, item.revision.era))
        }
        Err(e) => {
            slog::info!(node.log, "ledger of builds not read"; "error" => %e);
            None
        }
    }
}

/// Reads the streams of a stream's group, unless that was done after `asked`; `None` if they
/// cannot be read. VMs that count the fleet differently may have kept it in a neighbouring group.
async fn read_groups(node: &Node, asked: Moment, stream: StreamId) -> Option<()> {
    let vms = node.state().members.listed_count().unwrap_or(1);
    let group = StreamGroup::of(stream, vms);
    // Callers that resume at the same time share a read.
    let mut reads = node.stream_reads.lock().await;
    if reads.get(&group).is_some_and(|last| *last >= asked) {
        return Some(());
    }
    if let Some(last) = reads.get(&group) {
        tokio::time::sleep_until(to_instant(last.after(READ_INTERVAL))).await;
    }
    let at = now();
    for group in group.neighbours(stream) {
        if let Err(e) = list_group(node, group).await {
            slog::info!(node.log, "streams not read"; "group" => %group, "error" => %e);
            return None;
        }
    }
    reads.insert(group, at);
    Some(())
}

/// Lists the stored streams of a group and learns them; returns the revisions of the objects.
async fn list_group(
    node: &Node,
    group: StreamGroup,
) -> Result<BTreeMap<u32, StoreRevision>, CallError> {
    let kinds = node.codec.kinds;
    let (items, _) = list(node, &kind_of(node, group), kinds.streams).await?;
    let mut stored = BTreeMap::new();
    let mut count = 0;
    for item in &items {
        if let Ok(slot) = item.name.parse() {
            stored.insert(slot, item.revision);
        }
        match item.decode::<StreamBatch>() {
            Ok(batch) => count += learn_batch(node, &batch),
            Err(e) => slog::error!(node.log, "streams not decoded"; "name" => &item.name,
                "error" => %e),
        }
    }
    slog::info!(node.log, "streams read"; "group" => %group, "count" => count);
    Ok(stored)
}

fn learn_batch(node: &Node, batch: &StreamBatch) -> usize {
    let at = now();
    let mut state = node.state();
    let mut count = 0;
    for (stream, service, build) in batch.streams() {
        state.stream_builds.learn_kept(at, stream, service, build);
        count += 1;
    }
    count
}

/// Writes the streams that this VM keeps until the process ends.
pub(in crate::serving) async fn keep_streams(node: Rc<Node>) {
    loop {
        node.streams_wake.notified().await;
        loop {
            let begin = tokio::time::Instant::now();
            let groups: Vec<_> = node.state().kept_streams.keys().copied().collect();
            let mut pause = Span(0);
            for group in groups {
                if write_group(&node, group).await {
                    pause = pause.max(group.interval());
                }
            }
            if pause == Span(0) {
                break;
            }
            tokio::time::sleep_until(begin + Duration::from_micros(pause.0)).await;
        }
    }
}

/// Writes the streams of a group that the store lacks; returns whether there were any.
async fn write_group(node: &Node, group: StreamGroup) -> bool {
    let needs_list = {
        let state = node.state();
        let kept = state.kept_streams.get(&group);
        kept.is_some_and(|kept| kept.needs_list())
    };
    if needs_list {
        match list_group(node, group).await {
            Ok(stored) => {
                if let Some(kept) = node.state().kept_streams.get_mut(&group) {
                    kept.set_stored(stored);
                }
            }
            Err(e) => {
                slog::info!(node.log, "streams not listed"; "group" => %group, "error" => %e);
                give_up(node, group).await;
                return false;
            }
        }
    }
    let write = {
        let mut state = node.state();
        let kept = state.kept_streams.get_mut(&group);
        kept.and_then(|kept| kept.next_write())
    };
    let Some(write) = write else {
        return false;
    };
    match write_batch(node, group, &write).await {
        Ok(revision) => {
            let kept = |kept: &mut KeptGroup| kept.record_written(&write, revision);
            let written = node.state().kept_streams.get_mut(&group).map(kept);
            for (vm, number) in written.unwrap_or_default() {
                tell_kept(node, &vm, number, true).await;
            }
            true
        }
        Err(e) => {
            slog::info!(node.log, "streams not written"; "group" => %group, "error" => %e);
            if let Some(kept) = node.state().kept_streams.get_mut(&group) {
                kept.forget_stored();
            }
            match e {
                // Another VM wrote this object; the next write goes to another one.
                CallError::Failed(PlatformError::Conflict) => return true,
                CallError::Failed(e) if !matches!(e, PlatformError::Lost(_)) => {
                    give_up(node, group).await;
                }
                // It may be carried out later: those who wait must not take it for undone.
                _ => {
                    let mut state = node.state();
                    let kept = state.kept_streams.get_mut(&group);
                    kept.map(KeptGroup::take_unwritten);
                }
            }
            false
        }
    }
}

/// Tells a VM whether a stream is kept that it waits for.
async fn tell_kept(node: &Node, vm: &VmName, number: u64, kept: bool) {
    if *vm == node.settings.vm {
        node.keep_calls.complete(number, kept);
        return;
    }
    let address = node.state().members.address(vm);
    if let Some(address) = address {
        let answer = Body::StreamKept(wire::StreamKept { number, kept });
        node.send_message(answer, address).await;
    }
}

/// Tells those who wait that streams are not kept which were not written.
async fn give_up(node: &Node, group: StreamGroup) {
    let waiters = {
        let mut state = node.state();
        let kept = state.kept_streams.get_mut(&group);
        kept.map(KeptGroup::take_unwritten)
    };
    for (vm, number) in waiters.unwrap_or_default() {
        tell_kept(node, &vm, number, false).await;
    }
}

async fn write_batch(
    node: &Node,
    group: StreamGroup,
    write: &BatchWrite,
) -> Result<StoreRevision, CallError> {
    let spec = to_raw_value(&write.batch);
    let spec = spec.map_err(|e| PlatformError::Malformed(e.to_string()))?;
    let (kind, name) = (kind_of(node, group), write.slot.to_string());
    let pending = match write.revision {
        None => (node.store.create)(&kind, &name, &spec),
        Some(revision) => (node.store.replace)(&kind, &name, revision, &spec),
    };
    let written = call(node, CALL_TIMEOUT, pending).await;
    count_call(node.codec.kinds.streams, written.is_ok());
    written
}

/// Records whether the ledger was among all objects of the fleet, which were listed in an era.
pub(in crate::serving) fn mark_listed(node: &Node, era: Era, items: &[Item]) {
    let found = items.iter().any(|i| i.name == BUILD_LEDGER);
    let mut state = node.state();
    state.stream_builds.mark_listed(era, found);
}
