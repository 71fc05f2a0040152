//! Random schedules of hosts that compete for the lease, pause and lose replies.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use toucancleat_core::orders::{Config, DeclaredState, OrderOutcome};
use toucancleat_core::prelude::*;

use super::simulation::{Simulation, versions};

#[derive(Clone, Debug)]
enum Step {
    Run { ms: u64 },
    Pause { host: usize },
    Resume { host: usize },
    SetCandidates { first: usize, second: usize },
    LoseReply,
    TableUnavailable { unavailable: bool },
    Declare { version: u8 },
    LoseOrderReply,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (100..15_000u64).prop_map(|ms| Step::Run { ms }),
        2 => (0..3usize).prop_map(|host| Step::Pause { host }),
        2 => (0..3usize).prop_map(|host| Step::Resume { host }),
        2 => (0..3usize, 0..3usize)
            .prop_map(|(first, second)| Step::SetCandidates { first, second }),
        2 => Just(Step::LoseReply),
        1 => any::<bool>().prop_map(|unavailable| Step::TableUnavailable { unavailable }),
        3 => (0..4u8).prop_map(|version| Step::Declare { version }),
        1 => Just(Step::LoseOrderReply),
    ];
    proptest::collection::vec(step, 1..40)
}

fn apply_step(simulation: &mut Simulation, target: &TargetName, step: Step) {
    match step {
        Step::Run { ms } => simulation.run(ms),
        Step::Pause { host } => simulation.pause(host),
        Step::Resume { host } => simulation.resume(host),
        Step::SetCandidates { first, second } => {
            simulation.set_candidates(&[first, second])
        }
        Step::LoseReply => simulation.lose_reply = true,
        Step::TableUnavailable { unavailable } => {
            simulation.table_unavailable = unavailable
        }
        Step::LoseOrderReply => simulation.outcomes.push(OrderOutcome::Unknown),
        Step::Declare { version } => {
            let models = Some(versions(&[("plan", &version.to_string())]));
            simulation.declare(
                target,
                DeclaredState {
                    models,
                    ..DeclaredState::default()
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

    /// The simulated target checks no fencing number, so that only leases and deadlines
    /// prevent overlaps.
    #[test]
    fn orders_of_two_holders_never_overlap(steps in steps()) {
        let config = Config::default();
        let mut simulation = Simulation::new(3, config);
        let target = TargetName::new("plan-llm-1");
        simulation.targets.insert(target.clone(), Default::default());
        for step in steps {
            apply_step(&mut simulation, &target, step);
            let holders = (0..3).filter(|host| simulation.term(*host).is_some()).count();
            prop_assert!(holders <= 1, "{holders} holders");
        }
        for pair in simulation.orders.windows(2) {
            prop_assert!(pair[0].fencing_number <= pair[1].fencing_number);
            prop_assert!(pair[0].open_until_ms <= pair[1].sent_ms, "{pair:?}");
        }
    }
}
