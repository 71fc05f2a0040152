//! What hosts believe and do when the store returns to a copy that is some seconds old.

mod support;

use support::store::{Rows, StoreFleet};
use support::*;
use toucancleat_fleet::event::{Effect, LogEvent};
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::store::{Query, Reply};
use toucancleat_fleet::target::TargetEntry;

fn targets() -> Vec<(&'static str, TargetEntry)> {
    vec![
        ("roster-1", entry("roster", "upp-a", 901)),
        ("roster-2", entry("roster", "upp-a", 902)),
        ("roster-3", entry("roster", "upp-a", 903)),
    ]
}

fn leaving(number: u16) -> TargetEntry {
    TargetEntry {
        is_leaving: true,
        ..entry("roster", "upp-a", number)
    }
}

/// Makes a copy, lets versions grow for three seconds, and returns the copy.
fn copy_then_heartbeats(fleet: &mut StoreFleet) -> Rows {
    let copy = fleet.rows.clone();
    for _ in 0..3 {
        fleet.rows.beat(&[]);
        fleet.advance(1_000);
    }
    copy
}

/// Returns the hosts that send requests to a target.
fn hosts_that_use(fleet: &mut StoreFleet, target: &str) -> Vec<usize> {
    (0..fleet.hosts.len())
        .filter(|host| {
            let used = targets_of(&mut fleet.hosts[*host], fleet.now_ms, "lookup");
            used.iter().any(|name| name == target)
        })
        .collect()
}

/// Guards against hosts that take all that the store says after its return for old news,
/// since its versions are lower than those that they know.
#[test]
fn changes_after_a_return_are_known_to_all_hosts() {
    struct Case {
        name: &'static str,
        /// What is written after the return.
        write: fn(&mut Rows),
        /// Whether `roster-3` and `roster-4` are used then.
        is_used: [bool; 2],
    }
    let cases = [
        Case {
            name: "a target leaves",
            write: |rows| rows.write_target("roster-3", Some(leaving(903))),
            is_used: [false, false],
        },
        Case {
            name: "a target is gone",
            write: |rows| rows.write_target("roster-3", None),
            is_used: [false, false],
        },
        Case {
            name: "a target joins",
            write: |rows| {
                rows.write_target("roster-4", Some(entry("roster", "upp-a", 904)));
            },
            is_used: [true, true],
        },
        Case {
            name: "nothing but heartbeats",
            write: |rows| rows.beat(&[]),
            is_used: [true, false],
        },
    ];
    for size in [1, 8, 30] {
        for case in &cases {
            let mut fleet = StoreFleet::new(size, &["upp-a", "upp-b"], &targets());
            let copy = copy_then_heartbeats(&mut fleet);
            fleet.return_to(&copy);
            fleet.advance(200);
            (case.write)(&mut fleet.rows);
            fleet.advance(600);
            let all: Vec<usize> = (0..fleet.hosts.len()).collect();
            for (target, is_used) in
                ["roster-3", "roster-4"].into_iter().zip(case.is_used)
            {
                let expected = if is_used { all.clone() } else { Vec::new() };
                let users = hosts_that_use(&mut fleet, target);
                assert_eq!(users, expected, "{}, {size} hosts: {target}", case.name);
            }
            let eras = fleet.records.iter().filter(|(_, record)| {
                matches!(record, LogEvent::StoreEraChanged { era: 2, .. })
            });
            assert_eq!(eras.count(), fleet.hosts.len(), "{}", case.name);
        }
    }
}

