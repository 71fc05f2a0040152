//! Connects the streams whose caller disconnected to the other modules.

use super::settlement::record_attempt_end;
use super::{membership, peers};
use crate::effect::Effect;
use crate::state::State;
use crate::streams;
use crate::timeline::{Entry, RecordKind};

/// Records an event of the streams, applies it and executes its effects.
pub(super) fn apply(
    state: &mut State,
    now_ms: u64,
    event: streams::Event,
    effects: &mut Vec<Effect>,
) {
    record_event(state, now_ms, &event);
    let mut pending = Vec::new();
    streams::reduce(&mut state.streams, now_ms, event, &mut pending);
    for effect in pending {
        execute(state, now_ms, effect, effects);
    }
}

fn execute(
    state: &mut State,
    now_ms: u64,
    effect: streams::Effect,
    effects: &mut Vec<Effect>,
) {
    match effect {
        streams::Effect::Broadcast { message } => {
            for to in membership::zone_peers(state) {
                peers::send(state, now_ms, &to, message.clone(), effects);
            }
        }
        streams::Effect::Cancel { generation, target } => {
            let entry = Entry::new(RecordKind::GenerationCancelled)
                .generation(generation)
                .target(&target)
                .reason("its caller did not come back");
            state.timeline.record(now_ms, entry);
            let settings = state.settings.clone();
            let found = settings.as_ref().and_then(|s| s.target(&target));
            if let Some((_, _, found)) = found {
                effects.push(Effect::Cancel {
                    generation,
                    address: found.address.clone(),
                });
            }
        }
    }
}

fn record_event(state: &mut State, now_ms: u64, event: &streams::Event) {
    match event {
        streams::Event::Resumed {
            request,
            generation,
            target,
            from_index,
        } => {
            let entry = Entry::new(RecordKind::StreamResumed)
                .request(*request)
                .generation(*generation)
                .target(target)
                .field("from_index", *from_index)
                .reason("the caller came back with its cursor");
            state.timeline.record(now_ms, entry);
        }
        streams::Event::ResumedStreamEnded {
            arrival,
            generation,
            target,
            outcome,
        } => record_attempt_end(state, now_ms, arrival, target, *generation, outcome),
        _ => {}
    }
}
