//! The rule by which an account admits, queues or refuses a request.

use crate::accounts::account::{
    Account, Reservation, TargetStatus, forecast_reservation,
};
use crate::accounts::config::Config;
use crate::accounts::event::RefusalReason;
use crate::accounts::forecast::Forecast;
use crate::accounts::message::ReservationRequest;
use crate::accounts::queue::WaitingRequest;
use crate::lengths::Store;
use crate::settings::RoutingPolicy;

/// Shortest time after which a refused caller may retry.
const RETRY_AFTER_MIN_MS: u64 = 500;

/// Highest priority that engines accept.
const PRIORITY_MAX: u8 = 9;

/// The decision of an account on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Decision {
    /// The request may start now.
    Admit,
    /// The request waits, for about the given time.
    Queue { wait_ms: u64 },
    /// The request can't be served in time.
    Refuse {
        reason: RefusalReason,
        retry_after_ms: u64,
    },
}

/// Decides on a request that has just arrived.
pub(super) fn decide(
    account: &Account,
    now_ms: u64,
    reservation: &Reservation,
    lengths: &Store,
    config: &Config,
) -> Decision {
    let request = &reservation.request;
    if account.status != TargetStatus::Serving {
        return refuse(RefusalReason::NoTarget, RETRY_AFTER_MIN_MS);
    }
    if f64::from(request.prompt_tokens) >= account.memory_tokens() {
        return refuse(RefusalReason::TooLarge, RETRY_AFTER_MIN_MS);
    }
    let forecast = forecast_reservation(reservation, lengths);
    let run_ms = expected_run_ms(account, &forecast);
    let remaining_ms = request.deadline_unix_ms.saturating_sub(now_ms);
    let wait_ms = fair_wait_ms(account, reservation, &forecast);
    if account.queue.is_empty() && admits(account, now_ms, reservation, &forecast, config)
    {
        return if run_ms > remaining_ms {
            refuse_late(wait_ms)
        } else {
            Decision::Admit
        };
    }
    if wait_ms.saturating_add(run_ms) > remaining_ms {
        return refuse_late(wait_ms);
    }
    if wait_ms > request.limits.queue_timeout_ms {
        return refuse(RefusalReason::QueueTimeout, retry_after_ms(wait_ms));
    }
    Decision::Queue { wait_ms }
}

/// Returns true if the target's memory and step time allow one more generation now.
pub(super) fn admits(
    account: &Account,
    now_ms: u64,
    reservation: &Reservation,
    forecast: &Forecast,
    config: &Config,
) -> bool {
    let limits = &reservation.request.limits;
    let batch_size = account.batch_size() + 1;
    if account.status != TargetStatus::Serving
        || batch_size > account.spec.max_batch.max(1)
    {
        return false;
    }
    let usable_share = usable_share(account, now_ms, config);
    let memory_tokens =
        account.memory_tokens() * usable_share - account.unaccounted_tokens();
    if limits.policy == RoutingPolicy::ReserveMaximum {
        return account.batch_size() == 0
            || account.forecast().fits(forecast, memory_tokens, 0.5);
    }
    // An empty target takes any request that its memory holds at the start.
    if account.batch_size() == 0 {
        return account.unaccounted_tokens() == 0.0;
    }
    account.step_ms(batch_size) <= limits.step_time_max_ms
        && account
            .forecast()
            .fits(forecast, memory_tokens, limits.outgrow_chance_max)
}

/// Returns the longest time that a new request is expected to wait at the account.
pub(super) fn expected_wait_ms(account: &Account) -> u64 {
    wait_behind_ms(account, account.queue.expected_tokens())
}

/// Returns the time that this request is expected to wait in the fair order of the queue.
fn fair_wait_ms(
    account: &Account,
    reservation: &Reservation,
    forecast: &Forecast,
) -> u64 {
    let request = &reservation.request;
    let run_ms = expected_run_ms(account, forecast);
    let ahead_tokens = account.queue.tokens_ahead(
        &request.organisation,
        request.weight,
        request.deadline_unix_ms.saturating_sub(run_ms),
        forecast.remaining_tokens(),
    );
    wait_behind_ms(account, ahead_tokens)
}

