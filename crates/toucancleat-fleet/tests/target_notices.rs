//! What targets report about themselves in their answers, and what hosts do about it.

mod support;

use support::fleet::Fleet;
use support::*;
use toucancleat_fleet::event::Effect;
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::store::{Query, Reply};
use toucancleat_fleet::target::{TargetChange, TargetEntry};
use toucancleat_fleet::target_notice::PAUSE_MAX_MS;

fn targets() -> Vec<(&'static str, TargetEntry)> {
    vec![
        ("roster-1", entry("roster", "upp-a", 901)),
        ("roster-2", entry("roster", "upp-a", 902)),
        ("roster-3", entry("roster", "upp-a", 903)),
        ("engine-1", entry("engines", "upp-a", 911)),
        ("engine-2", entry("engines", "upp-a", 912)),
        ("engine-3", entry("engines", "upp-a", 913)),
    ]
}

fn leaving() -> TargetNotice {
    TargetNotice {
        is_leaving: true,
        ..TargetNotice::default()
    }
}

fn pause(pause_ms: u64) -> TargetNotice {
    TargetNotice {
        pause_ms: Some(pause_ms),
        ..TargetNotice::default()
    }
}

fn receive_notice(
    fleet: &mut Fleet,
    host: usize,
    target: &str,
    notice: TargetNotice,
) -> Vec<Effect> {
    let received = Event::NoticeReceived {
        target: TargetName::new(target),
        notice,
    };
    apply(&mut fleet.hosts[host], fleet.now_ms, received)
}

fn uses(fleet: &mut Fleet, host: usize, target: &str) -> bool {
    let used = targets_of(&mut fleet.hosts[host], fleet.now_ms, "lookup");
    used.iter().any(|name| name == target)
}

/// Reads the host list at a host.
fn list_targets(
    fleet: &mut Fleet,
    host: usize,
    store_version: u64,
    list: &[(&str, TargetEntry)],
) -> Vec<Effect> {
    let list: Vec<TargetChange> = list
        .iter()
        .map(|(name, entry)| change(name, store_version, Some(entry.clone())))
        .collect();
    let reply = Reply::Targets {
        store_version,
        list,
    };
    let now_ms = fleet.now_ms;
    answer(&mut fleet.hosts[host], now_ms, Query::Targets, reply)
}

