//! Sends and receives the datagrams between VMs;
//! [`crate::serving::peers::load_reports`] has the reports of load in them.

use std::collections::VecDeque;
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
use crate::pool::Span;
use crate::serving::cluster::members::BeaconStamp;
use crate::serving::cluster::sharing::UpdateBudget;
use crate::serving::cluster::state::NodeState;
use crate::serving::decisions::adapter_planner::LoadNeed;
use crate::serving::decisions::fleet::Residency;
use crate::serving::path::charge;
use crate::serving::path::limit;
use crate::serving::path::owner_check;
use crate::serving::path::prefill;
use crate::serving::path::types::Instance;
use crate::serving::path::types::Rank;
use crate::serving::path::types::Target;
use crate::serving::peers::crash_reports;
use crate::serving::peers::load_reports;
use crate::serving::peers::pacer::Pacer;
use crate::serving::peers::relay;
use crate::serving::peers::renewal;
use crate::serving::peers::stream_origins;
use crate::serving::peers::updates;
use crate::serving::program::experiment::Mechanism;
use crate::serving::program::node::Node;
use crate::serving::program::node::Phase;
use crate::serving::program::node::now;
use crate::serving::program::node::to_instant;
use crate::serving::store::call;
use crate::serving::store::port::Era;

/// The minimum interval between two beacons that carry changes.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(30);

/// The number of intervals after which beacons are sent in the same order again.
const SEND_TURNS: usize = 3;

/// How long it is repeated in beacons that a replica stated to leave.
const LEAVING_REPORT_TTL: Span = Span::from_millis(5_000);

/// How much later than due a beacon is when the process is said to have stood still.
const MIN_STANDSTILL: Span = Span::from_millis(500);

/// The largest datagram accepted.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Sends beacons until the process ends. They carry the state of the replicas
/// that this VM owns to all VMs, and its load on other replicas to their owners.
pub(in crate::serving) async fn send_beacons(node: Rc<Node>) {
    let mut number = 0;
    let mut phase = node.phase();
    let mut due = now();
    for round in 0.. {
        number += 1;
        let late = now().since(due);
        if late >= MIN_STANDSTILL {
            slog::warn!(node.log, "process stood still"; "for_ms" => late.as_millis());
        }
        let (mut beacons, interval) = {
            let mut state = node.state();
            let interval = state.members.beacon_interval();
            (full_beacons(&node, &mut state, number, round), interval)
        };
        let bytes = beacons.datagrams.iter().map(|(bytes, _)| bytes.len()).sum();
        metrics::counter!("serve_beacon_bytes_total").increment(bytes as u64);
        let link_rate = node.settings.link_rate.filter(|_| beacons.paced);
        let mut pacer = Pacer::new(now(), interval, link_rate, bytes);
        let next = tokio::time::Instant::now() + Duration::from_micros(interval.0);
        due = now().after(interval);
        limit::send_reports(&node).await;
        stream_origins::tell_untold(&node).await;
        loop {
            while let Some((mut bytes, address)) =
                beacons.datagrams.pop_front_if(|_| pacer.is_due(now()))
            {
                if beacons.paced {
                    // Beacons with changes may have been sent since this one was built, and
                    // receivers ignore a beacon whose number is lower.
                    number += 1;
                    bytes.extend(encode(wire::Beacon {
                        number,
                        ..wire::Beacon::default()
                    }));
                }
                pacer.record(bytes.len());
                node.send(&bytes, address).await;
            }
            let wake_at = match beacons.datagrams.is_empty() {
                true => next,
                false => to_instant(pacer.due()).min(next),
            };
            match tokio::time::timeout_at(wake_at, node.beacon_wake.notified()).await {
                Ok(()) => {
                    let stopping = std::mem::replace(&mut phase, node.phase()) != node.phase();
                    send_updates(&node, &mut number, stopping).await;
                    tokio::time::sleep(MIN_UPDATE_INTERVAL).await;
                }
                Err(_) if wake_at >= next => break,
                Err(_) => {}
            }
        }
    }
}