/// Guards against work for a target that has left, because the copy still shows it as ready.
#[test]
fn a_copy_brings_no_target_back_that_has_left() {
    struct Case {
        name: &'static str,
        /// What is written after the copy was made.
        lost: fn(&mut Rows),
        /// What is written after the return.
        after: fn(&mut Rows),
        /// Whether the target is used then.
        is_used: bool,
    }
    fn leave(rows: &mut Rows) {
        rows.write_target("roster-3", Some(leaving(903)));
    }
    fn remove(rows: &mut Rows) {
        rows.write_target("roster-3", None);
    }
    fn remove_after_notice(rows: &mut Rows) {
        leave(rows);
        remove(rows);
    }
    fn nothing(_: &mut Rows) {}
    let cases = [
        Case {
            name: "leaving, not written again yet",
            lost: leave,
            after: nothing,
            is_used: false,
        },
        Case {
            name: "leaving, written again",
            lost: leave,
            after: leave,
            is_used: false,
        },
        Case {
            name: "gone, and its row expires in the end",
            lost: remove,
            after: remove,
            is_used: false,
        },
        Case {
            name: "gone, its row is still there",
            lost: remove,
            after: |rows| rows.beat(&["roster-3"]),
            is_used: false,
        },
        Case {
            name: "gone after a notice, its row is still there",
            lost: remove_after_notice,
            after: |rows| rows.beat(&["roster-3"]),
            is_used: false,
        },
        Case {
            name: "its row had only expired, and it is back with a heartbeat",
            lost: remove,
            after: |rows| rows.beat(&[]),
            is_used: true,
        },
        Case {
            name: "gone, and started again under its name",
            lost: remove,
            after: |rows| {
                let restarted = TargetEntry {
                    started_unix_ms: Some(2),
                    ..entry("roster", "upp-a", 903)
                };
                rows.write_target("roster-3", Some(restarted));
            },
            is_used: true,
        },
    ];
    for case in cases {
        let mut fleet = StoreFleet::new(8, &["upp-a", "upp-b"], &targets());
        let copy = copy_then_heartbeats(&mut fleet);
        (case.lost)(&mut fleet.rows);
        fleet.advance(500);
        assert!(hosts_that_use(&mut fleet, "roster-3").is_empty());
        fleet.return_to(&copy);
        fleet.advance(2_000);
        let users = hosts_that_use(&mut fleet, "roster-3");
        assert!(users.is_empty(), "{}: used by {users:?}", case.name);
        (case.after)(&mut fleet.rows);
        fleet.advance(2_000);
        let users = hosts_that_use(&mut fleet, "roster-3").len();
        let expected = if case.is_used { 8 } else { 0 };
        assert_eq!(
            users, expected,
            "{}: after what is written again",
            case.name
        );
    }
}

/// Guards against a fleet that floods the store after its return: each host would find itself
/// behind versions that the store doesn't have any more.
#[test]
fn a_return_costs_the_fleet_as_many_calls_as_one_host() {
    let mut calls = Vec::new();
    for size in [3, 30, 90] {
        let mut fleet = StoreFleet::new(size, &["upp-a", "upp-b", "vas-a"], &targets());
        // Rows of hosts that have just started are read and written again.
        fleet.advance(61_000);
        let copy = copy_then_heartbeats(&mut fleet);
        fleet.calls.clear();
        fleet.rows.beat(&[]);
        fleet.advance(3_000);
        let before: usize = fleet.calls.values().sum();
        fleet.return_to(&copy);
        fleet.calls.clear();
        fleet.rows.beat(&[]);
        fleet.advance(3_000);
        let after: usize = fleet.calls.values().sum();
        let more = after as i64 - before as i64;
        assert!(
            more <= 8,
            "{size} hosts: {more} calls more: {:?}",
            fleet.calls
        );
        calls.push(after);
    }
    assert!(calls[2] <= calls[0] + 8, "{calls:?}");
}

/// Guards against hosts that nobody finds after the store has lost their rows.
#[test]
fn hosts_whose_rows_are_lost_register_again() {
    let mut fleet = StoreFleet::new(4, &["upp-a"], &targets());
    assert_eq!(fleet.rows.hosts.len(), 4);
    let mut copy = fleet.rows.clone();
    copy.hosts.retain(|host, _| host.port() <= 2);
    fleet.return_to(&copy);
    fleet.advance(2_000);
    assert_eq!(fleet.rows.hosts.len(), 4, "{:?}", fleet.rows.hosts);
}

