//! End-to-end requests of every kind through real processes in two zones.

mod support;

use http::StatusCode;
use support::client::Request;
use support::deployment::Deployment;
use support::process::Signal;
use support::wait_until;

#[tokio::test(flavor = "multi_thread")]
async fn each_zone_serves_streams_whole_answers_and_services() {
    let deployment = Deployment::start(2, 2).await;
    for host in 0..2 {
        let address = deployment.callers_address(host);
        let request = Request::draft("draft", "Plan the closure weekend", 40);
        let mut stream = request.stream(address).await.expect("a stream");
        let (texts, whole) = stream.read_all().await;
        assert!(whole);
        assert_eq!(texts.len(), 40);

        let mut check = Request::draft("check", "Is stop 4 paired with stop 9?", 3);
        check.body = check.body.replace("\"stream\":true", "\"stream\":false");
        let reply = check.send(address).await.expect("a reply");
        assert_eq!(reply.status, StatusCode::OK, "{}", reply.text);
        assert_eq!(reply.member("usage")["completion_tokens"], 3);

        let roster = Request::service("roster", "drivers/7", "{}");
        let reply = roster.send(address).await.expect("a reply");
        assert_eq!(reply.status, StatusCode::OK, "{}", reply.text);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_runs_once_and_its_repeat_gets_the_same_answer() {
    let deployment = Deployment::start(1, 2).await;
    let request = Request::service("booking", "coaches", r#"{"stop": 4}"#)
        .header("idempotency-key", "booking-1");
    let first = request
        .send(deployment.callers_address(0))
        .await
        .expect("a reply");
    assert_eq!(first.status, StatusCode::OK, "{}", first.text);
    wait_until("the repeat gets the stored answer", async || {
        let repeat = request
            .send(deployment.callers_address(1))
            .await
            .expect("a reply");
        repeat.headers.contains_key("idempotency-replayed") && repeat.text == first.text
    })
    .await;
    assert_eq!(deployment.runs_of("booking-1"), 1);

    let other = Request {
        body: r#"{"stop": 5}"#.to_owned(),
        ..request
    };
    let reply = other
        .send(deployment.callers_address(0))
        .await
        .expect("a reply");
    assert_eq!(reply.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(reply.member("verdict"), "NotRun");
    assert_eq!(deployment.runs_of("booking-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_carries_its_verdict_and_retry_after() {
    let deployment = Deployment::start(1, 1).await;
    deployment.engines[0].set_faults(|faults| faults.reject = true);
    let request = Request::draft("draft", "Plan", 5);
    let reply = request
        .send(deployment.callers_address(0))
        .await
        .expect("a reply");
    assert_eq!(
        reply.status,
        StatusCode::SERVICE_UNAVAILABLE,
        "{}",
        reply.text
    );
    assert_eq!(reply.headers["content-type"], "application/problem+json");
    assert_eq!(reply.member("verdict"), "NotRun");
    assert!(
        reply.headers.contains_key("retry-after"),
        "{:?}",
        reply.headers
    );
    assert!(deployment.engines[0].records().generations.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_finishes_the_stream_and_exits_with_success() {
    let mut deployment = Deployment::start(1, 1).await;
    let address = deployment.callers_address(0);
    let request = Request::draft("draft", "Plan", 200);
    let mut stream = request.stream(address).await.expect("a stream");
    assert_eq!(stream.read_tokens(1).await.len(), 1);
    deployment.hosts[0].signal(Signal::Terminate);
    let (texts, whole) = stream.read_all().await;
    assert!(whole);
    assert_eq!(texts.len(), 199);
    let status = loop {
        if let Some(status) = deployment.hosts[0].exit_status() {
            break status;
        }
        tokio::task::yield_now().await;
    };
    assert!(status.success(), "{status}");
}
