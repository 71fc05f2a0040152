//! Parsing and checking of settings documents: what is accepted, which problems are
//! reported, and at which positions.

use proptest::prelude::*;
use toucancleat_core::settings::{
    Effective, NumberRange, Problems, Tree, Values, check, parse,
};

use crate::trees;

struct Case {
    name: &'static str,
    text: &'static str,
    expected: &'static [&'static str],
}

/// Documents that can't be deserialized as a tree.
const UNREADABLE: &[Case] = &[
    Case {
        name: "empty document",
        text: "",
        expected: &["1:1: expected an object, found nothing"],
    },
    Case {
        name: "unterminated object",
        text: "{\n\"fleet\": {",
        expected: &["2:10: Unterminated object"],
    },
    Case {
        name: "single quotes",
        text: "{'fleet': {}}",
        expected: &["1:2: Single-quoted strings are not allowed"],
    },
    Case {
        name: "text after the end",
        text: "{} {}",
        expected: &["1:4: Text cannot contain more than one JSON value"],
    },
    Case {
        name: "not an object",
        text: "// settings\n 3",
        expected: &["2:2: invalid type: integer `3`, expected struct Tree"],
    },
    Case {
        name: "duplicate name",
        text: "{\"fleet\": {\"kinds\": {\n  \"draft\": {},\n  \"draft\": {}}}}",
        expected: &[
            "3:3: /fleet/kinds/draft: expected each name once, found `draft` again",
        ],
    },
    Case {
        name: "unknown field",
        text: "{\n  \"colour\": 3}",
        expected: &[
            "2:3: /colour: unknown field `colour`, expected one of `zones`, `pools`, \
                     `fleet`, `live_events`",
        ],
    },
    Case {
        name: "field name with another unit",
        text: "{\"fleet\": {\"values\": {\n  \"timeout_s\": 3}}}",
        expected: &[
            "2:3: /fleet/values/timeout_s: unknown field `timeout_s`, expected \
                     `timeout_ms`",
        ],
    },
    Case {
        name: "unit in the value, after multi-byte characters",
        text: "{\"fleet\": {\"values\": {\n /* 予算 */ \"timeout_ms\": \"3 s\"}}}",
        expected: &[
            "2:25: /fleet/values/timeout_ms: invalid type: string \"3 s\", expected u64",
        ],
    },
    Case {
        name: "missing field",
        text: "{\"pools\": {\n \"p\": {}}}",
        expected: &["2:7: /pools/p: missing field `class`"],
    },
    Case {
        name: "invalid field is not reported again as missing",
        text: "{\"pools\": {\"p\": {\n  \"class\": \"engine\"}}}",
        expected: &[
            "2:12: /pools/p/class: unknown variant `engine`, expected `model_engine` or \
                     `service`",
        ],
    },
    Case {
        name: "several problems are reported together",
        text: "{\"zones\": [\"a\", 7],\n\"fleet\": {\"values\": {\"priority\": 300, \"x\": 1,\n\
               \"share_weight\": 1e999}}}",
        expected: &[
            "1:17: /zones/1: invalid type: integer `7`, expected a string",
            "2:34: /fleet/values/priority: invalid value: integer `300`, expected u8",
            "2:39: /fleet/values/x: unknown field `x`",
            "3:17: /fleet/values/share_weight: invalid type: string \"1e999\", expected f64",
        ],
    },
];

