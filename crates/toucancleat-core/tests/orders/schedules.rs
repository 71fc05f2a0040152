//! Random schedules of hosts that all want the lease, pause and lose replies.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use toucancleat_core::orders::{Config, Declared, OrderOutcome};
use toucancleat_core::prelude::*;

use super::simulation::{World, versions};

#[derive(Clone, Debug)]
enum Step {
    Pass { ms: u64 },
    Pause { host: usize },
    Wake { host: usize },
    Candidates { first: usize, second: usize },
    LoseReply,
    TableAway { away: bool },
    Declare { version: u8 },
    LoseOrderReply,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (100..15_000u64).prop_map(|ms| Step::Pass { ms }),
        2 => (0..3usize).prop_map(|host| Step::Pause { host }),
        2 => (0..3usize).prop_map(|host| Step::Wake { host }),
        2 => (0..3usize, 0..3usize)
            .prop_map(|(first, second)| Step::Candidates { first, second }),
        2 => Just(Step::LoseReply),
        1 => any::<bool>().prop_map(|away| Step::TableAway { away }),
        3 => (0..4u8).prop_map(|version| Step::Declare { version }),
        1 => Just(Step::LoseOrderReply),
    ];
    proptest::collection::vec(step, 1..40)
}

fn take(world: &mut World, target: &TargetName, step: Step) {
    match step {
        Step::Pass { ms } => world.run(ms),
        Step::Pause { host } => world.pause(host),
        Step::Wake { host } => world.wake(host),
        Step::Candidates { first, second } => world.candidates(&[first, second]),
        Step::LoseReply => world.lose_reply = true,
        Step::TableAway { away } => world.table_away = away,
        Step::LoseOrderReply => world.outcomes.push(OrderOutcome::Unknown),
        Step::Declare { version } => {
            let models = Some(versions(&[("plan", &version.to_string())]));
            world.declare(
                target,
                Declared {
                    models,
                    ..Declared::default()
                },
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Holds for a target that checks no fencing number, as the world's doesn't.
    #[test]
    fn orders_of_two_holders_never_overlap(steps in steps()) {
        let config = Config::default();
        let mut world = World::new(3, config);
        let target = TargetName::new("plan-llm-1");
        world.targets.insert(target.clone(), Default::default());
        for step in steps {
            take(&mut world, &target, step);
            let holders = (0..3).filter(|host| world.term(*host).is_some()).count();
            prop_assert!(holders <= 1, "{holders} holders");
        }
        for pair in world.orders.windows(2) {
            prop_assert!(pair[0].fencing_number <= pair[1].fencing_number);
            prop_assert!(pair[0].open_until_ms <= pair[1].sent_ms, "{pair:?}");
        }
    }
}
