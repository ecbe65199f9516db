//! Requests load reports and fences from replicas for the owner.

use std::net::SocketAddr;
use std::time::Duration;

use xtra::Address;

use crate::control::clock;
use crate::control::owner::Event;
use crate::control::owner::OwnerActor;
use crate::ids::FencingToken;
use crate::ids::ReplicaName;
use crate::upstream::OrderClient;
use crate::upstream::OrderError;
use crate::upstream::read_report;

/// Polls one replica for load reports until the owner stops.
pub(super) async fn poll(
    owner: Address<OwnerActor>,
    orders: OrderClient,
    replica: ReplicaName,
    address: SocketAddr,
    interval: Duration,
) {
    let mut tick = tokio::time::interval(interval);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let report = read_report(&orders, address).await;
        let event = Event::LoadReport {
            replica: replica.clone(),
            address,
            report,
        };
        // The mailbox is bounded: waits while it is full.
        if owner.send(event).detach().await.is_err() {
            return;
        }
    }
}

/// Asks an engine to confirm that it has seen no higher token, and sends its answer
/// to the owner. `report` waits for the answer and is accepted if the engine
/// confirms.
pub(super) async fn fence(
    owner: Address<OwnerActor>,
    orders: OrderClient,
    replica: ReplicaName,
    address: SocketAddr,
    token: FencingToken,
    report: crate::upstream::EngineReport,
) {
    let asked = clock::now();
    let answer: Result<_, OrderError> = orders.fence(address, token).await;
    let event = Event::FenceAnswer {
        replica,
        address,
        asked,
        answer,
        report,
    };
    let _ = owner.send(event).detach().await;
}
