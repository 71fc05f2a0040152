//! Callers that come back to a stream, at the same or at another entry host of the zone.

mod support;

use http::StatusCode;
use support::client::Ask;
use support::deployment::Deployment;
use support::wait_until;
use toucancleat_standin::GenerationState;

/// Tokens of the answers; long enough that a caller can leave in the midst.
const TOKENS: u32 = 120;

/// How the caller loses its stream.
enum Loss {
    CallerDisconnects,
    EntryHostDies,
}

struct Case {
    name: &'static str,
    loss: Loss,
    comes_back_to: usize,
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cursor_resumes_the_same_generation_at_any_host_of_the_zone() {
    let cases = [
        Case {
            name: "the caller disconnects and comes back to its host",
            loss: Loss::CallerDisconnects,
            comes_back_to: 0,
        },
        Case {
            name: "the caller disconnects and comes back to another host",
            loss: Loss::CallerDisconnects,
            comes_back_to: 2,
        },
        Case {
            name: "the entry host dies and the caller comes back to another",
            loss: Loss::EntryHostDies,
            comes_back_to: 2,
        },
    ];
    for case in cases {
        let mut deployment = Deployment::start(1, 1).await;
        deployment.add_host("entry-2", "upp-a").await;
        let ask = Ask::draft("draft", "Plan the closure", TOKENS);
        let mut stream = ask.stream(deployment.callers(0)).await.expect(case.name);
        let mut texts = Vec::new();
        let first = stream.read_tokens(10).await;
        let (cursor, _) = first.last().expect("ten tokens").clone();
        texts.extend(first.into_iter().map(|(_, text)| text));
        match case.loss {
            Loss::CallerDisconnects => drop(stream),
            Loss::EntryHostDies => deployment.hosts[0].kill(),
        }
        let again = ask.header("last-event-id", &cursor);
        let address = deployment.callers(case.comes_back_to);
        let mut stream = match again.stream(address).await {
            Ok(stream) => stream,
            Err(reply) => panic!("{}: {}", case.name, reply.text),
        };
        let (rest, whole) = stream.read_all().await;
        assert!(whole, "{}", case.name);
        texts.extend(rest);
        assert_eq!(texts.len(), TOKENS as usize, "{}", case.name);
        let records = deployment.engines[0].records();
        assert_eq!(records.generations.len(), 1, "{}", case.name);
        let record = &records.generations[0];
        assert_eq!(record.state, GenerationState::Finished, "{}", case.name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_does_not_cancel_what_another_has_taken_over() {
    let mut deployment = Deployment::start(1, 1).await;
    deployment.add_host("entry-2", "upp-a").await;
    deployment.wait_for_members(2, 2).await;
    let ask = Ask::draft("draft", "Plan the closure", 400);
    let mut stream = ask.stream(deployment.callers(0)).await.expect("a stream");
    let (cursor, _) = stream.read_tokens(5).await.pop().expect("five tokens");
    drop(stream);
    let again = ask.header("last-event-id", &cursor);
    let mut stream = again.stream(deployment.callers(2)).await.expect("the rest");
    assert_eq!(stream.read_tokens(2).await.len(), 2);
    // The generation outlasts the time for which the first host keeps it.
    deployment.engines[0].set_faults(|faults| faults.freeze_steps = true);
    wait_until("the first host keeps no stream", async || {
        deployment.status_number(0, "abandoned_streams").await == Some(0)
    })
    .await;
    deployment.engines[0].set_faults(|faults| faults.freeze_steps = false);
    let (rest, whole) = stream.read_all().await;
    assert!(whole);
    assert_eq!(rest.len(), 393);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_caller_stays_away_is_cancelled() {
    let deployment = Deployment::start(1, 1).await;
    let ask = Ask::draft("draft", "Plan the closure", 2_000);
    let mut stream = ask.stream(deployment.callers(0)).await.expect("a stream");
    assert_eq!(stream.read_tokens(3).await.len(), 3);
    deployment.engines[0].set_faults(|faults| faults.freeze_steps = true);
    drop(stream);
    wait_until("the engine was told to cancel", async || {
        let records = deployment.engines[0].records();
        records.generations[0].state == GenerationState::Cancelled
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cursor_that_cant_be_used_is_refused() {
    let deployment = Deployment::start(1, 1).await;
    let ask = Ask::draft("draft", "Plan the closure", 3);
    let address = deployment.callers(0);
    let mut stream = ask.stream(address).await.expect("a stream");
    let (cursor, _) = stream.read_tokens(1).await.remove(0);
    stream.read_all().await;
    struct Case {
        name: &'static str,
        ask: Ask,
        status: StatusCode,
    }
    let cases = [
        Case {
            name: "not a cursor",
            ask: ask.clone().header("last-event-id", "17"),
            status: StatusCode::BAD_REQUEST,
        },
        Case {
            name: "a cursor with another index",
            ask: ask
                .clone()
                .header("last-event-id", &cursor.replace(".1.", ".2.")),
            status: StatusCode::BAD_REQUEST,
        },
        Case {
            name: "a cursor of another organisation",
            ask: ask.clone().header("last-event-id", &cursor).header(
                "authorization",
                &format!("Bearer {}", support::settings::XT_KEY),
            ),
            status: StatusCode::BAD_REQUEST,
        },
        Case {
            name: "a cursor of another kind",
            ask: ask
                .clone()
                .header("last-event-id", &cursor)
                .header("x-request-kind", "check"),
            status: StatusCode::BAD_REQUEST,
        },
    ];
    for case in cases {
        let reply = case.ask.send(address).await.expect("a reply");
        assert_eq!(reply.status, case.status, "{}: {}", case.name, reply.text);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_generation_that_is_gone_is_refused_with_its_verdict() {
    let mut deployment = Deployment::start(1, 1).await;
    let ask = Ask::draft("draft", "Plan the closure", TOKENS);
    let address = deployment.callers(0);
    let mut stream = ask.stream(address).await.expect("a stream");
    let (cursor, _) = stream.read_tokens(1).await.remove(0);
    deployment.engines.clear();
    let (_, whole) = stream.read_all().await;
    assert!(!whole);
    let again = ask.header("last-event-id", &cursor);
    let reply = again.send(address).await.expect("a reply");
    assert_eq!(reply.status, StatusCode::GONE, "{}", reply.text);
    assert_eq!(reply.member("verdict"), "MayHaveRun");
}
