//! What VMs tell each other of replicas that crashed, and of what is blocked for it.

use std::collections::BTreeMap;

use banyangauge_proto as wire;

use crate::ids::Fingerprint;
use crate::ids::VmName;
use crate::pool::Moment;
use crate::pool::Span;
use crate::serving::cluster::state::NodeState;
use crate::serving::decisions::crash_tracker::BrokenRun;
use crate::serving::decisions::crash_tracker::Completion;
use crate::serving::decisions::crash_tracker::Feature;
use crate::serving::peers::beacons::parse_instance;
use crate::serving::program::node::Node;
use crate::serving::store::blocks::log_lifted;

/// Returns the report for a beacon that is built now; `None` if there is nothing to tell.
pub(in crate::serving) fn encode_report(
    state: &NodeState,
    now: Moment,
) -> Option<wire::CrashReport> {
    let report = state.crash_tracker.report(now);
    let age = |at: Moment| now.since(at).0;
    let crashes = report
        .crashes
        .iter()
        .map(|(replica, at, runs)| wire::CrashNote {
            replica: replica.name.to_string(),
            born: replica.started_ms,
            age_us: age(*at),
            runs: runs.iter().map(|run| encode_run(run, *at)).collect(),
        });
    let alive = report.alive.iter().map(|(replica, at)| wire::AliveNote {
        replica: replica.name.to_string(),
        born: replica.started_ms,
        age_us: age(*at),
    });
    let note = |feature: &Feature, at: Moment| wire::FeatureNote {
        number: feature.number(),
        is_part: feature.is_part(),
        age_us: age(at),
        ..Default::default()
    };
    let completed = report.completed.iter();
    let completed = completed.map(|(f, run)| wire::FeatureNote {
        since_us: age(run.sent),
        ..note(f, run.end)
    });
    let begun = report.begun.iter().map(|(f, sent)| note(f, *sent));
    let half_open = report.half_open.iter().map(|(f, last)| note(f, *last));
    let trials: BTreeMap<_, _> = report.trials.iter().copied().collect();
    let blocked = report
        .blocks
        .iter()
        .map(|(f, since, hit)| wire::FeatureNote {
            since_us: age(*since),
            trial_us: trials.get(f).map_or(0, |trial| trial.since(now).0),
            ..note(f, *hit)
        });
    (!report.is_empty()).then(|| wire::CrashReport {
        crashes: crashes.collect(),
        alive: alive.collect(),
        completed: completed.collect(),
        blocked: blocked.collect(),
        begun: begun.collect(),
        half_open: half_open.collect(),
    })
}

fn encode_run(run: &BrokenRun, crashed: Moment) -> wire::BrokenRun {
    let (parts, requests): (Vec<_>, Vec<_>) = run.features.iter().partition(|f| f.is_part());
    let numbers = |features: Vec<&Feature>| features.iter().map(|f| f.number()).collect();
    wire::BrokenRun {
        ran_us: crashed.since(run.sent).0,
        requests: numbers(requests),
        parts: numbers(parts),
    }
}

/// Applies the report in a beacon of another VM that was built at `built`, on this VM's clock.
pub(in crate::serving) fn apply_report(
    node: &Node,
    state: &mut NodeState,
    now: Moment,
    built: Moment,
    vm: &VmName,
    report: &wire::CrashReport,
) {
    let ago = |us: u64| Moment(built.0.saturating_sub(us));
    let tracker = &mut state.crash_tracker;
    for note in &report.alive {
        if let Some(replica) = parse_instance(&note.replica, note.born) {
            tracker.learn_alive(vm, &replica, ago(note.age_us));
        }
    }
    for note in &report.completed {
        let end = ago(note.age_us);
        // A VM of an earlier build does not tell when the run was sent.
        let sent = if note.since_us > 0 {
            ago(note.since_us)
        } else {
            end
        };
        if tracker.learn_completion(decode_feature(note), Completion { sent, end }) {
            log_lifted(node, decode_feature(note), vm.as_str());
        }
    }
    for note in &report.begun {
        tracker.learn_begun(now, ago(note.age_us), decode_feature(note));
    }
    for note in &report.half_open {
        tracker.learn_half_open(now, ago(note.age_us), decode_feature(note));
    }
    for note in &report.crashes {
        let at = ago(note.age_us);
        if let Some(replica) = parse_instance(&note.replica, note.born) {
            let runs = note.runs.iter().map(|run| decode_run(run, at));
            tracker.learn(now, vm, &replica, at, runs.collect());
        }
    }
    for note in &report.blocked {
        let (feature, since, hit) = (decode_feature(note), ago(note.since_us), ago(note.age_us));
        let is_new = tracker.learn_block(since, hit, feature);
        // A VM of an earlier build does not tell when.
        if note.trial_us > 0 {
            tracker.learn_trial(feature, built.after(Span(note.trial_us)));
        }
        if is_new {
            slog::warn!(node.log, "requests blocked that crash their replicas";
                "feature" => %feature, "told_by" => vm.as_str());
            node.blocks_wake.notify_one();
        }
    }
    node.crash_wake.notify_one();
}

fn decode_run(run: &wire::BrokenRun, crashed: Moment) -> BrokenRun {
    let requests = run
        .requests
        .iter()
        .map(|hash| Feature::Request(Fingerprint(*hash)));
    let parts = run.parts.iter().copied().map(Feature::PromptPart);
    BrokenRun {
        sent: Moment(crashed.0.saturating_sub(run.ran_us)),
        features: requests.chain(parts).collect(),
    }
}

fn decode_feature(note: &wire::FeatureNote) -> Feature {
    match note.is_part {
        true => Feature::PromptPart(note.number),
        false => Feature::Request(Fingerprint(note.number)),
    }
}
