//! Cost of the organisations' limits: shares that hosts request, borrow and return.

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
use crate::sample::{Role, Sample, Stopwatch, Traffic, measure_allocation};

/// Requests per second at each host, in tenths.
const SIZES: [usize; 4] = [25, 50, 100, 200];
const HOSTS: usize = 20;
const STEP_MS: u64 = 50;
const WARM_UP_S: u64 = 60;
const MEASURED_S: u64 = 40;
/// Mean duration of an answer: the target fleet's mean tokens per request at 31 ms per token.
const ANSWER_MS: usize = 14_000;

pub fn measure() -> Role {
    Role {
        name: "limits",
        size: "requests per second at a host",
        target_size: fleet_size::HOST_REQUESTS_PER_S,
        mechanism: "shares lent by an organisation's home for a term, requested when a request \
                    needs one and returned when idle",
        traffic_reduction: "share requests and grants are piggybacked on the reservation that a request sends to its \
                            target's home anyway",
        note: "20 hosts of one zone in virtual time; each request from any of 26,000 \
               organisations with equal probability, which is the worst case, since one share \
               request can cover several requests of an organisation",
        samples: SIZES.map(sample).to_vec(),
    }
}

fn sample(rate_tenths: usize) -> Sample {
    let limits = Arc::new(fleet_limits());
    let (mut zone, bytes) = measure_allocation(|| {
        let mut zone = Zone::new(&limits);
        zone.run(WARM_UP_S, rate_tenths);
        zone
    });
    zone.traffic = Traffic::default();
    zone.stopwatch = Stopwatch::default();
    zone.run(MEASURED_S, rate_tenths);
    let node_s = (HOSTS as u64 * MEASURED_S) as f64;
    Sample {
        size: rate_tenths as f64 / 10.0,
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
    awaiting_permit: IndexMap<RequestId, OrganisationName>,
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
            awaiting_permit: IndexMap::new(),
            finishing: BTreeMap::new(),
            requests: 0,
            rng: Rng::new(1),
            traffic: Traffic::default(),
            stopwatch: Stopwatch::default(),
        };
        let live: Vec<Host> = (0..HOSTS).map(host).collect();
        for (i, member) in live.iter().enumerate() {
            let name = member.name.clone();
            let config = Config::default();
            let state = State::new(
                config,
                name.clone(),
                member.zone.clone(),
                zone.now_ms,
                i as u64,
            );
            zone.hosts.insert(name, state);
        }
        for i in 0..HOSTS {
            zone.deliver_event(
                i,
                Event::SettingsChanged {
                    limits: Arc::clone(limits),
                },
            );
            let (live, leaving) = (live.clone(), Vec::new());
            zone.deliver_event(
                i,
                Event::HostsChanged {
                    view: 1,
                    live,
                    leaving,
                    missing: Some(0),
                },
            );
        }
        zone
    }

    fn run(&mut self, seconds: u64, rate_tenths: usize) {
        let end_ms = self.now_ms + seconds * 1_000;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            for i in 0..HOSTS {
                // N.B. The probability of a request in this step, in units of 1/10,000.
                if self.rng.below(10_000) < rate_tenths * STEP_MS as usize {
                    self.send_request(i);
                }
                self.deliver_event(i, Event::Tick);
            }
            self.finish_due();
        }
    }

    fn send_request(&mut self, i: usize) {
        self.requests += 1;
        let request = RequestId(self.requests);
        let organisation =
            organisation(self.rng.below(fleet_size::ORGANISATIONS as usize));
        self.awaiting_permit.insert(request, organisation.clone());
        self.deliver_event(
            i,
            Event::AcquirePermit {
                organisation,
                request,
            },
        );
    }

    fn finish_due(&mut self) {
        while let Some(entry) = self.finishing.first_entry() {
            if entry.key().0 > self.now_ms {
                return;
            }
            let (host, organisation) = entry.remove();
            let i = self.hosts.get_index_of(&host).unwrap_or(0);
            self.deliver_event(i, Event::ReleasePermit { organisation });
        }
    }

    /// Delivers an event and all messages that follow from it.
    fn deliver_event(&mut self, i: usize, event: Event) {
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
                        pending.push_back((to, Event::MessageReceived { from, message }));
                    }
                    Effect::PermitGranted { request } => {
                        self.start_request(&name, request)
                    }
                    Effect::PermitRefused { request, .. } => {
                        self.awaiting_permit.swap_remove(&request);
                    }
                    _ => {}
                }
            }
        }
    }

    fn start_request(&mut self, host: &HostName, request: RequestId) {
        let Some(organisation) = self.awaiting_permit.swap_remove(&request) else {
            return;
        };
        let ends_ms = self.now_ms + self.rng.below(2 * ANSWER_MS) as u64;
        self.finishing
            .insert((ends_ms, request.0), (host.clone(), organisation));
    }
}
