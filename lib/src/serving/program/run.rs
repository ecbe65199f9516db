//! Starts and stops the serving process.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use serde_json::value::to_raw_value;
use tokio::net::UdpSocket;
use tokio::runtime;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::oneshot;

use crate::platform::PlatformError;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::cluster::topic::Topic;
use crate::serving::decisions::stop_plan::StopPlan;
use crate::serving::path::codec::Codec;
use crate::serving::path::crashes;
use crate::serving::path::prefill;
use crate::serving::path::probes;
use crate::serving::path::server;
use crate::serving::path::server::Peer;
use crate::serving::path::waiting;
use crate::serving::peers::beacons;
use crate::serving::peers::load_reports;
use crate::serving::peers::renewal;
use crate::serving::program::event_loop;
use crate::serving::program::experiment::Experiment;
use crate::serving::program::node::Node;
use crate::serving::program::node::Phase;
use crate::serving::program::node::now;
use crate::serving::program::node::to_instant;
use crate::serving::program::node::to_span;
use crate::serving::program::orders;
use crate::serving::program::settings::ServeSettings;
use crate::serving::store::apply::OWNER_TABLE;
use crate::serving::store::apply::StoreUpdate;
use crate::serving::store::apply::VM_PREFIX;
use crate::serving::store::apply::VmEntry;
use crate::serving::store::apply::apply_cluster;
use crate::serving::store::blocks::keep_blocks;
use crate::serving::store::call::CALL_TIMEOUT;
use crate::serving::store::call::CallError;
use crate::serving::store::call::call;
use crate::serving::store::follow;
use crate::serving::store::follow::follow;
use crate::serving::store::port::Store;
use crate::serving::store::streams::keep_ledger;
use crate::serving::store::streams::keep_streams;

/// Interval of the maintenance task, and pause before a failed write or read is retried.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(300);

/// Time after its start from which a VM proposes owners: VMs that start together know each
/// other by then.
const PROPOSE_DELAY: Span = Span::from_millis(2_000);

/// Time without a beacon from a VM after which the first live VM deletes its entry from the
/// store.
const VM_EXPIRY: Span = Span::from_millis(30_000);

/// Time for the last answers to reach callers, and to remove this VM's entry.
const END_TIME: Duration = Duration::from_millis(200);

/// Interval at which a stopping process checks whether all requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Error that prevents the process from running.
#[derive(Debug)]
pub enum ServeError {
    /// An address could not be bound.
    Listen(SocketAddr, std::io::Error),
    /// Signal handlers could not be installed.
    Signals(std::io::Error),
}

impl fmt::Display for ServeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, e) => write!(f, "cannot listen on {address}: {e}"),
            Self::Signals(e) => write!(f, "cannot install signal handlers: {e}"),
        }
    }
}

impl std::error::Error for ServeError {}

/// A running server, all of whose tasks are on the current thread.
pub struct Server {
    node: Rc<Node>,
}

