//! All processes of the system are killed at once while streams run. Their clients take the
//! streams up again.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{ZONES, configuration, model_headers};
use crate::client::{self, Events, Outcome, Request, new_attempt_id};
use crate::deployment::{Deployment, Exchange, Handler, Record};

/// Streams that are running when the processes are killed.
const STREAMS: usize = 24;

/// A stream lasts for some 24 s.
const EVENTS: u64 = 200;
const EVENT_PAUSE: Duration = Duration::from_millis(120);
const TIME_LIMIT: Duration = Duration::from_millis(39_000);

/// When the processes are killed, from the first request.
const KILLED_AT: Duration = Duration::from_secs(6);

/// Time for which they are down.
const DOWN: Duration = Duration::from_secs(1);

/// A machine is in touch once its process has run for this long.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Pauses of a client before it takes a stream up: a few tries, longer ones after each other.
const PAUSES: [Duration; 4] = [
    Duration::from_millis(500),
    Duration::from_millis(2_000),
    Duration::from_millis(3_000),
    Duration::from_millis(4_000),
];

/// Take-ups from which the rule is judged.
const TAKE_UPS_MIN: usize = 12;

/// One request of a client at a machine in touch.
#[derive(Clone, Copy)]
struct Attempt {
    stream: usize,
    is_take_up: bool,
    has_begun: bool,
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut deployment = Deployment::new(record.clone());
    deployment.store.write("op", "config", Some(&configuration(7, true)));
    for number in 0..6 {
        let model: Handler = Arc::new(|mut exchange: Exchange| {
            std::thread::sleep(Duration::from_millis(150));
            exchange.run_stream(EVENTS, EVENT_PAUSE);
        });
        let zone = ZONES[usize::from(number) % ZONES.len()];
        deployment.add_server(number, ("plan-llm", zone, "v1"), 24, model);
    }
    deployment.add_hosts(4, &ZONES);
    deployment.start_all();
    let deployment = Arc::new(deployment);
    let start = Instant::now();
    let break_at = start + KILLED_AT;
    let in_touch_at = if has_trouble { break_at + DOWN + CONTACT } else { break_at };
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for stream in 0..STREAMS {
        let client = Client {
            deployment: deployment.clone(),
            record: record.clone(),
            attempts: attempts.clone(),
            in_touch_at,
            // Without the disruption, the client's own connection breaks at that time.
            leaves_at: (!has_trouble).then_some(break_at),
            is_over: is_over.clone(),
            stream,
        };
        threads.push(std::thread::spawn(move || client.run()));
        std::thread::sleep(Duration::from_millis(60));
    }
    std::thread::sleep(break_at.saturating_duration_since(Instant::now()));
    if has_trouble {
        for host in &deployment.hosts {
            host.kill(record);
        }
        std::thread::sleep(DOWN);
        for host in &deployment.hosts {
            host.start(record);
        }
    }
    // New streams begin all the while that streams are taken up.
    std::thread::sleep(in_touch_at.saturating_duration_since(Instant::now()));
    record.write("all machines are in touch");
    for number in 0..STREAMS {
        let client = Client {
            deployment: deployment.clone(),
            record: record.clone(),
            attempts: attempts.clone(),
            in_touch_at,
            leaves_at: None,
            is_over: is_over.clone(),
            stream: STREAMS + number,
        };
        threads.push(std::thread::spawn(move || client.run_new()));
        std::thread::sleep(Duration::from_millis(250));
    }
    std::thread::sleep(Duration::from_secs(4));
    is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    deployment.end();
    let attempts = attempts.lock().unwrap();
    // A stream that goes on at any of its take-ups counts as one that does.
    let mut taken_up: Vec<(usize, bool)> = Vec::new();
    for attempt in attempts.iter().filter(|attempt| attempt.is_take_up) {
        match taken_up.iter_mut().find(|(stream, _)| *stream == attempt.stream) {
            Some((_, goes_on)) => *goes_on |= attempt.has_begun,
            None => taken_up.push((attempt.stream, attempt.has_begun)),
        }
    }
    let going_on = taken_up.iter().filter(|(_, goes_on)| *goes_on).count();
    let new = attempts.iter().filter(|attempt| !attempt.is_take_up);
    let begun = new.clone().filter(|attempt| attempt.has_begun).count();
    let new = new.count();
    let text = format!(
        "at machines in touch: {going_on} of {} streams that were taken up go on; {begun} of {new} new streams begin",
        taken_up.len()
    );
    record.write(&text);
    println!("{text}");
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    taken_up.len() >= TAKE_UPS_MIN && share(going_on, taken_up.len()) < 0.5 * share(begun, new)
}

