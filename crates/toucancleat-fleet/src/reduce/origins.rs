//! Keeps where streams began, and resumes those that callers take up again.

use std::net::SocketAddr;

use super::placement::place;
use super::requests::{RETRY_AFTER_SHORT_MS, refuse};
use crate::configuration::RetrySafety;
use crate::continuation::Continuation;
use crate::event::{Effect, LogEvent};
use crate::peers::Peer;
use crate::request::{Reason, Request, RequestNumber};
use crate::sole_origin::HOST_LIST_AGE_MAX_MS;
use crate::state::State;
use crate::stream_origin::{
    Evidence, FIRST_EVENT, KEEPERS, KEEPERS_ASKED, OriginMessage, OriginSource,
    RETENTION_MARGIN_MS, StreamKey, StreamOrigin,
};

/// Ends look-ups that have timed out.
pub(super) fn tick(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    update_sole_origins(state, now_ms);
    for request_number in state.stream_origins.expire(now_ms) {
        // Some keeper hasn't answered, and may know more than this host.
        refuse_unknown(state, request_number, effects);
    }
}

fn update_sole_origins(state: &mut State, now_ms: u64) {
    let configuration = state.configuration.as_deref();
    state
        .sole_origins
        .update(now_ms, &state.directory, configuration);
}

/// Keeps where a stream has begun, and tells its keepers.
///
/// N.B. this precedes the forwarding of the first event, since this host may be gone right after. It
/// doesn't precede the event itself: an attempt without one is no origin.
pub(super) fn record(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.get(&request_number) else {
        return;
    };
    let (Some(key), Some(version)) = (stream_key(request), &request.running_version)
    else {
        return;
    };
    if request.route().retry_safety != RetrySafety::ResumableStream {
        return;
    }
    let origin = StreamOrigin {
        pool: request.pool.clone(),
        version: version.clone(),
    };
    let time_limit_ms = request.incoming.time_limit_ms.unwrap_or_default();
    let retention_ms =
        time_limit_ms.max(request.route().timeout_ms) + RETENTION_MARGIN_MS;
    let evidence = Evidence::FirstEvent;
    state
        .stream_origins
        .keep(now_ms, key, origin.clone(), evidence, retention_ms);
    let is_staying = |peer: &Peer| !peer.last_message.is_stopping;
    let zone = &state.identity.zone;
    let keepers = state
        .peers
        .keepers(now_ms, zone, key.hash(), KEEPERS, is_staying);
    let message = OriginMessage::Began {
        key,
        origin,
        attempt: FIRST_EVENT,
        retention_ms,
    };
    send(keepers, message, effects);
}

/// Returns the key of a stream, or `None` if the caller doesn't name the attempt that began it.
fn stream_key(request: &Request) -> Option<StreamKey> {
    let incoming = &request.incoming;
    let attempt_id = if incoming.is_resumption {
        incoming.resumed_attempt_id.as_ref()?
    } else {
        &incoming.attempt_id
    };
    let organisation = request.organisation.as_ref();
    (!attempt_id.is_empty()).then(|| StreamKey::new(organisation, attempt_id))
}

/// Places a stream that its caller takes up again, at the version that began it.
pub(super) fn resume(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.get(&request_number) else {
        return;
    };
    let key = stream_key(request);
    if let Some(key) = key
        && let Some(origin) = state.stream_origins.get(now_ms, key).cloned()
    {
        let source = OriginSource::Kept;
        return resume_from(state, now_ms, request_number, origin, source, effects);
    }
    let keepers = key.map_or_else(Vec::new, |key| {
        let zone = &state.identity.zone;
        state
            .peers
            .keepers(now_ms, zone, key.hash(), KEEPERS_ASKED, |_| true)
    });
    let Some(key) = key.filter(|_| !keepers.is_empty()) else {
        // N.B. a host that was cut off or stood still has no live peer to ask, and knows neither
        // of new versions nor of the streams that began there.
        if state.peers.fleet_size() > 1 {
            return refuse_unknown(state, request_number, effects);
        }
        return resume_unknown(state, now_ms, request_number, effects);
    };
    state
        .stream_origins
        .begin_lookup(now_ms, request_number, key, keepers.clone());
    send(keepers, OriginMessage::Query { key }, effects);
}

