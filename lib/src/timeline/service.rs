//! The gRPC service from which `banyan timeline` reads a process's events.

use std::sync::Arc;

use banyangauge_proto as wire;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use super::Recorder;

/// Maximum number of events in one reply. It keeps the reply below the 4 MB that
/// the transport accepts: an event takes less than 500 bytes unless its detail is
/// long.
pub const MAX_REPLY_EVENTS: u32 = 6_000;

/// The gRPC service `Timeline`; entry and control processes serve it.
///
/// ```
/// use std::sync::Arc;
/// use banyangauge::timeline::{Recorder, TimelineService};
/// use banyangauge_proto::timeline_server::TimelineServer;
/// let recorder = Arc::new(Recorder::new("entry vm-1", 1_000));
/// let _service = TimelineServer::new(TimelineService::new(recorder));
/// ```
#[derive(Clone)]
pub struct TimelineService {
    recorder: Arc<Recorder>,
}

impl TimelineService {
    /// Returns a service for the events of `recorder`.
    pub const fn new(recorder: Arc<Recorder>) -> Self {
        Self { recorder }
    }
}

#[tonic::async_trait]
impl wire::timeline_server::Timeline for TimelineService {
    async fn read(
        &self,
        request: Request<wire::TimelineRequest>,
    ) -> Result<Response<wire::TimelineReply>, Status> {
        let mut filter = request.into_inner();
        if filter.most == 0 || filter.most > MAX_REPLY_EVENTS {
            filter.most = MAX_REPLY_EVENTS;
        }
        Ok(Response::new(self.recorder.read(&filter)))
    }
}