impl Server {
    /// Binds the addresses and spawns all tasks; must be called within a `LocalSet`.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound.
    pub async fn start(
        settings: ServeSettings,
        codec: Codec,
        store: Store,
        log: slog::Logger,
    ) -> Result<Self, ServeError> {
        let at = |address: SocketAddr| move |e| ServeError::Listen(address, e);
        let callers =
            server::listen(settings.caller_address).map_err(at(settings.caller_address))?;
        let readiness =
            server::listen(settings.readiness_address).map_err(at(settings.readiness_address))?;
        let peers = server::listen(settings.peer_address).map_err(at(settings.peer_address))?;
        let socket = UdpSocket::bind(settings.peer_address).await;
        let socket = socket.map_err(at(settings.peer_address))?;
        slog::info!(log, "started"; "zone" => settings.zone.as_str(),
            "callers" => %settings.caller_address,
            "version" => env!("CARGO_PKG_VERSION"));
        if settings.experiment != Experiment::default() {
            slog::warn!(log, "mechanisms are switched off by the experiment table";
                "off" => ?settings.experiment.off);
        }
        let node = Rc::new(Node::new(settings, codec, store, log, socket));
        spawn_followers(&node);
        for (listener, peer) in [(callers, Peer::Caller), (peers, Peer::Vm)] {
            tokio::task::spawn_local(server::serve_connections(node.clone(), listener, peer));
        }
        tokio::task::spawn_local(event_loop::watch(node.clone()));
        tokio::task::spawn_local(probes::watch_replicas(node.clone()));
        tokio::task::spawn_local(server::serve_readiness(node.clone(), readiness));
        tokio::task::spawn_local(beacons::send_beacons(node.clone()));
        tokio::task::spawn_local(load_reports::send_reports(node.clone()));
        tokio::task::spawn_local(beacons::receive(node.clone()));
        tokio::task::spawn_local(prefill::grant_turns(node.clone()));
        tokio::task::spawn_local(waiting::try_queued(node.clone()));
        tokio::task::spawn_local(orders::issue_orders(node.clone()));
        tokio::task::spawn_local(crashes::judge_crashes(node.clone()));
        tokio::task::spawn_local(keep_blocks(node.clone()));
        tokio::task::spawn_local(keep_ledger(node.clone()));
        tokio::task::spawn_local(keep_streams(node.clone()));
        tokio::task::spawn_local(register(node.clone()));
        tokio::task::spawn_local(reload_owners(node.clone()));
        tokio::task::spawn_local(renewal::renew(node.clone()));
        tokio::task::spawn_local(maintain(node.clone()));
        Ok(Self { node })
    }

    /// Reports that it is not ready, drains the requests in flight, and returns within the
    /// grace period of the settings. A request is over when its response has been written to
    /// the connection, which a caller that reads slowly holds up. What cannot end within the
    /// grace period is refused before it is sent to a replica; what is open at its end is answered
    /// with what is known of it.
    pub async fn stop(&self) {
        self.stop_since(now()).await;
    }

    /// Does so in a grace period that began at `begun`, when the process was told to stop.
    async fn stop_since(&self, begun: Moment) {
        let node = &self.node;
        slog::info!(node.log, "stopping"; "open" => node.in_flight(),
            "late_ms" => now().since(begun).as_millis());
        let plan = StopPlan::new(begun, to_span(node.settings.grace));
        node.stop_plan.set(Some(plan));
        node.phase.send_replace(Phase::Unready);
        node.beacon_wake.notify_one();
        tokio::time::sleep_until(to_instant(plan.drain)).await;
        node.phase.send_replace(Phase::Draining);
        // Gives idle connections time to close.
        tokio::time::sleep(DRAIN_POLL).await;
        until_idle(node, plan.end).await;
        slog::info!(node.log, "ending"; "open" => node.in_flight(),
            "connections" => node.connections(), "late_ms" => now().since(plan.end).as_millis());
        node.phase.send_replace(Phase::Ending);
        let ended = now().after(to_span(END_TIME));
        tokio::join!(until_idle(node, ended), unregister(node));
        slog::info!(node.log, "stopped"; "open" => node.in_flight(),
            "connections" => node.connections(), "took_ms" => now().since(begun).as_millis());
    }
}

/// Waits until no request is in flight and no connection is open, or until `end`.
async fn until_idle(node: &Node, end: Moment) {
    while (node.in_flight() > 0 || node.connections() > 0) && now() < end {
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

/// Removes this VM's entry from the store.
async fn unregister(node: &Node) {
    let name = vm_entry_name(node);
    let remove = (node.store.delete)(node.codec.kinds.internal, &name);
    if let Err(e) = call(node, END_TIME, remove).await {
        slog::info!(node.log, "could not remove this VM's entry"; "error" => %e);
    }
}

/// Waits for SIGTERM or SIGINT in a thread of its own, as the thread that serves may be busy.
/// The receiver gets the time of the first one.
fn watch_signals() -> std::io::Result<oneshot::Receiver<Moment>> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (mut terminate, mut interrupt) = {
        let _entered = runtime.enter();
        (
            signal(SignalKind::terminate())?,
            signal(SignalKind::interrupt())?,
        )
    };
    let (sender, receiver) = oneshot::channel();
    let watch = async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        // The server may have ended.
        sender.send(now()).ok();
    };
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || runtime.block_on(watch))?;
    Ok(receiver)
}

