//! The reducer over all events of an entry host.

mod cold;
mod contention;
mod crashes;
mod eligibility;
mod evacuation;
mod handoff;
mod messages;
mod migration;
mod notices;
mod origins;
mod placement;
mod requests;
mod restarts;
mod store_sync;
mod transitions;
mod watch;

use crate::event::{Effect, Event};
use crate::state::State;

/// Applies one event and appends the resulting effects.
///
/// `now_ms` is read from a monotonic clock that includes time during which the machine
/// was suspended, because known state ages during that time too.
pub fn reduce(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    match event {
        Event::Tick => {
            store_sync::tick(state, now_ms, effects);
            notices::tick(state, now_ms, effects);
            watch::tick(state, now_ms, effects);
            cold::tick(state, now_ms);
            origins::tick(state, now_ms, effects);
            handoff::tick(state, now_ms, effects);
            contention::tick(state, now_ms);
            placement::tick(state, now_ms, effects);
            messages::tick(state, now_ms, effects);
        }
        Event::StoreReplied {
            query,
            era,
            evacuations,
            reply,
        } => {
            let answer = store_sync::Answer {
                era,
                evacuations,
                reply,
            };
            store_sync::handle_reply(state, now_ms, query, answer, effects);
        }
        Event::MessageReceived(message) => {
            messages::handle_message(state, now_ms, *message, effects)
        }
        Event::OriginMessageReceived { from, message } => {
            origins::handle_message(state, now_ms, from, message, effects);
        }
        Event::LeaveTimeReceived {
            target,
            leaves_at_ms,
        } => {
            state.leaves_at_ms.insert(target, leaves_at_ms);
        }
        Event::TargetReported { target, report } => {
            watch::handle_report(state, now_ms, &target, report, effects);
        }
        Event::NoticeReceived { target, notice } => {
            notices::handle_notice(state, now_ms, &target, notice, effects);
        }
        Event::RequestReceived {
            request_number,
            request,
        } => {
            requests::handle_request(state, now_ms, request_number, request, effects);
        }
        Event::AttemptEnded {
            request_number,
            outcome,
        } => {
            requests::handle_attempt_end(state, now_ms, request_number, outcome, effects);
        }
        Event::RunInterrupted { request_number } => {
            crashes::handle_interruption_with_copy(
                state,
                now_ms,
                request_number,
                effects,
            );
        }
        Event::StreamProgressed {
            request_number,
            events,
        } => {
            requests::handle_progress(state, now_ms, request_number, events, effects);
        }
        Event::DestinationNeeded {
            request_number,
            can_retry_refused,
        } => migration::choose_destination(
            state,
            now_ms,
            request_number,
            can_retry_refused,
            effects,
        ),
        Event::Migrated { request_number } => {
            migration::handle_migrated(state, now_ms, request_number)
        }
        Event::MigrationAbandoned {
            request_number,
            has_returned,
        } => migration::handle_abandoned(state, request_number, has_returned),
        Event::RetryNeeded { request_number } => {
            if requests::take_retry(state, now_ms, request_number, effects) {
                effects.push(Effect::GrantRetry { request_number });
            }
        }
        Event::HandoffEnded {
            request_number,
            outcome,
        } => {
            handoff::handle_end(state, now_ms, request_number, outcome, effects);
        }
        Event::TargetProbed {
            pool,
            target,
            began_ms,
            is_reachable,
        } => {
            if is_reachable {
                handoff::record_reached(state, began_ms, &pool, effects);
            } else {
                handoff::record_failure(state, now_ms, &pool, &target, effects);
            }
        }
        Event::RequestClosed { request_number } => {
            requests::handle_close(state, now_ms, request_number)
        }
        Event::StopRequested => {
            state.stopping_since_ms.get_or_insert(now_ms);
            messages::broadcast(state, now_ms, None, effects);
        }
        Event::StopDeadlineReached => requests::refuse_unanswered(state, effects),
        Event::Exiting => {
            state.retry_budget.close();
            messages::broadcast(state, now_ms, None, effects);
        }
    }
}
