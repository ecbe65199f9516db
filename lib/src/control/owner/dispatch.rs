//! Carries out the pool's commands.

use std::net::SocketAddr;
use std::sync::Arc;

use banyangauge_proto as wire;
use wire::owner_message::Body as OwnerBody;

use crate::claims::RecordResult;
use crate::control::clock;
use crate::control::gossip::Gossip;
use crate::control::owner::Event;
use crate::control::owner::OwnerActor;
use crate::control::ownership::OwnershipState;
use crate::ids::AdapterVersion;
use crate::ids::FencingToken;
use crate::ids::Incarnation;
use crate::ids::PoolName;
use crate::ids::ReplicaName;
use crate::pool::Command;
use crate::pool::Moment;
use crate::pool::OrderEnd;
use crate::pool::OrderId;
use crate::pool::Reason;
use crate::pool::Ticket;
use crate::timeline::EventFields;
use crate::timeline::EventKind;
use crate::upstream::OrderClient;
use crate::upstream::OrderError;

/// A load order, preceded by an unload if an adapter is evicted.
struct Load {
    local: Arc<OwnershipState>,
    orders: OrderClient,
    pool: PoolName,
    token: FencingToken,
    honours_token: bool,
    address: SocketAddr,
    adapter: AdapterVersion,
    evict: Option<AdapterVersion>,
}

impl OwnerActor {
    /// Carries out the pool's commands until there are none, since carrying one
    /// out can cause others.
    pub(super) fn run_commands(&mut self, now: Moment) {
        loop {
            let commands = self.pool.take_commands();
            if commands.is_empty() {
                return;
            }
            for command in commands {
                self.run_command(now, command);
            }
        }
    }

    fn run_command(&mut self, now: Moment, command: Command) {
        match command {
            Command::Grant {
                ticket,
                replica,
                incarnation,
                priority,
            } => self.grant(now, ticket, &replica, incarnation, priority),
            Command::Refuse {
                ticket,
                reason,
                retry_after,
            } => self.refuse(now, ticket, reason.as_str(), retry_after),
            Command::Load {
                order,
                replica,
                incarnation,
                adapter,
                evict,
            } => self.start_load(now, order, &replica, incarnation, adapter, evict),
            Command::Block {
                fingerprint,
                duration,
            } => {
                slog::warn!(self.shared.log, "blocked a request that crashes its upstream";
                    "pool" => %self.name, "fingerprint" => fingerprint.0);
                self.record_event(EventKind::Convicted, None, "", &fingerprint.0.to_string());
                Gossip::block(&self.shared, &self.local, fingerprint, duration);
            }
        }
    }

    /// Grants a request if the safety rules allow it; a request with a key is
    /// granted once its claim is durable. Refuses the request otherwise.
    fn grant(
        &mut self,
        now: Moment,
        ticket: Ticket,
        replica: &ReplicaName,
        incarnation: Incarnation,
        priority: i32,
    ) {
        let address = self.replicas.get(replica).map(|r| r.address);
        let allowed = !self.deposed && self.safety.may_grant(now, replica, &self.external);
        let Some(address) = address.filter(|_| allowed) else {
            return self.refuse_granted(now, ticket, Reason::Draining.as_str());
        };
        let Some(tracked) = self.requests.get(ticket) else {
            return self.refuse_granted(now, ticket, Reason::Draining.as_str());
        };
        let grant = wire::Grant {
            request: tracked.request,
            grant: ticket.0,
            replica: replica.to_string(),
            address: address.to_string(),
            incarnation: incarnation.0,
            adapter: tracked.acquire.adapter.clone(),
            version: tracked.acquire.version,
            token: self.token().0,
            ttl_ms: self.grant_ttl().as_millis(),
            priority,
            team: tracked.acquire.team.clone(),
            class: tracked.acquire.class,
            fingerprint: tracked.acquire.fingerprint,
            max_tokens: tracked.acquire.max_tokens,
        };
        let Some(key) = tracked.claim.clone() else {
            return self.send_grant(now, ticket, grant);
        };
        // The claim must be durable before the entry can act on the grant.
        match self.journal.record(&key) {
            RecordResult::Durable => self.send_grant(now, ticket, grant),
            RecordResult::Pending => {
                self.awaiting_commit.insert(key, (ticket, grant));
            }
            RecordResult::Missing => self.refuse_granted(now, ticket, "platform_down"),
        }
    }

