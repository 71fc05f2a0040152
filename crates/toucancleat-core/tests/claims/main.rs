//! Claims against a small table whose replies can be lost, late or refused.

mod schedules;
mod table;

use self::table::{Fault, Table};
use toucancleat_core::claims::{
    self, Answer, Begin, BodyHash, ConflictRow, Effect, Event, Outcome, RefuseReason,
    Row, RowState, State, StoredBody, TransactOutcome,
};
use toucancleat_core::prelude::*;

const EXPIRES_UNIX_MS: u64 = 1_000_000;

fn host(name: &str, seed: u128) -> State {
    State::new(
        claims::Config::default(),
        &HostName::new(name),
        Incarnation(1),
        seed,
    )
}

fn begin(request: u128, key: &str, body: &str) -> Event {
    Event::Begin(Begin {
        request: RequestId(request),
        organisation: OrganisationName::new("depot"),
        key: key.to_owned(),
        body_sha256: BodyHash::of(body.as_bytes()),
        now_unix_ms: 0,
        expires_unix_ms: EXPIRES_UNIX_MS,
    })
}

fn finished(request: u128, outcome: Outcome) -> Event {
    Event::Finished {
        request: RequestId(request),
        outcome,
    }
}

fn ran(body: &str) -> Outcome {
    Outcome::Ran(Answer {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: body.as_bytes().to_vec(),
    })
}

fn apply(state: &mut State, now_ms: u64, event: Event) -> Vec<Effect> {
    let mut effects = Vec::new();
    claims::reduce(state, now_ms, event, &mut effects);
    effects
}

/// Feeds an event, and answers each question to the table in turn.
fn settle(
    state: &mut State,
    table: &mut Table,
    now_ms: u64,
    event: Event,
) -> Vec<Effect> {
    let mut events = vec![event];
    let mut seen = Vec::new();
    while let Some(event) = events.pop() {
        for effect in apply(state, now_ms, event) {
            match table.answer(&effect) {
                Some(reply) => events.insert(0, reply),
                None => seen.push(effect),
            }
        }
    }
    seen
}

fn refused(effects: &[Effect]) -> Option<(Verdict, RefuseReason)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Refuse {
            verdict, reason, ..
        } => Some((*verdict, *reason)),
        _ => None,
    })
}

fn permitted(effects: &[Effect]) -> Vec<u128> {
    let permit = |effect: &Effect| match effect {
        Effect::PermitDispatch { request } => Some(request.0),
        _ => None,
    };
    effects.iter().filter_map(permit).collect()
}

#[test]
fn second_request_with_the_key() {
    struct Case {
        name: &'static str,
        first: Vec<Event>,
        body: &'static str,
        expected: Option<(Verdict, RefuseReason)>,
        replayed: bool,
    }
    let in_use = Some((Verdict::MayHaveRun, RefuseReason::KeyInUse));
    let other = Some((Verdict::NotRun, RefuseReason::KeyUsedWithOtherBody));
    let case = |name, first, body, expected, replayed| Case {
        name,
        first,
        body,
        expected,
        replayed,
    };
    let dispatched = || Event::Dispatched {
        request: RequestId(1),
    };
    let abandoned = || Event::Abandon {
        request: RequestId(1),
    };
    let large = "x".repeat(100_000);
    let done = || vec![dispatched(), finished(1, ran("booked"))];
    let proved = vec![dispatched(), finished(1, Outcome::NotRun)];
    let unknown = vec![dispatched(), finished(1, Outcome::MayHaveRun)];
    let done_large = vec![dispatched(), finished(1, ran(&large))];
    let late = vec![dispatched(), abandoned()];
    let cases = [
        case("claimed", vec![], "a", in_use, false),
        case("claimed, other body", vec![], "b", other, false),
        case("dispatched", vec![dispatched()], "a", in_use, false),
        case("abandoned", vec![abandoned()], "a", None, false),
        case("abandoned after dispatch", late, "a", in_use, false),
        case("finished", done(), "a", None, true),
        case("finished, large answer", done_large, "a", None, true),
        case("finished, other body", done(), "b", other, false),
        case("proved not run", proved, "a", None, false),
        case("outcome unknown", unknown, "a", in_use, false),
    ];
    for case in cases {
        for same_host in [true, false] {
            let mut table = Table::default();
            let mut one = host("entry-1", 1);
            let mut two = host("entry-2", 2);
            settle(&mut one, &mut table, 0, begin(1, "k", "a"));
            for event in &case.first {
                settle(&mut one, &mut table, 0, event.clone());
            }
            let second = if same_host { &mut one } else { &mut two };
            let effects = settle(second, &mut table, 0, begin(2, "k", case.body));
            assert_eq!(refused(&effects), case.expected, "{}", case.name);
            let replayed = matches!(effects[0], Effect::Replay { .. });
            assert_eq!(replayed, case.replayed, "{}", case.name);
            let free = case.expected.is_none() && !case.replayed;
            assert_eq!(permitted(&effects), vec![2; free.into()], "{}", case.name);
        }
    }
}

