//! Cost of the targets' accounts: the reservations, progress and loads that the hosts of a zone
//! exchange.

use std::collections::{BTreeMap, VecDeque};

use indexmap::IndexMap;
use toucancleat_core::accounts::{
    Config, Effect, Event, Limits, LoadReport, Outcome, Request, State, TargetSpec,
    reduce,
};
use toucancleat_core::homes::{HomeKey, Homes};
use toucancleat_core::membership::Host;
use toucancleat_core::prelude::*;
use toucancleat_core::rng::Rng;
use toucancleat_core::settings::RoutingPolicy;

use crate::fleet_size;
use crate::homes::host;
use crate::sample::{Role, Sample, Stopwatch, Traffic, measure_allocation};

const SIZES: [usize; 4] = [8, 15, 30, 60];
const TARGETS_PER_HOST: usize = 10;
const WARM_UP_S: u64 = 30;
const MEASURED_S: u64 = 10;
const STEP_MS: u64 = 50;
/// Time between two progress reports of a stream.
const PROGRESS_MS: u64 = 250;
const TOKEN_MS: u64 = 31;
/// Mean tokens of an answer: the target fleet's tokens divided by its requests.
const ANSWER_TOKENS: usize = 458;
const MEMORY_TOKENS: u64 = 65_536;
const MAX_BATCH: u32 = 48;
const KINDS: usize = 39;

pub fn measure() -> Role {
    Role {
        name: "target home (accounts)",
        size: "entry hosts in the zone",
        target_size: fleet_size::ZONE_HOSTS,
        mechanism: "one account of each target at its home; reservations requested from two \
                    candidates for each request; progress and loads reported at intervals",
        traffic_reduction: "loads are piggybacked on the replies in place of a message to every host each second; \
                 progress is reported only where it departs from the home's forecast; the second \
                 candidate is requested only after the first has refused",
        note: "a zone in virtual time; each host is home of 10 targets and has 10 requests \
               per second of 458 tokens on average at 31 ms per token",
        samples: SIZES.map(sample).to_vec(),
    }
}

fn sample(hosts: usize) -> Sample {
    let (mut zone, bytes) = measure_allocation(|| {
        let mut zone = Zone::new(hosts);
        zone.run(WARM_UP_S);
        zone
    });
    zone.traffic = Traffic::default();
    zone.stopwatch = Stopwatch::default();
    zone.run(MEASURED_S);
    let node_s = (hosts as u64 * MEASURED_S) as f64;
    Sample {
        size: hosts as f64,
        state_bytes: bytes / hosts as f64,
        messages_per_s: zone.traffic.messages as f64 / node_s,
        bytes_per_s: zone.traffic.bytes as f64 / node_s,
        cpu_us_per_s: zone.stopwatch.elapsed.as_micros() as f64 / node_s,
    }
}

struct Zone {
    now_ms: u64,
    hosts: IndexMap<HostName, State>,
    homes: Vec<(TargetName, HostName)>,
    running: IndexMap<GenerationId, RunningGeneration>,
    finishing: BTreeMap<(u64, u128), GenerationId>,
    requests: u128,
    rng: Rng,
    traffic: Traffic,
    stopwatch: Stopwatch,
}

struct RunningGeneration {
    host: HostName,
    started_ms: u64,
}

impl Zone {
    fn new(count: usize) -> Self {
        let live: Vec<Host> = (0..count).map(host).collect();
        let mut homes = Homes::new();
        homes.update(1, &live);
        let specs: Vec<TargetSpec> =
            (0..count * TARGETS_PER_HOST).map(target_spec).collect();
        let home = |spec: &TargetSpec| {
            let home = homes.home(&HomeKey::Target(spec.name.clone()))?;
            Some((spec.name.clone(), home))
        };
        let homes: Vec<(TargetName, HostName)> = specs.iter().filter_map(home).collect();
        let state = |host: &Host| {
            let name = host.name.clone();
            (name.clone(), State::new(name, Config::default()))
        };
        let mut zone = Zone {
            now_ms: 1_700_000_000_000,
            hosts: live.iter().map(state).collect(),
            homes: homes.clone(),
            running: IndexMap::new(),
            finishing: BTreeMap::new(),
            requests: 0,
            rng: Rng::new(1),
            traffic: Traffic::default(),
            stopwatch: Stopwatch::default(),
        };
        let hosts: Vec<HostName> = live.iter().map(|host| host.name.clone()).collect();
        for name in &hosts {
            zone.deliver_event(name, Event::TargetsChanged(specs.clone()));
            let (hosts, homes) = (hosts.clone(), homes.clone());
            zone.deliver_event(name, Event::HomesChanged { hosts, homes });
        }
        zone
    }

