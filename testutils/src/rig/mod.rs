//! The whole path as processes on a loopback address of its own.

mod configure;
mod settings;
mod standins;

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use banyangauge::operator::Client;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

use crate::process::Process;

pub use configure::ADAPTERS;
pub use configure::POOLS;
pub use configure::TEAMS;
pub use configure::adapter_name;
pub use configure::first_intent;
pub use standins::http_get;
pub use standins::http_post;

/// How long the whole path may take to start.
const START_LIMIT: Duration = Duration::from_secs(30);

/// How often a condition is looked at again.
const LOOK: Duration = Duration::from_millis(50);

/// The key of the harness's operator.
pub const OPERATOR_KEY: &str = "prove-operator";

static RIGS: AtomicU32 = AtomicU32::new(0);

/// How much of everything there is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Control processes, one a VM.
    pub controls: usize,
    /// Entries; entry `i` runs on the VM of control `i`.
    pub entries: usize,
    /// Engines.
    pub engines: usize,
    /// Slots of each engine.
    pub slots: usize,
    /// Plain services.
    pub services: usize,
    /// Whether the engines honour fencing tokens.
    pub honours_token: bool,
    /// Adapters that are configured, each with two versions.
    pub adapters: usize,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            controls: 3,
            entries: 2,
            engines: 3,
            slots: 3,
            services: 2,
            honours_token: true,
            adapters: ADAPTERS,
        }
    }
}

/// The programs of one run and where they listen.
#[derive(Debug)]
pub struct Rig {
    /// How much there is.
    pub size: Size,
    /// When the run began; all its times count from here.
    pub start: Instant,
    folder: TempDir,
    ip: IpAddr,
    standins: Vec<Process>,
    controls: Vec<Option<Process>>,
    entries: Vec<Option<Process>>,
    warm: u32,
}

impl Rig {
    /// Starts everything, configures it and waits until each entry serves.
    ///
    /// # Errors
    ///
    /// When a program does not start or the path does not stand in time.
    pub async fn start(size: Size) -> io::Result<Self> {
        let number = RIGS.fetch_add(1, Ordering::Relaxed);
        let mut rig = Self {
            size,
            start: Instant::now(),
            folder: tempfile::tempdir()?,
            ip: own_address(std::process::id(), number),
            standins: Vec::new(),
            controls: Vec::new(),
            entries: Vec::new(),
            warm: 0,
        };
        rig.start_standins()?;
        rig.set_vms(None).await?;
        for i in 0..size.controls {
            let process = rig.control_process(i)?;
            rig.controls.push(Some(process));
        }
        rig.configure().await?;
        for i in 0..size.entries {
            let process = rig.entry_process(i)?;
            rig.entries.push(Some(process));
        }
        rig.wait_serving().await?;
        Ok(rig)
    }

    /// Milliseconds since the run began.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    /// The platform; its control port is the next.
    pub fn platform(&self) -> SocketAddr {
        self.at(7_000)
    }

    /// The weight store; its control port is the next.
    pub fn weights(&self) -> SocketAddr {
        self.at(7_010)
    }

    /// An engine; its control port is the next.
    pub fn engine(&self, i: usize) -> SocketAddr {
        self.at(7_100 + 2 * i as u16)
    }

    /// A plain service; its control port is the next.
    pub fn service(&self, i: usize) -> SocketAddr {
        self.at(7_200 + 2 * i as u16)
    }

    /// A control process.
    pub fn control(&self, i: usize) -> SocketAddr {
        self.at(8_000 + i as u16)
    }

    /// Where a control process's metrics are read.
    pub fn control_metrics(&self, i: usize) -> SocketAddr {
        self.at(8_100 + i as u16)
    }

    /// Where callers reach an entry.
    pub fn entry(&self, i: usize) -> SocketAddr {
        self.at(8_200 + i as u16)
    }

    /// Where an entry's time line is read.
    pub fn entry_internal(&self, i: usize) -> SocketAddr {
        self.at(8_300 + i as u16)
    }

    fn entry_metrics(&self, i: usize) -> SocketAddr {
        self.at(8_400 + i as u16)
    }

    /// The file that a program logs to.
    pub fn log(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.log"))
    }

