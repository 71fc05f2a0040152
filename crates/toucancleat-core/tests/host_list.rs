//! A host list that lags behind must not exclude the replacement of a target that has
//! left.

use std::sync::Arc;

use serde_json::json;
use toucancleat_core::observation::Observation;
use toucancleat_core::prelude::*;
use toucancleat_core::settings::Tree;
use toucancleat_core::targets::Admission;
use toucancleat_core::{Event, Identity, State, dissemination, reduce};

fn state() -> State {
    let mut state = State::new(Identity {
        host: HostName::new("entry-0"),
        zone: ZoneName::new("upp-a"),
        peers_address: "127.0.0.1:7001".parse().expect("an address"),
        incarnation: Incarnation(1),
        seed: 1,
    });
    let tree: Tree = serde_json::from_value(json!({
        "zones": ["upp-a"],
        "pools": { "plan-llm": { "class": "model_engine", "targets": {
            "plan-llm-0": { "zone": "upp-a", "address": "127.0.0.1:9001" },
        } } },
    }))
    .expect("a tree");
    let message = dissemination::Message::Snapshot {
        revision: Revision(1),
        tree: Arc::new(tree),
        age_ms: 0,
    };
    let from = HostName::new("entry-1");
    apply(
        &mut state,
        1_000,
        Event::Dissemination(dissemination::Event::MessageReceived { from, message }),
    );
    state
}

fn apply(state: &mut State, now_ms: u64, event: Event) {
    reduce(state, now_ms, event, &mut Vec::new());
}

fn serving_since(started_unix_ms: u64) -> Event {
    Event::TargetObserved {
        target: TargetName::new("plan-llm-0"),
        requested_ms: 0,
        observation: Observation::Serving {
            started_unix_ms,
            load: None,
        },
    }
}

fn listed_as_leaving(is_listed: bool) -> Event {
    let leaving = is_listed.then(|| TargetName::new("plan-llm-0"));
    Event::HostListRead {
        hosts: Vec::new(),
        leaving_targets: leaving.into_iter().collect(),
    }
}

#[test]
fn a_lagging_host_list_does_not_exclude_the_replacement_of_a_target() {
    struct Case {
        name: &'static str,
        events: Vec<Event>,
        expected: Admission,
    }
    let cases = [
        Case {
            name: "the list shows the target as leaving",
            events: vec![serving_since(500), listed_as_leaving(true)],
            expected: Admission::Leaving,
        },
        Case {
            name: "the list still shows the replaced target as leaving",
            events: vec![
                serving_since(500),
                listed_as_leaving(true),
                serving_since(900),
                listed_as_leaving(true),
            ],
            expected: Admission::Yes,
        },
        Case {
            name: "the list shows the replacement as leaving",
            events: vec![
                serving_since(500),
                listed_as_leaving(true),
                serving_since(900),
                listed_as_leaving(false),
                listed_as_leaving(true),
            ],
            expected: Admission::Leaving,
        },
    ];
    for case in cases {
        let mut state = state();
        for (index, event) in case.events.into_iter().enumerate() {
            apply(&mut state, 2_000 + index as u64, event);
        }
        let target = TargetName::new("plan-llm-0");
        assert_eq!(
            state.targets.peek(3_000, &target),
            case.expected,
            "{}",
            case.name
        );
    }
}
