//! Sealing and opening of cursors, including altered and forged ones.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use toucancleat_core::generation::{Cursor, CursorKeys};
use toucancleat_core::prelude::*;

pub fn sample_cursor() -> Cursor {
    Cursor {
        target: TargetName::new("plan-llm-3"),
        kind: KindName::new("draft"),
        live_event: LiveEventName::new("closure-weekend"),
        generation: GenerationId(0x1234_5678_9abc_def0),
        attempt: 2,
        revision: Revision(41),
        next_index: 17,
    }
}

fn keys(bytes: &[u8]) -> CursorKeys {
    let keys: Vec<_> = bytes.iter().map(|byte| vec![*byte; 32]).collect();
    CursorKeys::new(&keys).expect("keys")
}

fn seal_cursor(keys: &CursorKeys, organisation: &str, cursor: &Cursor) -> String {
    let mut text = String::new();
    let organisation = OrganisationName::new(organisation);
    keys.seal(&organisation, cursor)
        .write(cursor.next_index, &mut text);
    text
}

#[test]
fn only_the_organisation_that_received_a_cursor_can_open_it() {
    struct Case {
        name: &'static str,
        keys: &'static [u8],
        organisation: &'static str,
        can_open: bool,
    }
    let case = |name, keys, organisation, can_open| Case {
        name,
        keys,
        organisation,
        can_open,
    };
    let cases = [
        case("owner", &[1], "depot", true),
        case(
            "owner, after a new first key was added",
            &[2, 1],
            "depot",
            true,
        ),
        case(
            "owner, after the sealing key was removed",
            &[2],
            "depot",
            false,
        ),
        case("another organisation", &[1], "depo", false),
    ];
    let text = seal_cursor(&keys(&[1]), "depot", &sample_cursor());
    for case in cases {
        let opened =
            keys(case.keys).open(&OrganisationName::new(case.organisation), &text);
        let expected = case.can_open.then(sample_cursor);
        assert_eq!(opened.ok(), expected, "{}", case.name);
    }
}

#[test]
fn missing_and_short_keys_are_rejected() {
    assert!(CursorKeys::new(&[]).is_none());
    assert!(CursorKeys::new(&[vec![1; 31]]).is_none());
}

#[test]
fn invalid_cursor_gives_an_error_that_states_the_reason() {
    let keys = keys(&[1]);
    let organisation = OrganisationName::new("depot");
    let text = seal_cursor(&keys, "depot", &sample_cursor());
    let truncated = &text[..text.len() - 1];
    let renumbered = text.replace(".17.", ".18.");
    for (invalid, reason) in [
        ("", "another form"),
        ("..", "another form"),
        ("a.b.c", "another form"),
        (truncated, "another form"),
        (renumbered.as_str(), "altered"),
    ] {
        let error = keys
            .open(&organisation, invalid)
            .expect_err(invalid)
            .to_string();
        assert!(error.contains(reason), "{invalid}: {error}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn an_altered_cursor_never_opens(at: prop::sample::Index, byte in b' '..=b'~') {
        let keys = keys(&[1]);
        let text = seal_cursor(&keys, "depot", &sample_cursor());
        let mut altered = text.clone().into_bytes();
        let at = at.index(altered.len());
        altered[at] = byte;
        let altered = String::from_utf8(altered).expect("ASCII");
        let opened = keys.open(&OrganisationName::new("depot"), &altered);
        prop_assert_eq!(opened.is_ok(), altered == text);
    }

    #[test]
    fn arbitrary_text_is_an_error_and_no_panic(text: String) {
        prop_assert!(keys(&[1]).open(&OrganisationName::new("depot"), &text).is_err());
    }
}
