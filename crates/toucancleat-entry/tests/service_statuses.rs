//! Answers of faulty services and engines whose status isn't one that ends a request.

mod support;

use bytes::Bytes;
use support::raw_service::{answer_of, start};
use toucancleat_core::prelude::GenerationId;
use toucancleat_entry::engine::{self, StartReply, StartRequest};
use toucancleat_entry::http::HttpClient;
use toucancleat_entry::service::ServiceReply;

/// Guards against answers with a status that HTTP doesn't have, or that ends no request: callers got
/// those with 101 and with 600 to 999 as answers of the service.
#[tokio::test]
async fn an_answer_with_a_status_that_ends_no_request_is_no_answer() {
    let statuses = [
        "000", "001", "099", "101", "600", "700", "999", "2000", "-20", "2OO", "",
    ];
    for status in statuses {
        for verdict in ["", "X-Verdict: NotRun\r\n"] {
            let text = format!(
                "HTTP/1.1 {status} OK\r\n{verdict}Content-Length: 7\r\n\r\nforeign"
            );
            let reply = answer_of(text.clone()).await;
            let is_unknown = matches!(reply, ServiceReply::Unknown(_));
            assert!(is_unknown, "{text:?}: {reply:?}");
        }
    }
}

#[tokio::test]
async fn answers_with_the_statuses_of_http_are_answers() {
    for status in ["200", "299", "301", "404", "500", "599"] {
        let text = format!("HTTP/1.1 {status} OK\r\nContent-Length: 4\r\n\r\ngood");
        let reply = answer_of(text.clone()).await;
        let is_answer = matches!(reply, ServiceReply::Answered { .. });
        assert!(is_answer, "{text:?}: {reply:?}");
    }
}

/// Guards against an engine's proof that it has not begun, beside a status that HTTP doesn't have: the
/// generation was begun again elsewhere.
#[tokio::test]
async fn an_engine_proves_nothing_with_a_status_that_ends_no_request() {
    for status in ["000", "101", "600", "999"] {
        let text = format!(
            "HTTP/1.1 {status} OK\r\nX-Verdict: NotRun\r\nContent-Length: 0\r\n\r\n"
        );
        let request = StartRequest {
            address: start(text.clone()).await,
            path: "/v1/completions",
            body: Bytes::new(),
            generation: GenerationId(7),
            priority: 0,
            deadline_unix_ms: u64::MAX,
        };
        let reply = engine::start(&HttpClient::unpooled(), request).await;
        let is_unknown = matches!(reply, StartReply::Unknown { .. });
        assert!(is_unknown, "{text:?}: {reply:?}");
    }
}
