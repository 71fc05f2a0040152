//! Encoding of messages about reservations at the homes of targets.

use toucancleat_core::accounts::{
    AccountSummary, FinishedGeneration, Limits, Message, Outcome, Progress, QueueNotice,
    RefusalReason, ReservationGrant, ReservationRefusal, ReservationRequest,
    RunningGeneration,
};
use toucancleat_core::prelude::*;
use toucancleat_core::settings::RoutingPolicy;

use super::value::{read_id, read_list, read_name, read_names, write_id};
use crate::accounts_capnp as wire;
use crate::error::DecodeError;

pub(crate) fn write(message: &Message, mut out: wire::message::Builder<'_>) {
    match message {
        Message::Reserve(request) => {
            write_reservation_request(request, out.init_reserve())
        }
        Message::Granted(granted) => {
            let mut out = out.init_granted();
            write_id(granted.request.0, out.reborrow().init_request());
            write_id(granted.generation.0, out.reborrow().init_generation());
            out.set_target(granted.target.as_str());
            out.set_priority(granted.priority);
        }
        Message::Queued(queued) => {
            let mut out = out.init_queued();
            write_id(queued.request.0, out.reborrow().init_request());
            out.set_target(queued.target.as_str());
            out.set_wait_ms(queued.wait_ms);
        }
        Message::Refused(refused) => {
            let mut out = out.init_refused();
            write_id(refused.request.0, out.reborrow().init_request());
            out.set_target(refused.target.as_str());
            out.set_reason(reason_to_wire(refused.reason));
            out.set_retry_after_ms(refused.retry_after_ms);
        }
        Message::Withdraw {
            request,
            generation,
            target,
        } => {
            let mut out = out.init_withdraw();
            write_id(request.0, out.reborrow().init_request());
            write_id(generation.0, out.reborrow().init_generation());
            out.set_target(target.as_str());
        }
        Message::Progress { entries } => {
            let mut list = out.init_progress(entries.len() as u32);
            for (i, entry) in entries.iter().enumerate() {
                let mut out = list.reborrow().get(i as u32);
                write_id(entry.generation.0, out.reborrow().init_generation());
                out.set_target(entry.target.as_str());
                out.set_tokens(entry.tokens);
            }
        }
        Message::Finished(finished) => {
            let mut out = out.init_finished();
            write_id(finished.generation.0, out.reborrow().init_generation());
            out.set_target(finished.target.as_str());
            out.set_tokens(finished.tokens);
            out.set_outcome(outcome_to_wire(finished.outcome));
        }
        Message::HoldingsRequest { targets } => {
            let mut list = out.init_rebuild(targets.len() as u32);
            write_names(targets, &mut list);
        }
        Message::Holdings { targets, entries } => {
            let mut out = out.init_holdings();
            let mut list = out.reborrow().init_targets(targets.len() as u32);
            write_names(targets, &mut list);
            let mut list = out.init_entries(entries.len() as u32);
            for (i, entry) in entries.iter().enumerate() {
                let mut out = list.reborrow().get(i as u32);
                write_reservation_request(&entry.request, out.reborrow().init_reserve());
                out.set_tokens(entry.tokens);
            }
        }
        Message::AccountSummaries { entries } => {
            let mut list = out.reborrow().init_loads(entries.len() as u32);
            for (i, entry) in entries.iter().enumerate() {
                let mut out = list.reborrow().get(i as u32);
                out.set_target(entry.target.as_str());
                out.set_running(entry.running);
                out.set_queued(entry.queued);
                out.set_wait_ms(entry.wait_ms);
                out.set_used_share(entry.used_share);
            }
        }
        // N.B. `Message` is non-exhaustive, so the compiler accepts a variant without an
        // encoding. The property test in tests/codec.rs covers every variant.
        _ => {}
    }
}

