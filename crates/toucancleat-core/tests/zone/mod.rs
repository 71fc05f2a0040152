//! A simulation of the accounts of one zone's entry hosts, over a network that loses,
//! duplicates and delays messages.

use indexmap::IndexMap;
use toucancleat_core::accounts::{
    Config, Effect, Event, Limits, LoadReport, Message, Outcome, RefusalReason, Request,
    State, TargetSpec, reduce,
};
use toucancleat_core::prelude::*;
use toucancleat_core::rng::Rng;
use toucancleat_core::settings::RoutingPolicy;

/// Time between two ticks of a host.
const TICK_MS: u64 = 50;

/// Faults that the network injects into messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub lost_percent: usize,
    pub duplicated_percent: usize,
    pub delay_max_ms: usize,
}

/// The hosts, the messages in flight and the outcomes of requests.
#[derive(Debug)]
pub struct Zone {
    pub now_ms: u64,
    pub hosts: IndexMap<HostName, State>,
    pub homes: Vec<(TargetName, HostName)>,
    pub faults: Faults,
    pub dispatched: Vec<Dispatched>,
    pub refused: IndexMap<RequestId, (RefusalReason, u64)>,
    rng: Rng,
    in_flight: Vec<InFlight>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Dispatched {
    pub host: HostName,
    pub request: RequestId,
    pub generation: GenerationId,
    pub target: TargetName,
    pub priority: u8,
    pub at_ms: u64,
}

#[derive(Clone, Debug)]
struct InFlight {
    due_ms: u64,
    from: HostName,
    to: HostName,
    message: Message,
}

impl Zone {
    /// Creates a zone whose target `t<i>` has its home at host `h<i modulo hosts>`.
    pub fn new(hosts: usize, targets: &[TargetSpec], seed: u64) -> Self {
        let names: Vec<HostName> = (0..hosts)
            .map(|i| HostName::new(&format!("h{i}")))
            .collect();
        let homes = targets
            .iter()
            .enumerate()
            .map(|(i, spec)| (spec.name.clone(), names[i % hosts].clone()))
            .collect();
        let mut zone = Zone {
            now_ms: 1_000_000,
            hosts: IndexMap::new(),
            homes,
            faults: Faults::default(),
            dispatched: Vec::new(),
            refused: IndexMap::new(),
            rng: Rng::new(seed),
            in_flight: Vec::new(),
        };
        for (i, name) in names.iter().enumerate() {
            let config = Config {
                seed: seed + i as u64,
                ..Config::default()
            };
            zone.hosts
                .insert(name.clone(), State::new(name.clone(), config));
        }
        for name in &names {
            zone.deliver_event(name, Event::TargetsChanged(targets.to_vec()));
        }
        zone.deliver_homes();
        zone.advance_ms(200);
        zone
    }

    /// Delivers the current homes to every host.
    pub fn deliver_homes(&mut self) {
        let hosts: Vec<HostName> = self.hosts.keys().cloned().collect();
        for name in &hosts {
            let event = Event::HomesChanged {
                hosts: hosts.clone(),
                homes: self.homes.clone(),
            };
            self.deliver_event(name, event);
        }
    }

    /// Removes a host as if it crashed; its homes move to the first remaining host.
    pub fn crash_host(&mut self, name: &str) {
        let lost = HostName::new(name);
        self.hosts.shift_remove(&lost);
        self.in_flight.retain(|f| f.to != lost);
        let hosts: Vec<HostName> = self.hosts.keys().cloned().collect();
        for host in &hosts {
            self.deliver_event(host, Event::HostLost { host: lost.clone() });
        }
        for (_, home) in &mut self.homes {
            if *home == lost {
                *home = hosts[0].clone();
            }
        }
    }

    /// Delivers an event to one host.
    pub fn deliver_event(&mut self, host: &HostName, event: Event) {
        let Some(state) = self.hosts.get_mut(host) else {
            return;
        };
        let mut effects = Vec::new();
        reduce(state, self.now_ms, event, &mut effects);
        for effect in effects {
            self.execute(host, effect);
        }
    }

