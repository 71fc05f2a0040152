//! Tests of claims against a simulated table whose replies can be lost or rejected.

mod schedules;
mod table;

use self::table::{Fault, Table};
use toucancleat_core::claims::{
    self, Answer, BodyHash, ClaimRequest, ConflictRow, Effect, Event, RefusalReason,
    RequestOutcome, Row, RowState, State, StoredBody, TransactionOutcome,
};
use toucancleat_core::prelude::*;

const EXPIRES_UNIX_MS: u64 = 1_000_000;

fn new_host(name: &str, seed: u128) -> State {
    State::new(
        claims::Config::default(),
        &HostName::new(name),
        Incarnation(1),
        seed,
    )
}

fn begin(request: u128, key: &str, body: &str) -> Event {
    Event::Begin(ClaimRequest {
        request: RequestId(request),
        organisation: OrganisationName::new("depot"),
        key: key.to_owned(),
        body_sha256: BodyHash::of(body.as_bytes()),
        now_unix_ms: 0,
        expires_unix_ms: EXPIRES_UNIX_MS,
    })
}

fn finished(request: u128, outcome: RequestOutcome) -> Event {
    Event::Finished {
        request: RequestId(request),
        outcome,
    }
}

fn ran(body: &str) -> RequestOutcome {
    RequestOutcome::Ran(Answer {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: body.as_bytes().to_vec(),
    })
}

fn reduce(state: &mut State, now_ms: u64, event: Event) -> Vec<Effect> {
    let mut effects = Vec::new();
    claims::reduce(state, now_ms, event, &mut effects);
    effects
}

/// Feeds an event and the replies to all effects on the table; returns the other effects.
fn reduce_with_table(
    state: &mut State,
    table: &mut Table,
    now_ms: u64,
    event: Event,
) -> Vec<Effect> {
    let mut events = vec![event];
    let mut outputs = Vec::new();
    while let Some(event) = events.pop() {
        for effect in reduce(state, now_ms, event) {
            match table.reply(&effect) {
                Some(reply) => events.insert(0, reply),
                None => outputs.push(effect),
            }
        }
    }
    outputs
}

fn refusal(effects: &[Effect]) -> Option<(Verdict, RefusalReason)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Refuse {
            verdict, reason, ..
        } => Some((*verdict, *reason)),
        _ => None,
    })
}

fn permitted_requests(effects: &[Effect]) -> Vec<u128> {
    let permitted_request = |effect: &Effect| match effect {
        Effect::PermitDispatch { request } => Some(request.0),
        _ => None,
    };
    effects.iter().filter_map(permitted_request).collect()
}

#[test]
fn repeated_key_runs_again_only_after_proof_that_it_did_not_run() {
    struct Case {
        name: &'static str,
        first: Vec<Event>,
        body: &'static str,
        expected: Option<(Verdict, RefusalReason)>,
        replayed: bool,
    }
    let in_use = Some((Verdict::MayHaveRun, RefusalReason::KeyInUse));
    let other = Some((Verdict::NotRun, RefusalReason::KeyUsedWithOtherBody));
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
    let proved = vec![dispatched(), finished(1, RequestOutcome::NotRun)];
    let unknown = vec![dispatched(), finished(1, RequestOutcome::MayHaveRun)];
    let done_large = vec![dispatched(), finished(1, ran(&large))];
    let abandoned_late = vec![dispatched(), abandoned()];
    let cases = [
        case("claimed", vec![], "a", in_use, false),
        case("claimed, other body", vec![], "b", other, false),
        case("dispatched", vec![dispatched()], "a", in_use, false),
        case("abandoned", vec![abandoned()], "a", None, false),
        case(
            "abandoned after dispatch",
            abandoned_late,
            "a",
            in_use,
            false,
        ),
        case("finished", done(), "a", None, true),
        case("finished, large answer", done_large, "a", None, true),
        case("finished, other body", done(), "b", other, false),
        case("proved not run", proved, "a", None, false),
        case("outcome unknown", unknown, "a", in_use, false),
    ];
    for case in cases {
        for same_host in [true, false] {
            let mut table = Table::default();
            let mut one = new_host("entry-1", 1);
            let mut two = new_host("entry-2", 2);
            reduce_with_table(&mut one, &mut table, 0, begin(1, "k", "a"));
            for event in &case.first {
                reduce_with_table(&mut one, &mut table, 0, event.clone());
            }
            let second = if same_host { &mut one } else { &mut two };
            let effects =
                reduce_with_table(second, &mut table, 0, begin(2, "k", case.body));
            assert_eq!(refusal(&effects), case.expected, "{}", case.name);
            let is_replay = matches!(effects[0], Effect::Replay { .. });
            assert_eq!(is_replay, case.replayed, "{}", case.name);
            let is_permitted = case.expected.is_none() && !case.replayed;
            assert_eq!(
                permitted_requests(&effects),
                vec![2; is_permitted.into()],
                "{}",
                case.name
            );
        }
    }
}

