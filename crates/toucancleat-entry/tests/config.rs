//! The configuration file of a process is accepted if valid; its errors name their
//! positions.

use std::path::Path;

use toucancleat_entry::Config;

struct Case {
    name: &'static str,
    text: &'static str,
    expected: &'static [&'static str],
}

const INVALID: &[Case] = &[
    Case {
        name: "incomplete JSON",
        text: "{\n  \"host\": ",
        expected: &["2:"],
    },
    Case {
        name: "a host name instead of an address, and an unknown field",
        text: r#"{
  "host": "h", "zone": "z", "peer_key": "p",
  "callers_address": "localhost:7000",
  "peers_address": "127.0.0.1:7001", "operators_address": "127.0.0.1:7002",
  "platform_address": "127.0.0.1:7900",
  "drain_timeout_s": 900
}"#,
        expected: &[
            "3:22: /callers_address: invalid socket address syntax",
            "6:3: /drain_timeout_s: unknown field `drain_timeout_s`, expected `drain_timeout_ms`",
        ],
    },
    Case {
        name: "a field that earlier versions read and used nowhere",
        text: r#"{
  "host": "h", "zone": "z", "peer_key": "p", "cursor_key": "c",
  "callers_address": "127.0.0.1:7000", "peers_address": "127.0.0.1:7001",
  "operators_address": "127.0.0.1:7002", "platform_address": "127.0.0.1:7900",
  "head_timeout_ms": 10000
}"#,
        expected: &["5:3: /head_timeout_ms: unknown field `head_timeout_ms`"],
    },
    Case {
        name: "a missing field",
        text: r#"{"host": "h", "zone": "z"}"#,
        expected: &["1:1: missing field `callers_address`"],
    },
    Case {
        name: "an empty key",
        text: r#"{
  "host": "h", "zone": "z", "peer_key": "", "cursor_key": "c",
  "callers_address": "127.0.0.1:7000", "peers_address": "127.0.0.1:7001",
  "operators_address": "127.0.0.1:7002", "platform_address": "127.0.0.1:7900"
}"#,
        expected: &["field peer_key must not be empty"],
    },
];

#[test]
fn the_sample_is_accepted() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples/entry.jsonc");
    let config = Config::read(&path).expect("the sample is valid");
    assert_eq!(config.zone.as_str(), "upp-a");
}

#[test]
fn errors_name_the_position_of_each_problem() {
    for case in INVALID {
        let error = Config::parse(case.text).expect_err(case.name).to_string();
        for expected in case.expected {
            assert!(error.contains(expected), "{}: {error}", case.name);
        }
    }
}
