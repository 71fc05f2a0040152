//! How hosts learn that availability zones are evacuated and taken back: from the store, from each
//! other, and while either fails.

mod support;

use support::evacuation::*;
use support::store::StoreFleet;
use support::*;
use toucancleat_fleet::evacuation::{EvacuationRow, EvacuationRows, REPORTED_ZONES_MAX};
use toucancleat_fleet::event::LogEvent;
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::store::{Query, QuerySchedule};
use toucancleat_fleet::target::TargetEntry;

const ZONE: &str = "upp-b";
const HOSTS: u16 = 6;

/// Time in which all hosts in touch know a change while the store and the links are sound.
const KNOWN_WITHIN_MS: u64 = 300;

fn fleet() -> StoreFleet {
    let targets: Vec<(&str, TargetEntry)> = vec![
        ("roster-a", entry("roster", "upp-a", 201)),
        ("roster-b", entry("roster", ZONE, 202)),
    ];
    StoreFleet::with_config(HOSTS, &["upp-a", ZONE], &targets, evacuating_config())
}

/// Returns the hosts for which a zone is evacuated.
fn evacuated_at(fleet: &StoreFleet) -> Vec<usize> {
    let hosts = fleet.hosts.iter().enumerate();
    hosts
        .filter(|(_, host)| is_evacuated(host, ZONE))
        .map(|(index, _)| index)
        .collect()
}

/// Returns the hosts that send requests to the targets of the zone.
fn sending_to_zone(fleet: &mut StoreFleet) -> Vec<usize> {
    let now_ms = fleet.now_ms;
    let hosts = fleet.hosts.iter_mut().enumerate();
    hosts
        .filter_map(|(index, host)| {
            let used = targets_of(host, now_ms, "lookup");
            used.contains(&"roster-b".to_owned()).then_some(index)
        })
        .collect()
}

/// Returns the host that reads the store for the others.
fn reader(fleet: &StoreFleet) -> usize {
    let roles = fleet
        .records
        .iter()
        .filter_map(|(host, record)| match record {
            LogEvent::ReaderRoleChanged { is_reader, .. } => Some((*host, *is_reader)),
            _ => None,
        });
    let mut reads = vec![true; fleet.hosts.len()];
    for (host, is_reader) in roles {
        reads[host] = is_reader;
    }
    let readers = reads.iter().position(|reads| *reads);
    readers.expect("a host that reads")
}

