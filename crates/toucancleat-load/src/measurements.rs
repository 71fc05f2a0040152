//! Measurements of a run, computed from its requests.

use hdrhistogram::Histogram;
use serde::Serialize;
use toucancleat_core::accounts::RefusalReason;

use crate::caller::{Answer, AnswerState};
use crate::hosts::Clock;
use crate::spec::Spec;
use crate::workload::Arrival;

/// Shortest gap between two tokens that counts as a stall: four times the objective of 31 ms.
pub const STALL_MIN_MS: f64 = 124.0;

/// Units of a histogram in a millisecond.
const UNITS_PER_MS: f64 = 100.0;

/// Largest value of a histogram: one hour.
const HISTOGRAM_MAX: u64 = 360_000_000;

/// One request as its caller measured it, in engine time.
#[derive(Debug)]
pub struct Sample {
    /// Time at which the request was scheduled to be sent, from the start of the run.
    pub at_ms: f64,
    /// Index of the organisation in the spec.
    pub organisation: usize,
    /// Index of the request kind in the spec.
    pub kind: usize,
    /// Reason for which an entry host refused the request.
    pub refusal: Option<RefusalReason>,
    /// How the answer ended, unless an entry host refused the request.
    pub answer_state: Option<AnswerState>,
    /// Time at which each token arrived, from the start of the run.
    pub token_times_ms: Vec<f64>,
}

/// The measurements of one arm on one seed.
#[derive(Clone, Debug, Serialize)]
pub struct Measurements {
    /// Requests that arrived after the warm-up.
    pub offered: u64,
    /// Complete answers.
    pub whole: u64,
    /// Answers that were complete before their deadline.
    pub on_time: u64,
    /// Refused requests.
    pub refused: u64,
    /// Requests refused because the answer couldn't be complete before its deadline.
    pub refused_late: u64,
    /// Interrupted answers.
    pub broken: u64,
    /// Answers with a token that was repeated, skipped or from another generation.
    pub wrong: u64,
    /// Preemptions at all engines over the whole run.
    pub preemptions: u64,
    /// Sum of the gaps that count as stalls, over all answers.
    pub stall_time_ms: f64,
    /// Time between tokens.
    pub between_tokens: Quantiles,
    /// Time from the scheduled sending to the first token.
    pub first_token: Quantiles,
    /// Time from the scheduled sending to the last token of complete answers.
    pub whole_answer: Quantiles,
    /// Share of each organisation's requests whose answer was complete before its deadline.
    pub on_time_share: Vec<f64>,
    /// 95th percentile of each organisation's time to the first token.
    pub first_token_p95_ms: Vec<f64>,
    /// Jain's fairness index of the organisations' on-time shares.
    pub fairness: f64,
    /// Tokens of answers completed before their deadline, per second of engine time.
    pub goodput_tokens_per_s: f64,
    /// Messages between entry hosts per request, over the whole run.
    pub messages_per_request: f64,
}

/// Mean and quantiles of values in milliseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Mean.
    pub mean_ms: f64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Largest value.
    pub max_ms: f64,
}

impl Sample {
    /// Creates the sample of a request that hasn't been sent yet.
    pub fn new(arrival: &Arrival) -> Self {
        Sample {
            at_ms: arrival.at_ms,
            organisation: arrival.organisation,
            kind: arrival.kind,
            refusal: None,
            answer_state: None,
            token_times_ms: Vec::new(),
        }
    }

    /// Records the answer, with its times converted to engine time.
    pub fn record_answer(&mut self, clock: &Clock, answer: Answer) {
        self.answer_state = Some(answer.state);
        let times = answer.token_times.into_iter();
        self.token_times_ms = times.map(|at| clock.engine_ms(at)).collect();
    }

    /// Returns the time from the scheduled sending to the last token, if the answer is complete.
    pub fn completion_time_ms(&self) -> Option<f64> {
        if self.answer_state != Some(AnswerState::Complete) {
            return None;
        }
        Some(self.token_times_ms.last()? - self.at_ms)
    }

    fn first_token_ms(&self) -> Option<f64> {
        Some(self.token_times_ms.first()? - self.at_ms)
    }

    fn is_on_time(&self, spec: &Spec) -> bool {
        let deadline_ms = spec.kinds[self.kind].deadline_ms as f64;
        self.completion_time_ms()
            .is_some_and(|ms| ms <= deadline_ms)
    }