pub(crate) fn read(message: wire::message::Reader<'_>) -> Result<Message, DecodeError> {
    use wire::message::Which;
    let which = message
        .which()
        .map_err(|e| DecodeError::not_in_schema("accounts", e))?;
    Ok(match which {
        Which::Reserve(reserve) => Message::Reserve(read_reservation_request(reserve?)?),
        Which::Granted(granted) => Message::Granted(read_granted(granted?)?),
        Which::Queued(queued) => {
            let queued = queued?;
            Message::Queued(QueueNotice {
                request: RequestId(read_id(queued.get_request()?)),
                target: read_name("target", queued.get_target())?,
                wait_ms: queued.get_wait_ms(),
            })
        }
        Which::Refused(refused) => {
            let refused = refused?;
            Message::Refused(ReservationRefusal {
                request: RequestId(read_id(refused.get_request()?)),
                target: read_name("target", refused.get_target())?,
                reason: reason_from_wire(
                    refused
                        .get_reason()
                        .map_err(|e| DecodeError::not_in_schema("reason", e))?,
                ),
                retry_after_ms: refused.get_retry_after_ms(),
            })
        }
        Which::Withdraw(withdraw) => {
            let withdraw = withdraw?;
            Message::Withdraw {
                request: RequestId(read_id(withdraw.get_request()?)),
                generation: GenerationId(read_id(withdraw.get_generation()?)),
                target: read_name("target", withdraw.get_target())?,
            }
        }
        Which::Progress(entries) => Message::Progress {
            entries: read_list("progress", entries?.iter(), read_progress)?,
        },
        Which::Finished(finished) => Message::Finished(read_finished(finished?)?),
        Which::Rebuild(targets) => Message::HoldingsRequest {
            targets: read_names("targets", targets?)?,
        },
        Which::Holdings(holdings) => {
            let holdings = holdings?;
            Message::Holdings {
                targets: read_names("targets", holdings.get_targets()?)?,
                entries: read_list(
                    "holdings",
                    holdings.get_entries()?.iter(),
                    read_running_generation,
                )?,
            }
        }
        Which::Loads(entries) => Message::AccountSummaries {
            entries: read_list("loads", entries?.iter(), read_account_summary)?,
        },
    })
}

fn write_names(names: &[TargetName], list: &mut capnp::text_list::Builder<'_>) {
    for (i, name) in names.iter().enumerate() {
        list.set(i as u32, name.as_str());
    }
}

fn write_reservation_request(
    request: &ReservationRequest,
    mut out: wire::reserve::Builder<'_>,
) {
    write_id(request.id.0, out.reborrow().init_request());
    write_id(request.generation.0, out.reborrow().init_generation());
    out.set_target(request.target.as_str());
    out.set_organisation(request.organisation.as_str());
    out.set_kind(request.kind.as_str());
    out.set_prompt_tokens(request.prompt_tokens);
    out.set_max_output_tokens(request.max_output_tokens);
    let mut hashes = out
        .reborrow()
        .init_prefix_hashes(request.prefix_hashes.len() as u32);
    for (i, hash) in request.prefix_hashes.iter().enumerate() {
        hashes.set(i as u32, *hash);
    }
    out.set_deadline_unix_ms(request.deadline_unix_ms);
    out.set_priority(request.priority);
    out.set_weight(request.weight);
    out.set_outgrow_chance_max(request.limits.outgrow_chance_max);
    out.set_step_time_max_ms(request.limits.step_time_max_ms);
    out.set_queue_timeout_ms(request.limits.queue_timeout_ms);
    out.set_policy(policy_to_wire(request.limits.policy));
}

fn read_reservation_request(
    reserve: wire::reserve::Reader<'_>,
) -> Result<ReservationRequest, DecodeError> {
    let policy = reserve
        .get_policy()
        .map_err(|e| DecodeError::not_in_schema("policy", e))?;
    Ok(ReservationRequest {
        id: RequestId(read_id(reserve.get_request()?)),
        generation: GenerationId(read_id(reserve.get_generation()?)),
        target: read_name("target", reserve.get_target())?,
        organisation: read_name("organisation", reserve.get_organisation())?,
        kind: read_name("kind", reserve.get_kind())?,
        prompt_tokens: reserve.get_prompt_tokens(),
        max_output_tokens: reserve.get_max_output_tokens(),
        prefix_hashes: read_list(
            "prefix_hashes",
            reserve.get_prefix_hashes()?.iter(),
            Ok,
        )?,
        deadline_unix_ms: reserve.get_deadline_unix_ms(),
        priority: reserve.get_priority(),
        weight: reserve.get_weight(),
        limits: Limits {
            outgrow_chance_max: reserve.get_outgrow_chance_max(),
            step_time_max_ms: reserve.get_step_time_max_ms(),
            queue_timeout_ms: reserve.get_queue_timeout_ms(),
            policy: policy_from_wire(policy),
        },
    })
}

fn read_granted(
    granted: wire::granted::Reader<'_>,
) -> Result<ReservationGrant, DecodeError> {
    Ok(ReservationGrant {
        request: RequestId(read_id(granted.get_request()?)),
        generation: GenerationId(read_id(granted.get_generation()?)),
        target: read_name("target", granted.get_target())?,
        priority: granted.get_priority(),
    })
}