/// Runs the server until SIGTERM or SIGINT; a SIGINT during the shutdown ends it at once.
/// SIGHUP calls `reload`.
///
/// # Errors
///
/// If an address cannot be bound or a signal handler cannot be installed.
pub async fn run(
    settings: ServeSettings,
    codec: Codec,
    store: Store,
    log: slog::Logger,
    reload: impl Fn() -> Result<ServeSettings, String>,
) -> Result<(), ServeError> {
    let install = |kind| signal(kind).map_err(ServeError::Signals);
    let mut told = watch_signals().map_err(ServeError::Signals)?;
    let mut hangup = install(SignalKind::hangup())?;
    let old = settings.clone();
    let log = log.new(slog::o!("vm" => settings.vm.to_string()));
    let server = Server::start(settings, codec, store, log.clone()).await?;
    let begun = loop {
        tokio::select! {
            // Without its sender, the thread is gone.
            begun = &mut told => break begun.unwrap_or_else(|_| now()),
            _ = hangup.recv() => log_reload(&log, &old, reload()),
        }
    };
    // Only an interrupt after the first signal counts.
    let mut interrupt = install(SignalKind::interrupt())?;
    tokio::select! {
        () = server.stop_since(begun) => {}
        _ = interrupt.recv() => slog::warn!(log, "stopped by a second interrupt without draining"),
    }
    Ok(())
}

/// Logs the result of reading the settings again. Addresses and names only change with a
/// restart, so the log says whether the caller address and the VM are the same.
fn log_reload(log: &slog::Logger, old: &ServeSettings, new: Result<ServeSettings, String>) {
    match new {
        Ok(new) => {
            let same = new.caller_address == old.caller_address && new.vm == old.vm;
            slog::info!(log, "settings read again"; "addresses_kept" => same);
        }
        Err(e) => slog::warn!(log, "could not read the settings again"; "error" => e),
    }
}

/// Spawns a task for each topic that follows the store.
fn spawn_followers(node: &Rc<Node>) {
    for topic in Topic::ALL {
        tokio::task::spawn_local(follow(node.clone(), topic));
    }
}

/// Returns the name of this VM's entry in the store.
fn vm_entry_name(node: &Node) -> String {
    format!("{VM_PREFIX}{}", node.settings.vm)
}

/// Keeps this VM's entry in the store: writes it at the start and whenever the store came
/// back from an earlier copy, which may lack it.
async fn register(node: Rc<Node>) {
    let entry = VmEntry {
        vm: node.settings.vm.clone(),
        address: node.settings.peer_address,
        zone: Some(node.settings.zone.clone()),
    };
    let Ok(spec) = to_raw_value(&entry) else {
        return;
    };
    let name = vm_entry_name(&node);
    let mut is_starting = true;
    loop {
        let create = (node.store.create)(node.codec.kinds.internal, &name, &spec);
        match call(&node, CALL_TIMEOUT, create).await {
            Ok(revision) => {
                slog::info!(node.log, "VM entry written"; "revision" => %revision);
                if std::mem::take(&mut is_starting) {
                    node.state().retry_budget(now()).mark_first_start();
                }
                node.register_wake.notified().await;
            }
            // An earlier start of this VM wrote the entry, or the copy has it.
            Err(CallError::Failed(PlatformError::Conflict)) => {
                is_starting = false;
                node.register_wake.notified().await;
            }
            Err(e) => {
                slog::warn!(node.log, "could not write this VM's entry"; "error" => %e);
                tokio::time::sleep(MAINTENANCE_INTERVAL).await;
            }
        }
    }
}

