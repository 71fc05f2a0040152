//! The account of one target.

use indexmap::IndexMap;

use crate::accounts::event::{LoadReport, TargetSpec};
use crate::accounts::forecast::{Footprint, Forecast};
use crate::accounts::message::{Load, Reserve};
use crate::accounts::queue::Queue;
use crate::accounts::step_time::StepTime;
use crate::lengths::{RunningAnswer, Store};
use crate::prelude::*;
use crate::settings::RoutingPolicy;

/// Step time assumed before an engine has reported any.
const STEP_TIME_ASSUMED_MS: f64 = 25.0;

/// How far a report may exceed the account before the rest counts as not accounted for:
/// progress is told at each quarter of growth, so the account may lag by as much.
const REPORT_LEEWAY: f64 = 1.3;

/// Reports of which the least excess counts, so that what ended since a late report was
/// measured doesn't.
const EXCESS_REPORTS: usize = 4;

/// Everything that the home knows of one target.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) spec: TargetSpec,
    pub(super) standing: Standing,
    pub(super) entries: IndexMap<GenerationId, Entry>,
    pub(super) queue: Queue,
    pub(super) step_time: StepTime,
    pub(super) report: Option<LoadReport>,
    /// Hosts whose holdings are still awaited after a change of home.
    pub(super) awaited: Vec<HostName>,
    /// When the account counts as rebuilt even without them.
    pub(super) rebuilt_by_ms: u64,
    forecast: Forecast,
    /// Memory in use beyond the account, by the last reports.
    excess_tokens: [f64; EXCESS_REPORTS],
    reports: usize,
}

/// Whether a target takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// It takes new work.
    Serving,
    /// It finishes what it has.
    Leaving,
    /// It is out of service.
    Lost,
}

/// A reservation.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) reserve: Reserve,
    pub(super) host: HostName,
    pub(super) tokens: u32,
    pub(super) known_length_tokens: Option<u32>,
    pub(super) charged_tokens: f64,
    pub(super) priority: u8,
    pub(super) heard_ms: u64,
    forecast: Forecast,
}

impl Account {
    pub(super) fn new(spec: TargetSpec) -> Self {
        Account {
            spec,
            standing: Standing::Serving,
            entries: IndexMap::new(),
            queue: Queue::default(),
            step_time: StepTime::default(),
            report: None,
            awaited: Vec::new(),
            rebuilt_by_ms: 0,
            forecast: Forecast::default(),
            excess_tokens: [0.0; EXCESS_REPORTS],
            reports: 0,
        }
    }

    /// Takes in an engine's load report.
    pub(super) fn note_report(&mut self, report: LoadReport) {
        self.step_time.observe(report.running, report.step_ms);
        let known_tokens = self.forecast.now_tokens() * REPORT_LEEWAY;
        let excess_tokens = (report.used_tokens as f64 - known_tokens).max(0.0);
        self.excess_tokens[self.reports % EXCESS_REPORTS] = excess_tokens;
        self.reports += 1;
        self.report = Some(report);
    }

    /// Returns the memory that the engine uses for work that the account doesn't know.
    ///
    /// Two hosts may both act as the home for a while, and hosts without a home start work
    /// on their own; the engine's report is the only word of it.
    pub(super) fn unaccounted_tokens(&self) -> f64 {
        self.excess_tokens
            .iter()
            .copied()
            .fold(f64::INFINITY, f64::min)
    }

    /// Returns the whole memory; a report corrects the settings.
    pub(super) fn memory_tokens(&self) -> f64 {
        let reported = self.report.as_ref().map_or(0, |r| r.memory_tokens);
        match reported {
            0 => self.spec.memory_tokens as f64,
            reported => reported as f64,
        }
    }

    pub(super) fn forecast(&self) -> &Forecast {
        &self.forecast
    }

