//! Measures the processor time of the protocols' reducers, as a Markdown table.

use std::hint::black_box;
use std::time::Instant;

use toucancleat_core::claims::{
    self, Answer, Begin, BodyHash, Effect as ClaimEffect, Event as ClaimEvent,
    TransactOutcome,
};
use toucancleat_core::generation::{self, Config, Cursor, CursorKeys, Event, State};
use toucancleat_core::prelude::*;
use toucancleat_core::spread::{self, Message};

const FRAMES: u64 = 4_000_000;
const CURSORS: u64 = 1_000_000;
const CLAIMS: u128 = 20_000;
const TICKS: u64 = 1_000;
const ANNOUNCEMENTS: u64 = 200_000;
/// Repeats, of which the fastest counts: the others were disturbed.
const REPEATS: usize = 5;

fn main() {
    let mut table =
        String::from("| what | held | nanoseconds each |\n| --- | --- | --- |\n");
    let mut line = |what: &str, held: u128, ns: f64| {
        table.push_str(&format!("| {what} | {held} | {ns:.0} |\n"));
    };
    line("frame through the guard", 1, fastest(FRAMES, frames));
    line("cursor of a token", 1, fastest(CURSORS, cursors));
    for held in [0, 1_000, 4_000, 16_000] {
        let ns = fastest(CLAIMS as u64, || lifecycles(held));
        line("claim, dispatch and finish", held, ns);
    }
    for held in [1_000, 4_000, 16_000] {
        line("tick of the claims", held, fastest(TICKS, || ticks(held)));
    }
    for peers in [5, 23, 59] {
        let ns = fastest(ANNOUNCEMENTS, || announcements(peers));
        line(
            "announcement of settings passed on, peers",
            peers as u128,
            ns,
        );
    }
    use std::io::Write;
    let _ = std::io::stdout().write_all(table.as_bytes());
}

/// Returns the nanoseconds for each of `count` operations.
fn fastest(count: u64, mut run: impl FnMut() -> f64) -> f64 {
    let seconds = (0..REPEATS).map(|_| run()).fold(f64::INFINITY, f64::min);
    seconds * 1e9 / count as f64
}

fn frames() -> f64 {
    let config = Config {
        idempotent: true,
        whole: false,
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
    let begun = Instant::now();
    for index in 0..FRAMES {
        effects.clear();
        let event = Event::Frame {
            generation,
            index,
            last: false,
        };
        generation::reduce(&config, &mut state, black_box(event), &mut effects);
        black_box(&effects);
    }
    begun.elapsed().as_secs_f64()
}

fn cursors() -> f64 {
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
    let begun = Instant::now();
    for index in 0..CURSORS {
        text.clear();
        seal.write(index, &mut text);
        black_box(&text);
    }
    begun.elapsed().as_secs_f64()
}

/// Takes claims from their begin to the finish while others are held.
fn lifecycles(held: u128) -> f64 {
    let config = claims::Config {
        claims_max: 1_000_000,
        ..Default::default()
    };
    let mut state =
        claims::State::new(config, &HostName::new("entry-1"), Incarnation(1), 7);
    for request in 0..held {
        claim(&mut state, CLAIMS + request);
    }
    let begun = Instant::now();
    for request in 0..CLAIMS {
        claim(&mut state, request);
        let answer = Answer {
            status: 200,
            content_type: "application/json".to_owned(),
            body: b"{\"booked\":true}".to_vec(),
        };
        let request = RequestId(request);
        feed(&mut state, ClaimEvent::Dispatched { request });
        let outcome = claims::Outcome::Ran(answer);
        let effects = feed(&mut state, ClaimEvent::Finished { request, outcome });
        reply(&mut state, effects);
    }
    begun.elapsed().as_secs_f64()
}

fn ticks(held: u128) -> f64 {
    let mut state = claims::State::new(
        claims::Config::default(),
        &HostName::new("entry-1"),
        Incarnation(1),
        7,
    );
    for request in 0..held {
        claim(&mut state, request);
    }
    let begun = Instant::now();
    for _ in 0..TICKS {
        black_box(feed(&mut state, ClaimEvent::Tick));
    }
    begun.elapsed().as_secs_f64()
}

fn claim(state: &mut claims::State, request: u128) {
    let begin = Begin {
        request: RequestId(request),
        organisation: OrganisationName::new("depot"),
        key: request.to_string(),
        body_sha256: BodyHash([0; 32]),
        now_unix_ms: 0,
        expires_unix_ms: 1,
    };
    let effects = feed(state, ClaimEvent::Begin(begin));
    reply(state, effects);
}

fn reply(state: &mut claims::State, effects: Vec<ClaimEffect>) {
    for effect in effects {
        if let ClaimEffect::Transact { transact, writes } = effect {
            let outcome = TransactOutcome::Applied {
                versions: vec![1; writes.len()],
            };
            feed(state, ClaimEvent::TransactReply { transact, outcome });
        }
    }
}

fn feed(state: &mut claims::State, event: ClaimEvent) -> Vec<ClaimEffect> {
    let mut effects = Vec::new();
    claims::reduce(state, 0, event, &mut effects);
    effects
}

/// Lets a host hear fresh announcements, each of which it passes on.
fn announcements(peers: usize) -> f64 {
    let mut state = spread::State::new(spread::Config::default(), 7);
    let zone = (0..peers)
        .map(|peer| HostName::new(&peer.to_string()))
        .collect();
    let mut effects = Vec::new();
    let known = spread::Event::Peers {
        zone,
        other_zones: vec![],
        is_reader: false,
    };
    spread::reduce(&mut state, 0, known, &mut effects);
    let from = HostName::new("0");
    let tree = Default::default();
    let revision = Revision(1);
    let message = Message::Snapshot {
        revision,
        tree,
        age_ms: 0,
    };
    let first = spread::Event::Received {
        from: from.clone(),
        message,
    };
    spread::reduce(&mut state, 0, first, &mut effects);
    let begun = Instant::now();
    for round in 1..=ANNOUNCEMENTS {
        effects.clear();
        let message = Message::Announce {
            revision,
            age_ms: 0,
        };
        let event = spread::Event::Received {
            from: from.clone(),
            message,
        };
        spread::reduce(&mut state, round * 1_000, event, &mut effects);
        black_box(&effects);
    }
    begun.elapsed().as_secs_f64()
}
