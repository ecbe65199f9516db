//! Reports the load that each VM puts on replicas. Owners add up the reports
//! and send the totals to all VMs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use banyangauge_proto as wire;
use prost::Message;
use wire::datagram::Body;

use crate::ids::Incarnation;
use crate::ids::ReplicaName;
use crate::ids::VmName;
use crate::pool::Moment;
use crate::serving::cluster::state::LocalUse;
use crate::serving::cluster::state::NodeState;
use crate::serving::decisions::fleet::Load;
use crate::serving::decisions::fleet::PrefillSpeed;
use crate::serving::path::types::Target;
use crate::serving::peers::beacons::current_replica;
use crate::serving::program::experiment::Mechanism;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;

/// The interval between reports to owners: a few engine steps, so that requests
/// sent together are reported together.
const REPORT_INTERVAL: Duration = Duration::from_millis(60);

/// Reports changes of this VM's load to the owners of replicas until the
/// process ends. The totals that an owner sends are then only as old as its own
/// beacon interval, and other VMs do not add to a burst from one VM.
pub(in crate::serving) async fn send_reports(node: Rc<Node>) {
    if !node.settings.experiment.is_enabled(Mechanism::EarlyReports) {
        return;
    }
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let mut datagrams = Vec::new();
        {
            let mut state = node.state();
            let state = &mut *state;
            let names: BTreeSet<_> = state.fleet.unreported().cloned().collect();
            for (vm, flights) in flights_by_owner(&node, state, now(), names) {
                if let Some(address) = state.members.address(&vm) {
                    datagrams.push((encode_report(&node, flights, false), address));
                }
            }
        }
        for (bytes, address) in datagrams {
            node.send(&bytes, address).await;
        }
    }
}

/// Encodes a report to one owner.
fn encode_report(node: &Node, flights: Vec<wire::Flight>, complete: bool) -> Vec<u8> {
    let report = wire::FlightReport {
        vm: node.settings.vm.to_string(),
        incarnation: node.incarnation.0,
        number: node.next_id(),
        flights,
        complete,
    };
    let datagram = wire::Datagram {
        body: Some(Body::Report(report)),
    };
    datagram.encode_to_vec()
}

/// Builds the complete reports of this VM, one for each owner concerned. An
/// owner drops the counts that a complete report leaves out.
pub(in crate::serving) fn full_reports(
    node: &Node,
    state: &mut NodeState,
    now: Moment,
) -> Vec<(Vec<u8>, SocketAddr)> {
    let names = state.local_uses.keys().chain(state.fleet.reportable());
    let names = names.cloned().collect();
    let flights = flights_by_owner(node, state, now, names);
    let reports = flights.into_iter().filter_map(|(vm, flights)| {
        let address = state.members.address(&vm)?;
        Some((encode_report(node, flights, true), address))
    });
    reports.collect()
}

/// Returns this VM's load on the named replicas by owner.
pub(in crate::serving) fn flights_by_owner(
    node: &Node,
    state: &mut NodeState,
    now: Moment,
    names: BTreeSet<ReplicaName>,
) -> BTreeMap<VmName, Vec<wire::Flight>> {
    let own = &node.settings.vm;
    let mut flights: BTreeMap<VmName, Vec<wire::Flight>> = BTreeMap::new();
    for name in names {
        let Some(owner) = state.ownership.owner(&name).cloned() else {
            continue;
        };
        let uses = state.take_uses(&name);
        let load = state.fleet.take_report(&name);
        let observed = state.fleet.take_observed_speed(&name);
        if owner == *own {
            if let Some(observed) = observed {
                state.fleet.observe_speed(now, &name, observed);
            }
            for (target, u) in uses {
                state
                    .planner
                    .record_use(now, &name, own, &target, u.running, u.started);
            }
            continue;
        }
        flights.entry(owner).or_default().push(wire::Flight {
            replica: name.to_string(),
            requests: load.requests,
            tokens: load.tokens,
            unread: load.prefill,
            uses: encode_uses(&uses),
            born: state.fleet.started_ms(&name).unwrap_or_default(),
            prefill_rate: observed.map_or(0, PrefillSpeed::to_wire),
        });
    }
    flights
}

