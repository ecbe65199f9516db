//! Logs under a flood: bounded, never blocking, and what is lost is said.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::mpsc;
use std::time::Duration;

use banyangauge::telemetry::json_logger;

/// Lines of a flood, many times what may wait.
const FLOOD: usize = 50_000;

/// How long the flood may take if nothing blocks it; a blocked one never ends.
const PATIENCE: Duration = Duration::from_secs(60);

/// Lines that may wait while the output takes none.
const MOST_WAITING: usize = 4_096;

/// The state of a [`Gate`].
#[derive(Default)]
struct Passage {
    /// Writes that began.
    begun: u64,
    /// Writes that may end.
    allowed: u64,
}

/// An output that takes nothing until its gate is opened.
#[derive(Clone, Default)]
struct Gate {
    passage: Arc<(Mutex<Passage>, Condvar)>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Gate {
    fn open(&self) {
        self.allow(u64::MAX);
    }

    /// Lets so many writes through, counted from the first one.
    fn allow(&self, writes: u64) {
        self.passage.0.lock().unwrap().allowed = writes;
        self.passage.1.notify_all();
    }

    /// Waits until this write has begun.
    fn until_begun(&self, write: u64) {
        let passage = self.passage.0.lock().unwrap();
        let begun = self.passage.1.wait_while(passage, |p| p.begun < write);
        drop(begun.unwrap());
    }

    /// The lines that were written to their end.
    fn lines(&self) -> Vec<serde_json::Value> {
        let written = self.written.lock().unwrap();
        let end = written.iter().rposition(|b| *b == b'\n');
        let whole = &written[..end.map_or(0, |at| at + 1)];
        let text = std::str::from_utf8(whole).unwrap();
        let lines = text.lines().map(serde_json::from_str);
        lines.collect::<Result<_, _>>().unwrap()
    }
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut passage = self.passage.0.lock().unwrap();
        passage.begun += 1;
        let write = passage.begun;
        self.passage.1.notify_all();
        let passed = self.passage.1.wait_while(passage, |p| p.allowed < write);
        drop(passed.unwrap());
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whoever logs goes on while the output takes nothing, and the memory that
/// waiting lines take is bounded; once it takes them, the lost ones are counted.
#[test]
fn json_logger_blocked_loses_lines_and_says_so() {
    let gate = Gate::default();
    let output = gate.clone();
    let (done, ended) = mpsc::channel();
    std::thread::spawn(move || {
        let log = json_logger("test", output);
        for number in 0..FLOOD {
            slog::info!(log, "line"; "number" => number);
        }
        done.send(log).unwrap();
    });
    let log = ended.recv_timeout(PATIENCE).expect("logging was blocked");
    gate.open();
    // The loss is said with the next line that finds room.
    let mut later = 0;
    while !gate.lines().iter().any(|l| l["msg"] == "later") {
        slog::info!(log, "later");
        later += 1;
        std::thread::sleep(Duration::from_millis(1));
    }
    // The writing thread ends with the last logger, after all its lines.
    drop(log);
    let lines = gate.lines();
    let written = |msg| lines.iter().filter(|l| l["msg"] == msg).count();
    let lost: u64 = lines.iter().filter_map(|l| l["count"].as_u64()).sum();
    assert!(written("line") < FLOOD / 10, "{} waited", written("line"));
    let known = written("line") + written("later") + lost as usize;
    assert_eq!(known, FLOOD + later);
}

/// The thread that writes takes all lines that wait out of the ring before its
/// write blocks. They wait still: counted as gone, they let the ring fill a
/// second time, and 8,192 lines waited where 4,096 may (5,049 were seen once,
/// as the thread happened to take 953 of them early).
#[test]
fn json_logger_taken_lines_wait_until_written() {
    let gate = Gate::default();
    let log = json_logger("test", gate.clone());
    slog::info!(log, "line");
    gate.until_begun(1);
    let flood = || (0..FLOOD).for_each(|_| slog::info!(log, "line"));
    flood();
    gate.allow(1);
    gate.until_begun(2);
    flood();
    gate.open();
    drop(log);
    let lines = gate.lines();
    let waited = lines.iter().filter(|l| l["msg"] == "line").count();
    assert!(waited <= 1 + MOST_WAITING, "{waited} waited");
}
