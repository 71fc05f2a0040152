//! The one reducer over all events of an entry host.

mod knowledge;
mod moves;
mod placing;
mod requests;
mod speech;

use crate::event::{Effect, Event};
use crate::state::State;

/// Applies one event and appends what is to be done.
///
/// The time is that of a clock that never goes back and counts time in which the machine
/// was suspended: what is known ages in it too.
pub fn reduce(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    match event {
        Event::Tick => {
            knowledge::tick(state, now_ms, effects);
            placing::tick(state, now_ms, effects);
            speech::tick(state, now_ms, effects);
        }
        Event::Store { query, reply } => {
            knowledge::answered(state, now_ms, query, reply, effects);
        }
        Event::Heard(message) => speech::heard(state, now_ms, *message, effects),
        Event::LeaveTime {
            target,
            leaves_at_ms,
        } => {
            state.leaves_at_ms.insert(target, leaves_at_ms);
        }
        Event::Arrived { ticket, arrival } => {
            requests::arrived(state, now_ms, ticket, arrival, effects);
        }
        Event::AttemptEnded { ticket, outcome } => {
            requests::attempt_ended(state, now_ms, ticket, outcome, effects);
        }
        Event::Progressed { ticket, events } => {
            requests::progressed(state, ticket, events);
        }
        Event::NeedsDestination {
            ticket,
            is_new_round,
        } => moves::evacuate(state, now_ms, ticket, is_new_round, effects),
        Event::Moved { ticket } => moves::moved(state, ticket),
        Event::Stayed { ticket } => moves::stayed(state, ticket),
        Event::Closed { ticket } => requests::closed(state, ticket),
        Event::Stop => {
            state.stopping_since_ms.get_or_insert(now_ms);
            speech::say(state, now_ms, None, effects);
        }
    }
}
