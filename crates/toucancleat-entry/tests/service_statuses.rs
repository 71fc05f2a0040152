//! Answers of a faulty plain service whose status isn't one that ends a request.

mod support;

use support::raw_service::answer_of;
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