/// Returns the expected time until `ahead_tokens` of queued work are done and the next
/// running generation has ended.
fn wait_behind_ms(account: &Account, ahead_tokens: f64) -> u64 {
    let batch_size = account.batch_size().max(1);
    let step_ms = account.step_ms(batch_size);
    let queue_ms = ahead_tokens * step_ms / f64::from(batch_size);
    // With `n` generations running, the next ends after about an n-th of their mean
    // remaining time.
    let remaining_tokens = account.forecast().remaining_tokens();
    let next_end_ms = remaining_tokens * step_ms / f64::from(batch_size * batch_size);
    (queue_ms + next_end_ms) as u64
}

/// Returns the time that the answer is expected to take from its start.
pub(super) fn expected_run_ms(account: &Account, forecast: &Forecast) -> u64 {
    let step_ms = account.step_ms(account.batch_size() + 1);
    (forecast.remaining_tokens() * step_ms) as u64
}

/// Returns the entry of a request in the queue.
pub(super) fn waiting_request(
    account: &Account,
    now_ms: u64,
    reservation: &Reservation,
    lengths: &Store,
) -> WaitingRequest {
    let forecast = forecast_reservation(reservation, lengths);
    let run_ms = expected_run_ms(account, &forecast);
    let request = &reservation.request;
    WaitingRequest {
        request: request.clone(),
        host: reservation.host.clone(),
        queued_ms: now_ms,
        start_by_ms: request.deadline_unix_ms.saturating_sub(run_ms),
        expected_tokens: forecast.remaining_tokens(),
    }
}

/// Returns the priority that the engine is given for a generation.
///
/// The priority is fixed while the generation runs, so it can only reflect how soon the
/// answer is due: one step up for each halving of the slack, from twice the expected run
/// time down. Among equal priorities the engine preempts the generation that started
/// last, which keeps those that have run longest.
pub(super) fn engine_priority(
    now_ms: u64,
    run_ms: u64,
    request: &ReservationRequest,
) -> u8 {
    let remaining_ms = request.deadline_unix_ms.saturating_sub(now_ms);
    let slack = remaining_ms.saturating_sub(run_ms) as f64 / run_ms.max(1) as f64;
    let steps = match slack {
        s if s < 0.5 => 3,
        s if s < 1.0 => 2,
        s if s < 2.0 => 1,
        _ => 0,
    };
    (request.priority + steps).min(PRIORITY_MAX)
}

/// Returns the time after which a refused caller may retry.
pub(super) fn retry_after_ms(wait_ms: u64) -> u64 {
    wait_ms.max(RETRY_AFTER_MIN_MS)
}

/// Returns the share of the memory that the account may plan with.
///
/// N.B. Two hosts may both act as the home for a while, so an account that isn't rebuilt
/// yet leaves room for reservations that it may lack.
fn usable_share(account: &Account, now_ms: u64, config: &Config) -> f64 {
    let is_rebuilt =
        account.awaited_hosts.is_empty() || now_ms >= account.rebuild_deadline_ms;
    if is_rebuilt {
        1.0
    } else {
        config.cautious_share
    }
}

fn refuse_late(wait_ms: u64) -> Decision {
    refuse(RefusalReason::DeadlineUnreachable, retry_after_ms(wait_ms))
}

fn refuse(reason: RefusalReason, retry_after_ms: u64) -> Decision {
    Decision::Refuse {
        reason,
        retry_after_ms,
    }
}

/// Returns true if a waiting request can no longer be on time, or has waited too long.
pub(super) fn is_late(waiting: &WaitingRequest, now_ms: u64) -> bool {
    let waited_ms = now_ms.saturating_sub(waiting.queued_ms);
    now_ms > waiting.start_by_ms || waited_ms > waiting.request.limits.queue_timeout_ms
}

/// Returns the reason for which a late request is refused.
pub(super) fn lateness_reason(waiting: &WaitingRequest, now_ms: u64) -> RefusalReason {
    match now_ms > waiting.start_by_ms {
        true => RefusalReason::DeadlineUnreachable,
        false => RefusalReason::QueueTimeout,
    }
}
