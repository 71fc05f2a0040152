//! A part of prompts crashes each server that begins to answer with it; the servers keep their ids.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{Attempt, StreamEnd, read_stream};
use crate::deployment::{Addresses, Host, HostSettings, Route, configuration, start_all};
use crate::http::Reader;
use crate::server::{Server, Work};
use crate::session::CONTACT;
use crate::store::Store;
use crate::{Stage, Verdict};

const ZONES: [&str; 2] = ["upp-a", "upp-b"];
const SERVERS: usize = 2;
/// Time for which only sound requests come, and then for which others come too.
const CALM: Duration = Duration::from_secs(20);
const TROUBLED: Duration = Duration::from_secs(50);
const SOUND_INTERVAL: Duration = Duration::from_millis(400);
const BAD_INTERVAL: Duration = Duration::from_millis(1_500);
/// The part that all requests share, and the one that crashes servers.
const SHARED_PART: &str = "5c1e07a2:79";
const BAD_PART: &str = "0badc0de:350";

pub fn run(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let addresses = Addresses::new();
    let store = Store::start(addresses.store());
    let route = Route {
        name: "draft",
        kind: "streaming",
        service: "plan-llm",
        timeout_ms: 39_000,
        slo_ms: 1_500,
        attempts: 2,
        is_resumable: true,
    };
    store.write(
        "op",
        "config",
        Some(&configuration(7, &[route], &[("huka270", &["k-1"])])),
    );
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|number| {
            let name = format!("llm-{number}");
            let zone = ZONES[number % ZONES.len()];
            let address = addresses.server();
            let server = Server::create(
                &name,
                "plan-llm",
                zone,
                "4.1",
                address,
                &store,
                record,
                |head| {
                    let prompt = head.text("x-prompt-prefix").unwrap_or_default();
                    if prompt.contains(BAD_PART) {
                        Work::Crash {
                            after: Duration::from_millis(200),
                            down: Duration::from_secs(3),
                        }
                    } else {
                        Work::Stream {
                            events: 14,
                            interval: Duration::from_millis(180),
                        }
                    }
                },
            );
            server.keep_id();
            server
        })
        .collect();
    let hosts: Vec<Arc<Host>> = ZONES
        .iter()
        .map(|zone| {
            let name = format!("frontend-{zone}-1");
            let settings = HostSettings {
                name: &name,
                zone,
                zones: &ZONES,
                memory_mb: 110,
                store: store.address,
            };
            Host::create(&settings, &addresses, &stage.folder)
        })
        .collect();
    if !start_all(&hosts, record) {
        return Verdict::CouldNotRun;
    }
    std::thread::sleep(CONTACT + Duration::from_secs(1));
    let start = Instant::now();
    let mut sound = Vec::new();
    let mut bad = Vec::new();
    let (mut sound_due, mut bad_due) = (start, start + CALM);
    let mut number = 0;
    while start.elapsed() < CALM + TROUBLED {
        let now = Instant::now();
        if now >= sound_due {
            sound_due += SOUND_INTERVAL;
            number += 1;
            sound.push((now, send(stage, &hosts[number % hosts.len()], false)));
        }
        if now >= bad_due {
            bad_due += BAD_INTERVAL;
            number += 1;
            bad.push((
                now,
                send(stage, &hosts[number % hosts.len()], stage.has_trouble),
            ));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let sound: Vec<(Instant, bool)> = sound
        .into_iter()
        .map(|(at, client)| (at, client.join().unwrap()))
        .collect();
    for (_, client) in bad {
        let _ = client.join();
    }
    let mut crashes: Vec<Instant> =
        servers.iter().flat_map(|server| server.crashes()).collect();
    crashes.sort();
    judge(stage, start, &sound, &crashes)
}

/// Sends a request on a connection of its own, and returns whether its answer has begun at the first attempt.
fn send(stage: &Stage, host: &Arc<Host>, is_bad: bool) -> std::thread::JoinHandle<bool> {
    let (host, record) = (host.clone(), stage.record.clone());
    std::thread::spawn(move || {
        let mut attempt =
            Attempt::new("POST", "/draft/2f", "k-1", Duration::from_secs(6));
        let bad_part = if is_bad {
            format!("{BAD_PART},")
        } else {
            String::new()
        };
        let id = attempt.id.clone();
        attempt.path = format!("/draft/{id}");
        attempt.more = format!(
            "X-Model: m\r\nX-Token-Usage: 800,60\r\nX-Prompt-Prefix: {SHARED_PART},{bad_part}{id}:300\r\n"
        );
        let Ok(stream) = host.connect() else {
            return false;
        };
        let mut reader = Reader::new(stream);
        let mut events = Vec::new();
        if attempt.send(&mut reader.stream).is_err() {
            return false;
        }
        let end = Instant::now() + attempt.deadline;
        let ended = read_stream(&mut reader, attempt.deadline, end, &mut events);
        let kind = if is_bad { "with the bad part" } else { "sound" };
        record.note(format!(
            "attempt {id}, {kind}, to {}: {} events, {ended:?}",
            host.name,
            events.len()
        ));
        !events.is_empty() || ended == StreamEnd::Complete
    })
}

/// LOST, as it was added to the pages with parts of prompts that crash servers.
fn judge(
    stage: &Stage,
    start: Instant,
    sound: &[(Instant, bool)],
    crashes: &[Instant],
) -> Verdict {
    let record = &stage.record;
    let last_that_counts = crashes.get(4).or(crashes.last()).copied();
    let from = last_that_counts.map_or(start + CALM, |at| at + 2 * CONTACT);
    let until = start + CALM + TROUBLED;
    let share = |from: Instant, until: Instant| {
        let sent: Vec<bool> = sound
            .iter()
            .filter(|(at, _)| (from..until).contains(at))
            .map(|(_, has_begun)| *has_begun)
            .collect();
        let begun = sent.iter().filter(|has_begun| **has_begun).count();
        (begun, sent.len())
    };
    let (calm_begun, calm) = share(start, start + CALM);
    let (late_begun, late) = share(from, until);
    record.note(format!(
        "{} crashes; sound requests that began at the first attempt: {calm_begun} of {calm} before, \
         {late_begun} of {late} from 2 x contact_ms after the fifth crash",
        crashes.len()
    ));
    if calm < 20 || late < 20 || calm_begun == 0 {
        return Verdict::CouldNotRun;
    }
    let late_share = late_begun as f64 / late as f64;
    let calm_share = calm_begun as f64 / calm as f64;
    if late_share < calm_share / 2.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