/// Resumes a stream if all streams of its route began at the same pool and version, and refuses it
/// otherwise.
///
/// N.B. all keepers that were asked have answered that they don't know the stream. This host may
/// not have heard yet of a version at which another one has begun it.
fn resume_unknown(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    effects: &mut Vec<Effect>,
) {
    update_sole_origins(state, now_ms);
    let request = state.requests.get(&request_number);
    match request.and_then(|request| sole_origin(state, now_ms, request)) {
        Some(origin) => {
            let source = OriginSource::SoleVersion;
            resume_from(state, now_ms, request_number, origin, source, effects);
        }
        None => refuse_unknown(state, request_number, effects),
    }
}

fn sole_origin(state: &State, now_ms: u64, request: &Request) -> Option<StreamOrigin> {
    let list_age_ms = now_ms.saturating_sub(state.host_list_confirmed_ms?);
    if list_age_ms > HOST_LIST_AGE_MAX_MS {
        return None;
    }
    state.sole_origins.get(now_ms, request.route())
}

fn resume_from(
    state: &mut State,
    now_ms: u64,
    request_number: RequestNumber,
    origin: StreamOrigin,
    source: OriginSource,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.get_mut(&request_number) else {
        return;
    };
    let mut pools = request.route().weighted_pools.iter();
    if !pools.any(|weighted| weighted.pool == origin.pool) {
        // The configuration no longer sends the route to the pool that began the stream.
        return refuse(state, request_number, Reason::VersionGone, None, effects);
    }
    request.pool = origin.pool;
    request.continuation = Continuation::Only(origin.version.clone());
    effects.push(Effect::Log(LogEvent::StreamResumed {
        attempt_id: request.incoming.attempt_id.clone(),
        version: origin.version,
        source,
    }));
    place(state, now_ms, request_number, effects);
}

/// Refuses a resumption of which no host knows where the stream began.
///
/// Any version may be the wrong one. Another host may know it, so the caller may try again.
fn refuse_unknown(
    state: &mut State,
    request_number: RequestNumber,
    effects: &mut Vec<Effect>,
) {
    let retry_after_ms = Some(RETRY_AFTER_SHORT_MS);
    refuse(
        state,
        request_number,
        Reason::UnknownStream,
        retry_after_ms,
        effects,
    );
}

/// Handles a message of a peer about the origin of a stream.
pub(super) fn handle_message(
    state: &mut State,
    now_ms: u64,
    from: SocketAddr,
    message: OriginMessage,
    effects: &mut Vec<Effect>,
) {
    match message {
        OriginMessage::Began {
            key,
            origin,
            attempt,
            retention_ms,
        } => {
            let evidence = Evidence::of_message(from, attempt);
            state
                .stream_origins
                .keep(now_ms, key, origin, evidence, retention_ms);
        }
        OriginMessage::Query { key } => {
            let origin = state.stream_origins.get(now_ms, key).cloned();
            send(vec![from], OriginMessage::Reply { key, origin }, effects);
        }
        OriginMessage::Reply { key, origin } => {
            let ended = state
                .stream_origins
                .record_answer(from, key, origin.is_some());
            for request_number in ended {
                match &origin {
                    Some(origin) => resume_from(
                        state,
                        now_ms,
                        request_number,
                        origin.clone(),
                        OriginSource::Keeper,
                        effects,
                    ),
                    None => resume_unknown(state, now_ms, request_number, effects),
                }
            }
        }
    }
}

fn send(recipients: Vec<SocketAddr>, message: OriginMessage, effects: &mut Vec<Effect>) {
    if !recipients.is_empty() {
        effects.push(Effect::SendOrigin {
            recipients,
            message,
        });
    }
}
