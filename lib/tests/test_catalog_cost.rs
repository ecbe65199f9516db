//! Costs at the letter's size; they print figures and judge none.

use std::sync::Arc;
use std::time::Instant;

use banyangauge::catalog::Catalog;
use banyangauge::catalog::Ledger;
use banyangauge::catalog::Plan;
use banyangauge::control::config;

use crate::rig;

const ADAPTERS: u32 = 14_000;
const ROUNDS: u32 = 200;

fn large() -> Catalog {
    let mut changes = vec![rig::engine_pool("assistant", 40)];
    changes.extend((0..100).map(|n| rig::put_team(&"t".repeat(n + 1))));
    for n in 0..ADAPTERS {
        let name = format!("region-adapter-{n:05}");
        let owner = "t".repeat(n as usize % 100 + 1);
        changes.push(rig::create(&name, &owner, "assistant"));
        changes.push(rig::add(&name, 1));
        changes.push(rig::serve(&owner, &name, 1));
    }
    let mut catalog = Catalog::default();
    catalog.apply(&changes).unwrap();
    catalog
}

fn micros(of: impl Fn(u32)) -> f64 {
    let start = Instant::now();
    (0..ROUNDS).for_each(of);
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

/// `cargo test --release -p banyangauge --test runner cost_ -- --ignored --nocapture`
#[test]
#[ignore = "prints figures; run in release"]
fn cost_of_a_change() {
    let catalog = large();
    let change = |n| [rig::add("region-adapter-00007", n + 2)];
    let clone = micros(|_| drop(std::hint::black_box(catalog.clone())));
    let deep = micros(|_| {
        let copies = catalog.adapters.iter();
        let copies: Vec<_> = copies
            .map(|(n, a)| (n.clone(), Arc::new((**a).clone())))
            .collect();
        drop(std::hint::black_box(copies));
    });
    let mut next = catalog.clone();
    let start = Instant::now();
    for n in 0..ROUNDS {
        next.apply(&change(n)).unwrap();
    }
    let apply = start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS);
    let json = serde_json::to_vec(&catalog).unwrap();
    let encode = micros(|_| drop(std::hint::black_box(serde_json::to_vec(&catalog))));
    let decode = micros(|_| {
        drop(std::hint::black_box(serde_json::from_slice::<Catalog>(
            &json,
        )));
    });
    println!(
        "catalog: adapters={ADAPTERS} clone_us={clone:.0} deep_clone_us={deep:.0} \
         apply_us={apply:.1} encode_us={encode:.0} decode_us={decode:.0} snapshot_bytes={}",
        json.len()
    );
}

#[tokio::test]
#[ignore = "prints figures; run in release"]
async fn cost_of_a_confirmation() {
    let (running, platform) = rig::platform().await;
    let ledger = Ledger::new(platform.clone());
    let mut catalog = Catalog::default();
    let all = large();
    let load = rig::plan(&catalog, changes_of(&all));
    let start = Instant::now();
    catalog = ledger
        .confirm(&load, "ana", &catalog)
        .await
        .unwrap()
        .made
        .unwrap()
        .1;
    let bulk = start.elapsed();
    let shared = rig::shared("vm-1", &platform, &[]);
    let start = Instant::now();
    tokio::spawn(config::run(shared.clone()));
    rig::in_force(&shared, catalog.revision.0).await;
    let first = start.elapsed();
    let writes = rig::calls(&running, "shards", "create").await;
    let (mut took, mut seen) = (Vec::new(), Vec::new());
    for n in 0..ROUNDS {
        let plan = Plan::new(&catalog, vec![rig::add("region-adapter-00007", n + 2)]).unwrap();
        let mut board = shared.board.catalog.subscribe();
        let start = Instant::now();
        catalog = ledger
            .confirm(&plan, "ana", &catalog)
            .await
            .unwrap()
            .made
            .unwrap()
            .1;
        took.push(start.elapsed().as_secs_f64() * 1e3);
        let revision = catalog.revision;
        board.wait_for(|c| c.revision >= revision).await.unwrap();
        seen.push(start.elapsed().as_secs_f64() * 1e3);
    }
    took.sort_by(f64::total_cmp);
    seen.sort_by(f64::total_cmp);
    let at = |v: &[f64], p: usize| v[v.len() * p / 100];
    let root = ledger.read_root().await.unwrap().root;
    println!(
        "confirm: adapters={ADAPTERS} bulk_ms={} start_ms={} confirm_p50_ms={:.1} \
         confirm_p99_ms={:.1} in_force_p50_ms={:.1} in_force_p99_ms={:.1} \
         shard_writes={:.2} root_bytes={}",
        bulk.as_millis(),
        first.as_millis(),
        at(&took, 50),
        at(&took, 99),
        at(&seen, 50),
        at(&seen, 99),
        (rig::calls(&running, "shards", "create").await - writes) as f64 / f64::from(ROUNDS),
        serde_json::to_vec(&root).unwrap().len()
    );
}

fn changes_of(catalog: &Catalog) -> Vec<banyangauge::catalog::Change> {
    let mut changes = vec![rig::engine_pool("assistant", 40)];
    changes.extend(catalog.teams.keys().map(|t| rig::put_team(t.as_str())));
    for (name, adapter) in &catalog.adapters {
        changes.push(rig::create(
            name.as_str(),
            adapter.owner.as_str(),
            "assistant",
        ));
        changes.push(rig::add(name.as_str(), 1));
    }
    changes
}
