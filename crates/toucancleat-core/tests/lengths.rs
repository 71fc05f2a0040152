//! Tests of the estimates of answer lengths.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use toucancleat_core::lengths::{Config, Distribution, RunningAnswer, Sketch, Store};
use toucancleat_core::prelude::*;
use toucancleat_core::rng::Rng;

const LIMIT_TOKENS: u32 = 100_000;

fn names() -> (OrganisationName, KindName) {
    (OrganisationName::new("org"), KindName::new("draft"))
}

/// Draws a length from a Pareto distribution, which resembles the tail of real answers.
fn sample_pareto(rng: &mut Rng, scale: f64, index: f64) -> u32 {
    let uniform = (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
    let tokens = scale * (1.0 - uniform).powf(-1.0 / index);
    tokens.min(50_000.0) as u32
}

struct Case {
    name: &'static str,
    generated: u32,
    chance: f64,
    /// The true quantile of a Pareto distribution with scale 100 and index 1.5.
    true_tokens: f64,
}

const CASES: &[Case] = &[
    Case {
        name: "median",
        generated: 0,
        chance: 0.5,
        true_tokens: 158.7,
    },
    Case {
        name: "tail",
        generated: 0,
        chance: 0.95,
        true_tokens: 736.8,
    },
    Case {
        name: "median of an answer past 400 tokens",
        generated: 400,
        chance: 0.5,
        true_tokens: 635.0,
    },
    Case {
        name: "tail of an answer past 400 tokens",
        generated: 400,
        chance: 0.9,
        true_tokens: 1_856.6,
    },
];

#[test]
fn estimate_matches_the_quantiles_of_a_heavy_tail() {
    let mut sketch = Sketch::default();
    let mut rng = Rng::new(3);
    for _ in 0..20_000 {
        sketch.observe_ended(sample_pareto(&mut rng, 100.0, 1.5));
    }
    let lengths = Distribution::estimate(&sketch, &Distribution::prior(), 20.0);
    for case in CASES {
        let tokens = lengths.quantile(case.generated, case.chance, LIMIT_TOKENS);
        let error = (tokens / case.true_tokens - 1.0).abs();
        assert!(
            error < 0.15,
            "{}: estimated {tokens} tokens, expected {}",
            case.name,
            case.true_tokens
        );
    }
}

#[test]
fn ignoring_censored_answers_underestimates_the_tail() {
    // Half of the answers are cut off at a random point of at most 300 tokens.
    let mut rng = Rng::new(5);
    let (mut with_censored, mut without_censored) =
        (Sketch::default(), Sketch::default());
    for _ in 0..20_000 {
        let length = sample_pareto(&mut rng, 100.0, 1.5);
        let cut = 100 + rng.below(200) as u32;
        if rng.below(2) == 0 || length <= cut {
            with_censored.observe_ended(length);
            without_censored.observe_ended(length);
        } else {
            with_censored.observe_censored(cut);
        }
    }
    let chance_past_400 = |sketch: &Sketch| {
        let lengths = Distribution::estimate(sketch, &Distribution::prior(), 20.0);
        lengths.chance_running(0, 400)
    };
    let truth = 0.125;
    assert!((chance_past_400(&with_censored) - truth).abs() < 0.02);
    assert!(
        (chance_past_400(&without_censored) - truth).abs() > 0.02,
        "the sample is too small to show the bias"
    );
}

#[test]
fn pair_with_few_observations_follows_its_kind() {
    let mut store = Store::new(Config::default());
    let (_, kind) = names();
    for _ in 0..1_000 {
        store.observe_ended(&OrganisationName::new("large"), &kind, 2_000);
    }
    store.observe_ended(&OrganisationName::new("small"), &kind, 10);
    store.refresh(1, std::iter::empty());
    let small = store.distribution(&OrganisationName::new("small"), &kind);
    let unseen = store.distribution(&OrganisationName::new("unseen"), &kind);
    for lengths in [small, unseen] {
        let expected = lengths.expected_remaining(0, LIMIT_TOKENS);
        assert!((1_500.0..2_500.0).contains(&expected), "{expected}");
    }
}

#[test]
fn estimate_follows_a_change_of_lengths() {
    let mut store = Store::new(Config {
        half_life_ms: 60_000,
        ..Config::default()
    });
    let (organisation, kind) = names();
    for round in 0..20 {
        let tokens = if round < 10 { 50 } else { 3_000 };
        for _ in 0..100 {
            store.observe_ended(&organisation, &kind, tokens);
        }
        store.refresh(1 + round * 60_000, std::iter::empty());
    }
    let lengths = store.distribution(&organisation, &kind);
    assert!(lengths.chance_running(0, 1_000) > 0.95);
}

#[test]
fn running_answers_keep_short_ones_from_dominating() {
    let (organisation, kind) = names();
    let running = || {
        std::iter::repeat_n(
            RunningAnswer {
                organisation: &organisation,
                kind: &kind,
                tokens: 900,
            },
            50,
        )
    };
    let mut store = Store::new(Config::default());
    for _ in 0..50 {
        store.observe_ended(&organisation, &kind, 20);
    }
    store.refresh(1, std::iter::empty());
    let without = store
        .distribution(&organisation, &kind)
        .chance_running(0, 800);
    store.refresh(2, running());
    let with = store
        .distribution(&organisation, &kind)
        .chance_running(0, 800);
    assert!(without < 0.1, "{without}");
    assert!((0.4..0.6).contains(&with), "{with}");
}

#[test]
fn number_of_sketches_is_bounded() {
    let mut store = Store::new(Config {
        sketches_max: 8,
        ..Config::default()
    });
    let kind = KindName::new("draft");
    for index in 0..100 {
        let organisation = OrganisationName::new(&format!("org-{index}"));
        store.observe_ended(&organisation, &kind, 100);
    }
    assert_eq!(store.len(), 8 + 2, "eight pairs, one kind and the fleet");
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn estimates_are_monotonic_and_bounded(
        ended in prop::collection::vec(0u32..200_000, 0..50),
        censored in prop::collection::vec(0u32..200_000, 0..50),
        generated in 0u32..150_000,
        ahead in 0u32..150_000,
    ) {
        let mut sketch = Sketch::default();
        ended.iter().for_each(|&tokens| sketch.observe_ended(tokens));
        let mut other = Sketch::default();
        censored.iter().for_each(|&tokens| other.observe_censored(tokens));
        sketch.merge(&other);
        let lengths = Distribution::estimate(&sketch, &Distribution::prior(), 20.0);
        let near = lengths.chance_running(generated, ahead / 2);
        let far = lengths.chance_running(generated, ahead);
        prop_assert!(far <= near && (0.0..=1.0).contains(&far) && near <= 1.0);
        let remaining = lengths.expected_remaining(generated, LIMIT_TOKENS);
        prop_assert!(remaining >= 0.0 && remaining <= f64::from(LIMIT_TOKENS));
        let low = lengths.quantile(generated, 0.5, LIMIT_TOKENS);
        let high = lengths.quantile(generated, 0.9, LIMIT_TOKENS);
        prop_assert!(low <= high);
    }
}
