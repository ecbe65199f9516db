//! What VMs tell and ask each other about the builds that began streams.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use banyangauge_proto as wire;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use wire::datagram::Body;
use wire::stream_answer::Basis;

use crate::ids::BuildName;
use crate::ids::ServiceName;
use crate::ids::VmName;
use crate::pool::Span;
use crate::serving::cluster::state::NodeState;
use crate::serving::decisions::stream_builds::Answer;
use crate::serving::decisions::stream_builds::KeptStream;
use crate::serving::decisions::stream_builds::Origin;
use crate::serving::decisions::stream_builds::StreamGroup;
use crate::serving::decisions::stream_builds::StreamId;
use crate::serving::program::node::Node;
use crate::serving::program::node::now;
use crate::serving::store::streams;
use crate::serving::store::streams::Proven;

/// Number of VMs that are told of a stream that begins.
const TOLD_VMS: usize = 3;

/// Number of VMs that are asked about a stream: more than are told, as some may have failed
/// since.
const ASKED_VMS: usize = 8;

/// Timeouts for the first VM that keeps a stream, and for the next one.
const KEEP_TIMEOUTS: [Duration; 2] = [Duration::from_millis(250), Duration::from_millis(400)];

/// Timeout for the answers. The caller of a resumed stream waits for them.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// The build that began a stream, and on what that rests.
#[derive(Debug, Default)]
pub(in crate::serving) struct Finding {
    /// The build; `None` if it is not certain.
    pub(in crate::serving) build: Option<BuildName>,
    /// Who knew it.
    pub(in crate::serving) by: Option<&'static str>,
    /// The number of VMs that answered, this one included; none is asked if this one knows.
    pub(in crate::serving) answers: usize,
    /// The time since this VM knew all listed replicas, as of the question.
    pub(in crate::serving) replicas_age: Option<Span>,
    /// The same for the ledger of builds.
    pub(in crate::serving) ledger_age: Option<Span>,
}

/// Returns the build that began a stream of a service. `stream` is `None` if the caller does not
/// name it.
pub(in crate::serving) async fn find_build(
    node: &Node,
    stream: Option<StreamId>,
    service: &ServiceName,
) -> Finding {
    let asked = now();
    let (own, ages) = {
        let state = node.state();
        let builds = &state.stream_builds;
        (
            builds.origin(asked, stream, service),
            builds.proof_ages(asked),
        )
    };
    let mut finding = Finding {
        replicas_age: ages.0,
        ledger_age: ages.1,
        ..Finding::default()
    };
    let found = if let Origin::Recorded(build) = own {
        Some((build, "vm"))
    } else {
        let (answers, vms) = ask(node, stream, service, own).await;
        finding.answers = answers.len();
        match Answer::agree(&answers) {
            Some(build) => Some((build, "vms")),
            None => match streams::find_build(node, asked, stream, service).await {
                Proven::Build(build) => Some((build, "store")),
                Proven::Several => None,
                Proven::Nothing => {
                    let presumed = Answer::presume(&answers, vms);
                    presumed.map(|build| (build, "all_vms"))
                }
            },
        }
    };
    (finding.build, finding.by) = found.unzip();
    finding
}

/// Asks the VMs that may know a stream. Returns their answers and `own`, that of this VM, and the
/// number of VMs of the fleet; all have answered that do if none of them knows the stream.
async fn ask(
    node: &Node,
    stream: Option<StreamId>,
    service: &ServiceName,
    own: Origin,
) -> (Vec<Answer>, usize) {
    let key = stream.map_or(0, |s| s.0);
    let mut answers = Vec::new();
    let mut asked = Vec::new();
    let fleet = {
        let state = node.state();
        let vms = state.members.ordered(key, &node.settings.zone);
        let own_place = vms.iter().position(|vm| **vm == node.settings.vm);
        answers.push(Answer {
            origin: own,
            would_know: own_place.is_some_and(would_know),
        });
        for (place, vm) in vms.into_iter().enumerate().take(ASKED_VMS) {
            let address = state.members.address(vm);
            asked.extend(address.map(|address| (place, address)));
        }
        // Before the entries of VMs were read, there may be any number of them.
        state.members.listed_count().unwrap_or(usize::MAX)
    };
    let calls = asked.into_iter().map(|(place, address)| async move {
        let number = node.next_id();
        let call = node.build_calls.register(number);
        let ask = wire::StreamAsk {
            vm: node.settings.vm.to_string(),
            number,
            service: service.to_string(),
            stream: key,
        };
        node.send_message(Body::StreamAsk(ask), address).await;
        Some(Answer {
            origin: decode_answer(&call.wait(ANSWER_TIMEOUT).await?)?,
            would_know: would_know(place),
        })
    });
    let mut calls: FuturesUnordered<_> = calls.collect();
    while let Some(answer) = calls.next().await {
        let found = answer.as_ref().map(|a| &a.origin);
        let found = matches!(found, Some(Origin::Recorded(_)));
        answers.extend(answer);
        if found {
            break;
        }
    }
    (answers, fleet)
}

