//! Plain-text output of `banyan`, as tables with aligned columns.

use std::collections::BTreeMap;
use std::fmt::Write;

use banyangauge_proto as wire;

use super::TimelineEvent;
use crate::catalog::Catalog;
use crate::catalog::Plan;

/// Separator between columns.
const SEPARATOR: &str = "  ";

/// Renders a table; each column is as wide as its widest cell.
///
/// ```
/// let text = banyangauge::operator::table(&["pool", "n"], &[vec!["a".into(), "10".into()]]);
/// assert_eq!(text, "pool  n\na     10\n");
/// ```
pub fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<_> = head.iter().map(|h| h.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = table_row(&widths, head.iter().copied());
    for row in rows {
        text += &table_row(&widths, row.iter().map(String::as_str));
    }
    text
}

fn table_row<'a>(widths: &[usize], cells: impl Iterator<Item = &'a str>) -> String {
    let padded: Vec<_> = widths
        .iter()
        .zip(cells)
        .map(|(width, cell)| format!("{:<width$}", replace_control(cell)))
        .collect();
    let mut text = padded.join(SEPARATOR).trim_end().to_owned();
    text.push('\n');
    text
}

/// Replaces control characters, with which a value could send escape sequences
/// to the terminal.
fn replace_control(cell: &str) -> String {
    cell.chars()
        .map(|c| if c.is_control() { '\u{fffd}' } else { c })
        .collect()
}

/// Renders a plan: its changes, the teams they affect, and the adapter loads and
/// slots they cost.
pub fn plan_text(plan: &Plan) -> String {
    let rows: Vec<_> = plan
        .effects
        .iter()
        .map(|e| {
            let teams: Vec<_> = e.teams.iter().map(ToString::to_string).collect();
            vec![
                e.text.clone(),
                or_dash(teams.join(" ")),
                or_dash(e.pool.as_ref().map(ToString::to_string).unwrap_or_default()),
                e.loads.to_string(),
                e.slots.to_string(),
            ]
        })
        .collect();
    let mut text = format!("operation {} on revision {}\n", plan.operation, plan.base.0);
    text += &table(&["change", "teams", "pool", "loads", "slots"], &rows);
    // Writing to a `String` cannot fail.
    let _ = writeln!(
        text,
        "total: at least {} loads and {} slots; nothing changes until the plan is confirmed",
        plan.loads(),
        plan.slots()
    );
    text
}

/// Returns `text`, or a dash in place of an empty cell.
fn or_dash(text: String) -> String {
    match text.is_empty() {
        true => "-".to_owned(),
        false => text,
    }
}

/// Names of the values of `Member.state`.
const MEMBER_STATES: [&str; 4] = ["live", "suspect", "leaving", "gone"];

/// Renders the status of one control process: the VMs with their active
/// revisions, and the owner of each pool.
pub fn status_text(status: &wire::StatusReply) -> String {
    let platform = match status.platform_up {
        true => "up",
        false => "down",
    };
    let mut text = format!(
        "{}: revision {}, platform {platform}\n\n",
        status.vm, status.revision
    );
    let members: Vec<_> = status
        .members
        .iter()
        .map(|m| {
            let state = MEMBER_STATES.get(m.state as usize).copied().unwrap_or("?");
            vec![
                m.vm.clone(),
                m.zone.clone(),
                m.address.clone(),
                state.to_owned(),
                m.revision.to_string(),
                revision_lag(status.revision, m.revision),
            ]
        })
        .collect();
    text += &table(
        &["vm", "zone", "address", "state", "revision", ""],
        &members,
    );
    let owners: Vec<_> = status
        .owners
        .iter()
        .map(|o| vec![o.pool.clone(), o.vm.clone(), o.token.to_string()])
        .collect();
    text.push('\n');
    text += &table(&["pool", "owner", "token"], &owners);
    text
}

