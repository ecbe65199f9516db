//! The time line: what happened, in which process, in one order.
//!
//! Each process keeps a bounded ring of typed events, stamped by a hybrid
//! logical clock; `banyan timeline` merges the rings of all processes.

mod service;

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use banyangauge_proto as wire;

pub use service::MAX_REPLY_EVENTS;
pub use service::TimelineService;

/// What happened.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum EventKind {
    /// A caller's request came in.
    Received,
    /// The owner granted it a replica.
    Granted,
    /// It was sent to an upstream.
    Dispatched,
    /// The first byte of its answer came.
    FirstByte,
    /// Its answer was passed on whole.
    Answered,
    /// It was refused, "not run".
    Refused,
    /// Its outcome is not known.
    Unknown,
    /// Its caller went away.
    Cancelled,
    /// It is tried again.
    Retried,
    /// A broken stream goes on at an index.
    Resumed,
    /// An engine was ordered to load an adapter.
    LoadOrdered,
    /// The order ended.
    LoadEnded,
    /// An adapter gave up its slot.
    Evicted,
    /// A process became owner of a pool.
    Acquired,
    /// It gave the pool up, or lost it.
    Lost,
    /// A catalog revision came into force here.
    InForce,
    /// An upstream's or peer's state changed.
    Health,
    /// A request was found to crash its upstream.
    Convicted,
    /// The platform became reachable or unreachable.
    Platform,
    /// The process started or stops.
    Process,
}

impl EventKind {
    /// The word for it on the wire and in output.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Received => "received",
            Self::Granted => "granted",
            Self::Dispatched => "dispatched",
            Self::FirstByte => "first_byte",
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
            Self::Cancelled => "cancelled",
            Self::Retried => "retried",
            Self::Resumed => "resumed",
            Self::LoadOrdered => "load_ordered",
            Self::LoadEnded => "load_ended",
            Self::Evicted => "evicted",
            Self::Acquired => "acquired",
            Self::Lost => "lost",
            Self::InForce => "in_force",
            Self::Health => "health",
            Self::Convicted => "convicted",
            Self::Platform => "platform",
            Self::Process => "process",
        }
    }
}

/// What an event is about; empty text where a field does not apply.
#[derive(Clone, Debug, Default)]
pub struct EventFields {
    /// The request's id.
    pub request: String,
    /// The adapter version.
    pub adapter: String,
    /// The replica.
    pub upstream: String,
    /// The pool.
    pub pool: String,
    /// Anything else, for a reader.
    pub detail: String,
}

struct Ring {
    events: VecDeque<wire::Event>,
    dropped: u64,
}

/// A process's bounded ring of events; shared by its threads.
pub struct Recorder {
    process: String,
    most: usize,
    clock: uhlc::HLC,
    ring: Mutex<Ring>,
}

impl Recorder {
    /// A ring of at most `most` events; older ones give way and are counted.
    ///
    /// ```
    /// use banyangauge::timeline::{EventFields, EventKind, Recorder};
    /// let r = Recorder::new("entry vm-1", 2);
    /// for _ in 0..3 {
    ///     r.record(EventKind::Received, EventFields::default());
    /// }
    /// let reply = r.read(&Default::default());
    /// assert_eq!((reply.events.len(), reply.dropped), (2, 1));
    /// ```
    pub fn new(process: &str, most: usize) -> Self {
        Self {
            process: process.to_owned(),
            most,
            clock: uhlc::HLC::default(),
            ring: Mutex::new(Ring {
                events: VecDeque::new(),
                dropped: 0,
            }),
        }
    }

    /// Adds an event, stamped now.
    pub fn record(&self, kind: EventKind, about: EventFields) {
        let now = self.clock.new_timestamp();
        let event = wire::Event {
            stamp: Some(wire::Stamp {
                time: now.get_time().as_u64(),
                origin: now.get_id().to_string(),
            }),
            process: self.process.clone(),
            kind: kind.as_str().to_owned(),
            request: about.request,
            adapter: about.adapter,
            upstream: about.upstream,
            pool: about.pool,
            detail: about.detail,
        };
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.events.len() == self.most {
            ring.events.pop_front();
            ring.dropped += 1;
        }
        ring.events.push_back(event);
    }

    /// The events that match, oldest first, the newest `most` of them.
    pub fn read(&self, filter: &wire::TimelineRequest) -> wire::TimelineReply {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        let fits = |want: &str, have: &str| want.is_empty() || want == have;
        let mut events: Vec<_> = ring
            .events
            .iter()
            .filter(|e| {
                fits(&filter.request, &e.request)
                    && fits(&filter.adapter, &e.adapter)
                    && fits(&filter.upstream, &e.upstream)
                    && fits(&filter.pool, &e.pool)
            })
            .cloned()
            .collect();
        let most = match filter.most {
            0 => usize::MAX,
            n => n as usize,
        };
        if events.len() > most {
            events.drain(..events.len() - most);
        }
        wire::TimelineReply {
            events,
            dropped: ring.dropped,
        }
    }
}
