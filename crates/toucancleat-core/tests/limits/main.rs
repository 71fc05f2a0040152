//! Tests of the limits: the sum of all hosts stays within the limit, shares move with the
//! demand, and disconnected zones keep their parts.

mod harness;
mod single;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use toucancleat_core::limits::{FleetLimits, Share};
use toucancleat_core::prelude::*;

use self::harness::{
    DETECTION_AND_LAG_MS, Fleet, LinkFaults, ORGANISATIONS, REQUEST_DURATION_MAX_MS,
};

/// Time after which all homes of a fleet without faults are settled.
const SETTLED_MS: u64 = 20_000 + REQUEST_DURATION_MAX_MS;

const RELIABLE_LINKS: LinkFaults = LinkFaults {
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
    Links(LinkFaults),
}

fn inject(fleet: &mut Fleet, fault: Fault) {
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
        |(loss_percent, duplicate_percent, delay_max_ms)| LinkFaults {
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

    /// The shares and the requests in progress of all hosts together stay within the
    /// limit under any sequence of faults of hosts and links.
    #[test]
    fn shares_never_exceed_the_limit(
        seed in any::<u64>(),
        concurrent in 1u32..40,
        faults in faults(),
    ) {
        let limit = Share::new(20.0, concurrent);
        let mut fleet =
            Fleet::new(&[("upp-a", 3), ("vas-a", 2)], limit, RELIABLE_LINKS, seed);
        for (after_ms, fault) in faults {
            fleet.run_ms(after_ms, 8).map_err(TestCaseError::fail)?;
            inject(&mut fleet, fault);
        }
        fleet.run_ms(30_000, 8).map_err(TestCaseError::fail)?;
    }
}

#[test]
fn a_new_home_waits_for_shares_that_hosts_may_still_hold() {
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
            name: "each host is declared dead but keeps running",
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
        let mut fleet =
            Fleet::new(&[("upp-a", 3), ("vas-a", 2)], limit, RELIABLE_LINKS, seed);
        let result = case.faults.iter().try_for_each(|(after_ms, fault)| {
            fleet.run_ms(*after_ms, 20)?;
            inject(&mut fleet, *fault);
            Ok(())
        });
        let result = result.and_then(|()| fleet.run_ms(60_000, 20));
        assert_eq!(result, Ok::<(), String>(()), "{}", case.name);
    }
}

#[test]
fn shares_move_to_the_hosts_with_demand() {
    let limit = Share::new(30.0, 60);
    let mut fleet = Fleet::new(&[("upp-a", 3)], limit, RELIABLE_LINKS, 3);
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
fn a_planned_stop_moves_shares_before_the_wait_of_a_new_home_ends() {
    let limit = Share::new(30.0, 60);
    let mut fleet = Fleet::new(&[("upp-a", 3)], limit, RELIABLE_LINKS, 6);
    fleet.run_ms(SETTLED_MS, 80).expect("within the limit");
    fleet.leave(0);
    // N.B. This is far shorter than the wait of a new home without reports.
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
fn the_successor_of_a_killed_home_grants_shares_at_once() {
    struct Case {
        hosts: usize,
        /// Rate that the remaining hosts may use: the live hosts' part less the part that
        /// other zones may borrow.
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
        let mut fleet = Fleet::new(&[("upp-a", case.hosts)], limit, RELIABLE_LINKS, 7);
        // N.B. The wait of a new home has not ended at any home yet, and the remaining
        // hosts hold no shares that they could keep using.
        fleet.run_ms(5_000, 0).expect("within the limit");
        fleet.kill(0);
        fleet
            .run_ms(DETECTION_AND_LAG_MS, 0)
            .expect("within the limit");
        fleet.run_ms(4_000, 80).expect("within the limit");
        for organisation in ORGANISATIONS {
            let rate = fleet.usable(organisation).millirequests_per_s;
            let min_rate = case.millirequests_per_s * 9 / 10;
            assert!(
                rate >= min_rate,
                "{} hosts, {organisation}: {rate}",
                case.hosts
            );
        }
    }
}

#[test]
fn zones_lend_to_each_other_and_keep_their_parts_when_disconnected() {
    let limit = Share::new(40.0, 400);
    let mut fleet = Fleet::new(&[("upp-a", 2), ("vas-a", 1)], limit, RELIABLE_LINKS, 4);
    fleet.run_ms(SETTLED_MS, 0).expect("within the limit");
    let run_busy =
        |fleet: &mut Fleet, ms| fleet.run_ms(ms, 60).expect("within the limit");
    // The only host of the second zone restarts, so its home has to wait again.
    fleet.kill(2);
    fleet.run_ms(1_000, 0).expect("within the limit");
    fleet.start(2);
    fleet.run_ms(SETTLED_MS, 0).expect("within the limit");
    run_busy(&mut fleet, 20_000);
    let usable_rate = |fleet: &Fleet| {
        ORGANISATIONS
            .map(|name| fleet.usable(name).millirequests_per_s)
            .iter()
            .sum::<u64>()
    };
    let connected = usable_rate(&fleet);
    fleet.cut_zones(true);
    run_busy(&mut fleet, 30_000);
    assert!(usable_rate(&fleet) <= connected.max(3 * 40_000));
    assert!(
        usable_rate(&fleet) >= 3 * 30_000,
        "each zone keeps its own part"
    );
}

#[test]
fn zone_shares_sum_to_the_limit() {
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
fn admissions_over_time_match_the_rate() {
    let limit = Share::new(10.0, 10_000);
    let mut fleet = Fleet::new(&[("upp-a", 3)], limit, RELIABLE_LINKS, 5);
    fleet.run_ms(SETTLED_MS, 0).expect("within the limit");
    let seconds = 60;
    fleet.run_ms(seconds * 1_000, 50).expect("within the limit");
    // An organisation's burst is the rate of one second, and each host may admit one
    // request more.
    let organisations = ORGANISATIONS.len() as u64;
    let max_admitted = organisations * (10 * (seconds + 1) + 3);
    let min_admitted = organisations * 10 * seconds * 9 / 10;
    assert!(
        (min_admitted..=max_admitted).contains(&fleet.admitted),
        "{} admitted",
        fleet.admitted
    );
    assert!(fleet.refused > 0);
}