/// Whether the VM at this place of a stream's order is told of the stream. The one that began
/// it may be among the first, and tells those after it.
fn would_know(place: usize) -> bool {
    place <= TOLD_VMS
}

/// Records that a stream began, or went on, at a build, and tells other VMs if need be.
pub(in crate::serving) async fn record_began(
    node: &Node,
    stream: StreamId,
    service: &ServiceName,
    build: &BuildName,
) {
    let addresses = {
        let mut state = node.state();
        match state.stream_builds.begin(now(), stream, service, build) {
            true => told_vms(node, &state, stream),
            false => Vec::new(),
        }
    };
    for address in addresses {
        tell(node, service, build, vec![stream.0], address).await;
    }
}

/// Whether the store keeps a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::serving) enum Kept {
    Yes,
    /// It does not, and will not.
    No,
    /// No VM answered in time; it may be kept later.
    Unknown,
}

/// Has the store keep that a stream begins at a build. If it does not, streams begin only at
/// builds that need not be kept for a while.
pub(in crate::serving) async fn keep(
    node: &Node,
    stream: StreamId,
    service: &ServiceName,
    build: &BuildName,
) -> Kept {
    let mut kept = Kept::Unknown;
    for (place, timeout) in KEEP_TIMEOUTS.into_iter().enumerate() {
        let number = node.next_id();
        let call = node.keep_calls.register(number);
        match keeper(node, stream, place) {
            Keeper::Own => add_kept(node, stream, service, build, &node.settings.vm, number),
            Keeper::Peer(address) => {
                let note = wire::StreamNote {
                    service: service.to_string(),
                    build: build.to_string(),
                    streams: vec![stream.0],
                    number,
                    vm: node.settings.vm.to_string(),
                };
                node.send_message(Body::StreamNote(note), address).await;
            }
            Keeper::None => break,
        }
        match call.wait(timeout).await {
            Some(true) => return Kept::Yes,
            // The VM before may keep it after all.
            Some(false) if place > 0 => break,
            Some(false) => {
                kept = Kept::No;
                break;
            }
            None => {}
        }
    }
    slog::info!(node.log, "stream not kept"; "service" => service.as_str(),
        "build" => build.as_str(), "certain" => kept == Kept::No);
    metrics::counter!("serve_streams_not_kept_total").increment(1);
    node.state().keep_failed = Some(now());
    kept
}

/// The VM that keeps a stream.
enum Keeper {
    Own,
    Peer(SocketAddr),
    None,
}

/// Returns the live VM at this place of the order in which VMs keep a stream.
fn keeper(node: &Node, stream: StreamId, place: usize) -> Keeper {
    let state = node.state();
    let at = now();
    let group = StreamGroup::of(stream, state.members.listed_count().unwrap_or(1));
    let vms = state.members.ordered(group.seed(), &node.settings.zone);
    let mut live = vms.into_iter().filter(|vm| {
        **vm == node.settings.vm || state.members.is_live(at, vm) && !state.members.is_stopping(vm)
    });
    match live.nth(place) {
        Some(vm) if *vm == node.settings.vm => Keeper::Own,
        Some(vm) => state.members.address(vm).map_or(Keeper::None, Keeper::Peer),
        None => Keeper::None,
    }
}

/// Adds a stream to those that this VM keeps in the store.
fn add_kept(
    node: &Node,
    stream: StreamId,
    service: &ServiceName,
    build: &BuildName,
    waiter: &VmName,
    number: u64,
) {
    let mut state = node.state();
    let group = StreamGroup::of(stream, state.members.listed_count().unwrap_or(1));
    let kept = state.kept_streams.entry(group).or_default();
    kept.add(KeptStream {
        id: stream,
        service: service.clone(),
        build: build.clone(),
        waiter: (waiter.clone(), number),
    });
    node.streams_wake.notify_one();
}

