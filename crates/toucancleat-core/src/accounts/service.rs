//! Work on one account: what starts, what is dropped, what is refused.

use crate::accounts::account::{Account, Entry, forecast_of};
use crate::accounts::admission;
use crate::accounts::config::Config;
use crate::accounts::event::RefuseReason;
use crate::accounts::queue::Waiting;
use crate::accounts::reply::{send_granted, send_refused};
use crate::accounts::state::Outbox;
use crate::lengths;
use crate::prelude::*;

/// Drops reservations that nothing was heard of for long.
pub(super) fn expire(account: &mut Account, now_ms: u64, config: &Config) {
    let silent: Vec<GenerationId> = account
        .entries
        .values()
        .filter(|entry| now_ms > entry.heard_ms + config.reservation_timeout_ms)
        .map(|entry| entry.reserve.generation)
        .collect();
    for generation in silent {
        account.remove(generation);
    }
}

/// Refuses what waits but can no longer be on time.
pub(super) fn shed_late(account: &mut Account, now_ms: u64, outbox: &mut Outbox) {
    let late = account
        .queue
        .remove_where(|waiting| admission::is_too_late(waiting, now_ms));
    if late.is_empty() {
        return;
    }
    let retry_after_ms = admission::retry_after(admission::wait_ms(account));
    for waiting in late {
        let reason = admission::reason_of_lateness(&waiting, now_ms);
        send_refused(
            &waiting.reserve,
            &waiting.host,
            reason,
            retry_after_ms,
            outbox,
        );
    }
}

/// Starts what the target has room for now, in the queue's order.
pub(super) fn serve_queue(
    account: &mut Account,
    now_ms: u64,
    lengths: &lengths::Store,
    config: &Config,
    outbox: &mut Outbox,
) {
    while let Some(waiting) = next_that_fits(account, now_ms, lengths, config) {
        account.queue.remove(waiting.reserve.request);
        let entry = entry_of(waiting, now_ms, config);
        grant(account, now_ms, entry, lengths, outbox);
    }
}

fn next_that_fits(
    account: &Account,
    now_ms: u64,
    lengths: &lengths::Store,
    config: &Config,
) -> Option<Waiting> {
    if account.queue.is_empty() || account.batch() >= account.spec.max_batch.max(1) {
        return None;
    }
    let first = account
        .queue
        .first(1 + config.bypass_max, config.fairness_slack_tokens);
    let fits = |waiting: &&Waiting| {
        let entry = entry_of((*waiting).clone(), now_ms, config);
        let one = forecast_of(&entry, lengths);
        admission::admits(account, now_ms, &entry, &one, config)
    };
    first.into_iter().find(fits).cloned()
}

fn entry_of(waiting: Waiting, now_ms: u64, config: &Config) -> Entry {
    let mut entry = Entry::new(waiting.reserve, waiting.host, now_ms);
    let oracle = config.length_oracle.as_ref();
    entry.known_length_tokens =
        oracle.and_then(|o| o.length_tokens(&entry.reserve.prefix_hashes));
    entry
}

/// Reserves the memory and tells the host.
pub(super) fn grant(
    account: &mut Account,
    now_ms: u64,
    mut entry: Entry,
    lengths: &lengths::Store,
    outbox: &mut Outbox,
) {
    let one = forecast_of(&entry, lengths);
    let run_ms = admission::run_time_ms(account, &one);
    entry.priority = admission::engine_priority(now_ms, run_ms, &entry.reserve);
    entry.charged_tokens =
        f64::from(entry.reserve.prompt_tokens) + one.remaining_tokens();
    let reserve = &entry.reserve;
    account
        .queue
        .charge(&reserve.organisation, reserve.weight, entry.charged_tokens);
    send_granted(reserve, &entry.host, entry.priority, outbox);
    account.insert(entry, lengths);
}

/// Refuses everything that waits.
pub(super) fn refuse_all(
    account: &mut Account,
    reason: RefuseReason,
    retry_after_ms: u64,
    outbox: &mut Outbox,
) {
    for waiting in account.queue.remove_where(|_| true) {
        send_refused(
            &waiting.reserve,
            &waiting.host,
            reason,
            retry_after_ms,
            outbox,
        );
    }
}
