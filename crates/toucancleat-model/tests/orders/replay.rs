//! Replay of random walks through the specification of orders against the reducer.

use indexmap::IndexMap;
use toucancleat_core::orders::{
    self, DeclaredState, Effect, Event, LeaseRow, OrderOutcome, State as Core,
    TargetState, WriteOutcome,
};
use toucancleat_core::prelude::*;
use toucancleat_core::rng::Rng;
use toucancleat_model::orders::{
    Action, Config, Order, Output, Row, State, Write, apply, next_states,
};
use toucancleat_model::random_walk;

const WALKS: usize = 3_000;
const STEPS_MAX: usize = 80;
const UNIT_MS: u64 = 1_000;
const TARGET: &str = "plan-llm-1";

#[test]
fn reducer_never_diverges_from_the_specification() {
    let config = Config {
        time_max: 30,
        losses_max: 4,
        crashes_max: 2,
        candidate_changes_max: 3,
        ..super::BOUNDED
    };
    let initial = State::new(&config);
    let mut rng = Rng::new(14);
    for _ in 0..WALKS {
        let steps = random_walk(
            &initial,
            |state| next_states(&config, state),
            &mut rng,
            STEPS_MAX,
        );
        let mut hosts = Hosts::new(&config);
        let mut before = initial.clone();
        let mut applied = Vec::new();
        for (action, after) in steps {
            applied.push(action);
            let (_, expected) = apply(&config, &before, action).expect("a step");
            let outputs = hosts.apply(&before, &after, action);
            assert_eq!(outputs, expected, "after {applied:#?}");
            hosts.assert_matches(&after, &applied);
            before = after;
        }
    }
}

