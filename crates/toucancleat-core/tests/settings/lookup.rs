//! Lookup of values in force with their source, and of organisations by API key.

use serde_json::json;
use toucancleat_core::settings::{Directory, Tree, Values, api_key_sha256};

fn example() -> Tree {
    serde_json::from_value(json!({
        "fleet": {
            "values": {"priority": 1, "timeout_ms": 60_000},
            "kinds": {"draft": {"priority": 2, "pool": "plan-llm"}},
        },
        "live_events": {
            "closure": {
                "starts_at_unix_ms": 1, "ends_at_unix_ms": 2,
                "level": {"values": {"timeout_ms": 50_000}},
                "organisations": {
                    "sl": {
                        "api_key_sha256": [api_key_sha256("sl-old"), api_key_sha256("sl-new")],
                        "level": {"kinds": {"draft": {"share_weight": 4.0}}},
                    },
                    "ul": {"api_key_sha256": [api_key_sha256("ul"), "not a hash"]},
                },
            },
            "storm": {
                "starts_at_unix_ms": 1, "ends_at_unix_ms": 2,
                "organisations": {"ul": {"api_key_sha256": [api_key_sha256("ul")]}},
            },
        },
    }))
    .expect("the example is a tree")
}

#[test]
fn each_value_is_explained_by_its_source() {
    struct Case {
        value: &'static str,
        source: &'static str,
        path: Option<&'static str>,
    }
    let cases = [
        Case {
            value: "idempotent",
            source: "built-in default",
            path: None,
        },
        Case {
            value: "priority",
            source: "fleet, kind draft",
            path: Some("/fleet/kinds/draft/priority"),
        },
        Case {
            value: "timeout_ms",
            source: "live event closure",
            path: Some("/live_events/closure/level/values/timeout_ms"),
        },
        Case {
            value: "share_weight",
            source: "live event closure, organisation sl, kind draft",
            path: Some(
                "/live_events/closure/organisations/sl/level/kinds/draft/share_weight",
            ),
        },
    ];
    let (event, organisation, kind) = ("closure".into(), "sl".into(), "draft".into());
    let tree = example();
    let explained = tree
        .explain(&event, &organisation, &kind)
        .expect("the kind is in the tree");
    let effective = tree.effective(&event, &organisation, &kind);
    assert_eq!(effective.as_ref(), Some(&explained.effective));
    assert_eq!(
        explained.sources.keys().copied().collect::<Vec<_>>(),
        Values::NAMES
    );
    for case in cases {
        let source = &explained.sources[case.value];
        assert_eq!(source.to_string(), case.source, "{}", case.value);
        let path = source.path(case.value);
        assert_eq!(path.as_deref(), case.path, "{}", case.value);
    }
}

#[test]
fn unknown_names_have_no_values() {
    let cases = [
        ("closure", "sl", "audit"),
        ("closure", "x", "draft"),
        ("x", "sl", "draft"),
    ];
    for (event, organisation, kind) in cases {
        let explained =
            example().explain(&event.into(), &organisation.into(), &kind.into());
        assert_eq!(explained, None, "{event}, {organisation}, {kind}");
    }
}

#[test]
fn api_keys_authenticate_their_organisation() {
    struct Case {
        api_key: &'static str,
        live_event: Option<&'static str>,
        expected: Option<(&'static str, Result<&'static str, &'static str>)>,
    }
    let several =
        "organisation takes part in several live events, expected the name of one";
    let not_participating = "organisation takes no part in live event `storm`";
    let cases = [
        Case {
            api_key: "sl-old",
            live_event: None,
            expected: Some(("sl", Ok("closure"))),
        },
        Case {
            api_key: "sl-new",
            live_event: None,
            expected: Some(("sl", Ok("closure"))),
        },
        Case {
            api_key: "sl-new",
            live_event: Some("closure"),
            expected: Some(("sl", Ok("closure"))),
        },
        Case {
            api_key: "sl-new",
            live_event: Some("storm"),
            expected: Some(("sl", Err(not_participating))),
        },
        Case {
            api_key: "ul",
            live_event: Some("storm"),
            expected: Some(("ul", Ok("storm"))),
        },
        Case {
            api_key: "ul",
            live_event: None,
            expected: Some(("ul", Err(several))),
        },
        Case {
            api_key: "not a hash",
            live_event: None,
            expected: None,
        },
        Case {
            api_key: "",
            live_event: None,
            expected: None,
        },
    ];
    let directory = Directory::new(&example());
    assert_eq!(directory.len(), 2);
    for case in cases {
        let found = directory.authenticate(case.api_key).map(|participation| {
            let event = participation.live_event(case.live_event);
            let event = event
                .map(|event| event.to_string())
                .map_err(|e| e.to_string());
            (participation.organisation().to_string(), event)
        });
        let expected = case.expected.map(|(organisation, event)| {
            (
                organisation.to_owned(),
                event.map(str::to_owned).map_err(str::to_owned),
            )
        });
        assert_eq!(found, expected, "{} {:?}", case.api_key, case.live_event);
    }
}

#[test]
fn each_of_many_organisations_is_found_by_its_key() {
    const ORGANISATIONS: usize = 26_000;
    let organisations: serde_json::Map<_, _> = (0..ORGANISATIONS)
        .map(|n| {
            (
                n.to_string(),
                json!({"api_key_sha256": [api_key_sha256(&format!("k{n}"))]}),
            )
        })
        .collect();
    let tree: Tree = serde_json::from_value(json!({"live_events": {"e": {
        "starts_at_unix_ms": 1, "ends_at_unix_ms": 2, "organisations": organisations}}}))
    .expect("the example is a tree");
    let directory = Directory::new(&tree);
    for n in 0..ORGANISATIONS {
        let found = directory
            .authenticate(&format!("k{n}"))
            .map(|m| m.organisation().as_str());
        assert_eq!(found, Some(n.to_string().as_str()));
    }
    assert!(
        directory
            .authenticate(&format!("k{ORGANISATIONS}"))
            .is_none()
    );
}
