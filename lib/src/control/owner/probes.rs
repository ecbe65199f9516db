//! Polls one replica for the owner: load reports and fences.

use std::net::SocketAddr;
use std::time::Duration;

use xtra::Address;

use crate::control::clock;
use crate::control::owner::Event;
use crate::control::owner::OwnerActor;
use crate::ids::ReplicaName;
use crate::ids::Token;
use crate::upstream::OrderError;
use crate::upstream::Orders;
use crate::upstream::read_report;

/// Polls until the owner ends.
pub(super) async fn poll(
    owner: Address<OwnerActor>,
    orders: Orders,
    replica: ReplicaName,
    address: SocketAddr,
    every: Duration,
) {
    let mut tick = tokio::time::interval(every);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let report = read_report(&orders, address).await;
        let event = Event::LoadReport {
            replica: replica.clone(),
            address,
            report,
        };
        // The mailbox is bounded; a poll waits its turn.
        if owner.send(event).detach().await.is_err() {
            return;
        }
    }
}

/// Asks one engine for its fence and tells the owner.
pub(super) async fn fence(
    owner: Address<OwnerActor>,
    orders: Orders,
    replica: ReplicaName,
    address: SocketAddr,
    token: Token,
    report: crate::upstream::Report,
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
