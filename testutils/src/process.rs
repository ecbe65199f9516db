//! Starts, signals and stops the programs, each by its process id.

use std::fs::File;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

/// How long a program may take to end after SIGTERM before it is killed.
const STOP_LIMIT: Duration = Duration::from_secs(40);

/// The folder of the programs: the one that the running test was built into.
///
/// # Errors
///
/// When the running program's path cannot be told.
pub fn program_folder() -> io::Result<PathBuf> {
    let exe = std::env::current_exe()?;
    let mut dir = exe.parent().unwrap_or(Path::new(".")).to_owned();
    if dir.ends_with("deps") {
        dir.pop();
    }
    Ok(dir)
}

/// A running program; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    frozen: bool,
}

impl Process {
    /// Starts `program` with its output in `log`.
    ///
    /// # Errors
    ///
    /// When the program or its log file cannot be opened.
    pub fn start(program: &str, args: &[String], log: &Path) -> io::Result<Self> {
        let out = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program_folder()?.join(program))
            .args(args)
            .stdin(Stdio::null())
            .stdout(out.try_clone()?)
            .stderr(out)
            .spawn()?;
        Ok(Self {
            child,
            frozen: false,
        })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            // It may have ended on its own; the wait tells.
            let _ = kill_process(pid, signal);
        }
    }

    /// Ends it at once, as a lost VM would.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        let _ = self.child.wait();
    }

    /// Asks for a graceful stop without waiting for it.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Tells it that its settings may have changed.
    pub fn hangup(&self) {
        self.signal(Signal::HUP);
    }

    /// Stops its clock, as a paused VM would.
    pub fn freeze(&mut self) {
        self.frozen = true;
        self.signal(Signal::STOP);
    }

    /// Lets it go on.
    pub fn thaw(&mut self) {
        self.frozen = false;
        self.signal(Signal::CONT);
    }

    /// Asks for a graceful stop and waits; `None` when it had to be killed.
    pub fn stop(&mut self) -> Option<ExitStatus> {
        self.terminate();
        let start = Instant::now();
        while start.elapsed() < STOP_LIMIT {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.kill();
        None
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.frozen {
            self.thaw();
        }
        self.kill();
    }
}
