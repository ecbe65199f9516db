//! The catalog's invariants, and atomicity of change sets.

use banyangauge::catalog::Catalog;
use banyangauge::catalog::CatalogError;
use banyangauge::catalog::Change;
use banyangauge::catalog::Item;
use banyangauge::catalog::PoolKind;
use banyangauge::catalog::PoolSpec;
use banyangauge::catalog::ShardName;
use proptest::prelude::*;
use rstest::rstest;

use crate::rig;

fn catalog() -> Catalog {
    let mut catalog = Catalog::default();
    catalog.apply(&rig::base_changes()).unwrap();
    catalog
        .apply(&[rig::serve("laundry", "rosters", 1)])
        .unwrap();
    catalog
}

fn pool_with(change: impl FnOnce(&mut PoolSpec)) -> Change {
    let Change::PutPool { mut spec, .. } = rig::engine_pool("reading", 2) else {
        unreachable!()
    };
    change(&mut spec);
    Change::PutPool {
        pool: "reading".parse().unwrap(),
        spec,
    }
}

fn service(prefix: &str) -> Change {
    Change::PutPool {
        pool: "booking".parse().unwrap(),
        spec: PoolSpec {
            kind: PoolKind::Service {
                prefix: prefix.to_owned(),
                idempotent: ["GET".to_owned()].into(),
            },
            replicas: Vec::new(),
        },
    }
}

fn team_with(key: &str, share: u32) -> Change {
    Change::PutTeam {
        team: "parcels".parse().unwrap(),
        keys: [key.to_owned()].into(),
        share,
    }
}

fn laundry_key() -> String {
    let Change::PutTeam { keys, .. } = rig::put_team("laundry") else {
        unreachable!()
    };
    keys.first().unwrap().clone()
}

#[rstest]
#[case::key_short(team_with("abc", 1))]
#[case::key_upper(team_with(&"A".repeat(64), 1))]
#[case::key_of_other_team(team_with(&laundry_key(), 1))]
#[case::share_zero(team_with(&"a".repeat(64), 0))]
#[case::version_lower(rig::add("rosters", 3))]
#[case::serve_missing(rig::serve("laundry", "rosters", 9))]
#[case::retire_in_force(Change::RetireVersion { adapter: "rosters".parse().unwrap(), version: 1 })]
#[case::team_in_use(Change::RemoveTeam { team: "laundry".parse().unwrap() })]
#[case::pool_in_use(Change::RemovePool { pool: "assistant".parse().unwrap() })]
#[case::address_twice(pool_with(|s| s.replicas[1].address = s.replicas[0].address))]
#[case::name_twice(pool_with(|s| s.replicas[1].name = s.replicas[0].name.clone()))]
#[case::address_of_other_pool(pool_with(|s| {
    let Change::PutPool { spec, .. } = rig::engine_pool("assistant", 2) else { unreachable!() };
    s.replicas[0].address = spec.replicas[0].address;
}))]
#[case::slots_zero(pool_with(|s| s.replicas[0].slots = 0))]
#[case::batch_zero(pool_with(|s| s.replicas[0].batch = 0))]
#[case::port_zero(pool_with(|s| s.replicas[0].address.set_port(0)))]
#[case::prefix_open(service("/booking"))]
#[case::prefix_root(service("/"))]
#[case::prefix_completions(service("/v1/x/"))]
#[case::prefix_space(service("/a b/"))]
fn apply_refused(#[case] change: Change) {
    let before = catalog();
    let mut after = before.clone();
    let set = [rig::put_team("first"), rig::add("dryers", 9), change];
    assert!(after.apply(&set).is_err());
    assert_eq!(after, before);
}

#[test]
fn apply_engine_to_service_refused() {
    let mut catalog = catalog();
    let Change::PutPool { spec, .. } = service("/booking/") else {
        unreachable!()
    };
    let pool = "assistant".parse().unwrap();
    let end = catalog.apply(&[Change::PutPool { pool, spec }]);
    assert!(matches!(end, Err(CatalogError::InUse(_))));
}

#[test]
fn team_by_key_after_change() {
    let mut catalog = catalog();
    let key = laundry_key();
    assert_eq!(catalog.team_by_key(&key).unwrap().as_str(), "laundry");
    let other = "b".repeat(64);
    let moved = Change::PutTeam {
        team: "laundry".parse().unwrap(),
        keys: [other.clone()].into(),
        share: 1,
    };
    catalog.apply(&[moved]).unwrap();
    assert_eq!(catalog.team_by_key(&key), None);
    let json = serde_json::to_string(&catalog).unwrap();
    let read: Catalog = serde_json::from_str(&json).unwrap();
    assert_eq!(read.team_by_key(&other).unwrap().as_str(), "laundry");
    assert_eq!(read, catalog);
}

