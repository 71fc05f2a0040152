//! Walks through the specification, taken by the reducer at the same time.

use indexmap::IndexMap;
use toucancleat_core::orders::{
    self, Declared, Effect, Event, LeaseRow, OrderOutcome, State as Core, TargetState,
    WriteOutcome,
};
use toucancleat_core::prelude::*;
use toucancleat_core::rng::Rng;
use toucancleat_model::orders::{
    Action, Config, Order, Output, Row, State, Write, apply, next,
};
use toucancleat_model::walk;

const WALKS: usize = 3_000;
const STEPS_MAX: usize = 80;
const UNIT_MS: u64 = 1_000;
const TARGET: &str = "plan-llm-1";

#[test]
fn reducer_follows_every_walk() {
    let config = Config {
        time_max: 30,
        losses: 4,
        crashes: 2,
        changes: 3,
        ..super::BOUNDED
    };
    let initial = State::new(&config);
    let mut rng = Rng::new(14);
    for _ in 0..WALKS {
        let steps = walk(&initial, |state| next(&config, state), &mut rng, STEPS_MAX);
        let mut hosts = Hosts::new(&config);
        let mut before = initial.clone();
        let mut taken = Vec::new();
        for (action, after) in steps {
            taken.push(action);
            let (_, expected) = apply(&config, &before, action).expect("a step");
            let outputs = hosts.take(&before, &after, action);
            assert_eq!(outputs, expected, "after {taken:#?}");
            hosts.compare(&after, &taken);
            before = after;
        }
    }
}

struct Host {
    core: Core,
    start: u64,
    /// Number of the last write of the lease.
    write: u64,
    reply: Option<WriteOutcome>,
    /// Numbers of the orders that were decided, by their deadline.
    orders: IndexMap<u8, u64>,
}

/// The reducers of both hosts.
struct Hosts {
    config: orders::Config,
    hosts: Vec<Host>,
    now_ms: u64,
    declared: u64,
}

impl Hosts {
    fn new(config: &Config) -> Self {
        let core = orders::Config {
            lease_ms: u64::from(config.lease) * UNIT_MS,
            renew_ms: UNIT_MS,
            margin_ms: 0,
            order_deadline_ms: u64::from(config.deadline) * UNIT_MS,
            check_ms: u64::MAX / 4,
            retry_ms: UNIT_MS,
            load_interval_ms: 0,
        };
        let mut hosts = Hosts {
            config: core,
            hosts: vec![],
            now_ms: 0,
            declared: 0,
        };
        for host in 0..2 {
            let host = hosts.start(host, 0, true);
            hosts.hosts.push(host);
        }
        hosts
    }

    fn start(&self, host: usize, start: u64, is_candidate: bool) -> Host {
        let zone = ZoneName::new("upp-a");
        let name = HostName::new(&host.to_string());
        let mut core = Core::new(self.config.clone(), &zone, &name, start);
        let candidate = Event::Candidate { is_candidate };
        orders::reduce(&mut core, self.now_ms, candidate, &mut Vec::new());
        let orders = IndexMap::new();
        Host {
            core,
            start,
            write: 0,
            reply: None,
            orders,
        }
    }

    fn take(&mut self, before: &State, after: &State, action: Action) -> Vec<Output> {
        self.now_ms = u64::from(after.now) * UNIT_MS;
        match action {
            Action::Tick { host, reads } => {
                let row = reads.then(|| to_core(before.row));
                self.tick(host.into(), row)
            }
            Action::ChangeCandidate { host } => {
                let host = usize::from(host);
                let is_candidate = after.is_candidate(host);
                self.feed(host, Event::Candidate { is_candidate });
                vec![]
            }
            Action::Apply { host } => {
                let applied = before.row != after.row;
                let present = to_core(after.row);
                let version = u64::from(after.row.0);
                let reply = match applied {
                    true => WriteOutcome::Applied { version },
                    false => WriteOutcome::Conflict { present },
                };
                self.hosts[usize::from(host)].reply = Some(reply);
                vec![]
            }
            Action::Reply { host } => {
                let outcome = self.hosts[usize::from(host)].reply.take();
                self.written(host.into(), outcome.expect("a reply"))
            }
            Action::LoseReply { host } | Action::Delay { host } => {
                self.written(host.into(), WriteOutcome::Unknown)
            }
            Action::Decide { host } => self.decide(host.into(), after.now),
            Action::CarryOut { order, reply: true } => self.carried_out(order),
            Action::Crash { host } => {
                let host = usize::from(host);
                let start = self.hosts[host].start + 1;
                self.hosts[host] = self.start(host, start, after.is_candidate(host));
                vec![]
            }
            _ => vec![],
        }
    }

    fn tick(&mut self, host: usize, row: Option<Option<(u64, LeaseRow)>>) -> Vec<Output> {
        let effects = self.feed(host, Event::Tick);
        let mut outputs = self.outputs(host, &effects);
        if outputs == [Output::Read] {
            let effects = self.feed(host, Event::LeaseRead { row });
            outputs.extend(self.outputs(host, &effects));
        }
        outputs
    }

