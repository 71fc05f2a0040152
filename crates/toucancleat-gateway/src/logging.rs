//! Writes logs as JSON lines to the standard output.
//!
//! Lines pass through a bounded queue to a writer thread, so that a blocked standard output
//! never delays a request. Lines that find the queue full are dropped and counted; the
//! count is logged once there is room again.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use serde_json::json;

/// Name of the environment variable that sets the log level.
const LEVEL_VARIABLE: &str = "TOUCANCLEAT_LOG";

/// Maximum number of lines that wait to be written; a busy host logs as many in some
/// seconds.
const QUEUE_LINES: usize = 2_048;

/// Maximum wait of [`flush`] for the queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(50);

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
static QUEUED_LINES: AtomicU64 = AtomicU64::new(0);

/// Starts logging for the process. A second call has no effect.
pub fn start(process: &str) {
    let process = process.to_owned();
    let (sender, queue) = sync_channel(QUEUE_LINES);
    let writer = std::thread::Builder::new().name("log".to_owned());
    if writer.spawn(move || write_lines(&queue)).is_err() {
        return;
    }
    let env = env_logger::Env::new().filter_or(LEVEL_VARIABLE, "info");
    let started = env_logger::Builder::from_env(env)
        .target(env_logger::Target::Pipe(Box::new(LineQueue(sender))))
        .format(move |out, record| {
            writeln!(out, "{}", toucancleat_log::format_line(&process, record))
        })
        .try_init();
    drop(started);
}

/// Waits until the queued lines are written, but no longer than [`FLUSH_TIMEOUT`].
pub fn flush() {
    let end = std::time::Instant::now() + FLUSH_TIMEOUT;
    while QUEUED_LINES.load(Ordering::Relaxed) > 0 && std::time::Instant::now() < end {
        std::thread::sleep(Duration::from_millis(1));
    }
}

struct LineQueue(SyncSender<Vec<u8>>);

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        QUEUED_LINES.fetch_add(1, Ordering::Relaxed);
        if self.0.try_send(line.to_vec()).is_err() {
            QUEUED_LINES.fetch_sub(1, Ordering::Relaxed);
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn write_lines(queue: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    while let Ok(line) = queue.recv() {
        // There is no other place to report a failure of the standard output.
        let _ = out.write_all(&line);
        QUEUED_LINES.fetch_sub(1, Ordering::Relaxed);
        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = writeln!(
                out,
                "{}",
                json!({ "message": "log lines lost", "lines": dropped })
            );
        }
    }
}
