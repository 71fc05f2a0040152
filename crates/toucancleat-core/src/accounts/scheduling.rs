//! Scheduling on one account: grants, refusals and the expiry of reservations.

use crate::accounts::account::{Account, Reservation, forecast_reservation};
use crate::accounts::admission;
use crate::accounts::config::Config;
use crate::accounts::event::RefusalReason;
use crate::accounts::queue::WaitingRequest;
use crate::accounts::reply::{send_grant, send_refusal};
use crate::accounts::state::Outbox;
use crate::lengths;
use crate::prelude::*;

/// Drops the reservations without progress for longer than the timeout.
pub(super) fn expire_reservations(account: &mut Account, now_ms: u64, config: &Config) {
    let expired: Vec<GenerationId> = account
        .reservations
        .values()
        .filter(|reservation| {
            now_ms > reservation.updated_ms + config.reservation_timeout_ms
        })
        .map(|reservation| reservation.request.generation)
        .collect();
    for generation in expired {
        account.remove(generation);
    }
}

/// Refuses the waiting requests that can no longer be on time.
pub(super) fn refuse_late_requests(
    account: &mut Account,
    now_ms: u64,
    outbox: &mut Outbox,
) {
    let late = account
        .queue
        .remove_where(|waiting| admission::is_late(waiting, now_ms));
    if late.is_empty() {
        return;
    }
    let retry_after_ms = admission::retry_after_ms(admission::expected_wait_ms(account));
    for waiting in late {
        let reason = admission::lateness_reason(&waiting, now_ms);
        send_refusal(
            &waiting.request,
            &waiting.host,
            reason,
            retry_after_ms,
            outbox,
        );
    }
}

/// Grants waiting requests, in the order of the queue, while the target has room.
pub(super) fn serve_queue(
    account: &mut Account,
    now_ms: u64,
    lengths: &lengths::Store,
    config: &Config,
    outbox: &mut Outbox,
) {
    while let Some(waiting) = next_admissible(account, now_ms, lengths, config) {
        account.queue.remove(waiting.request.id);
        let reservation = new_reservation(waiting, now_ms, config);
        grant_reservation(account, now_ms, reservation, lengths, outbox);
    }
}

/// Returns the first request that fits among the first few of the queue.
fn next_admissible(
    account: &Account,
    now_ms: u64,
    lengths: &lengths::Store,
    config: &Config,
) -> Option<WaitingRequest> {
    if account.queue.is_empty() || account.batch_size() >= account.spec.max_batch.max(1) {
        return None;
    }
    let first = account
        .queue
        .first(1 + config.bypass_max, config.fairness_slack_tokens);
    let fits = |waiting: &&WaitingRequest| {
        let reservation = new_reservation((*waiting).clone(), now_ms, config);
        let forecast = forecast_reservation(&reservation, lengths);
        admission::admits(account, now_ms, &reservation, &forecast, config)
    };
    first.into_iter().find(fits).cloned()
}

fn new_reservation(waiting: WaitingRequest, now_ms: u64, config: &Config) -> Reservation {
    let mut reservation = Reservation::new(waiting.request, waiting.host, now_ms);
    let oracle = config.length_oracle.as_ref();
    reservation.known_length_tokens = oracle
        .and_then(|oracle| oracle.length_tokens(&reservation.request.prefix_hashes));
    reservation
}

/// Reserves the memory, charges the organisation and notifies the host.
pub(super) fn grant_reservation(
    account: &mut Account,
    now_ms: u64,
    mut reservation: Reservation,
    lengths: &lengths::Store,
    outbox: &mut Outbox,
) {
    let forecast = forecast_reservation(&reservation, lengths);
    let run_ms = admission::expected_run_ms(account, &forecast);
    reservation.priority =
        admission::engine_priority(now_ms, run_ms, &reservation.request);
    reservation.charged_tokens =
        f64::from(reservation.request.prompt_tokens) + forecast.remaining_tokens();
    let request = &reservation.request;
    account.queue.charge(
        &request.organisation,
        request.weight,
        reservation.charged_tokens,
    );
    send_grant(request, &reservation.host, reservation.priority, outbox);
    account.insert(reservation, lengths);
}

/// Refuses every waiting request.
pub(super) fn refuse_queue(
    account: &mut Account,
    reason: RefusalReason,
    retry_after_ms: u64,
    outbox: &mut Outbox,
) {
    for waiting in account.queue.remove_where(|_| true) {
        send_refusal(
            &waiting.request,
            &waiting.host,
            reason,
            retry_after_ms,
            outbox,
        );
    }
}
