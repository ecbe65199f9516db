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

/// An output that takes nothing until its gate is opened.
#[derive(Clone, Default)]
struct Gate {
    open: Arc<(Mutex<bool>, Condvar)>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Gate {
    fn open(&self) {
        *self.open.0.lock().unwrap() = true;
        self.open.1.notify_all();
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
        let open = self.open.0.lock().unwrap();
        drop(self.open.1.wait_while(open, |open| !*open).unwrap());
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