struct Host {
    core: Core,
    incarnation: u64,
    /// Number of the host's last write of the lease.
    write: u64,
    reply: Option<WriteOutcome>,
    /// Ids of the decided orders, by the time at which they expire.
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
            lease_ms: u64::from(config.lease_units) * UNIT_MS,
            renew_interval_ms: UNIT_MS,
            margin_ms: 0,
            order_deadline_ms: u64::from(config.deadline_units) * UNIT_MS,
            check_interval_ms: u64::MAX / 4,
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
            let host = hosts.start_host(host, 0, true);
            hosts.hosts.push(host);
        }
        hosts
    }

    fn start_host(&self, host: usize, incarnation: u64, is_candidate: bool) -> Host {
        let zone = ZoneName::new("upp-a");
        let name = HostName::new(&host.to_string());
        let mut core = Core::new(self.config.clone(), &zone, &name, incarnation);
        let candidate = Event::Candidate { is_candidate };
        orders::reduce(&mut core, self.now_ms, candidate, &mut Vec::new());
        let orders = IndexMap::new();
        Host {
            core,
            incarnation,
            write: 0,
            reply: None,
            orders,
        }
    }

    fn apply(&mut self, before: &State, after: &State, action: Action) -> Vec<Output> {
        self.now_ms = u64::from(after.now) * UNIT_MS;
        match action {
            Action::Tick { host, can_read } => {
                let row = can_read.then(|| to_core(before.row));
                self.tick(host.into(), row)
            }
            Action::ChangeCandidate { host } => {
                let host = usize::from(host);
                let is_candidate = after.is_candidate(host);
                self.deliver_event(host, Event::Candidate { is_candidate });
                vec![]
            }
            Action::ApplyWrite { host } => {
                let is_applied = before.row != after.row;
                let current = to_core(after.row);
                let version = u64::from(after.row.0);
                let reply = match is_applied {
                    true => WriteOutcome::Applied { version },
                    false => WriteOutcome::Conflict { current },
                };
                self.hosts[usize::from(host)].reply = Some(reply);
                vec![]
            }
            Action::DeliverReply { host } => {
                let outcome = self.hosts[usize::from(host)].reply.take();
                self.deliver_write_outcome(host.into(), outcome.expect("a reply"))
            }
            Action::LoseReply { host } | Action::Delay { host } => {
                self.deliver_write_outcome(host.into(), WriteOutcome::Unknown)
            }
            Action::DecideOrder { host } => self.decide(host.into(), after.now),
            Action::ExecuteOrder {
                order,
                has_reply: true,
            } => self.deliver_order_reply(order),
            Action::Crash { host } => {
                let host = usize::from(host);
                let incarnation = self.hosts[host].incarnation + 1;
                self.hosts[host] =
                    self.start_host(host, incarnation, after.is_candidate(host));
                vec![]
            }
            _ => vec![],
        }
    }

    fn tick(&mut self, host: usize, row: Option<Option<(u64, LeaseRow)>>) -> Vec<Output> {
        let effects = self.deliver_event(host, Event::Tick);
        let mut outputs = self.outputs(host, &effects);
        if outputs == [Output::Read] {
            let effects = self.deliver_event(host, Event::LeaseRead { row });
            outputs.extend(self.outputs(host, &effects));
        }
        outputs
    }

    fn deliver_write_outcome(
        &mut self,
        host: usize,
        outcome: WriteOutcome,
    ) -> Vec<Output> {
        let write = self.hosts[host].write;
        let effects = self.deliver_event(host, Event::LeaseWritten { write, outcome });
        self.outputs(host, &effects)
    }

    fn decide(&mut self, host: usize, now: u8) -> Vec<Output> {
        let effects = self.declare_new_version(host);
        let sent = effects.iter().find_map(order_id);
        let deadline_ms = self.config.order_deadline_ms;
        let expires_at = now + (deadline_ms / UNIT_MS) as u8;
        self.hosts[host]
            .orders
            .insert(expires_at, sent.expect("an order"));
        vec![]
    }

    fn deliver_order_reply(&mut self, order: Order) -> Vec<Output> {
        let host = usize::from(order.host);
        if self.hosts[host].incarnation == u64::from(order.incarnation) {
            let order_id = self.hosts[host].orders[&order.expires_at];
            let target = TargetName::new(TARGET);
            let outcome = OrderOutcome::Done;
            self.deliver_event(
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

    /// Declares a version that the target doesn't have, so that the host sends an order.
    fn declare_new_version(&mut self, host: usize) -> Vec<Effect> {
        self.declared += 1;
        let core = &mut self.hosts[host].core;
        declare(core, self.now_ms, self.declared)
    }

    /// Delivers an event; reads of the target find nothing to change.
    fn deliver_event(&mut self, host: usize, event: Event) -> Vec<Effect> {
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
                targets: empty_declaration(),
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

    /// Asserts that the reducers agree on who holds the lease and may send an order.
    fn assert_matches(&mut self, after: &State, applied: &[Action]) {
        for host in 0..2 {
            let term = self.hosts[host].core.term(self.now_ms);
            let expected = after.term(host).map(|term| FencingNumber(term.into()));
            assert_eq!(term, expected, "host {host} after {applied:#?}");
            let mut probe = self.hosts[host].core.clone();
            let effects = declare(&mut probe, self.now_ms, u64::MAX);
            let sends_order = effects.iter().any(|effect| order_id(effect).is_some());
            let may_decide = after.may_decide_order(host);
            assert_eq!(sends_order, may_decide, "host {host} after {applied:#?}");
        }
    }
}

fn empty_declaration() -> IndexMap<TargetName, DeclaredState> {
    IndexMap::from([(TargetName::new(TARGET), DeclaredState::default())])
}

fn declare(core: &mut Core, now_ms: u64, version: u64) -> Vec<Effect> {
    let models = IndexMap::from([("plan".to_owned(), version.to_string())]);
    let declared = DeclaredState {
        models: Some(models),
        ..DeclaredState::default()
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
        token: row.incarnation.into(),
        term: FencingNumber(row.term.into()),
        lease_ms: u64::from(super::BOUNDED.lease_units) * UNIT_MS,
        order_deadline_ms: u64::from(super::BOUNDED.deadline_units) * UNIT_MS,
        released: row.is_released,
    };
    Some((version.into(), value))
}

fn from_core(row: &LeaseRow) -> Row {
    Row {
        holder: row.holder.as_str().parse().expect("a number"),
        incarnation: row.token as u8,
        term: row.term.0 as u8,
        is_released: row.released,
    }
}
