//! What came of the rush.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use serde::Serialize;

use super::caller::{Ending, Outcome};
use crate::error::Error;
use crate::output::{Output, Table};

/// The rush in figures.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    lost_generations: Option<usize>,
    kinds: IndexMap<&'static str, KindReport>,
    bookings: Bookings,
    wrong: Vec<String>,
}

/// The requests of one kind.
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

/// How often the bookings ran, by the services' own count.
#[derive(Debug, Serialize)]
struct Bookings {
    keys_run: usize,
    runs: usize,
    run_twice: Vec<String>,
}

impl Report {
    /// Sums up the outcomes and what the services counted.
    pub(super) fn new(
        outcomes: Vec<Outcome>,
        lost_generations: Option<usize>,
        runs_by_key: &BTreeMap<String, usize>,
    ) -> Self {
        let mut by_kind: IndexMap<&'static str, Vec<&Outcome>> = IndexMap::new();
        for outcome in &outcomes {
            by_kind.entry(outcome.kind).or_default().push(outcome);
        }
        by_kind.sort_keys();
        let wrong = outcomes.iter().filter_map(|outcome| match &outcome.ending {
            Ending::Wrong(why) => Some(format!("{}: {why}", outcome.kind)),
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

    /// Writes a table and what it means.
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
            table.row(vec![
                (*kind).to_owned(),
                report.requests.to_string(),
                report.whole.to_string(),
                report.given_up.to_string(),
                report.wrong.to_string(),
                report.sent.to_string(),
                shown(report.first_token_p50_ms),
                shown(report.first_token_p95_ms),
                shown(report.between_tokens_p95_ms),
            ]);
        }
        output.table(&table)?;
        if let Some(lost) = self.lost_generations {
            output.line(&format!(
                "an engine was lost with {lost} generations running; a caller whose draft had \
                 begun was told and sent it again"
            ))?;
        }
        let Bookings { keys_run, runs, .. } = &self.bookings;
        output.line(&format!(
            "each booking was sent at least twice: {keys_run} bookings, {runs} runs"
        ))?;
        for wrong in &self.wrong {
            output.line(&format!("wrong: {wrong}"))?;
        }
        Ok(())
    }

    /// Fails when a promise was broken.
    pub(super) fn verdict(&self) -> Result<(), Error> {
        let given_up: usize = self.kinds.values().map(|report| report.given_up).sum();
        let run_twice = &self.bookings.run_twice;
        if self.wrong.is_empty() && run_twice.is_empty() && given_up == 0 {
            return Ok(());
        }
        Err(Error::broken(format!(
            "{} wrong answers, {given_up} requests given up, {} bookings that ran twice",
            self.wrong.len(),
            run_twice.len(),
        )))
    }
}

fn kind_report(outcomes: &[&Outcome]) -> KindReport {
    let count = |ending: fn(&Ending) -> bool| {
        outcomes
            .iter()
            .filter(|outcome| ending(&outcome.ending))
            .count()
    };
    let whole = outcomes
        .iter()
        .filter(|outcome| outcome.ending == Ending::Whole);
    let first: Vec<f64> = whole.filter_map(|outcome| outcome.first_token_ms).collect();
    let gaps: Vec<f64> = outcomes
        .iter()
        .flat_map(|outcome| outcome.gaps_ms.clone())
        .collect();
    KindReport {
        requests: outcomes.len(),
        whole: count(|ending| *ending == Ending::Whole),
        given_up: count(|ending| *ending == Ending::GivenUp),
        wrong: count(|ending| matches!(ending, Ending::Wrong(_))),
        sent: outcomes.iter().map(|outcome| outcome.sendings).sum(),
        first_token_p50_ms: quantile(&first, 0.5),
        first_token_p95_ms: quantile(&first, 0.95),
        between_tokens_p95_ms: quantile(&gaps, 0.95),
    }
}

fn quantile(values: &[f64], share: f64) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (share * sorted.len() as f64).ceil() as usize;
    sorted.get(index.saturating_sub(1)).copied()
}

fn shown(value: Option<f64>) -> String {
    value.map_or("-".to_owned(), |value| format!("{value:.1}"))
}
