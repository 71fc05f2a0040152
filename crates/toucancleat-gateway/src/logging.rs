//! Logs as JSON lines on the standard output.
//!
//! Lines are handed to a thread through a bounded queue, so that a reader that doesn't
//! read never holds up a request. Lines that find the queue full are counted, and the
//! count is written when there is room again.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use serde_json::json;

/// Name of the environment variable that sets the level.
const LEVEL_VARIABLE: &str = "TOUCANCLEAT_LOG";

/// Lines that may wait to be written; some seconds of a busy host.
const QUEUE_LINES: usize = 2_048;

/// Longest wait for the queue to be written at the end.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(50);

static LOST_LINES: AtomicU64 = AtomicU64::new(0);
static WAITING_LINES: AtomicU64 = AtomicU64::new(0);

/// Starts logging for the process; a second call changes nothing.
pub fn start(process: &str) {
    let process = process.to_owned();
    let (lines, queue) = sync_channel(QUEUE_LINES);
    let writer = std::thread::Builder::new().name("log".to_owned());
    if writer.spawn(move || write(&queue)).is_err() {
        return;
    }
    let env = env_logger::Env::new().filter_or(LEVEL_VARIABLE, "info");
    let started = env_logger::Builder::from_env(env)
        .target(env_logger::Target::Pipe(Box::new(Queue(lines))))
        .format(move |out, record| {
            writeln!(out, "{}", toucancleat_log::line(&process, record))
        })
        .try_init();
    drop(started);
}

/// Waits a moment for the queue to be written.
pub fn flush() {
    let end = std::time::Instant::now() + FLUSH_TIMEOUT;
    while WAITING_LINES.load(Ordering::Relaxed) > 0 && std::time::Instant::now() < end {
        std::thread::sleep(Duration::from_millis(1));
    }
}

struct Queue(SyncSender<Vec<u8>>);

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        WAITING_LINES.fetch_add(1, Ordering::Relaxed);
        if self.0.try_send(line.to_vec()).is_err() {
            WAITING_LINES.fetch_sub(1, Ordering::Relaxed);
            LOST_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn write(queue: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    while let Ok(line) = queue.recv() {
        // Nobody is left to tell when the standard output can't be written.
        let _ = out.write_all(&line);
        WAITING_LINES.fetch_sub(1, Ordering::Relaxed);
        let lost = LOST_LINES.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let _ = writeln!(
                out,
                "{}",
                json!({ "message": "log lines lost", "lines": lost })
            );
        }
    }
}
