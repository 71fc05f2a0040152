//! Clients read long answers slowly.

use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::client::{Attempt, exchange};
use crate::deployment::{Addresses, Host, HostSettings, Route, configuration, start_all};
use crate::http::Reader;
use crate::server::{Server, Work};
use crate::store::Store;
use crate::{Stage, Verdict};

const ZONES: [&str; 1] = ["upp-a"];
const MEMORY_MB: u32 = 110;
/// Length of a long answer, and the number of clients that get one.
const ANSWER_BYTES: usize = 4_000_000;
const CLIENTS: usize = 60;
/// Length of a read of a slow client, and its pause after each.
const READ_BYTES: usize = 16_384;
const PAUSE: Duration = Duration::from_millis(250);

pub fn run(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let addresses = Addresses::new();
    let store = Store::start(addresses.store());
    let route = Route {
        name: "ledger",
        kind: "idempotent",
        service: "billing-app",
        timeout_ms: 39_000,
        slo_ms: 4_000,
        attempts: 2,
        is_resumable: false,
    };
    store.write(
        "op",
        "config",
        Some(&configuration(7, &[route], &[("huka270", &["k-1"])])),
    );
    let servers: Vec<Arc<Server>> = (0..3)
        .map(|number| {
            let name = format!("app-{number}");
            let address = addresses.server();
            Server::create(
                &name,
                "billing-app",
                ZONES[0],
                "2.0",
                address,
                &store,
                record,
                |head| {
                    if head.path().ends_with("long") {
                        Work::Answer {
                            after: Duration::from_millis(30),
                            bytes: ANSWER_BYTES,
                        }
                    } else {
                        Work::Answer {
                            after: Duration::from_millis(1_500),
                            bytes: 800,
                        }
                    }
                },
            )
        })
        .collect();
    let settings = HostSettings {
        name: "frontend-upp-a-1",
        zone: ZONES[0],
        zones: &ZONES,
        memory_mb: MEMORY_MB,
        store: store.address,
    };
    let host = Host::create(&settings, &addresses, &stage.folder);
    if !start_all(std::slice::from_ref(&host), record) {
        return Verdict::CouldNotRun;
    }
    std::thread::sleep(Duration::from_secs(2));
    // The platform kills a process that exceeds its memory.
    let is_over = Arc::new(AtomicBool::new(false));
    let was_killed = Arc::new(AtomicBool::new(false));
    let platform = {
        let (host, record) = (host.clone(), record.clone());
        let (is_over, was_killed) = (is_over.clone(), was_killed.clone());
        std::thread::spawn(move || {
            let mut peak: f64 = 0.0;
            while !is_over.load(Ordering::SeqCst) {
                let used = host.memory_mb();
                peak = peak.max(used);
                if used > f64::from(MEMORY_MB) {
                    record.note(format!(
                        "the process uses {used:.0} MB; the platform kills it"
                    ));
                    was_killed.store(true, Ordering::SeqCst);
                    host.kill();
                    return;
                }
                std::thread::sleep(Duration::from_millis(20));
            }
            record.note(format!("the process used {peak:.0} MB at most"));
        })
    };
    // Ordinary clients send short requests on connections that they keep.
    let unanswered = Arc::new(AtomicU32::new(0));
    let answered = Arc::new(AtomicU32::new(0));
    let ordinary = (0..10).map(|_| {
        let (host, record, is_over) = (host.clone(), record.clone(), is_over.clone());
        let (answered, unanswered) = (answered.clone(), unanswered.clone());
        let servers = servers.clone();
        std::thread::spawn(move || {
            let Ok(stream) = host.connect_directly() else { return };
            let mut reader = Reader::new(stream);
            while !is_over.load(Ordering::SeqCst) {
                let attempt = Attempt::new("GET", "/ledger/1", "k-1", Duration::from_secs(6));
                match exchange(&mut reader, &attempt) {
                    Ok(_) => {
                        answered.fetch_add(1, Ordering::SeqCst);
                    }
                    Err(error) => {
                        let has_run = servers.iter().any(|server| server.has_run(&attempt.id));
                        record.note(format!(
                            "attempt {} on a kept connection ends without an answer: {error}; \
                             passed on: {has_run}",
                            attempt.id
                        ));
                        unanswered.fetch_add(u32::from(has_run), Ordering::SeqCst);
                        return;
                    }
                }
            }
        })
    });
    let ordinary: Vec<_> = ordinary.collect();
    let start = Instant::now();
    let slow = (0..CLIENTS).map(|number| {
        let (host, has_trouble) = (host.clone(), stage.has_trouble);
        let (is_over, record) = (is_over.clone(), record.clone());
        std::thread::spawn(move || {
            let due = start + Duration::from_millis(200) * number as u32;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let attempt =
                Attempt::new("GET", "/ledger/long", "k-1", Duration::from_secs(35));
            let Ok(mut stream) = host.connect_directly() else {
                return;
            };
            if attempt.send(&mut stream).is_err() {
                return;
            }
            let mut bytes = vec![0; READ_BYTES];
            let mut read = 0;
            while read < ANSWER_BYTES && !is_over.load(Ordering::SeqCst) {
                match stream.read(&mut bytes) {
                    Ok(length) if length > 0 => read += length,
                    _ => break,
                }
                if has_trouble {
                    std::thread::sleep(PAUSE);
                }
            }
            record.note(format!(
                "client {number} has read {read} bytes of a long answer"
            ));
        })
    });
    let slow: Vec<_> = slow.collect();
    while start.elapsed() < Duration::from_secs(20) && !was_killed.load(Ordering::SeqCst)
    {
        std::thread::sleep(Duration::from_millis(100));
    }
    std::thread::sleep(Duration::from_millis(500));
    is_over.store(true, Ordering::SeqCst);
    for thread in slow.into_iter().chain(ordinary) {
        let _ = thread.join();
    }
    let _ = platform.join();
    let (answered, unanswered) = (
        answered.load(Ordering::SeqCst),
        unanswered.load(Ordering::SeqCst),
    );
    record.note(format!(
        "ordinary requests answered: {answered}; passed on and left without an answer on kept \
         connections: {unanswered}; the process was killed for its memory: {}",
        was_killed.load(Ordering::SeqCst)
    ));
    // LOST, at any time; a process that ends by itself counts as running.
    if answered == 0 {
        Verdict::CouldNotRun
    } else if was_killed.load(Ordering::SeqCst) && unanswered > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