/// Documents that can be deserialized but fail the check, each after [`VALID_START`]'s
/// pools and zones.
const INVALID: &[Case] = &[
    Case {
        name: "numbers out of range",
        text: r#""fleet": {"values": {"priority": 10, "retry_budget_ratio": -0.5}}"#,
        expected: &[
            "/fleet/values/priority: expected a number from 0 to 9, found 10",
            "/fleet/values/retry_budget_ratio: expected a number from 0 to 1, found -0.5",
        ],
    },
    Case {
        name: "unknown pool",
        text: r#""fleet": {"kinds": {"draft": {"pool": "nowhere"}}}"#,
        expected: &["/fleet/kinds/draft/pool: expected one of `pools`, found `nowhere`"],
    },
    Case {
        name: "kind without a pool, reported once",
        text: r#""fleet": {"kinds": {"draft": {}}}, "live_events": {"e": {
            "starts_at_unix_ms": 1, "ends_at_unix_ms": 2, "level": {"values": {"priority": 1}}}}"#,
        expected: &[
            "/fleet/kinds/draft: expected `pool` to be set here or at a level above, \
             found none",
        ],
    },
    Case {
        name: "event that ends when it starts",
        text: r#""live_events": {"e": {"starts_at_unix_ms": 5, "ends_at_unix_ms": 5}}"#,
        expected: &[
            "/live_events/e/ends_at_unix_ms: expected a time after starts_at_unix_ms (5), \
             found 5",
        ],
    },
    Case {
        name: "malformed key hash",
        text: r#""live_events": {"e": {"starts_at_unix_ms": 1, "ends_at_unix_ms": 2,
            "organisations": {"o": {"api_key_sha256": ["abc"]}}}}"#,
        expected: &[
            "/live_events/e/organisations/o/api_key_sha256/0: expected 64 hexadecimal \
                     digits",
        ],
    },
    Case {
        name: "one key of two organisations, in different case",
        text: r#""live_events": {"e": {"starts_at_unix_ms": 1, "ends_at_unix_ms": 2,
            "organisations": {
            "o": {"api_key_sha256":
                ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]},
            "p": {"api_key_sha256":
                ["AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"]}}}}"#,
        expected: &[
            "/live_events/e/organisations/p/api_key_sha256/0: expected a key \
             of one organisation only, found it at `o`",
        ],
    },
    Case {
        name: "names that are invalid in a header or a row",
        text: r#""live_events": {"a/b": {"starts_at_unix_ms": 1, "ends_at_unix_ms": 2,
            "organisations": {"": {}}}}"#,
        expected: &[
            "/live_events/a~1b: name `a/b`: expected 1 to 64 letters, digits, `-`, `_` or `.`",
            "/live_events/a~1b/organisations/: name ``: expected 1 to 64 letters, digits, `-`, \
             `_` or `.`",
        ],
    },
    Case {
        name: "inner timeout longer than the outer one",
        text: r#""fleet": {"values": {"timeout_ms": 1000}, "kinds":
            {"draft": {"pool": "engines", "first_token_timeout_ms": 2000}}}"#,
        expected: &["/fleet/kinds/draft/first_token_timeout_ms: expected \
                     first_token_timeout_ms to be at most timeout_ms"],
    },
    Case {
        name: "lower level declares a kind idempotent",
        text: r#""fleet": {"kinds": {"booking": {"pool": "services", "idempotent": false}}},
            "live_events": {"e": {"starts_at_unix_ms": 1, "ends_at_unix_ms": 2, "organisations":
            {"o": {"level": {"kinds": {"booking": {"idempotent": true}}}}}}}"#,
        expected: &[
            "/live_events/e/organisations/o/level/kinds/booking/idempotent: expected \
             `false` as at a level above, found `true`",
        ],
    },
    Case {
        name: "model engines declared to deduplicate keys",
        text: r#""fleet": {"kinds": {"draft": {"pool": "engines", "target_deduplicates": true}}}"#,
        expected: &[
            "/fleet/kinds/draft/target_deduplicates: expected a pool of services, found \
             model engines, which don't deduplicate keys",
        ],
    },
    Case {
        name: "all weights zero",
        text: r#""fleet": {"values": {"weight_stall_time": 0, "weight_preemptions": 0,
            "weight_tail_latency": 0}, "kinds": {"draft": {"pool": "engines"}}}"#,
        expected: &[
            "/fleet/values/weight_tail_latency: expected one of the weights to be above 0, \
             found a sum of 0",
        ],
    },
];

/// Documents with invalid zones, pools or targets.
const INVALID_TARGETS: &[Case] = &[
    Case {
        name: "duplicate zone",
        text: r#"{"zones": ["a", "a"]}"#,
        expected: &["/zones/1: expected each zone once, found `a` again"],
    },
    Case {
        name: "unknown zone, host name as an address, engine without sizes",
        text: r#"{"pools": {"p": {"class": "model_engine", "targets": {"t": {
            "zone": "b", "address": "localhost:80"}}}}}"#,
        expected: &[
            "/pools/p/targets/t/max_batch: expected at least 1 for a model engine, found 0",
            "/pools/p/targets/t/memory_tokens: expected at least 1 for a model engine, found 0",
            "/pools/p/targets/t/zone: expected one of `zones`, found `b`",
            "/pools/p/targets/t/address: expected an IP address and a port, such as \
             127.0.0.1:8000, found `localhost:80`",
        ],
    },
    Case {
        name: "target name and address in two pools",
        text: r#"{"zones": ["a"], "pools": {
            "p": {"class": "service", "targets": {"t": {"zone": "a", "address": "127.0.0.1:1"}}},
            "q": {"class": "service", "targets": {"t": {"zone": "a", "address": "127.0.0.1:1"}}}
            }}"#,
        expected: &[
            "/pools/q/targets/t: expected a name that no other target has, found it in pool `p`",
            "/pools/q/targets/t/address: expected an address that no other target has, found it at \
             `t`",
        ],
    },
];