/// Describes how many revisions a member lags; empty when it is up to date.
fn revision_lag(ours: u64, theirs: u64) -> String {
    match ours.checked_sub(theirs) {
        Some(0) | None => String::new(),
        Some(n) => format!("{n} behind"),
    }
}

/// Renders adapters with their versions and the teams they are served to.
pub fn adapters_text(catalog: &Catalog) -> String {
    let rows: Vec<_> = catalog
        .adapters
        .iter()
        .map(|(name, a)| {
            let versions: Vec<_> = a.versions.iter().map(ToString::to_string).collect();
            let serving: Vec<_> = a.serving.iter().map(|(t, v)| format!("{t}@{v}")).collect();
            vec![
                name.to_string(),
                a.owner.to_string(),
                a.pool.to_string(),
                or_dash(versions.join(" ")),
                or_dash(serving.join(" ")),
            ]
        })
        .collect();
    table(&["adapter", "owner", "pool", "versions", "served"], &rows)
}

/// Renders pools and their replicas.
pub fn pools_text(pools: &[wire::PoolStatus]) -> String {
    let rows: Vec<_> = pools
        .iter()
        .map(|p| {
            vec![
                p.pool.clone(),
                p.owner.clone(),
                p.token.to_string(),
                p.queued.to_string(),
                p.granted.to_string(),
                p.loads.to_string(),
                p.stalls.to_string(),
            ]
        })
        .collect();
    let head = [
        "pool", "owner", "token", "queued", "granted", "loads", "stalls",
    ];
    let mut text = table(&head, &rows);
    let replicas: Vec<_> = pools
        .iter()
        .flat_map(|p| p.replicas.iter().map(move |r| replica_row(p, r)))
        .collect();
    text.push('\n');
    let head = [
        "pool",
        "replica",
        "address",
        "state",
        "outstanding",
        "loaded",
        "loading",
    ];
    text += &table(&head, &replicas);
    text
}

fn replica_row(pool: &wire::PoolStatus, replica: &wire::ReplicaStatus) -> Vec<String> {
    vec![
        pool.pool.clone(),
        replica.replica.clone(),
        replica.address.clone(),
        replica.state.clone(),
        replica.outstanding.to_string(),
        or_dash(replica.loaded.join(" ")),
        or_dash(replica.loading.join(" ")),
    ]
}

/// Renders usage by team and adapter version, with a total per team.
pub fn usage_text(counts: &[wire::UsageCount]) -> String {
    let mut totals: BTreeMap<&str, [u64; 3]> = BTreeMap::new();
    let mut rows = Vec::new();
    for c in counts {
        let total = totals.entry(&c.team).or_default();
        total[0] += c.requests;
        total[1] += c.prompt_tokens;
        total[2] += c.output_tokens;
        let name = match c.version {
            0 => c.adapter.clone(),
            v => format!("{}@{v}", c.adapter),
        };
        let values = [c.requests, c.prompt_tokens, c.output_tokens];
        rows.push(usage_row(&c.team, name, values));
    }
    for (team, values) in totals {
        rows.push(usage_row(team, "all".to_owned(), values));
    }
    let head = ["team", "adapter", "requests", "prompt", "output"];
    table(&head, &rows)
}

fn usage_row(team: &str, name: String, values: [u64; 3]) -> Vec<String> {
    let mut row = vec![team.to_owned(), name];
    row.extend(values.iter().map(ToString::to_string));
    row
}

/// Renders a merged timeline, with times in milliseconds since its first event.
pub fn timeline_text(events: &[TimelineEvent]) -> String {
    let rows: Vec<_> = events
        .iter()
        .map(|t| {
            let e = &t.event;
            vec![
                format!("{:.3}", t.offset_ms),
                e.process.clone(),
                e.kind.clone(),
                e.request.clone(),
                e.adapter.clone(),
                e.upstream.clone(),
                e.pool.clone(),
                e.detail.clone(),
            ]
        })
        .collect();
    let head = [
        "ms", "process", "event", "request", "adapter", "upstream", "pool", "detail",
    ];
    table(&head, &rows)
}
