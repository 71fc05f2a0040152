//! Membership under message loss, network partitions, pauses, restarts and a wrong host
//! list.

mod harness;

use toucancleat_core::membership::{
    Config, Event, Host, ListedHost, MemberEntry, Message, State, Status, reduce,
};
use toucancleat_core::prelude::*;

use self::harness::{Fleet, address};

/// Limit for the time until a change is known to the whole zone, far above the usual
/// time.
const CONVERGENCE_MAX_MS: u64 = 30_000;

/// Returns a fleet of one zone whose hosts know each other.
fn joined_fleet(count: usize, loss_percent: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed)
        .with_zone("upp-a", count)
        .with_loss_percent(loss_percent);
    let listed = fleet.current_host_list();
    fleet.deliver_host_list(&listed);
    let names = fleet.names();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let has_joined = fleet.run_until(4 * CONVERGENCE_MAX_MS, |fleet| {
        fleet.agrees_on("upp-a", &names)
    });
    assert!(has_joined, "{count} hosts join with {loss_percent}% loss");
    fleet
}

fn names_without(fleet: &Fleet, without: &str) -> Vec<String> {
    fleet
        .names()
        .into_iter()
        .filter(|name| name != without)
        .collect()
}

fn await_agreement_without(fleet: &mut Fleet, without: &str) -> bool {
    let names = names_without(fleet, without);
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    fleet.run_until(CONVERGENCE_MAX_MS, |fleet| fleet.agrees_on("upp-a", &names))
}

fn await_agreement_on_all(fleet: &mut Fleet) -> bool {
    let names = fleet.names();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    fleet.run_until(2 * CONVERGENCE_MAX_MS, |fleet| {
        fleet.agrees_on("upp-a", &names)
    })
}

fn count_declared_dead(fleet: &Fleet) -> usize {
    fleet
        .status_changes
        .iter()
        .filter(|(.., status)| *status == Status::Dead)
        .count()
}

#[test]
fn every_host_detects_a_dead_host_despite_message_loss() {
    struct Case {
        hosts: usize,
        loss_percent: usize,
    }
    let cases = [
        Case {
            hosts: 2,
            loss_percent: 0,
        },
        Case {
            hosts: 3,
            loss_percent: 10,
        },
        Case {
            hosts: 12,
            loss_percent: 10,
        },
        Case {
            hosts: 60,
            loss_percent: 0,
        },
        Case {
            hosts: 60,
            loss_percent: 10,
        },
    ];
    for (seed, case) in (1..).zip(cases) {
        let mut fleet = joined_fleet(case.hosts, case.loss_percent, seed);
        fleet.kill("upp-a-1");
        let is_detected = await_agreement_without(&mut fleet, "upp-a-1");
        assert!(
            is_detected,
            "{} hosts, {}% loss",
            case.hosts, case.loss_percent
        );
    }
}

#[test]
fn message_loss_and_a_cut_link_never_declare_a_live_host_dead() {
    struct Case {
        name: &'static str,
        loss_percent: usize,
        is_link_cut: fn(&str, &str) -> bool,
    }
    let cases = [
        Case {
            name: "no fault",
            loss_percent: 0,
            is_link_cut: |_, _| false,
        },
        Case {
            name: "message loss",
            loss_percent: 10,
            is_link_cut: |_, _| false,
        },
        Case {
            name: "one link cut in both directions",
            loss_percent: 0,
            is_link_cut: |from, to| {
                matches!((from, to), ("upp-a-1", "upp-a-2") | ("upp-a-2", "upp-a-1"))
            },
        },
        Case {
            name: "one link cut in one direction",
            loss_percent: 0,
            is_link_cut: |from, to| (from, to) == ("upp-a-1", "upp-a-2"),
        },
    ];
    for (seed, case) in (20..).zip(cases) {
        let mut fleet = joined_fleet(12, 0, seed).with_loss_percent(case.loss_percent);
        fleet.cut_links(case.is_link_cut);
        fleet.advance_ms(180_000);
        assert_eq!(count_declared_dead(&fleet), 0, "{}", case.name);
    }
}