#[test]
fn table_faults() {
    struct Case {
        name: &'static str,
        faults: &'static [Fault],
        permitted: bool,
        row_after: Option<RowState>,
    }
    let cases = [
        Case {
            name: "reply lost after the write",
            faults: &[Fault::LostAfter],
            permitted: true,
            row_after: Some(RowState::Claimed),
        },
        Case {
            name: "request lost",
            faults: &[Fault::LostBefore],
            permitted: true,
            row_after: Some(RowState::Claimed),
        },
        Case {
            name: "reply lost, row not readable",
            faults: &[Fault::LostAfter, Fault::LostBefore],
            permitted: false,
            row_after: Some(RowState::Released),
        },
        Case {
            name: "refused",
            faults: &[Fault::Refused],
            permitted: false,
            row_after: None,
        },
    ];
    for case in cases {
        let mut table = Table::default();
        let mut state = host("entry-1", 1);
        table.faults.extend(case.faults.iter().copied());
        let mut effects = settle(&mut state, &mut table, 0, begin(1, "k", "a"));
        assert_eq!(
            permitted(&effects),
            vec![1; case.permitted.into()],
            "{}",
            case.name
        );
        let unavailable = Some((Verdict::NotRun, RefuseReason::TableUnavailable));
        let expected = if case.permitted { None } else { unavailable };
        assert_eq!(refused(&effects), expected, "{}", case.name);
        for now_ms in [5_000, 10_000] {
            effects = settle(&mut state, &mut table, now_ms, Event::Tick);
            assert_eq!(effects, [], "{}", case.name);
        }
        assert_eq!(table.state("depot/k"), case.row_after, "{}", case.name);
        assert_eq!(state.is_empty(), !case.permitted, "{}", case.name);
    }
}

#[test]
fn lost_reply_to_the_finish_is_written_again() {
    let mut table = Table::default();
    let mut state = host("entry-1", 1);
    settle(&mut state, &mut table, 0, begin(1, "k", "a"));
    table
        .faults
        .extend([Fault::LostBefore, Fault::LostBefore, Fault::LostAfter]);
    settle(&mut state, &mut table, 0, finished(1, ran("booked")));
    for now_ms in [5_000, 10_000, 15_000] {
        settle(&mut state, &mut table, now_ms, Event::Tick);
    }
    assert_eq!(table.state("depot/k"), Some(RowState::Finished));
    assert!(state.is_empty());
}

#[test]
fn claims_gather_while_transactions_are_in_flight() {
    let mut state = host("entry-1", 1);
    let mut sizes = Vec::new();
    for request in 0..100 {
        for effect in apply(&mut state, 0, begin(request, &format!("k{request}"), "a")) {
            let Effect::Transact { writes, .. } = effect else {
                panic!("{effect:?}")
            };
            sizes.push(writes.len());
        }
    }
    assert_eq!(sizes, [1, 1]);
    let outcome = TransactOutcome::Applied { versions: vec![1] };
    let effects = apply(
        &mut state,
        0,
        Event::TransactReply {
            transact: 1,
            outcome,
        },
    );
    assert_eq!(permitted(&effects), [0]);
    let Effect::Transact { writes, .. } = &effects[1] else {
        panic!("{effects:?}")
    };
    assert_eq!(writes.len(), claims::Config::default().batch_max);
}

#[test]
fn one_conflict_fails_no_other_claim() {
    let mut table = Table::default();
    let mut other = host("entry-2", 2);
    settle(&mut other, &mut table, 0, begin(90, "k3", "a"));
    let mut state = host("entry-1", 1);
    for request in 0..8 {
        apply(&mut state, 0, begin(request, &format!("k{request}"), "a"));
    }
    // The first two went alone; the reply to one lets the other six go together.
    let outcome = TransactOutcome::Applied { versions: vec![1] };
    let reply = Event::TransactReply {
        transact: 1,
        outcome,
    };
    let effects = settle(&mut state, &mut table, 0, reply);
    assert_eq!(permitted(&effects), [0, 2, 4, 5, 6, 7]);
    let in_use = Some((Verdict::MayHaveRun, RefuseReason::KeyInUse));
    assert_eq!(refused(&effects), in_use);
}

#[test]
fn slow_table_refuses_at_the_deadline_and_never_dispatches_afterwards() {
    let mut table = Table::default();
    let mut state = host("entry-1", 1);
    let transact = apply(&mut state, 0, begin(1, "k", "a")).remove(0);
    let timeout_ms = claims::Config::default().claim_timeout_ms;
    assert_eq!(apply(&mut state, timeout_ms - 1, Event::Tick), []);
    let effects = apply(&mut state, timeout_ms, Event::Tick);
    let unavailable = Some((Verdict::NotRun, RefuseReason::TableUnavailable));
    assert_eq!(refused(&effects), unavailable);
    let reply = table.answer(&transact).expect("a reply");
    let effects = settle(&mut state, &mut table, timeout_ms, reply);
    assert_eq!(effects, []);
    assert_eq!(table.state("depot/k"), Some(RowState::Released));
    assert!(state.is_empty());
}