/// Guards against hosts that learn of an evacuation too late, or never, and against zones that
/// stay empty for good. Hosts that read the configuration's row only learn nothing in any case.
#[test]
fn all_hosts_in_touch_know_evacuations_within_the_bound() {
    struct Case {
        name: &'static str,
        prepare: fn(&mut StoreFleet),
        /// What happens right after the evacuation.
        disturb: fn(&mut StoreFleet),
        known_within_ms: u64,
        /// Hosts that need not know it.
        excepted: &'static [usize],
    }
    let sound = Case {
        name: "all is sound",
        prepare: |_| {},
        disturb: |_| {},
        known_within_ms: KNOWN_WITHIN_MS,
        excepted: &[],
    };
    let cases = [
        Case {
            name: "the store is slow",
            prepare: |fleet| fleet.reply_time_ms = 600,
            known_within_ms: BOUND_MS - 1_000,
            ..sound
        },
        Case {
            name: "the store refuses all hosts but the last",
            prepare: |fleet| {
                fleet.refused = (0..usize::from(HOSTS) - 1).collect();
                fleet.advance(10_000);
            },
            known_within_ms: BOUND_MS - 1_000,
            ..sound
        },
        Case {
            name: "each second message is lost",
            prepare: |fleet| fleet.loses_messages = true,
            known_within_ms: BOUND_MS - 1_000,
            ..sound
        },
        Case {
            name: "the feeds are silent",
            prepare: |fleet| fleet.silent_feeds = true,
            known_within_ms: BOUND_MS - 1_000,
            ..sound
        },
        Case {
            name: "the configuration is long and the feeds are silent",
            prepare: |fleet| {
                fleet.rows.configuration_bytes = 1_000_000;
                fleet.rows.write_configuration(2);
                fleet.advance(3_000);
                fleet.silent_feeds = true;
            },
            known_within_ms: BOUND_MS - 1_000,
            ..sound
        },
        Case {
            name: "a host starts in the middle",
            disturb: |fleet| fleet.restart(2),
            known_within_ms: BOUND_MS - 1_000,
            ..sound
        },
        Case {
            name: "all hosts start in the middle",
            disturb: |fleet| (0..usize::from(HOSTS)).for_each(|host| fleet.restart(host)),
            known_within_ms: BOUND_MS - 1_000,
            ..sound
        },
        Case {
            name: "the reader is gone",
            disturb: |fleet| {
                let reader = reader(fleet);
                fleet.refused.insert(reader);
                fleet.isolated.insert(reader);
            },
            known_within_ms: BOUND_MS - 1_000,
            // By its name the first host reads.
            excepted: &[0],
            ..sound
        },
        Case {
            name: "a host hears no other",
            prepare: |fleet| {
                fleet.isolated.insert(3);
                fleet.advance(5_000);
            },
            known_within_ms: BOUND_MS - 1_000,
            ..sound
        },
        Case {
            name: "hosts of the last release run beside",
            prepare: |fleet| {
                for old in [0, 3] {
                    fleet.restart_with(old, default_config());
                }
                fleet.advance(6_000);
            },
            known_within_ms: BOUND_MS - 1_000,
            excepted: &[0, 3],
            ..sound
        },
        sound,
    ];
    for case in cases {
        let mut fleet = fleet();
        (case.prepare)(&mut fleet);
        assert_eq!(evacuated_at(&fleet), [0_usize; 0], "{}", case.name);
        fleet.rows.write_evacuation(ZONE, true);
        (case.disturb)(&mut fleet);
        fleet.advance(case.known_within_ms);
        let in_touch = |host: &usize| !case.excepted.contains(host);
        let expected: Vec<usize> = (0..HOSTS.into()).filter(in_touch).collect();
        let mut known_at = evacuated_at(&fleet);
        known_at.retain(in_touch);
        assert_eq!(known_at, expected, "{}", case.name);
        let mut sending = sending_to_zone(&mut fleet);
        sending.retain(in_touch);
        assert_eq!(sending, [0_usize; 0], "{}", case.name);
        fleet.rows.write_evacuation(ZONE, false);
        fleet.advance(case.known_within_ms);
        let mut known_at = evacuated_at(&fleet);
        known_at.retain(in_touch);
        assert_eq!(known_at, [0_usize; 0], "{}: taken back", case.name);
        let mut sending = sending_to_zone(&mut fleet);
        sending.retain(in_touch);
        let of_zone = |host: &usize| fleet.hosts[*host].zone().as_str() == ZONE;
        let expected: Vec<usize> = expected.into_iter().filter(of_zone).collect();
        assert_eq!(sending, expected, "{}: taken back", case.name);
    }
}

/// Guards against a reader that only checks the row of a long configuration, and so reads no rows
/// beside it.
#[test]
fn a_lone_host_reads_evacuations_beside_a_long_configuration() {
    let config = evacuating_config();
    let mut fleet = StoreFleet::with_config(1, &[ZONE], &[], config);
    fleet.rows.configuration_bytes = 1_000_000;
    fleet.rows.write_configuration(2);
    fleet.advance(3_000);
    fleet.silent_feeds = true;
    fleet.calls.clear();
    fleet.rows.write_evacuation(ZONE, true);
    fleet.advance(BOUND_MS - 1_000);
    assert_eq!(evacuated_at(&fleet), [0]);
    assert_eq!(fleet.calls.get("configuration"), None);
}

/// Guards against a host that serves callers before it knows which zones are evacuated.
#[test]
fn a_host_that_starts_is_not_ready_before_it_knows_evacuations() {
    let mut fleet = fleet();
    fleet.rows.write_evacuation(ZONE, true);
    fleet.advance(1_000);
    fleet.restart(1);
    let mut was_ready = false;
    for _ in 0..200 {
        fleet.advance(25);
        let host = &fleet.hosts[1];
        was_ready |= host.is_ready(fleet.now_ms);
        assert!(!host.is_ready(fleet.now_ms) || is_evacuated(host, ZONE));
    }
    assert!(was_ready);
}

/// Each change is logged once at each host, whatever it learns it from.
#[test]
fn each_change_is_logged_once_at_each_host() {
    let mut fleet = fleet();
    fleet.records.clear();
    fleet.rows.write_evacuation(ZONE, true);
    fleet.advance(5_000);
    fleet.rows.write_evacuation(ZONE, false);
    fleet.advance(5_000);
    for host in 0..usize::from(HOSTS) {
        let of_host = fleet.records.iter().filter(|(index, _)| *index == host);
        let logged: Vec<bool> = of_host
            .filter_map(|(_, record)| match record {
                LogEvent::ZoneEvacuated { .. } => Some(true),
                LogEvent::ZoneTakenBack { .. } => Some(false),
                _ => None,
            })
            .collect();
        assert_eq!(logged, [true, false], "host {host}");
    }
}

