//! Tests of the batching model: blocks, preemption, prefix reuse and step durations.

use std::collections::HashMap;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use toucancleat_standin::model::{
    BlockHash, CacheChange, EngineModel, ModelConfig, SequenceId, SequenceRequest, Step,
};

/// More steps than any test needs; reaching it means that the model makes no progress.
const STEP_LIMIT: usize = 100_000;

fn small_config() -> ModelConfig {
    ModelConfig {
        blocks_total: 24,
        spare_blocks: 1,
        max_batch: 6,
        prefill_chunk_tokens: 40,
        ..ModelConfig::default()
    }
}

fn request(priority: u8, prompt: &[u8], output_tokens: u32) -> SequenceRequest {
    let block_bytes = 4 * ModelConfig::default().block_tokens as usize;
    SequenceRequest {
        priority,
        prompt_blocks: BlockHash::chain(prompt, block_bytes),
        prompt_tokens: (prompt.len() as u32 / 4).max(1),
        output_tokens,
    }
}

/// Computes steps until no work is left, and passes each step to `check`.
fn run_to_end(model: &mut EngineModel, mut check: impl FnMut(&EngineModel, &Step)) {
    for _ in 0..STEP_LIMIT {
        let Some(step) = model.step() else {
            assert_eq!(
                model.load().waiting,
                0,
                "sequences are queued but no step is computed"
            );
            return;
        };
        check(model, &step);
    }
    panic!("the model makes no progress");
}

#[derive(Clone, Debug)]
enum Action {
    Add {
        priority: u8,
        prefix: u8,
        prompt_bytes: usize,
        output_tokens: u32,
    },
    Cancel {
        index: usize,
    },
    Step {
        times: u8,
    },
}

fn any_action() -> impl Strategy<Value = Action> {
    prop_oneof![
        3 => (0..10u8, 0..3u8, 1..600usize, 1..250u32).prop_map(
            |(priority, prefix, prompt_bytes, output_tokens)| Action::Add {
                priority,
                prefix,
                prompt_bytes,
                output_tokens,
            }
        ),
        1 => (0..32usize).prop_map(|index| Action::Cancel { index }),
        3 => (1..60u8).prop_map(|times| Action::Step { times }),
    ]
}

/// Expected state of the sequences that were added to the model.
#[derive(Default)]
struct Expected {
    output_tokens: HashMap<SequenceId, u32>,
    produced_tokens: HashMap<SequenceId, u32>,
    added: Vec<SequenceId>,
    preemptions: u64,
}

