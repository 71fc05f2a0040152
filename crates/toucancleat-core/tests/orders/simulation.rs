//! Hosts, a lease row and engines, with the time driven from outside.

use indexmap::IndexMap;
use toucancleat_core::orders::{
    self, Config, Declared, Effect, Event, LeaseRow, Order, OrderOutcome, State,
    TargetState, WriteOutcome,
};
use toucancleat_core::prelude::*;

/// Time between two steps.
const STEP_MS: u64 = 100;

/// An order as it left a host.
#[derive(Clone, Debug)]
pub struct Sent {
    pub host: usize,
    pub order: Order,
    pub fencing_number: FencingNumber,
    pub sent_ms: u64,
    /// Until when the order can still take effect, as far as its host knows.
    pub open_until_ms: u64,
}

pub struct World {
    pub now_ms: u64,
    pub hosts: Vec<State>,
    pub paused: Vec<bool>,
    pub row: Option<(u64, LeaseRow)>,
    pub table_away: bool,
    /// Whether the reply to the next write of the lease is lost.
    pub lose_reply: bool,
    pub targets: IndexMap<TargetName, TargetState>,
    /// Whether the work of a target ends once admissions have stopped.
    pub drains: bool,
    pub outcomes: Vec<OrderOutcome>,
    pub orders: Vec<Sent>,
    pub stops: usize,
    pub resumes: usize,
    declared: IndexMap<TargetName, Declared>,
    /// What a paused host has still to carry out.
    withheld: Vec<(usize, Effect)>,
}

pub fn versions(pairs: &[(&str, &str)]) -> IndexMap<String, String> {
    let owned = |(name, version): &(&str, &str)| (name.to_string(), version.to_string());
    pairs.iter().map(owned).collect()
}

impl World {
    pub fn new(hosts: usize, config: Config) -> Self {
        let zone = ZoneName::new("upp-a");
        let host = |number: usize| {
            let name = HostName::new(&format!("entry-{number}"));
            State::new(config.clone(), &zone, &name, number as u64)
        };
        let mut world = World {
            now_ms: 0,
            hosts: (0..hosts).map(host).collect(),
            paused: vec![false; hosts],
            row: None,
            table_away: false,
            lose_reply: false,
            targets: IndexMap::new(),
            drains: true,
            outcomes: vec![],
            orders: vec![],
            stops: 0,
            resumes: 0,
            declared: IndexMap::new(),
            withheld: vec![],
        };
        world.candidates(&[0]);
        world
    }

    pub fn candidates(&mut self, candidates: &[usize]) {
        for host in 0..self.hosts.len() {
            let is_candidate = candidates.contains(&host);
            self.feed(host, Event::Candidate { is_candidate });
        }
    }

    pub fn declare(&mut self, target: &TargetName, declared: Declared) {
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

    /// Lets a host go on: what it was about to do comes first.
    pub fn wake(&mut self, host: usize) {
        self.paused[host] = false;
        let withheld = std::mem::take(&mut self.withheld);
        let (own, others) = withheld.into_iter().partition(|(of, _)| *of == host);
        self.withheld = others;
        for (host, effect) in own {
            self.carry_out(host, effect);
        }
    }

    pub fn feed(&mut self, host: usize, event: Event) {
        if self.paused[host] {
            return;
        }
        let mut effects = Vec::new();
        self.feed_into(host, event, &mut effects);
        for effect in effects {
            self.carry_out(host, effect);
        }
    }

    pub fn feed_into(&mut self, host: usize, event: Event, effects: &mut Vec<Effect>) {
        orders::reduce(&mut self.hosts[host], self.now_ms, event, effects);
    }

    fn carry_out(&mut self, host: usize, effect: Effect) {
        if self.paused[host] {
            self.withheld.push((host, effect));
            return;
        }
        match effect {
            Effect::ReadLease { .. } => {
                let row = (!self.table_away).then(|| self.row.clone());
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
                self.stops += 1;
                if self.drains {
                    self.feed(host, Event::Drained { target });
                }
            }
            Effect::ResumeAdmissions { .. } => self.resumes += 1,
            Effect::SendOrder {
                target,
                order_id,
                order,
                fencing_number,
                valid_until_ms,
                deadline_ms,
            } => {
                // The daemon compares the time once more before the bytes leave.
                if self.now_ms >= valid_until_ms {
                    return;
                }
                let sent_ms = self.now_ms;
                let sent = Sent {
                    host,
                    order,
                    fencing_number,
                    sent_ms,
                    open_until_ms: deadline_ms,
                };
                let outcome = self.order(&target, sent);
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
        if self.table_away {
            return WriteOutcome::Rejected;
        }
        let present = self.row.as_ref().map(|(version, _)| *version);
        if present != version {
            return WriteOutcome::Conflict {
                present: self.row.clone(),
            };
        }
        let version = present.unwrap_or(0) + 1;
        self.row = Some((version, value));
        if std::mem::take(&mut self.lose_reply) {
            return WriteOutcome::Unknown;
        }
        WriteOutcome::Applied { version }
    }

    fn order(&mut self, name: &TargetName, sent: Sent) -> OrderOutcome {
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
        let known = outcome == OrderOutcome::Done;
        let open_until_ms = if known {
            sent.sent_ms
        } else {
            sent.open_until_ms
        };
        self.orders.push(Sent {
            open_until_ms,
            ..sent
        });
        outcome
    }
}
