//! Dissemination of settings from the point of view of one host.

use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};
use toucancleat_core::dissemination::{self, Config, Effect, Event, Message, State};
use toucancleat_core::prelude::*;
use toucancleat_core::settings::store::{HEAD_ROW, Head, Row, change_row};
use toucancleat_core::settings::{Change, Edit, Tree};

fn change(revision: u64) -> Change {
    Change {
        revision: Revision(revision),
        change_id: ChangeId(revision.into()),
        author: "operator".to_owned(),
        at_unix_ms: 0,
        edits: vec![Edit::set(
            &format!("/fleet/kinds/k{revision}/timeout_ms"),
            json!(1),
        )],
    }
}

/// Returns the tree after all changes up to a revision, each of which adds a kind of its
/// own.
fn tree(revision: u64) -> Arc<Tree> {
    let edits: Vec<_> = (1..=revision).flat_map(|n| change(n).edits).collect();
    Arc::new(Tree::default().apply(&edits).expect("a tree").tree)
}

fn delta(changes: &[u64], revision: u64) -> Message {
    let changes = changes.iter().copied().map(change).collect();
    Message::Delta {
        changes,
        revision: Revision(revision),
        age_ms: 0,
    }
}

fn snapshot(revision: u64) -> Message {
    Message::Snapshot {
        revision: Revision(revision),
        tree: tree(revision),
        age_ms: 0,
    }
}

fn announce(revision: u64) -> Message {
    Message::Announce {
        revision: Revision(revision),
        age_ms: 0,
    }
}

fn apply(state: &mut State, now_ms: u64, event: Event) -> Vec<Effect> {
    let mut effects = Vec::new();
    dissemination::reduce(state, now_ms, event, &mut effects);
    effects
}

fn receive(state: &mut State, now_ms: u64, message: Message) -> Vec<Effect> {
    let from = HostName::new("entry-2");
    apply(state, now_ms, Event::MessageReceived { from, message })
}

/// Returns a host in a zone with two peers that has received its tree from one of them.
fn host_at(revision: u64) -> State {
    let mut state = host();
    receive(&mut state, 0, snapshot(revision));
    state
}

fn host() -> State {
    let mut state = State::new(Config::default(), 7);
    set_peers(&mut state, false);
    state
}

fn set_peers(state: &mut State, is_reader: bool) {
    let zone = vec![HostName::new("entry-2"), HostName::new("entry-3")];
    let other_zones = vec![HostName::new("far-1")];
    apply(
        state,
        0,
        Event::PeersChanged {
            zone,
            other_zones,
            is_reader,
        },
    );
}

fn in_force(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        Effect::PutInForce { revision, .. } => Some(revision.0),
        _ => None,
    })
}

fn pulls(effects: &[Effect]) -> Vec<(&str, Option<u64>)> {
    let pull = |effect| match effect {
        &Effect::Send {
            ref to,
            message: Message::Pull { known_revision },
        } => Some((to.as_str(), known_revision.map(|have| have.0))),
        _ => None,
    };
    effects.iter().filter_map(pull).collect()
}

fn row(name: &str, value: Value) -> Row {
    Row {
        row: name.to_owned(),
        version: Some(1),
        value,
    }
}

fn head_row(revision: u64) -> Row {
    let head = Head {
        revision: Revision(revision),
        change_id: ChangeId(revision.into()),
    };
    row(HEAD_ROW, serde_json::to_value(head).expect("JSON"))
}

fn change_rows(revisions: std::ops::RangeInclusive<u64>) -> Vec<Row> {
    let as_row = |revision| {
        let value = serde_json::to_value(change(revision)).expect("JSON");
        row(&change_row(Revision(revision)), value)
    };
    revisions.map(as_row).collect()
}