    fn token_gaps_ms(&self) -> impl Iterator<Item = f64> + Clone {
        self.token_times_ms.windows(2).map(|pair| pair[1] - pair[0])
    }
}

impl Measurements {
    /// Computes the measurements of a run.
    ///
    /// Requests of the warm-up count only towards the messages per request.
    pub fn new(
        spec: &Spec,
        all_samples: Vec<Sample>,
        preemptions: u64,
        messages: u64,
    ) -> Measurements {
        let warm_up_ms = spec.warm_up_ms as f64;
        let requests = all_samples.len().max(1) as f64;
        let samples: Vec<Sample> = all_samples
            .into_iter()
            .filter(|sample| sample.at_ms >= warm_up_ms)
            .collect();
        let gaps = samples.iter().flat_map(Sample::token_gaps_ms);
        let stalls = gaps.clone().filter(|&gap| gap >= STALL_MIN_MS);
        let on_time_share = by_organisation(spec, &samples, |organisation_samples| {
            let on_time = organisation_samples
                .iter()
                .filter(|s| s.is_on_time(spec))
                .count();
            on_time as f64 / organisation_samples.len().max(1) as f64
        });
        let count = |matches: &dyn Fn(&Sample) -> bool| {
            samples.iter().filter(|sample| matches(sample)).count() as u64
        };
        let on_time_tokens: usize = samples
            .iter()
            .filter(|sample| sample.is_on_time(spec))
            .map(|sample| sample.token_times_ms.len())
            .sum();
        Measurements {
            offered: samples.len() as u64,
            whole: count(&|s| s.answer_state == Some(AnswerState::Complete)),
            on_time: count(&|s| s.is_on_time(spec)),
            refused: count(&|s| {
                s.refusal.is_some() || s.answer_state == Some(AnswerState::Refused)
            }),
            refused_late: count(&|s| {
                s.refusal == Some(RefusalReason::DeadlineUnreachable)
            }),
            broken: count(&|s| s.answer_state == Some(AnswerState::Interrupted)),
            wrong: count(&|s| s.answer_state == Some(AnswerState::Inconsistent)),
            preemptions,
            stall_time_ms: stalls.sum(),
            between_tokens: Quantiles::of(gaps),
            first_token: Quantiles::of(samples.iter().filter_map(Sample::first_token_ms)),
            whole_answer: Quantiles::of(
                samples.iter().filter_map(Sample::completion_time_ms),
            ),
            first_token_p95_ms: by_organisation(spec, &samples, |organisation_samples| {
                Quantiles::of(
                    organisation_samples
                        .iter()
                        .filter_map(|s| s.first_token_ms()),
                )
                .p95_ms
            }),
            fairness: jain_index(&on_time_share),
            on_time_share,
            goodput_tokens_per_s: on_time_tokens as f64 * 1_000.0
                / spec.duration_ms as f64,
            messages_per_request: messages as f64 / requests,
        }
    }
}

impl Quantiles {
    /// Computes the quantiles of values in milliseconds.
    pub fn of(values_ms: impl Iterator<Item = f64>) -> Quantiles {
        let mut histogram: Histogram<u64> =
            Histogram::new_with_bounds(1, HISTOGRAM_MAX, 3).expect("fixed bounds");
        for value_ms in values_ms {
            histogram.saturating_record((value_ms * UNITS_PER_MS).max(0.0) as u64);
        }
        if histogram.is_empty() {
            return Quantiles::default();
        }
        let quantile_ms =
            |quantile| histogram.value_at_quantile(quantile) as f64 / UNITS_PER_MS;
        Quantiles {
            count: histogram.len(),
            mean_ms: histogram.mean() / UNITS_PER_MS,
            p50_ms: quantile_ms(0.5),
            p95_ms: quantile_ms(0.95),
            p99_ms: quantile_ms(0.99),
            p999_ms: quantile_ms(0.999),
            max_ms: quantile_ms(1.0),
        }
    }
}

/// Computes Jain's fairness index: 1 if all values are equal, 1/n if all but one are zero.
///
/// Returns 1 if all values are zero.
pub fn jain_index(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (values.len() as f64 * squares)
}

fn by_organisation(
    spec: &Spec,
    samples: &[Sample],
    metric: impl Fn(&[&Sample]) -> f64,
) -> Vec<f64> {
    let organisations = 0..spec.organisations.len();
    organisations
        .map(|index| {
            let organisation_samples: Vec<&Sample> =
                samples.iter().filter(|s| s.organisation == index).collect();
            metric(&organisation_samples)
        })
        .collect()
}
