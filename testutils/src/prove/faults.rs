//! The faults of "What fails", and how each is caused and ended.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use banyangauge::catalog::Change;
use banyangauge::catalog::Intent;
use banyangauge::operator::Client;
use rand::Rng;
use rand::RngExt;
use serde_json::Value;
use serde_json::json;

use crate::check::Confirmed;
use crate::rig::ADAPTERS;
use crate::rig::Rig;
use crate::rig::TEAMS;
use crate::rig::adapter_name;

/// How long a killed process stays away, in milliseconds.
const AWAY: u64 = 1_200;

/// How long an upstream goes on leaving, in milliseconds; longer than it may
/// get new work.
const LEAVES_FOR: u64 = 3_500;

/// How long an engine holds its answers back, in milliseconds.
const LATE_FOR: u64 = 1_000;

/// The lag of the VM list in a run.
const LIST_LAG: Duration = Duration::from_millis(300);

/// How long a balancer goes on before a stop that was announced to it.
const ANNOUNCED: Duration = Duration::from_millis(150);

/// Confirmations of each of two racing operators.
const RACES: usize = 4;

/// One fault; numbers are counts or milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A control process is killed and its VM replaced.
    KillControl,
    /// A control process is paused for so long and goes on unaware.
    FreezeControl(u64),
    /// A control process is stopped as planned and started again.
    StopControl,
    /// An entry is killed and its VM replaced.
    KillEntry,
    /// An entry is stopped as planned and started again.
    StopEntry,
    /// An engine restarts empty.
    EngineRestart,
    /// An engine breaks the next answers after some tokens.
    EngineDrop(u32),
    /// An engine runs the next requests and breaks before the first byte.
    EngineDropBefore(u32),
    /// An engine gives the next answers to the wrong requests.
    EngineCross(u32),
    /// An engine holds its answers back.
    EngineLate(u64),
    /// An engine is slow for so long.
    EngineSlow(u64),
    /// An engine says that it leaves; it comes back later.
    EngineLeaves,
    /// The VM list says that an engine's VM leaves.
    ListedLeaving,
    /// An engine fails its next loads.
    FailLoads(u32),
    /// A service runs the next calls and loses their answers.
    ServiceDrop(u32),
    /// A service refuses the next calls without running them.
    ServiceRefuse(u32),
    /// The platform is down for so long.
    PlatformDown(u64),
    /// The platform is slow for so long.
    PlatformSlow(u64),
    /// The platform loses the answers of the next writes after they took effect.
    PlatformLose(u32),
    /// A control process is killed while the platform is down, and its VM
    /// replaced before it is up.
    RestartInOutage(u64),
    /// Two operators confirm conflicting plans at once.
    OperatorRace,
}

/// When an entry was away, in milliseconds on the run's clock.
#[derive(Clone, Copy, Debug)]
pub struct Away {
    /// Which entry.
    pub entry: usize,
    /// From when.
    pub from: u64,
    /// Until when it did not serve; the end of the run while it is away.
    pub until: u64,
}

/// The first sign that an upstream leaves, on its own clock.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// Its name in the history.
    pub upstream: String,
    /// Milliseconds on the upstream's clock.
    pub sign: u64,
    /// When it came back, on the upstream's clock.
    pub back: u64,
}

/// What faults note for the checkers.
#[derive(Debug, Default)]
pub struct Notes {
    /// Entries that were killed.
    pub away: Vec<Away>,
    /// Upstreams that left.
    pub leaving: Vec<Leaving>,
    /// Confirmations that operators were told of.
    pub confirmed: Vec<Confirmed>,
    /// Planned stops that did not end by themselves.
    pub stuck: Vec<String>,
}

/// Entries that the balancer sends to.
pub type Balancer = Arc<Mutex<Vec<(usize, SocketAddr)>>>;

/// Takes an entry from, or gives it back to, the balancer.
fn set_balanced(balancer: &Balancer, entry: (usize, SocketAddr), on: bool) {
    let mut all = balancer.lock().unwrap_or_else(PoisonError::into_inner);
    all.retain(|e| e.0 != entry.0);
    if on {
        all.push(entry);
    }
}

/// What ends a fault.
#[derive(Clone, Debug)]
enum Cure {
    RestartControl(usize),
    ThawControl(usize),
    RestartEntry { entry: usize, from: u64 },
    Switch { at: SocketAddr, off: Value },
    Unlist { engine: SocketAddr, sign: u64 },
    Stay { engine: SocketAddr, sign: u64 },
}

/// Faults under way, each with the time at which it ends.
#[derive(Debug, Default)]
pub struct Underway {
    cures: Vec<(u64, Cure)>,
}