/// Returns the load of all VMs on a replica that this VM owns.
pub(in crate::serving) fn total_load(
    state: &NodeState,
    now: Moment,
    name: &ReplicaName,
) -> Option<wire::ReplicaLoad> {
    let load = state.fleet.total_load(now, name)?;
    encode_load(state, now, name, load)
}

/// Encodes the load on a replica for other VMs.
pub(in crate::serving) fn encode_load(
    state: &NodeState,
    now: Moment,
    name: &ReplicaName,
    load: Load,
) -> Option<wire::ReplicaLoad> {
    Some(wire::ReplicaLoad {
        replica: name.to_string(),
        requests: load.requests,
        tokens: load.tokens,
        unread: load.prefill,
        born: state.fleet.started_ms(name)?,
        prefill_rate: state.fleet.prefill_speed(now, name).to_wire(),
    })
}

/// Encodes a replica's adapter uses by this VM for the replica's owner.
fn encode_uses(uses: &BTreeMap<Target, LocalUse>) -> Vec<wire::AdapterUse> {
    let uses = uses.iter().map(|(t, u)| wire::AdapterUse {
        target: t.to_string(),
        running: u.running,
        begun: u.started,
    });
    uses.collect()
}

/// Applies the total load of a replica sent by `vm` if that is its owner.
pub(in crate::serving) fn handle_load(
    state: &mut NodeState,
    now: Moment,
    vm: &VmName,
    load: &wire::ReplicaLoad,
) {
    let name = load.replica.parse::<ReplicaName>();
    if name.is_ok_and(|name| state.ownership.owner(&name) == Some(vm)) {
        apply_total(state, now, load);
    }
}

/// Applies the total load of a replica.
pub(in crate::serving) fn apply_total(
    state: &mut NodeState,
    now: Moment,
    load: &wire::ReplicaLoad,
) {
    if let Some(name) = current_replica(state, &load.replica, load.born) {
        let total = Load {
            requests: load.requests,
            tokens: load.tokens,
            prefill: load.unread,
        };
        state.fleet.apply_owner_load(now, &name, total);
        if let Some(speed) = PrefillSpeed::from_wire(load.prefill_rate) {
            state.fleet.apply_owner_speed(now, &name, speed);
        }
    }
}

/// Handles a report from a VM on its load on our replicas.
pub(in crate::serving) fn handle_report(node: &Node, report: &wire::FlightReport) {
    let Ok(vm) = report.vm.parse::<VmName>() else {
        return;
    };
    let now = now();
    let mut state = node.state();
    let stamp = (Incarnation(report.incarnation), report.number);
    if state.last_reports.get(&vm).is_some_and(|old| *old >= stamp) {
        return;
    }
    state.last_reports.insert(vm.clone(), stamp);
    if report.complete {
        apply_counts(&mut state, now, &vm, &report.flights);
        return;
    }
    for (name, load) in apply_flights(&mut state, now, &vm, &report.flights) {
        state.fleet.apply_peer_load(now, &vm, &name, load);
    }
}

/// Applies the complete load of a VM on our replicas.
pub(in crate::serving) fn apply_counts(
    state: &mut NodeState,
    now: Moment,
    vm: &VmName,
    flights: &[wire::Flight],
) {
    let counts = apply_flights(state, now, vm, flights);
    state.fleet.apply_peer_loads(now, vm, &counts);
}

/// Records the adapter uses in the adapter planner and returns the VM's load on
/// each of our replicas.
fn apply_flights(
    state: &mut NodeState,
    now: Moment,
    vm: &VmName,
    flights: &[wire::Flight],
) -> BTreeMap<ReplicaName, Load> {
    let mut counts = BTreeMap::new();
    for flight in flights {
        let Some(name) = current_replica(state, &flight.replica, flight.born) else {
            continue;
        };
        for u in &flight.uses {
            if let Some(target) = Target::parse(&u.target) {
                state
                    .planner
                    .record_use(now, &name, vm, &target, u.running, u.begun);
            }
        }
        if let Some(observed) = PrefillSpeed::from_wire(flight.prefill_rate) {
            state.fleet.observe_speed(now, &name, observed);
        }
        let load = Load {
            requests: flight.requests,
            tokens: flight.tokens,
            prefill: flight.unread,
        };
        counts.insert(name, load);
    }
    counts
}
