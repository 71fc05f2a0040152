//! What a connection may receive before the answer to a request.

use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use toucancleat_http::{
    HEAD_MAX_BYTES, HeadBoundedStream, HeadProgress, INTERIM_ANSWERS_MAX,
};

/// Reads bytes that arrive in parts of a length, and returns true if all could be read.
async fn is_read(bytes: &[u8], part_bytes: usize) -> bool {
    let (near, mut far) = tokio::io::duplex(part_bytes);
    let mut stream = HeadBoundedStream::new(near, Arc::new(HeadProgress::default()));
    let writing = async {
        // The reader may end first.
        let _ = far.write_all(bytes).await;
        drop(far);
    };
    let mut read = Vec::new();
    let reading = async {
        let result = stream.read_to_end(&mut read).await;
        drop(stream);
        result
    };
    tokio::join!(reading, writing).0.is_ok()
}

/// Guards against a host that is busy with the interim answers of a faulty target: a connection could bring
/// some 7,000 within the bound on their bytes.
#[tokio::test]
async fn interim_answers_are_bounded_by_their_number() {
    const INTERIM: &str = "HTTP/1.1 102 Processing\r\n\r\n";
    const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
    let many = INTERIM.repeat(INTERIM_ANSWERS_MAX);
    struct Case {
        name: &'static str,
        text: String,
        is_read: bool,
    }
    let case = |name, text: String, is_read| Case {
        name,
        text,
        is_read,
    };
    let cases = [
        case("an answer", ANSWER.to_owned(), true),
        case("as many as may precede it", many.clone() + ANSWER, true),
        case("one more", many.clone() + INTERIM + ANSWER, false),
        case(
            "with fields",
            "HTTP/1.1 103 Early Hints\r\nA: b\r\nC: d\r\n\r\n"
                .repeat(INTERIM_ANSWERS_MAX + 1),
            false,
        ),
        case(
            "with line ends of one byte, and blank lines between",
            "\n\r\nHTTP/1.1 100 Continue\nA: b\n\n".repeat(INTERIM_ANSWERS_MAX + 1),
            false,
        ),
        case(
            "blank lines without an answer",
            "\r\n".repeat(10 * INTERIM_ANSWERS_MAX),
            true,
        ),
        case(
            "what is alike in the body of an answer",
            format!("{ANSWER}\r\n\r\n{}", many.repeat(3)),
            true,
        ),
        case(
            "a head without an end",
            "HTTP/1.1 200 OK\r\n".to_owned() + &"a".repeat(HEAD_MAX_BYTES),
            false,
        ),
    ];
    for case in cases {
        for part_bytes in [1, 7, 64, HEAD_MAX_BYTES * 2] {
            let is_read = is_read(case.text.as_bytes(), part_bytes).await;
            assert_eq!(is_read, case.is_read, "{}, {part_bytes}", case.name);
        }
    }
}

#[tokio::test]
async fn each_request_of_a_connection_has_the_whole_bound() {
    let (near, mut far) = tokio::io::duplex(HEAD_MAX_BYTES);
    let progress = Arc::new(HeadProgress::default());
    let mut stream = HeadBoundedStream::new(near, progress.clone());
    let part = vec![b'a'; HEAD_MAX_BYTES];
    let mut buffer = vec![0; HEAD_MAX_BYTES];
    for _ in 0..3 {
        progress.begin_request();
        far.write_all(&part).await.expect("room for the head");
        stream.read_exact(&mut buffer).await.expect("a head");
        progress.record_head();
        far.write_all(&part).await.expect("room for the body");
        stream.read_exact(&mut buffer).await.expect("a body");
    }
}
