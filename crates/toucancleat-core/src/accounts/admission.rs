//! The rule by which a target's account admits, queues or refuses a request.

use crate::accounts::account::{Account, Entry, Standing, forecast_of};
use crate::accounts::config::Config;
use crate::accounts::event::RefuseReason;
use crate::accounts::forecast::Forecast;
use crate::accounts::message::Reserve;
use crate::accounts::queue::Waiting;
use crate::lengths::Store;
use crate::settings::RoutingPolicy;

/// Shortest time that a refused caller is told to stay away.
const RETRY_AFTER_MIN_MS: u64 = 500;

/// Priorities that an engine knows.
const PRIORITY_MAX: u8 = 9;

/// What becomes of a request at an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Decision {
    /// It may start now.
    Admit,
    /// It waits; the expected wait is given.
    Queue { wait_ms: u64 },
    /// It can't be served in time.
    Refuse {
        reason: RefuseReason,
        retry_after_ms: u64,
    },
}

/// Decides on a request that has just come.
pub(super) fn decide(
    account: &Account,
    now_ms: u64,
    entry: &Entry,
    lengths: &Store,
    config: &Config,
) -> Decision {
    let reserve = &entry.reserve;
    if account.standing != Standing::Serving {
        return refuse(RefuseReason::NoTarget, RETRY_AFTER_MIN_MS);
    }
    if f64::from(reserve.prompt_tokens) >= account.memory_tokens() {
        return refuse(RefuseReason::TooLarge, RETRY_AFTER_MIN_MS);
    }
    let one = forecast_of(entry, lengths);
    let run_ms = run_time_ms(account, &one);
    let left_ms = reserve.deadline_unix_ms.saturating_sub(now_ms);
    let wait_ms = own_wait_ms(account, entry, &one);
    if account.queue.is_empty() && admits(account, now_ms, entry, &one, config) {
        return if run_ms > left_ms {
            late(wait_ms)
        } else {
            Decision::Admit
        };
    }
    if wait_ms.saturating_add(run_ms) > left_ms {
        return late(wait_ms);
    }
    if wait_ms > reserve.limits.queue_timeout_ms {
        return refuse(RefuseReason::QueueTimeout, retry_after(wait_ms));
    }
    Decision::Queue { wait_ms }
}

/// Says whether the target's memory and step time allow one more now.
pub(super) fn admits(
    account: &Account,
    now_ms: u64,
    entry: &Entry,
    one: &Forecast,
    config: &Config,
) -> bool {
    let limits = &entry.reserve.limits;
    let batch = account.batch() + 1;
    if account.standing != Standing::Serving || batch > account.spec.max_batch.max(1) {
        return false;
    }
    let share = share_of_memory(account, now_ms, config);
    let memory_tokens = account.memory_tokens() * share - account.unaccounted_tokens();
    if limits.policy == RoutingPolicy::ReserveMaximum {
        return account.batch() == 0 || account.forecast().fits(one, memory_tokens, 0.5);
    }
    // An empty target takes anything that its memory can hold at the start.
    if account.batch() == 0 {
        return account.unaccounted_tokens() == 0.0;
    }
    account.step_ms(batch) <= limits.step_time_max_ms
        && account
            .forecast()
            .fits(one, memory_tokens, limits.outgrow_chance_max)
}

/// Returns the time that a new request may have to wait at the account.
pub(super) fn wait_ms(account: &Account) -> u64 {
    wait_behind_ms(account, account.queue.expected_tokens())
}

/// Returns the time that this request may have to wait behind its fair turn.
fn own_wait_ms(account: &Account, entry: &Entry, one: &Forecast) -> u64 {
    let reserve = &entry.reserve;
    let run_ms = run_time_ms(account, one);
    let ahead_tokens = account.queue.tokens_ahead(
        &reserve.organisation,
        reserve.weight,
        reserve.deadline_unix_ms.saturating_sub(run_ms),
        one.remaining_tokens(),
    );
    wait_behind_ms(account, ahead_tokens)
}

