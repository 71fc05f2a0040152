//! Limits of organisations: shares asked for, lent and given back.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use indexmap::IndexMap;
use toucancleat_core::limits::{
    Config, Effect, Event, FleetLimits, Share, State, reduce,
};
use toucancleat_core::membership::Host;
use toucancleat_core::prelude::*;
use toucancleat_core::rng::Rng;

use crate::fleet_size;
use crate::homes::host;
use crate::sample::{Role, Sample, Stopwatch, Traffic, allocated};

/// Requests a second at each host, in tenths.
const SIZES: [usize; 4] = [25, 50, 100, 200];
const HOSTS: usize = 20;
const STEP_MS: u64 = 50;
const WARM_UP_S: u64 = 60;
const MEASURED_S: u64 = 40;
/// Mean time of an answer: the letter's tokens a request at 31 ms a token.
const ANSWER_MS: usize = 14_000;

pub fn measure() -> Role {
    Role {
        name: "limits",
        size: "requests a second at a host",
        target_size: fleet_size::HOST_REQUESTS_PER_S,
        mechanism: "shares lent by an organisation's home for a term, asked for by \
                    request and given back when idle",
        relief: "question and answer ride on the reservation that a request sends to its target's home \
                 anyway",
        note: "20 hosts of one zone in virtual time; each request from any of 26,000 \
               organisations with equal chance, which is the worst case, since requests \
               of one organisation share its questions",
        samples: SIZES.map(sample).to_vec(),
    }
}

fn sample(tenths: usize) -> Sample {
    let limits = Arc::new(fleet_limits());
    let (mut zone, bytes) = allocated(|| {
        let mut zone = Zone::new(&limits);
        zone.run(WARM_UP_S, tenths);
        zone
    });
    zone.traffic = Traffic::default();
    zone.stopwatch = Stopwatch::default();
    zone.run(MEASURED_S, tenths);
    let node_s = (HOSTS as u64 * MEASURED_S) as f64;
    Sample {
        size: tenths as f64 / 10.0,
        state_bytes: bytes / HOSTS as f64,
        messages_per_s: zone.traffic.messages as f64 / node_s,
        bytes_per_s: zone.traffic.bytes as f64 / node_s,
        cpu_us_per_s: zone.stopwatch.elapsed.as_micros() as f64 / node_s,
    }
}

fn organisation(i: usize) -> OrganisationName {
    OrganisationName::new(&format!("organisation-{i}"))
}

fn fleet_limits() -> FleetLimits {
    let count = fleet_size::ORGANISATIONS as usize;
    let limit = Share::new(100.0, 1_000);
    let mut limits = FleetLimits::default();
    limits.zones.push(ZoneName::new("upp-a"));
    limits.limits = (0..count).map(|i| (organisation(i), limit)).collect();
    limits
}

struct Zone {
    now_ms: u64,
    hosts: IndexMap<HostName, State>,
    running: IndexMap<RequestId, OrganisationName>,
    finishing: BTreeMap<(u64, u128), (HostName, OrganisationName)>,
    requests: u128,
    rng: Rng,
    traffic: Traffic,
    stopwatch: Stopwatch,
}

impl Zone {
    fn new(limits: &Arc<FleetLimits>) -> Self {
        let mut zone = Zone {
            now_ms: 1_700_000_000_000,
            hosts: IndexMap::new(),
            running: IndexMap::new(),
            finishing: BTreeMap::new(),
            requests: 0,
            rng: Rng::new(1),
            traffic: Traffic::default(),
            stopwatch: Stopwatch::default(),
        };
        let live: Vec<Host> = (0..HOSTS).map(host).collect();
        for (i, own) in live.iter().enumerate() {
            let name = own.name.clone();
            let config = Config::default();
            let state = State::new(
                config,
                name.clone(),
                own.zone.clone(),
                zone.now_ms,
                i as u64,
            );
            zone.hosts.insert(name, state);
        }
        for i in 0..HOSTS {
            zone.event(
                i,
                Event::Settings {
                    limits: Arc::clone(limits),
                },
            );
            let (live, leaving) = (live.clone(), Vec::new());
            zone.event(
                i,
                Event::Hosts {
                    view: 1,
                    live,
                    leaving,
                    missing: Some(0),
                },
            );
        }
        zone
    }

    fn run(&mut self, seconds: u64, tenths: usize) {
        let end_ms = self.now_ms + seconds * 1_000;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            for i in 0..HOSTS {
                // N.B. The chance of a request in this step, out of 10,000.
                if self.rng.below(10_000) < tenths * STEP_MS as usize {
                    self.request(i);
                }
                self.event(i, Event::Tick);
            }
            self.finish();
        }
    }

    fn request(&mut self, i: usize) {
        self.requests += 1;
        let request = RequestId(self.requests);
        let organisation =
            organisation(self.rng.below(fleet_size::ORGANISATIONS as usize));
        self.running.insert(request, organisation.clone());
        self.event(
            i,
            Event::Arrived {
                organisation,
                request,
            },
        );
    }

    fn finish(&mut self) {
        while let Some(entry) = self.finishing.first_entry() {
            if entry.key().0 > self.now_ms {
                return;
            }
            let (host, organisation) = entry.remove();
            let i = self.hosts.get_index_of(&host).unwrap_or(0);
            self.event(i, Event::Finished { organisation });
        }
    }

    /// Feeds an event and all messages that follow from it.
    fn event(&mut self, i: usize, event: Event) {
        let Some((name, _)) = self.hosts.get_index(i) else {
            return;
        };
        let mut pending = VecDeque::from([(name.clone(), event)]);
        while let Some((name, event)) = pending.pop_front() {
            let now_ms = self.now_ms;
            let mut effects = Vec::new();
            let state = &mut self.hosts[&name];
            self.stopwatch
                .time(|| reduce(state, now_ms, event, &mut effects));
            for effect in effects {
                match effect {
                    Effect::Send { to, message } => {
                        let (traffic, stopwatch) =
                            (&mut self.traffic, &mut self.stopwatch);
                        stopwatch.time(|| traffic.count(&name, message.clone()));
                        let from = name.clone();
                        pending.push_back((to, Event::Received { from, message }));
                    }
                    Effect::Admitted { request } => self.admitted(&name, request),
                    Effect::Refused { request, .. } => {
                        self.running.swap_remove(&request);
                    }
                    _ => {}
                }
            }
        }
    }

    fn admitted(&mut self, host: &HostName, request: RequestId) {
        let Some(organisation) = self.running.swap_remove(&request) else {
            return;
        };
        let ends_ms = self.now_ms + self.rng.below(2 * ANSWER_MS) as u64;
        self.finishing
            .insert((ends_ms, request.0), (host.clone(), organisation));
    }
}
