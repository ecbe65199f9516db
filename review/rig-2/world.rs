//! The store, the project's processes, and the record of a run.

use std::fs::File;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::store::Store;

/// The processes that run; all are ended with the rig.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_all() {
    let mut children = CHILDREN.lock().unwrap_or_else(|e| e.into_inner());
    for child in children.iter_mut() {
        child.kill().ok();
        child.wait().ok();
    }
    children.clear();
}

/// Ends this process, too, with the rig.
pub fn adopt(child: Child) {
    CHILDREN
        .lock()
        .unwrap_or_else(|e| e.into_inner())
        .push(child);
}

/// SIGKILL.
pub fn kill(pid: u32) {
    let mut children = CHILDREN.lock().unwrap_or_else(|e| e.into_inner());
    if let Some(child) = children.iter_mut().find(|c| c.id() == pid) {
        child.kill().ok();
        child.wait().ok();
    }
    children.retain(|c| c.id() != pid);
}

/// Ends everything if the run takes too long.
pub fn watchdog(most: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(most);
        eprintln!("the run took too long");
        end_all();
        std::process::exit(2);
    });
}

/// A machine with one process of the system.
pub struct Vm {
    pub front: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    running: Mutex<Option<(u32, Instant)>>,
}

impl Vm {
    /// Returns the process and since when it runs.
    pub fn running(&self) -> Option<(u32, Instant)> {
        *self.running.lock().unwrap()
    }

    pub fn start(&self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        // The command of deploy/system.toml.
        let child = Command::new("target/release/banyan-serve")
            .arg("--metrics")
            .arg(self.metrics.to_string())
            .env("BANYANGAUGE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        *self.running.lock().unwrap() = Some((child.id(), Instant::now()));
        CHILDREN.lock().unwrap().push(child);
        Ok(())
    }

    /// SIGKILL.
    pub fn kill(&self) {
        let Some((pid, _)) = self.running.lock().unwrap().take() else {
            return;
        };
        kill(pid);
    }

    /// SIGTERM; waits until the process has ended, at most for `grace`, then SIGKILL.
    pub fn stop(&self, grace: Duration) {
        let Some((pid, _)) = self.running() else {
            return;
        };
        Command::new("kill")
            .args(["-TERM", &pid.to_string()])
            .status()
            .ok();
        let end = Instant::now() + grace;
        let ended = || {
            let mut children = CHILDREN.lock().unwrap();
            let child = children.iter_mut().find(|c| c.id() == pid);
            child.is_none_or(|c| matches!(c.try_wait(), Ok(Some(_))))
        };
        while !ended() && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(10));
        }
        self.kill();
    }

    /// Returns the memory that the process holds and its most so far, in MB; `None` if it ended.
    pub fn memory_mb(&self) -> Option<(u64, u64)> {
        let (pid, _) = self.running()?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let field = |name: &str| {
            let line = status.lines().find(|l| l.starts_with(name))?;
            let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
            Some(kb >> 10)
        };
        Some((field("VmRSS:")?, field("VmHWM:")?))
    }

    /// Returns whether the process answers the platform's readiness check with 200.
    pub fn is_ready(&self) -> bool {
        let request = "GET /banyangauge/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = crate::client::exchange(self.ready, request.as_bytes(), 1_000);
        answer.is_ok_and(|a| a.head.status() == 200)
    }
}

/// All that a run consists of.
pub struct World {
    pub store: Store,
    pub vms: Vec<Vm>,
    began: Instant,
    record: Mutex<File>,
    folder: PathBuf,
}

