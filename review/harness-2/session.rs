//! A client's session: one stream over all of its attempts, as PROTOCOL.md says clients behave.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{Attempt, Events, StreamEnd, read_stream};
use crate::deployment::Host;
use crate::http::Reader;
use crate::record::Record;

/// Time for which a machine must have run to be in touch (`contact_ms`).
pub const CONTACT: Duration = Duration::from_millis(3_000);

/// How often a client repeats a request ("a few times").
const RETRIES: u32 = 3;

pub struct Plan {
    pub path: String,
    pub key: &'static str,
    pub deadline: Duration,
    /// How long a client waits for the next event before it abandons the attempt.
    pub gap: Duration,
    /// The index of the host that the platform chooses first.
    pub first_host: usize,
}

/// A further attempt at a stream of which the client has events.
#[derive(Clone, Debug)]
pub struct TakeUp {
    pub is_in_touch: bool,
    pub went_on: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub events: Events,
    pub is_complete: bool,
    /// Whether the first attempt brought an event.
    pub has_begun: bool,
    /// Whether the machine of the first attempt was in touch.
    pub began_in_touch: bool,
    pub take_ups: Vec<TakeUp>,
}

/// Plays a client until its stream is complete, its deadline has passed, or it gives up.
pub fn play(hosts: &[Arc<Host>], record: &Record, plan: &Plan) -> Outcome {
    let end = Instant::now() + plan.deadline;
    let mut outcome = Outcome::default();
    let mut first_id = String::new();
    let mut host_index = plan.first_host;
    for number in 0..=RETRIES {
        let left = end.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(200) {
            return outcome;
        }
        let mut attempt = Attempt::new("POST", &plan.path, plan.key, left);
        let prompt = format!(
            "X-Model: m\r\nX-Token-Usage: 300,600\r\nX-Prompt-Prefix: {}:300\r\n",
            attempt.id
        );
        attempt.more = prompt;
        let last_id = outcome.events.last().map(|(id, _)| *id);
        if let Some(last_id) = last_id {
            attempt.more +=
                &format!("Last-Event-Id: {last_id}\r\nResumes: {first_id}\r\n");
        }
        // The platform sends new connections to nodes that are ready.
        let ready = (0..hosts.len()).map(|step| (host_index + step) % hosts.len());
        let Some(index) = ready.into_iter().find(|index| hosts[*index].is_ready()) else {
            std::thread::sleep(Duration::from_millis(300));
            continue;
        };
        let host = &hosts[index];
        host_index = index + 1;
        let is_in_touch = host.started.lock().unwrap().elapsed() >= CONTACT;
        let events_before = outcome.events.len();
        let Ok(stream) = host.connect() else { continue };
        let mut reader = Reader::new(stream);
        if attempt.send(&mut reader.stream).is_err() {
            continue;
        }
        record.note(format!(
            "client sends attempt {} to {}{}",
            attempt.id,
            host.name,
            last_id.map_or(String::new(), |id| format!(
                ", takes up {first_id} after event {id}"
            ))
        ));
        let ended = read_stream(&mut reader, plan.gap, end, &mut outcome.events);
        let new_events = outcome.events.len() - events_before;
        record.note(format!(
            "attempt {} ends: {ended:?} after {new_events} events",
            attempt.id
        ));
        if number == 0 {
            outcome.began_in_touch = is_in_touch;
            outcome.has_begun = new_events > 0;
        }
        if events_before == 0 && new_events > 0 {
            first_id = attempt.id.clone();
        }
        if last_id.is_some() {
            outcome.take_ups.push(TakeUp {
                is_in_touch,
                went_on: new_events > 0,
            });
        }
        match ended {
            StreamEnd::Complete => {
                outcome.is_complete = true;
                return outcome;
            }
            StreamEnd::Refused {
                status: 400 | 401 | 404 | 413 | 431,
                ..
            } => return outcome,
            StreamEnd::Refused {
                retry_after: Some(pause),
                ..
            } => {
                let left = end.saturating_duration_since(Instant::now());
                std::thread::sleep(pause.min(left / 3));
            }
            _ => {}
        }
    }
    outcome
}
