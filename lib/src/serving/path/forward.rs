//! One send of a request to one replica.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Uri;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderName;
use hyper::header::TE;
use hyper::header::TRAILER;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;

use crate::ids::Fingerprint;
use crate::ids::OrganisationName;
use crate::ids::ReplicaName;
use crate::pool::Moment;
use crate::serving::decisions::decide::Ended;
use crate::serving::decisions::fleet::End;
use crate::serving::decisions::fleet::Load;
use crate::serving::decisions::turns::LONG_PROMPT;
use crate::serving::path::charge::Charge;
use crate::serving::path::codec::ForwardHeaders;
use crate::serving::path::codec::Reply;
use crate::serving::path::prefill::PrefillTurn;
use crate::serving::path::prefill::wait_for_turn;
use crate::serving::path::types::Instance;
use crate::serving::path::types::KeyDigest;
use crate::serving::path::types::SharedPrefix;
use crate::serving::path::types::Target;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;
use crate::upstream::Answer;
use crate::upstream::Parts;
use crate::upstream::SendError;

/// A caller's request, kept until its answer is whole.
pub(in crate::serving) struct BufferedRequest {
    pub(in crate::serving) method: Method,
    pub(in crate::serving) path: Uri,
    pub(in crate::serving) headers: HeaderMap,
    pub(in crate::serving) body: Vec<Bytes>,
    /// The caller's id of the attempt.
    pub(in crate::serving) id: String,
    pub(in crate::serving) target: Option<Target>,
    /// What it is expected to hold at a replica.
    pub(in crate::serving) cost: Load,
    pub(in crate::serving) shared: Option<SharedPrefix>,
    pub(in crate::serving) fingerprint: Fingerprint,
    /// On whose behalf it runs.
    pub(in crate::serving) caller: Caller,
    /// When the final answer is due.
    pub(in crate::serving) deadline: Moment,
}

/// Who calls, and what that was charged to.
#[derive(Default)]
pub(in crate::serving) struct Caller {
    /// The organisation that holds the key.
    pub(in crate::serving) organisation: Option<OrganisationName>,
    /// The key, where the route needs one.
    pub(in crate::serving) key: Option<KeyDigest>,
    pub(in crate::serving) charge: Option<Charge>,
}

/// A run at a replica; when it is dropped, it counts no more.
pub(in crate::serving) struct Run {
    node: Rc<Node>,
    pub(in crate::serving) replica: ReplicaName,
    started_ms: u64,
    target: Option<Target>,
    cost: Load,
    id: u64,
    responded: bool,
    /// While its prompt is read.
    prefill_turn: Option<PrefillTurn>,
}

impl Run {
    fn begin(node: &Rc<Node>, held: &BufferedRequest, replica: &ReplicaName) -> Self {
        let number = node.next_id();
        let mut b = node.state();
        b.begin_run(replica, held.target.as_ref(), held.cost);
        let born = b.fleet.born(replica).unwrap_or_default();
        Self {
            node: node.clone(),
            replica: replica.clone(),
            started_ms: born,
            target: held.target.clone(),
            cost: held.cost,
            id: number,
            responded: false,
            prefill_turn: None,
        }
    }

    /// Waits until the replica can read the prompt; it is sent next.
    async fn wait_for_turn(&mut self, limit: Moment) {
        if self.cost.unread >= LONG_PROMPT {
            let node = self.node.clone();
            let turn = wait_for_turn(&node, &self.replica, self.id, self.cost.unread, limit);
            self.prefill_turn = turn.await;
        }
        let mut b = self.node.state();
        b.fleet.await_first(now(), &self.replica, self.id);
    }

    /// Bytes of the answer came.
    pub(in crate::serving) fn on_data(&mut self) {
        self.responded = true;
        self.prefill_turn = None;
        let mut b = self.node.state();
        if b.fleet.is_current(&self.instance()) {
            b.fleet.read(&self.replica, self.cost.unread);
            b.fleet.heard(now(), &self.replica, self.id, true);
        }
        self.cost.unread = 0;
    }

    /// The run ended so.
    pub(in crate::serving) fn record_end(&self, end: End) {
        let mut b = self.node.state();
        if b.fleet.is_current(&self.instance()) {
            b.fleet.learn(now(), &self.replica, end);
        }
    }

