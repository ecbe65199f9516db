//! Beacons that cross between availability zones once, and are passed on there.

use std::net::SocketAddr;

use banyangauge_proto as wire;
use prost::Message;
use wire::datagram::Body;

use crate::ids::VmName;
use crate::pool::Moment;
use crate::serving::cluster::state::NodeState;
use crate::serving::peers::beacons::encode;

/// The datagrams of a beat: what this VM tells goes to each VM of its zone,
/// with what is to be passed on there, and to one VM in each other zone.
pub(in crate::serving) fn relay_datagrams(
    state: &mut NodeState,
    now: Moment,
    told: wire::Beacon,
) -> Vec<(Vec<u8>, SocketAddr)> {
    let number = told.number;
    let mut crossing = told.clone();
    crossing.pass_on = true;
    let crossing = encode(crossing);
    let passed = std::mem::take(&mut state.relay_queue).into_values();
    let bundle = wire::Bundle {
        beacons: std::iter::once(told).chain(passed).collect(),
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

/// A beacon is to be passed on with our next beat; a newer one of the same VM
/// takes its place.
pub(in crate::serving) fn enqueue(state: &mut NodeState, vm: VmName, mut beacon: wire::Beacon) {
    beacon.pass_on = false;
    state.relay_queue.insert(vm, beacon);
}
