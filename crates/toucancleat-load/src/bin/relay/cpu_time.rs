//! Reads the processor time of the entry host's threads from procfs.

use std::fs;

/// Name of the entry host's threads.
pub(crate) const ENTRY_THREAD: &str = "entry-host";
/// Duration of a clock tick, the kernel's unit of processor time.
const TICK_MS: u64 = 10;

/// Returns the processor time that the entry host's threads have used, in milliseconds.
///
/// Returns 0 if procfs can't be read.
pub(crate) fn entry_threads_cpu_ms() -> u64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return 0;
    };
    let stats = tasks
        .flatten()
        .filter_map(|task| fs::read_to_string(task.path().join("stat")).ok());
    stats.filter_map(|stat| thread_cpu_ms(&stat)).sum()
}

/// Parses the user and system time from a thread's `stat` line. Returns `None` for threads of
/// other names.
fn thread_cpu_ms(stat: &str) -> Option<u64> {
    let (head, rest) = stat.rsplit_once(')')?;
    if !head.ends_with(ENTRY_THREAD) {
        return None;
    }
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let user: u64 = fields.get(11)?.parse().ok()?;
    let system: u64 = fields.get(12)?.parse().ok()?;
    Some((user + system) * TICK_MS)
}
