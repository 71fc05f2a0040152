//! A simulation of hosts, a lease row and engines with a controlled clock.

use indexmap::IndexMap;
use toucancleat_core::orders::{
    self, Config, DeclaredState, Effect, Event, LeaseRow, Order, OrderOutcome, State,
    TargetState, WriteOutcome,
};
use toucancleat_core::prelude::*;

/// Time by which one step advances the clock.
const STEP_MS: u64 = 100;

/// An order that a host has sent.
#[derive(Clone, Debug)]
pub struct SentOrder {
    pub host: usize,
    pub order: Order,
    pub fencing_number: FencingNumber,
    pub sent_ms: u64,
    /// Time until which the order can still take effect, as far as its host knows.
    pub open_until_ms: u64,
}

pub struct Simulation {
    pub now_ms: u64,
    pub hosts: Vec<State>,
    pub paused: Vec<bool>,
    pub row: Option<(u64, LeaseRow)>,
    pub table_unavailable: bool,
    /// Whether the reply to the next write of the lease is lost.
    pub lose_reply: bool,
    pub targets: IndexMap<TargetName, TargetState>,
    /// Whether a target's running work ends once its admissions are stopped.
    pub can_drain: bool,
    pub outcomes: Vec<OrderOutcome>,
    pub orders: Vec<SentOrder>,
    pub admission_stops: usize,
    pub admission_resumes: usize,
    declared: IndexMap<TargetName, DeclaredState>,
    /// Effects that paused hosts apply once they resume.
    deferred_effects: Vec<(usize, Effect)>,
}

pub fn versions(pairs: &[(&str, &str)]) -> IndexMap<String, String> {
    let owned = |(name, version): &(&str, &str)| (name.to_string(), version.to_string());
    pairs.iter().map(owned).collect()
}

impl Simulation {
    pub fn new(hosts: usize, config: Config) -> Self {
        let zone = ZoneName::new("upp-a");
        let host = |number: usize| {
            let name = HostName::new(&format!("entry-{number}"));
            State::new(config.clone(), &zone, &name, number as u64)
        };
        let mut simulation = Simulation {
            now_ms: 0,
            hosts: (0..hosts).map(host).collect(),
            paused: vec![false; hosts],
            row: None,
            table_unavailable: false,
            lose_reply: false,
            targets: IndexMap::new(),
            can_drain: true,
            outcomes: vec![],
            orders: vec![],
            admission_stops: 0,
            admission_resumes: 0,
            declared: IndexMap::new(),
            deferred_effects: vec![],
        };
        simulation.set_candidates(&[0]);
        simulation
    }

    pub fn set_candidates(&mut self, candidates: &[usize]) {
        for host in 0..self.hosts.len() {
            let is_candidate = candidates.contains(&host);
            self.feed(host, Event::Candidate { is_candidate });
        }
    }

    pub fn declare(&mut self, target: &TargetName, declared: DeclaredState) {
        self.declared.insert(target.clone(), declared);
        for host in 0..self.hosts.len() {
            self.feed(
                host,
                Event::Declared {
                    targets: self.declared.clone(),
                },
            );
        }
    }

    pub fn term(&self, host: usize) -> Option<FencingNumber> {
        self.hosts[host].term(self.now_ms)
    }

    pub fn run(&mut self, for_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        for host in 0..self.hosts.len() {
            self.feed(host, Event::Tick);
        }
    }

    pub fn pause(&mut self, host: usize) {
        self.paused[host] = true;
    }

    /// Resumes a host, which first applies the effects deferred by its pause.
    pub fn resume(&mut self, host: usize) {
        self.paused[host] = false;
        let deferred_effects = std::mem::take(&mut self.deferred_effects);
        let (of_host, others) = deferred_effects
            .into_iter()
            .partition(|(of, _)| *of == host);
        self.deferred_effects = others;
        for (host, effect) in of_host {
            self.apply_effect(host, effect);
        }
    }