impl World {
    /// Starts the store; processes are added by [`World::add_vms`].
    pub fn start(record: &str) -> std::io::Result<Self> {
        let name = format!("review-2-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        Ok(Self {
            store: Store::start()?,
            vms: Vec::new(),
            began: Instant::now(),
            record: Mutex::new(File::create(record)?),
            folder,
        })
    }

    /// Writes a line to the record.
    pub fn note(&self, text: &str) {
        let at = self.began.elapsed().as_millis();
        let mut record = self.record.lock().unwrap();
        writeln!(record, "{:>7} ms  {text}", at).ok();
    }

    /// Returns the machines of a small deployment, one in each zone; `more` are further lines of
    /// their settings.
    pub fn new_vms(&self, count: u8, more: &str) -> std::io::Result<Vec<Vm>> {
        let mut vms = Vec::new();
        for i in 0..count {
            let id = std::process::id();
            let [_, _, b, c] = id.to_be_bytes();
            let ip = Ipv4Addr::new(127, 77 + i, b, c.max(1));
            let ip = IpAddr::V4(ip);
            let [front, ready, metrics, peer] = free_ports(ip)?;
            let text = format!(
                "nodeName=front-z{i}-1\nrole=serve\nmachineClass=front\nserves=front\nip={ip}\n\
                 zone=z-{i}\nregion=r\nlisten.front={front}\nlisten.ready={ready}\n\
                 portRange={},{}\nbootstrap=true\nlimits.cpuShare=0.25\nlimits.cores=1\n\
                 limits.memoryMb=260\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\n\
                 limits.diskMb=0\nheartbeatMs=1200\nbounds.contactMs=3000\nbounds.drainMs=2000\n\
                 bounds.graceS=8\nbounds.configApplyMs=2000\nbounds.budgetRatio=0.2\n\
                 bounds.budgetWindowS=10\nbounds.budgetSlack=52\n\
                 bounds.leaseMs=3000\nbounds.version_ms=5000\nplatform.address={}\n\
                 platform.form=objects\n{}",
                peer.port(),
                peer.port().saturating_add(1),
                self.store.addresses[i as usize],
                if more.is_empty() {
                    "bounds.checksFence=true\n"
                } else {
                    more
                }
            );
            let settings = self.folder.join(format!("vm-{i}.conf"));
            std::fs::write(&settings, text)?;
            vms.push(Vm {
                front,
                ready,
                metrics,
                settings,
                log: self.folder.join(format!("vm-{i}.log")),
                running: Mutex::new(None),
            });
        }
        Ok(vms)
    }

    /// Starts all processes and waits until they are ready.
    pub fn start_vms(&mut self, vms: Vec<Vm>) -> std::io::Result<()> {
        self.vms = vms;
        for vm in &self.vms {
            vm.start()?;
        }
        let end = Instant::now() + Duration::from_secs(10);
        while !self.vms.iter().all(Vm::is_ready) {
            if Instant::now() > end {
                return Err(std::io::Error::other("the processes are not ready"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        self.note("all processes are ready");
        Ok(())
    }

    /// Writes a manifest, encoded as JSON.
    pub fn configure(&self, manifest: &str) {
        self.store.put("config", "main", manifest);
        self.note(&format!("manifest acknowledged: {manifest}"));
    }
}

impl Drop for World {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            std::fs::remove_dir_all(&self.folder).ok();
        }
    }
}

/// Returns free addresses; the last one is free for TCP and UDP.
fn free_ports(ip: IpAddr) -> std::io::Result<[SocketAddr; 4]> {
    let mut held = Vec::new();
    let mut next = || -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        held.push(listener);
        Ok(address)
    };
    let [a, b, c] = [next()?, next()?, next()?];
    loop {
        let d = next()?;
        if d.port() < u16::MAX && UdpSocket::bind(d).is_ok() {
            return Ok([a, b, c, d]);
        }
    }
}

/// A route of a manifest.
pub fn route(prefix: &str, kind: &str, service: &str, timeout_ms: u64, more: &str) -> String {
    format!(
        "{{\"name\":\"r{}\",\"host\":\"h.example\",\"pathPrefix\":\"{prefix}\",\
         \"kind\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":300,\"priority\":1,\
         \"service\":\"{service}\",\"sticky\":false{more}}}",
        prefix.replace('/', "-")
    )
}

/// A manifest with one service.
pub fn manifest(version: u64, routes: &[String], services: &str, header_bytes: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{services}],\
         \"limits\":{{\"maxHeaderBytes\":{header_bytes},\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

/// A service without models.
pub fn plain_service(name: &str) -> String {
    format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":360}}")
}