    /// Where the run's files are.
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }

    fn control_process(&self, i: usize) -> io::Result<Process> {
        let file = self.write_control_settings(i)?;
        let args = ["--settings".to_owned(), file.display().to_string()];
        Process::start("banyan-control", &args, &self.log(&format!("control-{i}")))
    }

    fn entry_process(&self, i: usize) -> io::Result<Process> {
        let file = self.write_entry_settings(i)?;
        let args = ["--settings".to_owned(), file.display().to_string()];
        Process::start("banyan-entry", &args, &self.log(&format!("entry-{i}")))
    }

    /// A control process, if it was not taken away.
    pub fn control_mut(&mut self, i: usize) -> Option<&mut Process> {
        self.controls.get_mut(i).and_then(Option::as_mut)
    }

    /// An entry, if it was not taken away.
    pub fn entry_mut(&mut self, i: usize) -> Option<&mut Process> {
        self.entries.get_mut(i).and_then(Option::as_mut)
    }

    /// Starts a control process again, as on a replaced VM.
    ///
    /// # Errors
    ///
    /// When it cannot be started.
    pub fn restart_control(&mut self, i: usize) -> io::Result<()> {
        self.controls[i] = None;
        self.controls[i] = Some(self.control_process(i)?);
        Ok(())
    }

    /// Starts an entry again, as on a replaced VM.
    ///
    /// # Errors
    ///
    /// When it cannot be started.
    pub fn restart_entry(&mut self, i: usize) -> io::Result<()> {
        self.entries[i] = None;
        self.entries[i] = Some(self.entry_process(i)?);
        Ok(())
    }

    /// Takes a control process out, for a stop that is waited for elsewhere.
    pub fn take_control(&mut self, i: usize) -> Option<Process> {
        self.controls.get_mut(i).and_then(Option::take)
    }

    /// Takes an entry out, for a stop that is waited for elsewhere.
    pub fn take_entry(&mut self, i: usize) -> Option<Process> {
        self.entries.get_mut(i).and_then(Option::take)
    }

    /// An operators' client that tries every control process.
    ///
    /// # Errors
    ///
    /// Never with this harness's key.
    pub fn operator(&self) -> io::Result<Client> {
        let all: Vec<_> = (0..self.size.controls).map(|i| self.control(i)).collect();
        Client::new(&all, OPERATOR_KEY).map_err(io::Error::other)
    }

    /// An operators' client of one control process.
    ///
    /// # Errors
    ///
    /// Never with this harness's key.
    pub fn operator_at(&self, i: usize) -> io::Result<Client> {
        Client::new(&[self.control(i)], OPERATOR_KEY).map_err(io::Error::other)
    }

    /// Switches faults of the stand-in at `address`.
    ///
    /// # Errors
    ///
    /// When its control port does not take them.
    pub async fn faults(&self, address: SocketAddr, faults: Value) -> io::Result<()> {
        http_post(control_port(address), "/faults", &faults).await?;
        Ok(())
    }

    /// What the stand-in at `address` saw.
    ///
    /// # Errors
    ///
    /// When its control port does not answer.
    pub async fn history(&self, address: SocketAddr) -> io::Result<Value> {
        http_get(control_port(address), "/history").await
    }

    /// Sets the VM list; the upstream at `leaving` is listed as leaving.
    ///
    /// # Errors
    ///
    /// When the platform's control port does not take it.
    pub async fn set_vms(&self, leaving: Option<SocketAddr>) -> io::Result<()> {
        let mut vms = Vec::new();
        let mut add = |name: String, address: SocketAddr, zone: usize| {
            let state = match leaving == Some(address) {
                true => "leaving",
                false => "live",
            };
            vms.push(json!({"name": name, "address": address.to_string(),
                "zone": format!("zone-{zone}"), "state": state}));
        };
        for i in 0..self.size.engines {
            add(format!("engine-{i}"), self.engine(i), i % 3);
        }
        for i in 0..self.size.services {
            add(format!("service-{i}"), self.service(i), i % 3);
        }
        for i in 0..self.size.controls {
            add(format!("vm-{i}"), self.control(i), i % 3);
        }
        http_post(control_port(self.platform()), "/vms", &Value::from(vms)).await?;
        Ok(())
    }

    /// Calls of one token each that were sent until each entry served.
    pub fn warm_calls(&self) -> u32 {
        self.warm
    }

    async fn wait_serving(&mut self) -> io::Result<()> {
        let begin = Instant::now();
        let caller = crate::caller::Caller::new(self.start);
        let mut waiting: Vec<usize> = (0..self.size.entries).collect();
        while begin.elapsed() < START_LIMIT {
            let mut left = Vec::new();
            for i in waiting {
                self.warm += 1;
                let call = configure::warm_call(self.warm);
                let record = caller.send(self.entry(i), call).await;
                if !matches!(record.told, crate::caller::Told::Answered { .. }) {
                    left.push(i);
                }
            }
            if left.is_empty() {
                return Ok(());
            }
            waiting = left;
            tokio::time::sleep(LOOK).await;
        }
        Err(io::Error::other(format!(
            "entries {waiting:?} did not serve in time; see {}",
            self.folder.path().display()
        )))
    }
}

/// The control port of a stand-in.
pub fn control_port(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip(), address.port() + 1)
}

/// A loopback address of a run's own, so that fixed ports of runs side by side
/// do not meet.
pub fn own_address(process: u32, number: u32) -> IpAddr {
    let second = 64 + (process % 128) as u8;
    let third = (process / 128 % 250) as u8;
    let fourth = 1 + (number % 250) as u8;
    IpAddr::V4(Ipv4Addr::new(127, second, third, fourth))
}
