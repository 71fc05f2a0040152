//! Membership under loss, cuts, pauses, restarts and a wrong host list.

mod harness;

use toucancleat_core::membership::{
    Config, Entry, Event, Host, ListedHost, Message, State, Status, reduce,
};
use toucancleat_core::prelude::*;

use self::harness::{Fleet, address};

/// Bound on the time until a change is known to the zone, far above the usual.
const SPREAD_MS: u64 = 30_000;

/// A fleet of one zone whose hosts know each other.
fn joined(count: usize, loss_percent: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed)
        .with_zone("upp-a", count)
        .with_loss_percent(loss_percent);
    let listed = fleet.true_list();
    fleet.list(&listed);
    let names = fleet.names();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let met = fleet.run_until(4 * SPREAD_MS, |fleet| fleet.agrees_on("upp-a", &names));
    assert!(met, "{count} hosts meet with {loss_percent}% loss");
    fleet
}

fn others(fleet: &Fleet, without: &str) -> Vec<String> {
    fleet
        .names()
        .into_iter()
        .filter(|name| name != without)
        .collect()
}

fn agree_without(fleet: &mut Fleet, without: &str) -> bool {
    let names = others(fleet, without);
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    fleet.run_until(SPREAD_MS, |fleet| fleet.agrees_on("upp-a", &names))
}

fn agree_on_all(fleet: &mut Fleet) -> bool {
    let names = fleet.names();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    fleet.run_until(2 * SPREAD_MS, |fleet| fleet.agrees_on("upp-a", &names))
}

fn declared_dead(fleet: &Fleet) -> usize {
    fleet
        .changes
        .iter()
        .filter(|(.., status)| *status == Status::Dead)
        .count()
}

#[test]
fn hosts_meet_and_a_dead_one_is_found_by_all() {
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
        let mut fleet = joined(case.hosts, case.loss_percent, seed);
        fleet.kill("upp-a-1");
        let found = agree_without(&mut fleet, "upp-a-1");
        assert!(found, "{} hosts, {}% loss", case.hosts, case.loss_percent);
    }
}

#[test]
fn live_hosts_stay_alive() {
    struct Case {
        name: &'static str,
        loss_percent: usize,
        cut: fn(&str, &str) -> bool,
    }
    let cases = [
        Case {
            name: "no fault",
            loss_percent: 0,
            cut: |_, _| false,
        },
        Case {
            name: "loss",
            loss_percent: 10,
            cut: |_, _| false,
        },
        Case {
            name: "one link cut in both directions",
            loss_percent: 0,
            cut: |from, to| {
                matches!((from, to), ("upp-a-1", "upp-a-2") | ("upp-a-2", "upp-a-1"))
            },
        },
        Case {
            name: "one link cut in one direction",
            loss_percent: 0,
            cut: |from, to| (from, to) == ("upp-a-1", "upp-a-2"),
        },
    ];
    for (seed, case) in (20..).zip(cases) {
        let mut fleet = joined(12, 0, seed).with_loss_percent(case.loss_percent);
        fleet.cut(case.cut);
        fleet.run_ms(180_000);
        assert_eq!(declared_dead(&fleet), 0, "{}", case.name);
    }
}

#[test]
fn a_paused_host_comes_back() {
    struct Case {
        name: &'static str,
        pause_ms: u64,
        found_dead: bool,
    }
    let cases = [
        Case {
            name: "shorter than a suspicion",
            pause_ms: 1_500,
            found_dead: false,
        },
        Case {
            name: "longer than a suspicion",
            pause_ms: 20_000,
            found_dead: true,
        },
    ];
    for (seed, case) in (30..).zip(cases) {
        let mut fleet = joined(8, 0, seed);
        fleet.pause("upp-a-3", true);
        fleet.run_ms(case.pause_ms);
        fleet.pause("upp-a-3", false);
        assert!(agree_on_all(&mut fleet), "{}", case.name);
        assert_eq!(declared_dead(&fleet) > 0, case.found_dead, "{}", case.name);
        let by_paused = |change: &&(u64, HostName, HostName, Status)| {
            change.1.as_str() == "upp-a-3" && change.3 == Status::Dead
        };
        let blamed = fleet.changes.iter().filter(by_paused).count();
        assert_eq!(
            blamed, 0,
            "{}: the paused host blames nobody else",
            case.name
        );
    }
}

#[test]
fn a_split_zone_goes_on_in_both_parts_and_meets_again() {
    let mut fleet = joined(8, 0, 40);
    let low = |name: &str| name < "upp-a-4";
    fleet.cut(|from, to| (from < "upp-a-4") != (to < "upp-a-4"));
    let names = fleet.names();
    let parted = fleet.run_until(SPREAD_MS, |fleet| {
        fleet.hosts.iter().all(|(name, node)| {
            let same_part = |other: &str| low(other) == low(name.as_str());
            let expected = names.iter().filter(|other| same_part(other)).count();
            node.state.live_hosts().count() == expected
        })
    });
    assert!(parted, "each part goes on with its own hosts");
    // N.B. Longer than a tombstone is kept: the parts must still find each other, also
    // without a host list.
    fleet.run_ms(Config::default().tombstone_ms * 3);
    fleet.cut(|_, _| false);
    assert!(agree_on_all(&mut fleet));
}

