//! Arrivals, files and figures of the load tool.

use toucancleat_load::caller::EventReader;
use toucancleat_load::measurements::{Quantiles, jain};
use toucancleat_load::spec::Spec;
use toucancleat_load::workload::{TOKEN_BYTES, arrivals, capacity_per_ms};

const SMOKE: &str = include_str!("../../../samples/load/smoke.jsonc");

fn smoke() -> Spec {
    Spec::parse(SMOKE).expect("the sample is a run")
}

#[test]
fn arrivals_repeat_with_their_seed() {
    let spec = smoke();
    assert_eq!(arrivals(&spec, 1), arrivals(&spec, 1));
    assert_ne!(arrivals(&spec, 1), arrivals(&spec, 2));
}

#[test]
fn arrivals_follow_the_load_and_the_rush() {
    let mut spec = smoke();
    spec.warm_up_ms = 0;
    spec.duration_ms = 400_000;
    spec.rush = Some(toucancleat_load::spec::Rush {
        at_ms: 200_000,
        duration_ms: 100_000,
        factor: 3.0,
    });
    let expected = capacity_per_ms(&spec) * spec.load_share;
    let all = arrivals(&spec, 1);
    let between = |from: f64, to: f64| {
        let within = all.iter().filter(|a| a.at_ms >= from && a.at_ms < to);
        within.count() as f64 / (to - from)
    };
    let calm = between(0.0, 200_000.0) / expected;
    let rush = between(200_000.0, 300_000.0) / expected;
    assert!((0.9..1.1).contains(&calm), "{calm}");
    assert!((2.7..3.3).contains(&rush), "{rush}");
}

#[test]
fn prompts_share_their_start_within_an_organisation() {
    let spec = smoke();
    let all = arrivals(&spec, 1);
    let shared = spec.kinds[0].shared_prefix_tokens as usize * TOKEN_BYTES;
    let of = |organisation| all.iter().filter(move |a| a.organisation == organisation);
    let mut first = of(0);
    let (a, b) = (first.next().expect("two"), first.next().expect("two"));
    let other = of(1).next().expect("one");
    assert_eq!(a.prompt[..shared], b.prompt[..shared]);
    assert_ne!(a.prompt[shared..], b.prompt[shared..]);
    assert_ne!(a.prompt[..shared], other.prompt[..shared]);
}

#[test]
fn files_that_are_no_run() {
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

struct Stream {
    name: &'static str,
    pieces: &'static [&'static str],
    tokens: usize,
    done: bool,
    wrong: bool,
}

const STREAMS: &[Stream] = &[
    Stream {
        name: "whole, cut anywhere",
        pieces: &[
            "id: x:0\ndata: {\"choices\":[{\"text\":\"aaaa:0 \"}]}\n\nid: x:1\nda",
            "ta: {\"choices\":[{\"text\":\"aaaa:1 \"}]}\n\n: ping\n\ndata: [DONE]\n\n",
        ],
        tokens: 2,
        done: true,
        wrong: false,
    },
    Stream {
        name: "a token twice",
        pieces: &[
            "data: {\"choices\":[{\"text\":\"aaaa:0 \"}]}\n\n",
            "data: {\"choices\":[{\"text\":\"aaaa:0 \"}]}\n\n",
        ],
        tokens: 2,
        done: false,
        wrong: true,
    },
    Stream {
        name: "two generations",
        pieces: &[
            "data: {\"choices\":[{\"delta\":{\"content\":\"aaaa:0 \"}}]}\n\n",
            "data: {\"choices\":[{\"delta\":{\"content\":\"bbbb:1 \"}}]}\n\n",
        ],
        tokens: 2,
        done: false,
        wrong: true,
    },
];

#[test]
fn streams_are_checked() {
    for case in STREAMS {
        let mut reader = EventReader::default();
        let pieces = case.pieces.iter();
        let tokens: usize = pieces.map(|piece| reader.read(piece.as_bytes())).sum();
        assert_eq!(tokens, case.tokens, "{}", case.name);
        assert_eq!(
            (reader.done, reader.wrong),
            (case.done, case.wrong),
            "{}",
            case.name
        );
    }
}

#[test]
fn figures() {
    let quantiles = Quantiles::of((1..=1_000).map(f64::from));
    assert!(
        (quantiles.p99_ms / 990.0 - 1.0).abs() < 0.01,
        "{quantiles:?}"
    );
    assert_eq!(Quantiles::of(std::iter::empty()).count, 0);
    assert!((jain(&[0.5, 0.5]) - 1.0).abs() < 1e-9);
    assert!((jain(&[1.0, 0.0]) - 0.5).abs() < 1e-9);
}
