//! Tests of the arrivals, the spec files, the check of answers and the statistics of the load
//! tool.

use toucancleat_load::caller::EventReader;
use toucancleat_load::measurements::{Quantiles, jain_index};
use toucancleat_load::spec::Spec;
use toucancleat_load::workload::{TOKEN_BYTES, capacity_per_ms, draw_arrivals};

const SMOKE: &str = include_str!("../../../samples/load/smoke.jsonc");

fn smoke_spec() -> Spec {
    Spec::parse(SMOKE).expect("the sample is a valid spec")
}

#[test]
fn equal_seeds_draw_equal_arrivals() {
    let spec = smoke_spec();
    assert_eq!(draw_arrivals(&spec, 1), draw_arrivals(&spec, 1));
    assert_ne!(draw_arrivals(&spec, 1), draw_arrivals(&spec, 2));
}

#[test]
fn arrival_rate_follows_load_share_and_rush() {
    let mut spec = smoke_spec();
    spec.warm_up_ms = 0;
    spec.duration_ms = 400_000;
    spec.rush = Some(toucancleat_load::spec::Rush {
        at_ms: 200_000,
        duration_ms: 100_000,
        factor: 3.0,
    });
    let expected = capacity_per_ms(&spec) * spec.load_share;
    let all = draw_arrivals(&spec, 1);
    let rate_between = |from: f64, to: f64| {
        let within = all.iter().filter(|a| a.at_ms >= from && a.at_ms < to);
        within.count() as f64 / (to - from)
    };
    let outside_rush = rate_between(0.0, 200_000.0) / expected;
    let during_rush = rate_between(200_000.0, 300_000.0) / expected;
    assert!((0.9..1.1).contains(&outside_rush), "{outside_rush}");
    assert!((2.7..3.3).contains(&during_rush), "{during_rush}");
}

#[test]
fn prompts_share_their_prefix_only_within_an_organisation() {
    let spec = smoke_spec();
    let all = draw_arrivals(&spec, 1);
    let shared = spec.kinds[0].shared_prefix_tokens as usize * TOKEN_BYTES;
    let arrivals_of =
        |organisation| all.iter().filter(move |a| a.organisation == organisation);
    let mut first = arrivals_of(0);
    let (a, b) = (
        first.next().expect("an organisation with two arrivals"),
        first.next().expect("an organisation with two arrivals"),
    );
    let other = arrivals_of(1)
        .next()
        .expect("an arrival of the other organisation");
    assert_eq!(a.prompt[..shared], b.prompt[..shared]);
    assert_ne!(a.prompt[shared..], b.prompt[shared..]);
    assert_ne!(a.prompt[..shared], other.prompt[..shared]);
}

#[test]
fn invalid_specs_are_rejected() {
    let cases = [
        ("", "expected an object"),
        (
            &SMOKE.replace("\"hosts\": 2", "\"hosts\": 0"),
            "expected at least one host",
        ),
        (
            &SMOKE.replace("\"hosts\"", "\"host\""),
            "unknown field `host`",
        ),
    ];
    for (text, message) in cases {
        let error = Spec::parse(text).expect_err(message).to_string();
        assert!(error.contains(message), "{error}");
    }
}

struct StreamCase {
    name: &'static str,
    chunks: &'static [&'static str],
    tokens: usize,
    is_done: bool,
    is_inconsistent: bool,
}

const STREAM_CASES: &[StreamCase] = &[
    StreamCase {
        name: "complete answer, split within a line",
        chunks: &[
            "id: x:0\ndata: {\"choices\":[{\"text\":\"aaaa:0 \"}]}\n\nid: x:1\nda",
            "ta: {\"choices\":[{\"text\":\"aaaa:1 \"}]}\n\n: ping\n\ndata: [DONE]\n\n",
        ],
        tokens: 2,
        is_done: true,
        is_inconsistent: false,
    },
    StreamCase {
        name: "repeated token",
        chunks: &[
            "data: {\"choices\":[{\"text\":\"aaaa:0 \"}]}\n\n",
            "data: {\"choices\":[{\"text\":\"aaaa:0 \"}]}\n\n",
        ],
        tokens: 2,
        is_done: false,
        is_inconsistent: true,
    },
    StreamCase {
        name: "two generations",
        chunks: &[
            "data: {\"choices\":[{\"delta\":{\"content\":\"aaaa:0 \"}}]}\n\n",
            "data: {\"choices\":[{\"delta\":{\"content\":\"bbbb:1 \"}}]}\n\n",
        ],
        tokens: 2,
        is_done: false,
        is_inconsistent: true,
    },
];

#[test]
fn repeated_tokens_and_mixed_generations_are_detected() {
    for case in STREAM_CASES {
        let mut reader = EventReader::default();
        let chunks = case.chunks.iter();
        let tokens: usize = chunks.map(|chunk| reader.read(chunk.as_bytes())).sum();
        assert_eq!(tokens, case.tokens, "{}", case.name);
        assert_eq!(
            (reader.is_done, reader.is_inconsistent),
            (case.is_done, case.is_inconsistent),
            "{}",
            case.name
        );
    }
}

#[test]
fn quantiles_and_fairness_index_match_known_values() {
    let quantiles = Quantiles::of((1..=1_000).map(f64::from));
    assert!(
        (quantiles.p99_ms / 990.0 - 1.0).abs() < 0.01,
        "{quantiles:?}"
    );
    assert_eq!(Quantiles::of(std::iter::empty()).count, 0);
    assert!((jain_index(&[0.5, 0.5]) - 1.0).abs() < 1e-9);
    assert!((jain_index(&[1.0, 0.0]) - 0.5).abs() < 1e-9);
}
