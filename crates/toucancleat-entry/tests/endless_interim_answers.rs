//! Replies of faulty targets that consist of interim answers without end. The tests run on one thread, which
//! such replies could keep busy.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use http::Method;
use toucancleat_entry::http::{CallError, HttpCall, HttpClient};

/// Targets that answer without end at the same time.
const FAULTY_TARGETS: usize = 16;

/// Timeout of a call.
const TIMEOUT_MS: u64 = 2_000;

/// Time after its timeout in which a call has to have ended.
const END_MARGIN: Duration = Duration::from_secs(20);

const REPLY_MAX_BYTES: usize = 1_024;

/// Starts a target on a thread of its own that answers each request with a text, again and again if
/// `is_endless`, until the client closes the connection.
fn start(text: &'static [u8], is_endless: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            std::thread::spawn(move || {
                let mut head = [0; 4_096];
                let _ = stream.read(&mut head);
                let bytes = text.repeat(if is_endless { 2_000 } else { 1 });
                while stream.write_all(&bytes).is_ok() && is_endless {}
            });
        }
    });
    address
}

async fn call(client: &HttpClient, address: SocketAddr) -> Result<u16, CallError> {
    let call = HttpCall {
        address,
        method: Method::GET,
        path: "/",
        headers: Vec::new(),
        body: "".into(),
    };
    let reply = client.exchange(call, TIMEOUT_MS, REPLY_MAX_BYTES).await;
    reply.map(|reply| reply.status().as_u16())
}

/// Guards against an entry host that is busy with the interim answers of faulty targets: their calls have to
/// end in time, and calls to a sound target beside them have to succeed.
#[tokio::test]
async fn interim_answers_without_end_leave_the_host_ready() {
    let client = HttpClient::unpooled();
    let sound = start(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false);
    let floods: Vec<_> = (0..FAULTY_TARGETS)
        .map(|_| {
            let client = client.clone();
            let address = start(b"HTTP/1.1 102 Processing\r\n\r\n", true);
            tokio::spawn(async move { call(&client, address).await })
        })
        .collect();
    let mut sound_calls = 0;
    while !floods.iter().all(tokio::task::JoinHandle::is_finished) {
        let reply = call(&client, sound).await;
        assert!(matches!(reply, Ok(200)), "{reply:?}");
        sound_calls += 1;
        tokio::task::yield_now().await;
    }
    assert!(sound_calls > 0);
    for flood in floods {
        let ended = tokio::time::timeout(END_MARGIN, flood).await;
        let reply = ended.expect("the call ends").expect("no panic");
        assert!(reply.is_err(), "{reply:?}");
    }
}
