//! One part of a prompt crashes each server that begins to write an answer on it. The servers start
//! again under their ids.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{ZONES, configuration, model_headers};
use crate::client::{self, KEY, Outcome, Request, new_attempt_id};
use crate::deployment::{Deployment, Exchange, Handler, Host, Record};

/// The part that crashes servers.
const PART: &str = "91bd3f06";

/// Crashes after which machines have to know the part, and the time that they have for that.
const CRASHES: usize = 5;
const CONTACT: Duration = Duration::from_millis(3_000);

/// Requests with the part that may still reach servers after that.
const ARRIVALS_MAX: usize = 3;

/// Time for which a crashed server is down.
const DOWN: Duration = Duration::from_secs(2);

/// Pause between two requests with the part, and between two sound ones.
const POISON_PAUSE: Duration = Duration::from_millis(1_000);
const SOUND_PAUSE: Duration = Duration::from_millis(500);
const LENGTH: Duration = Duration::from_secs(60);

const EVENTS: u64 = 25;
const EVENT_PAUSE: Duration = Duration::from_millis(100);

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut deployment = Deployment::new(record.clone());
    deployment.store.write("op", "config", Some(&configuration(7, false)));
    // When requests with the part reached servers, and when servers crashed.
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let crashes: Arc<Mutex<Vec<Instant>>> = Arc::default();
    for number in 0..2 {
        let (arrivals, crashes) = (arrivals.clone(), crashes.clone());
        let model: Handler = Arc::new(move |mut exchange: Exchange| {
            let has_part = exchange.head.get("x-prompt-prefix").is_some_and(|text| text.contains(PART));
            if has_part {
                arrivals.lock().unwrap().push(exchange.arrived);
            }
            std::thread::sleep(Duration::from_millis(200));
            if has_part && has_trouble {
                if exchange.connection.is_closed() {
                    return;
                }
                exchange.begin_stream();
                crashes.lock().unwrap().push(Instant::now());
                exchange.record.write(&format!("server {}: crashes under {}", exchange.server.id, exchange.attempt_id()));
                exchange.server.crash(DOWN);
                return;
            }
            exchange.run_stream(EVENTS, EVENT_PAUSE);
        });
        deployment.add_server(number, ("plan-llm", ZONES[usize::from(number)], "v1"), 24, model);
    }
    deployment.add_hosts(2, &ZONES);
    deployment.start_all();
    let start = Instant::now();
    let sound: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let mut threads = Vec::new();
    let mut poison_due = start + Duration::from_secs(3);
    let mut number = 0_usize;
    while start.elapsed() < LENGTH {
        number += 1;
        let host = deployment.hosts[number % 2].clone();
        if Instant::now() >= poison_due {
            poison_due += POISON_PAUSE;
            let (record, host) = (record.clone(), host.clone());
            threads.push(std::thread::spawn(move || {
                request_draft(&record, &host, true);
            }));
        }
        let (record, sound) = (record.clone(), sound.clone());
        threads.push(std::thread::spawn(move || {
            let outcome = request_draft(&record, &host, false);
            sound.lock().unwrap().push(outcome);
        }));
        std::thread::sleep(SOUND_PAUSE);
    }
    for thread in threads {
        let _ = thread.join();
    }
    deployment.end();
    let crashes = crashes.lock().unwrap();
    let known_at = crashes.get(CRASHES - 1).map(|at| *at + CONTACT);
    let arrivals = arrivals.lock().unwrap();
    let late = arrivals.iter().filter(|at| known_at.is_some_and(|known_at| **at > known_at)).count();
    let sound = sound.lock().unwrap();
    let complete = sound.iter().filter(|outcome| outcome.status == 200 && outcome.is_complete).count();
    let text = format!(
        "{} crashes; {late} requests with the part reached servers later than contact_ms after the fifth; \
         {complete} of {} sound requests were answered completely",
        crashes.len(),
        sound.len(),
    );
    record.write(&text);
    println!("{text}");
    late > ARRIVALS_MAX
}

/// Requests a draft. No two requests with the part are alike.
fn request_draft(record: &Record, host: &Host, has_part: bool) -> Outcome {
    let id = new_attempt_id();
    let headers = if has_part {
        format!("X-Model: m\r\nX-Token-Usage: 789,400\r\nX-Prompt-Prefix: 5c1e07a2:79,{PART}:410,{id}:300\r\n")
    } else {
        model_headers(579, 400)
    };
    let request = Request {
        key: KEY,
        method: "POST",
        path: "/draft/2f".to_owned(),
        attempt_id: id.clone(),
        headers,
        body: format!("plan {id}"),
        time_limit: Duration::from_millis(39_000),
    };
    let kind = if has_part { "draft with the part" } else { "sound draft" };
    record.write(&format!("client: sent {kind} {id} to {}", host.name));
    let outcome = client::fetch(host.callers_address(), &request);
    record.write(&format!(
        "client: {kind} {id} ended: status {} complete {} after {} ms",
        outcome.status,
        outcome.is_complete,
        outcome.took.as_millis()
    ));
    outcome
}
