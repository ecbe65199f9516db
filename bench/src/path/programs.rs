//! The programs of one measurement: started here, stopped by process id.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::ops::Range;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use super::PathArgs;
use super::PathError;
use super::process;
use super::process::Usage;

/// The team's bearer key.
pub(super) const KEY: &str = "path-team";

/// SHA-256 of [`KEY`].
const KEY_HASH: &str = "bc98931d7d12a1a8da7415533ca915d440773406221775aaa3d5f36c2f14ce31";

/// The operator's key.
const OPERATOR: &str = "path-operator";

/// SHA-256 of [`OPERATOR`].
const OPERATOR_HASH: &str = "7aaa67461dc9dc3ac8f2c87c76e8a1e5ebe4620aa509982fd818b1237c193bbc";

/// Adapters that one plan creates: a plan travels in one message, whose limit
/// is 4 MiB, and takes about 600 bytes an adapter.
const ADAPTERS_A_PLAN: usize = 3_500;

/// How often a program that is not ready is tried, and how long after.
const TRIES: u32 = 100;
const TRY_GAP: Duration = Duration::from_millis(200);

/// The running programs; dropping them ends them.
#[derive(Debug)]
pub(super) struct Programs {
    children: Vec<Child>,
    folder: PathBuf,
    programs: PathBuf,
    /// Where the engine serves.
    pub(super) engine: SocketAddr,
    /// Where the entry serves.
    pub(super) entry: SocketAddr,
    control: SocketAddr,
    entry_pid: u32,
    control_pid: u32,
}