/// Guards against a host that goes back to an older configuration with the store, and against
/// one that trusts keys which the lost configuration has withdrawn.
#[test]
fn a_copy_brings_no_older_configuration_back() {
    let mut fleet = StoreFleet::new(8, &["upp-a", "upp-b"], &targets());
    let copy = copy_then_heartbeats(&mut fleet);
    fleet.rows.write_configuration(2);
    fleet.advance(500);
    assert_eq!(fleet.versions(), [2; 8]);
    fleet.return_to(&copy);
    fleet.advance(2_000);
    assert_eq!(fleet.versions(), [2; 8], "the newer one stays in force");
    let now_ms = fleet.now_ms;
    for host in &fleet.hosts {
        let age_ms = host.configuration_age_ms(now_ms);
        assert!(
            age_ms >= Some(1_500),
            "unconfirmed since the return: {age_ms:?}"
        );
    }
    fleet.rows.write_configuration(2);
    fleet.advance(1_500);
    let now_ms = fleet.now_ms;
    for host in &fleet.hosts {
        let age_ms = host.configuration_age_ms(now_ms);
        assert!(
            age_ms < Some(1_600),
            "confirmed once it is written again: {age_ms:?}"
        );
    }
    fleet.rows.write_configuration(3);
    fleet.advance(500);
    assert_eq!(fleet.versions(), [3; 8], "the next one is in force");
}

/// Guards against a host that finds a target which has left in a complete list of the new era,
/// and against one that holds targets back for longer than it has to.
#[test]
fn a_list_of_the_new_era_counts_once_its_rows_are_written_again() {
    /// Version of the store, and the row of `roster-2` in the list: its version and start.
    type List = (u64, Option<(u64, u64)>);
    struct Case {
        name: &'static str,
        /// Lists in order, each with its era.
        lists: &'static [(u64, List)],
        is_used: bool,
    }
    let cases = [
        Case {
            name: "gone, then restored",
            lists: &[(1, (50, None)), (2, (40, Some((30, 1))))],
            is_used: false,
        },
        Case {
            name: "restored, and not written again",
            lists: &[
                (1, (50, None)),
                (2, (40, Some((30, 1)))),
                (2, (42, Some((30, 1)))),
            ],
            is_used: false,
        },
        Case {
            name: "restored, then written again",
            lists: &[
                (1, (50, None)),
                (2, (40, Some((30, 1)))),
                (2, (42, Some((41, 1)))),
            ],
            is_used: true,
        },
        Case {
            name: "restored, then restored from another copy",
            lists: &[
                (1, (50, None)),
                (2, (40, Some((30, 1)))),
                (3, (45, Some((31, 1)))),
            ],
            is_used: false,
        },
        Case {
            name: "started again",
            lists: &[(1, (50, None)), (2, (40, Some((30, 2))))],
            is_used: true,
        },
        Case {
            name: "back in the same era",
            lists: &[(2, (50, None)), (2, (52, Some((30, 1))))],
            is_used: true,
        },
        Case {
            name: "gone and back in the new era",
            lists: &[(1, (50, None)), (2, (40, None)), (2, (42, Some((41, 1))))],
            is_used: true,
        },
    ];
    for case in cases {
        let mut host = empty_host("host-01", "upp-a", 1);
        let first_era = Some(case.lists[0].0);
        let mut now_ms = START_MS;
        populate(&mut host, now_ms, &targets());
        let configuration = Reply::Configuration(Some(stored(configuration(1))));
        answer_in_era(
            &mut host,
            now_ms,
            Query::Configuration,
            first_era,
            configuration,
        );
        for (era, (store_version, row)) in case.lists {
            now_ms += 100;
            let mut list =
                vec![change("roster-1", 1, Some(entry("roster", "upp-a", 901)))];
            list.extend(row.map(|(version, started)| {
                let entry = TargetEntry {
                    started_unix_ms: Some(started),
                    ..entry("roster", "upp-a", 902)
                };
                change("roster-2", version, Some(entry))
            }));
            let reply = Reply::Targets {
                store_version: *store_version,
                list,
            };
            answer_in_era(&mut host, now_ms, Query::Targets, Some(*era), reply);
        }
        let used = targets_of(&mut host, now_ms, "lookup");
        let is_used = used.contains(&"roster-2".to_owned());
        assert_eq!(is_used, case.is_used, "{}: {used:?}", case.name);
    }
}