#[test]
fn a_paused_host_rejoins_and_declares_no_other_host_dead() {
    struct Case {
        name: &'static str,
        pause_ms: u64,
        is_declared_dead: bool,
    }
    let cases = [
        Case {
            name: "pause shorter than the suspicion timeout",
            pause_ms: 1_500,
            is_declared_dead: false,
        },
        Case {
            name: "pause longer than the suspicion timeout",
            pause_ms: 20_000,
            is_declared_dead: true,
        },
    ];
    for (seed, case) in (30..).zip(cases) {
        let mut fleet = joined_fleet(8, 0, seed);
        fleet.set_paused("upp-a-3", true);
        fleet.advance_ms(case.pause_ms);
        fleet.set_paused("upp-a-3", false);
        assert!(await_agreement_on_all(&mut fleet), "{}", case.name);
        assert_eq!(
            count_declared_dead(&fleet) > 0,
            case.is_declared_dead,
            "{}",
            case.name
        );
        let declared_by_paused = |change: &&(u64, HostName, HostName, Status)| {
            change.1.as_str() == "upp-a-3" && change.3 == Status::Dead
        };
        let declared_count = fleet
            .status_changes
            .iter()
            .filter(declared_by_paused)
            .count();
        assert_eq!(
            declared_count, 0,
            "{}: the paused host declares no other host dead",
            case.name
        );
    }
}

#[test]
fn both_parts_of_a_partitioned_zone_continue_and_rejoin_each_other() {
    let mut fleet = joined_fleet(8, 0, 40);
    let is_in_first_part = |name: &str| name < "upp-a-4";
    fleet.cut_links(|from, to| (from < "upp-a-4") != (to < "upp-a-4"));
    let names = fleet.names();
    let is_partitioned = fleet.run_until(CONVERGENCE_MAX_MS, |fleet| {
        fleet.hosts.iter().all(|(name, node)| {
            let is_in_same_part =
                |other: &str| is_in_first_part(other) == is_in_first_part(name.as_str());
            let expected = names.iter().filter(|other| is_in_same_part(other)).count();
            node.state.live_hosts().count() == expected
        })
    });
    assert!(is_partitioned, "each part continues with its own hosts");
    // N.B. The partition lasts longer than `tombstone_ms`, and the parts must still
    // find each other without a host list.
    fleet.advance_ms(Config::default().tombstone_ms * 3);
    fleet.cut_links(|_, _| false);
    assert!(await_agreement_on_all(&mut fleet));
}

#[test]
fn a_host_that_announces_a_planned_stop_is_never_declared_dead() {
    let mut fleet = joined_fleet(12, 0, 50);
    fleet.apply(&HostName::new("upp-a-5"), Event::LeaveRequested);
    assert!(await_agreement_without(&mut fleet, "upp-a-5"));
    let status = |node: &harness::Node| node.state.status(&HostName::new("upp-a-5"));
    assert!(
        fleet
            .hosts
            .values()
            .all(|node| status(node) == Some(Status::Left))
    );
    fleet.kill("upp-a-5");
    fleet.advance_ms(CONVERGENCE_MAX_MS);
    assert_eq!(count_declared_dead(&fleet), 0);

    fleet.apply(&HostName::new("upp-a-6"), Event::LeaveRequested);
    fleet.kill("upp-a-6");
    fleet.advance_ms(CONVERGENCE_MAX_MS);
    assert_eq!(
        count_declared_dead(&fleet),
        0,
        "also if the host is killed right after the announcement"
    );
}

#[test]
fn a_pause_of_the_observing_host_restarts_the_suspicion_timeout() {
    let host = |name: &str| Host {
        name: HostName::new(name),
        zone: ZoneName::new("upp-a"),
        address: address(name),
        incarnation: Incarnation(1),
    };
    let mut state = State::new(Config::default(), host("upp-a-0"), 1);
    let entry = MemberEntry {
        host: host("upp-a-1"),
        status: Status::Suspect,
    };
    let sync = Message::Sync {
        next_offset: 0,
        entries: vec![entry],
    };
    let from = HostName::new("upp-a-2");
    let mut effects = Vec::new();
    let received = Event::MessageReceived {
        from,
        message: sync,
    };
    reduce(&mut state, 0, Event::Tick, &mut effects);
    reduce(&mut state, 0, received, &mut effects);
    struct Case {
        now_ms: u64,
        status: Status,
    }
    let resumed_ms = 60_000;
    let suspicion_ms = Config::default().suspicion_ms;
    let cases = [
        Case {
            now_ms: resumed_ms,
            status: Status::Suspect,
        },
        Case {
            now_ms: resumed_ms + 1_000,
            status: Status::Suspect,
        },
        Case {
            now_ms: resumed_ms + 2_000,
            status: Status::Suspect,
        },
        Case {
            now_ms: resumed_ms + suspicion_ms,
            status: Status::Dead,
        },
    ];
    for case in cases {
        reduce(&mut state, case.now_ms, Event::Tick, &mut effects);
        let status = state.status(&HostName::new("upp-a-1"));
        assert_eq!(status, Some(case.status), "at {} ms", case.now_ms);
    }
}

