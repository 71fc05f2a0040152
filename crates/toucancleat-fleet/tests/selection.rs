//! Which target a request goes to, by what is known of each.

mod support;

use support::*;
use toucancleat_fleet::health::HealthTable;
use toucancleat_fleet::peers::Load;
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::selection::{Candidate, Demand, select_target};

/// What one engine has to do.
struct Engine {
    pending_prompts: u64,
    used_share: f64,
    is_in_slow_start: bool,
}

fn chosen(engines: &[Engine; 2]) -> usize {
    let names = [TargetName::new("engine-1"), TargetName::new("engine-2")];
    let entry = entry("engines", "upp-a", 101);
    let candidates = engines
        .iter()
        .zip(&names)
        .map(|(engine, target)| Candidate {
            target,
            entry: &entry,
            load: Load {
                runs: 3,
                tokens: (engine.used_share * MEMORY_TOKENS as f64) as u64,
                prefill_tokens: engine.pending_prompts * 3_000,
                ..Load::default()
            },
            is_in_slow_start: engine.is_in_slow_start,
        });
    let configuration = configuration(1);
    let pool = PoolName::new("engines");
    let zone = ZoneName::new("upp-a");
    let demand = Demand {
        zone: &zone,
        tokens: 3_130,
        prefill_tokens: 3_000,
        is_stream: true,
        engine: configuration.engine(&pool),
    };
    let selection = select_target(0, candidates, demand, &HealthTable::default(), || 0.5);
    let target = selection.expect("a target is selected").target;
    names
        .iter()
        .position(|name| *name == target)
        .expect("a name")
}

/// On the quiet day of a deployment with 61 hosts, one stream in eight went to an engine
/// in its first second, and one in five of these had its first event after 1.5 s.
#[test]
fn an_engine_that_has_just_started_is_given_fewer_prompts() {
    struct Case {
        name: &'static str,
        starting: Engine,
        warm: Engine,
        goes_to_warm: bool,
    }
    let engine = |pending_prompts, used_share, is_in_slow_start| Engine {
        pending_prompts,
        used_share,
        is_in_slow_start,
    };
    let cases = [
        Case {
            name: "empty and idle",
            starting: engine(0, 0.0, true),
            warm: engine(0, 0.5, false),
            goes_to_warm: false,
        },
        Case {
            name: "one prompt ahead",
            starting: engine(1, 0.15, true),
            warm: engine(0, 0.5, false),
            goes_to_warm: true,
        },
        Case {
            name: "one prompt ahead at each",
            starting: engine(1, 0.15, true),
            warm: engine(1, 0.5, false),
            goes_to_warm: true,
        },
        Case {
            name: "one prompt ahead, and warm by now",
            starting: engine(1, 0.15, false),
            warm: engine(1, 0.5, false),
            goes_to_warm: false,
        },
        Case {
            name: "the other is full",
            starting: engine(1, 0.15, true),
            warm: engine(0, 0.97, false),
            goes_to_warm: false,
        },
    ];
    for case in cases {
        let index = chosen(&[case.starting, case.warm]);
        assert_eq!(index == 1, case.goes_to_warm, "{}", case.name);
    }
}