#[test]
fn messages_advance_the_revision_or_cause_a_pull() {
    struct Case {
        name: &'static str,
        message: Message,
        revision: u64,
        pulls: &'static [(&'static str, Option<u64>)],
    }
    let case = |name, message, revision, pulls| Case {
        name,
        message,
        revision,
        pulls,
    };
    let pull: &[_] = &[("entry-2", Some(5))];
    let cases = [
        case("following change", delta(&[6], 6), 6, &[]),
        case(
            "changes that overlap with the held ones",
            delta(&[4, 5, 6, 7], 7),
            7,
            &[],
        ),
        case("change already applied", delta(&[4], 4), 5, &[]),
        case("change after a gap", delta(&[7], 7), 5, pull),
        case(
            "change below the revision of the sender",
            delta(&[6], 9),
            6,
            &[("entry-2", Some(6))],
        ),
        case("later tree", snapshot(9), 9, &[]),
        case("earlier tree", snapshot(3), 5, &[]),
        case("same revision", announce(5), 5, &[]),
        case("higher revision", announce(6), 5, pull),
        case("lower revision", announce(4), 5, &[]),
        case(
            "pull by a peer that holds a later revision",
            Message::Pull {
                known_revision: Some(Revision(8)),
            },
            5,
            pull,
        ),
    ];
    for case in cases {
        let mut state = host_at(5);
        let effects = receive(&mut state, 10, case.message);
        assert_eq!(
            state.revision(),
            Some(Revision(case.revision)),
            "{}",
            case.name
        );
        let expected = (case.revision != 5).then_some(case.revision);
        assert_eq!(in_force(&effects), expected, "{}", case.name);
        assert_eq!(pulls(&effects), case.pulls, "{}", case.name);
        assert_eq!(state.tree(), Some(&tree(case.revision)), "{}", case.name);
    }
}

#[test]
fn pull_is_answered_with_the_missing_changes_or_the_tree() {
    let mut state = host_at(5);
    receive(&mut state, 0, delta(&[6, 7], 7));
    let reply = |state: &mut State, have: Option<u64>| {
        let message = Message::Pull {
            known_revision: have.map(Revision),
        };
        match receive(state, 0, message).remove(0) {
            Effect::Send { message, .. } => message,
            effect => panic!("{effect:?}"),
        }
    };
    assert_eq!(reply(&mut state, Some(6)), delta(&[7], 7));
    assert_eq!(reply(&mut state, Some(7)), delta(&[], 7));
    assert_eq!(reply(&mut state, Some(2)), snapshot(7));
    assert_eq!(reply(&mut state, None), snapshot(7));
    let mut empty = host();
    assert_eq!(
        receive(
            &mut empty,
            0,
            Message::Pull {
                known_revision: None
            }
        ),
        []
    );
}

#[test]
fn update_is_forwarded_once_and_not_to_its_sender() {
    let mut state = host_at(5);
    let effects = receive(&mut state, 10, delta(&[6], 6));
    let sent: Vec<_> = effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Send {
                to,
                message: Message::Delta { .. },
            } => Some(to.as_str()),
            _ => None,
        })
        .collect();
    assert_eq!(sent, ["entry-3"]);
    assert_eq!(receive(&mut state, 11, delta(&[6], 6)), []);
}

#[test]
fn host_with_stale_settings_queries_its_zone_then_another_then_the_platform() {
    let mut state = host_at(5);
    assert_eq!(apply(&mut state, 2_999, Event::Tick), []);
    let mut queried = Vec::new();
    let mut now_ms = 3_000;
    while queried.len() < 3 {
        for effect in apply(&mut state, now_ms, Event::Tick) {
            queried.push(match effect {
                Effect::Send { to, .. } if to.as_str() == "far-1" => "other zone",
                Effect::Send { .. } => "zone",
                Effect::ReadRows { .. } => "platform",
                effect => panic!("{effect:?}"),
            });
        }
        now_ms += 50;
    }
    assert_eq!(queried, ["zone", "other zone", "platform"]);
}

