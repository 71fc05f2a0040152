//! Cost of the crash marks of poison requests.

use toucancleat_core::crash_marks::{
    Config, Crash, Effect, Event, Fingerprint, Message, State, reduce,
};
use toucancleat_core::prelude::*;
use toucancleat_core::rng::Rng;

use crate::fleet_size;
use crate::homes::host;
use crate::sample::{Role, Sample, Stopwatch, Traffic, measure_allocation};

/// Crashes of targets in the zone per hour.
const SIZES: [usize; 4] = [12, 25, 50, 100];
/// Requests running at a target when it crashes.
const BATCH: usize = 64;
const HOUR_MS: u64 = 3_600_000;
const STEP_MS: u64 = 500;

pub fn measure() -> Role {
    Role {
        name: "crash marks",
        size: "crashes of targets in the zone per hour",
        target_size: fleet_size::ZONE_TARGETS / 24.0,
        mechanism: "marks by content, stored at every host, each crash broadcast once",
        traffic_reduction: "",
        note: "one host that receives the reports of all crashes and sends its own, for an hour \
               of virtual time; each target crashes once a day with 64 requests running",
        samples: SIZES.map(sample).to_vec(),
    }
}

fn sample(crashes: usize) -> Sample {
    let mut traffic = Traffic::default();
    let mut stopwatch = Stopwatch::default();
    let (state, bytes) =
        measure_allocation(|| run(crashes, &mut traffic, &mut stopwatch));
    drop(state);
    let seconds = (HOUR_MS / 1_000) as f64;
    Sample {
        size: crashes as f64,
        state_bytes: bytes,
        messages_per_s: traffic.messages as f64 / seconds,
        bytes_per_s: traffic.bytes as f64 / seconds,
        cpu_us_per_s: stopwatch.elapsed.as_micros() as f64 / seconds,
    }
}

fn run(crashes: usize, traffic: &mut Traffic, stopwatch: &mut Stopwatch) -> State {
    let mut state = State::new(Config::default());
    let mut rng = Rng::new(1);
    let own_name = host(0).name;
    let peers = fleet_size::ZONE_HOSTS as u64 - 1;
    let interval_ms = HOUR_MS / crashes as u64;
    for now_ms in (0..HOUR_MS).step_by(STEP_MS as usize) {
        let mut events = vec![Event::Tick];
        if now_ms % interval_ms < STEP_MS {
            events.extend(crash_events(&mut rng, now_ms));
        }
        for event in events {
            let mut effects = Vec::new();
            stopwatch.time(|| reduce(&mut state, now_ms, event, &mut effects));
            for effect in effects {
                let (recipients, message) = match effect {
                    Effect::Broadcast { message } => (peers, message),
                    Effect::SendToZones { message } => {
                        (fleet_size::ZONES as u64 - 1, message)
                    }
                    _ => continue,
                };
                for _ in 0..recipients {
                    stopwatch.time(|| traffic.count(&own_name, message.clone()));
                }
            }
        }
    }
    state
}

/// Returns the events of a crash in which this host reports one of the requests and other hosts
/// report the rest.
fn crash_events(rng: &mut Rng, now_ms: u64) -> Vec<Event> {
    let target = TargetName::new(&format!("plan-llm-{now_ms}"));
    let mut fingerprint =
        || Fingerprint(u128::from(rng.next_u64()) << 64 | u128::from(rng.next_u64()));
    let crash = Crash {
        target: target.clone(),
        epoch: 1,
    };
    let own_fingerprint = fingerprint();
    let mut events = vec![
        Event::Started {
            target,
            fingerprint: own_fingerprint,
        },
        Event::Crashed {
            crash: crash.clone(),
        },
    ];
    for number in 1..BATCH {
        let message = Message::Marked {
            relay: false,
            crash: crash.clone(),
            fingerprints: vec![fingerprint()],
        };
        events.push(Event::MessageReceived {
            from: host(number).name,
            message,
        });
    }
    events
}
