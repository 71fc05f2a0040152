//! The reducer over all events of an entry host.

mod messages;
mod migration;
mod placement;
mod requests;
mod store_sync;

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
            placement::tick(state, now_ms, effects);
            messages::tick(state, now_ms, effects);
        }
        Event::Store { query, reply } => {
            store_sync::handle_reply(state, now_ms, query, reply, effects);
        }
        Event::Heard(message) => {
            messages::handle_message(state, now_ms, *message, effects)
        }
        Event::LeaveTime {
            target,
            leaves_at_ms,
        } => {
            state.leaves_at_ms.insert(target, leaves_at_ms);
        }
        Event::Arrived { ticket, arrival } => {
            requests::handle_arrival(state, now_ms, ticket, arrival, effects);
        }
        Event::AttemptEnded { ticket, outcome } => {
            requests::handle_attempt_end(state, now_ms, ticket, outcome, effects);
        }
        Event::Progressed { ticket, events } => {
            requests::handle_progress(state, ticket, events);
        }
        Event::NeedsDestination {
            ticket,
            is_new_round,
        } => migration::choose_destination(state, now_ms, ticket, is_new_round, effects),
        Event::Moved { ticket } => migration::handle_migrated(state, ticket),
        Event::Stayed { ticket } => migration::handle_stayed(state, ticket),
        Event::Closed { ticket } => requests::handle_close(state, ticket),
        Event::Stop => {
            state.stopping_since_ms.get_or_insert(now_ms);
            messages::broadcast(state, now_ms, None, effects);
        }
    }
}
