//! Limits are never exceeded in sum, move with demand and freeze when cut.

mod harness;
mod single;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use toucancleat_core::limits::{FleetLimits, Share};
use toucancleat_core::prelude::*;

use self::harness::{
    DETECTION_AND_LAG_MS, Fleet, LONGEST_ANSWER_MS, Links, ORGANISATIONS,
};

/// Time after which a fleet without faults has all its rights.
const SETTLED_MS: u64 = 20_000 + LONGEST_ANSWER_MS;

const GOOD: Links = Links {
    loss_percent: 0,
    duplicate_percent: 0,
    delay_max_ms: 5,
};

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    Start(usize),
    Leave(usize),
    Pause(usize),
    Resume(usize),
    DeclareDead(usize),
    CutZones(bool),
    Links(Links),
}

fn apply(fleet: &mut Fleet, fault: Fault) {
    let count = fleet.len();
    match fault {
        Fault::Kill(i) => fleet.kill(i % count),
        Fault::Start(i) => fleet.start(i % count),
        Fault::Leave(i) => fleet.leave(i % count),
        Fault::Pause(i) => fleet.pause(i % count),
        Fault::Resume(i) => fleet.resume(i % count),
        Fault::DeclareDead(i) => fleet.declare_dead(i % count),
        Fault::CutZones(cut) => fleet.cut_zones(cut),
        Fault::Links(links) => fleet.set_links(links),
    }
}

fn faults() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let links = (0usize..40, 0usize..40, 1usize..3_000).prop_map(
        |(loss_percent, duplicate_percent, delay_max_ms)| Links {
            loss_percent,
            duplicate_percent,
            delay_max_ms,
        },
    );
    let fault = prop_oneof![
        any::<usize>().prop_map(Fault::Kill),
        any::<usize>().prop_map(Fault::Start),
        any::<usize>().prop_map(Fault::Leave),
        any::<usize>().prop_map(Fault::Pause),
        any::<usize>().prop_map(Fault::Resume),
        any::<usize>().prop_map(Fault::DeclareDead),
        any::<bool>().prop_map(Fault::CutZones),
        links.prop_map(Fault::Links),
    ];
    prop::collection::vec((500u64..15_000, fault), 1..16)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(21),
        failure_persistence: None,
        cases: 64,
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    })]

    /// Whatever fails and whatever happens to messages, the shares of all hosts together,
    /// and the requests in progress, stay within the limit.
    #[test]
    fn shares_never_exceed_the_limit(
        seed in any::<u64>(),
        concurrent in 1u32..40,
        faults in faults(),
    ) {
        let limit = Share::new(20.0, concurrent);
        let mut fleet = Fleet::new(&[("upp-a", 3), ("vas-a", 2)], limit, GOOD, seed);
        for (after_ms, fault) in faults {
            fleet.run_ms(after_ms, 8).map_err(TestCaseError::fail)?;
            apply(&mut fleet, fault);
        }
        fleet.run_ms(30_000, 8).map_err(TestCaseError::fail)?;
    }
}

#[test]
fn a_new_home_waits_for_what_may_be_held() {
    struct Case {
        name: &'static str,
        faults: &'static [(u64, Fault)],
    }
    let cases = [
        Case {
            name: "each host dies in turn",
            faults: &[
                (SETTLED_MS, Fault::Kill(0)),
                (40_000, Fault::Start(0)),
                (20_000, Fault::Kill(1)),
                (40_000, Fault::Start(1)),
                (20_000, Fault::Kill(2)),
            ],
        },
        Case {
            name: "each host is paused in turn",
            faults: &[
                (SETTLED_MS, Fault::Pause(0)),
                (10_000, Fault::Resume(0)),
                (20_000, Fault::Pause(1)),
                (25_000, Fault::Resume(1)),
                (20_000, Fault::Pause(2)),
                (5_000, Fault::Resume(2)),
            ],
        },
        Case {
            name: "each host is declared dead and goes on",
            faults: &[
                (SETTLED_MS, Fault::DeclareDead(0)),
                (10_000, Fault::DeclareDead(1)),
                (10_000, Fault::DeclareDead(2)),
            ],
        },
        Case {
            name: "a host restarts at once",
            faults: &[
                (SETTLED_MS, Fault::Kill(0)),
                (100, Fault::Start(0)),
                (5_000, Fault::Kill(1)),
                (100, Fault::Start(1)),
            ],
        },
        Case {
            name: "a zone restarts at once",
            faults: &[
                (SETTLED_MS, Fault::Kill(0)),
                (0, Fault::Kill(1)),
                (0, Fault::Kill(2)),
                (100, Fault::Start(0)),
                (0, Fault::Start(1)),
                (0, Fault::Start(2)),
            ],
        },
    ];
    for (seed, case) in (1..).zip(cases) {
        let limit = Share::new(20.0, 12);
        let mut fleet = Fleet::new(&[("upp-a", 3), ("vas-a", 2)], limit, GOOD, seed);
        let run = case.faults.iter().try_for_each(|(after_ms, fault)| {
            fleet.run_ms(*after_ms, 20)?;
            apply(&mut fleet, *fault);
            Ok(())
        });
        let run = run.and_then(|()| fleet.run_ms(60_000, 20));
        assert_eq!(run, Ok::<(), String>(()), "{}", case.name);
    }
}