    /// The start of the replica that runs it.
    pub(in crate::serving) fn instance(&self) -> Instance {
        Instance {
            name: self.replica.clone(),
            started_ms: self.started_ms,
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut b = self.node.state();
        b.end_run(&self.instance(), self.target.as_ref(), self.cost);
        if !self.responded {
            b.fleet.heard(now(), &self.replica, self.id, false);
        }
        drop(b);
        self.node.placement_wake.notify_waiters();
    }
}

/// An answer that may be passed on.
pub(in crate::serving) struct StartedResponse {
    pub(in crate::serving) answer: Answer,
    pub(in crate::serving) run: Run,
    /// Whether the replica says that it failed.
    pub(in crate::serving) failed: bool,
}

/// Sends a request to a replica and waits for the head of its answer.
pub(in crate::serving) async fn forward(
    node: &Rc<Node>,
    held: &BufferedRequest,
    replica: &ReplicaName,
    resume_at: Option<u64>,
) -> Result<StartedResponse, Ended> {
    let address = {
        let b = node.state();
        let listing = b.fleet.listing(replica).ok_or(Ended::NotSent)?;
        listing.address
    };
    let mut run = Run::begin(node, held, replica);
    run.wait_for_turn(held.deadline).await;
    if resume_at.is_none() {
        check_key(node, held)?;
    }
    let request = build_request(node, held, replica, resume_at);
    let sending = held.caller.charge.as_ref().map(Charge::mark_sent);
    let left = Duration::from_micros(held.deadline.since(now()).0);
    let sent = tokio::time::timeout(left, node.upstreams.send(address, request)).await;
    let answer = match sent {
        Err(_) => return Err(Ended::Overdue),
        Ok(Err(SendError::NotSent(_))) => {
            run.record_end(End::Unreached);
            sending.inspect(|s| s.revert());
            return Err(Ended::NotSent);
        }
        Ok(Err(SendError::Broken(_))) => {
            run.record_end(End::Broken);
            record_strike(node, held, &run.instance());
            return Err(Ended::Broken);
        }
        Ok(Ok(answer)) => answer,
    };
    run.on_data();
    let read = node.codec.classify_response;
    match read(answer.head.status, &answer.head.headers, &held.id, replica) {
        Reply::Answer => Ok(StartedResponse {
            answer,
            run,
            failed: false,
        }),
        Reply::Failed => Ok(StartedResponse {
            answer,
            run,
            failed: true,
        }),
        Reply::NotRun(why) => {
            sending.inspect(|s| s.revert());
            record_refusal(node, held, &run, why);
            Err(Ended::NotRun(why))
        }
        Reply::Invalid(what) => {
            run.record_end(End::Broken);
            Err(Ended::Spoilt(what))
        }
    }
}

/// Whether the key of a request still holds: it may have waited for a place for
/// long, or this VM may have been suspended meanwhile.
fn check_key(node: &Node, held: &BufferedRequest) -> Result<(), Ended> {
    let Some(key) = &held.caller.key else {
        return Ok(());
    };
    let mut b = node.state();
    let freshness = b.key_freshness(now());
    let keys = b.active.as_ref().and_then(|a| a.keys.as_ref());
    let admitted = b.key_bounds.admit(keys, false, Some(key), &freshness);
    admitted.map(|_| ()).map_err(Ended::Denied)
}

fn record_refusal(
    node: &Node,
    held: &BufferedRequest,
    run: &Run,
    why: crate::serving::path::codec::NotRun,
) {
    use crate::serving::path::codec::NotRun;
    match why {
        NotRun::Gone => run.record_end(End::Gone),
        NotRun::Full => run.record_end(End::Full),
        NotRun::NotLoaded => {
            if let Some(target) = &held.target {
                let mut b = node.state();
                b.fleet.lacks(now(), &run.replica, target);
            }
        }
    }
}

/// Notes that an upstream broke while it ran this request.
pub(in crate::serving) fn record_strike(node: &Node, held: &BufferedRequest, replica: &Instance) {
    let news = node.state().strikes.note(now(), held.fingerprint, replica);
    if news {
        node.beacon_wake.notify_one();
    }
}

fn build_request(
    node: &Node,
    held: &BufferedRequest,
    replica: &ReplicaName,
    resume_at: Option<u64>,
) -> Request<Parts> {
    let mut request = Request::new(Parts::new(held.body.iter().cloned()));
    *request.method_mut() = held.method.clone();
    *request.uri_mut() = held.path.clone();
    let now = now();
    let version = {
        let b = node.state();
        let target = held.target.as_ref();
        target.and_then(|t| b.fleet.expected_version(now, replica, t))
    };
    let headers = request.headers_mut();
    *headers = held.headers.clone();
    let sending = ForwardHeaders {
        timeout: Duration::from_micros(held.deadline.since(now).0),
        replica,
        version,
        resume_after: resume_at,
        organisation: held.caller.organisation.as_ref(),
    };
    (node.codec.set_headers)(headers, &sending);
    request
}

/// Takes out the headers that concern only one connection.
pub(in crate::serving) fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE] {
        headers.remove(name);
    }
    for name in [
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
    ] {
        headers.remove(name);
    }
}

/// Takes out what the connection to a replica sets by itself.
pub(in crate::serving) fn strip_request_headers(headers: &mut HeaderMap) {
    strip_hop_headers(headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove("expect");
}
