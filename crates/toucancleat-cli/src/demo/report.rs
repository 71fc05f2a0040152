//! Reports the results of the burst of requests.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use serde::Serialize;

use super::caller::{AnswerState, RequestOutcome};
use crate::error::Error;
use crate::output::{Output, Table};

/// The results of the burst of requests.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    lost_generations: Option<usize>,
    kinds: IndexMap<&'static str, KindReport>,
    bookings: Bookings,
    wrong: Vec<String>,
}

/// The results of the requests of one kind.
#[derive(Debug, Default, Serialize)]
struct KindReport {
    requests: usize,
    whole: usize,
    given_up: usize,
    wrong: usize,
    sent: u32,
    first_token_p50_ms: Option<f64>,
    first_token_p95_ms: Option<f64>,
    between_tokens_p95_ms: Option<f64>,
}

/// The runs of the bookings, as counted by the services.
#[derive(Debug, Serialize)]
struct Bookings {
    keys_run: usize,
    runs: usize,
    run_twice: Vec<String>,
}

impl Report {
    /// Creates a report from the outcomes at the callers and the services' runs per booking.
    pub(super) fn new(
        outcomes: Vec<RequestOutcome>,
        lost_generations: Option<usize>,
        runs_by_key: &BTreeMap<String, usize>,
    ) -> Self {
        let mut by_kind: IndexMap<&'static str, Vec<&RequestOutcome>> = IndexMap::new();
        for outcome in &outcomes {
            by_kind.entry(outcome.kind).or_default().push(outcome);
        }
        by_kind.sort_keys();
        let wrong = outcomes.iter().filter_map(|outcome| match &outcome.answer {
            AnswerState::Incorrect(reason) => Some(format!("{}: {reason}", outcome.kind)),
            _ => None,
        });
        let run_twice = runs_by_key.iter().filter(|(_, runs)| **runs > 1);
        Report {
            lost_generations,
            wrong: wrong.collect(),
            bookings: Bookings {
                keys_run: runs_by_key.len(),
                runs: runs_by_key.values().sum(),
                run_twice: run_twice.map(|(key, _)| key.clone()).collect(),
            },
            kinds: by_kind
                .iter()
                .map(|(kind, of_kind)| (*kind, kind_report(of_kind)))
                .collect(),
        }
    }

    /// Writes the table of results and lines that explain it.
    pub(super) fn write(&self, output: &Output) -> Result<(), Error> {
        let mut table = Table::new(&[
            "KIND",
            "REQUESTS",
            "WHOLE",
            "GIVEN UP",
            "WRONG",
            "SENT",
            "FIRST MS P50",
            "FIRST MS P95",
            "BETWEEN TOKENS MS P95",
        ]);
        for (kind, report) in &self.kinds {
            table.add_row(vec![
                (*kind).to_owned(),
                report.requests.to_string(),
                report.whole.to_string(),
                report.given_up.to_string(),
                report.wrong.to_string(),
                report.sent.to_string(),
                format_ms(report.first_token_p50_ms),
                format_ms(report.first_token_p95_ms),
                format_ms(report.between_tokens_p95_ms),
            ]);
        }
        output.write_table(&table)?;
        if let Some(lost) = self.lost_generations {
            output.write_line(&format!(
                "one engine was stopped with {lost} generations running; callers whose draft had \
                 begun received an error and sent the request again"
            ))?;
        }
        let Bookings { keys_run, runs, .. } = &self.bookings;
        output.write_line(&format!(
            "each booking was sent at least twice: {keys_run} bookings, {runs} runs"
        ))?;
        for wrong in &self.wrong {
            output.write_line(&format!("incorrect answer: {wrong}"))?;
        }
        Ok(())
    }

    /// Fails if a guarantee was violated: an answer was incorrect, a booking ran twice or a
    /// request was given up.
    pub(super) fn check_guarantees(&self) -> Result<(), Error> {
        let given_up: usize = self.kinds.values().map(|report| report.given_up).sum();
        let run_twice = &self.bookings.run_twice;
        if self.wrong.is_empty() && run_twice.is_empty() && given_up == 0 {
            return Ok(());
        }
        Err(Error::guarantee_violated(format!(
            "expected complete answers and each booking run once; found {} incorrect answers, \
             {given_up} requests given up and {} bookings that ran twice",
            self.wrong.len(),
            run_twice.len(),
        )))
    }
}

fn kind_report(outcomes: &[&RequestOutcome]) -> KindReport {
    let count = |answer: fn(&AnswerState) -> bool| {
        outcomes
            .iter()
            .filter(|outcome| answer(&outcome.answer))
            .count()
    };
    let whole = outcomes
        .iter()
        .filter(|outcome| outcome.answer == AnswerState::Complete);
    let first_token_ms: Vec<f64> =
        whole.filter_map(|outcome| outcome.first_token_ms).collect();
    let inter_token_ms: Vec<f64> = outcomes
        .iter()
        .flat_map(|outcome| outcome.inter_token_ms.clone())
        .collect();
    KindReport {
        requests: outcomes.len(),
        whole: count(|answer| *answer == AnswerState::Complete),
        given_up: count(|answer| *answer == AnswerState::GivenUp),
        wrong: count(|answer| matches!(answer, AnswerState::Incorrect(_))),
        sent: outcomes.iter().map(|outcome| outcome.send_count).sum(),
        first_token_p50_ms: quantile(&first_token_ms, 0.5),
        first_token_p95_ms: quantile(&first_token_ms, 0.95),
        between_tokens_p95_ms: quantile(&inter_token_ms, 0.95),
    }
}

fn quantile(values: &[f64], fraction: f64) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (fraction * sorted.len() as f64).ceil() as usize;
    sorted.get(index.saturating_sub(1)).copied()
}

fn format_ms(value: Option<f64>) -> String {
    value.map_or("-".to_owned(), |value| format!("{value:.1}"))
}