#[test]
fn platform_reads_of_a_host_with_stale_settings_stay_within_the_budget() {
    let mut state = host_at(5);
    let config = Config::default();
    let hour_ms = 3_600_000;
    let mut reads = 0;
    for now_ms in (0..hour_ms).step_by(250) {
        for effect in apply(&mut state, now_ms, Event::Tick) {
            reads += u64::from(matches!(effect, Effect::ReadRows { .. }));
        }
    }
    let bound = u64::from(config.budget_reads_max) + hour_ms / config.budget_refill_ms;
    assert!((1..=bound).contains(&reads), "{reads} reads, bound {bound}");
}

#[test]
fn reader_applies_a_change_after_one_read() {
    let mut state = host_at(5);
    set_peers(&mut state, true);
    let effects = apply(&mut state, 100, Event::Tick);
    let Effect::ReadRows { read, rows } = &effects[0] else {
        panic!("{effects:?}")
    };
    assert_eq!(rows[..2], [HEAD_ROW.to_owned(), change_row(Revision(6))]);
    let mut rows = change_rows(6..=6);
    rows.push(head_row(6));
    let reply = Event::RowsRead {
        read: *read,
        rows: Some(rows),
    };
    let effects = apply(&mut state, 110, reply.clone());
    assert_eq!(in_force(&effects), Some(6));
    assert_eq!(state.age_ms(110), Some(10));
    let reads = |effect: &Effect| matches!(effect, Effect::ReadRows { .. });
    assert!(!effects.iter().any(reads));
    assert_eq!(apply(&mut state, 120, reply), [], "a duplicate reply");
}

#[test]
fn tree_built_from_its_first_change_is_in_force_only_at_the_head() {
    let mut state = host();
    set_peers(&mut state, true);
    let head = 130;
    let effects = apply(&mut state, 0, Event::Tick);
    let Effect::ReadRows { mut read, .. } = effects[0] else {
        panic!("{effects:?}")
    };
    let mut rows = vec![head_row(head)];
    let mut in_force_revisions = Vec::new();
    for last in [64, 128, 130] {
        let effects = apply(
            &mut state,
            0,
            Event::RowsRead {
                read,
                rows: Some(rows),
            },
        );
        in_force_revisions.extend(in_force(&effects));
        let next = effects.iter().find_map(|effect| match effect {
            Effect::ReadRows { read, .. } => Some(*read),
            _ => None,
        });
        read = next.expect("another read");
        rows = change_rows(last - (last - 1) % 64..=last);
    }
    let effects = apply(
        &mut state,
        0,
        Event::RowsRead {
            read,
            rows: Some(rows),
        },
    );
    in_force_revisions.extend(in_force(&effects));
    assert_eq!(in_force_revisions, [head]);
}

#[test]
fn change_that_cannot_be_applied_leaves_the_tree_in_force() {
    let mut state = host_at(5);
    let mut broken = change(6);
    broken.edits = vec![Edit::set("/nowhere", json!(1))];
    let message = Message::Delta {
        changes: vec![broken],
        revision: Revision(6),
        age_ms: 0,
    };
    let effects = receive(&mut state, 0, message);
    assert!(effects.contains(&Effect::ChangeRejected {
        revision: Revision(6)
    }));
    assert_eq!(state.revision(), Some(Revision(5)));
}

fn any_message() -> impl Strategy<Value = Message> {
    prop_oneof![
        (1..12u64, 0..4u64, 0..14u64).prop_map(|(first, count, revision)| {
            let changes: Vec<_> = (first..first + count).collect();
            delta(&changes, revision)
        }),
        (0..12u64).prop_map(snapshot),
        (0..14u64).prop_map(announce),
        proptest::option::of(0..14u64).prop_map(|have| Message::Pull {
            known_revision: have.map(Revision)
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn revision_never_decreases_and_matches_its_tree(
        messages in proptest::collection::vec(any_message(), 1..40),
    ) {
        let mut state = host();
        let mut highest = None;
        for (now_ms, message) in messages.into_iter().enumerate() {
            receive(&mut state, now_ms as u64, message);
            prop_assert!(state.revision() >= highest);
            highest = state.revision();
            if let Some(revision) = highest {
                prop_assert_eq!(state.tree(), Some(&tree(revision.0)));
            }
        }
    }
}