const VALID_START: &str = r#"{
    // Trailing commas and comments are accepted.
    "zones": ["a",],
    "pools": {
        "engines": {"class": "model_engine", "targets": {
            "e1": {"zone": "a", "address": "[::1]:1", "memory_tokens": 1, "max_batch": 1}}},
        "services": {"class": "service"},
    },"#;

fn reported(result: Result<Tree, Problems>) -> Vec<String> {
    match result {
        Ok(_) => Vec::new(),
        Err(problems) => problems.to_string().lines().map(str::to_owned).collect(),
    }
}

/// Returns the reported problems without their positions, each of which must be present.
fn reported_without_positions(text: &str) -> Vec<String> {
    let Err(problems) = parse(text) else {
        return Vec::new();
    };
    let problems = problems.as_slice().iter();
    problems
        .map(|problem| {
            assert!(problem.position().is_some(), "{problem} has no position");
            format!("{}: {}", problem.path(), problem.message())
        })
        .collect()
}

#[test]
fn unreadable_documents_are_reported_with_their_positions() {
    for case in UNREADABLE {
        let reported = reported(parse(case.text));
        assert_eq!(
            reported.len(),
            case.expected.len(),
            "{}: {reported:#?}",
            case.name
        );
        for (reported, expected) in reported.iter().zip(case.expected) {
            assert!(reported.starts_with(expected), "{}: {reported}", case.name);
        }
    }
}

#[test]
fn invalid_documents_are_reported() {
    for case in INVALID {
        let text = format!("{VALID_START}{}}}", case.text);
        assert_eq!(
            reported_without_positions(&text),
            case.expected,
            "{}",
            case.name
        );
    }
    for case in INVALID_TARGETS {
        let mut reported = reported_without_positions(case.text);
        let mut expected = case.expected.to_vec();
        reported.sort();
        expected.sort();
        assert_eq!(reported, expected, "{}", case.name);
    }
}

#[test]
fn valid_documents_are_accepted() {
    let text = format!("{VALID_START}}}");
    assert_eq!(reported(parse(&text)), [] as [&str; 0]);
    assert_eq!(check(&Tree::default()), []);
}

#[test]
fn each_number_has_a_range_that_contains_its_default() {
    let defaults = serde_json::to_value(Effective::default()).expect("values are JSON");
    for name in Values::NAMES {
        let default = defaults[*name].as_f64();
        let range = NumberRange::of(name);
        assert_eq!(default.is_some(), range.is_some(), "{name}");
        if let (Some(default), Some(range)) = (default, range) {
            assert!(range.contains(default), "{name}: {default}");
        }
    }
}

proptest! {
    #![proptest_config(trees::config())]

    #[test]
    fn arbitrary_text_does_not_panic(text in "\\PC{0,80}") {
        let _ = parse(&text);
    }

    #[test]
    fn text_of_json_fragments_does_not_panic(
        fragments in prop::collection::vec(prop::sample::select(vec![
            "{", "}", "[", "]", ":", ",", "\n", "//", "/*", "*/", "\"", "\\", "null", "-1e9",
            "\"fleet\":{", "\"values\":{", "\"pools\":{\"p\":{", "\"priority\":", "\"zones\":[",
            "\"class\":\"service\"", "\"live_events\":{\"é\":{", "\"a\"", "1", "true", "\u{feff}",
        ]), 0..40),
    ) {
        let _ = parse(&fragments.concat());
    }

    #[test]
    fn truncated_document_is_rejected(tree in trees::tree(), fraction in 0.0..1.0) {
        let text = serde_json::to_string_pretty(&tree).expect("a tree is JSON");
        let at = (text.len() as f64 * fraction) as usize;
        let at = (0..=at).rev().find(|at| text.is_char_boundary(*at)).unwrap_or(0);
        prop_assert!(parse(&text[..at]).is_err(), "{}", &text[..at]);
    }

    #[test]
    fn serialized_tree_round_trips(tree in trees::tree()) {
        let text = serde_json::to_string(&tree).expect("a tree is JSON");
        let read: Result<Tree, _> = toucancleat_core::settings::document::read(&text);
        prop_assert_eq!(read, Ok(tree));
    }
}
