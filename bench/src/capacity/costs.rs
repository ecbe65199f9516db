//! Each cost at one size, by the programs' own code.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::hint::black_box;
use std::time::Instant;

use banyangauge::catalog::Catalog;
use banyangauge::catalog::Change;
use banyangauge::catalog::ChangeSet;
use banyangauge::catalog::PoolKind;
use banyangauge::catalog::PoolSpec;
use banyangauge::claims::ClaimKey;
use banyangauge::claims::Segment;
use banyangauge::claims::State;
use banyangauge::control::Members;
use banyangauge::ids::FencingToken;
use banyangauge::ids::Revision;
use banyangauge::lease::Record;
use banyangauge::pool::Moment;
use banyangauge::pool::Objective;
use banyangauge::pool::Span;
use banyangauge::upstream::ExpectedIdentity;
use banyangauge::upstream::StreamChecker;
use banyangauge_proto as wire;
use prost::Message;

pub(super) fn catalog(adapters: usize) -> Catalog {
    let mut changes = Vec::new();
    let parse = |s: String| s.parse().ok();
    let (Some(pool), Ok(owner)) = (parse("pool-0".to_owned()), "team-0".parse()) else {
        return Catalog::default();
    };
    changes.push(Change::PutTeam {
        team: owner,
        keys: BTreeSet::from(["0".repeat(64)]),
        share: 1,
    });
    changes.push(Change::PutPool {
        pool,
        spec: PoolSpec {
            kind: PoolKind::Engine {
                base: "base".to_owned(),
                honours_token: true,
                weighing: Objective::Stalls,
                loads_per_s: 3.0,
                step_us: 5_500,
            },
            replicas: Vec::new(),
        },
    });
    for i in 0..adapters {
        changes.extend(adapter_changes(i).into_iter().flatten());
    }
    let mut catalog = Catalog::default();
    // The changes are this function's own and keep the rules.
    let _ = catalog.apply(&changes);
    catalog
}

fn adapter_changes(i: usize) -> Option<[Change; 3]> {
    let adapter: banyangauge::ids::AdapterName = format!("adapter-{i:05}").parse().ok()?;
    let team: banyangauge::ids::TeamName = "team-0".parse().ok()?;
    Some([
        Change::CreateAdapter {
            adapter: adapter.clone(),
            owner: team.clone(),
            pool: "pool-0".parse().ok()?,
        },
        Change::AddVersion {
            adapter: adapter.clone(),
            version: 1,
        },
        Change::Serve {
            team,
            adapter,
            version: 1,
        },
    ])
}

/// The process's memory, in bytes.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text
        .split(' ')
        .nth(1)
        .and_then(|p| p.parse().ok())
        .unwrap_or(0.0);
    pages * rustix::param::page_size() as f64
}

/// Copies that are made at once, to stand out from the allocator's grain.
const COPIES: usize = 8;

pub(super) fn resident(adapters: usize) -> f64 {
    let json = serde_json::to_vec(&catalog(adapters)).unwrap_or_default();
    let before = resident_bytes();
    let copies: Vec<Catalog> = (0..COPIES)
        .filter_map(|_| serde_json::from_slice(&json).ok())
        .collect();
    let bytes = resident_bytes() - before;
    // Never freed: a later copy would use the room of an earlier one and seem
    // to cost nothing.
    bytes / Vec::leak(copies).len().max(1) as f64 / adapters as f64
}