#[test]
fn a_restarted_host_replaces_its_previous_incarnation_at_every_host() {
    let mut fleet = joined_fleet(8, 0, 60);
    fleet.kill("upp-a-2");
    fleet.advance_ms(200);
    fleet.start("upp-a-2", "upp-a");
    let listed = fleet.current_host_list();
    fleet.deliver_host_list(&listed);
    let name = HostName::new("upp-a-2");
    let incarnation = fleet.hosts[&name].state.own().host.incarnation;
    let has_new_incarnation = |node: &harness::Node| {
        node.state
            .live_hosts()
            .any(|host| host.name == name && host.incarnation == incarnation)
    };
    let all_have_new_incarnation =
        |fleet: &Fleet| fleet.hosts.values().all(has_new_incarnation);
    assert!(fleet.run_until(CONVERGENCE_MAX_MS, all_have_new_incarnation));
}

#[test]
fn a_wrong_host_list_never_changes_the_status_of_a_live_host() {
    let listed = |name: &str, is_leaving| ListedHost {
        name: HostName::new(name),
        zone: ZoneName::new("upp-a"),
        address: address(name),
        is_leaving,
    };
    struct Case {
        name: &'static str,
        list: Vec<ListedHost>,
    }
    let cases = [
        Case {
            name: "empty list",
            list: Vec::new(),
        },
        Case {
            name: "a stopped host is listed",
            list: vec![listed("upp-a-99", false)],
        },
        Case {
            name: "a live host is listed as leaving",
            list: vec![listed("upp-a-1", true)],
        },
    ];
    for (seed, case) in (70..).zip(cases) {
        let mut fleet = joined_fleet(6, 0, seed);
        fleet.deliver_host_list(&case.list);
        fleet.advance_ms(120_000);
        let names = fleet.names();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        assert!(fleet.agrees_on("upp-a", &names), "{}", case.name);
        assert_eq!(count_declared_dead(&fleet), 0, "{}", case.name);
    }
}

#[test]
fn zones_find_each_other_continue_alone_when_partitioned_and_reconnect() {
    let mut fleet = Fleet::new(80)
        .with_zone("upp-a", 3)
        .with_zone("vas-a", 2)
        .with_zone("ore-a", 1);
    let listed = fleet.current_host_list();
    fleet.deliver_host_list(&listed);
    let all_reach_zones = |fleet: &Fleet, count: usize| {
        fleet.hosts.values().all(|node| {
            node.state
                .other_zones()
                .filter(|(_, zone)| zone.is_reachable())
                .count()
                == count
        })
    };
    assert!(
        fleet.run_until(CONVERGENCE_MAX_MS, |fleet| all_reach_zones(fleet, 2)),
        "every zone is reachable"
    );

    fleet.cut_links(|from, to| from[..3] != to[..3]);
    assert!(
        fleet.run_until(2 * CONVERGENCE_MAX_MS, |fleet| all_reach_zones(fleet, 0)),
        "every other zone is unreachable"
    );
    assert!(fleet.agrees_on("upp-a", &["upp-a-0", "upp-a-1", "upp-a-2"]));
    assert_eq!(
        count_declared_dead(&fleet),
        0,
        "a partition between zones declares no host dead"
    );

    fleet.cut_links(|_, _| false);
    assert!(
        fleet.run_until(2 * CONVERGENCE_MAX_MS, |fleet| all_reach_zones(fleet, 2)),
        "every zone is reachable again"
    );
}

#[test]
fn the_message_rate_of_a_host_does_not_grow_with_the_zone() {
    struct Case {
        hosts: usize,
        seed: u64,
    }
    let cases = [
        Case {
            hosts: 15,
            seed: 90,
        },
        Case {
            hosts: 120,
            seed: 91,
        },
    ];
    let rates = cases.map(|case| {
        let mut fleet = joined_fleet(case.hosts, 0, case.seed);
        fleet.advance_ms(CONVERGENCE_MAX_MS);
        fleet.sent_messages = 0;
        fleet.advance_ms(60_000);
        let config = Config::default();
        assert!(fleet.probe_entries_max <= config.entries_per_message_max);
        assert!(fleet.sync_page_entries_max <= config.sync_page_entries_max);
        fleet.sent_messages as f64 / case.hosts as f64
    });
    assert!(
        rates[1] < 1.1 * rates[0],
        "messages per minute and host: {rates:?}"
    );
}
