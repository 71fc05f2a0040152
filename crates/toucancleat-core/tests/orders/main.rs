//! Tests of orders to engines, with one candidate for the lease and with several.

mod schedules;
mod simulation;

use indexmap::IndexMap;
use toucancleat_core::orders::{
    self, Config, DeclaredState, Effect, Event, Order, OrderOutcome, State, TargetState,
    WriteOutcome,
};
use toucancleat_core::prelude::*;

use self::simulation::{Simulation, versions};

fn declared(models: &[(&str, &str)], role: Option<&str>) -> DeclaredState {
    DeclaredState {
        models: Some(versions(models)),
        adapters: None,
        role: role.map(str::to_owned),
    }
}

fn actual(models: &[(&str, &str)], role: &str) -> TargetState {
    TargetState {
        models: versions(models),
        role: role.to_owned(),
        ..TargetState::default()
    }
}

fn load(name: &str, version: &str) -> Order {
    Order::LoadModel {
        name: name.to_owned(),
        version: version.to_owned(),
    }
}

#[test]
fn target_reaches_its_declared_state() {
    struct Case {
        name: &'static str,
        actual: TargetState,
        declared: DeclaredState,
        orders: Vec<Order>,
        expects_drain: bool,
    }
    let set_role = Order::SetRole {
        role: "prefill".to_owned(),
    };
    let unload = Order::Unload {
        name: "old".to_owned(),
    };
    let cases = [
        Case {
            name: "already in the declared state",
            actual: actual(&[("plan", "1")], "generate"),
            declared: declared(&[("plan", "1")], Some("generate")),
            orders: vec![],
            expects_drain: false,
        },
        Case {
            name: "another model beside the running one",
            actual: actual(&[("plan", "1")], "generate"),
            declared: declared(&[("plan", "1"), ("check", "1")], None),
            orders: vec![load("check", "1")],
            expects_drain: false,
        },
        Case {
            name: "another version in place of the running one",
            actual: actual(&[("plan", "1")], "generate"),
            declared: declared(&[("plan", "2")], None),
            orders: vec![load("plan", "2")],
            expects_drain: true,
        },
        Case {
            name: "load precedes role and unload",
            actual: actual(&[("old", "1")], "generate"),
            declared: declared(&[("new", "1")], Some("prefill")),
            orders: vec![load("new", "1"), set_role, unload],
            expects_drain: true,
        },
        Case {
            name: "nothing declared",
            actual: actual(&[("old", "1")], "generate"),
            declared: DeclaredState::default(),
            orders: vec![],
            expects_drain: false,
        },
    ];
    for case in cases {
        let mut simulation = Simulation::new(1, Config::default());
        let target = TargetName::new("plan-llm-1");
        simulation.targets.insert(target.clone(), case.actual);
        simulation.declare(&target, case.declared);
        simulation.run(60_000);
        let orders: Vec<_> = simulation
            .orders
            .iter()
            .map(|sent| sent.order.clone())
            .collect();
        assert_eq!(orders, case.orders, "{}", case.name);
        assert_eq!(
            simulation.admission_stops > 0,
            case.expects_drain,
            "{}",
            case.name
        );
        assert_eq!(
            simulation.admission_stops, simulation.admission_resumes,
            "{}",
            case.name
        );
    }
}

#[test]
fn loads_keep_the_interval_of_the_weight_store() {
    let config = Config::default();
    let mut simulation = Simulation::new(1, config.clone());
    for number in 0..6 {
        let target = TargetName::new(&format!("plan-llm-{number}"));
        simulation.targets.insert(target.clone(), actual(&[], ""));
        simulation.declare(&target, declared(&[("plan", "1")], None));
    }
    simulation.run(120_000);
    assert_eq!(simulation.orders.len(), 6);
    for pair in simulation.orders.windows(2) {
        let interval_ms = pair[1].sent_ms - pair[0].sent_ms;
        assert!(interval_ms >= config.load_interval_ms, "{interval_ms} ms");
    }
}

#[test]
fn order_without_a_reply_is_open_until_its_deadline() {
    let config = Config::default();
    let mut simulation = Simulation::new(1, config.clone());
    let target = TargetName::new("plan-llm-1");
    simulation.targets.insert(target.clone(), actual(&[], ""));
    simulation.declare(&target, declared(&[("plan", "1"), ("check", "1")], None));
    simulation.outcomes.push(OrderOutcome::Unknown);
    simulation.run(120_000);
    assert_eq!(simulation.orders.len(), 2);
    let interval_ms = simulation.orders[1].sent_ms - simulation.orders[0].sent_ms;
    assert!(interval_ms >= config.order_deadline_ms, "{interval_ms} ms");
}

#[test]
fn next_holder_waits_out_the_lease_and_the_open_orders() {
    let config = Config::default();
    let mut simulation = Simulation::new(2, config.clone());
    let target = TargetName::new("plan-llm-1");
    simulation.targets.insert(target.clone(), actual(&[], ""));
    simulation.declare(&target, declared(&[("plan", "1"), ("check", "1")], None));
    simulation.set_candidates(&[0]);
    simulation.outcomes.push(OrderOutcome::Unknown);
    while simulation.orders.is_empty() {
        simulation.step();
    }
    simulation.pause(0);
    simulation.set_candidates(&[1]);
    simulation.run(120_000);
    assert_eq!(simulation.orders[1].host, 1);
    assert!(simulation.orders[1].fencing_number > simulation.orders[0].fencing_number);
    let interval_ms = simulation.orders[1].sent_ms - simulation.orders[0].sent_ms;
    assert!(interval_ms >= config.order_deadline_ms, "{interval_ms} ms");
}

