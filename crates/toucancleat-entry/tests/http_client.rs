//! A failed call counts as not sent only if its connection was never opened.

use std::time::Duration;

use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use toucancleat_entry::http::{CallError, HttpCall, HttpClient};
use toucancleat_standin::{
    CutReply, FaultProxy, FaultProxyConfig, ProxyFaults, Service, ServiceConfig,
};

/// Timeout of a call; only the cases without a reply wait for it.
const TIMEOUT_MS: u64 = 500;
const REPLY_MAX_BYTES: usize = 1_024;

struct Case {
    name: &'static str,
    set: fn(&mut ProxyFaults),
    /// Whether an earlier call leaves an idle connection, which is then reset.
    reset_idle: bool,
    not_sent: bool,
    refused: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "refused",
        set: |faults| faults.refuse = true,
        reset_idle: false,
        not_sent: true,
        refused: true,
    },
    Case {
        name: "refused after an idle connection was reset",
        set: |faults| faults.refuse = true,
        reset_idle: true,
        not_sent: true,
        refused: true,
    },
    Case {
        name: "reply cut before its first byte",
        set: |faults| {
            faults.cut_reply = Some(CutReply {
                after_bytes: 0,
                times: 1,
                posts_only: false,
            })
        },
        reset_idle: false,
        not_sent: false,
        refused: false,
    },
    Case {
        name: "request stalled",
        set: |faults| faults.to_upstream.stall = true,
        reset_idle: false,
        not_sent: false,
        refused: false,
    },
    Case {
        name: "reply lost",
        set: |faults| faults.to_client.discard = true,
        reset_idle: false,
        not_sent: false,
        refused: false,
    },
];

async fn call(client: &HttpClient, proxy: &FaultProxy) -> Result<(), CallError> {
    let call = HttpCall {
        address: proxy.address(),
        method: Method::POST,
        path: "/coaches",
        headers: Vec::new(),
        body: "stop 4".into(),
    };
    let reply = client.exchange(call, TIMEOUT_MS, REPLY_MAX_BYTES).await;
    reply.map(|_| ())
}

#[tokio::test]
async fn a_failed_call_is_not_sent_only_if_no_connection_was_opened() {
    for case in CASES {
        let service = Service::start(ServiceConfig::default())
            .await
            .expect("a service");
        let proxy = FaultProxy::start(FaultProxyConfig::new(service.address()))
            .await
            .expect("a proxy");
        let client = HttpClient::unpooled();
        if case.reset_idle {
            call(&client, &proxy).await.expect("a reply");
        }
        let arrivals = service.records().arrivals;
        proxy.set_faults(case.set);
        proxy.wait_until_listening(!case.refused).await;
        if case.reset_idle {
            proxy.reset_connections();
        }
        let error = call(&client, &proxy).await.expect_err(case.name);
        assert_eq!(
            error.is_not_sent(),
            case.not_sent,
            "{}: {error:?}",
            case.name
        );
        assert_eq!(error.is_refused(), case.refused, "{}: {error:?}", case.name);
        if case.not_sent {
            assert_eq!(service.records().arrivals, arrivals, "{}", case.name);
        }
    }
}

/// Guards against a reply of the platform that takes longer than the timeout, because the host
/// has a slow link, and is read again and again.
#[tokio::test]
async fn a_reply_in_parts_is_read_as_long_as_it_makes_progress() {
    struct Case {
        name: &'static str,
        pauses_ms: &'static [u64],
        is_read: bool,
    }
    let cases = [
        Case {
            name: "each part in time, all of them later than the timeout",
            pauses_ms: &[100; 8],
            is_read: true,
        },
        Case {
            name: "a pause longer than the timeout",
            pauses_ms: &[100, 900],
            is_read: false,
        },
        Case {
            name: "longer than all parts may take",
            pauses_ms: &[100; 40],
            is_read: false,
        },
    ];
    for case in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let pauses_ms = case.pauses_ms;
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut request = [0; 1_024];
            let received = stream.read(&mut request).await.expect("a request");
            assert!(received > 0);
            let length = 5 * pauses_ms.len();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
            stream.write_all(head.as_bytes()).await.expect("written");
            for pause_ms in pauses_ms {
                tokio::time::sleep(Duration::from_millis(*pause_ms)).await;
                if stream.write_all(b"part ").await.is_err() {
                    // The client has given up.
                    return;
                }
            }
        });
        let call = HttpCall {
            address,
            method: Method::GET,
            path: "/",
            headers: Vec::new(),
            body: "".into(),
        };
        let client = HttpClient::unpooled();
        let reply = client
            .exchange_in_parts(call, TIMEOUT_MS, 5 * TIMEOUT_MS, REPLY_MAX_BYTES)
            .await;
        let expected = "part ".repeat(pauses_ms.len());
        let body = reply.map(|reply| reply.into_body());
        let is_whole = body.is_ok_and(|body| body == expected.as_bytes());
        assert_eq!(is_whole, case.is_read, "{}", case.name);
    }
}