fn any_change() -> impl Strategy<Value = Change> {
    let team = prop::sample::select(vec!["laundry", "parcels"]);
    let adapter = prop::sample::select(vec!["rosters", "dryers", "letters"]);
    (0..8_u8, team, adapter, 1..6_u32).prop_map(|(kind, team, adapter, version)| match kind {
        0 => rig::put_team(team),
        1 => Change::RemoveTeam {
            team: team.parse().unwrap(),
        },
        2 => rig::create(adapter, team, "assistant"),
        3 => rig::add(adapter, version),
        4 => rig::serve(team, adapter, version),
        5 => Change::Withdraw {
            team: team.parse().unwrap(),
            adapter: adapter.parse().unwrap(),
        },
        6 => Change::RetireVersion {
            adapter: adapter.parse().unwrap(),
            version,
        },
        _ => Change::RemoveAdapter {
            adapter: adapter.parse().unwrap(),
        },
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// Change sets are atomic, and a catalog restored from its shards equals the
    /// original, including the key index.
    #[test]
    fn apply_is_atomic(sets in prop::collection::vec(prop::collection::vec(any_change(), 1..6), 1..20)) {
        let mut catalog = catalog();
        for set in sets {
            let before = catalog.clone();
            let mut single = catalog.clone();
            let all = set.iter().all(|c| single.apply(std::slice::from_ref(c)).is_ok());
            match catalog.apply(&set) {
                Ok(()) => {
                    prop_assert!(all);
                    prop_assert_eq!(catalog.revision.0, before.revision.0 + 1);
                    prop_assert_eq!(&catalog.adapters, &single.adapters);
                    prop_assert_eq!(&catalog.teams, &single.teams);
                }
                Err(_) => prop_assert_eq!(&catalog, &before),
            }
            let names = catalog.adapters.keys().cloned().map(Item::Adapter);
            let names = names.chain(catalog.teams.keys().cloned().map(Item::Team));
            let names = names.chain(catalog.pools.keys().cloned().map(Item::Pool));
            let shards = catalog.shards(&names.map(|i| ShardName::of(&i)).collect());
            prop_assert_eq!(Catalog::from_shards(catalog.revision, shards.into_values()), catalog.clone());
        }
    }
}

/// Shard sizes at the maximum supported size: 14,000 adapters with long names, 150
/// pools with 5,600 replicas, and 500 teams.
#[test]
fn shards_below_a_megabyte() {
    let mut changes: Vec<_> = (0..500)
        .map(|n| rig::put_team(&format!("team-{n:03}")))
        .collect();
    for (n, change) in changes.iter_mut().enumerate() {
        if let Change::PutTeam { keys, .. } = change {
            *keys = (0..4).map(|k| format!("{:064x}", n * 4 + k + 1)).collect();
        }
    }
    for n in 0..150_u16 {
        let Change::PutPool { mut spec, .. } = rig::engine_pool("reading", 38) else {
            unreachable!()
        };
        for replica in &mut spec.replicas {
            replica.name = format!("metropolitana-{n:03}-{}", replica.name)
                .parse()
                .unwrap();
            replica.address.set_port(8_000 + n);
        }
        let pool = format!("metropolitana-reading-{n:03}").parse().unwrap();
        changes.push(Change::PutPool { pool, spec });
    }
    for n in 0..14_000 {
        let name = format!("adapter-of-a-region-with-a-long-name-{n:05}");
        let (owner, pool) = (n % 500, n % 150);
        let owner = format!("team-{owner:03}");
        let pool = format!("metropolitana-reading-{pool:03}");
        changes.push(rig::create(&name, &owner, &pool));
        changes.extend((1..=3).map(|v| rig::add(&name, v)));
        changes.push(rig::serve(&owner, &name, 2));
        changes.push(rig::serve(&format!("team-{:03}", (n + 1) % 500), &name, 3));
    }
    let mut catalog = Catalog::default();
    catalog.apply(&changes).unwrap();
    let all = changes.iter().map(|c| ShardName::of(&c.item())).collect();
    let shards = catalog.shards(&all);
    assert_eq!(shards.len(), 73);
    let largest = shards
        .values()
        .map(|s| serde_json::to_vec(s).unwrap().len());
    let largest = largest.max().unwrap();
    assert!(largest < 500_000, "{largest} bytes");
    let whole = serde_json::to_vec(&catalog).unwrap().len();
    assert!(
        whole < banyangauge::catalog::MAX_SNAPSHOT_BYTES / 2,
        "{whole} bytes"
    );
}