/// Sends the adapters loaded or loading at changed replicas to the subscribed
/// VMs. Sends to all VMs which replicas are leaving, which limits this VM lends if
/// they changed, and that this VM stops if `stopping` is set. Sends to the lenders of
/// limits what replicas stated.
async fn send_updates(node: &Node, number: &mut u64, stopping: bool) {
    let mut datagrams = Vec::new();
    {
        let mut state = node.state();
        let state = &mut *state;
        let now = now();
        for name in state.planner.take_changed() {
            state.subscriptions.record_change(now, &name);
            // Also apply it here.
            if let Some(residency) = state.planner.report(now, &name) {
                state.fleet.apply_residency(now, &name, residency);
            }
        }
        for (vm, names) in state.subscriptions.take_pending() {
            if let Some(address) = state.members.address(&vm) {
                *number += 1;
                let mut beacon = new_beacon(node, state, *number);
                beacon.books = names
                    .iter()
                    .filter_map(|n| encode_residency(state, now, n))
                    .collect();
                datagrams.push((beacon, vec![address]));
            }
        }
        let leaving = std::mem::take(&mut state.leaving);
        let limits_changed = std::mem::take(&mut state.limits_changed);
        if !leaving.is_empty() || limits_changed || stopping {
            *number += 1;
            let mut beacon = new_beacon(node, state, *number);
            let leaving = leaving.iter().map(|r| encode_leaving(state, r));
            beacon.leaving = leaving.collect();
            beacon.limits = limit::announce_limits(node, state, now);
            datagrams.push((beacon, state.members.peers().map(|(_, at)| at).collect()));
        }
    }
    for (beacon, addresses) in datagrams {
        send_all(node, beacon, &addresses).await;
    }
    limit::send_reports(node).await;
}

async fn send_all(node: &Node, beacon: wire::Beacon, addresses: &[SocketAddr]) {
    let bytes = encode(beacon);
    for address in addresses {
        node.send(&bytes, *address).await;
    }
}

/// Creates a beacon with the fields that every beacon has.
fn new_beacon(node: &Node, state: &NodeState, number: u64) -> wire::Beacon {
    let now = now();
    wire::Beacon {
        vm: node.settings.vm.to_string(),
        incarnation: node.incarnation.0,
        number,
        stopping: node.phase() != Phase::Serving,
        sent_us: now.0,
        lends: state.members.lends(now),
        zone: node.settings.zone.to_string(),
        era: state.store_era().0,
        config: state.active.as_ref().map_or(0, |a| a.config.version),
        address: node.settings.peer_address.to_string(),
        unreachable: state
            .reachability
            .unreachable()
            .map(|(service, _)| service.to_string())
            .collect(),
        relays: node.phase() == Phase::Serving,
        ..wire::Beacon::default()
    }
}

/// Builds the part of a beacon that is the same for all VMs.
///
/// The beacon includes the adapters of all our replicas, so this also clears the
/// planner's list of changed replicas and applies their adapters to the local
/// view of the fleet.
fn common_beacon(node: &Node, state: &mut NodeState, now: Moment, number: u64) -> wire::Beacon {
    let names: Vec<_> = state.planner.replicas().cloned().collect();
    state.planner.take_changed();
    let mut beacon = new_beacon(node, state, number);
    beacon.owners = state.ownership.revision.number;
    beacon.owners_era = state.ownership.revision.era.0;
    beacon.turns_ms = state.stall_detector.remaining(now).as_millis();
    beacon.books = names
        .iter()
        .filter_map(|n| encode_residency(state, now, n))
        .collect();
    for name in &names {
        if let Some(residency) = state.planner.report(now, name) {
            state.fleet.apply_residency(now, name, residency);
        }
    }
    let owned = state.ownership.owned();
    beacon.loads = owned
        .filter_map(|n| load_reports::total_load(state, now, n))
        .collect();
    beacon.limits = limit::announce_limits(node, state, now);
    state
        .stated_leaving
        .retain(|_, at| now.since(*at) < LEAVING_REPORT_TTL);
    let leaving = state.stated_leaving.keys();
    beacon.leaving = leaving.map(|r| encode_leaving(state, r)).collect();
    beacon.known = updates::known_revisions(state);
    beacon.crashes = crash_reports::encode_report(state, now);
    beacon
}

/// The datagrams of one beacon interval.
struct FullBeacons {
    datagrams: VecDeque<(Vec<u8>, SocketAddr)>,
    /// Whether they are spread over the interval: there is one for each VM of the fleet.
    paced: bool,
}