/// Guards against requests to a target that has said in an answer that it is leaving, long
/// before or without a notice in the host list.
#[test]
fn a_target_that_reports_leaving_gets_no_requests_from_any_host() {
    struct Case {
        name: &'static str,
        /// What happens after the answer.
        then: fn(&mut Fleet),
        is_used: bool,
    }
    fn list(fleet: &mut Fleet, version: u64, change: fn(&mut Vec<(&str, TargetEntry)>)) {
        let mut all = targets();
        change(&mut all);
        for host in 0..fleet.hosts.len() {
            list_targets(fleet, host, version, &all);
        }
    }
    fn answer_without_notice(fleet: &mut Fleet) {
        for host in 0..fleet.hosts.len() {
            receive_notice(fleet, host, "roster-1", TargetNotice::default());
        }
    }
    let cases = [
        Case {
            name: "at once",
            then: |_| {},
            is_used: false,
        },
        Case {
            name: "after a minute",
            then: |fleet| fleet.advance(60_000),
            is_used: false,
        },
        Case {
            name: "an answer that was delayed doesn't say so",
            then: answer_without_notice,
            is_used: false,
        },
        Case {
            name: "its entry expires and returns",
            then: |fleet| {
                list(fleet, 20, |all| drop(all.remove(0)));
                fleet.advance(2_000);
                list(fleet, 30, |_| {});
            },
            is_used: false,
        },
        Case {
            name: "it restarts under its name",
            then: |fleet| list(fleet, 20, |all| all[0].1.started_unix_ms = Some(2)),
            is_used: true,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(3, &["upp-a", "upp-b"], &targets());
        for host in 0..3 {
            let is_used = uses(&mut fleet, host, "roster-1");
            assert!(is_used, "{}: used before", case.name);
        }
        let effects = receive_notice(&mut fleet, 1, "roster-1", leaving());
        fleet.execute(1, effects, true);
        fleet.advance(50);
        (case.then)(&mut fleet);
        for host in 0..3 {
            let is_used = uses(&mut fleet, host, "roster-1");
            assert_eq!(is_used, case.is_used, "{}: host {host}", case.name);
        }
    }
}

/// Guards against runs that are lost with a target that reports leaving in its answers only.
#[test]
fn runs_migrate_from_a_target_that_reports_leaving() {
    struct Case {
        name: &'static str,
        /// Whether the host list shows it as well, before or after.
        listed_before: bool,
        listed_after: bool,
    }
    let cases = [
        Case {
            name: "in its answers only",
            listed_before: false,
            listed_after: false,
        },
        Case {
            name: "in its answers first",
            listed_before: false,
            listed_after: true,
        },
        Case {
            name: "in the host list first",
            listed_before: true,
            listed_after: false,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(2, &["upp-a"], &targets());
        let now_ms = fleet.now_ms;
        let effects =
            receive_request(&mut fleet.hosts[0], now_ms, 1, incoming_request("draft"));
        let source = dispatches(&effects)[0].target.to_string();
        let mut list = targets();
        for (name, entry) in &mut list {
            entry.is_leaving = *name == source;
        }
        let mut effects = Vec::new();
        if case.listed_before {
            effects.extend(list_targets(&mut fleet, 0, 20, &list));
        }
        effects.extend(receive_notice(&mut fleet, 0, &source, leaving()));
        if case.listed_after {
            effects.extend(list_targets(&mut fleet, 0, 20, &list));
        }
        let migrations = effects
            .iter()
            .filter(|effect| matches!(effect, Effect::Migrate { .. }));
        assert_eq!(migrations.count(), 1, "{}: migrates once", case.name);
    }
}

#[test]
fn requests_are_refused_at_once_if_all_targets_report_leaving() {
    let mut fleet = Fleet::new(2, &["upp-a"], &targets());
    for target in ["roster-1", "roster-2", "roster-3"] {
        receive_notice(&mut fleet, 0, target, leaving());
    }
    let now_ms = fleet.now_ms;
    let effects =
        receive_request(&mut fleet.hosts[0], now_ms, 1, incoming_request("lookup"));
    let refusals = refusals(&effects);
    assert_eq!(refusals[0].reason, Reason::NoTarget);
    assert_eq!(refusals[0].verdict, Verdict::NotRun);
    assert!(refusals[0].retry_after_ms.is_some());
}

/// Guards against requests to a target that has refused one and asked for a pause: each of
/// them costs the target, and the caller an attempt.
#[test]
fn a_target_that_asks_for_a_pause_gets_no_requests_from_that_host() {
    struct Case {
        name: &'static str,
        pause_ms: u64,
        /// Time from the refusal to the requests.
        after_ms: u64,
        /// The notice of an answer that arrives after half a second.
        meanwhile: Option<TargetNotice>,
        is_used: bool,
    }
    let cases = [
        Case {
            name: "at once",
            pause_ms: 2_000,
            after_ms: 0,
            meanwhile: None,
            is_used: false,
        },
        Case {
            name: "shortly before the end",
            pause_ms: 2_000,
            after_ms: 1_900,
            meanwhile: None,
            is_used: false,
        },
        Case {
            name: "an earlier request is answered meanwhile",
            pause_ms: 2_000,
            after_ms: 1_000,
            meanwhile: Some(TargetNotice::default()),
            is_used: false,
        },
        Case {
            name: "an earlier request is refused meanwhile, with a shorter pause",
            pause_ms: 2_000,
            after_ms: 1_000,
            meanwhile: Some(pause(200)),
            is_used: false,
        },
        Case {
            name: "after the end",
            pause_ms: 2_000,
            after_ms: 2_100,
            meanwhile: None,
            is_used: true,
        },
        Case {
            name: "days are not taken literally",
            pause_ms: 200_000_000,
            after_ms: PAUSE_MAX_MS + 100,
            meanwhile: None,
            is_used: true,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(2, &["upp-a"], &targets());
        receive_notice(&mut fleet, 0, "roster-1", pause(case.pause_ms));
        if let Some(notice) = case.meanwhile {
            fleet.advance(500);
            receive_notice(&mut fleet, 0, "roster-1", notice);
            fleet.advance(case.after_ms - 500);
        } else {
            fleet.advance(case.after_ms);
        }
        let is_used = uses(&mut fleet, 0, "roster-1");
        assert_eq!(is_used, case.is_used, "{}", case.name);
        let is_used = uses(&mut fleet, 1, "roster-1");
        assert!(is_used, "{}: the pause is for one host alone", case.name);
    }
}

#[test]
fn requests_are_refused_with_the_end_of_the_pause_if_all_targets_ask_for_one() {
    let mut fleet = Fleet::new(1, &["upp-a"], &targets());
    for (target, pause_ms) in [
        ("roster-1", 9_000),
        ("roster-2", 5_000),
        ("roster-3", 7_000),
    ] {
        receive_notice(&mut fleet, 0, target, pause(pause_ms));
    }
    let now_ms = fleet.now_ms;
    let effects =
        receive_request(&mut fleet.hosts[0], now_ms, 1, incoming_request("lookup"));
    let refusals = refusals(&effects);
    assert_eq!(refusals[0].reason, Reason::TargetsLimited);
    assert_eq!(refusals[0].verdict, Verdict::NotRun);
    let retry_after_ms = refusals[0].retry_after_ms.expect("a time");
    assert!(
        (5_000..=6_000).contains(&retry_after_ms),
        "{retry_after_ms} ms"
    );
}

/// What happens right after a host has been told, before its next request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Nothing,
    /// The host that reads the store for all is killed.
    ReaderKilled,
    /// The zone of the host is cut off from the others and from the store.
    ZoneCutOff,
    /// The host is suspended for some seconds.
    HostSuspended,
    /// The messages of all hosts are lost for some seconds.
    MessagesLost,
}

/// Time that a fault lasts; shorter than the pause that the target asks for.
const FAULT_MS: u64 = 3_000;

/// A host that was told by a target itself keeps to it whatever happens to the rest of the
/// fleet, and the requests that the target would get are spread over the others.
#[test]
fn a_host_keeps_to_a_notice_in_a_fleet_of_any_size_and_under_faults() {
    let faults = [
        Fault::Nothing,
        Fault::ReaderKilled,
        Fault::ZoneCutOff,
        Fault::HostSuspended,
        Fault::MessagesLost,
    ];
    let notices = [("leaving", leaving()), ("pause", pause(5_000))];
    for hosts in [8, 61, 195] {
        for (name, notice) in notices {
            for fault in faults {
                // The largest fleet takes minutes for all of them.
                let is_covered = hosts < 195 || fault == Fault::ZoneCutOff;
                if is_covered {
                    check_notice(hosts, name, notice, fault);
                }
            }
        }
    }
}

fn check_notice(hosts: u16, name: &str, notice: TargetNotice, fault: Fault) {
    const TOLD: usize = 4;
    let case = format!("{hosts} hosts, {name}, {fault:?}");
    let zones = ["upp-a", "upp-b", "vas-a", "ore-a"];
    let mut fleet = Fleet::new(hosts, &zones, &targets());
    let reader = *fleet.readers.last().expect("a host reads the store");
    let effects = receive_notice(&mut fleet, TOLD, "roster-1", notice);
    fleet.execute(TOLD, effects, true);
    let in_zone = (TOLD % zones.len()..usize::from(hosts)).step_by(zones.len());
    match fault {
        Fault::Nothing => {}
        Fault::ReaderKilled if reader != TOLD => drop(fleet.silent.insert(reader)),
        Fault::ReaderKilled => {}
        Fault::ZoneCutOff => {
            fleet.isolated.extend(in_zone.clone());
            fleet.refused.extend(in_zone);
        }
        Fault::HostSuspended => drop(fleet.silent.insert(TOLD)),
        Fault::MessagesLost => fleet.loses_messages = true,
    }
    if fault != Fault::HostSuspended {
        assert!(!uses(&mut fleet, TOLD, "roster-1"), "{case}: at once");
    }
    fleet.advance(FAULT_MS);
    fleet.silent.swap_remove(&TOLD);
    assert!(!uses(&mut fleet, TOLD, "roster-1"), "{case}: later");
    fleet.isolated.clear();
    fleet.refused.clear();
    fleet.loses_messages = false;
    fleet.advance(25);
    assert!(
        !uses(&mut fleet, TOLD, "roster-1"),
        "{case}: after the fault"
    );
    // A pause concerns the host that was told; a target that leaves, all hosts.
    fleet.advance(1_500);
    let other = (TOLD + 1) % usize::from(hosts);
    let is_used = uses(&mut fleet, other, "roster-1");
    assert_eq!(is_used, notice.pause_ms.is_some(), "{case}: another host");
    let used = targets_of(&mut fleet.hosts[TOLD], fleet.now_ms, "lookup");
    assert!(used.len() >= 2, "{case}: all requests go to {used:?}");
}
