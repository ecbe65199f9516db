//! Watches the links to the replicas, and finds out when those of an unreachable service are
//! back.

use std::rc::Rc;
use std::time::Duration;

use crate::ids::ReplicaName;
use crate::ids::ServiceName;
use crate::serving::decisions::reachability::SILENT_AFTER;
use crate::serving::path::crashes::check_replicas;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;

/// Interval at which silent replicas are looked for and unreachable services are probed. One
/// replica is probed at a time: a connection may occupy one of its slots briefly.
const INTERVAL: Duration = Duration::from_millis(250);

/// How long a connection must stay open: a cut link may accept connections and reset them.
const SETTLE: Duration = Duration::from_millis(30);

/// Watches the links until the process ends.
pub(in crate::serving) async fn watch_replicas(node: Rc<Node>) {
    for round in 0.. {
        tokio::time::sleep(INTERVAL).await;
        let silent: Vec<_> = {
            let state = node.state();
            let silent = state.fleet.silent_replicas(now(), SILENT_AFTER);
            silent.cloned().collect()
        };
        silent.iter().for_each(|r| record_unreached(&node, r));
        check_replicas(&node);
        let unreachable: Vec<_> = {
            let state = node.state();
            let unreachable = state.reachability.unreachable();
            unreachable.map(|(service, _)| service.clone()).collect()
        };
        for service in unreachable {
            probe(&node, &service, round).await;
        }
    }
}

/// Tries to connect to a replica of a service that cannot be reached, another one each round.
async fn probe(node: &Node, service: &ServiceName, round: usize) {
    let address = {
        let mut state = node.state();
        let replicas = state.fleet.replica_infos();
        let replicas = replicas.filter(|r| r.service == *service && !r.draining);
        let addresses: Vec<_> = replicas.map(|r| r.address).collect();
        match addresses.get(round % addresses.len().max(1)) {
            Some(address) => *address,
            None => {
                // Without replicas there is no link to watch.
                state.reachability.record_heard(now(), service);
                return;
            }
        }
    };
    if node.upstreams.probe(address, SETTLE).await
        && node.state().reachability.record_heard(now(), service)
    {
        slog::info!(node.log, "service can be reached again"; "service" => service.as_str());
        node.placement_wake.notify_waiters();
    }
}

/// Records that a replica could not be reached, or sent nothing where it should have.
pub(in crate::serving) fn record_unreached(node: &Node, replica: &ReplicaName) {
    let found = node.state().record_unreached(now(), replica);
    if let Some(service) = found {
        slog::warn!(node.log, "no replica of a service can be reached";
            "service" => service.as_str(), "replica" => replica.as_str());
        metrics::counter!("serve_unreachable_total").increment(1);
    }
}