    pub fn feed(&mut self, host: usize, event: Event) {
        if self.paused[host] {
            return;
        }
        let mut effects = Vec::new();
        self.reduce(host, event, &mut effects);
        for effect in effects {
            self.apply_effect(host, effect);
        }
    }

    pub fn reduce(&mut self, host: usize, event: Event, effects: &mut Vec<Effect>) {
        orders::reduce(&mut self.hosts[host], self.now_ms, event, effects);
    }

    fn apply_effect(&mut self, host: usize, effect: Effect) {
        if self.paused[host] {
            self.deferred_effects.push((host, effect));
            return;
        }
        match effect {
            Effect::ReadLease { .. } => {
                let row = (!self.table_unavailable).then(|| self.row.clone());
                self.feed(host, Event::LeaseRead { row });
            }
            Effect::WriteLease {
                write,
                version,
                value,
                ..
            } => {
                let outcome = self.write_lease(version, value);
                self.feed(host, Event::LeaseWritten { write, outcome });
            }
            Effect::ReadTarget { target, read } => {
                let state = self.targets.get(&target).cloned();
                self.feed(
                    host,
                    Event::TargetRead {
                        target,
                        read,
                        state,
                    },
                );
            }
            Effect::StopAdmissions { target } => {
                self.admission_stops += 1;
                if self.can_drain {
                    self.feed(host, Event::Drained { target });
                }
            }
            Effect::ResumeAdmissions { .. } => self.admission_resumes += 1,
            Effect::SendOrder {
                target,
                order_id,
                order,
                fencing_number,
                valid_until_ms,
                deadline_ms,
            } => {
                // The daemon compares the time again before it sends the bytes.
                if self.now_ms >= valid_until_ms {
                    return;
                }
                let sent_ms = self.now_ms;
                let sent = SentOrder {
                    host,
                    order,
                    fencing_number,
                    sent_ms,
                    open_until_ms: deadline_ms,
                };
                let outcome = self.execute_order(&target, sent);
                self.feed(
                    host,
                    Event::OrderReply {
                        target,
                        order_id,
                        outcome,
                    },
                );
            }
            effect => panic!("{effect:?}"),
        }
    }

    fn write_lease(&mut self, version: Option<u64>, value: LeaseRow) -> WriteOutcome {
        if self.table_unavailable {
            return WriteOutcome::Rejected;
        }
        let current = self.row.as_ref().map(|(version, _)| *version);
        if current != version {
            return WriteOutcome::Conflict {
                current: self.row.clone(),
            };
        }
        let version = current.unwrap_or(0) + 1;
        self.row = Some((version, value));
        if std::mem::take(&mut self.lose_reply) {
            return WriteOutcome::Unknown;
        }
        WriteOutcome::Applied { version }
    }

    fn execute_order(&mut self, name: &TargetName, sent: SentOrder) -> OrderOutcome {
        let Some(target) = self.targets.get_mut(name) else {
            return OrderOutcome::Refused;
        };
        target.fencing_number = target.fencing_number.max(sent.fencing_number);
        match sent.order.clone() {
            Order::LoadModel { name, version } => {
                target.models.insert(name, version);
            }
            Order::LoadAdapter { name, version } => {
                target.adapters.insert(name, version);
            }
            Order::SetRole { role } => target.role = role,
            Order::Unload { name } => {
                target.models.shift_remove(&name);
                target.adapters.shift_remove(&name);
            }
            order => panic!("{order:?}"),
        }
        let outcome = self.outcomes.pop().unwrap_or(OrderOutcome::Done);
        let is_done = outcome == OrderOutcome::Done;
        let open_until_ms = if is_done {
            sent.sent_ms
        } else {
            sent.open_until_ms
        };
        self.orders.push(SentOrder {
            open_until_ms,
            ..sent
        });
        outcome
    }
}