    /// Predicts the step time at a batch.
    pub(super) fn step_ms(&self, batch: u32) -> f64 {
        self.step_time
            .predict_ms(batch)
            .unwrap_or(STEP_TIME_ASSUMED_MS)
    }

    /// Adds a reservation, or replaces one of the same generation.
    pub(super) fn insert(&mut self, mut entry: Entry, lengths: &Store) {
        self.remove(entry.reserve.generation);
        entry.forecast = forecast_of(&entry, lengths);
        self.forecast.add(&entry.forecast);
        self.entries.insert(entry.reserve.generation, entry);
    }

    /// Takes a reservation out.
    pub(super) fn remove(&mut self, generation: GenerationId) -> Option<Entry> {
        let entry = self.entries.swap_remove(&generation)?;
        self.forecast.subtract(&entry.forecast);
        Some(entry)
    }

    /// Moves a generation on; tells whether the account knows it.
    pub(super) fn progress(
        &mut self,
        now_ms: u64,
        generation: GenerationId,
        tokens: u32,
        lengths: &Store,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(&generation) else {
            return false;
        };
        entry.heard_ms = now_ms;
        // A late message must not set a generation back.
        if tokens > entry.tokens {
            entry.tokens = tokens;
            self.forecast.subtract(&entry.forecast);
            entry.forecast = forecast_of(entry, lengths);
            self.forecast.add(&entry.forecast);
        }
        true
    }

    /// Forecasts every entry anew, after the length distributions have changed.
    pub(super) fn reforecast(&mut self, lengths: &Store) {
        self.forecast = Forecast::default();
        for entry in self.entries.values_mut() {
            entry.forecast = forecast_of(entry, lengths);
            self.forecast.add(&entry.forecast);
        }
    }

    /// Returns the running answers, for the length estimate.
    pub(super) fn running(&self) -> impl Iterator<Item = RunningAnswer<'_>> {
        self.entries.values().map(|entry| RunningAnswer {
            organisation: &entry.reserve.organisation,
            kind: &entry.reserve.kind,
            tokens: entry.tokens,
        })
    }

    /// Returns the number of generations that run or are about to.
    pub(super) fn batch(&self) -> u32 {
        self.entries.len() as u32
    }

    /// Returns the account in brief.
    pub(super) fn load(&self, wait_ms: u64) -> Load {
        Load {
            target: self.spec.name.clone(),
            running: self.batch(),
            queued: self.queue.len() as u32,
            wait_ms,
            used_share: self.forecast.now_tokens() / self.memory_tokens().max(1.0),
        }
    }
}

impl Entry {
    pub(super) fn new(reserve: Reserve, host: HostName, now_ms: u64) -> Self {
        Entry {
            priority: reserve.priority,
            reserve,
            host,
            tokens: 0,
            known_length_tokens: None,
            charged_tokens: 0.0,
            heard_ms: now_ms,
            forecast: Forecast::default(),
        }
    }
}

/// Forecasts what a reservation holds.
pub(super) fn forecast_of(entry: &Entry, lengths: &Store) -> Forecast {
    let reserve = &entry.reserve;
    let distribution = lengths.distribution(&reserve.organisation, &reserve.kind);
    let (prompt_tokens, generated) = (reserve.prompt_tokens, entry.tokens);
    let max_output_tokens = reserve.max_output_tokens;
    if reserve.limits.policy == RoutingPolicy::ReserveMaximum {
        return Forecast::of(Footprint::Fixed {
            held_tokens: u64::from(prompt_tokens) + u64::from(max_output_tokens),
            generated,
            max_output_tokens,
            distribution,
        });
    }
    let footprint = match entry.known_length_tokens {
        Some(length_tokens) => Footprint::Known {
            prompt_tokens,
            generated,
            length_tokens,
        },
        None => Footprint::Unknown {
            prompt_tokens,
            generated,
            max_output_tokens,
            distribution,
        },
    };
    Forecast::of(footprint)
}