    /// Sends a grant if it is still allowed and the entry is connected, and records
    /// it as held by the entry. Refuses the request otherwise.
    pub(super) fn send_grant(&mut self, now: Moment, ticket: Ticket, grant: wire::Grant) {
        let session = self
            .requests
            .get(ticket)
            .and_then(|r| self.requests.session_of(&r.entry));
        // A commit takes time, so the owner checks again whether it may grant.
        let replica = ReplicaName::new(&grant.replica).ok();
        let allowed = !self.deposed
            && !self.draining
            && replica.is_some_and(|r| self.safety.may_grant(now, &r, &self.external));
        let sent = match session.filter(|_| allowed) {
            Some(session) => self.send(session, OwnerBody::Granted(grant.clone())),
            None => false,
        };
        if !sent {
            return self.refuse_granted(now, ticket, Reason::Draining.as_str());
        }
        metrics::counter!("granted_total").increment(1);
        self.requests
            .mark_granted(ticket, grant, now.after(self.grant_ttl()));
    }

    /// Starts a load order. The order fails at once if the replica has restarted or
    /// its slots must not be changed.
    fn start_load(
        &mut self,
        now: Moment,
        order: OrderId,
        replica: &ReplicaName,
        incarnation: Incarnation,
        adapter: AdapterVersion,
        evict: Option<AdapterVersion>,
    ) {
        let target = self.replicas.get(replica);
        let target = target.filter(|r| r.incarnation == incarnation);
        let allowed =
            evict.is_none() || !self.evictions_frozen && self.safety.may_evict(now, replica);
        let Some(target) =
            target.filter(|_| allowed && !self.frozen && !self.deposed && !self.draining)
        else {
            return self.pool.order_end(now, order, OrderEnd::Failed);
        };
        let load = Load {
            local: Arc::clone(&self.local),
            orders: self.order_client.clone(),
            pool: self.name.clone(),
            token: self.token(),
            honours_token: self.safety.honours_token(),
            address: target.address,
            adapter,
            evict,
        };
        self.record_event(
            EventKind::LoadOrdered,
            Some(&load.adapter),
            replica.as_str(),
            &load
                .evict
                .as_ref()
                .map_or(String::new(), |e| format!("evicts {e}")),
        );
        metrics::counter!("load_orders_total").increment(1);
        let evicts = load.evict.is_some();
        if evicts {
            self.pending_unloads += 1;
        }
        let Some(address) = self.address.clone() else {
            return;
        };
        tokio::spawn(async move {
            let unloaded = send_unload(&load).await;
            if evicts {
                let _ = address.send(Event::Unloading(false)).detach().await;
            }
            let end = match unloaded {
                Ok(()) => order_end(send_load(&load).await),
                Err(e) => order_end(Err(e)),
            };
            let _ = address
                .send(Event::OrderEnded { order, end })
                .detach()
                .await;
        });
    }

    /// Passes the end of an order to the pool.
    pub(super) fn handle_order_end(&mut self, now: Moment, order: OrderId, end: OrderEnd) {
        self.record_event(EventKind::LoadEnded, None, "", &format!("{end:?}"));
        if end == OrderEnd::Fenced {
            slog::warn!(self.shared.log,
                "engine refused an order: it has seen a higher fencing token";
                "pool" => %self.name);
            self.depose();
        }
        self.pool.order_end(now, order, end);
    }

    /// Records an event of this pool in the timeline.
    pub(super) fn record_event(
        &self,
        kind: EventKind,
        adapter: Option<&AdapterVersion>,
        replica: &str,
        detail: &str,
    ) {
        let about = EventFields {
            adapter: adapter.map_or(String::new(), ToString::to_string),
            upstream: replica.to_owned(),
            pool: self.name.to_string(),
            detail: detail.to_owned(),
            ..EventFields::default()
        };
        self.shared.recorder.record(kind, about);
    }
}

// Sends the unload of the evicted adapter, if there is one.
async fn send_unload(load: &Load) -> Result<(), OrderError> {
    let Some(evict) = &load.evict else {
        return Ok(());
    };
    check_lease(load)?;
    load.orders.unload(load.address, load.token, evict).await
}

// Sends the order to load the adapter, once `send_unload` has made room where needed.
async fn send_load(load: &Load) -> Result<(), OrderError> {
    check_lease(load)?;
    load.orders
        .load(load.address, load.token, &load.adapter)
        .await
}

// Checks, on a clock that also runs during suspension, that this process still
// holds the lease. Called immediately before each order is sent; the margin of the
// lease covers the time between this check and the sending.
fn check_lease(load: &Load) -> Result<(), OrderError> {
    let now = clock::now();
    let leases = load.local.leases.borrow();
    let lease = leases.get(&load.pool).filter(|t| t.token == load.token);
    match lease {
        Some(t) if load.honours_token || now < t.valid_until => Ok(()),
        _ => Err(OrderError::Unreachable(
            "order not sent: the lease has expired or was lost".to_owned(),
        )),
    }
}

fn order_end(end: Result<(), OrderError>) -> OrderEnd {
    match end {
        Ok(()) => OrderEnd::Done,
        Err(OrderError::Fenced) => OrderEnd::Fenced,
        Err(OrderError::Lost(_) | OrderError::Malformed(_)) => OrderEnd::Unknown,
        Err(_) => OrderEnd::Failed,
    }
}