    fn run(&mut self, seconds: u64) {
        let names: Vec<HostName> = self.hosts.keys().cloned().collect();
        let end_ms = self.now_ms + seconds * 1_000;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            for name in &names {
                // N.B. Ten requests per second: one in every other step on average.
                if self.rng.below(2) == 0 {
                    self.send_request(name);
                }
                self.deliver_event(name, Event::Tick);
            }
            self.finish_due();
            if self.now_ms.is_multiple_of(PROGRESS_MS) {
                self.report_progress();
            }
            if self.now_ms.is_multiple_of(1_000) {
                self.report_loads();
            }
        }
    }

    fn send_request(&mut self, host: &HostName) {
        self.requests += 1;
        let organisation = self.rng.below(fleet_size::ORGANISATIONS as usize);
        let request = Request {
            id: RequestId(self.requests),
            generation: GenerationId(self.requests),
            pool: PoolName::new("plan"),
            organisation: OrganisationName::new(&format!("organisation-{organisation}")),
            kind: KindName::new(&format!("kind-{}", self.rng.below(KINDS))),
            prompt_tokens: 100 + self.rng.below(1_000) as u32,
            max_output_tokens: 8_192,
            prefix_hashes: (0..8).map(|_| self.rng.next_u64()).collect(),
            deadline_unix_ms: self.now_ms + 600_000,
            priority: 5,
            weight: 1.0,
            limits: Limits {
                outgrow_chance_max: 0.05,
                step_time_max_ms: 31.0,
                queue_timeout_ms: 60_000,
                policy: RoutingPolicy::HomeAccounts,
            },
            attempt: 0,
            retry_budget_ratio: 0.1,
            excluded: Vec::new(),
        };
        self.deliver_event(host, Event::RequestReceived(request));
    }

    fn report_progress(&mut self) {
        let now_ms = self.now_ms;
        let progress_of = |(generation, running): (&GenerationId, &RunningGeneration)| {
            let tokens = (now_ms - running.started_ms) / TOKEN_MS;
            (*generation, running.host.clone(), tokens as u32)
        };
        let progress: Vec<_> = self.running.iter().map(progress_of).collect();
        for (generation, host, tokens) in progress {
            self.deliver_event(&host, Event::GenerationProgressed { generation, tokens });
        }
    }

    fn finish_due(&mut self) {
        while let Some(entry) = self.finishing.first_entry() {
            if entry.key().0 > self.now_ms {
                return;
            }
            let generation = entry.remove();
            if let Some(running) = self.running.swap_remove(&generation) {
                let tokens = ((self.now_ms - running.started_ms) / TOKEN_MS) as u32;
                let outcome = Outcome::Completed;
                let event = Event::GenerationFinished {
                    generation,
                    tokens,
                    outcome,
                };
                self.deliver_event(&running.host, event);
            }
        }
    }

    fn report_loads(&mut self) {
        for (target, home) in self.homes.clone() {
            let report = LoadReport {
                measured_unix_ms: self.now_ms - 500,
                running: 14,
                used_tokens: MEMORY_TOKENS / 4,
                memory_tokens: MEMORY_TOKENS,
                step_ms: 25.0,
                ..LoadReport::default()
            };
            self.deliver_event(&home, Event::LoadReported { target, report });
        }
    }

    /// Delivers an event and all messages that follow from it.
    fn deliver_event(&mut self, host: &HostName, event: Event) {
        let mut pending = VecDeque::from([(host.clone(), event)]);
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
                    Effect::Dispatch { generation, .. } => {
                        self.start_generation(&name, generation)
                    }
                    _ => {}
                }
            }
        }
    }

    fn start_generation(&mut self, host: &HostName, generation: GenerationId) {
        let tokens = 1 + self.rng.below(2 * ANSWER_TOKENS) as u64;
        let started_ms = self.now_ms;
        self.running.insert(
            generation,
            RunningGeneration {
                host: host.clone(),
                started_ms,
            },
        );
        self.finishing
            .insert((started_ms + tokens * TOKEN_MS, generation.0), generation);
    }
}

fn target_spec(i: usize) -> TargetSpec {
    TargetSpec {
        name: TargetName::new(&format!("plan-llm-{i}")),
        pool: PoolName::new("plan"),
        memory_tokens: MEMORY_TOKENS,
        max_batch: MAX_BATCH,
    }
}