#[test]
fn a_planned_leave_is_known_without_a_suspicion() {
    let mut fleet = joined(12, 0, 50);
    fleet.event(&HostName::new("upp-a-5"), Event::Leave);
    assert!(agree_without(&mut fleet, "upp-a-5"));
    let left = |node: &harness::Node| node.state.status_of(&HostName::new("upp-a-5"));
    assert!(
        fleet
            .hosts
            .values()
            .all(|node| left(node) == Some(Status::Left))
    );
    fleet.kill("upp-a-5");
    fleet.run_ms(SPREAD_MS);
    assert_eq!(declared_dead(&fleet), 0);

    fleet.event(&HostName::new("upp-a-6"), Event::Leave);
    fleet.kill("upp-a-6");
    fleet.run_ms(SPREAD_MS);
    assert_eq!(
        declared_dead(&fleet),
        0,
        "also when it ends right after the word"
    );
}

#[test]
fn a_paused_host_gives_its_suspects_their_time_again() {
    let own = |name: &str| Host {
        name: HostName::new(name),
        zone: ZoneName::new("upp-a"),
        address: address(name),
        incarnation: Incarnation(1),
    };
    let mut state = State::new(Config::default(), own("upp-a-0"), 1);
    let entry = Entry {
        host: own("upp-a-1"),
        status: Status::Suspect,
    };
    let sync = Message::Sync {
        next_offset: 0,
        entries: vec![entry],
    };
    let from = HostName::new("upp-a-2");
    let mut effects = Vec::new();
    let received = Event::Received {
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
        let status = state.status_of(&HostName::new("upp-a-1"));
        assert_eq!(status, Some(case.status), "at {} ms", case.now_ms);
    }
}

#[test]
fn a_restarted_host_replaces_its_earlier_incarnation() {
    let mut fleet = joined(8, 0, 60);
    fleet.kill("upp-a-2");
    fleet.run_ms(200);
    fleet.start("upp-a-2", "upp-a");
    let listed = fleet.true_list();
    fleet.list(&listed);
    let name = HostName::new("upp-a-2");
    let own = fleet.hosts[&name].state.own().host.incarnation;
    let sees = |node: &harness::Node| {
        node.state
            .live_hosts()
            .any(|host| host.name == name && host.incarnation == own)
    };
    let seen_by_all = |fleet: &Fleet| fleet.hosts.values().all(sees);
    assert!(fleet.run_until(SPREAD_MS, seen_by_all));
}

#[test]
fn the_host_list_is_a_hint_and_never_the_truth() {
    let listed = |name: &str, leaving| ListedHost {
        name: HostName::new(name),
        zone: ZoneName::new("upp-a"),
        address: address(name),
        leaving,
    };
    struct Case {
        name: &'static str,
        list: Vec<ListedHost>,
    }
    let cases = [
        Case {
            name: "empty",
            list: Vec::new(),
        },
        Case {
            name: "a host that is gone",
            list: vec![listed("upp-a-99", false)],
        },
        Case {
            name: "a live host as leaving",
            list: vec![listed("upp-a-1", true)],
        },
    ];
    for (seed, case) in (70..).zip(cases) {
        let mut fleet = joined(6, 0, seed);
        fleet.list(&case.list);
        fleet.run_ms(120_000);
        let names = fleet.names();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        assert!(fleet.agrees_on("upp-a", &names), "{}", case.name);
        assert_eq!(declared_dead(&fleet), 0, "{}", case.name);
    }
}

#[test]
fn zones_hear_of_each_other_go_on_alone_and_meet_again() {
    let mut fleet = Fleet::new(80)
        .with_zone("upp-a", 3)
        .with_zone("vas-a", 2)
        .with_zone("ore-a", 1);
    let listed = fleet.true_list();
    fleet.list(&listed);
    let heard = |fleet: &Fleet, reachable: usize| {
        fleet.hosts.values().all(|node| {
            node.state
                .other_zones()
                .filter(|(_, zone)| zone.is_reachable())
                .count()
                == reachable
        })
    };
    assert!(
        fleet.run_until(SPREAD_MS, |fleet| heard(fleet, 2)),
        "all zones are heard"
    );

    fleet.cut(|from, to| from[..3] != to[..3]);
    assert!(
        fleet.run_until(2 * SPREAD_MS, |fleet| heard(fleet, 0)),
        "all are cut off"
    );
    assert!(fleet.agrees_on("upp-a", &["upp-a-0", "upp-a-1", "upp-a-2"]));
    assert_eq!(
        declared_dead(&fleet),
        0,
        "a cut between zones kills no host"
    );

    fleet.cut(|_, _| false);
    assert!(
        fleet.run_until(2 * SPREAD_MS, |fleet| heard(fleet, 2)),
        "all meet again"
    );
}

#[test]
fn messages_per_host_do_not_grow_with_the_zone() {
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
        let mut fleet = joined(case.hosts, 0, case.seed);
        fleet.run_ms(SPREAD_MS);
        fleet.messages = 0;
        fleet.run_ms(60_000);
        let config = Config::default();
        assert!(fleet.entries_max <= config.entries_per_message_max);
        assert!(fleet.sync_entries_max <= config.sync_page_entries_max);
        fleet.messages as f64 / case.hosts as f64
    });
    assert!(
        rates[1] < 1.1 * rates[0],
        "{rates:?} messages a minute for each host"
    );
}
