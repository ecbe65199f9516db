//! Carries out what the pool decided.

use std::net::SocketAddr;
use std::sync::Arc;

use banyangauge_proto as wire;
use wire::owner_message::Body as Answer;

use crate::claims::Durability;
use crate::control::clock;
use crate::control::local::Local;
use crate::control::owner::Event;
use crate::control::owner::OwnerActor;
use crate::control::peers::Peers;
use crate::ids::AdapterVersion;
use crate::ids::Incarnation;
use crate::ids::PoolName;
use crate::ids::ReplicaName;
use crate::ids::Token;
use crate::pool::Command;
use crate::pool::Moment;
use crate::pool::OrderEnd;
use crate::pool::OrderId;
use crate::pool::Reason;
use crate::pool::Ticket;
use crate::timeline::About;
use crate::timeline::Kind;
use crate::upstream::OrderError;
use crate::upstream::Orders;

/// One load with its eviction.
struct Load {
    local: Arc<Local>,
    orders: Orders,
    pool: PoolName,
    token: Token,
    honours_token: bool,
    address: SocketAddr,
    adapter: AdapterVersion,
    evict: Option<AdapterVersion>,
    // The engine may still run a request on what is to be unloaded.
}

impl OwnerActor {
    /// Carries out all that was decided, and what that makes the pool decide.
    pub(super) fn carry_out(&mut self, now: Moment) {
        loop {
            let commands = self.pool.take_commands();
            if commands.is_empty() {
                return;
            }
            for command in commands {
                self.carry_out_one(now, command);
            }
        }
    }