impl Underway {
    fn cure_after(&mut self, rig: &Rig, ms: u64, cure: Cure) {
        self.cures.push((rig.now_ms() + ms, cure));
    }

    /// Whether every fault has ended.
    pub fn is_over(&self) -> bool {
        self.cures.is_empty()
    }

    /// Ends the faults whose time has come.
    ///
    /// # Errors
    ///
    /// When a program cannot be started again or a stand-in does not answer.
    pub async fn end_due(&mut self, rig: &mut Rig, notes: &mut Notes) -> io::Result<()> {
        let now = rig.now_ms();
        let (due, rest) = self.cures.drain(..).partition(|(at, _)| *at <= now);
        self.cures = rest;
        for (_, cure) in due {
            end(cure, rig, notes).await?;
        }
        Ok(())
    }

    /// Causes a fault; it ends by [`Underway::end_due`].
    ///
    /// # Errors
    ///
    /// When a program cannot be started again or a stand-in does not answer.
    pub async fn begin(
        &mut self,
        fault: Fault,
        rig: &mut Rig,
        balancer: &Balancer,
        notes: &mut Notes,
        rng: &mut impl Rng,
    ) -> io::Result<()> {
        let control = rng.random_range(0..rig.size.controls);
        let entry = rng.random_range(0..rig.size.entries);
        let engine = rig.engine(rng.random_range(0..rig.size.engines));
        let service = rig.service(rng.random_range(0..rig.size.services));
        let platform = rig.platform();
        match fault {
            Fault::KillControl => {
                kill_control(rig, control);
                self.cure_after(rig, AWAY, Cure::RestartControl(control));
            }
            Fault::FreezeControl(ms) => {
                if let Some(p) = rig.control_mut(control) {
                    p.freeze();
                }
                self.cure_after(rig, ms, Cure::ThawControl(control));
            }
            Fault::StopControl => stop_control(rig, control, notes).await?,
            Fault::KillEntry => {
                let from = rig.now_ms();
                if let Some(p) = rig.entry_mut(entry) {
                    p.kill();
                }
                self.cure_after(rig, AWAY, Cure::RestartEntry { entry, from });
            }
            Fault::StopEntry => stop_entry(rig, entry, balancer, notes).await?,
            Fault::EngineRestart => rig.faults(engine, json!({"restart": true})).await?,
            Fault::EngineDrop(n) => {
                let after = rng.random_range(1..6);
                let faults = json!({"drop_next": n, "drop_after": after});
                rig.faults(engine, faults).await?;
            }
            Fault::EngineDropBefore(n) => rig.faults(engine, json!({"drop_before": n})).await?,
            Fault::EngineCross(n) => rig.faults(engine, json!({"cross_next": n})).await?,
            Fault::EngineLate(ms) => {
                self.switch(rig, engine, "late_ms", json!(ms), json!(0), LATE_FOR)
                    .await?;
            }
            Fault::EngineSlow(ms) => {
                self.switch(rig, engine, "slow_factor", json!(10.0), json!(0.0), ms)
                    .await?;
            }
            Fault::EngineLeaves => {
                let sign = upstream_clock(rig, engine).await?;
                rig.faults(engine, json!({"leaving": true})).await?;
                self.cure_after(rig, LEAVES_FOR, Cure::Stay { engine, sign });
            }
            Fault::ListedLeaving => {
                rig.set_vms(Some(engine)).await?;
                // The list shows it only after its lag: the first sign.
                tokio::time::sleep(LIST_LAG).await;
                let sign = upstream_clock(rig, engine).await?;
                self.cure_after(rig, LEAVES_FOR, Cure::Unlist { engine, sign });
            }
            Fault::FailLoads(n) => rig.faults(engine, json!({"fail_loads": n})).await?,
            Fault::ServiceDrop(n) => rig.faults(service, json!({"drop_after_run": n})).await?,
            Fault::ServiceRefuse(n) => rig.faults(service, json!({"refuse": n})).await?,
            Fault::PlatformDown(ms) => {
                self.switch(rig, platform, "down", json!(true), json!(false), ms)
                    .await?;
            }
            Fault::PlatformSlow(ms) => {
                self.switch(rig, platform, "slow_ms", json!(700), json!(0), ms)
                    .await?;
            }
            Fault::PlatformLose(n) => rig.faults(platform, json!({"lose_after_write": n})).await?,
            Fault::RestartInOutage(ms) => {
                let up = ms + AWAY;
                self.switch(rig, platform, "down", json!(true), json!(false), up)
                    .await?;
                kill_control(rig, control);
                self.cure_after(rig, AWAY, Cure::RestartControl(control));
            }
            Fault::OperatorRace => race(rig, notes, rng).await?,
        }
        Ok(())
    }

