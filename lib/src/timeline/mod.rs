//! The timeline: a totally ordered record of what happened in which process.
//!
//! Each process keeps typed events in a bounded ring buffer, with timestamps of a
//! hybrid logical clock; `banyan timeline` merges the buffers of all processes.

mod service;

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use banyangauge_proto as wire;

pub use service::MAX_REPLY_EVENTS;
pub use service::TimelineService;

/// The kind of an event.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum EventKind {
    /// A request was received from a caller.
    Received,
    /// The pool's owner granted the request a replica.
    Granted,
    /// The request was sent to an upstream.
    Dispatched,
    /// The first byte of the response arrived from the upstream.
    FirstByte,
    /// The response was forwarded to the caller completely.
    Answered,
    /// The request was refused and has not run.
    Refused,
    /// The outcome of the request is unknown.
    Unknown,
    /// The caller disconnected.
    Cancelled,
    /// The request is retried.
    Retried,
    /// An interrupted stream was resumed at a token index.
    Resumed,
    /// An engine was ordered to load an adapter.
    LoadOrdered,
    /// The order to load an adapter completed or failed.
    LoadEnded,
    /// An adapter was evicted from its slot.
    Evicted,
    /// A process became the owner of a pool.
    Acquired,
    /// A process released or lost its ownership of a pool.
    Lost,
    /// A catalog revision became active in this process.
    InForce,
    /// The state of an upstream or peer changed.
    Health,
    /// A request was identified as one that crashes upstreams.
    Convicted,
    /// The platform became reachable or unreachable.
    Platform,
    /// The process started or is stopping.
    Process,
}

impl EventKind {
    /// Returns the name of the kind in messages and output.
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

/// The attributes of an event; fields that do not apply are empty.
#[derive(Clone, Debug, Default)]
pub struct EventFields {
    /// ID of the request.
    pub request: String,
    /// The adapter version.
    pub adapter: String,
    /// The replica.
    pub upstream: String,
    /// The pool.
    pub pool: String,
    /// Free text for a human reader.
    pub detail: String,
}

struct EventBuffer {
    events: VecDeque<wire::Event>,
    /// Number of events evicted so far.
    dropped: u64,
}

/// Records a process's events in a bounded ring buffer; threads share it.
pub struct Recorder {
    process: String,
    capacity: usize,
    clock: uhlc::HLC,
    buffer: Mutex<EventBuffer>,
}

impl Recorder {
    /// Returns a recorder that keeps the latest `capacity` events and counts the
    /// older ones that it evicts.
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
    pub fn new(process: &str, capacity: usize) -> Self {
        Self {
            process: process.to_owned(),
            capacity,
            clock: uhlc::HLC::default(),
            buffer: Mutex::new(EventBuffer {
                events: VecDeque::new(),
                dropped: 0,
            }),
        }
    }

    /// Records an event with the current time.
    pub fn record(&self, kind: EventKind, fields: EventFields) {
        let now = self.clock.new_timestamp();
        let event = wire::Event {
            stamp: Some(wire::Stamp {
                time: now.get_time().as_u64(),
                origin: now.get_id().to_string(),
            }),
            process: self.process.clone(),
            kind: kind.as_str().to_owned(),
            request: fields.request,
            adapter: fields.adapter,
            upstream: fields.upstream,
            pool: fields.pool,
            detail: fields.detail,
        };
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.events.len() == self.capacity {
            buffer.events.pop_front();
            buffer.dropped += 1;
        }
        buffer.events.push_back(event);
    }

    /// Returns the newest `filter.most` events that match `filter`, oldest first;
    /// 0 means no limit.
    pub fn read(&self, filter: &wire::TimelineRequest) -> wire::TimelineReply {
        let buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let matches = |wanted: &str, value: &str| wanted.is_empty() || wanted == value;
        let mut events: Vec<_> = buffer
            .events
            .iter()
            .filter(|e| {
                matches(&filter.request, &e.request)
                    && matches(&filter.adapter, &e.adapter)
                    && matches(&filter.upstream, &e.upstream)
                    && matches(&filter.pool, &e.pool)
            })
            .cloned()
            .collect();
        let limit = match filter.most {
            0 => usize::MAX,
            n => n as usize,
        };
        if events.len() > limit {
            events.drain(..events.len() - limit);
        }
        wire::TimelineReply {
            events,
            dropped: buffer.dropped,
        }
    }
}