    fn written(&mut self, host: usize, outcome: WriteOutcome) -> Vec<Output> {
        let write = self.hosts[host].write;
        let effects = self.feed(host, Event::LeaseWritten { write, outcome });
        self.outputs(host, &effects)
    }

    fn decide(&mut self, host: usize, now: u8) -> Vec<Output> {
        let effects = self.ask_for_order(host);
        let sent = effects.iter().find_map(order_id);
        let deadline_ms = self.config.order_deadline_ms;
        let until = now + (deadline_ms / UNIT_MS) as u8;
        self.hosts[host]
            .orders
            .insert(until, sent.expect("an order"));
        vec![]
    }

    fn carried_out(&mut self, order: Order) -> Vec<Output> {
        let host = usize::from(order.host);
        if self.hosts[host].start == u64::from(order.start) {
            let order_id = self.hosts[host].orders[&order.until];
            let target = TargetName::new(TARGET);
            let outcome = OrderOutcome::Done;
            self.feed(
                host,
                Event::OrderReply {
                    target,
                    order_id,
                    outcome,
                },
            );
        }
        vec![]
    }

    /// Declares a version that the target doesn't have.
    fn ask_for_order(&mut self, host: usize) -> Vec<Effect> {
        self.declared += 1;
        let core = &mut self.hosts[host].core;
        declare(core, self.now_ms, self.declared)
    }

    /// Feeds an event; reads of the target find it as declared.
    fn feed(&mut self, host: usize, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        let core = &mut self.hosts[host].core;
        orders::reduce(core, self.now_ms, event, &mut effects);
        let read = effects.iter().find_map(target_read);
        if let Some((target, read)) = read {
            let state = Some(TargetState::default());
            let found = Event::TargetRead {
                target,
                read,
                state,
            };
            let none = Event::Declared {
                targets: declared_nothing(),
            };
            orders::reduce(core, self.now_ms, none, &mut Vec::new());
            orders::reduce(core, self.now_ms, found, &mut Vec::new());
        }
        effects
    }

    fn outputs(&mut self, host: usize, effects: &[Effect]) -> Vec<Output> {
        let mut outputs = Vec::new();
        for effect in effects {
            match effect {
                Effect::ReadLease { .. } => outputs.push(Output::Read),
                Effect::WriteLease {
                    write,
                    version,
                    value,
                    ..
                } => {
                    self.hosts[host].write = *write;
                    outputs.push(Output::Write(Write {
                        version: version.unwrap_or(0) as u8,
                        row: from_core(value),
                    }));
                }
                _ => {}
            }
        }
        outputs
    }

    /// Compares who holds the lease and who would give an order.
    fn compare(&mut self, after: &State, taken: &[Action]) {
        for host in 0..2 {
            let term = self.hosts[host].core.term(self.now_ms);
            let expected = after.term(host).map(|term| FencingNumber(term.into()));
            assert_eq!(term, expected, "host {host} after {taken:#?}");
            let mut probe = self.hosts[host].core.clone();
            let effects = declare(&mut probe, self.now_ms, u64::MAX);
            let orders = effects.iter().any(|effect| order_id(effect).is_some());
            let may_order = after.may_decide(host);
            assert_eq!(orders, may_order, "host {host} after {taken:#?}");
        }
    }
}

fn declared_nothing() -> IndexMap<TargetName, Declared> {
    IndexMap::from([(TargetName::new(TARGET), Declared::default())])
}

fn declare(core: &mut Core, now_ms: u64, version: u64) -> Vec<Effect> {
    let models = IndexMap::from([("plan".to_owned(), version.to_string())]);
    let declared = Declared {
        models: Some(models),
        ..Declared::default()
    };
    let targets = IndexMap::from([(TargetName::new(TARGET), declared)]);
    let mut effects = Vec::new();
    orders::reduce(core, now_ms, Event::Declared { targets }, &mut effects);
    if let Some((target, read)) = effects.iter().find_map(target_read) {
        let state = Some(TargetState::default());
        let found = Event::TargetRead {
            target,
            read,
            state,
        };
        orders::reduce(core, now_ms, found, &mut effects);
    }
    effects
}

fn target_read(effect: &Effect) -> Option<(TargetName, u64)> {
    match effect {
        Effect::ReadTarget { target, read } => Some((target.clone(), *read)),
        _ => None,
    }
}

fn order_id(effect: &Effect) -> Option<u64> {
    match effect {
        Effect::SendOrder { order_id, .. } => Some(*order_id),
        _ => None,
    }
}

fn to_core((version, row): (u8, Option<Row>)) -> Option<(u64, LeaseRow)> {
    let row = row?;
    let value = LeaseRow {
        holder: HostName::new(&row.holder.to_string()),
        token: row.start.into(),
        term: FencingNumber(row.term.into()),
        lease_ms: u64::from(super::BOUNDED.lease) * UNIT_MS,
        order_deadline_ms: u64::from(super::BOUNDED.deadline) * UNIT_MS,
        released: row.released,
    };
    Some((version.into(), value))
}

fn from_core(row: &LeaseRow) -> Row {
    Row {
        holder: row.holder.as_str().parse().expect("a number"),
        start: row.token as u8,
        term: row.term.0 as u8,
        released: row.released,
    }
}
