//! A server in trouble sends bytes without end, each in a chunk of its own.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{ZONES, configuration, model_headers};
use crate::client::{self, KEY, KeptConnection, Request, new_attempt_id};
use crate::deployment::{Deployment, Exchange, Handler, Host, Record};

/// Answers from which the rule is broken.
const CLOSED_MAX: usize = 3;

/// When the server in trouble begins to spoil its next answer: the first time, and how often after
/// which pause.
const SPOILED_FIRST_AT: Duration = Duration::from_secs(4);
const SPOILED_PAUSE: Duration = Duration::from_millis(6_500);
const SPOILED: u32 = 8;

const DRAFT_EVENTS: u64 = 25;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
const DRAFT_PAUSE: Duration = Duration::from_millis(200);

/// A client abandons a stream after a gap of four objectives of 1,800 ms.
const GAP_MAX: Duration = Duration::from_millis(7_200);

const LENGTH: Duration = Duration::from_secs(58);

/// Clients of each machine, each with a connection that it keeps, and the pause between two of
/// their requests.
const CLIENTS: usize = 12;
const PAUSE: Duration = Duration::from_millis(400);

/// Time that a lookup takes at a sound server.
const WORK: Duration = Duration::from_millis(60);

/// Interval at which the platform looks at the memory of processes, and time after which it starts
/// one again that it has killed.
const MEMORY_INTERVAL: Duration = Duration::from_millis(20);
const RESTART_DELAY: Duration = Duration::from_millis(500);

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut deployment = Deployment::new(record.clone());
    deployment.store.write("op", "config", Some(&configuration(7, false)));
    let must_spoil = Arc::new(AtomicBool::new(false));
    for (number, zone) in ZONES.iter().enumerate() {
        let must_spoil = must_spoil.clone();
        let model: Handler = Arc::new(move |mut exchange: Exchange| {
            std::thread::sleep(Duration::from_millis(200));
            if number == 0 && must_spoil.swap(false, Ordering::Relaxed) {
                return send_chunks_without_end(&mut exchange);
            }
            exchange.run_stream(DRAFT_EVENTS, EVENT_PAUSE);
        });
        deployment.add_server(number as u8, ("plan-llm", zone, "v1"), 24, model);
    }
    // The attempts that sound servers have got.
    let passed_on: Arc<Mutex<Vec<String>>> = Arc::default();
    for (number, zone) in ZONES.iter().enumerate() {
        let passed_on = passed_on.clone();
        let handler: Handler = Arc::new(move |mut exchange: Exchange| {
            passed_on.lock().unwrap().push(exchange.attempt_id().to_owned());
            std::thread::sleep(WORK);
            exchange.answer("200 OK", &"r".repeat(800));
        });
        deployment.add_server(40 + number as u8, ("roster-api", zone, "v1"), 6, handler);
    }
    deployment.add_hosts(2, &ZONES);
    deployment.start_all();
    let start = Instant::now();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for host in &deployment.hosts {
        let (host, record, is_over) = (host.clone(), record.clone(), is_over.clone());
        let limit_mb = f64::from(deployment.memory_mb);
        threads.push(std::thread::spawn(move || watch_memory(&host, &record, limit_mb, &is_over)));
    }
    // Requests on kept connections that were closed without a byte of an answer.
    let closed: Arc<Mutex<Vec<String>>> = Arc::default();
    for host in &deployment.hosts {
        for number in 0..CLIENTS {
            let client = Client {
                host: host.clone(),
                record: record.clone(),
                closed: closed.clone(),
                is_over: is_over.clone(),
            };
            std::thread::sleep(PAUSE / CLIENTS as u32 / 2);
            threads.push(std::thread::spawn(move || client.run(number)));
        }
    }
    if has_trouble {
        std::thread::spawn(move || {
            for index in 0..SPOILED {
                let at = SPOILED_FIRST_AT + index * SPOILED_PAUSE;
                std::thread::sleep(at.saturating_sub(start.elapsed()));
                must_spoil.store(true, Ordering::Relaxed);
            }
        });
    }
    let mut number = 0_usize;
    while start.elapsed() < LENGTH {
        number += 1;
        let host = deployment.hosts[number % 2].clone();
        let (record, is_over) = (record.clone(), is_over.clone());
        threads.push(std::thread::spawn(move || request_draft(&record, &host, &is_over)));
        std::thread::sleep(DRAFT_PAUSE);
    }
    is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    deployment.end();
    let passed_on = passed_on.lock().unwrap();
    let closed = closed.lock().unwrap();
    let lost = closed.iter().filter(|id| passed_on.contains(id)).count();
    let text = format!(
        "{lost} requests from kept connections were passed on to a sound server, and their connection closed without an answer"
    );
    record.write(&text);
    println!("{text}");
    lost > CLOSED_MAX
}

