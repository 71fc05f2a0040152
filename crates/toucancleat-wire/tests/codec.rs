//! Tests of encoding and decoding: decoding restores every message, and refuses malformed
//! batches without a panic.

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
    fn decoding_restores_the_encoded_batch(batch in envelopes()) {
        let decoded = decode_batch(&encode_batch(&batch)).expect("a valid batch");
        prop_assert_eq!(decoded, batch);
    }

    #[test]
    fn decoding_damaged_bytes_does_not_panic(
        batch in envelopes(),
        replacements in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..8),
        truncated_length in any::<prop::sample::Index>(),
    ) {
        let mut bytes = encode_batch(&batch);
        for (position, value) in replacements {
            let position = position.index(bytes.len());
            bytes[position] = value;
        }
        let _ = decode_batch(&bytes);
        let _ = decode_batch(&bytes[..truncated_length.index(bytes.len())]);
    }
}

#[test]
fn oversized_and_empty_batches_are_refused_with_the_reason() {
    struct Case {
        name: &'static str,
        bytes: Vec<u8>,
        reason: &'static str,
    }
    let long_name = "n".repeat(257);
    // A packed word that declares one segment of 2^21 words, twice the limit.
    let oversized_segment = vec![0x40, 0x20];
    let cases = [
        Case {
            name: "a name longer than 256 bytes",
            bytes: strategy::batch_from_sender(&long_name),
            reason: "at most 256 bytes",
        },
        Case {
            name: "a segment declared larger than the limit",
            bytes: oversized_segment,
            reason: "too large",
        },
        Case {
            name: "an empty input",
            bytes: Vec::new(),
            reason: "Premature end",
        },
    ];
    for case in cases {
        let error = decode_batch(&case.bytes).expect_err(case.name).to_string();
        assert!(error.contains(case.reason), "{}: {error}", case.name);
    }
}
