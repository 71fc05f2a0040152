//! A server in trouble sends line ends without end in the body of six answers.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{ZONES, add_lookup_servers, configuration, model_headers};
use crate::client::{self, Request, new_attempt_id};
use crate::deployment::{Deployment, Exchange, Handler, Host, Record};

/// Timeout of the routes of the lookups.
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after the timeout within which the answer has to be there.
const SLACK: Duration = Duration::from_millis(500);

/// Requests that are unanswered at their timeout from which the rule is judged.
const UNANSWERED_MIN: usize = 8;

/// From when on the server in trouble spoils its answers, and how many.
const SPOILED_FROM: Duration = Duration::from_secs(5);
const SPOILED: u32 = 6;

const LENGTH: Duration = Duration::from_secs(60);
const DRAFT_EVENTS: u64 = 50;
const EVENT_PAUSE: Duration = Duration::from_millis(100);

/// A client abandons a stream after a gap of four objectives of 1,800 ms.
const GAP_MAX: Duration = Duration::from_millis(7_200);

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut deployment = Deployment::new(record.clone());
    deployment.store.write("op", "config", Some(&configuration(7, false)));
    // Answers that the server in trouble still has to spoil.
    let to_spoil = Arc::new(AtomicU32::new(0));
    for number in 0..4 {
        let to_spoil = to_spoil.clone();
        let model: Handler = Arc::new(move |mut exchange: Exchange| {
            let is_spoiled = number == 0 && take_one(&to_spoil);
            std::thread::sleep(Duration::from_millis(200));
            if is_spoiled {
                send_lines_without_end(&mut exchange);
            } else {
                exchange.run_stream(DRAFT_EVENTS, EVENT_PAUSE);
            }
        });
        let zone = ZONES[usize::from(number)];
        deployment.add_server(number, ("plan-llm", zone, "v1"), 24, model);
    }
    add_lookup_servers(&deployment);
    deployment.add_hosts(2, &ZONES);
    deployment.start_all();
    let start = Instant::now();
    if has_trouble {
        std::thread::spawn(move || {
            std::thread::sleep(SPOILED_FROM.saturating_sub(start.elapsed()));
            to_spoil.store(SPOILED, Ordering::Relaxed);
        });
    }
    let lookups: Arc<Mutex<Vec<Duration>>> = Arc::default();
    let mut threads = Vec::new();
    let mut number = 0_usize;
    while start.elapsed() < LENGTH {
        number += 1;
        let host = deployment.hosts[number % 2].clone();
        let (record, lookups) = (record.clone(), lookups.clone());
        threads.push(std::thread::spawn(move || match number % 10 {
            0 | 1 => request_draft(&record, &host),
            _ => {
                let took = look_up(&record, &host, number % 3 == 0);
                lookups.lock().unwrap().push(took);
            }
        }));
        std::thread::sleep(Duration::from_millis(50));
    }
    for thread in threads {
        let _ = thread.join();
    }
    deployment.end();
    let lookups = lookups.lock().unwrap();
    let unanswered = lookups.iter().filter(|took| **took > TIMEOUT).count();
    let late = lookups.iter().filter(|took| **took > TIMEOUT + SLACK).count();
    let text = format!(
        "{} lookups; unanswered at their route's timeout: {unanswered}; without an answer half a second later: {late}; longest {} ms",
        lookups.len(),
        lookups.iter().max().map_or(0, Duration::as_millis),
    );
    record.write(&text);
    println!("{text}");
    unanswered >= UNANSWERED_MIN && 2 * late > unanswered
}

/// Takes one of a number, and returns false if none is left.
fn take_one(number: &AtomicU32) -> bool {
    let take = |left: u32| left.checked_sub(1);
    number.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
}

/// Sends the head of a stream, and then line ends until the connection is closed.
fn send_lines_without_end(exchange: &mut Exchange) {
    let (server, id) = (exchange.server.id.clone(), exchange.attempt_id().to_owned());
    exchange.record.write(&format!("server {server}: answers {id} with line ends without end"));
    exchange.begin_stream();
    let chunk = format!("{:x}\r\n{}\r\n", 1_048_576, "\n".repeat(1_048_576));
    while exchange.connection.send(chunk.as_bytes()) {}
    exchange.record.write(&format!("server {server}: the connection of {id} is closed"));
}

/// Requests a draft and reads its events, until it ends or no event has come for too long.
fn request_draft(record: &Record, host: &Host) {
    let request = Request {
        key: client::KEY,
        method: "POST",
        path: "/draft/2f".to_owned(),
        attempt_id: new_attempt_id(),
        headers: model_headers(1_079, 400),
        body: "plan".repeat(700),
        time_limit: Duration::from_millis(39_000),
    };
    let id = &request.attempt_id;
    record.write(&format!("client: sent draft {id} to {}", host.name));
    let mut splitter = client::Events::default();
    let (mut events, mut bytes) = (0, 0);
    let mut last_event = Instant::now();
    let outcome = client::send(host.callers_address(), &request, |_| {}, |part| {
        bytes += part.len();
        let ids = splitter.push(part);
        if !ids.is_empty() {
            last_event = Instant::now();
            events += ids.len();
        }
        last_event.elapsed() < GAP_MAX
    });
    record.write(&format!(
        "client: draft {id} ended: status {} complete {} events {events} bytes {bytes} after {} ms",
        outcome.status,
        outcome.is_complete,
        outcome.took.as_millis()
    ));
}

/// Requests a lookup and returns the time to its answer.
fn look_up(record: &Record, host: &Host, is_idempotent: bool) -> Duration {
    let request = Request {
        key: client::KEY,
        method: if is_idempotent { "GET" } else { "POST" },
        path: if is_idempotent { "/coach/2f" } else { "/driver/2f" }.to_owned(),
        attempt_id: new_attempt_id(),
        headers: String::new(),
        body: String::new(),
        // Longer than the route's timeout, to see when the answer comes.
        time_limit: Duration::from_millis(5_000),
    };
    let outcome = client::fetch(host.callers_address(), &request);
    record.write(&format!(
        "client: {} {} at {}: status {} after {} ms",
        request.path,
        request.attempt_id,
        host.name,
        outcome.status,
        outcome.took.as_millis()
    ));
    outcome.took
}
