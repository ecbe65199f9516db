//! The gRPC side of peers.

use std::sync::Arc;

use banyangauge_proto as wire;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::control::Peers;
use crate::control::Shared;

/// Answers other control processes.
pub struct PeersService {
    shared: Shared,
    peers: Arc<Peers>,
}

impl PeersService {
    /// A service over this process's table.
    pub fn new(shared: Shared, peers: Arc<Peers>) -> Self {
        Self { shared, peers }
    }
}

#[tonic::async_trait]
impl wire::peers_server::Peers for PeersService {
    async fn exchange(
        &self,
        request: Request<wire::Digest>,
    ) -> Result<Response<wire::Digest>, Status> {
        self.peers.absorb(request.get_ref());
        Ok(Response::new(self.peers.digest()))
    }

    async fn fetch_catalog(
        &self,
        _request: Request<wire::FetchRequest>,
    ) -> Result<Response<wire::Snapshot>, Status> {
        let _ = &self.shared;
        Err(Status::unimplemented("not yet"))
    }

    async fn fetch_changes(
        &self,
        _request: Request<wire::FetchRequest>,
    ) -> Result<Response<wire::Changes>, Status> {
        Err(Status::unimplemented("not yet"))
    }

    async fn hold_usage(
        &self,
        _request: Request<wire::UsageReport>,
    ) -> Result<Response<wire::UsageReply>, Status> {
        Err(Status::unimplemented("not yet"))
    }
}
