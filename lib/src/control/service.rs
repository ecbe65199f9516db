//! The gRPC service that other control processes call.

use std::sync::Arc;

use banyangauge_proto as wire;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::control::Gossip;
use crate::control::Shared;
use crate::control::config;
use crate::control::gossip::count_bytes;

/// The gRPC service `Peers`.
pub struct PeersService {
    shared: Shared,
    gossip: Arc<Gossip>,
}

impl PeersService {
    /// Creates a service that answers from the gossip state.
    pub fn new(shared: Shared, gossip: Arc<Gossip>) -> Self {
        Self { shared, gossip }
    }
}

#[tonic::async_trait]
impl wire::peers_server::Peers for PeersService {
    async fn exchange(
        &self,
        request: Request<wire::Digest>,
    ) -> Result<Response<wire::Digest>, Status> {
        let digest = request.get_ref();
        count_bytes("received", digest);
        self.gossip.merge(digest);
        let reply = self.gossip.digest(Some(digest));
        count_bytes("sent", &reply);
        Ok(Response::new(reply))
    }

    async fn fetch_catalog(
        &self,
        request: Request<wire::FetchRequest>,
    ) -> Result<Response<wire::Snapshot>, Status> {
        let snapshot = config::fetch_catalog(&self.shared, request.get_ref());
        Ok(Response::new(snapshot))
    }

    async fn fetch_changes(
        &self,
        request: Request<wire::FetchRequest>,
    ) -> Result<Response<wire::Changes>, Status> {
        let changes = config::fetch_changes(&self.shared, request.get_ref());
        Ok(Response::new(changes))
    }

    async fn hold_usage(
        &self,
        request: Request<wire::UsageReport>,
    ) -> Result<Response<wire::UsageReply>, Status> {
        let reply = self.shared.state.usage.hold_copy(request.into_inner());
        let reply = reply.ok_or_else(|| Status::unavailable("stopping"))?;
        Ok(Response::new(reply))
    }
}
