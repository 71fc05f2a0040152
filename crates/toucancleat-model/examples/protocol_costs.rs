//! Measures the processor time of the protocols' reducers.
//!
//! Prints a Markdown table of nanoseconds for each operation.

use std::hint::black_box;
use std::time::Instant;

use toucancleat_core::claims::{
    self, Answer, BodyHash, ClaimRequest, Effect as ClaimEffect, Event as ClaimEvent,
    TransactionOutcome,
};
use toucancleat_core::dissemination::{self, Message};
use toucancleat_core::generation::{self, Config, Cursor, CursorKeys, Event, State};
use toucancleat_core::prelude::*;

const FRAMES: u64 = 4_000_000;
const CURSORS: u64 = 1_000_000;
const CLAIMS: u128 = 20_000;
const TICKS: u64 = 1_000;
const ANNOUNCEMENTS: u64 = 200_000;
/// Number of runs, of which the fastest counts: the others were slowed by other load.
const RUNS: usize = 5;

fn main() {
    let mut table =
        String::from("| what | held | nanoseconds each |\n| --- | --- | --- |\n");
    let mut add_row = |what: &str, held: u128, ns: f64| {
        table.push_str(&format!("| {what} | {held} | {ns:.0} |\n"));
    };
    add_row(
        "frame through the guard",
        1,
        nanoseconds_each(FRAMES, time_frames),
    );
    add_row(
        "cursor of a token",
        1,
        nanoseconds_each(CURSORS, time_cursors),
    );
    for held in [0, 1_000, 4_000, 16_000] {
        let ns = nanoseconds_each(CLAIMS as u64, || time_claim_lifecycles(held));
        add_row("claim, dispatch and finish", held, ns);
    }
    for held in [1_000, 4_000, 16_000] {
        add_row(
            "tick of the claims",
            held,
            nanoseconds_each(TICKS, || time_claim_ticks(held)),
        );
    }
    for peers in [5, 23, 59] {
        let ns = nanoseconds_each(ANNOUNCEMENTS, || time_announcements(peers));
        add_row(
            "announcement of settings passed on, peers",
            peers as u128,
            ns,
        );
    }
    use std::io::Write;
    let _ = std::io::stdout().write_all(table.as_bytes());
}

/// Returns the nanoseconds per operation in the fastest run of `count` operations.
fn nanoseconds_each(count: u64, mut time_run: impl FnMut() -> f64) -> f64 {
    let seconds = (0..RUNS).map(|_| time_run()).fold(f64::INFINITY, f64::min);
    seconds * 1e9 / count as f64
}

fn time_frames() -> f64 {
    let config = Config {
        idempotent: true,
        is_buffered: false,
        attempts_max: 3,
        resumes_max: 2,
    };
    let mut state = State::new(&config);
    let mut effects = Vec::new();
    let generation = GenerationId(7);
    generation::reduce(
        &config,
        &mut state,
        Event::Started { generation },
        &mut effects,
    );
    let started_at = Instant::now();
    for index in 0..FRAMES {
        effects.clear();
        let event = Event::Frame {
            generation,
            index,
            is_last: false,
        };
        generation::reduce(&config, &mut state, black_box(event), &mut effects);
        black_box(&effects);
    }
    started_at.elapsed().as_secs_f64()
}

fn time_cursors() -> f64 {
    let keys = CursorKeys::new(&[vec![1; 32]]).expect("a key");
    let cursor = Cursor {
        target: TargetName::new("plan-llm-3"),
        kind: KindName::new("draft"),
        live_event: LiveEventName::new("closure-weekend"),
        generation: GenerationId(7),
        attempt: 1,
        revision: Revision(41),
        next_index: 0,
    };
    let seal = keys.seal(&OrganisationName::new("depot"), &cursor);
    let mut text = String::new();
    let started_at = Instant::now();
    for index in 0..CURSORS {
        text.clear();
        seal.write(index, &mut text);
        black_box(&text);
    }
    started_at.elapsed().as_secs_f64()
}

