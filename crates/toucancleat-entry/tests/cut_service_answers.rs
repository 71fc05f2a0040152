//! Answers of a plain service that end in the middle of their heads.

mod support;

use support::raw_service::answer_of;
use toucancleat_entry::service::ServiceReply;

async fn is_answered(text: String) -> bool {
    matches!(answer_of(text).await, ServiceReply::Answered { .. })
}

/// Guards against a success with an empty body, framed as whole: a service stops in the middle of the
/// head of its answer and closes the connection.
#[tokio::test]
async fn heads_that_are_cut_anywhere_are_no_answers() {
    let lines = [
        "HTTP/1.1 200 OK",
        "Content-Type: application/json",
        "Content-Length: 4",
    ];
    let head = lines.join("\r\n");
    let cut = (1..head.len()).map(|length| head[..length].to_owned());
    let with_blank_line =
        (1..lines.len()).map(|count| lines[..count].join("\r\n") + "\r\n\r\n");
    let whole_without_body = [head.clone() + "\r\n\r\n"];
    for text in cut.chain(with_blank_line).chain(whole_without_body) {
        assert!(!is_answered(text.clone()).await, "{text:?}");
    }
}

#[tokio::test]
async fn answers_without_a_length_are_whole_if_a_body_or_the_status_shows_it() {
    for (text, expected) in [
        ("HTTP/1.1 200 OK\r\n\r\ngood", true),
        ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true),
        ("HTTP/1.1 204 No Content\r\n\r\n", true),
        ("HTTP/1.1 404 Not Found\r\n\r\n", true),
        ("HTTP/1.1 200 OK\r\n\r\n", false),
    ] {
        assert_eq!(is_answered(text.to_owned()).await, expected, "{text:?}");
    }
}