    async fn switch(
        &mut self,
        rig: &Rig,
        at: SocketAddr,
        name: &str,
        on: Value,
        off: Value,
        ms: u64,
    ) -> io::Result<()> {
        rig.faults(at, json!({ name: on })).await?;
        let off = json!({ name: off });
        self.cure_after(rig, ms, Cure::Switch { at, off });
        Ok(())
    }
}

async fn end(cure: Cure, rig: &mut Rig, notes: &mut Notes) -> io::Result<()> {
    match cure {
        Cure::RestartControl(i) => rig.restart_control(i),
        Cure::ThawControl(i) => {
            if let Some(p) = rig.control_mut(i) {
                p.thaw();
            }
            Ok(())
        }
        Cure::RestartEntry { entry, from } => {
            rig.restart_entry(entry)?;
            wait_listening(rig.entry(entry)).await;
            let until = rig.now_ms();
            notes.away.push(Away { entry, from, until });
            Ok(())
        }
        Cure::Switch { at, off } => rig.faults(at, off).await,
        Cure::Unlist { engine, sign } => {
            let back = upstream_clock(rig, engine).await?;
            rig.set_vms(None).await?;
            note_leaving(rig, engine, sign, back, notes);
            Ok(())
        }
        Cure::Stay { engine, sign } => {
            let back = upstream_clock(rig, engine).await?;
            rig.faults(engine, json!({"leaving": false})).await?;
            note_leaving(rig, engine, sign, back, notes);
            Ok(())
        }
    }
}

fn kill_control(rig: &mut Rig, i: usize) {
    if let Some(p) = rig.control_mut(i) {
        p.kill();
    }
}

async fn stop_control(rig: &mut Rig, i: usize, notes: &mut Notes) -> io::Result<()> {
    if let Some(mut p) = rig.take_control(i) {
        let stopped = tokio::task::spawn_blocking(move || p.stop()).await;
        if !matches!(stopped, Ok(Some(_))) {
            notes.stuck.push(format!("control {i} did not stop"));
        }
    }
    rig.restart_control(i)
}

async fn stop_entry(
    rig: &mut Rig,
    i: usize,
    balancer: &Balancer,
    notes: &mut Notes,
) -> io::Result<()> {
    let entry = (i, rig.entry(i));
    set_balanced(balancer, entry, false);
    tokio::time::sleep(ANNOUNCED).await;
    if let Some(mut p) = rig.take_entry(i) {
        let stopped = tokio::task::spawn_blocking(move || p.stop()).await;
        if !matches!(stopped, Ok(Some(_))) {
            notes.stuck.push(format!("entry {i} did not stop"));
        }
    }
    rig.restart_entry(i)?;
    wait_listening(entry.1).await;
    set_balanced(balancer, entry, true);
    Ok(())
}

async fn wait_listening(address: SocketAddr) {
    for _ in 0..200 {
        if tokio::net::TcpStream::connect(address).await.is_ok() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn upstream_clock(rig: &Rig, at: SocketAddr) -> io::Result<u64> {
    let history = rig.history(at).await?;
    Ok(history["now_ms"].as_u64().unwrap_or(0))
}

fn note_leaving(rig: &Rig, engine: SocketAddr, sign: u64, back: u64, notes: &mut Notes) {
    let i = (0..rig.size.engines).find(|i| rig.engine(*i) == engine);
    notes.leaving.push(Leaving {
        upstream: format!("engine-{}", i.unwrap_or(0)),
        sign,
        back,
    });
}

async fn race(rig: &Rig, notes: &mut Notes, rng: &mut impl Rng) -> io::Result<()> {
    let (a, b) = (rig.operator()?, rig.operator()?);
    for _ in 0..RACES {
        let adapter = adapter_name(rng.random_range(0..ADAPTERS));
        let team = TEAMS[rng.random_range(0..TEAMS.len())].0;
        let (one, two) = (serve(&adapter, team, 1)?, serve(&adapter, team, 2)?);
        let (x, y) = tokio::join!(confirm(&a, &one), confirm(&b, &two));
        let at = rig.now_ms();
        for revision in [x, y].into_iter().flatten() {
            notes.confirmed.push(Confirmed { at, revision });
        }
    }
    Ok(())
}

fn serve(adapter: &str, team: &str, version: u32) -> io::Result<Intent> {
    let change = Change::Serve {
        team: team.parse().map_err(io::Error::other)?,
        adapter: adapter.parse().map_err(io::Error::other)?,
        version,
    };
    Ok(Intent {
        changes: vec![change],
    })
}

// A loser of the race, or an outage, gives nothing; that is allowed.
async fn confirm(client: &Client, intent: &Intent) -> Option<u64> {
    let plan = client.plan(intent).await.ok()?;
    client.confirm(&plan).await.ok()
}
