//! What a run configures: two teams, an engine pool, a service pool, adapters.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::time::Duration;
use std::time::Instant;

use banyangauge::catalog::Change;
use banyangauge::catalog::Intent;
use banyangauge::catalog::PoolKind;
use banyangauge::catalog::PoolSpec;
use banyangauge::catalog::Replica;
use banyangauge::ids::AdapterName;
use banyangauge::ids::IdError;
use banyangauge::ids::TeamName;
use banyangauge::pool::Objective;
use sha2::Digest;
use sha2::Sha256;

use super::LOOK;
use super::Rig;
use super::START_LIMIT;
use crate::caller::Ask;
use crate::caller::Call;

/// The engine pool and the service pool.
pub const POOLS: [&str; 2] = ["assistant", "booking"];

/// Teams with their keys.
pub const TEAMS: [(&str, &str); 2] = [("residents", "key-residents"), ("caretakers", "key-care")];

/// Adapters, more than there are slots in a run.
pub const ADAPTERS: usize = 12;

/// The name of an adapter.
pub fn adapter_name(i: usize) -> String {
    format!("adapter-{i:03}")
}

pub(super) fn key_hash(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|b| format!("{b:02x}")).collect()
}

pub(super) fn warm_call(number: u32) -> Call {
    Call {
        id: format!("warm{number}"),
        bearer: TEAMS[0].1.to_owned(),
        ask: Ask::Completion {
            model: format!("{}@1", adapter_name(0)),
            stream: false,
            tokens: 1,
        },
        deadline: Duration::from_secs(2),
    }
}

/// The first intent of a run, over all that it configures.
///
/// # Errors
///
/// Never with this harness's names.
pub fn first_intent(rig: &Rig, adapters: usize) -> Result<Intent, IdError> {
    let mut changes = Vec::new();
    for (team, key) in TEAMS {
        changes.push(Change::PutTeam {
            team: TeamName::new(team)?,
            keys: BTreeSet::from([key_hash(key)]),
            share: 1,
        });
    }
    changes.push(Change::PutPool {
        pool: POOLS[0].parse()?,
        spec: engine_pool(rig)?,
    });
    changes.push(Change::PutPool {
        pool: POOLS[1].parse()?,
        spec: service_pool(rig)?,
    });
    for i in 0..adapters {
        let adapter = AdapterName::new(&adapter_name(i))?;
        changes.push(Change::CreateAdapter {
            adapter: adapter.clone(),
            owner: TeamName::new(TEAMS[i % 2].0)?,
            pool: POOLS[0].parse()?,
        });
        for version in [1, 2] {
            changes.push(Change::AddVersion {
                adapter: adapter.clone(),
                version,
            });
        }
        for (team, _) in TEAMS {
            changes.push(Change::Serve {
                team: TeamName::new(team)?,
                adapter: adapter.clone(),
                version: 1,
            });
        }
    }
    Ok(Intent { changes })
}

fn engine_pool(rig: &Rig) -> Result<PoolSpec, IdError> {
    let replica = |i: usize| {
        Ok(Replica {
            name: format!("engine-{i}").parse()?,
            address: rig.engine(i),
            zone: format!("zone-{}", i % 3).parse()?,
            slots: rig.size.slots as u32,
            batch: 8,
        })
    };
    Ok(PoolSpec {
        kind: PoolKind::Engine {
            base: "base".to_owned(),
            honours_token: rig.size.honours_token,
            weighing: Objective::Stalls,
            loads_per_s: 20.0,
            step_us: 2_000,
        },
        replicas: (0..rig.size.engines)
            .map(replica)
            .collect::<Result<_, IdError>>()?,
    })
}

fn service_pool(rig: &Rig) -> Result<PoolSpec, IdError> {
    let replica = |i: usize| {
        Ok(Replica {
            name: format!("service-{i}").parse()?,
            address: rig.service(i),
            zone: format!("zone-{}", i % 3).parse()?,
            slots: 0,
            batch: 32,
        })
    };
    Ok(PoolSpec {
        kind: PoolKind::Service {
            prefix: "/booking/".to_owned(),
            idempotent: BTreeSet::from(["GET".to_owned()]),
        },
        replicas: (0..rig.size.services)
            .map(replica)
            .collect::<Result<_, IdError>>()?,
    })
}

/// Changes in one plan; a plan takes 50,000.
const PLAN_CHANGES: usize = 40_000;

impl Rig {
    pub(super) async fn configure(&self) -> io::Result<()> {
        let intent = first_intent(self, self.size.adapters).map_err(io::Error::other)?;
        for part in intent.changes.chunks(PLAN_CHANGES) {
            let part = Intent {
                changes: part.to_vec(),
            };
            self.confirm_in_time(&part).await?;
        }
        Ok(())
    }

    // Tries until the control processes are up.
    async fn confirm_in_time(&self, intent: &Intent) -> io::Result<()> {
        let client = self.operator()?;
        let begin = Instant::now();
        let mut last = String::new();
        while begin.elapsed() < START_LIMIT {
            match client.plan(intent).await {
                Ok(plan) => match client.confirm(&plan).await {
                    Ok(_) => return Ok(()),
                    Err(e) => last = e.to_string(),
                },
                Err(e) => last = e.to_string(),
            }
            tokio::time::sleep(LOOK).await;
        }
        Err(io::Error::other(format!("not configured in time: {last}")))
    }

    /// Tokens that `banyan usage` shows by team.
    ///
    /// # Errors
    ///
    /// When no control process answers.
    pub async fn usage_by_team(&self) -> io::Result<BTreeMap<String, u64>> {
        let counts = self.operator()?.usage("").await.map_err(io::Error::other)?;
        let mut sums = BTreeMap::new();
        for c in counts {
            *sums.entry(c.team).or_default() += c.output_tokens;
        }
        Ok(sums)
    }
}