/// Guards against an evacuation that is lost with the last seconds of the store, and one that
/// never ends since the store has lost it.
#[test]
fn an_evacuation_that_the_store_has_lost_holds_for_a_while() {
    struct Case {
        name: &'static str,
        /// Whether operators evacuate the zone and take it back before the return, after the copy.
        is_taken_back: bool,
        /// Whether the copy has the evacuation.
        is_in_copy: bool,
        /// What operators write again after the return.
        written_again: Option<bool>,
        is_held: bool,
        is_evacuated_at_last: bool,
    }
    let cases = [
        Case {
            name: "nobody writes it again",
            is_taken_back: false,
            is_in_copy: false,
            written_again: None,
            is_held: true,
            is_evacuated_at_last: false,
        },
        Case {
            name: "operators write it again",
            is_taken_back: false,
            is_in_copy: false,
            written_again: Some(true),
            is_held: true,
            is_evacuated_at_last: true,
        },
        Case {
            name: "operators take it back instead",
            is_taken_back: false,
            is_in_copy: false,
            written_again: Some(false),
            is_held: false,
            is_evacuated_at_last: false,
        },
        Case {
            name: "it was taken back before",
            is_taken_back: true,
            is_in_copy: false,
            written_again: None,
            is_held: false,
            is_evacuated_at_last: false,
        },
        Case {
            name: "the copy has it, though it was taken back",
            is_taken_back: true,
            is_in_copy: true,
            written_again: None,
            is_held: true,
            is_evacuated_at_last: true,
        },
        Case {
            name: "the copy has it, and operators take it back again",
            is_taken_back: true,
            is_in_copy: true,
            written_again: Some(false),
            is_held: false,
            is_evacuated_at_last: false,
        },
    ];
    for case in cases {
        let mut fleet = fleet();
        if case.is_in_copy {
            fleet.rows.write_evacuation(ZONE, true);
        }
        let copy = fleet.rows.clone();
        for _ in 0..20 {
            fleet.rows.beat(&[]);
        }
        if !case.is_in_copy {
            fleet.rows.write_evacuation(ZONE, true);
        }
        fleet.advance(1_000);
        if case.is_taken_back {
            fleet.rows.write_evacuation(ZONE, false);
            fleet.advance(1_000);
        }
        fleet.return_to(&copy);
        fleet.advance(1_500);
        if let Some(is_evacuated) = case.written_again {
            fleet.rows.write_evacuation(ZONE, is_evacuated);
            fleet.advance(1_000);
        }
        let count = |is_evacuated: bool| usize::from(HOSTS) * usize::from(is_evacuated);
        let held = evacuated_at(&fleet).len();
        assert_eq!(held, count(case.is_held), "{}", case.name);
        fleet.advance(2 * BOUND_MS + 2_000);
        let at_last = evacuated_at(&fleet).len();
        assert_eq!(at_last, count(case.is_evacuated_at_last), "{}", case.name);
    }
}

