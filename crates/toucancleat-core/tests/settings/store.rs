//! Commits of settings changes, and reads of the head, the changes and the snapshots.

use serde_json::{Value, json};
use toucancleat_core::prelude::*;
use toucancleat_core::settings::store::{
    self, CommitOutcome, Head, ReadPlan, Row, TransactionReply, VersionedHead,
};
use toucancleat_core::settings::{Change, Edit};

fn change(revision: u64, change_id: u128) -> Change {
    Change {
        revision: Revision(revision),
        change_id: ChangeId(change_id),
        author: "asa".to_owned(),
        at_unix_ms: 1_000,
        edits: vec![Edit::set("/fleet/values/priority", json!(7))],
    }
}

fn change_row(change: &Change) -> Row {
    Row {
        row: store::change_row(change.revision),
        version: Some(1),
        value: serde_json::to_value(change).expect("a change is JSON"),
    }
}

fn head_row(revision: u64, change_id: u128) -> Row {
    let head = Head {
        revision: Revision(revision),
        change_id: ChangeId(change_id),
    };
    let value = serde_json::to_value(head).expect("a head is JSON");
    Row {
        row: store::HEAD_ROW.to_owned(),
        version: Some(4),
        value,
    }
}

#[test]
fn commit_is_one_transaction_conditional_on_the_head_that_was_read() {
    let head = Head {
        revision: Revision(11),
        change_id: ChangeId(1),
    };
    let request = store::commit_request(
        &change(12, 2),
        &VersionedHead {
            head,
            version: Some(4),
        },
    );
    let expected = json!({
        "conditions": [
            {"table": "settings", "row": "head", "version": 4},
            {"table": "settings", "row": "change/000000000012", "version": null},
        ],
        "writes": [
            {"table": "settings", "row": "head", "value": {
                "revision": 12, "change_id": "00000000000000000000000000000002"}},
            {"table": "settings", "row": "change/000000000012", "value": {
                "revision": 12, "change_id": "00000000000000000000000000000002",
                "author": "asa", "at_unix_ms": 1000,
                "edits": [{"path": "/fleet/values/priority", "value": 7}]}},
        ],
    });
    assert_eq!(
        serde_json::to_value(request).expect("a request is JSON"),
        expected
    );
}

#[test]
fn replies_to_a_commit_determine_its_outcome() {
    struct Case {
        name: &'static str,
        reply: TransactionReply,
        expected: CommitOutcome,
    }
    let other = change(12, 9);
    let cases = [
        Case {
            name: "applied",
            reply: TransactionReply::Applied,
            expected: CommitOutcome::Accepted,
        },
        Case {
            name: "earlier send was applied and its reply lost",
            reply: TransactionReply::Conflict(vec![
                head_row(12, 2),
                change_row(&change(12, 2)),
            ]),
            expected: CommitOutcome::Accepted,
        },
        Case {
            name: "earlier send was applied and later changes followed",
            reply: TransactionReply::Conflict(vec![
                head_row(15, 7),
                change_row(&change(12, 2)),
            ]),
            expected: CommitOutcome::Accepted,
        },
        Case {
            name: "another operator committed first",
            reply: TransactionReply::Conflict(vec![head_row(12, 9), change_row(&other)]),
            expected: CommitOutcome::Conflict {
                other: Some(other.clone()),
            },
        },
        Case {
            name: "another operator committed first and the reply lacks the change",
            reply: TransactionReply::Conflict(vec![head_row(12, 9)]),
            expected: CommitOutcome::Conflict { other: None },
        },
        Case {
            name: "table unavailable",
            reply: TransactionReply::Unavailable {
                retry_after_ms: 500,
            },
            expected: CommitOutcome::Unavailable {
                retry_after_ms: 500,
            },
        },
        Case {
            name: "reply lost",
            reply: TransactionReply::Unknown,
            expected: CommitOutcome::Unknown,
        },
    ];
    for case in cases {
        let outcome = store::interpret_commit_reply(&change(12, 2), &case.reply);
        assert_eq!(outcome, case.expected, "{}", case.name);
    }
}

#[test]
fn invalid_head_row_is_not_taken_for_a_missing_one() {
    let none = store::read_head(&[]);
    assert_eq!(
        none,
        Some(VersionedHead::default()),
        "no head before the first change"
    );
    let read = store::read_head(&[head_row(3, 5)]).expect("the row is a head");
    assert_eq!((read.head.revision, read.version), (Revision(3), Some(4)));
    let broken = Row {
        value: Value::Null,
        ..head_row(3, 5)
    };
    assert_eq!(store::read_head(&[broken]), None);
}

#[test]
fn changes_are_read_in_order_up_to_the_first_gap_or_invalid_row() {
    let rows = [4, 2, 1, 3, 6].map(|revision| change_row(&change(revision, 1)));
    let read = store::read_changes(Revision(1), &rows);
    let revisions: Vec<u64> = read.iter().map(|change| change.revision.0).collect();
    assert_eq!(revisions, [2, 3, 4]);
    let broken = Row {
        value: json!({"revision": 2}),
        ..rows[1].clone()
    };
    assert!(store::read_changes(Revision(1), &[broken]).is_empty());
}

#[test]
fn reads_are_planned_by_revision_and_head() {
    struct Case {
        held: Option<u64>,
        head: u64,
        expected: ReadPlan,
    }
    let changes = |first: u64, last: u64| {
        ReadPlan::Changes(
            (first..=last)
                .map(|n| store::change_row(Revision(n)))
                .collect(),
        )
    };
    let snapshots = |revisions: &[u64]| {
        let names = revisions
            .iter()
            .map(|n| store::snapshot_object(Revision(*n)));
        ReadPlan::Snapshots(names.collect())
    };
    let cases = [
        Case {
            held: None,
            head: 0,
            expected: ReadPlan::UpToDate,
        },
        Case {
            held: None,
            head: 3,
            expected: changes(1, 3),
        },
        Case {
            held: None,
            head: 255,
            expected: changes(1, 64),
        },
        Case {
            held: None,
            head: 256,
            expected: snapshots(&[256]),
        },
        Case {
            held: None,
            head: 1_100,
            expected: snapshots(&[1_024, 768, 512]),
        },
        Case {
            held: Some(0),
            head: 1_100,
            expected: changes(1, 64),
        },
        Case {
            held: Some(1_024),
            head: 1_100,
            expected: changes(1_025, 1_088),
        },
        Case {
            held: Some(1_088),
            head: 1_100,
            expected: changes(1_089, 1_100),
        },
        Case {
            held: Some(1_100),
            head: 1_100,
            expected: ReadPlan::UpToDate,
        },
        Case {
            held: Some(1_101),
            head: 1_100,
            expected: ReadPlan::UpToDate,
        },
    ];
    for case in cases {
        let plan = store::read_plan(case.held.map(Revision), Revision(case.head));
        assert_eq!(
            plan, case.expected,
            "held {:?}, head {}",
            case.held, case.head
        );
    }
}

#[test]
fn snapshots_are_due_at_multiples_of_the_interval() {
    let due = [0, 1, 255, 256, 257, 512]
        .map(|revision| store::is_snapshot_due(Revision(revision)));
    assert_eq!(due, [false, false, false, true, false, true]);
}
