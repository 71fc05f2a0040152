//! Application of edits to the settings tree, differences of trees, and inverse edits.

use proptest::prelude::*;
use serde_json::{Value, json};
use toucancleat_core::settings::{Edit, Tree};

use crate::trees;

struct Case {
    name: &'static str,
    edits: Vec<Edit>,
    expected: Result<Value, &'static str>,
}

fn example() -> Tree {
    serde_json::from_value(json!({
        "zones": ["a"],
        "fleet": {"kinds": {"draft": {"priority": 3}}},
        "live_events": {"e": {
            "starts_at_unix_ms": 1, "ends_at_unix_ms": 2,
            "organisations": {"o": {"api_key_sha256": ["00"]}},
        }},
    }))
    .expect("the example is a tree")
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            name: "value is replaced",
            edits: vec![Edit::set("/fleet/kinds/draft/priority", json!(9))],
            expected: Ok(json!({"fleet": {"kinds": {"draft": {"priority": 9}}}})),
        },
        Case {
            name: "missing objects on the path are created",
            edits: vec![Edit::set(
                "/live_events/e/organisations/o/level/kinds/k/priority",
                json!(1),
            )],
            expected: Ok(
                json!({"live_events": {"e": {"organisations": {"o": {"level": {
                "kinds": {"k": {"priority": 1}}}}}}}}),
            ),
        },
        Case {
            name: "new organisation is created",
            edits: vec![Edit::set(
                "/live_events/e/organisations/p/level/values/priority",
                json!(1),
            )],
            expected: Ok(
                json!({"live_events": {"e": {"organisations": {"p": {"level": {
                "values": {"priority": 1}}}}}}}),
            ),
        },
        Case {
            name: "edit of an event's own field keeps its organisations",
            edits: vec![Edit::set("/live_events/e/ends_at_unix_ms", json!(7))],
            expected: Ok(json!({"live_events": {"e": {"ends_at_unix_ms": 7,
                "organisations": {"o": {"api_key_sha256": ["00"]}}}}})),
        },
        Case {
            name: "list is replaced as a whole",
            edits: vec![Edit::set("/zones", json!(["a", "b"]))],
            expected: Ok(json!({"zones": ["a", "b"]})),
        },
        Case {
            name: "removal of a value that isn't set",
            edits: vec![Edit::remove("/fleet/values/priority")],
            expected: Err(
                "/fleet/values/priority: expected a value to remove, found none",
            ),
        },
        Case {
            name: "removal below an object that isn't set",
            edits: vec![Edit::remove("/fleet/kinds/k/priority")],
            expected: Err(
                "/fleet/kinds/k/priority: expected a value to remove, found none",
            ),
        },
        Case {
            name: "path into a list",
            edits: vec![Edit::set("/zones/0", json!("b"))],
            expected: Err(
                "/zones/0: expected an object at /zones; a list or a single value \
                           is replaced whole",
            ),
        },
        Case {
            name: "path that isn't a JSON pointer",
            edits: vec![Edit::set("fleet.values.priority", json!(1))],
            expected: Err("fleet.values.priority: expected a JSON pointer, such as \
                           /fleet/values/priority"),
        },
        Case {
            name: "value of another type",
            edits: vec![Edit::set("/fleet/values/timeout_ms", json!("3 s"))],
            expected: Err(
                "/fleet/values/timeout_ms: invalid type: string \"3 s\", expected u64",
            ),
        },
        Case {
            name: "unknown field of an organisation",
            edits: vec![Edit::set(
                "/live_events/e/organisations/o/colour",
                json!("red"),
            )],
            expected: Err(
                "/live_events/e/organisations/o/colour: unknown field `colour`, \
                           expected `api_key_sha256` or `level`",
            ),
        },
        Case {
            name: "no edit is applied when a later one fails",
            edits: vec![
                Edit::set("/zones", json!([])),
                Edit::remove("/fleet/values/priority"),
            ],
            expected: Err(
                "/fleet/values/priority: expected a value to remove, found none",
            ),
        },
    ]
}

/// Returns true if `actual` contains every entry of `expected`.
fn contains(actual: &Value, expected: &Value) -> bool {
    match (actual, expected) {
        (Value::Object(actual), Value::Object(expected)) => expected
            .iter()
            .all(|(name, value)| actual.get(name).is_some_and(|a| contains(a, value))),
        _ => actual == expected,
    }
}

#[test]
fn edits_apply_as_a_whole_and_can_be_undone() {
    for case in cases() {
        let before = example();
        let applied = before.apply(&case.edits);
        assert_eq!(
            before,
            example(),
            "{}: the tree before the edits changed",
            case.name
        );
        match (applied, case.expected) {
            (Ok(applied), Ok(expected)) => {
                let actual = applied.tree.get("").expect("the empty pointer is the tree");
                assert!(contains(&actual, &expected), "{}: {actual}", case.name);
                let undone = applied.tree.apply(&applied.inverse);
                assert_eq!(undone.map(|a| a.tree), Ok(before), "{}: undo", case.name);
            }
            (Err(error), Err(expected)) => {
                assert_eq!(error.to_string(), expected, "{}", case.name);
            }
            (actual, expected) => {
                panic!("{}: {actual:?}, expected {expected:?}", case.name)
            }
        }
    }
}

proptest! {
    #![proptest_config(trees::config())]

    #[test]
    fn difference_of_two_trees_turns_one_into_the_other(
        before in trees::tree(),
        after in trees::tree(),
    ) {
        let applied = before.apply(&before.diff(&after)).expect("a difference applies");
        prop_assert_eq!(&applied.tree, &after);
        prop_assert!(applied.tree.diff(&after).is_empty());
    }

    #[test]
    fn inverse_edits_restore_the_tree(before in trees::tree(), after in trees::tree()) {
        let applied = before.apply(&before.diff(&after)).expect("a difference applies");
        let undone = applied.tree.apply(&applied.inverse).expect("the inverse applies");
        prop_assert_eq!(undone.tree, before);
    }

    #[test]
    fn edits_of_arbitrary_path_and_value_do_not_panic(
        tree in trees::tree(),
        path in "(/(fleet|values|kinds|priority|live_events|e|organisations|x|level|[a-z~]{0,3})){0,6}",
        value in prop::option::of(prop_oneof![
            Just(json!({})), Just(json!([])), Just(json!(1)), Just(Value::Null),
        ]),
    ) {
        let edit = Edit { path, value };
        if let Ok(applied) = tree.apply(&[edit]) {
            let undone = applied.tree.apply(&applied.inverse).expect("the inverse applies");
            prop_assert_eq!(undone.tree, tree);
        }
    }
}
