//! Processor time of the entry host's threads.

use std::fs;

/// Name of the entry host's threads.
pub(crate) const ENTRY_THREAD: &str = "entry-host";
/// Time of one tick of the kernel's accounting.
const TICK_MS: u64 = 10;

/// Returns the processor time that the entry host's threads have used.
pub(crate) fn entry_threads_ms() -> u64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return 0;
    };
    let stats = tasks
        .flatten()
        .filter_map(|task| fs::read_to_string(task.path().join("stat")).ok());
    stats.filter_map(|stat| thread_ms(&stat)).sum()
}

/// Reads user and system time from a thread's line, where its name fits.
fn thread_ms(stat: &str) -> Option<u64> {
    let (head, rest) = stat.rsplit_once(')')?;
    if !head.ends_with(ENTRY_THREAD) {
        return None;
    }
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let user: u64 = fields.get(11)?.parse().ok()?;
    let system: u64 = fields.get(12)?.parse().ok()?;
    Some((user + system) * TICK_MS)
}