#[test]
fn table_faults_never_permit_a_request_without_a_claimed_row() {
    struct Case {
        name: &'static str,
        faults: &'static [Fault],
        permitted: bool,
        row_after: Option<RowState>,
    }
    let cases = [
        Case {
            name: "reply lost after the write",
            faults: &[Fault::ReplyLost],
            permitted: true,
            row_after: Some(RowState::Claimed),
        },
        Case {
            name: "request lost before the write",
            faults: &[Fault::RequestLost],
            permitted: true,
            row_after: Some(RowState::Claimed),
        },
        Case {
            name: "reply lost, read failed",
            faults: &[Fault::ReplyLost, Fault::RequestLost],
            permitted: false,
            row_after: Some(RowState::Released),
        },
        Case {
            name: "rejected",
            faults: &[Fault::Rejected],
            permitted: false,
            row_after: None,
        },
    ];
    for case in cases {
        let mut table = Table::default();
        let mut state = new_host("entry-1", 1);
        table.faults.extend(case.faults.iter().copied());
        let mut effects =
            reduce_with_table(&mut state, &mut table, 0, begin(1, "k", "a"));
        assert_eq!(
            permitted_requests(&effects),
            vec![1; case.permitted.into()],
            "{}",
            case.name
        );
        let unavailable = Some((Verdict::NotRun, RefusalReason::TableUnavailable));
        let expected = if case.permitted { None } else { unavailable };
        assert_eq!(refusal(&effects), expected, "{}", case.name);
        for now_ms in [5_000, 10_000] {
            effects = reduce_with_table(&mut state, &mut table, now_ms, Event::Tick);
            assert_eq!(effects, [], "{}", case.name);
        }
        assert_eq!(table.state("depot/k"), case.row_after, "{}", case.name);
        assert_eq!(state.is_empty(), !case.permitted, "{}", case.name);
    }
}

#[test]
fn finish_is_retried_after_lost_replies() {
    let mut table = Table::default();
    let mut state = new_host("entry-1", 1);
    reduce_with_table(&mut state, &mut table, 0, begin(1, "k", "a"));
    table
        .faults
        .extend([Fault::RequestLost, Fault::RequestLost, Fault::ReplyLost]);
    reduce_with_table(&mut state, &mut table, 0, finished(1, ran("booked")));
    for now_ms in [5_000, 10_000, 15_000] {
        reduce_with_table(&mut state, &mut table, now_ms, Event::Tick);
    }
    assert_eq!(table.state("depot/k"), Some(RowState::Finished));
    assert!(state.is_empty());
}

#[test]
fn claims_are_batched_while_transactions_are_in_flight() {
    let mut state = new_host("entry-1", 1);
    let mut sizes = Vec::new();
    for request in 0..100 {
        for effect in reduce(&mut state, 0, begin(request, &format!("k{request}"), "a")) {
            let Effect::Transact { writes, .. } = effect else {
                panic!("{effect:?}")
            };
            sizes.push(writes.len());
        }
    }
    assert_eq!(sizes, [1, 1]);
    let outcome = TransactionOutcome::Applied { versions: vec![1] };
    let effects = reduce(
        &mut state,
        0,
        Event::TransactionReply {
            transaction: 1,
            outcome,
        },
    );
    assert_eq!(permitted_requests(&effects), [0]);
    let Effect::Transact { writes, .. } = &effects[1] else {
        panic!("{effects:?}")
    };
    assert_eq!(writes.len(), claims::Config::default().batch_max);
}