/// Returns the seconds for `CLAIMS` claims from begin to finish while others are held.
fn time_claim_lifecycles(held: u128) -> f64 {
    let config = claims::Config {
        claims_max: 1_000_000,
        ..Default::default()
    };
    let mut state =
        claims::State::new(config, &HostName::new("entry-1"), Incarnation(1), 7);
    for request in 0..held {
        begin_claim(&mut state, CLAIMS + request);
    }
    let started_at = Instant::now();
    for request in 0..CLAIMS {
        begin_claim(&mut state, request);
        let answer = Answer {
            status: 200,
            content_type: "application/json".to_owned(),
            body: b"{\"booked\":true}".to_vec(),
        };
        let request = RequestId(request);
        deliver_event(&mut state, ClaimEvent::Dispatched { request });
        let outcome = claims::RequestOutcome::Ran(answer);
        let effects =
            deliver_event(&mut state, ClaimEvent::Finished { request, outcome });
        reply_to_writes(&mut state, effects);
    }
    started_at.elapsed().as_secs_f64()
}

fn time_claim_ticks(held: u128) -> f64 {
    let mut state = claims::State::new(
        claims::Config::default(),
        &HostName::new("entry-1"),
        Incarnation(1),
        7,
    );
    for request in 0..held {
        begin_claim(&mut state, request);
    }
    let started_at = Instant::now();
    for _ in 0..TICKS {
        black_box(deliver_event(&mut state, ClaimEvent::Tick));
    }
    started_at.elapsed().as_secs_f64()
}

fn begin_claim(state: &mut claims::State, request: u128) {
    let begin = ClaimRequest {
        request: RequestId(request),
        organisation: OrganisationName::new("depot"),
        key: request.to_string(),
        body_sha256: BodyHash([0; 32]),
        now_unix_ms: 0,
        expires_unix_ms: 1,
    };
    let effects = deliver_event(state, ClaimEvent::Begin(begin));
    reply_to_writes(state, effects);
}

fn reply_to_writes(state: &mut claims::State, effects: Vec<ClaimEffect>) {
    for effect in effects {
        if let ClaimEffect::Transact {
            transaction,
            writes,
        } = effect
        {
            let outcome = TransactionOutcome::Applied {
                versions: vec![1; writes.len()],
            };
            deliver_event(
                state,
                ClaimEvent::TransactionReply {
                    transaction,
                    outcome,
                },
            );
        }
    }
}

fn deliver_event(state: &mut claims::State, event: ClaimEvent) -> Vec<ClaimEffect> {
    let mut effects = Vec::new();
    claims::reduce(state, 0, event, &mut effects);
    effects
}

/// Returns the seconds for `ANNOUNCEMENTS` new announcements, each of which a host receives
/// and sends on to peers.
fn time_announcements(peers: usize) -> f64 {
    let mut state = dissemination::State::new(dissemination::Config::default(), 7);
    let zone = (0..peers)
        .map(|peer| HostName::new(&peer.to_string()))
        .collect();
    let mut effects = Vec::new();
    let peers_changed = dissemination::Event::PeersChanged {
        zone,
        other_zones: vec![],
        is_reader: false,
    };
    dissemination::reduce(&mut state, 0, peers_changed, &mut effects);
    let from = HostName::new("0");
    let tree = Default::default();
    let revision = Revision(1);
    let message = Message::Snapshot {
        revision,
        tree,
        age_ms: 0,
    };
    let snapshot_received = dissemination::Event::MessageReceived {
        from: from.clone(),
        message,
    };
    dissemination::reduce(&mut state, 0, snapshot_received, &mut effects);
    let started_at = Instant::now();
    for round in 1..=ANNOUNCEMENTS {
        effects.clear();
        let message = Message::Announce {
            revision,
            age_ms: 0,
        };
        let event = dissemination::Event::MessageReceived {
            from: from.clone(),
            message,
        };
        dissemination::reduce(&mut state, round * 1_000, event, &mut effects);
        black_box(&effects);
    }
    started_at.elapsed().as_secs_f64()
}