/// Returns the time until `ahead_tokens` of queued work and the next running one are done.
fn wait_behind_ms(account: &Account, ahead_tokens: f64) -> u64 {
    let batch = account.batch().max(1);
    let step_ms = account.step_ms(batch);
    let queue_ms = ahead_tokens * step_ms / f64::from(batch);
    // With `n` running, one ends after about an n-th of their mean remaining time.
    let remaining_tokens = account.forecast().remaining_tokens();
    let next_end_ms = remaining_tokens * step_ms / f64::from(batch * batch);
    (queue_ms + next_end_ms) as u64
}

/// Returns the time that the answer is expected to take once it starts.
pub(super) fn run_time_ms(account: &Account, one: &Forecast) -> u64 {
    let step_ms = account.step_ms(account.batch() + 1);
    (one.remaining_tokens() * step_ms) as u64
}

/// Puts a request into the form in which it waits.
pub(super) fn waiting_of(
    account: &Account,
    now_ms: u64,
    entry: &Entry,
    lengths: &Store,
) -> Waiting {
    let one = forecast_of(entry, lengths);
    let run_ms = run_time_ms(account, &one);
    let reserve = &entry.reserve;
    Waiting {
        reserve: reserve.clone(),
        host: entry.host.clone(),
        since_ms: now_ms,
        start_by_ms: reserve.deadline_unix_ms.saturating_sub(run_ms),
        expected_tokens: one.remaining_tokens(),
    }
}

/// Returns the priority for the engine.
///
/// The priority stays as it is while the generation runs, so it can only say how soon the
/// answer is due: one step up for each halving of the slack below the expected run
/// time. Among equal priorities the engine preempts the one that began last, which keeps
/// what has run longest.
pub(super) fn engine_priority(now_ms: u64, run_ms: u64, reserve: &Reserve) -> u8 {
    let left_ms = reserve.deadline_unix_ms.saturating_sub(now_ms);
    let slack = left_ms.saturating_sub(run_ms) as f64 / run_ms.max(1) as f64;
    let raise = match slack {
        s if s < 0.5 => 3,
        s if s < 1.0 => 2,
        s if s < 2.0 => 1,
        _ => 0,
    };
    (reserve.priority + raise).min(PRIORITY_MAX)
}

/// Returns the time after which a refused caller should come back.
pub(super) fn retry_after(wait_ms: u64) -> u64 {
    wait_ms.max(RETRY_AFTER_MIN_MS)
}

/// Returns the share of the memory that the account may plan with.
///
/// N.B. two hosts may both believe that they are the home for a while, so an account that
/// isn't rebuilt yet leaves room for what it hasn't heard of.
fn share_of_memory(account: &Account, now_ms: u64, config: &Config) -> f64 {
    let rebuilt = account.awaited.is_empty() || now_ms >= account.rebuilt_by_ms;
    if rebuilt { 1.0 } else { config.caution_share }
}

fn late(wait_ms: u64) -> Decision {
    refuse(RefuseReason::Late, retry_after(wait_ms))
}

fn refuse(reason: RefuseReason, retry_after_ms: u64) -> Decision {
    Decision::Refuse {
        reason,
        retry_after_ms,
    }
}

/// Returns whether a request that waits can no longer be on time.
pub(super) fn is_too_late(waiting: &Waiting, now_ms: u64) -> bool {
    let waited_ms = now_ms.saturating_sub(waiting.since_ms);
    now_ms > waiting.start_by_ms || waited_ms > waiting.reserve.limits.queue_timeout_ms
}

/// Names the reason for which a request that waits is refused.
pub(super) fn reason_of_lateness(waiting: &Waiting, now_ms: u64) -> RefuseReason {
    match now_ms > waiting.start_by_ms {
        true => RefuseReason::Late,
        false => RefuseReason::QueueTimeout,
    }
}