/// Guards against a later set that an earlier one replaces: late replies, messages of hosts that
/// were away, and lists of the store as it was.
#[test]
fn a_later_change_is_never_replaced_by_an_earlier_one() {
    let row = |store_version, is_evacuated| EvacuationRow {
        zone: ZoneName::new(ZONE),
        store_version,
        is_evacuated,
    };
    let list = |version, rows: &[EvacuationRow]| EvacuationRows {
        complete_at: Some(version),
        rows: rows.to_vec(),
    };
    let feed = |rows: &[EvacuationRow]| EvacuationRows {
        complete_at: None,
        rows: rows.to_vec(),
    };
    struct Case {
        name: &'static str,
        /// Rows with the era of the reply, and whether the zone is evacuated after them.
        steps: Vec<(u64, EvacuationRows, bool)>,
    }
    let cases = [
        Case {
            name: "a list from before the evacuation",
            steps: vec![
                (1, feed(&[row(40, true)]), true),
                (1, list(39, &[]), true),
                (1, list(41, &[]), false),
            ],
        },
        Case {
            name: "a list from before the zone was taken back",
            steps: vec![
                (1, list(45, &[row(40, true)]), true),
                (1, feed(&[row(50, false)]), false),
                (1, list(49, &[row(40, true)]), false),
                (1, feed(&[row(51, true)]), true),
            ],
        },
        Case {
            name: "several changes in one reply of a feed",
            steps: vec![(
                1,
                feed(&[row(40, true), row(41, false), row(42, true)]),
                true,
            )],
        },
        Case {
            name: "a late list with a zone that the first list lacked",
            steps: vec![
                (1, list(45, &[]), false),
                (1, list(44, &[row(40, true)]), false),
                (1, feed(&[row(46, true)]), true),
            ],
        },
        Case {
            name: "a lower version of a later era",
            steps: vec![
                (1, feed(&[row(40, true)]), true),
                (2, feed(&[row(20, false)]), false),
                (2, feed(&[row(21, true)]), true),
            ],
        },
    ];
    for case in cases {
        let mut host = host_with("host-1", "upp-a", 1, evacuating_config());
        populate(&mut host, START_MS, &[]);
        for (index, (era, rows, expected)) in case.steps.into_iter().enumerate() {
            let now_ms = START_MS + 100 * (index as u64 + 1);
            read_rows(&mut host, now_ms, Some(era), rows);
            assert_eq!(
                is_evacuated(&host, ZONE),
                expected,
                "{}, {index}",
                case.name
            );
        }
    }
}

/// Guards against a reader that was away while the zone was taken back and evacuates it again.
#[test]
fn a_host_that_was_away_changes_nothing() {
    let mut fleet = fleet();
    fleet.rows.write_evacuation(ZONE, true);
    fleet.advance(1_000);
    fleet.isolated.insert(4);
    fleet.refused.insert(4);
    fleet.advance(1_000);
    fleet.rows.write_evacuation(ZONE, false);
    fleet.advance(3_000);
    assert_eq!(evacuated_at(&fleet), [4]);
    fleet.isolated.clear();
    fleet.advance(2_000);
    assert_eq!(evacuated_at(&fleet), [0_usize; 0]);
}

/// Messages stay short whatever operators or a damaged message name.
#[test]
fn what_hosts_report_is_bounded() {
    let mut host = host_with("host-1", "upp-a", 1, evacuating_config());
    populate(&mut host, START_MS, &[]);
    for version in 1..500 {
        let zone = format!("zone-{version}");
        read_row(&mut host, START_MS, &zone, 2 * version, true);
        if version < 490 {
            read_row(&mut host, START_MS, &zone, 2 * version + 1, false);
        }
    }
    let report = host.evacuations().report(START_MS);
    assert_eq!(report.zones.len(), REPORTED_ZONES_MAX);
    let evacuated = report.zones.iter().filter(|zone| zone.is_evacuated);
    assert_eq!(evacuated.count(), 10);
    assert_eq!(host.evacuations().len(), 10);
}

/// Guards against calls of all hosts to the store while the reader tells them all that there is.
#[test]
fn evacuations_cost_no_calls_while_the_reader_tells_them() {
    for hosts in [6, 60] {
        let config = evacuating_config();
        let mut fleet = StoreFleet::with_config(hosts, &["upp-a", ZONE], &[], config);
        fleet.calls.clear();
        fleet.rows.write_evacuation(ZONE, true);
        fleet.advance(8_000);
        assert_eq!(evacuated_at(&fleet).len(), usize::from(hosts));
        assert_eq!(fleet.calls.get("evacuations"), None, "{hosts} hosts");
    }
}

/// Hosts that no reader tells of evacuations read them by themselves. If they counted as readers for
/// that, none of them would take over from a reader that has stopped, and the configuration
/// would become stale everywhere.
#[test]
fn a_host_that_reads_only_the_evacuated_zones_is_no_reader() {
    struct Case {
        query: Query,
        age_ms: Option<u64>,
    }
    let cases = [
        Case {
            query: Query::Evacuations,
            age_ms: None,
        },
        Case {
            query: Query::Configuration,
            age_ms: Some(5),
        },
    ];
    for case in cases {
        let mut schedule = QuerySchedule::default();
        assert!(schedule.start(START_MS, case.query));
        schedule.end(START_MS + 5, case.query, true);
        let age_ms = schedule.success_age_ms(START_MS + 10);
        assert_eq!(age_ms, case.age_ms, "{:?}", case.query);
    }
}