/// Builds the datagrams for one beacon interval.
fn full_beacons(node: &Node, state: &mut NodeState, number: u64, round: usize) -> FullBeacons {
    let now = now();
    state.observe_builds(now);
    let mut beacon = common_beacon(node, state, now, number);
    if state.members.uses_relays() {
        beacon.store = updates::outgoing_updates(node, state, now);
        let mut datagrams = relay::relay_datagrams(state, now, beacon);
        datagrams.extend(load_reports::full_reports(node, state, now));
        return FullBeacons {
            datagrams: datagrams.into(),
            paced: false,
        };
    }
    beacon.complete = true;
    let peers = state.members.peers();
    let mut peers: Vec<_> = peers.map(|(vm, at)| (vm.clone(), at)).collect();
    // If the link loses the last datagrams, these are other VMs' each time.
    let first = round % SEND_TURNS * peers.len().div_ceil(SEND_TURNS);
    let first = first.min(peers.len());
    peers.rotate_left(first);
    let names = state.local_uses.keys().chain(state.fleet.reportable());
    let names = names.cloned().collect();
    let mut flights = load_reports::flights_by_owner(node, state, now, names);
    let vms: Vec<_> = peers.iter().map(|(vm, _)| vm).collect();
    let interval = state.members.beacon_interval();
    let budget = UpdateBudget::new(node.settings.link_rate, interval);
    let mut messages = updates::peer_updates(node, state, now, &vms, budget);
    updates::add_own_witnesses(node, state, now, &vms, &mut messages);
    // The common part is encoded once. Protobuf messages are merged when
    // concatenated, so each receiver's own part follows it.
    let common = encode(beacon);
    let mut datagrams = VecDeque::new();
    for ((vm, address), store) in peers.iter().zip(messages) {
        let mut bytes = common.clone();
        bytes.extend(encode(wire::Beacon {
            flights: flights.remove(vm).unwrap_or_default(),
            echo: renewal::echo_for(node, state, vm),
            store,
            ..wire::Beacon::default()
        }));
        datagrams.push_back((bytes, *address));
    }
    FullBeacons {
        datagrams,
        paced: true,
    }
}

pub(in crate::serving) fn encode(beacon: wire::Beacon) -> Vec<u8> {
    let datagram = wire::Datagram {
        body: Some(Body::Beacon(Box::new(beacon))),
    };
    datagram.encode_to_vec()
}

/// Encodes which adapters are loaded or loading at a replica that this VM owns;
/// `None` if it may not give orders there now.
fn encode_residency(
    state: &NodeState,
    now: Moment,
    name: &ReplicaName,
) -> Option<wire::ReplicaBook> {
    let residency = state.planner.report(now, name)?;
    let token = state.ownership.token(now, name)?;
    let loaded = residency.loaded.iter().map(|(t, v)| (t, *v, false));
    let loading = residency.loading.iter().map(|t| (t, 0, true));
    let slots = loaded
        .chain(loading)
        .map(|(t, version, coming)| wire::AdapterSlot {
            target: t.to_string(),
            version,
            coming,
            hot: residency.hot.contains(t),
        });
    Some(wire::ReplicaBook {
        replica: name.to_string(),
        token: token.0,
        slots: slots.collect(),
        born: state.planner.started_ms(name)?,
        vacant: residency.vacant,
    })
}

