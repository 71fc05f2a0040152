//! Two of the three machines of a zone are stopped and started in turn.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{configuration, model_headers};
use crate::client::{self, Events, KEY, Request, new_attempt_id};
use crate::deployment::{Deployment, Exchange, Handler, Host, Record};

const ZONE: &str = "upp-b";

/// When the first machine gets SIGTERM in each round, and how much later the second one does.
const STOPPED_AT: [Duration; 4] = [
    Duration::from_secs(6),
    Duration::from_secs(26),
    Duration::from_secs(46),
    Duration::from_secs(66),
];
const STOP_GAP: Duration = Duration::from_millis(1_300);

/// Time from SIGTERM to SIGKILL, and from the end of a process to its next start.
const GRACE: Duration = Duration::from_secs(8);
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// A request that was sent up to this time after the SIGTERM may be cut while its server is at work.
const SENT_MAX: Duration = Duration::from_secs(3);

const LENGTH: Duration = Duration::from_secs(80);

/// A check lasts for 5.1 s: its first event comes after 0.3 s, and its client waits for 6 s.
const CHECK_EVENTS: u64 = 40;
const EVENT_PAUSE: Duration = Duration::from_millis(120);
const FIRST_EVENT: Duration = Duration::from_millis(180);
const CHECK_TIME_LIMIT: Duration = Duration::from_millis(6_000);
const CHECK_PAUSE: Duration = Duration::from_millis(80);

/// A check whose answer broke off.
struct Broken {
    id: String,
    host: String,
    sent: Instant,
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut deployment = Deployment::new(record.clone());
    deployment.store.write("op", "config", Some(&configuration(7, false)));
    // The attempts that servers have got.
    let passed_on: Arc<Mutex<Vec<String>>> = Arc::default();
    for number in 0..6 {
        let passed_on = passed_on.clone();
        let model: Handler = Arc::new(move |mut exchange: Exchange| {
            passed_on.lock().unwrap().push(exchange.attempt_id().to_owned());
            std::thread::sleep(FIRST_EVENT);
            exchange.run_stream(CHECK_EVENTS, EVENT_PAUSE);
        });
        deployment.add_server(number, ("plan-llm", ZONE, "v1"), 24, model);
    }
    deployment.add_hosts(3, &[ZONE]);
    deployment.start_all();
    let deployment = Arc::new(deployment);
    let start = Instant::now();
    let stopped: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let broken: Arc<Mutex<Vec<Broken>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    if has_trouble {
        for (index, host) in deployment.hosts.iter().take(2).enumerate() {
            let (host, record, stopped) = (host.clone(), record.clone(), stopped.clone());
            threads.push(std::thread::spawn(move || {
                for stopped_at in STOPPED_AT {
                    let at = start + stopped_at + STOP_GAP * index as u32;
                    std::thread::sleep(at.saturating_duration_since(Instant::now()));
                    stopped.lock().unwrap().push((host.name.clone(), Instant::now()));
                    host.stop(&record, GRACE);
                    std::thread::sleep(RESTART_DELAY);
                    host.start(&record);
                }
            }));
        }
    }
    let mut number = 0_usize;
    while start.elapsed() < LENGTH {
        number += 1;
        let (deployment, broken, record) = (deployment.clone(), broken.clone(), record.clone());
        let is_over = is_over.clone();
        threads.push(std::thread::spawn(move || {
            for attempt in 0..2 {
                // The platform sends each new connection to a machine, a retry to another.
                let hosts = deployment.destinations();
                let host = &hosts[(number + attempt) % hosts.len()];
                if !check(&record, host, &broken, &is_over) {
                    return;
                }
            }
        }));
        std::thread::sleep(CHECK_PAUSE);
    }
    is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    deployment.end();
    let (passed_on, stopped) = (passed_on.lock().unwrap(), stopped.lock().unwrap());
    let broken = broken.lock().unwrap();
    let is_lost = |broken: &&Broken| {
        let is_late = |(host, at): &(String, Instant)| {
            *host == broken.host && broken.sent > *at + SENT_MAX && broken.sent < *at + GRACE
        };
        stopped.iter().any(is_late) && passed_on.contains(&broken.id)
    };
    let lost = broken.iter().filter(is_lost).count();
    let text = format!(
        "{lost} checks that were sent later than 3 s after the SIGTERM of their machine were passed on to a server, \
         and their connection ended without a complete answer"
    );
    record.write(&text);
    println!("{text}");
    lost > 0
}

/// Requests a check on a new connection. Returns true if the request has not run, and may be sent
/// once more.
fn check(record: &Record, host: &Host, broken: &Mutex<Vec<Broken>>, is_over: &AtomicBool) -> bool {
    let request = Request {
        key: KEY,
        method: "POST",
        path: "/check/2f".to_owned(),
        attempt_id: new_attempt_id(),
        headers: model_headers(350, 400),
        body: "pair".repeat(100),
        time_limit: CHECK_TIME_LIMIT,
    };
    let id = &request.attempt_id;
    let sent = Instant::now();
    let mut splitter = Events::default();
    let mut last_event = 0;
    let outcome = client::send(host.callers_address(), &request, |_| {}, |part| {
        last_event = splitter.push(part).last().copied().unwrap_or(last_event);
        !is_over.load(Ordering::Relaxed)
    });
    record.write(&format!(
        "client: check {id} to {}: status {} complete {} last event {last_event} after {} ms",
        host.name,
        outcome.status,
        outcome.is_complete,
        outcome.took.as_millis(),
    ));
    let is_in_time = outcome.took < CHECK_TIME_LIMIT - Duration::from_millis(50);
    if !outcome.is_complete && is_in_time && !is_over.load(Ordering::Relaxed) {
        let host = host.name.clone();
        broken.lock().unwrap().push(Broken { id: id.clone(), host, sent });
    }
    matches!(outcome.status, 0 | 429 | 503) && last_event == 0
}
