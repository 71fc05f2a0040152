//! Orders to engines from declared state, with one lease holder and with several.

mod schedules;
mod simulation;

use indexmap::IndexMap;
use toucancleat_core::orders::{
    self, Config, Declared, Effect, Event, Order, OrderOutcome, State, TargetState,
    WriteOutcome,
};
use toucancleat_core::prelude::*;

use self::simulation::{World, versions};

fn declared(models: &[(&str, &str)], role: Option<&str>) -> Declared {
    Declared {
        models: Some(versions(models)),
        adapters: None,
        role: role.map(str::to_owned),
    }
}

fn found(models: &[(&str, &str)], role: &str) -> TargetState {
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
fn target_comes_to_what_is_declared() {
    struct Case {
        name: &'static str,
        found: TargetState,
        declared: Declared,
        orders: Vec<Order>,
        drained: bool,
    }
    let set_role = Order::SetRole {
        role: "prefill".to_owned(),
    };
    let unload = Order::Unload {
        name: "old".to_owned(),
    };
    let cases = [
        Case {
            name: "as declared",
            found: found(&[("plan", "1")], "generate"),
            declared: declared(&[("plan", "1")], Some("generate")),
            orders: vec![],
            drained: false,
        },
        Case {
            name: "another model beside the running one",
            found: found(&[("plan", "1")], "generate"),
            declared: declared(&[("plan", "1"), ("check", "1")], None),
            orders: vec![load("check", "1")],
            drained: false,
        },
        Case {
            name: "another version in place of the running one",
            found: found(&[("plan", "1")], "generate"),
            declared: declared(&[("plan", "2")], None),
            orders: vec![load("plan", "2")],
            drained: true,
        },
        Case {
            name: "load, then role, then unload",
            found: found(&[("old", "1")], "generate"),
            declared: declared(&[("new", "1")], Some("prefill")),
            orders: vec![load("new", "1"), set_role, unload],
            drained: true,
        },
        Case {
            name: "nothing declared",
            found: found(&[("old", "1")], "generate"),
            declared: Declared::default(),
            orders: vec![],
            drained: false,
        },
    ];
    for case in cases {
        let mut world = World::new(1, Config::default());
        let target = TargetName::new("plan-llm-1");
        world.targets.insert(target.clone(), case.found);
        world.declare(&target, case.declared);
        world.run(60_000);
        let orders: Vec<_> = world.orders.iter().map(|sent| sent.order.clone()).collect();
        assert_eq!(orders, case.orders, "{}", case.name);
        assert_eq!(world.stops > 0, case.drained, "{}", case.name);
        assert_eq!(world.stops, world.resumes, "{}", case.name);
    }
}

#[test]
fn loads_keep_the_interval_of_the_weight_store() {
    let config = Config::default();
    let mut world = World::new(1, config.clone());
    for number in 0..6 {
        let target = TargetName::new(&format!("plan-llm-{number}"));
        world.targets.insert(target.clone(), found(&[], ""));
        world.declare(&target, declared(&[("plan", "1")], None));
    }
    world.run(120_000);
    assert_eq!(world.orders.len(), 6);
    for pair in world.orders.windows(2) {
        let interval_ms = pair[1].sent_ms - pair[0].sent_ms;
        assert!(interval_ms >= config.load_interval_ms, "{interval_ms} ms");
    }
}

#[test]
fn order_without_a_reply_is_open_until_its_deadline() {
    let config = Config::default();
    let mut world = World::new(1, config.clone());
    let target = TargetName::new("plan-llm-1");
    world.targets.insert(target.clone(), found(&[], ""));
    world.declare(&target, declared(&[("plan", "1"), ("check", "1")], None));
    world.outcomes.push(OrderOutcome::Unknown);
    world.run(120_000);
    assert_eq!(world.orders.len(), 2);
    let interval_ms = world.orders[1].sent_ms - world.orders[0].sent_ms;
    assert!(interval_ms >= config.order_deadline_ms, "{interval_ms} ms");
}

#[test]
fn next_holder_waits_out_the_lease_and_the_open_orders() {
    let config = Config::default();
    let mut world = World::new(2, config.clone());
    let target = TargetName::new("plan-llm-1");
    world.targets.insert(target.clone(), found(&[], ""));
    world.declare(&target, declared(&[("plan", "1"), ("check", "1")], None));
    world.candidates(&[0]);
    world.outcomes.push(OrderOutcome::Unknown);
    while world.orders.is_empty() {
        world.step();
    }
    world.pause(0);
    world.candidates(&[1]);
    world.run(120_000);
    assert_eq!(world.orders[1].host, 1);
    assert!(world.orders[1].fencing_number > world.orders[0].fencing_number);
    let interval_ms = world.orders[1].sent_ms - world.orders[0].sent_ms;
    assert!(interval_ms >= config.order_deadline_ms, "{interval_ms} ms");
}

#[test]
fn planned_hand_over_takes_less_than_a_lease() {
    let mut world = World::new(2, Config::default());
    world.candidates(&[0]);
    world.run(20_000);
    assert!(world.term(0).is_some());
    world.candidates(&[1]);
    let lease_ms = Config::default().lease_ms;
    world.run(lease_ms / 2);
    assert!(world.term(0).is_none());
    assert!(world.term(1).is_some());
}

#[test]
fn holder_that_sees_a_higher_fencing_number_stops() {
    let mut world = World::new(1, Config::default());
    let target = TargetName::new("plan-llm-1");
    let newer = TargetState {
        fencing_number: FencingNumber(9),
        ..found(&[], "")
    };
    world.targets.insert(target.clone(), newer);
    world.declare(&target, declared(&[("plan", "1")], None));
    world.run(20_000);
    assert_eq!(world.orders.len(), 0);
}

#[test]
fn lapsed_lease_gives_work_back_to_a_drained_target() {
    let mut world = World::new(1, Config::default());
    let target = TargetName::new("plan-llm-1");
    world
        .targets
        .insert(target.clone(), found(&[("plan", "1")], ""));
    world.declare(&target, declared(&[("plan", "2")], None));
    world.drains = false;
    while world.stops == 0 {
        world.step();
    }
    world.table_away = true;
    world.run(Config::default().lease_ms);
    assert_eq!(world.resumes, 1);
    let mut effects = Vec::new();
    world.feed_into(
        0,
        Event::Declared {
            targets: IndexMap::new(),
        },
        &mut effects,
    );
    let sent = |effect: &Effect| matches!(effect, Effect::SendOrder { .. });
    assert!(!effects.iter().any(sent));
}

#[test]
fn lease_that_may_be_given_back_is_not_used_again() {
    let mut world = World::new(2, Config::default());
    let target = TargetName::new("plan-llm-1");
    world.targets.insert(target.clone(), found(&[], ""));
    world.run(20_000);
    world.lose_reply = true;
    world.candidates(&[1]);
    world.pause(1);
    world.step();
    assert!(world.row.as_ref().is_some_and(|(_, row)| row.released));
    world.wake(1);
    world.candidates(&[0, 1]);
    world.declare(&target, declared(&[("plan", "1")], None));
    while world.term(1).is_none() {
        world.step();
    }
    assert_eq!(world.term(0), None);
}

/// A process that ended when its release was sent took the release with it.
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
    assert!(!state.is_lease_settled(), "on its way");
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
    let release = release.expect("the lease is given back");
    assert_eq!(state.term(50), None, "not used from now on");
    assert!(!state.is_lease_settled(), "the table may not have it yet");
    feed(&mut state, 60, written(release, 2));
    assert!(state.is_lease_settled());
}

#[test]
fn late_reply_does_not_revive_a_lapsed_lease() {
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