/// Requests a draft and reads its events, until it ends or no event has come for too long.
fn request_draft(record: &Record, host: &Host, is_over: &AtomicBool) {
    let request = Request {
        key: KEY,
        method: "POST",
        path: "/draft/2f".to_owned(),
        attempt_id: new_attempt_id(),
        headers: model_headers(579, 400),
        body: "plan".repeat(700),
        // The client leaves after a gap of four objectives without an event.
        time_limit: Duration::from_millis(39_000),
    };
    let id = &request.attempt_id;
    record.write(&format!("client: sent draft {id} to {}", host.name));
    let outcome = client::send_for(host.callers_address(), &request, GAP_MAX, |_| !is_over.load(Ordering::Relaxed));
    record.write(&format!(
        "client: draft {id} ended: status {} complete {} after {} ms",
        outcome.status,
        outcome.is_complete,
        outcome.took.as_millis()
    ));
}

/// Sends the signed head of an answer, and then chunks of one byte until the connection is closed.
fn send_chunks_without_end(exchange: &mut Exchange) {
    let (server, id) = (exchange.server.id.clone(), exchange.attempt_id().to_owned());
    exchange.record.write(&format!("server {server}: answers {id} with chunks of one byte without end"));
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: 3e1b.{server}.0\r\n\
         Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    exchange.connection.send(head.as_bytes());
    let chunks = "1\r\nx\r\n".repeat(10_000);
    while exchange.connection.send(chunks.as_bytes()) {}
    exchange.record.write(&format!("server {server}: the connection of {id} is closed"));
}

/// Kills the process of a machine that exceeds its memory, and starts it again, as the platform
/// does.
fn watch_memory(host: &Host, record: &Record, limit_mb: f64, is_over: &AtomicBool) {
    let mut highest_mb = 0.0_f64;
    while !is_over.load(Ordering::Relaxed) {
        std::thread::sleep(MEMORY_INTERVAL);
        let memory_mb = host.memory_mb();
        highest_mb = highest_mb.max(memory_mb);
        if memory_mb > limit_mb {
            record.write(&format!("platform: {} has {memory_mb:.0} MB of {limit_mb:.0} MB", host.name));
            host.kill(record);
            std::thread::sleep(RESTART_DELAY);
            host.start(record);
        }
    }
    record.write(&format!("platform: {} had {highest_mb:.0} MB at most", host.name));
}

struct Client {
    host: Arc<Host>,
    record: Arc<Record>,
    closed: Arc<Mutex<Vec<String>>>,
    is_over: Arc<AtomicBool>,
}

impl Client {
    /// Sends one lookup after the other on a connection that it keeps.
    fn run(&self, number: usize) {
        let mut connection: Option<KeptConnection> = None;
        while !self.is_over.load(Ordering::Relaxed) {
            std::thread::sleep(PAUSE);
            let is_kept = connection.is_some();
            let Some(mut open) = connection.take().or_else(|| client::open(self.host.callers_address())) else {
                continue;
            };
            let is_idempotent = number % 3 == 0;
            let request = Request {
                key: KEY,
                method: if is_idempotent { "GET" } else { "POST" },
                path: if is_idempotent { "/coach/2f" } else { "/driver/2f" }.to_owned(),
                attempt_id: new_attempt_id(),
                headers: String::new(),
                body: String::new(),
                time_limit: Duration::from_millis(5_000),
            };
            let id = &request.attempt_id;
            let outcome = open.fetch(&request);
            let kind = if is_kept { "kept" } else { "new" };
            self.record.write(&format!(
                "client: {id} to {} on a {kind} connection: status {} after {} ms{}",
                self.host.name,
                outcome.status,
                outcome.took.as_millis(),
                if outcome.is_closed { ", connection closed without an answer" } else { "" },
            ));
            if outcome.is_closed && is_kept {
                self.closed.lock().unwrap().push(id.clone());
            }
            if outcome.is_complete && !outcome.must_close {
                connection = Some(open);
            }
        }
    }
}
