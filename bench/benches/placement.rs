//! What it costs to choose a replica in a large fleet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hint::black_box;
use std::time::Duration;

use banyangauge::ids::ModelName;
use banyangauge::ids::ReplicaName;
use banyangauge::ids::ServiceName;
use banyangauge::ids::VmName;
use banyangauge::pool::Moment;
use banyangauge::pool::Span;
use banyangauge::serving::*;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;

/// Replicas, adapters that each holds, and the other VMs.
const REPLICAS: usize = 140;
const ADAPTERS: usize = 6;
const VMS: usize = 70;

/// Replicas at which one VM has requests under way.
const USED: usize = 30;

const NOW: Moment = Moment(10_000_000);

fn name(i: usize) -> Option<ReplicaName> {
    format!("i-{i}").parse().ok()
}

fn config(service: &ServiceName, model: &ModelName) -> Config {
    let engine = Engine {
        slots: 64,
        kv_tokens: 265_000,
        adapter_slots: ADAPTERS as u32,
        event_tokens: 8,
        models: BTreeMap::from([(model.clone(), 10_000)]),
        load_rate: 40.0,
    };
    let service = Service {
        name: service.clone(),
        connections: 750,
        health_path: None,
        engine: Some(engine),
    };
    Config {
        version: 1,
        routes: Vec::new(),
        services: BTreeMap::from([(service.name.clone(), service)]),
        limits: Limits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
        organisations: None,
    }
}

fn fleet(service: &ServiceName, model: &ModelName) -> Option<Fleet> {
    let mut fleet = Fleet::new("z-0".parse().ok()?);
    fleet.configure(&config(service, model));
    for i in 0..REPLICAS {
        let held = (0..ADAPTERS).filter_map(|a| {
            let target = Target::parse(&format!("{model}/a{}", i * ADAPTERS + a))?;
            Some((target, 1))
        });
        fleet.apply_listing(ReplicaInfo {
            name: name(i)?,
            started_ms: 0,
            service: service.clone(),
            address: ([127, 0, 0, 1], 1_024 + i as u16).into(),
            zone: format!("z-{}", i % 4).parse().ok()?,
            build: "v1".parse().ok()?,
            slots: 64,
            draining: false,
            models: BTreeSet::from([model.clone()]),
            adapters: held.collect(),
        });
    }
    for vm in 0..VMS {
        let used = (0..USED).filter_map(|i| name((vm * 7 + i * 3) % REPLICAS));
        let load = Load {
            requests: 1,
            tokens: 2_000,
            prefill: 0,
        };
        let counts = used.map(|name| (name, load)).collect();
        let vm: VmName = format!("vm-{vm}").parse().ok()?;
        fleet.apply_peer_loads(NOW, &vm, &counts);
    }
    Some(fleet)
}

fn place(c: &mut Criterion) {
    let (Ok(service), Ok(model)) = ("llm".parse::<ServiceName>(), ModelName::new("base")) else {
        return;
    };
    let Some(fleet) = fleet(&service, &model) else {
        return;
    };
    let avoid = BTreeSet::new();
    for (case, adapter) in [("held", "base/a7"), ("nowhere", "base/a9999")] {
        let target = Target::parse(adapter);
        let want = PlacementRequest {
            service: &service,
            target: target.as_ref(),
            cost: Load {
                requests: 1,
                tokens: 2_000,
                prefill: 1_000,
            },
            shared_prefix: None,
            body_kb: 2.0,
            objective_ms: 1_000.0,
            waited: Some(Span::from_millis(0)),
            left: None,
            store_busy: false,
            build: None,
            admitted: None,
            avoid: &avoid,
        };
        c.bench_function(&format!("place/{case}"), |b| {
            b.iter(|| black_box(fleet.place(NOW, &want, |_| true)));
        });
    }
}

criterion_group!(benches, place);
criterion_main!(benches);