#[test]
fn planned_handover_takes_less_than_a_lease() {
    let mut simulation = Simulation::new(2, Config::default());
    simulation.set_candidates(&[0]);
    simulation.run(20_000);
    assert!(simulation.term(0).is_some());
    simulation.set_candidates(&[1]);
    let lease_ms = Config::default().lease_ms;
    simulation.run(lease_ms / 2);
    assert!(simulation.term(0).is_none());
    assert!(simulation.term(1).is_some());
}

#[test]
fn holder_that_reads_a_higher_fencing_number_sends_no_orders() {
    let mut simulation = Simulation::new(1, Config::default());
    let target = TargetName::new("plan-llm-1");
    let newer = TargetState {
        fencing_number: FencingNumber(9),
        ..actual(&[], "")
    };
    simulation.targets.insert(target.clone(), newer);
    simulation.declare(&target, declared(&[("plan", "1")], None));
    simulation.run(20_000);
    assert_eq!(simulation.orders.len(), 0);
}

#[test]
fn expired_lease_resumes_admissions_of_a_draining_target() {
    let mut simulation = Simulation::new(1, Config::default());
    let target = TargetName::new("plan-llm-1");
    simulation
        .targets
        .insert(target.clone(), actual(&[("plan", "1")], ""));
    simulation.declare(&target, declared(&[("plan", "2")], None));
    simulation.can_drain = false;
    while simulation.admission_stops == 0 {
        simulation.step();
    }
    simulation.table_unavailable = true;
    simulation.run(Config::default().lease_ms);
    assert_eq!(simulation.admission_resumes, 1);
    let mut effects = Vec::new();
    simulation.reduce(
        0,
        Event::Declared {
            targets: IndexMap::new(),
        },
        &mut effects,
    );
    let is_send = |effect: &Effect| matches!(effect, Effect::SendOrder { .. });
    assert!(!effects.iter().any(is_send));
}

#[test]
fn lease_whose_release_may_be_applied_is_not_used_again() {
    let mut simulation = Simulation::new(2, Config::default());
    let target = TargetName::new("plan-llm-1");
    simulation.targets.insert(target.clone(), actual(&[], ""));
    simulation.run(20_000);
    simulation.lose_reply = true;
    simulation.set_candidates(&[1]);
    simulation.pause(1);
    simulation.step();
    assert!(simulation.row.as_ref().is_some_and(|(_, row)| row.released));
    simulation.resume(1);
    simulation.set_candidates(&[0, 1]);
    simulation.declare(&target, declared(&[("plan", "1")], None));
    while simulation.term(1).is_none() {
        simulation.step();
    }
    assert_eq!(simulation.term(0), None);
}

/// Guards against a process that ends once its release is sent: the release may then be
/// lost.
#[test]
fn lease_is_settled_only_when_the_table_has_the_release() {
    let config = Config::default();
    let zone = ZoneName::new("upp-a");
    let mut state = State::new(config, &zone, &HostName::new("entry-1"), 1);
    let feed = |state: &mut State, now_ms, event| {
        let mut effects = Vec::new();
        orders::reduce(state, now_ms, event, &mut effects);
        effects
    };
    let written = |write, version| Event::LeaseWritten {
        write,
        outcome: WriteOutcome::Applied { version },
    };
    assert!(state.is_lease_settled());
    feed(&mut state, 0, Event::Candidate { is_candidate: true });
    feed(&mut state, 0, Event::Tick);
    feed(&mut state, 0, Event::LeaseRead { row: Some(None) });
    assert!(!state.is_lease_settled(), "being acquired");
    feed(&mut state, 10, written(1, 1));
    assert!(!state.is_lease_settled(), "held");
    let candidate = Event::Candidate {
        is_candidate: false,
    };
    feed(&mut state, 20, candidate);
    let effects = feed(&mut state, 50, Event::Tick);
    let release = effects.iter().find_map(|effect| match effect {
        Effect::WriteLease { write, value, .. } if value.released => Some(*write),
        _ => None,
    });
    let release = release.expect("a write that releases the lease");
    assert_eq!(state.term(50), None, "unused once its release is sent");
    assert!(
        !state.is_lease_settled(),
        "the release may not be applied yet"
    );
    feed(&mut state, 60, written(release, 2));
    assert!(state.is_lease_settled());
}

#[test]
fn late_reply_does_not_revive_an_expired_lease() {
    let config = Config::default();
    let zone = ZoneName::new("upp-a");
    let mut state = State::new(config.clone(), &zone, &HostName::new("entry-1"), 1);
    let mut feed = |now_ms, event| {
        let mut effects = Vec::new();
        orders::reduce(&mut state, now_ms, event, &mut effects);
        state.term(now_ms)
    };
    let written = |write, version| Event::LeaseWritten {
        write,
        outcome: WriteOutcome::Applied { version },
    };
    feed(0, Event::Candidate { is_candidate: true });
    feed(0, Event::Tick);
    feed(0, Event::LeaseRead { row: Some(None) });
    assert_eq!(feed(0, written(1, 1)), Some(FencingNumber(1)));
    let valid_until_ms = config.lease_ms - config.margin_ms;
    assert!(feed(valid_until_ms - 1, Event::Tick).is_some());
    assert_eq!(feed(valid_until_ms, written(2, 2)), None);
}
