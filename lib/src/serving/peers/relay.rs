//! Relays beacons, which cross to each other availability zone only once.

use std::net::SocketAddr;

use banyangauge_proto as wire;
use prost::Message;
use wire::datagram::Body;

use crate::ids::VmName;
use crate::pool::Moment;
use crate::serving::cluster::state::NodeState;
use crate::serving::peers::beacons::encode;

/// Builds the datagrams for one beacon interval: a bundle of our beacon and
/// those to pass on for each VM of our zone, and our beacon for one VM in each
/// other zone.
pub(in crate::serving) fn relay_datagrams(
    state: &mut NodeState,
    now: Moment,
    beacon: wire::Beacon,
) -> Vec<(Vec<u8>, SocketAddr)> {
    let number = beacon.number;
    let mut crossing = beacon.clone();
    crossing.pass_on = true;
    let crossing = encode(crossing);
    let queued = std::mem::take(&mut state.relay_queue).into_values();
    let bundle = wire::Bundle {
        beacons: std::iter::once(beacon).chain(queued).collect(),
    };
    let bundle = wire::Datagram {
        body: Some(Body::Bundle(bundle)),
    };
    let bundle = bundle.encode_to_vec();
    let near = state
        .members
        .direct_peers()
        .map(|(_, at)| (bundle.clone(), at));
    let far = state.members.relay_targets(now, number).into_iter();
    near.chain(far.map(|at| (crossing.clone(), at))).collect()
}

/// Queues a beacon to be passed on with our next one. It replaces an older one
/// of the same VM.
pub(in crate::serving) fn enqueue(state: &mut NodeState, vm: VmName, mut beacon: wire::Beacon) {
    beacon.pass_on = false;
    state.relay_queue.insert(vm, beacon);
}