/// Reloads the owner table when it is woken, such as after a suspension.
async fn reload_owners(node: Rc<Node>) {
    loop {
        node.owners_wake.notified().await;
        loop {
            let asked_at = now();
            match follow::list(&node, node.codec.kinds.internal, node.codec.kinds.internal).await {
                Ok((items, revision)) => {
                    apply_cluster(&node, &StoreUpdate::List(&items));
                    node.state().ownership.confirm(asked_at, revision.era);
                    break;
                }
                Err(e) => slog::warn!(node.log, "could not read the owner table"; "error" => %e),
            }
            tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        }
    }
}

/// Runs the maintenance task until the process ends: drops replicas whose entries expired in
/// a store outage, renews the limits to lend, and maintains the owner table.
async fn maintain(node: Rc<Node>) {
    let start = now();
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        follow::drop_expired(&node);
        node.state().update_lender(now());
        if now().since(start) >= PROPOSE_DELAY && node.phase() == Phase::Serving {
            repair_owners(&node).await;
        }
    }
}

/// Writes a new owner table if this VM should propose one now, and then deletes the entries
/// of VMs without a beacon for `VM_EXPIRY`.
async fn repair_owners(node: &Node) {
    let at = now();
    let (table, stored, live) = {
        let mut state = node.state();
        let state = &mut *state;
        if !state.is_ready(at) || !state.members.can_detect_failures(at) {
            return;
        }
        let live = state.members.live_vms(at);
        let usable = state
            .fleet
            .replica_infos()
            .filter(|l| !l.draining && state.fleet.is_configured(l));
        let replicas = usable.map(|l| l.name.clone()).collect();
        let unfit = state.unfit_owners(at, node.settings.fencing);
        state.ownership.set_unfit(unfit);
        let Some(table) = state.ownership.proposal(at, &live, &replicas) else {
            return;
        };
        state.ownership.record_proposal(at);
        (table, state.ownership.stored(), live.len())
    };
    let Ok(spec) = to_raw_value(&table) else {
        return;
    };
    let kind = node.codec.kinds.internal;
    let asked_at = now();
    let write = match stored {
        None => (node.store.create)(kind, OWNER_TABLE, &spec),
        Some(revision) => (node.store.replace)(kind, OWNER_TABLE, revision, &spec),
    };
    match call(node, CALL_TIMEOUT, write).await {
        // The revision that it replaced had been given out again.
        Ok(revision) if stored.is_some_and(|s| s.era != revision.era) => {
            let was = stored.map(|s| s.to_string());
            slog::warn!(node.log, "owner table written over one of another store era";
                "revision" => %revision, "expected" => was);
        }
        Ok(revision) => {
            let term = table.term.0;
            let mut state = node.state();
            let moved = table.count_moved(&state.ownership.table);
            state.apply_owner_table(now(), table, revision);
            state.ownership.confirm(asked_at, revision.era);
            drop(state);
            slog::info!(node.log, "owner table changed"; "term" => term, "revision" => %revision,
                "moved" => moved, "live" => live);
            node.orders_wake.notify_one();
        }
        // Another VM wrote first; the watch delivers its table.
        Err(CallError::Failed(PlatformError::Conflict)) => {}
        Err(e) => slog::warn!(node.log, "could not write the owner table"; "error" => %e),
    }
    let expired = {
        let state = node.state();
        let first = state.members.live_vms(at).first() == Some(&node.settings.vm);
        match first {
            true => state.members.silent_for(at, VM_EXPIRY),
            false => Vec::new(),
        }
    };
    for vm in expired {
        let delete = (node.store.delete)(kind, &format!("{VM_PREFIX}{vm}"));
        if let Err(e) = call(node, CALL_TIMEOUT, delete).await {
            slog::info!(node.log, "could not remove the entry of an expired VM";
                "vm" => vm.as_str(), "error" => %e);
        }
    }
}
