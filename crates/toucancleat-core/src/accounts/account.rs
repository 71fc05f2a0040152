//! The account of one target's memory.

use indexmap::IndexMap;

use crate::accounts::event::{LoadReport, TargetSpec};
use crate::accounts::forecast::{Footprint, Forecast};
use crate::accounts::message::{AccountSummary, ReservationRequest};
use crate::accounts::queue::Queue;
use crate::accounts::step_time::StepTime;
use crate::lengths::{RunningAnswer, Store};
use crate::prelude::*;
use crate::settings::RoutingPolicy;

/// Step time assumed before the engine has reported enough of them.
const DEFAULT_STEP_TIME_MS: f64 = 25.0;

/// Factor by which a report may exceed the account before the rest counts as unaccounted.
/// Progress is sent at each quarter of growth, so the account may lag by as much.
const REPORT_TOLERANCE: f64 = 1.3;

/// Number of last reports over which the minimum excess is taken, so that generations
/// that ended after a late report was measured don't count.
const EXCESS_REPORTS: usize = 4;

/// The known state of one target at its home.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) spec: TargetSpec,
    pub(super) status: TargetStatus,
    pub(super) reservations: IndexMap<GenerationId, Reservation>,
    pub(super) queue: Queue,
    pub(super) step_time: StepTime,
    pub(super) report: Option<LoadReport>,
    /// Hosts whose holdings are still missing after a change of home.
    pub(super) awaited_hosts: Vec<HostName>,
    /// Time at which the account counts as rebuilt even without them.
    pub(super) rebuild_deadline_ms: u64,
    forecast: Forecast,
    /// Memory in use beyond the account, one value for each of the last reports.
    excess_tokens: [f64; EXCESS_REPORTS],
    report_count: usize,
}

/// Whether a target takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TargetStatus {
    /// The target takes new work.
    Serving,
    /// The target only finishes the work that it has.
    Leaving,
    /// The target is unavailable.
    Unavailable,
}

/// The memory reserved for one generation.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    pub(super) request: ReservationRequest,
    pub(super) host: HostName,
    pub(super) tokens: u32,
    pub(super) known_length_tokens: Option<u32>,
    pub(super) charged_tokens: f64,
    pub(super) priority: u8,
    pub(super) updated_ms: u64,
    forecast: Forecast,
}

impl Account {
    pub(super) fn new(spec: TargetSpec) -> Self {
        Account {
            spec,
            status: TargetStatus::Serving,
            reservations: IndexMap::new(),
            queue: Queue::default(),
            step_time: StepTime::default(),
            report: None,
            awaited_hosts: Vec::new(),
            rebuild_deadline_ms: 0,
            forecast: Forecast::default(),
            excess_tokens: [0.0; EXCESS_REPORTS],
            report_count: 0,
        }
    }

    /// Records a load report of the engine.
    pub(super) fn record_report(&mut self, report: LoadReport) {
        self.step_time.observe(report.running, report.step_ms);
        let accounted_tokens = self.forecast.current_tokens() * REPORT_TOLERANCE;
        let excess_tokens = (report.used_tokens as f64 - accounted_tokens).max(0.0);
        self.excess_tokens[self.report_count % EXCESS_REPORTS] = excess_tokens;
        self.report_count += 1;
        self.report = Some(report);
    }

    /// Returns the memory that the engine uses for work unknown to the account, in
    /// tokens.
    ///
    /// Two hosts may both act as the home for a while, and hosts without a home start
    /// work on their own. Only the reports of the engine show it.
    pub(super) fn unaccounted_tokens(&self) -> f64 {
        self.excess_tokens
            .iter()
            .copied()
            .fold(f64::INFINITY, f64::min)
    }

    /// Returns the size of the memory in tokens; a report takes precedence over the
    /// settings.
    pub(super) fn memory_tokens(&self) -> f64 {
        let reported_tokens = self
            .report
            .as_ref()
            .map_or(0, |report| report.memory_tokens);
        match reported_tokens {
            0 => self.spec.memory_tokens as f64,
            reported_tokens => reported_tokens as f64,
        }
    }