/// Tells another VM of streams that began at a build.
async fn tell(
    node: &Node,
    service: &ServiceName,
    build: &BuildName,
    streams: Vec<u64>,
    address: SocketAddr,
) {
    let note = wire::StreamNote {
        service: service.to_string(),
        build: build.to_string(),
        streams,
        ..wire::StreamNote::default()
    };
    node.send_message(Body::StreamNote(note), address).await;
}

/// Returns the addresses of the VMs that are told of a stream.
fn told_vms(node: &Node, state: &NodeState, stream: StreamId) -> Vec<SocketAddr> {
    let at = now();
    let vms = state.members.ordered(stream.0, &node.settings.zone);
    let live = vms
        .into_iter()
        .filter(|vm| **vm != node.settings.vm && state.members.is_live(at, vm));
    let live = live.filter_map(|vm| state.members.address(vm));
    live.take(TOLD_VMS).collect()
}

/// Tells other VMs of the streams that began at this one while there was a single build, if
/// there are several now.
pub(in crate::serving) async fn tell_untold(node: &Node) {
    let notes = {
        let mut state = node.state();
        let untold = state.stream_builds.take_untold(now());
        let mut notes: BTreeMap<_, Vec<u64>> = BTreeMap::new();
        for (stream, service, build) in untold {
            for address in told_vms(node, &state, stream) {
                let key = (address, service.clone(), build.clone());
                notes.entry(key).or_default().push(stream.0);
            }
        }
        notes
    };
    for ((address, service, build), streams) in notes {
        tell(node, &service, &build, streams, address).await;
    }
}

/// Records the streams that another VM tells of, and keeps them if it waits for that.
pub(in crate::serving) fn handle_note(node: &Node, note: &wire::StreamNote) {
    let (Ok(service), Ok(build)) = (note.service.parse(), note.build.parse()) else {
        return;
    };
    let waiter = note.vm.parse::<VmName>().ok().filter(|_| note.number > 0);
    for stream in &note.streams {
        let stream = StreamId(*stream);
        match &waiter {
            Some(vm) => add_kept(node, stream, &service, &build, vm, note.number),
            None => {
                let mut state = node.state();
                state.stream_builds.learn(now(), stream, &service, &build);
            }
        }
    }
}

/// Answers another VM that asks about a stream.
pub(in crate::serving) async fn handle_ask(node: &Node, ask: &wire::StreamAsk) {
    let (Ok(vm), Ok(service)) = (ask.vm.parse::<VmName>(), ask.service.parse()) else {
        return;
    };
    let (origin, address) = {
        let state = node.state();
        let stream = Some(StreamId(ask.stream)).filter(|s| s.0 != 0);
        let origin = state.stream_builds.origin(now(), stream, &service);
        (origin, state.members.address(&vm))
    };
    let Some(address) = address else {
        return;
    };
    let answer = encode_answer(ask.number, &origin);
    node.send_message(Body::StreamAnswer(answer), address).await;
}

fn encode_answer(number: u64, origin: &Origin) -> wire::StreamAnswer {
    let (basis, build) = match origin {
        Origin::Recorded(build) => (Basis::Recorded, build.as_str()),
        Origin::Sole(build) => (Basis::Sole, build.as_str()),
        Origin::Presumed(build) => (Basis::Presumed, build.as_str()),
        Origin::Several => (Basis::Several, ""),
        Origin::Unknown => (Basis::Unknown, ""),
    };
    wire::StreamAnswer {
        number,
        basis: basis.into(),
        build: build.to_owned(),
    }
}

fn decode_answer(answer: &wire::StreamAnswer) -> Option<Origin> {
    let build = || answer.build.parse().ok();
    match answer.basis() {
        Basis::Recorded => Some(Origin::Recorded(build()?)),
        Basis::Sole => Some(Origin::Sole(build()?)),
        Basis::Presumed => Some(Origin::Presumed(build()?)),
        Basis::Several => Some(Origin::Several),
        Basis::Unknown => Some(Origin::Unknown),
    }
}