/// Receives datagrams until the process ends.
pub(in crate::serving) async fn receive(node: Rc<Node>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match node.socket.recv_from(&mut buffer).await {
            Ok(read) => read,
            Err(e) => {
                slog::debug!(node.log, "datagram not received"; "error" => %e);
                tokio::time::sleep(MIN_UPDATE_INTERVAL).await;
                continue;
            }
        };
        let datagram = wire::Datagram::decode(&buffer[..length]);
        match datagram.map(|d| d.body) {
            Ok(Some(Body::Beacon(beacon))) => handle_beacon(&node, *beacon, from),
            Ok(Some(Body::Bundle(bundle))) => {
                let beacons = bundle.beacons.into_iter();
                beacons.for_each(|beacon| handle_beacon(&node, beacon, from));
            }
            Ok(Some(Body::Wish(wish))) => handle_load_request(&node, &wish),
            Ok(Some(Body::Report(report))) => load_reports::handle_report(&node, &report),
            Ok(Some(Body::PlaceAsk(ask))) => owner_check::handle_place_ask(&node, &ask).await,
            Ok(Some(Body::PlaceAnswer(answer))) => node.place_calls.complete(answer.number, answer),
            Ok(Some(Body::LeaseAsk(ask))) => charge::handle_lease_ask(&node, &ask).await,
            Ok(Some(Body::LeaseAnswer(answer))) => node.lease_calls.complete(answer.number, answer),
            Ok(Some(Body::LimitAsk(ask))) => limit::handle_limit_ask(&node, &ask).await,
            Ok(Some(Body::LimitAnswer(answer))) => node.limit_calls.complete(answer.number, answer),
            Ok(Some(Body::StreamNote(note))) => stream_origins::handle_note(&node, &note),
            Ok(Some(Body::StreamKept(kept))) => node.keep_calls.complete(kept.number, kept.kept),
            Ok(Some(Body::StreamAsk(ask))) => stream_origins::handle_ask(&node, &ask).await,
            Ok(Some(Body::StreamAnswer(answer))) => {
                node.build_calls.complete(answer.number, answer);
            }
            Ok(Some(Body::TurnAsk(ask))) => prefill::handle_turn_ask(&node, &ask),
            Ok(Some(Body::TurnGrant(grant))) => node.turn_calls.complete(grant.number, ()),
            Ok(Some(Body::TurnEnd(end))) => prefill::handle_turn_end(&node, &end),
            Ok(None) | Err(_) => {
                slog::debug!(node.log, "unknown datagram ignored"; "from" => %from)
            }
        }
    }
}

/// Applies a beacon, unless a newer one of its sender was received.
fn handle_beacon(node: &Node, beacon: wire::Beacon, from: SocketAddr) {
    let Ok(vm) = beacon.vm.parse::<VmName>() else {
        return;
    };
    let now = now();
    call::observe_era(node, Era(beacon.era), Some(vm.as_str()));
    let mut state = node.state();
    let timeout = state.members.failure_timeout();
    state.fleet.set_report_ttl(timeout);
    let stamp = BeaconStamp {
        incarnation: Incarnation(beacon.incarnation),
        number: beacon.number,
        sent: Moment(beacon.sent_us),
    };
    if !state
        .members
        .record_beacon(now, &vm, stamp, beacon.stopping)
    {
        return;
    }
    // A relayed beacon arrives from the address of the relay.
    let address = beacon.address.parse().unwrap_or(from);
    state.members.set_address(vm.clone(), address);
    if let Ok(zone) = beacon.zone.parse() {
        state.members.set_zone(&vm, zone);
    }
    state.members.set_lends(&vm, beacon.lends);
    let unreachable = beacon.unreachable.iter().filter_map(|s| s.parse().ok());
    state
        .members
        .set_helper(now, &vm, beacon.relays, unreachable);
    updates::record_known(&mut state, &vm, &beacon);
    state.record_peer_config(now, beacon.config);
    renewal::handle_beacon(node, &mut state, now, &vm, &beacon);
    limit::apply_announced(node, &mut state, now, &vm, &beacon.limits);
    for book in &beacon.books {
        apply_residency(&mut state, now, &vm, book);
    }
    for l in &beacon.leaving {
        let Some(replica) = parse_instance(&l.replica, l.born) else {
            continue;
        };
        let changed = match l.stated {
            true => state.fleet.mark_leaving(&replica),
            false => state.fleet.mark_draining(&replica),
        };
        if changed {
            slog::info!(node.log, "replica changed"; "replica" => &l.replica, "draining" => true,
                "told_by" => vm.as_str());
        }
    }
    if beacon.turns_ms > 0 {
        state
            .stall_detector
            .extend(now, Span::from_millis(beacon.turns_ms));
    }
    if let Some(report) = &beacon.crashes {
        let delay = state.members.beacon_delay(&vm).unwrap_or_default();
        let built = Moment(now.0.saturating_sub(delay.0));
        crash_reports::apply_report(node, &mut state, now, built, &vm, report);
    }
    if beacon.complete {
        load_reports::apply_counts(&mut state, now, &vm, &beacon.flights);
    }
    for load in &beacon.loads {
        load_reports::handle_load(&mut state, now, &vm, load);
    }
    drop(state);
    updates::apply_updates(node, now, &beacon.store, &vm);
    if !beacon.books.is_empty() {
        node.placement_wake.notify_waiters();
    }
    if beacon.pass_on {
        relay::enqueue(&mut node.state(), vm, beacon);
    }
}