    /// Delivers an event to every host.
    pub fn deliver_to_all_hosts(&mut self, event: &Event) {
        let hosts: Vec<HostName> = self.hosts.keys().cloned().collect();
        for host in &hosts {
            self.deliver_event(host, event.clone());
        }
    }

    /// Advances the time, with the ticks and messages due in it.
    pub fn advance_ms(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += 1;
            self.deliver();
            if self.now_ms.is_multiple_of(TICK_MS) {
                self.deliver_to_all_hosts(&Event::Tick);
            }
        }
    }

    /// Completes a dispatched generation.
    pub fn finish(&mut self, dispatched: &Dispatched, tokens: u32) {
        let event = Event::GenerationFinished {
            generation: dispatched.generation,
            tokens,
            outcome: Outcome::Completed,
        };
        self.deliver_event(&dispatched.host, event);
    }

    /// Returns the number of running generations in the accounts of all hosts.
    pub fn running_count(&self) -> u32 {
        let summaries = self
            .hosts
            .values()
            .flat_map(|state| state.account_summaries());
        summaries.map(|summary| summary.running).sum()
    }

    /// Returns the number of queued requests in the accounts of all hosts.
    pub fn queued_count(&self) -> u32 {
        let summaries = self
            .hosts
            .values()
            .flat_map(|state| state.account_summaries());
        summaries.map(|summary| summary.queued).sum()
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|f| f.due_ms <= now_ms);
        self.in_flight = later;
        let due: Vec<InFlight> = due;
        for InFlight {
            from, to, message, ..
        } in due
        {
            self.deliver_event(&to, Event::MessageReceived { from, message });
        }
    }

    fn execute(&mut self, host: &HostName, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(host, to, message),
            Effect::Dispatch {
                request,
                generation,
                target,
                priority,
            } => self.dispatched.push(Dispatched {
                host: host.clone(),
                request,
                generation,
                target,
                priority,
                at_ms: self.now_ms,
            }),
            Effect::Refuse {
                request,
                reason,
                retry_after_ms,
            } => {
                let earlier = self.refused.insert(request, (reason, retry_after_ms));
                assert_eq!(earlier, None, "{request} was refused twice");
            }
            other => panic!("unexpected effect: {other:?}"),
        }
    }

    fn send(&mut self, from: &HostName, to: HostName, message: Message) {
        let faults = self.faults;
        if self.rng.below(100) < faults.lost_percent {
            return;
        }
        let copies = 1 + usize::from(self.rng.below(100) < faults.duplicated_percent);
        for _ in 0..copies {
            let delay_ms = 1 + self.rng.below(faults.delay_max_ms) as u64;
            self.in_flight.push(InFlight {
                due_ms: self.now_ms + delay_ms,
                from: from.clone(),
                to: to.clone(),
                message: message.clone(),
            });
        }
    }
}

/// Returns the specification of a target in the pool `plan-llm`.
pub fn target(name: &str, memory_tokens: u64, max_batch: u32) -> TargetSpec {
    TargetSpec {
        name: TargetName::new(name),
        pool: PoolName::new("plan-llm"),
        memory_tokens,
        max_batch,
    }
}

/// Returns a request of 100 prompt tokens with a deadline 120 seconds after `now_ms`.
pub fn request(id: u128, organisation: &str, now_ms: u64) -> Request {
    Request {
        id: RequestId(id),
        generation: GenerationId(id + (1 << 64)),
        pool: PoolName::new("plan-llm"),
        organisation: OrganisationName::new(organisation),
        kind: KindName::new("draft"),
        prompt_tokens: 100,
        max_output_tokens: 1_000,
        prefix_hashes: vec![id as u64],
        deadline_unix_ms: now_ms + 120_000,
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
    }
}

/// Returns a load report with the given batch size and step time.
pub fn report(running: u32, step_ms: f64) -> LoadReport {
    LoadReport {
        running,
        step_ms,
        ..LoadReport::default()
    }
}
