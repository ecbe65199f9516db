//! A serving process, started with the command of the deploy file.

use std::fs::File;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use super::http;

/// The processes that were started and have not been waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes and this one with status 2 once `limit` has passed.
pub fn end_after(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        for pid in RUNNING.lock().unwrap().iter() {
            Command::new("kill").args(["-KILL", &pid.to_string()]).status().ok();
        }
        eprintln!("not done within {limit:?}");
        std::process::exit(2);
    });
}

/// Returns the first two bytes of loopback addresses whose ports are free.
pub fn free_net() -> String {
    let first = std::process::id() % 200;
    let nets = (0..200).map(|i| format!("127.{}", 20 + (first + i) % 200));
    let is_free = |net: &String| TcpListener::bind(format!("{net}.7.1:8149")).is_ok();
    nets.into_iter().find(is_free).expect("a free loopback network")
}

pub struct Vm {
    pub front: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Vm {
    /// Starts `banyan-serve` on the address `ip`. `folder` takes its settings and its log.
    pub fn start(
        name: &str,
        ip: &str,
        zone: &str,
        store: SocketAddr,
        folder: &Path,
        more: &str,
    ) -> io::Result<Self> {
        let at = |port: u16| format!("{ip}:{port}").parse::<SocketAddr>().unwrap();
        let settings = folder.join(format!("{name}.conf"));
        let text = format!(
            "nodeName={name}\nrole=serve\nmachineClass=front\nserves=front\nip={ip}\n\
             zone={zone}\nregion=r-1\nlisten.front={ip}:8149\nlisten.ready={ip}:8141\n\
             portRange=7380,7395\nbootstrap=true\nlimits.cpuShare=0.25\nlimits.cores=1\n\
             limits.memoryMb=260\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\n\
             discovery=platform\nentry=vip\nheartbeatMs=1200\nbounds.contactMs=3000\n\
             bounds.ackMs=4000\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\n\
             bounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\nbounds.budgetRatio=0.2\n\
             bounds.budgetWindowS=10\nbounds.budgetSlack=58\nbounds.recoveryS=12\n\
             bounds.leaseMs=3000\nbounds.thawSlackMs=300\nbounds.version_ms=5000\n\
             platform.address={store}\nplatform.form=objects\n{more}"
        );
        std::fs::write(&settings, text)?;
        let mut vm = Self {
            front: at(8149),
            ready: at(8141),
            metrics: at(9464),
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
        };
        vm.run()?;
        Ok(vm)
    }

    /// Starts the process, for the first time or again.
    pub fn run(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/banyan-serve")
            .arg("--metrics")
            .arg(self.metrics.to_string())
            .env("BANYANGAUGE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        RUNNING.lock().unwrap().push(child.id());
        // The script ends the processes that are left if this one is ended.
        let pids = self.log.with_file_name("pids");
        let mut pids = File::options().create(true).append(true).open(pids)?;
        writeln!(pids, "{}", child.id())?;
        self.child = Some(child);
        Ok(())
    }

    /// Waits until the process says that it is ready.
    pub fn wait_ready(&self, patience: Duration) -> bool {
        let end = Instant::now() + patience;
        while Instant::now() < end {
            if self.is_ready().unwrap_or(false) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> io::Result<bool> {
        let mut stream = TcpStream::connect(self.ready)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /banyangauge/readiness HTTP/1.1\r\nhost: r\r\n\r\n")?;
        let head = http::read_head(&mut BufReader::new(stream))?;
        Ok(head.is_some_and(|h| h.status() == 200))
    }

    /// Returns the memory that the process takes.
    pub fn memory_kb(&self) -> Option<u64> {
        let pid = self.child.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Sends a signal by its name, as `TERM`.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let pid = child.id().to_string();
            Command::new("kill").args([&format!("-{name}"), &pid]).status().ok();
        }
    }

    /// Waits for the end of the process; returns whether it ended.
    pub fn wait_end(&mut self, patience: Duration) -> bool {
        let end = Instant::now() + patience;
        let Some(child) = &mut self.child else {
            return true;
        };
        while Instant::now() < end {
            if matches!(child.try_wait(), Ok(Some(_))) {
                let pid = child.id();
                RUNNING.lock().unwrap().retain(|p| *p != pid);
                self.child = None;
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
            RUNNING.lock().unwrap().retain(|p| *p != child.id());
        }
    }
}