    fn carry_out_one(&mut self, now: Moment, command: Command) {
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
            } => self.load(now, order, &replica, incarnation, adapter, evict),
            Command::Block { fingerprint, hold } => {
                slog::warn!(self.shared.log, "convicted"; "pool" => %self.name,
                    "fingerprint" => fingerprint.0);
                self.note(Kind::Convicted, None, "", &fingerprint.0.to_string());
                Peers::convict(&self.shared, &self.local, fingerprint, hold);
            }
        }
    }

    fn grant(
        &mut self,
        now: Moment,
        ticket: Ticket,
        replica: &ReplicaName,
        incarnation: Incarnation,
        priority: i32,
    ) {
        let address = self.replicas.get(replica).map(|r| r.address);
        let allowed = !self.deposed && self.safety.may_grant(now, replica, &self.facts);
        let Some(address) = address.filter(|_| allowed) else {
            return self.take_back(now, ticket, Reason::Draining.as_str());
        };
        let Some(item) = self.requests.get(ticket) else {
            return self.take_back(now, ticket, Reason::Draining.as_str());
        };
        let grant = wire::Grant {
            request: item.request,
            grant: ticket.0,
            replica: replica.to_string(),
            address: address.to_string(),
            incarnation: incarnation.0,
            adapter: item.acquire.adapter.clone(),
            version: item.acquire.version,
            token: self.token().0,
            ttl_ms: self.grant_ttl().as_millis(),
            priority,
            team: item.acquire.team.clone(),
            class: item.acquire.class,
            fingerprint: item.acquire.fingerprint,
            max_tokens: item.acquire.max_tokens,
        };
        let Some(key) = item.claim.clone() else {
            return self.send_grant(now, ticket, grant);
        };
        // The claim is durable before anybody can act on the grant.
        match self.journal.record(&key) {
            Durability::Durable => self.send_grant(now, ticket, grant),
            Durability::Pending => {
                self.held.insert(key, (ticket, grant));
            }
            Durability::Missing => self.take_back(now, ticket, "platform_down"),
        }
    }

    /// Sends a grant; it counts as in use from here on.
    pub(super) fn send_grant(&mut self, now: Moment, ticket: Ticket, grant: wire::Grant) {
        let session = self
            .requests
            .get(ticket)
            .and_then(|i| self.requests.session_of(&i.entry));
        // A commit takes time: whether to grant is asked again.
        let replica = ReplicaName::new(&grant.replica).ok();
        let allowed = !self.deposed
            && !self.draining
            && replica.is_some_and(|r| self.safety.may_grant(now, &r, &self.facts));
        let sent = match session.filter(|_| allowed) {
            Some(session) => self.tell(session, Answer::Granted(grant.clone())),
            None => false,
        };
        if !sent {
            return self.take_back(now, ticket, Reason::Draining.as_str());
        }
        metrics::counter!("granted_total").increment(1);
        self.requests
            .mark_granted(ticket, grant, now.after(self.grant_ttl()));
    }

    fn load(
        &mut self,
        now: Moment,
        order: OrderId,
        replica: &ReplicaName,
        incarnation: Incarnation,
        adapter: AdapterVersion,
        evict: Option<AdapterVersion>,
    ) {
        let known = self.replicas.get(replica);
        let known = known.filter(|r| r.incarnation == incarnation);
        let allowed = evict.is_none() || !self.keeping && self.safety.may_evict(now, replica);
        let Some(known) =
            known.filter(|_| allowed && !self.frozen && !self.deposed && !self.draining)
        else {
            return self.pool.order_end(now, order, OrderEnd::Failed);
        };
        let load = Load {
            local: Arc::clone(&self.local),
            orders: self.orders.clone(),
            pool: self.name.clone(),
            token: self.token(),
            honours_token: self.safety.honours_token(),
            address: known.address,
            adapter,
            evict,
        };
        self.note(
            Kind::LoadOrdered,
            Some(&load.adapter),
            replica.as_str(),
            &load
                .evict
                .as_ref()
                .map_or(String::new(), |e| format!("evicts {e}")),
        );
        metrics::counter!("load_orders_total").increment(1);
        let unloads = load.evict.is_some();
        if unloads {
            self.unloading += 1;
        }
        let Some(address) = self.address.clone() else {
            return;
        };
        tokio::spawn(async move {
            let evicted = unload(&load).await;
            if unloads {
                let _ = address.send(Event::Unloading(false)).detach().await;
            }
            let end = match evicted {
                Ok(()) => order_end(load_one(&load).await),
                Err(e) => order_end(Err(e)),
            };
            let _ = address
                .send(Event::OrderEnded { order, end })
                .detach()
                .await;
        });
    }

    pub(super) fn ordered(&mut self, now: Moment, order: OrderId, end: OrderEnd) {
        self.note(Kind::LoadEnded, None, "", &format!("{end:?}"));
        if end == OrderEnd::Fenced {
            slog::warn!(self.shared.log, "order fenced"; "pool" => %self.name);
            self.depose();
        }
        self.pool.order_end(now, order, end);
    }

    pub(super) fn note(
        &self,
        kind: Kind,
        adapter: Option<&AdapterVersion>,
        replica: &str,
        detail: &str,
    ) {
        let about = About {
            adapter: adapter.map_or(String::new(), ToString::to_string),
            upstream: replica.to_owned(),
            pool: self.name.to_string(),
            detail: detail.to_owned(),
            ..About::default()
        };
        self.shared.recorder.record(kind, about);
    }
}

async fn unload(load: &Load) -> Result<(), OrderError> {
    let Some(evict) = &load.evict else {
        return Ok(());
    };
    check(load)?;
    load.orders.unload(load.address, load.token, evict).await
}

async fn load_one(load: &Load) -> Result<(), OrderError> {
    check(load)?;
    load.orders
        .load(load.address, load.token, &load.adapter)
        .await
}

// Immediately before each order, on a clock that runs during suspension: is
// this still the owner? What is left is the time from here to the send.
fn check(load: &Load) -> Result<(), OrderError> {
    let now = clock::now();
    let leases = load.local.leases.borrow();
    let tenure = leases.get(&load.pool).filter(|t| t.token == load.token);
    match tenure {
        Some(t) if load.honours_token || now < t.valid_until => Ok(()),
        _ => Err(OrderError::Unreachable("the lease is over".to_owned())),
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
