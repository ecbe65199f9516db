//! Serves a process's ring of events to `banyan timeline`.

use std::sync::Arc;

use banyangauge_proto as wire;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use super::Recorder;

/// Events in one answer at the most, which keeps it below the 4 MB that the
/// transport accepts: an event is under 500 bytes unless a detail is long.
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
    /// Serves the ring of `recorder`.
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