impl Programs {
    pub(super) fn start(args: &PathArgs) -> Result<Self, PathError> {
        let programs = match &args.programs {
            Some(folder) => folder.clone(),
            None => own_folder()?,
        };
        let folder = std::env::temp_dir().join(format!("banyan-path-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut started = Self {
            children: Vec::new(),
            folder,
            programs,
            engine: unset,
            entry: unset,
            control: unset,
            entry_pid: 0,
            control_pid: 0,
        };
        started.start_all()?;
        Ok(started)
    }

    fn start_all(&mut self) -> Result<(), PathError> {
        let platform = self.standin(&["platform"])?;
        let weights = self
            .standin(&["weights", "--loads-per-s", "100"])?
            .to_string();
        let engine = ["engine", "--weights", &weights, "--step-us", "0"];
        let sizes = ["--slots", "32", "--batch", "64", "--honours-token"];
        self.engine = self.standin(&[&engine[..], &sizes[..]].concat())?;
        [self.control, self.entry] = [free_port()?, free_port()?];
        let common = "vm = \"vm-1\"\nzone = \"suva-a\"\norganisation = \"path\"\n";
        let control = format!(
            "{common}listen = \"{}\"\nmetrics = \"{}\"\nplatform = \"{platform}\"\n\
             [operators]\npath = \"{OPERATOR_HASH}\"\n",
            self.control,
            free_port()?
        );
        self.control_pid = self.program("banyan-control", "control.toml", &control)?;
        let entry = format!(
            "{common}listen = \"{}\"\ninternal = \"{}\"\ncontrols = [\"{}\"]\n",
            self.entry,
            free_port()?,
            self.control
        );
        self.entry_pid = self.program("banyan-entry", "entry.toml", &entry)?;
        Ok(())
    }

    /// Starts a stand-in and reads where it listens.
    fn standin(&mut self, args: &[&str]) -> Result<SocketAddr, PathError> {
        let mut child = Command::new(self.programs.join("banyan-standin"))
            .args(args)
            .stdout(Stdio::piped())
            .spawn()?;
        let out = child.stdout.take();
        self.children.push(child);
        let mut line = String::new();
        if let Some(out) = out {
            BufReader::new(out).read_line(&mut line)?;
        }
        let address = line.split_whitespace().nth(1).and_then(|a| a.parse().ok());
        address.ok_or_else(|| PathError::Ready(format!("{args:?} said {line:?}")))
    }

    fn program(&mut self, name: &str, file: &str, settings: &str) -> io::Result<u32> {
        let file = self.folder.join(file);
        std::fs::write(&file, settings)?;
        let child = Command::new(self.programs.join(name))
            .arg("--settings")
            .arg(&file)
            .stderr(std::fs::File::create(file.with_extension("log"))?)
            .spawn()?;
        let pid = child.id();
        self.children.push(child);
        Ok(pid)
    }

    /// Configures the pool and all adapters through `banyan`, some at a time.
    pub(super) async fn configure(&self, args: &PathArgs) -> Result<(), PathError> {
        self.confirm(&intent(&self.pool_changes())).await?;
        let mut first = 0;
        while first < args.adapters {
            let end = args.adapters.min(first + ADAPTERS_A_PLAN);
            self.confirm(&intent(&adapter_changes(first..end))).await?;
            first = end;
        }
        Ok(())
    }

    /// Plans and confirms an intent; tries again while the programs start.
    async fn confirm(&self, intent: &str) -> Result<(), PathError> {
        let file = self.folder.join("intent.json");
        std::fs::write(&file, intent)?;
        let plan = self.folder.join("plan.json");
        let mut said = String::new();
        for _ in 0..TRIES {
            let mut ended = self.banyan(&["plan", text(&file), "--out", text(&plan)])?;
            if ended.is_ok() {
                ended = self.banyan(&["confirm", text(&plan)])?;
            }
            match ended {
                Ok(()) => return Ok(()),
                Err(e) => said = e,
            }
            tokio::time::sleep(TRY_GAP).await;
        }
        Err(PathError::Ready(said))
    }

    /// Runs `banyan`; what it said when it failed.
    fn banyan(&self, args: &[&str]) -> io::Result<Result<(), String>> {
        let output = Command::new(self.programs.join("banyan"))
            .args(["--control", &self.control.to_string(), "--key", OPERATOR])
            .args(args)
            .output()?;
        Ok(match output.status.success() {
            true => Ok(()),
            false => Err(String::from_utf8_lossy(&output.stderr).into_owned()),
        })
    }

    fn pool_changes(&self) -> Vec<Value> {
        let replica = json!({"name": "engine-1", "address": self.engine, "zone": "suva-a",
            "slots": 32, "batch": 64});
        vec![
            json!({"change": "put_team", "team": "path", "keys": [KEY_HASH], "share": 1}),
            json!({"change": "put_pool", "pool": "assistant", "spec": {
                "kind": "engine", "base": "base", "honours_token": true, "weighing": "stalls",
                "loads_per_s": 100.0, "step_us": 1, "replicas": [replica]}}),
        ]
    }

    pub(super) fn usage_entry(&self) -> io::Result<Usage> {
        process::usage(self.entry_pid)
    }

    pub(super) fn usage_control(&self) -> io::Result<Usage> {
        process::usage(self.control_pid)
    }

    /// Ends all programs.
    pub(super) fn stop(self) {
        drop(self);
    }
}

impl Drop for Programs {
    fn drop(&mut self) {
        // The last started first; nothing is in flight any more, so that there
        // is nothing for a graceful stop to finish.
        for child in self.children.iter_mut().rev() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn adapter_changes(numbers: Range<usize>) -> Vec<Value> {
    let mut changes = Vec::new();
    for number in numbers {
        let name = format!("adapter-{number:05}");
        changes.extend([
            json!({"change": "create_adapter", "adapter": name, "owner": "path",
                "pool": "assistant"}),
            json!({"change": "add_version", "adapter": name, "version": 1}),
            json!({"change": "serve", "team": "path", "adapter": name, "version": 1}),
        ]);
    }
    changes
}

fn intent(changes: &[Value]) -> String {
    json!({ "changes": changes }).to_string()
}

fn own_folder() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    Ok(own.parent().map(Path::to_owned).unwrap_or_default())
}

fn text(path: &Path) -> &str {
    path.to_str().unwrap_or_default()
}

/// A port that is free now; nothing else on this machine should take it in the
/// moment until the program binds it.
fn free_port() -> io::Result<SocketAddr> {
    TcpListener::bind(("127.0.0.1", 0))?.local_addr()
}