impl Expected {
    fn check(&mut self, model: &EngineModel, step: &Step) {
        assert!(model.is_consistent(), "a block is leaked or held twice");
        let load = model.load();
        assert!(load.blocks_used <= small_config().blocks_total);
        assert!(load.running <= small_config().max_batch);
        assert!(step.duration_ms > small_config().step_base_ms);
        for id in &step.produced {
            assert!(self.output_tokens.contains_key(id), "{id:?} isn't active");
            *self.produced_tokens.entry(*id).or_default() += 1;
        }
        for id in &step.finished {
            let expected_tokens = self.output_tokens.remove(id);
            assert_eq!(self.produced_tokens.get(id).copied(), expected_tokens);
        }
        self.preemptions += step.preempted.len() as u64;
        assert_eq!(load.preemptions_total, self.preemptions);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        cases: 200,
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_actions_keep_blocks_accounted_and_output_lengths_exact(
        actions in prop::collection::vec(any_action(), 1..60),
    ) {
        let mut model = EngineModel::new(small_config());
        let mut expected = Expected::default();
        for action in actions {
            match action {
                Action::Add { priority, prefix, prompt_bytes, output_tokens } => {
                    let prompt = vec![prefix; prompt_bytes];
                    if let Some(id) = model.add(request(priority, &prompt, output_tokens)) {
                        expected.output_tokens.insert(id, output_tokens);
                        expected.added.push(id);
                    }
                }
                Action::Cancel { index } => {
                    if let Some(id) = expected.added.get(index) {
                        model.cancel(*id);
                        expected.output_tokens.remove(id);
                    }
                }
                Action::Step { times } => {
                    for _ in 0..times {
                        if let Some(step) = model.step() {
                            expected.check(&model, &step);
                        }
                    }
                }
            }
            prop_assert!(model.is_consistent());
        }
        run_to_end(&mut model, |model, step| expected.check(model, step));
        prop_assert!(expected.output_tokens.is_empty(), "a sequence never finished");
        prop_assert_eq!(model.load().blocks_used, 0);
        prop_assert!(model.is_consistent());
    }
}

#[test]
fn preemption_takes_the_lowest_priority_first_and_then_the_newest() {
    struct Case {
        name: &'static str,
        priorities: [u8; 3],
        first_preempted: usize,
    }
    let cases = [
        Case {
            name: "equal priorities",
            priorities: [5, 5, 5],
            first_preempted: 2,
        },
        Case {
            name: "first sequence has the lowest priority",
            priorities: [1, 5, 5],
            first_preempted: 0,
        },
    ];
    for case in cases {
        let mut model = EngineModel::new(small_config());
        let ids: Vec<SequenceId> = case
            .priorities
            .iter()
            .map(|priority| {
                let request = request(*priority, b"a", 300);
                model.add(request).expect("it fits")
            })
            .collect();
        let mut preempted = Vec::new();
        run_to_end(&mut model, |_, step| preempted.extend(&step.preempted));
        let first = preempted.first().copied();
        assert_eq!(first, Some(ids[case.first_preempted]), "{}", case.name);
    }
}

#[test]
fn a_shared_prompt_is_computed_once_and_evicted_from_its_end() {
    let mut model = EngineModel::new(small_config());
    let prompt = [7; 64 * 5];
    let mut cached_tokens = Vec::new();
    for _ in 0..2 {
        model.add(request(5, &prompt, 3)).expect("it fits");
        run_to_end(&mut model, |_, step| {
            cached_tokens.extend(step.started.iter().map(|s| s.cached_tokens));
        });
    }
    // The last of the five blocks is computed again, since producing the next token
    // requires its last one.
    assert_eq!(cached_tokens, [0, 64]);
    let blocks = BlockHash::chain(&prompt, 64);
    let stored: Vec<CacheChange> =
        blocks.iter().map(|h| CacheChange::Stored(*h)).collect();
    assert_eq!(model.take_cache_changes(), stored);

    model
        .add(request(5, b"other", 24 * 16 - 3))
        .expect("it fits");
    run_to_end(&mut model, |_, _| {});
    // The last sequence needs all blocks, and the end of the prompt is evicted first.
    let evictions = blocks.iter().rev().map(|h| CacheChange::Evicted(*h));
    assert_eq!(model.take_cache_changes(), evictions.collect::<Vec<_>>());
}

#[test]
fn step_duration_grows_with_batch_prompt_and_context() {
    let step_durations = |batch: usize, prompt_bytes: usize| {
        let mut model = EngineModel::new(ModelConfig::default());
        for index in 0..batch {
            let prompt = vec![index as u8; prompt_bytes];
            model.add(request(5, &prompt, 50)).expect("it fits");
        }
        let first_ms = model.step().expect("a step").duration_ms;
        let mut decode_ms = first_ms;
        while model.load().running > 0 {
            match model.step() {
                Some(step) if step.produced.len() == batch => {
                    decode_ms = step.duration_ms
                }
                Some(_) => {}
                None => break,
            }
        }
        (first_ms, decode_ms)
    };
    let (short_prefill_ms, short_decode_ms) = step_durations(1, 40);
    let (long_prefill_ms, long_decode_ms) = step_durations(1, 1_600);
    let (_, batch_decode_ms) = step_durations(8, 40);
    assert!(long_prefill_ms > short_prefill_ms);
    assert!(long_decode_ms > short_decode_ms);
    assert!(batch_decode_ms > short_decode_ms);
}

#[test]
fn a_long_prompt_is_prefilled_in_chunks_while_others_decode() {
    let mut model = EngineModel::new(small_config());
    let decoding = model.add(request(5, b"a", 20)).expect("it fits");
    model.step();
    let long = model.add(request(5, &[1; 400], 2)).expect("it fits");
    let mut steps_until_first = 0;
    let mut decoded_tokens = 0;
    loop {
        let step = model.step().expect("a step");
        steps_until_first += 1;
        decoded_tokens += usize::from(step.produced.contains(&decoding));
        if step.produced.contains(&long) {
            break;
        }
    }
    // 100 prompt tokens in chunks of at most 40.
    assert_eq!(steps_until_first, 3);
    assert_eq!(decoded_tokens, 3);
}

#[test]
fn a_sequence_that_can_never_fit_is_refused() {
    let mut model = EngineModel::new(small_config());
    let capacity_tokens = 24 * 16;
    assert!(model.add(request(5, b"a", capacity_tokens)).is_none());
    assert!(model.add(request(5, b"a", 0)).is_none());
    assert!(model.add(request(5, b"a", capacity_tokens - 1)).is_some());
}