fn encode_leaving(state: &NodeState, replica: &Instance) -> wire::Leaving {
    wire::Leaving {
        replica: replica.name.to_string(),
        born: replica.started_ms,
        stated: state.stated_leaving.contains_key(replica),
    }
}

/// Parses an instance of a replica; `None` if the name is invalid.
pub(in crate::serving) fn parse_instance(name: &str, started_ms: u64) -> Option<Instance> {
    let name = name.parse().ok()?;
    Some(Instance { name, started_ms })
}

/// Returns the name of a replica unless it has restarted since `started_ms`.
pub(in crate::serving) fn current_replica(
    state: &NodeState,
    name: &str,
    started_ms: u64,
) -> Option<ReplicaName> {
    let replica = parse_instance(name, started_ms)?;
    state.fleet.is_current(&replica).then_some(replica.name)
}

/// Applies another VM's report of the adapters loaded or loading at a replica,
/// unless that VM is not the replica's owner.
fn apply_residency(state: &mut NodeState, now: Moment, vm: &VmName, book: &wire::ReplicaBook) {
    let Some(name) = current_replica(state, &book.replica, book.born) else {
        return;
    };
    // Reports of a former owner that does not know yet that it lost the replica
    // are ignored.
    if state
        .ownership
        .owner(&name)
        .is_some_and(|owner| owner != vm)
    {
        return;
    }
    let mut residency = Residency {
        vacant: book.vacant,
        ..Residency::default()
    };
    for slot in &book.slots {
        let Some(target) = Target::parse(&slot.target) else {
            continue;
        };
        if slot.hot {
            residency.hot.insert(target.clone());
        }
        match slot.coming {
            true => {
                residency.loading.insert(target);
            }
            false => {
                residency.loaded.insert(target, slot.version);
            }
        }
    }
    state.fleet.apply_residency(now, &name, residency);
}

/// Requests a load of an adapter from the owner of a replica.
pub(in crate::serving) async fn request_load(
    node: &Node,
    replica: &ReplicaName,
    target: &Target,
    need: &LoadNeed,
) {
    let address = {
        let mut state = node.state();
        let Some(owner) = state.ownership.owner(replica).cloned() else {
            return;
        };
        state.fleet.record_load_request(now(), replica, target);
        if owner == node.settings.vm {
            state
                .planner
                .request_load(now(), replica, &owner, target, need);
            node.orders_wake.notify_one();
            return;
        }
        state.members.address(&owner)
    };
    let Some(address) = address else {
        return;
    };
    let wish = wire::Wish {
        vm: node.settings.vm.to_string(),
        replica: replica.to_string(),
        target: target.to_string(),
        waiting: need.waiting,
        rank: need.rank.to_wire(),
        left_ms: need
            .left
            .map(|left| left.as_millis().min(u64::from(u32::MAX)) as u32),
    };
    node.send_message(Body::Wish(wish), address).await;
}

/// Passes another VM's load request to the planner, and subscribes that VM to
/// the replica.
fn handle_load_request(node: &Node, wish: &wire::Wish) {
    let Ok(name) = wish.replica.parse::<ReplicaName>() else {
        return;
    };
    let Some(target) = Target::parse(&wish.target) else {
        return;
    };
    let Ok(vm) = wish.vm.parse::<VmName>() else {
        return;
    };
    let now = now();
    let mut state = node.state();
    let need = LoadNeed {
        waiting: wish.waiting,
        rank: Rank::from_wire(wish.rank),
        left: wish.left_ms.map(|ms| Span::from_millis(ms.into())),
    };
    if !state.planner.request_load(now, &name, &vm, &target, &need) {
        return;
    }
    let residency = state.planner.residency(&name).unwrap_or_default();
    let known = residency.loaded.contains_key(&target) || residency.loading.contains(&target);
    if node.settings.experiment.is_enabled(Mechanism::LoadNews) {
        state.subscriptions.subscribe(now, &vm, &name, known);
    }
    drop(state);
    node.orders_wake.notify_one();
    if known {
        node.beacon_wake.notify_one();
    }
}
