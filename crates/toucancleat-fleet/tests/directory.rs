//! The host list under late replies, undecodable entries and restarts of targets.

mod support;

use support::*;
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::target::{TargetDirectory, TargetTransition};

#[test]
fn late_list_does_not_restore_a_removed_target() {
    let mut directory = TargetDirectory::default();
    let listed = change("engine-1", 5, Some(entry("engines", "upp-a", 101)));
    directory.replace_all(at(10), &mut vec![listed.clone()]);
    directory.apply_changes(at(12), &mut vec![change("engine-1", 12, None)]);
    assert!(directory.replace_all(at(11), &mut vec![listed]).is_empty());
    assert!(directory.get(&TargetName::new("engine-1")).is_none());
}

#[test]
fn only_leaving_or_restarting_is_a_transition() {
    let ready = || entry("engines", "upp-a", 101);
    let mut leaving = ready();
    leaving.is_leaving = true;
    let mut still_slow = ready();
    still_slow.slow_start_left_ms = 400;
    let mut restarted = ready();
    restarted.started_unix_ms = Some(2);
    struct Case {
        name: &'static str,
        after: Option<toucancleat_fleet::target::TargetEntry>,
        joins: bool,
        leaves: bool,
    }
    let cases = [
        Case {
            name: "heartbeat without changes",
            after: Some(ready()),
            joins: false,
            leaves: false,
        },
        Case {
            name: "heartbeat later in the slow start",
            after: Some(still_slow),
            joins: false,
            leaves: false,
        },
        Case {
            name: "leaving",
            after: Some(leaving),
            joins: false,
            leaves: true,
        },
        Case {
            name: "removed or undecodable",
            after: None,
            joins: false,
            leaves: true,
        },
        Case {
            name: "restarted under the same name",
            after: Some(restarted),
            joins: true,
            leaves: false,
        },
    ];
    for case in cases {
        let mut directory = TargetDirectory::default();
        directory.replace_all(at(1), &mut vec![change("engine-1", 1, Some(ready()))]);
        let digest = directory.digest();
        let transitions =
            directory.apply_changes(at(2), &mut vec![change("engine-1", 2, case.after)]);
        let joins = transitions
            .iter()
            .any(|s| matches!(s, TargetTransition::Joined(..)));
        let leaves = transitions
            .iter()
            .any(|s| matches!(s, TargetTransition::Leaving(..)));
        assert_eq!((joins, leaves), (case.joins, case.leaves), "{}", case.name);
        assert_eq!(directory.known_position(), at(2), "{}", case.name);
        let is_content_change = directory.digest() != digest;
        assert_eq!(is_content_change, joins || leaves, "{}", case.name);
    }
}

#[test]
fn address_reused_by_another_pool_is_another_target() {
    let mut directory = TargetDirectory::default();
    directory.replace_all(
        at(1),
        &mut vec![change("engine-1", 1, Some(entry("engines", "upp-a", 101)))],
    );
    let mut changes = vec![
        change("engine-1", 2, None),
        change("roster-9", 3, Some(entry("roster", "upp-a", 101))),
    ];
    directory.apply_changes(at(3), &mut changes);
    assert_eq!(directory.accepting(&PoolName::new("engines")).count(), 0);
    assert_eq!(directory.accepting(&PoolName::new("roster")).count(), 1);
}

/// With 3,000 targets, a reader that broadcasts heartbeats along with the changes exceeds
/// the size of a datagram.
#[test]
fn heartbeats_are_not_retained_for_broadcast() {
    let ready = || entry("engines", "upp-a", 101);
    let mut leaving = ready();
    leaving.is_leaving = true;
    let mut directory = TargetDirectory::default();
    let list = (1..=3).map(|n| change(&format!("engine-{n}"), 1, Some(ready())));
    directory.replace_all(at(1), &mut list.collect());
    let mut changes = vec![
        change("engine-1", 2, Some(ready())),
        change("engine-2", 3, Some(leaving)),
        change("engine-3", 4, Some(ready())),
        change("engine-2", 5, Some(ready())),
    ];
    directory.apply_changes(at(5), &mut changes);
    let retained: Vec<u64> = changes.iter().map(|change| change.store_version).collect();
    assert_eq!(retained, [3, 5], "the target's leaving and its return");
}

#[test]
fn list_retains_only_what_differs_from_the_known_entries() {
    let ready = |number| entry("engines", "upp-a", number);
    let mut leaving = ready(102);
    leaving.is_leaving = true;
    let mut directory = TargetDirectory::default();
    let list =
        (1..=4).map(|n| change(&format!("engine-{n}"), n, Some(ready(100 + n as u16))));
    directory.replace_all(at(4), &mut list.collect());
    let mut list = vec![
        change("engine-1", 7, Some(ready(101))),
        change("engine-2", 6, Some(leaving)),
        change("engine-3", 8, None),
        change("engine-5", 9, Some(ready(105))),
    ];
    directory.replace_all(at(10), &mut list);
    let retained: Vec<_> = list
        .iter()
        .map(|change| (change.target.as_str(), change.entry.is_some()))
        .collect();
    let expected = [
        ("engine-3", false),
        ("engine-4", false),
        ("engine-2", true),
        ("engine-5", true),
    ];
    assert_eq!(retained, expected, "undecodable, missing, leaving and new");
}