struct Client {
    deployment: Arc<Deployment>,
    record: Arc<Record>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    in_touch_at: Instant,
    /// When the client's own connection breaks.
    leaves_at: Option<Instant>,
    is_over: Arc<AtomicBool>,
    stream: usize,
}

impl Client {
    /// Requests a stream, and takes it up again a few times if it breaks off.
    fn run(&self) {
        let began = Instant::now();
        let first_id = new_attempt_id();
        let headers = model_headers(579, 800);
        let mut last_event = 0;
        let mut outcome = self.attempt(0, &first_id, None, &headers, TIME_LIMIT, &mut last_event);
        for (index, pause) in PAUSES.iter().enumerate() {
            if outcome.is_complete && outcome.status == 200 {
                break;
            }
            let left = TIME_LIMIT.saturating_sub(began.elapsed());
            // Clients honour `Retry-After` up to a third of the time that they have left.
            let retry_after = outcome.retry_after.unwrap_or_default().min(left / 3);
            std::thread::sleep(retry_after.max(*pause));
            if self.is_over.load(Ordering::Relaxed) {
                break;
            }
            let id = new_attempt_id();
            let left = TIME_LIMIT.saturating_sub(began.elapsed());
            let take_up = (first_id.as_str(), last_event);
            outcome = self.attempt(index + 1, &id, Some(take_up), &headers, left, &mut last_event);
        }
    }

    /// Requests a stream that is new.
    fn run_new(&self) {
        let mut last_event = 0;
        self.attempt(0, &new_attempt_id(), None, &model_headers(579, 800), TIME_LIMIT, &mut last_event);
    }

    fn attempt(
        &self,
        number: usize,
        id: &str,
        take_up: Option<(&str, u64)>,
        headers: &str,
        time_limit: Duration,
        last_event: &mut u64,
    ) -> Outcome {
        // The platform sends each new connection to a machine in rotation, a retry to another.
        let hosts = self.deployment.in_rotation();
        let host = &hosts[(self.stream + number) % hosts.len()];
        let sent = Instant::now();
        let mut request = Request {
            key: client::KEY,
            method: "POST",
            path: "/draft/2f".to_owned(),
            attempt_id: id.to_owned(),
            headers: headers.to_owned(),
            body: "plan".repeat(700),
            time_limit,
        };
        if let Some((first_id, last_event)) = take_up {
            request.headers += &format!("Last-Event-Id: {last_event}\r\nResumes: {first_id}\r\n");
        }
        let kind = if take_up.is_some() { "take-up" } else { "stream" };
        self.record.write(&format!("client {}: sent {kind} {id} to {} after event {last_event}", self.stream, host.name));
        let mut splitter = Events::default();
        let first_expected = *last_event + 1;
        let mut has_begun = false;
        let leaves_at = self.leaves_at.filter(|_| take_up.is_none());
        let outcome = client::send(host.callers_address(), &request, |_| {}, |part| {
            for event in splitter.push(part) {
                has_begun |= event == first_expected;
                *last_event = event;
            }
            !self.is_over.load(Ordering::Relaxed) && leaves_at.is_none_or(|at| Instant::now() < at)
        });
        self.record.write(&format!(
            "client {}: {kind} {id} ended: status {} complete {} last event {last_event} after {} ms",
            self.stream,
            outcome.status,
            outcome.is_complete,
            outcome.took.as_millis()
        ));
        if sent >= self.in_touch_at {
            self.attempts.lock().unwrap().push(Attempt {
                stream: self.stream,
                is_take_up: take_up.is_some(),
                has_begun,
            });
        }
        outcome
    }
}
