//! What a run measured.

use hdrhistogram::Histogram;
use serde::Serialize;
use toucancleat_core::accounts::RefuseReason;

use crate::caller::{Answer, Ending};
use crate::hosts::Clock;
use crate::spec::Spec;
use crate::workload::Arrival;

/// Gap between two tokens that counts as a stall: four times the 31 ms of the target.
pub const STALL_MIN_MS: f64 = 124.0;

/// Units of a histogram in a millisecond.
const UNITS_PER_MS: f64 = 100.0;

/// Largest value of a histogram, an hour.
const HISTOGRAM_MAX: u64 = 360_000_000;

/// One request as its caller saw it, in the engines' time.
#[derive(Debug)]
pub struct Sample {
    /// When it should have been sent.
    pub at_ms: f64,
    /// Index of the organisation.
    pub organisation: usize,
    /// Index of the kind.
    pub kind: usize,
    /// Why it was refused.
    pub refused: Option<RefuseReason>,
    /// How the answer ended, unless it was refused.
    pub ending: Option<Ending>,
    /// When each token came, from the start of the run.
    pub token_times_ms: Vec<f64>,
}

/// The figures of one arm on one seed.
#[derive(Clone, Debug, Serialize)]
pub struct Measured {
    /// Requests in the measured time.
    pub offered: u64,
    /// Answers that came whole.
    pub whole: u64,
    /// Answers that came whole before their deadline.
    pub on_time: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests refused because the answer couldn't be on time.
    pub refused_late: u64,
    /// Answers that broke off.
    pub broken: u64,
    /// Answers with a token repeated, skipped or of another generation.
    pub wrong: u64,
    /// Preemptions at all engines over the whole run.
    pub preemptions: u64,
    /// Time in gaps that count as stalls, over all answers.
    pub stall_time_ms: f64,
    /// Time between tokens.
    pub between_tokens: Quantiles,
    /// Time from the intended sending to the first token.
    pub first_token: Quantiles,
    /// Time from the intended sending to the last token.
    pub whole_answer: Quantiles,
    /// Share of each organisation's requests that were answered whole and on time.
    pub on_time_share: Vec<f64>,
    /// 95th percentile of each organisation's time to the first token.
    pub first_token_p95_ms: Vec<f64>,
    /// Jain's index over the organisations' on-time shares.
    pub fairness: f64,
    /// Tokens of answers on time, for each second of engine time.
    pub goodput_tokens_per_s: f64,
    /// Messages between entry hosts for each request of the run.
    pub messages_per_request: f64,
}

/// Quantiles in milliseconds.
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
    /// Largest.
    pub max_ms: f64,
}

impl Sample {
    /// Makes the sample of a request that has not been sent yet.
    pub fn new(arrival: &Arrival) -> Self {
        Sample {
            at_ms: arrival.at_ms,
            organisation: arrival.organisation,
            kind: arrival.kind,
            refused: None,
            ending: None,
            token_times_ms: Vec::new(),
        }
    }

    /// Takes in the answer.
    pub fn take(&mut self, clock: &Clock, answer: Answer) {
        self.ending = Some(answer.ending);
        let times = answer.token_times.into_iter();
        self.token_times_ms = times.map(|at| clock.engine_ms(at)).collect();
    }

    /// Returns the time from the intended sending to the last token of a whole answer.
    pub fn whole_ms(&self) -> Option<f64> {
        if self.ending != Some(Ending::Whole) {
            return None;
        }
        Some(self.token_times_ms.last()? - self.at_ms)
    }

    fn first_token_ms(&self) -> Option<f64> {
        Some(self.token_times_ms.first()? - self.at_ms)
    }

    fn is_on_time(&self, spec: &Spec) -> bool {
        let deadline_ms = spec.kinds[self.kind].deadline_ms as f64;
        self.whole_ms().is_some_and(|ms| ms <= deadline_ms)
    }

    fn gaps_ms(&self) -> impl Iterator<Item = f64> + Clone {
        self.token_times_ms.windows(2).map(|pair| pair[1] - pair[0])
    }
}

impl Measured {
    /// Works out the figures of a run, without the requests of the warm-up.
    pub fn new(
        spec: &Spec,
        all: Vec<Sample>,
        preemptions: u64,
        messages: u64,
    ) -> Measured {
        let warm_up_ms = spec.warm_up_ms as f64;
        let requests = all.len().max(1) as f64;
        let samples: Vec<Sample> = all
            .into_iter()
            .filter(|sample| sample.at_ms >= warm_up_ms)
            .collect();
        let gaps = samples.iter().flat_map(Sample::gaps_ms);
        let stalls = gaps.clone().filter(|&gap| gap >= STALL_MIN_MS);
        let on_time_share = by_organisation(spec, &samples, |of_one| {
            let on_time = of_one.iter().filter(|s| s.is_on_time(spec)).count();
            on_time as f64 / of_one.len().max(1) as f64
        });
        let count = |holds: &dyn Fn(&Sample) -> bool| {
            samples.iter().filter(|sample| holds(sample)).count() as u64
        };
        let on_time_tokens: usize = samples
            .iter()
            .filter(|sample| sample.is_on_time(spec))
            .map(|sample| sample.token_times_ms.len())
            .sum();
        Measured {
            offered: samples.len() as u64,
            whole: count(&|s| s.ending == Some(Ending::Whole)),
            on_time: count(&|s| s.is_on_time(spec)),
            refused: count(&|s| s.refused.is_some() || s.ending == Some(Ending::Refused)),
            refused_late: count(&|s| s.refused == Some(RefuseReason::Late)),
            broken: count(&|s| s.ending == Some(Ending::Broken)),
            wrong: count(&|s| s.ending == Some(Ending::Wrong)),
            preemptions,
            stall_time_ms: stalls.sum(),
            between_tokens: Quantiles::of(gaps),
            first_token: Quantiles::of(samples.iter().filter_map(Sample::first_token_ms)),
            whole_answer: Quantiles::of(samples.iter().filter_map(Sample::whole_ms)),
            first_token_p95_ms: by_organisation(spec, &samples, |of_one| {
                Quantiles::of(of_one.iter().filter_map(|s| s.first_token_ms())).p95_ms
            }),
            fairness: jain(&on_time_share),
            on_time_share,
            goodput_tokens_per_s: on_time_tokens as f64 * 1_000.0
                / spec.duration_ms as f64,
            messages_per_request: messages as f64 / requests,
        }
    }
}

impl Quantiles {
    /// Works out the quantiles of values in milliseconds.
    pub fn of(values_ms: impl Iterator<Item = f64>) -> Quantiles {
        let mut histogram: Histogram<u64> =
            Histogram::new_with_bounds(1, HISTOGRAM_MAX, 3).expect("fixed bounds");
        for value_ms in values_ms {
            histogram.saturating_record((value_ms * UNITS_PER_MS).max(0.0) as u64);
        }
        if histogram.is_empty() {
            return Quantiles::default();
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / UNITS_PER_MS;
        Quantiles {
            count: histogram.len(),
            mean_ms: histogram.mean() / UNITS_PER_MS,
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            max_ms: at(1.0),
        }
    }
}

/// Jain's fairness index: 1 when all are equal, 1/n when one has everything.
pub fn jain(values: &[f64]) -> f64 {
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
    figure: impl Fn(&[&Sample]) -> f64,
) -> Vec<f64> {
    let organisations = 0..spec.organisations.len();
    organisations
        .map(|index| {
            let of_one: Vec<&Sample> =
                samples.iter().filter(|s| s.organisation == index).collect();
            figure(&of_one)
        })
        .collect()
}