#[test]
fn shares_move_to_where_the_demand_is() {
    let limit = Share::new(30.0, 60);
    let mut fleet = Fleet::new(&[("upp-a", 3)], limit, GOOD, 3);
    fleet.run_ms(SETTLED_MS, 40).expect("within the limit");
    for organisation in ORGANISATIONS {
        let usable = fleet.usable(organisation);
        assert!(
            usable.millirequests_per_s >= 27_000,
            "{organisation}: {usable:?}"
        );
        assert!(usable.concurrent >= 54, "{organisation}: {usable:?}");
    }
    fleet.kill(0);
    fleet.kill(1);
    fleet.run_ms(2 * SETTLED_MS, 120).expect("within the limit");
    for organisation in ORGANISATIONS {
        let usable = fleet.usable_at(2, organisation);
        assert!(
            usable.millirequests_per_s >= 27_000,
            "{organisation}: {usable:?}"
        );
    }
}

#[test]
fn a_planned_stop_hands_the_limits_over() {
    let limit = Share::new(30.0, 60);
    let mut fleet = Fleet::new(&[("upp-a", 3)], limit, GOOD, 6);
    fleet.run_ms(SETTLED_MS, 80).expect("within the limit");
    fleet.leave(0);
    // N.B. Far below the wait of a home that nobody has told anything.
    fleet.run_ms(10_000, 80).expect("within the limit");
    for organisation in ORGANISATIONS {
        let usable = fleet.usable(organisation);
        assert!(
            usable.millirequests_per_s >= 14_000,
            "{organisation}: {usable:?}"
        );
    }
    fleet.run_ms(SETTLED_MS, 80).expect("within the limit");
    for organisation in ORGANISATIONS {
        let usable = fleet.usable(organisation);
        assert!(
            usable.millirequests_per_s >= 27_000,
            "{organisation}: {usable:?}"
        );
    }
}

#[test]
fn after_the_sudden_end_of_a_home_the_next_one_lends_at_once() {
    struct Case {
        hosts: usize,
        /// What the rest may use: the live hosts' part without what zones may borrow.
        millirequests_per_s: u64,
    }
    let cases = [
        Case {
            hosts: 2,
            millirequests_per_s: 30_000 / 2 - 30_000 / 4,
        },
        Case {
            hosts: 3,
            millirequests_per_s: 30_000 * 2 / 3 - 30_000 / 4,
        },
    ];
    for case in cases {
        let limit = Share::new(30.0, 600);
        let mut fleet = Fleet::new(&[("upp-a", case.hosts)], limit, GOOD, 7);
        // N.B. The fleet is young, so that none of its homes has waited, and the rest of
        // the hosts holds nothing that it could go on with.
        fleet.run_ms(5_000, 0).expect("within the limit");
        fleet.kill(0);
        fleet
            .run_ms(DETECTION_AND_LAG_MS, 0)
            .expect("within the limit");
        fleet.run_ms(4_000, 80).expect("within the limit");
        for organisation in ORGANISATIONS {
            let rate = fleet.usable(organisation).millirequests_per_s;
            let least = case.millirequests_per_s * 9 / 10;
            assert!(
                rate >= least,
                "{} hosts, {organisation}: {rate}",
                case.hosts
            );
        }
    }
}

#[test]
fn zones_lend_to_each_other_and_freeze_when_cut() {
    let limit = Share::new(40.0, 400);
    let mut fleet = Fleet::new(&[("upp-a", 2), ("vas-a", 1)], limit, GOOD, 4);
    fleet.run_ms(SETTLED_MS, 0).expect("within the limit");
    let busy = |fleet: &mut Fleet, ms| fleet.run_ms(ms, 60).expect("within the limit");
    // N.B. Only the hosts of the first zone get requests.
    fleet.kill(2);
    fleet.run_ms(1_000, 0).expect("within the limit");
    fleet.start(2);
    fleet.run_ms(SETTLED_MS, 0).expect("within the limit");
    busy(&mut fleet, 20_000);
    let sum = |fleet: &Fleet| {
        ORGANISATIONS
            .map(|name| fleet.usable(name).millirequests_per_s)
            .iter()
            .sum::<u64>()
    };
    let connected = sum(&fleet);
    fleet.cut_zones(true);
    busy(&mut fleet, 30_000);
    assert!(sum(&fleet) <= connected.max(3 * 40_000));
    assert!(
        sum(&fleet) >= 3 * 30_000,
        "each zone goes on with its own part"
    );
}

#[test]
fn the_parts_of_the_zones_sum_to_the_limit() {
    struct Case {
        limit: Share,
        zones: usize,
    }
    let cases = [
        Case {
            limit: Share::new(0.5, 1),
            zones: 4,
        },
        Case {
            limit: Share::new(100.0, 1_000),
            zones: 3,
        },
        Case {
            limit: Share::new(7.001, 19),
            zones: 20,
        },
    ];
    for case in cases {
        let mut limits = FleetLimits::default();
        let zone = |i| ZoneName::new(&format!("zone-{i}"));
        limits.zones = (0..case.zones).map(zone).collect();
        let organisation = OrganisationName::new("federation");
        limits.limits.insert(organisation.clone(), case.limit);
        let parts = limits
            .zones
            .iter()
            .map(|zone| limits.zone_share(zone, &organisation));
        assert_eq!(parts.sum::<Share>(), case.limit);
    }
}

#[test]
fn the_rate_is_kept_over_time() {
    let limit = Share::new(10.0, 10_000);
    let mut fleet = Fleet::new(&[("upp-a", 3)], limit, GOOD, 5);
    fleet.run_ms(SETTLED_MS, 0).expect("within the limit");
    let seconds = 60;
    fleet.run_ms(seconds * 1_000, 50).expect("within the limit");
    // Each organisation may use a second's rate at once, and each host a request.
    let organisations = ORGANISATIONS.len() as u64;
    let most = organisations * (10 * (seconds + 1) + 3);
    let least = organisations * 10 * seconds * 9 / 10;
    assert!(
        (least..=most).contains(&fleet.admitted),
        "{} admitted",
        fleet.admitted
    );
    assert!(fleet.refused > 0);
}