/// Guards against a host that takes the changes after its old position for all that have
/// happened in the new era.
#[test]
fn a_feed_of_the_new_era_is_no_substitute_for_its_list() {
    let mut host = empty_host("host-01", "upp-a", 1);
    populate(&mut host, START_MS, &targets());
    let now_ms = START_MS + 100;
    let joined = change("roster-9", 55, Some(entry("roster", "upp-a", 909)));
    let feed = Reply::TargetFeed {
        store_version: 55,
        changes: vec![joined.clone()],
    };
    let query = Query::TargetFeed { after: 10 };
    let effects = answer_in_era(&mut host, now_ms, query, Some(2), feed);
    let is_list = |effect: &Effect| matches!(effect, Effect::QueryStore(Query::Targets));
    assert!(effects.iter().any(is_list), "the list is read at once");
    let list = Reply::Targets {
        store_version: 55,
        list: vec![joined],
    };
    answer_in_era(&mut host, now_ms + 5, Query::Targets, Some(2), list);
    assert_eq!(targets_of(&mut host, now_ms + 10, "lookup"), ["roster-9"]);
}

/// Guards against a reply that was on its way while the store returned to a copy.
#[test]
fn a_late_reply_of_the_era_before_is_dropped() {
    let mut host = empty_host("host-01", "upp-a", 1);
    populate(&mut host, START_MS, &targets());
    let list = |version, names: &[&str]| Reply::Targets {
        store_version: version,
        list: names
            .iter()
            .map(|name| change(name, version, Some(entry("roster", "upp-a", 901))))
            .collect(),
    };
    let mut now_ms = START_MS + 2_000;
    answer_in_era(
        &mut host,
        now_ms,
        Query::Targets,
        Some(1),
        list(50, &["roster-1"]),
    );
    // The query for the list is made before the new era is seen, and answered afterwards.
    now_ms += 1_200;
    let effects = apply(&mut host, now_ms, Event::Tick);
    let is_list = |effect: &Effect| matches!(effect, Effect::QueryStore(Query::Targets));
    assert!(effects.iter().any(is_list));
    now_ms += 10;
    let reply = Reply::Configuration(Some(stored(configuration(1))));
    answer_in_era(&mut host, now_ms, Query::Configuration, Some(2), reply);
    now_ms += 10;
    let late = list(60, &["roster-1", "roster-9"]);
    answer_in_era(&mut host, now_ms, Query::Targets, Some(1), late);
    assert_eq!(targets_of(&mut host, now_ms, "lookup"), ["roster-1"]);
    // The list of the new era has a lower version and counts.
    now_ms += 50;
    let restored = list(40, &["roster-1", "roster-5"]);
    answer_in_era(&mut host, now_ms, Query::Targets, Some(2), restored);
    assert_eq!(
        targets_of(&mut host, now_ms + 1, "lookup"),
        ["roster-1", "roster-5"]
    );
}

/// Guards against a reader that has started after a target left, finds the target in a copy,
/// and sends it to hosts that have seen it leave.
#[test]
fn a_peer_brings_no_target_back_that_has_left() {
    let mut fleet = StoreFleet::new(3, &["upp-a"], &targets());
    let copy = copy_then_heartbeats(&mut fleet);
    fleet.rows.write_target("roster-3", None);
    fleet.advance(500);
    // The first host by name reads for all.
    fleet.restart(0);
    fleet.advance(4_000);
    assert!(hosts_that_use(&mut fleet, "roster-3").is_empty());
    fleet.return_to(&copy);
    fleet.advance(600);
    let users = hosts_that_use(&mut fleet, "roster-3");
    assert!(
        !users.contains(&1) && !users.contains(&2),
        "used by {users:?}"
    );
    fleet.rows.beat(&[]);
    fleet.advance(1_500);
    let users = hosts_that_use(&mut fleet, "roster-3");
    assert_eq!(users, [0, 1, 2], "it is running after all");
}