fn read_progress(progress: wire::progress::Reader<'_>) -> Result<Progress, DecodeError> {
    Ok(Progress {
        generation: GenerationId(read_id(progress.get_generation()?)),
        target: read_name("target", progress.get_target())?,
        tokens: progress.get_tokens(),
    })
}

fn read_finished(
    finished: wire::finished::Reader<'_>,
) -> Result<FinishedGeneration, DecodeError> {
    let outcome = finished
        .get_outcome()
        .map_err(|e| DecodeError::not_in_schema("outcome", e))?;
    Ok(FinishedGeneration {
        generation: GenerationId(read_id(finished.get_generation()?)),
        target: read_name("target", finished.get_target())?,
        tokens: finished.get_tokens(),
        outcome: outcome_from_wire(outcome),
    })
}

fn read_running_generation(
    holding: wire::holding::Reader<'_>,
) -> Result<RunningGeneration, DecodeError> {
    Ok(RunningGeneration {
        request: read_reservation_request(holding.get_reserve()?)?,
        tokens: holding.get_tokens(),
    })
}

fn read_account_summary(
    load: wire::load::Reader<'_>,
) -> Result<AccountSummary, DecodeError> {
    Ok(AccountSummary {
        target: read_name("target", load.get_target())?,
        running: load.get_running(),
        queued: load.get_queued(),
        wait_ms: load.get_wait_ms(),
        used_share: load.get_used_share(),
    })
}

fn policy_to_wire(policy: RoutingPolicy) -> wire::RoutingPolicy {
    match policy {
        RoutingPolicy::RoundRobin => wire::RoutingPolicy::RoundRobin,
        RoutingPolicy::LeastOutstanding => wire::RoutingPolicy::LeastOutstanding,
        RoutingPolicy::TwoChoices => wire::RoutingPolicy::TwoChoices,
        RoutingPolicy::ReserveMaximum => wire::RoutingPolicy::ReserveMaximum,
        _ => wire::RoutingPolicy::HomeAccounts,
    }
}

fn policy_from_wire(policy: wire::RoutingPolicy) -> RoutingPolicy {
    match policy {
        wire::RoutingPolicy::HomeAccounts => RoutingPolicy::HomeAccounts,
        wire::RoutingPolicy::RoundRobin => RoutingPolicy::RoundRobin,
        wire::RoutingPolicy::LeastOutstanding => RoutingPolicy::LeastOutstanding,
        wire::RoutingPolicy::TwoChoices => RoutingPolicy::TwoChoices,
        wire::RoutingPolicy::ReserveMaximum => RoutingPolicy::ReserveMaximum,
    }
}

fn reason_to_wire(reason: RefusalReason) -> wire::RefuseReason {
    match reason {
        RefusalReason::DeadlineUnreachable => wire::RefuseReason::Late,
        RefusalReason::QueueTimeout => wire::RefuseReason::QueueTimeout,
        RefusalReason::TooLarge => wire::RefuseReason::TooLarge,
        RefusalReason::RetryBudget => wire::RefuseReason::RetryBudget,
        RefusalReason::NotHome => wire::RefuseReason::NotHome,
        _ => wire::RefuseReason::NoTarget,
    }
}

fn reason_from_wire(reason: wire::RefuseReason) -> RefusalReason {
    match reason {
        wire::RefuseReason::Late => RefusalReason::DeadlineUnreachable,
        wire::RefuseReason::QueueTimeout => RefusalReason::QueueTimeout,
        wire::RefuseReason::TooLarge => RefusalReason::TooLarge,
        wire::RefuseReason::NoTarget => RefusalReason::NoTarget,
        wire::RefuseReason::RetryBudget => RefusalReason::RetryBudget,
        wire::RefuseReason::NotHome => RefusalReason::NotHome,
    }
}

fn outcome_to_wire(outcome: Outcome) -> wire::Outcome {
    match outcome {
        Outcome::Completed => wire::Outcome::Completed,
        Outcome::Truncated => wire::Outcome::Truncated,
        Outcome::Cancelled => wire::Outcome::Cancelled,
        Outcome::NotRun => wire::Outcome::NotRun,
        _ => wire::Outcome::Failed,
    }
}

fn outcome_from_wire(outcome: wire::Outcome) -> Outcome {
    match outcome {
        wire::Outcome::Completed => Outcome::Completed,
        wire::Outcome::Truncated => Outcome::Truncated,
        wire::Outcome::Cancelled => Outcome::Cancelled,
        wire::Outcome::Failed => Outcome::Failed,
        wire::Outcome::NotRun => Outcome::NotRun,
    }
}