#[test]
fn conflict_of_one_row_refuses_no_other_claim() {
    let mut table = Table::default();
    let mut other = new_host("entry-2", 2);
    reduce_with_table(&mut other, &mut table, 0, begin(90, "k3", "a"));
    let mut state = new_host("entry-1", 1);
    for request in 0..8 {
        reduce(&mut state, 0, begin(request, &format!("k{request}"), "a"));
    }
    // The first two claims were sent one by one; the reply to the first lets the other
    // six be sent in one transaction.
    let outcome = TransactionOutcome::Applied { versions: vec![1] };
    let reply = Event::TransactionReply {
        transaction: 1,
        outcome,
    };
    let effects = reduce_with_table(&mut state, &mut table, 0, reply);
    assert_eq!(permitted_requests(&effects), [0, 2, 4, 5, 6, 7]);
    let in_use = Some((Verdict::MayHaveRun, RefusalReason::KeyInUse));
    assert_eq!(refusal(&effects), in_use);
}

#[test]
fn slow_table_refuses_at_the_deadline_and_never_dispatches_afterwards() {
    let mut table = Table::default();
    let mut state = new_host("entry-1", 1);
    let transaction = reduce(&mut state, 0, begin(1, "k", "a")).remove(0);
    let timeout_ms = claims::Config::default().claim_timeout_ms;
    assert_eq!(reduce(&mut state, timeout_ms - 1, Event::Tick), []);
    let effects = reduce(&mut state, timeout_ms, Event::Tick);
    let unavailable = Some((Verdict::NotRun, RefusalReason::TableUnavailable));
    assert_eq!(refusal(&effects), unavailable);
    let reply = table.reply(&transaction).expect("a reply");
    let effects = reduce_with_table(&mut state, &mut table, timeout_ms, reply);
    assert_eq!(effects, []);
    assert_eq!(table.state("depot/k"), Some(RowState::Released));
    assert!(state.is_empty());
}

#[test]
fn insert_applied_after_its_release_has_no_effect() {
    let mut table = Table::default();
    let mut state = new_host("entry-1", 1);
    let delayed = reduce(&mut state, 0, begin(1, "k", "a")).remove(0);
    let outcome = TransactionOutcome::Unknown;
    reduce(
        &mut state,
        0,
        Event::TransactionReply {
            transaction: 1,
            outcome,
        },
    );
    let effects = reduce(
        &mut state,
        0,
        Event::ReadReply {
            read: 2,
            rows: None,
        },
    );
    assert!(refusal(&effects).is_some());
    reduce_with_table(&mut state, &mut table, 5_000, Event::Tick);
    assert_eq!(table.state("depot/k"), Some(RowState::Released));
    table.reply(&delayed);
    assert_eq!(table.state("depot/k"), Some(RowState::Released));
}

#[test]
fn expired_key_is_refused() {
    let mut state = new_host("entry-1", 1);
    let Event::Begin(mut expired) = begin(1, "k", "a") else {
        unreachable!()
    };
    expired.now_unix_ms = EXPIRES_UNIX_MS;
    let effects = reduce(&mut state, 0, Event::Begin(expired));
    assert_eq!(
        refusal(&effects),
        Some((Verdict::NotRun, RefusalReason::KeyExpired))
    );
}

#[test]
fn organisation_with_a_slash_names_no_row_of_another() {
    let one = Row::name(&OrganisationName::new("a/b"), "c");
    let two = Row::name(&OrganisationName::new("a"), "b/c");
    assert_ne!(one, two);
}

