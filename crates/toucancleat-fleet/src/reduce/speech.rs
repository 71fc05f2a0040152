//! What hosts tell each other.

use super::knowledge;
use crate::event::Effect;
use crate::peers::{Message, News, Receiver, sent_no_earlier_ms};
use crate::state::State;

/// Sends the regular messages that are due.
pub(super) fn tick(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    state.peers.expire(now_ms);
    let zone = state.identity.zone.clone();
    let zone_interval_ms = state.peers.zone_interval_ms(&zone);
    let is_due = now_ms.saturating_sub(state.said_ms) >= state.peers.interval_ms();
    // Room that nobody knows of stays empty. Ends are told with the tick, so that many at
    // once, as after a cut, make one message.
    if is_due || state.has_untold_load {
        say(state, now_ms, None, effects);
    } else if now_ms.saturating_sub(state.said_to_zone_ms) >= zone_interval_ms {
        let receivers = state.peers.receivers(now_ms, Some(&zone));
        send(state, now_ms, receivers, None, effects);
    }
}

/// Sends a message to all hosts.
pub(super) fn say(
    state: &mut State,
    now_ms: u64,
    news: Option<News>,
    effects: &mut Vec<Effect>,
) {
    state.said_ms = now_ms;
    state.has_untold_load = false;
    let receivers = state.peers.receivers(now_ms, None);
    send(state, now_ms, receivers, news, effects);
}

fn send(
    state: &mut State,
    now_ms: u64,
    to: Vec<Receiver>,
    news: Option<News>,
    effects: &mut Vec<Effect>,
) {
    state.said_to_zone_ms = now_ms;
    if to.is_empty() {
        return;
    }
    state.turn = state.turn.wrapping_add(1);
    let loads = state.loads.iter().filter(|(_, load)| load.runs > 0);
    let counts = state
        .budget
        .own_counts(now_ms, state.config.retry_window_ms);
    let message = Message {
        from: state.identity.host.clone(),
        incarnation: state.identity.incarnation,
        zone: state.identity.zone.clone(),
        address: state.identity.address,
        sent_ms: now_ms,
        is_stopping: state.stopping_since_ms.is_some(),
        configuration_version: state.configuration.as_ref().map(|known| known.version),
        configuration_age_ms: state.configuration_age_ms(now_ms),
        known_version: state.directory.known_version(),
        content_version: state.directory.content_version(),
        store_age_ms: state.calls.success_age_ms(now_ms),
        loads: loads
            .map(|(target, load)| (target.clone(), *load))
            .collect(),
        counts: counts.into_iter().collect(),
        broken: state.crashers.own_counts(),
        echo: None,
        addresses: state.peers.sample(state.turn),
        news,
    };
    effects.push(Effect::Send {
        to,
        message: Box::new(message),
    });
}

/// Takes another host's message.
pub(super) fn heard(
    state: &mut State,
    now_ms: u64,
    message: Message,
    effects: &mut Vec<Effect>,
) {
    if message.address == state.identity.address {
        return;
    }
    // News counts also where a later message has overtaken it.
    take_news(state, now_ms, &message, effects);
    if state.peers.is_newest(&message) {
        let counts = message.counts.iter().cloned().collect();
        state.budget.hear(now_ms, message.from.clone(), counts);
        let from = message.from.clone();
        state.crashers.hear(now_ms, from, &message.broken);
        catch_up(state, now_ms, &message);
        state.peers.hear(now_ms, state.identity.address, message);
    }
}

fn take_news(
    state: &mut State,
    now_ms: u64,
    message: &Message,
    effects: &mut Vec<Effect>,
) {
    match &message.news {
        Some(News::Configuration(configuration)) => {
            knowledge::adopt(state, configuration, effects);
        }
        Some(News::Targets {
            after_content,
            store_version,
            changes,
        }) => {
            // N.B. changes are applied also where an earlier one was missed: a target that
            // leaves is better known at once, and the missing one is asked for below.
            let is_complete = state.directory.known_version() >= *after_content;
            let known_version = state.directory.known_version();
            let shifts = state.directory.change(
                if is_complete {
                    *store_version
                } else {
                    known_version
                },
                &mut changes.clone(),
            );
            knowledge::take_shifts(state, now_ms, shifts, effects);
        }
        None => {}
    }
}

/// Compares what the sender knows with what is known here.
fn catch_up(state: &mut State, now_ms: u64, message: &Message) {
    let spoken_of = &mut state.spoken_of;
    spoken_of.configuration = spoken_of.configuration.max(message.configuration_version);
    spoken_of.host_list = spoken_of.host_list.max(message.content_version);
    if message.content_version <= state.directory.known_version() {
        state.directory.advance(message.known_version);
    }
    let own_version = state.configuration.as_ref().map(|known| known.version);
    if message.configuration_version == own_version
        && let Some(age_ms) = message.configuration_age_ms
        && let Some(sent_ms) =
            sent_no_earlier_ms(message, state.identity.incarnation, now_ms)
        && let Some(confirmed_ms) = sent_ms.checked_sub(age_ms)
    {
        knowledge::confirm(state, confirmed_ms);
    }
}
