//! Messages survive the way to a peer, and damaged ones are refused.

mod strategy;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use toucancleat_wire::{decode_batch, encode_batch};

use self::strategy::envelopes;

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        cases: 256,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(1))]

    #[test]
    fn a_decoded_batch_equals_the_encoded_one(batch in envelopes()) {
        let decoded = decode_batch(&encode_batch(&batch)).expect("own encoding");
        prop_assert_eq!(decoded, batch);
    }

    #[test]
    fn damaged_bytes_never_panic(
        batch in envelopes(),
        damage in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..8),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut bytes = encode_batch(&batch);
        for (at, value) in damage {
            let at = at.index(bytes.len());
            bytes[at] = value;
        }
        let _ = decode_batch(&bytes);
        let _ = decode_batch(&bytes[..cut.index(bytes.len())]);
    }
}

#[test]
fn oversized_parts_are_refused() {
    struct Case {
        name: &'static str,
        bytes: Vec<u8>,
        reason: &'static str,
    }
    let long_name = "n".repeat(257);
    // A packed word: one segment of 2^21 words, twice the limit.
    let declared_large = vec![0x40, 0x20];
    let cases = [
        Case {
            name: "a name above 256 bytes",
            bytes: strategy::batch_from(&long_name),
            reason: "at most 256 bytes",
        },
        Case {
            name: "a declared size above the limit",
            bytes: declared_large,
            reason: "too large",
        },
        Case {
            name: "no bytes",
            bytes: Vec::new(),
            reason: "Premature end",
        },
    ];
    for case in cases {
        let error = decode_batch(&case.bytes).expect_err(case.name).to_string();
        assert!(error.contains(case.reason), "{}: {error}", case.name);
    }
}
