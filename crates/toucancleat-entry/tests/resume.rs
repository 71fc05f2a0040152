//! Callers resume a stream with its cursor, at the same or another entry host of the
//! zone.

mod support;

use http::StatusCode;
use support::client::Request;
use support::deployment::Deployment;
use support::wait_until;
use toucancleat_standin::GenerationState;

/// Tokens of an answer, which is long enough for its caller to disconnect in the middle.
const TOKENS: u32 = 120;

/// How the caller's stream is interrupted.
enum Interruption {
    CallerDisconnects,
    EntryHostDies,
}

struct Case {
    name: &'static str,
    interruption: Interruption,
    resumes_at: usize,
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cursor_resumes_the_same_generation_at_any_host_of_the_zone() {
    let cases = [
        Case {
            name: "the caller disconnects and resumes at the same host",
            interruption: Interruption::CallerDisconnects,
            resumes_at: 0,
        },
        Case {
            name: "the caller disconnects and resumes at another host",
            interruption: Interruption::CallerDisconnects,
            resumes_at: 2,
        },
        Case {
            name: "the entry host dies and the caller resumes at another",
            interruption: Interruption::EntryHostDies,
            resumes_at: 2,
        },
    ];
    for case in cases {
        let mut deployment = Deployment::start(1, 1).await;
        deployment.add_host("entry-2", "upp-a").await;
        let request = Request::draft("draft", "Plan the closure", TOKENS);
        let mut stream = request
            .stream(deployment.callers_address(0))
            .await
            .expect(case.name);
        let mut texts = Vec::new();
        let first = stream.read_tokens(10).await;
        let (cursor, _) = first.last().expect("ten tokens").clone();
        texts.extend(first.into_iter().map(|(_, text)| text));
        match case.interruption {
            Interruption::CallerDisconnects => drop(stream),
            Interruption::EntryHostDies => deployment.hosts[0].kill(),
        }
        let again = request.header("last-event-id", &cursor);
        let address = deployment.callers_address(case.resumes_at);
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
async fn a_host_does_not_cancel_a_stream_that_another_has_resumed() {
    let mut deployment = Deployment::start(1, 1).await;
    deployment.add_host("entry-2", "upp-a").await;
    deployment.wait_for_members(2, 2).await;
    let request = Request::draft("draft", "Plan the closure", 400);
    let mut stream = request
        .stream(deployment.callers_address(0))
        .await
        .expect("a stream");
    let (cursor, _) = stream.read_tokens(5).await.pop().expect("five tokens");
    drop(stream);
    let again = request.header("last-event-id", &cursor);
    let mut stream = again
        .stream(deployment.callers_address(2))
        .await
        .expect("the rest");
    assert_eq!(stream.read_tokens(2).await.len(), 2);
    // The generation outlasts the time for which the first host keeps an abandoned
    // stream.
    deployment.engines[0].set_faults(|faults| faults.freeze_steps = true);
    wait_until("the first host keeps no abandoned stream", async || {
        deployment.status_number(0, "abandoned_streams").await == Some(0)
    })
    .await;
    deployment.engines[0].set_faults(|faults| faults.freeze_steps = false);
    let (rest, whole) = stream.read_all().await;
    assert!(whole);
    assert_eq!(rest.len(), 393);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_its_caller_does_not_resume_is_cancelled() {
    let deployment = Deployment::start(1, 1).await;
    let request = Request::draft("draft", "Plan the closure", 2_000);
    let mut stream = request
        .stream(deployment.callers_address(0))
        .await
        .expect("a stream");
    assert_eq!(stream.read_tokens(3).await.len(), 3);
    deployment.engines[0].set_faults(|faults| faults.freeze_steps = true);
    drop(stream);
    wait_until("the engine has cancelled the generation", async || {
        let records = deployment.engines[0].records();
        records.generations[0].state == GenerationState::Cancelled
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_cursor_is_refused() {
    let deployment = Deployment::start(1, 1).await;
    let request = Request::draft("draft", "Plan the closure", 3);
    let address = deployment.callers_address(0);
    let mut stream = request.stream(address).await.expect("a stream");
    let (cursor, _) = stream.read_tokens(1).await.remove(0);
    stream.read_all().await;
    struct Case {
        name: &'static str,
        request: Request,
        status: StatusCode,
    }
    let cases = [
        Case {
            name: "not a cursor",
            request: request.clone().header("last-event-id", "17"),
            status: StatusCode::BAD_REQUEST,
        },
        Case {
            name: "a cursor with another index",
            request: request
                .clone()
                .header("last-event-id", &cursor.replace(".1.", ".2.")),
            status: StatusCode::BAD_REQUEST,
        },
        Case {
            name: "a cursor of another organisation",
            request: request.clone().header("last-event-id", &cursor).header(
                "authorization",
                &format!("Bearer {}", support::settings::XT_KEY),
            ),
            status: StatusCode::BAD_REQUEST,
        },
        Case {
            name: "a cursor of another kind",
            request: request
                .clone()
                .header("last-event-id", &cursor)
                .header("x-request-kind", "check"),
            status: StatusCode::BAD_REQUEST,
        },
    ];
    for case in cases {
        let reply = case.request.send(address).await.expect("a reply");
        assert_eq!(reply.status, case.status, "{}: {}", case.name, reply.text);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_resume_of_a_lost_generation_is_refused_with_its_verdict() {
    let mut deployment = Deployment::start(1, 1).await;
    let request = Request::draft("draft", "Plan the closure", TOKENS);
    let address = deployment.callers_address(0);
    let mut stream = request.stream(address).await.expect("a stream");
    let (cursor, _) = stream.read_tokens(1).await.remove(0);
    deployment.engines.clear();
    let (_, whole) = stream.read_all().await;
    assert!(!whole);
    let again = request.header("last-event-id", &cursor);
    let reply = again.send(address).await.expect("a reply");
    assert_eq!(reply.status, StatusCode::GONE, "{}", reply.text);
    assert_eq!(reply.member("verdict"), "MayHaveRun");
}