#[test]
fn insert_that_arrives_after_its_release_has_no_effect() {
    let mut table = Table::default();
    let mut state = host("entry-1", 1);
    let late = apply(&mut state, 0, begin(1, "k", "a")).remove(0);
    let outcome = TransactOutcome::Unknown;
    apply(
        &mut state,
        0,
        Event::TransactReply {
            transact: 1,
            outcome,
        },
    );
    let effects = apply(
        &mut state,
        0,
        Event::ReadReply {
            read: 2,
            rows: None,
        },
    );
    assert!(refused(&effects).is_some());
    settle(&mut state, &mut table, 5_000, Event::Tick);
    assert_eq!(table.state("depot/k"), Some(RowState::Released));
    table.answer(&late);
    assert_eq!(table.state("depot/k"), Some(RowState::Released));
}

#[test]
fn key_is_refused_after_its_life() {
    let mut state = host("entry-1", 1);
    let Event::Begin(mut late) = begin(1, "k", "a") else {
        unreachable!()
    };
    late.now_unix_ms = EXPIRES_UNIX_MS;
    let effects = apply(&mut state, 0, Event::Begin(late));
    assert_eq!(
        refused(&effects),
        Some((Verdict::NotRun, RefuseReason::KeyExpired))
    );
}

#[test]
fn slash_in_an_organisation_reaches_no_other_row() {
    let one = Row::name(&OrganisationName::new("a/b"), "c");
    let two = Row::name(&OrganisationName::new("a"), "b/c");
    assert_ne!(one, two);
}

#[test]
fn answers_beyond_the_bound_are_given_up_but_known_to_have_run() {
    let mut table = Table::default();
    let config = claims::Config {
        unstored_max_bytes: 50_000,
        ..Default::default()
    };
    let mut state = State::new(config, &HostName::new("entry-1"), Incarnation(1), 1);
    settle(&mut state, &mut table, 0, begin(1, "k", "a"));
    settle(
        &mut state,
        &mut table,
        0,
        finished(1, ran(&"x".repeat(100_000))),
    );
    let effects = settle(&mut state, &mut table, 0, begin(2, "k", "a"));
    assert_eq!(
        refused(&effects),
        Some((Verdict::Ran, RefuseReason::AnswerNotKept))
    );
}

#[test]
fn conflict_reply_about_no_row_of_ours_does_not_spin() {
    let mut state = host("entry-1", 1);
    apply(&mut state, 0, begin(1, "k", "a"));
    let rows = vec![ConflictRow {
        row: "other/row".to_owned(),
        present: None,
    }];
    let outcome = TransactOutcome::Conflict { rows };
    let effects = apply(
        &mut state,
        0,
        Event::TransactReply {
            transact: 1,
            outcome,
        },
    );
    let unavailable = Some((Verdict::NotRun, RefuseReason::TableUnavailable));
    assert_eq!(refused(&effects), unavailable);
}

#[test]
fn row_keeps_its_shape_in_the_table() {
    let mut table = Table::default();
    let mut state = host("entry-1", 1);
    settle(&mut state, &mut table, 0, begin(1, "k", "a"));
    settle(&mut state, &mut table, 0, finished(1, ran("booked")));
    let row = table.row("depot/k").expect("a row");
    let json = serde_json::to_value(row).expect("JSON");
    assert_eq!(json["state"], "finished");
    assert_eq!(json["answer"]["body"]["text"], "booked");
    let back: Row = serde_json::from_value(json).expect("a row");
    assert_eq!(&back, row);
    let answer = back.answer.expect("an answer");
    assert_eq!(answer.body, StoredBody::Text("booked".to_owned()));
}

#[test]
fn row_that_cant_be_read_refuses_its_own_request_only() {
    let mut state = host("entry-1", 1);
    for request in 0..4 {
        apply(&mut state, 0, begin(request, &format!("k{request}"), "a"));
    }
    let applied = TransactOutcome::Applied { versions: vec![1] };
    let reply = |transact, outcome| Event::TransactReply { transact, outcome };
    apply(&mut state, 0, reply(1, applied));
    let present = Some((7, None));
    let rows = vec![ConflictRow {
        row: "depot/k2".to_owned(),
        present,
    }];
    let effects = apply(&mut state, 0, reply(3, TransactOutcome::Conflict { rows }));
    assert_eq!(
        refused(&effects),
        Some((Verdict::MayHaveRun, RefuseReason::KeyInUse))
    );
    let Some(Effect::Transact { transact, writes }) = effects.last() else {
        panic!("{effects:?}");
    };
    assert_eq!(writes.len(), 1);
    let applied = TransactOutcome::Applied { versions: vec![1] };
    assert_eq!(
        permitted(&apply(&mut state, 0, reply(*transact, applied))),
        [3]
    );
}
