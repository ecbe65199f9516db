//! Lines on their way to an output that may be slow or blocked.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread::JoinHandle;

use slog::Drain;
use slog::Never;
use slog::OwnedKVList;
use slog::Record;

/// Lines that may wait until they are written; more are dropped and counted, so
/// that a stuck output never holds up a request.
pub(super) const LOG_RING: usize = 4_096;

/// A drain that writes one JSON object a line, by a thread of its own.
///
/// `slog-async` counts a lost line twice where its own report finds no room,
/// which under a flood is each of them; here the number that is said is right.
/// What waits is written in one go, so a busy second costs few writes.
pub(super) struct Ring {
    lines: Option<SyncSender<Vec<u8>>>,
    /// Lines that are not written yet: those in the ring, and those that the
    /// thread took out of it.
    waiting: Arc<AtomicUsize>,
    lost: AtomicU64,
    writer: Mutex<Option<JoinHandle<()>>>,
}

impl Ring {
    pub(super) fn new(output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (lines, taken) = sync_channel(LOG_RING);
        let waiting = Arc::new(AtomicUsize::new(0));
        let unwritten = waiting.clone();
        let writer = std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&taken, &unwritten, output))?;
        Ok(Self {
            lines: Some(lines),
            waiting,
            lost: AtomicU64::new(0),
            writer: Mutex::new(Some(writer)),
        })
    }

    fn send(&self, record: &Record<'_>, values: &OwnedKVList) -> bool {
        let mut line = Vec::new();
        let json = slog_json::Json::default(&mut line);
        let Some(lines) = &self.lines else {
            return false;
        };
        if json.log(record, values).is_err() {
            return false;
        }
        let free = |waiting: usize| (waiting < LOG_RING).then_some(waiting + 1);
        let order = Ordering::Relaxed;
        if self.waiting.fetch_update(order, order, free).is_err() {
            return false;
        }
        let sent = lines.try_send(line).is_ok();
        if !sent {
            self.waiting.fetch_sub(1, order);
        }
        sent
    }
}

impl Drain for Ring {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let lost = self.lost.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let told = self.send(
                &slog::record!(
                    slog::Level::Warning,
                    "",
                    &format_args!("lines lost"),
                    slog::b!("count" => lost)
                ),
                values,
            );
            if !told {
                // No room for the report, so there is none for the line.
                self.lost.fetch_add(lost + 1, Ordering::Relaxed);
                return Ok(());
            }
        }
        if !self.send(record, values) {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

impl Drop for Ring {
    fn drop(&mut self) {
        self.lines = None;
        let mut writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(writer) = writer.take() {
            // It ends once it has written what waited; its panic is no
            // reason for one here.
            writer.join().ok();
        }
    }
}

/// Writes lines as they come, all that wait at a time.
fn write_all(taken: &Receiver<Vec<u8>>, waiting: &AtomicUsize, mut output: impl Write) {
    while let Ok(mut lines) = taken.recv() {
        let mut count = 1;
        for line in taken.try_iter().take(LOG_RING) {
            lines.extend_from_slice(&line);
            count += 1;
        }
        let written = output.write_all(&lines).and_then(|()| output.flush());
        waiting.fetch_sub(count, Ordering::Relaxed);
        if written.is_err() {
            // Nobody reads the output any more; there is no other place to
            // say so.
            return;
        }
    }
}
