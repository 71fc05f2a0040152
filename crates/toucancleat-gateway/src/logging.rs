//! Logs as JSON lines on the standard output.
//!
//! Lines are handed to a thread through a bounded queue, so that a reader that doesn't
//! read never holds up a request. Lines that find the queue full are counted, and the
//! count is written when there is room again.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::kv::{self, Key, Value, VisitSource};
use serde_json::{Map, json};

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
            let at = SystemTime::now().duration_since(UNIX_EPOCH);
            let at_unix_ms = at.map_or(0, |since| since.as_millis() as u64);
            let mut line = Map::new();
            line.insert("at_unix_ms".to_owned(), json!(at_unix_ms));
            line.insert("level".to_owned(), json!(record.level().as_str()));
            line.insert("process".to_owned(), json!(process));
            line.insert("message".to_owned(), json!(record.args().to_string()));
            let mut fields = Fields(line);
            // N.B. the visitor never fails, so no field is lost here.
            let _ = record.key_values().visit(&mut fields);
            writeln!(out, "{}", serde_json::Value::Object(fields.0))
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

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: Value<'kvs>,
    ) -> Result<(), kv::Error> {
        let value = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => json!(number),
            (_, Some(number), _) => json!(number),
            (_, _, Some(flag)) => json!(flag),
            _ => json!(value.to_string()),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}
