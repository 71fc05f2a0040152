//! Cursors that callers carry, altered and forged ones among them.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use toucancleat_core::generation::{Cursor, CursorKeys};
use toucancleat_core::prelude::*;

pub fn sample() -> Cursor {
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

fn sealed(keys: &CursorKeys, organisation: &str, cursor: &Cursor) -> String {
    let mut text = String::new();
    let organisation = OrganisationName::new(organisation);
    keys.seal(&organisation, cursor)
        .write(cursor.next_index, &mut text);
    text
}

#[test]
fn opened_by_whom() {
    struct Case {
        name: &'static str,
        keys: &'static [u8],
        organisation: &'static str,
        opens: bool,
    }
    let case = |name, keys, organisation, opens| Case {
        name,
        keys,
        organisation,
        opens,
    };
    let cases = [
        case("owner", &[1], "depot", true),
        case("owner, after the key was replaced", &[2, 1], "depot", true),
        case("owner, after the old key was removed", &[2], "depot", false),
        case("another organisation", &[1], "depo", false),
    ];
    let text = sealed(&keys(&[1]), "depot", &sample());
    for case in cases {
        let opened =
            keys(case.keys).open(&OrganisationName::new(case.organisation), &text);
        let expected = case.opens.then(sample);
        assert_eq!(opened.ok(), expected, "{}", case.name);
    }
}

#[test]
fn keys_have_to_be_long_enough() {
    assert!(CursorKeys::new(&[]).is_none());
    assert!(CursorKeys::new(&[vec![1; 31]]).is_none());
}

#[test]
fn broken_cursor_is_a_clear_error() {
    let keys = keys(&[1]);
    let organisation = OrganisationName::new("depot");
    let text = sealed(&keys, "depot", &sample());
    let cut = &text[..text.len() - 1];
    let renumbered = text.replace(".17.", ".18.");
    for (broken, part) in [
        ("", "another form"),
        ("..", "another form"),
        ("a.b.c", "another form"),
        (cut, "another form"),
        (renumbered.as_str(), "altered"),
    ] {
        let error = keys
            .open(&organisation, broken)
            .expect_err(broken)
            .to_string();
        assert!(error.contains(part), "{broken}: {error}");
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
    fn altered_cursor_never_opens(at: prop::sample::Index, byte in b' '..=b'~') {
        let keys = keys(&[1]);
        let text = sealed(&keys, "depot", &sample());
        let mut altered = text.clone().into_bytes();
        let at = at.index(altered.len());
        altered[at] = byte;
        let altered = String::from_utf8(altered).expect("ASCII");
        let opened = keys.open(&OrganisationName::new("depot"), &altered);
        prop_assert_eq!(opened.is_ok(), altered == text);
    }

    #[test]
    fn any_text_is_an_error_and_no_panic(text: String) {
        prop_assert!(keys(&[1]).open(&OrganisationName::new("depot"), &text).is_err());
    }
}
