//! A bounded, non-blocking `slog` drain for outputs that may be slow or blocked.

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

/// Maximum number of unwritten lines. Further lines are dropped and counted, so
/// that a blocked output never delays a request.
pub(super) const MAX_PENDING_LINES: usize = 4_096;

/// A drain that writes one JSON object per line on a separate thread.
///
/// Used instead of `slog-async`, which counts a dropped line twice when the queue
/// has no room for its report of the loss either, as always happens under a
/// flood. This drain reports the exact number. All pending lines are written in one call, which
/// keeps the number of system calls low under load.
pub(super) struct JsonDrain {
    /// `None` once the drain is being dropped.
    queue: Option<SyncSender<Vec<u8>>>,
    /// Unwritten lines: those in the queue and those that the writer thread has
    /// taken from it but not written yet.
    pending: Arc<AtomicUsize>,
    /// Lines dropped since the last report of a loss.
    dropped: AtomicU64,
    writer: Mutex<Option<JoinHandle<()>>>,
}

impl JsonDrain {
    pub(super) fn new(output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (queue, lines) = sync_channel(MAX_PENDING_LINES);
        let pending = Arc::new(AtomicUsize::new(0));
        let unwritten = pending.clone();
        let writer = std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&lines, &unwritten, output))?;
        Ok(Self {
            queue: Some(queue),
            pending,
            dropped: AtomicU64::new(0),
            writer: Mutex::new(Some(writer)),
        })
    }

    /// Queues a line; returns `false` if there is no room for it.
    fn try_send(&self, record: &Record<'_>, values: &OwnedKVList) -> bool {
        let mut line = Vec::new();
        let json = slog_json::Json::default(&mut line);
        let Some(queue) = &self.queue else {
            return false;
        };
        if json.log(record, values).is_err() {
            return false;
        }
        let reserve = |pending: usize| (pending < MAX_PENDING_LINES).then_some(pending + 1);
        let order = Ordering::Relaxed;
        if self.pending.fetch_update(order, order, reserve).is_err() {
            return false;
        }
        let sent = queue.try_send(line).is_ok();
        if !sent {
            self.pending.fetch_sub(1, order);
        }
        sent
    }
}

impl Drain for JsonDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let reported = self.try_send(
                &slog::record!(
                    slog::Level::Warning,
                    "",
                    &format_args!("lines lost"),
                    slog::b!("count" => dropped)
                ),
                values,
            );
            if !reported {
                // The queue is still full, so drop the new line as well.
                self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
                return Ok(());
            }
        }
        if !self.try_send(record, values) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

impl Drop for JsonDrain {
    fn drop(&mut self) {
        self.queue = None;
        let mut writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(writer) = writer.take() {
            // The thread ends after it has written the pending lines. Its panic
            // must not cause one here.
            writer.join().ok();
        }
    }
}

/// Writes lines until the queue is closed, all that are pending in one batch.
fn write_lines(lines: &Receiver<Vec<u8>>, pending: &AtomicUsize, mut output: impl Write) {
    while let Ok(mut batch) = lines.recv() {
        let mut count = 1;
        for line in lines.try_iter().take(MAX_PENDING_LINES) {
            batch.extend_from_slice(&line);
            count += 1;
        }
        let written = output.write_all(&batch).and_then(|()| output.flush());
        pending.fetch_sub(count, Ordering::Relaxed);
        if written.is_err() {
            // The output is closed, and there is nowhere else to report it.
            return;
        }
    }
}
