//! Cost of tracking the health of a zone's targets.

use std::collections::VecDeque;

use toucancleat_core::prelude::*;
use toucancleat_core::rng::Rng;
use toucancleat_core::targets::{Config, Effect, Event, Outcome, State, reduce};

use crate::fleet_size;
use crate::homes::host;
use crate::sample::{Role, Sample, Stopwatch, Traffic, measure_allocation};

const SIZES: [usize; 4] = [150, 300, 600, 1_200];
const HOSTS: usize = 20;
const MEASURED_S: u64 = 600;
const STEP_MS: u64 = 100;
/// Time between two replacements in a zone of 600 targets, each of which is replaced once a day.
const LEAVING_INTERVAL_MS: u64 = 144_000;

pub fn measure() -> Role {
    Role {
        name: "targets",
        size: "targets in the zone",
        target_size: fleet_size::ZONE_TARGETS,
        mechanism: "local circuit breakers; a leaving target is broadcast once to the zone and \
                    reconciled by exchanged views",
        traffic_reduction: "",
        note: "20 hosts of one zone in virtual time, each with 10 answers per second of \
               which one in 200 fails; each target is replaced once a day",
        samples: SIZES.map(sample).to_vec(),
    }
}

fn sample(targets: usize) -> Sample {
    let (mut zone, bytes) = measure_allocation(|| Zone::new(targets));
    zone.run(MEASURED_S);
    let node_s = (HOSTS as u64 * MEASURED_S) as f64;
    Sample {
        size: targets as f64,
        state_bytes: bytes / HOSTS as f64,
        messages_per_s: zone.traffic.messages as f64 / node_s,
        bytes_per_s: zone.traffic.bytes as f64 / node_s,
        cpu_us_per_s: zone.stopwatch.elapsed.as_micros() as f64 / node_s,
    }
}

struct Zone {
    now_ms: u64,
    hosts: Vec<State>,
    names: Vec<HostName>,
    targets: usize,
    replaced: usize,
    rng: Rng,
    traffic: Traffic,
    stopwatch: Stopwatch,
}

fn target_name(i: usize) -> TargetName {
    TargetName::new(&format!("plan-llm-{i}"))
}

impl Zone {
    fn new(targets: usize) -> Self {
        let hosts = (0..HOSTS)
            .map(|i| State::new(Config::default(), i as u64))
            .collect();
        let mut zone = Zone {
            now_ms: 0,
            hosts,
            names: (0..HOSTS).map(|i| host(i).name).collect(),
            targets,
            replaced: 0,
            rng: Rng::new(1),
            traffic: Traffic::default(),
            stopwatch: Stopwatch::default(),
        };
        for i in 0..HOSTS {
            for number in 0..targets {
                let pool = PoolName::new("plan");
                let target = target_name(number);
                zone.deliver_event(
                    i,
                    Event::Observed {
                        target,
                        pool,
                        epoch: 1,
                    },
                );
            }
            let mut peers = zone.names.clone();
            peers.remove(i);
            zone.deliver_event(i, Event::PeersChanged { peers });
        }
        zone
    }

    fn run(&mut self, seconds: u64) {
        let replacement_interval_ms =
            LEAVING_INTERVAL_MS * fleet_size::ZONE_TARGETS as u64 / self.targets as u64;
        while self.now_ms < seconds * 1_000 {
            self.now_ms += STEP_MS;
            for i in 0..HOSTS {
                let target = target_name(self.rng.below(self.targets));
                let has_failed = self.rng.below(200) == 0;
                let outcome = match has_failed {
                    true => Outcome::Failed,
                    false => Outcome::Answered {
                        first_token_ms: 300.0,
                    },
                };
                self.deliver_event(
                    i,
                    Event::RequestEnded {
                        target,
                        epoch: 1,
                        outcome,
                    },
                );
                self.deliver_event(i, Event::Tick);
            }
            if self.now_ms.is_multiple_of(replacement_interval_ms) {
                self.replace_target();
            }
        }
    }

    fn replace_target(&mut self) {
        let epoch = 1 + self.replaced as u64;
        let target = target_name(self.replaced % self.targets);
        self.replaced += 1;
        self.deliver_event(0, Event::TargetLeaving { target, epoch });
    }

    /// Delivers an event and all messages that follow from it.
    fn deliver_event(&mut self, i: usize, event: Event) {
        let mut pending = VecDeque::from([(i, event)]);
        while let Some((i, event)) = pending.pop_front() {
            let mut effects = Vec::new();
            let (state, now_ms) = (&mut self.hosts[i], self.now_ms);
            self.stopwatch
                .time(|| reduce(state, now_ms, event, &mut effects));
            for effect in effects {
                if let Effect::Send { to, message } = effect {
                    let from = self.names[i].clone();
                    let (traffic, stopwatch) = (&mut self.traffic, &mut self.stopwatch);
                    stopwatch.time(|| traffic.count(&from, message.clone()));
                    if let Some(to) = self.names.iter().position(|name| *name == to) {
                        pending.push_back((to, Event::MessageReceived { from, message }));
                    }
                }
            }
        }
    }
}