pub(super) fn apply_us(adapters: usize) -> f64 {
    const CHANGES: u32 = 50;
    let mut catalog = catalog(adapters);
    let start = Instant::now();
    for i in 0..CHANGES {
        let Some([_, _, serve]) = adapter_changes(i as usize * 31 % adapters) else {
            continue;
        };
        let before = catalog.clone();
        let _ = catalog.apply(&[serve]);
        black_box(&before);
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(CHANGES)
}

pub(super) fn decode_us(adapters: usize) -> f64 {
    let json = serde_json::to_vec(&catalog(adapters)).unwrap_or_default();
    let start = Instant::now();
    let read = serde_json::from_slice::<Catalog>(&json);
    let us = start.elapsed().as_secs_f64() * 1e6;
    black_box(read.is_ok());
    us / adapters as f64
}

pub(super) fn delta(changes: usize) -> f64 {
    let all: Vec<_> = (0..changes)
        .filter_map(adapter_changes)
        .map(|[_, _, serve]| serve)
        .collect();
    let set = ChangeSet {
        revision: Revision(1),
        operation: "0123456789abcdef".to_owned(),
        operator: "operator".to_owned(),
        changes: all,
    };
    let message = wire::Delta {
        revision: 1,
        changes: serde_json::to_vec(&set).unwrap_or_default().into(),
    };
    message.encoded_len() as f64 / changes as f64
}

fn member(i: usize) -> wire::Member {
    wire::Member {
        vm: format!("vm-{i:04}"),
        address: format!("10.1.{}.{}:7001", i / 250, i % 250),
        zone: format!("zone-{}", i % 16),
        incarnation: 1_700_000_000_000_000 + i as u64,
        heartbeat: 10_000 + i as u64,
        state: 0,
        revision: 7_600,
    }
}

// As in steady operation: everybody has been known for long and the reader's
// own digest was not seen.
pub(super) fn digest(members: usize) -> f64 {
    let (start, late) = (Moment(1), Moment(3_600_000_000));
    let limit = Span::from_millis(10_000_000);
    let Ok(mut table) = Members::new(start, member(0), limit, limit) else {
        return 0.0;
    };
    let all: Vec<_> = (1..members).map(member).collect();
    table.merge(start, &all);
    let message = wire::Digest {
        vm: "vm-0000".to_owned(),
        revision: 7_600,
        members: table.digest(late, false, &[]),
        ..wire::Digest::default()
    };
    message.encoded_len() as f64
}

pub(super) fn token_us(tokens: usize) -> f64 {
    const PIECES: u64 = 5_000;
    let expected = ExpectedIdentity {
        request: "661acd35baf3b-40".to_owned(),
        model: "adapter-00042@1".to_owned(),
        incarnation: 1,
    };
    let mut checker = StreamChecker::default();
    let pieces: Vec<String> = (0..PIECES)
        .map(|p| {
            let mut piece = String::new();
            for t in 0..tokens as u64 {
                let index = p * tokens as u64 + t;
                let _ = write!(
                    piece,
                    "data: {{\"id\":\"{}\",\"model\":\"{}\",\"token_index\":{index},\
                     \"choices\":[{{\"index\":0,\"text\":\"word \",\"finish_reason\":null}}]}}\n\n",
                    expected.request, expected.model
                );
            }
            piece
        })
        .collect();
    let start = Instant::now();
    for piece in &pieces {
        let _ = black_box(checker.check(piece.as_bytes(), &expected));
    }
    start.elapsed().as_secs_f64() * 1e6 / (PIECES * tokens as u64) as f64
}

pub(super) fn claim_bytes(claims: usize) -> f64 {
    let segment = Segment {
        token: FencingToken(7),
        number: 3,
        operation: "0123456789abcdef".to_owned(),
        claims: (0..claims)
            .map(|i| (ClaimKey::new(&format!("team/key-{i}")), State::Answered))
            .collect(),
    };
    let json = serde_json::to_vec(&segment).unwrap_or_default();
    json.len() as f64 / claims as f64
}

pub(super) fn lease_bytes(entries: usize) -> f64 {
    let (Ok(holder), Ok(address)) = ("vm-0001".parse(), "10.1.0.1:7001".parse()) else {
        return 0.0;
    };
    let names = (0..entries).map(|i| format!("vm-{i:04}/1700000000000000"));
    let record = Record {
        holder,
        address,
        incarnation: banyangauge::ids::Incarnation(1_700_000_000_000_000),
        token: FencingToken(7),
        ttl_ms: 3_000,
        released: false,
        granted_ttl: 10_000,
        unsettled: false,
        operation: "0123456789abcdef".to_owned(),
        entries: (entries > 0).then(|| names.collect()),
    };
    serde_json::to_vec(&record).unwrap_or_default().len() as f64
}

pub(super) fn usage_bytes(rows: usize) -> f64 {
    let counts = (0..rows).map(|i| wire::UsageCount {
        team: format!("team-{}", i % 100),
        adapter: format!("adapter-{i:05}"),
        version: 1,
        requests: 1_000,
        prompt_tokens: 20_000,
        output_tokens: 100_000,
    });
    let report = wire::UsageReport {
        vm: "vm-0001".to_owned(),
        incarnation: 1_700_000_000_000_000,
        sequence: 1,
        counts: counts.collect(),
    };
    report.encoded_len() as f64 / rows as f64
}

pub(super) fn grant_bytes(avoided: usize) -> f64 {
    let acquire = wire::Acquire {
        request: 1_000_000,
        team: "residents".to_owned(),
        adapter: "adapter-00042".to_owned(),
        version: 1,
        deadline_ms: 30_000,
        prompt_tokens: 20,
        max_tokens: 100,
        prefix: u64::MAX,
        idempotent: true,
        fingerprint: u64::MAX,
        avoid: (0..avoided).map(|i| format!("replica-{i:04}")).collect(),
        ..wire::Acquire::default()
    };
    let grant = wire::Grant {
        request: 1_000_000,
        grant: 7_000_000,
        replica: "replica-0042".to_owned(),
        address: "10.2.0.1:8000".to_owned(),
        incarnation: 1_700_000_000_000_000,
        adapter: "adapter-00042".to_owned(),
        version: 1,
        token: 7,
        ttl_ms: 10_000,
        team: "residents".to_owned(),
        fingerprint: u64::MAX,
        max_tokens: 100,
        ..wire::Grant::default()
    };
    let release = wire::Release {
        request: 1_000_000,
        grant: 7_000_000,
        tokens: 100,
        first_ms: 20,
        total_ms: 600,
        seen: 1_700_000_000_000_000,
        ..wire::Release::default()
    };
    (acquire.encoded_len() + grant.encoded_len() + release.encoded_len()) as f64
}

// A load report as the wire page gives it, with the heads of a kept connection.
pub(super) fn poll_bytes(slots: usize) -> f64 {
    let loaded: Vec<_> = (0..slots).map(|i| format!("adapter-{i:05}@1")).collect();
    let report = serde_json::json!({"incarnation": 1_700_000_000_000_000_u64, "age_ms": 120,
        "running": 12, "waiting": 3, "slots": slots, "batch": 16, "loaded": loaded,
        "leaving": false, "steps": 1_000_000, "step_requests": 12_000_000});
    let body = report.to_string();
    let ask = "GET /load HTTP/1.1\r\nhost: 10.2.0.1:8000\r\n\r\n";
    let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 000\r\n\
                date: Wed, 02 Dec 2026 00:00:00 GMT\r\n\r\n";
    (ask.len() + head.len() + body.len()) as f64
}