    pub(super) fn forecast(&self) -> &Forecast {
        &self.forecast
    }

    /// Predicts the step time for a batch size, in milliseconds.
    pub(super) fn step_ms(&self, batch_size: u32) -> f64 {
        self.step_time
            .predict_ms(batch_size)
            .unwrap_or(DEFAULT_STEP_TIME_MS)
    }

    /// Adds a reservation, or replaces that of the same generation.
    pub(super) fn insert(&mut self, mut reservation: Reservation, lengths: &Store) {
        self.remove(reservation.request.generation);
        reservation.forecast = forecast_reservation(&reservation, lengths);
        self.forecast.add(&reservation.forecast);
        self.reservations
            .insert(reservation.request.generation, reservation);
    }

    /// Removes a reservation.
    pub(super) fn remove(&mut self, generation: GenerationId) -> Option<Reservation> {
        let reservation = self.reservations.swap_remove(&generation)?;
        self.forecast.subtract(&reservation.forecast);
        Some(reservation)
    }

    /// Records the progress of a generation; returns true if the account knows it.
    pub(super) fn record_progress(
        &mut self,
        now_ms: u64,
        generation: GenerationId,
        tokens: u32,
        lengths: &Store,
    ) -> bool {
        let Some(reservation) = self.reservations.get_mut(&generation) else {
            return false;
        };
        reservation.updated_ms = now_ms;
        // A late message must not lower the progress.
        if tokens > reservation.tokens {
            reservation.tokens = tokens;
            self.forecast.subtract(&reservation.forecast);
            reservation.forecast = forecast_reservation(reservation, lengths);
            self.forecast.add(&reservation.forecast);
        }
        true
    }

    /// Forecasts every reservation again after the length distributions have changed.
    pub(super) fn reforecast(&mut self, lengths: &Store) {
        self.forecast = Forecast::default();
        for reservation in self.reservations.values_mut() {
            reservation.forecast = forecast_reservation(reservation, lengths);
            self.forecast.add(&reservation.forecast);
        }
    }

    /// Returns the running answers, for the length estimates.
    pub(super) fn running(&self) -> impl Iterator<Item = RunningAnswer<'_>> {
        self.reservations.values().map(|reservation| RunningAnswer {
            organisation: &reservation.request.organisation,
            kind: &reservation.request.kind,
            tokens: reservation.tokens,
        })
    }

    /// Returns the number of generations that run or are about to start.
    pub(super) fn batch_size(&self) -> u32 {
        self.reservations.len() as u32
    }

    /// Returns a summary of the account.
    pub(super) fn summary(&self, wait_ms: u64) -> AccountSummary {
        AccountSummary {
            target: self.spec.name.clone(),
            running: self.batch_size(),
            queued: self.queue.len() as u32,
            wait_ms,
            used_share: self.forecast.current_tokens() / self.memory_tokens().max(1.0),
        }
    }
}

impl Reservation {
    pub(super) fn new(request: ReservationRequest, host: HostName, now_ms: u64) -> Self {
        Reservation {
            priority: request.priority,
            request,
            host,
            tokens: 0,
            known_length_tokens: None,
            charged_tokens: 0.0,
            updated_ms: now_ms,
            forecast: Forecast::default(),
        }
    }
}

/// Forecasts the memory of a reservation.
pub(super) fn forecast_reservation(
    reservation: &Reservation,
    lengths: &Store,
) -> Forecast {
    let request = &reservation.request;
    let distribution = lengths.distribution(&request.organisation, &request.kind);
    let (prompt_tokens, generated) = (request.prompt_tokens, reservation.tokens);
    let max_output_tokens = request.max_output_tokens;
    if request.limits.policy == RoutingPolicy::ReserveMaximum {
        return Forecast::of(Footprint::Fixed {
            held_tokens: u64::from(prompt_tokens) + u64::from(max_output_tokens),
            generated,
            max_output_tokens,
            distribution,
        });
    }
    let footprint = match reservation.known_length_tokens {
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
