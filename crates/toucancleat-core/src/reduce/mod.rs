//! The one reducer over all events of an entry host.
//!
//! The reducers of the single concerns feed each other through here, until only effects
//! remain that need the outside. Each submodule carries out the effects of one concern.

mod claims;
mod requests;

use std::sync::Arc;

use crate::effect::Effect;
use crate::event::Event;
use crate::settings::InForce;
use crate::state::State;

/// Applies one event and appends what is to be done.
pub fn reduce(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    match event {
        Event::Tick => tick(state, now_ms, effects),
        Event::Settings(settings) => apply_settings(state, settings, effects),
        Event::Request(event) => requests::apply(state, now_ms, event, effects),
        Event::Claims(event) => claims::apply(state, now_ms, event, effects),
        Event::Drain => state.draining = true,
    }
}

fn tick(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    requests::apply(state, now_ms, crate::requests::Event::Tick, effects);
    claims::apply(state, now_ms, crate::claims::Event::Tick, effects);
}

fn apply_settings(state: &mut State, settings: Arc<InForce>, effects: &mut Vec<Effect>) {
    let newer = state
        .settings
        .as_ref()
        .is_none_or(|current| current.revision < settings.revision);
    if newer {
        state.settings = Some(settings.clone());
        effects.push(Effect::ApplySettings(settings));
    }
}