#[test]
fn answer_beyond_the_bound_is_discarded_but_reported_as_run() {
    let mut table = Table::default();
    let config = claims::Config {
        unstored_max_bytes: 50_000,
        ..Default::default()
    };
    let mut state = State::new(config, &HostName::new("entry-1"), Incarnation(1), 1);
    reduce_with_table(&mut state, &mut table, 0, begin(1, "k", "a"));
    reduce_with_table(
        &mut state,
        &mut table,
        0,
        finished(1, ran(&"x".repeat(100_000))),
    );
    let effects = reduce_with_table(&mut state, &mut table, 0, begin(2, "k", "a"));
    assert_eq!(
        refusal(&effects),
        Some((Verdict::Ran, RefusalReason::AnswerNotKept))
    );
}

#[test]
fn conflict_of_an_unknown_row_is_not_retried_at_once() {
    let mut state = new_host("entry-1", 1);
    reduce(&mut state, 0, begin(1, "k", "a"));
    let rows = vec![ConflictRow {
        row: "other/row".to_owned(),
        current: None,
    }];
    let outcome = TransactionOutcome::Conflict { rows };
    let effects = reduce(
        &mut state,
        0,
        Event::TransactionReply {
            transaction: 1,
            outcome,
        },
    );
    let unavailable = Some((Verdict::NotRun, RefusalReason::TableUnavailable));
    assert_eq!(refusal(&effects), unavailable);
}

#[test]
fn row_keeps_its_stored_format() {
    let mut table = Table::default();
    let mut state = new_host("entry-1", 1);
    reduce_with_table(&mut state, &mut table, 0, begin(1, "k", "a"));
    reduce_with_table(&mut state, &mut table, 0, finished(1, ran("booked")));
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
fn undecodable_row_refuses_only_its_own_request() {
    let mut state = new_host("entry-1", 1);
    for request in 0..4 {
        reduce(&mut state, 0, begin(request, &format!("k{request}"), "a"));
    }
    let applied = TransactionOutcome::Applied { versions: vec![1] };
    let reply = |transaction, outcome| Event::TransactionReply {
        transaction,
        outcome,
    };
    reduce(&mut state, 0, reply(1, applied));
    let current = Some((7, None));
    let rows = vec![ConflictRow {
        row: "depot/k2".to_owned(),
        current,
    }];
    let effects = reduce(
        &mut state,
        0,
        reply(3, TransactionOutcome::Conflict { rows }),
    );
    assert_eq!(
        refusal(&effects),
        Some((Verdict::MayHaveRun, RefusalReason::KeyInUse))
    );
    let Some(Effect::Transact {
        transaction,
        writes,
    }) = effects.last()
    else {
        panic!("{effects:?}");
    };
    assert_eq!(writes.len(), 1);
    let applied = TransactionOutcome::Applied { versions: vec![1] };
    assert_eq!(
        permitted_requests(&reduce(&mut state, 0, reply(*transaction, applied))),
        [3]
    );
}

/// Guards against a stored answer whose status can't be one of an answer, which was replayed as a
/// success. What can't be decoded counts as a request that may have run.
#[test]
fn a_stored_answer_is_decoded_only_with_a_status_that_ends_a_request() {
    let row = |status: serde_json::Value| {
        serde_json::json!({
            "token": "0".repeat(32), "body_sha256": "0".repeat(64), "state": "finished",
            "answer": {"status": status, "content_type": "", "body": {"text": "good"}},
            "expires_unix_ms": EXPIRES_UNIX_MS,
        })
    };
    for status in [0, 1, 99, 100, 101, 199, 600, 999, 65_535, 65_536] {
        let decoded = serde_json::from_value::<Row>(row(status.into()));
        assert!(decoded.is_err(), "{status}: {decoded:?}");
    }
    for status in [200, 201, 404, 500, 599] {
        let decoded = serde_json::from_value::<Row>(row(status.into()));
        let answer = decoded.ok().and_then(|row| row.answer);
        assert_eq!(answer.map(|answer| answer.status), Some(status), "{status}");
    }
}
