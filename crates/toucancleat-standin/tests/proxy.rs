//! Tests that the fault proxy injects the configured link faults and no others.

use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use toucancleat_standin::{
    CutReply, Direction, FaultProxy, FaultProxyConfig, ProxyFaults,
};

mod support;

/// A proxied connection with both of its endpoints.
struct ProxiedConnection {
    proxy: FaultProxy,
    listener: TcpListener,
    client: TcpStream,
    upstream: TcpStream,
}

impl ProxiedConnection {
    async fn open() -> ProxiedConnection {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let upstream = listener.local_addr().expect("an address");
        let proxy = FaultProxy::start(FaultProxyConfig::new(upstream))
            .await
            .expect("a proxy");
        let client = TcpStream::connect(proxy.address()).await.expect("a client");
        let (upstream, _) = listener.accept().await.expect("an upstream");
        ProxiedConnection {
            proxy,
            listener,
            client,
            upstream,
        }
    }

    /// Sends bytes in each direction and checks that they arrive. Returns the first
    /// error.
    async fn exchange(&mut self) -> io::Result<()> {
        let mut four = [0; 4];
        self.client.write_all(b"ping").await?;
        self.upstream.read_exact(&mut four).await?;
        assert_eq!(&four, b"ping");
        self.upstream.write_all(b"pong").await?;
        self.client.read_exact(&mut four).await?;
        assert_eq!(&four, b"pong");
        Ok(())
    }
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::task::yield_now().await;
    }
}

async fn read_all(stream: &mut TcpStream) -> (Vec<u8>, Option<io::ErrorKind>) {
    let mut bytes = Vec::new();
    let end = stream.read_to_end(&mut bytes).await;
    (bytes, end.err().map(|err| err.kind()))
}

#[tokio::test]
async fn bytes_and_orderly_closes_are_forwarded_unchanged() {
    let mut connection = ProxiedConnection::open().await;
    connection.exchange().await.expect("an exchange");
    connection.client.shutdown().await.expect("a shutdown");
    assert_eq!(read_all(&mut connection.upstream).await, (vec![], None));
    connection
        .upstream
        .write_all(b"late")
        .await
        .expect("written");
    drop(connection.upstream);
    assert_eq!(
        read_all(&mut connection.client).await,
        (b"late".to_vec(), None)
    );
    let records = connection.proxy.records();
    assert_eq!(records.connections, 1);
    assert_eq!(records.to_upstream_bytes, 4);
    assert_eq!(records.to_client_bytes, 8);
}

#[tokio::test]
async fn a_cut_resets_both_sides_and_new_connections_are_accepted() {
    let mut connection = ProxiedConnection::open().await;
    connection.exchange().await.expect("an exchange");
    connection.proxy.reset_connections();
    let reset = (vec![], Some(io::ErrorKind::ConnectionReset));
    assert_eq!(read_all(&mut connection.client).await, reset);
    assert_eq!(read_all(&mut connection.upstream).await, reset);
    TcpStream::connect(connection.proxy.address())
        .await
        .expect("a new connection");
    connection.listener.accept().await.expect("a new upstream");
}

#[tokio::test]
async fn refusing_connections_keeps_open_ones_and_is_reversible() {
    let mut connection = ProxiedConnection::open().await;
    let address = connection.proxy.address();
    connection.proxy.set_faults(|faults| faults.refuse = true);
    connection.proxy.wait_until_listening(false).await;
    let refused = TcpStream::connect(address).await;
    let refused = refused.expect_err("a refusal");
    assert_eq!(refused.kind(), io::ErrorKind::ConnectionRefused);
    connection.exchange().await.expect("an exchange");
    connection.proxy.set_faults(|faults| faults.refuse = false);
    connection.proxy.wait_until_listening(true).await;
    TcpStream::connect(address).await.expect("a connection");
}

#[tokio::test]
async fn stalled_bytes_are_delivered_later_and_discarded_bytes_never() {
    struct Case {
        name: &'static str,
        set: fn(&mut ProxyFaults),
        /// Whether bytes sent under the fault reach the upstream after it is cleared.
        is_delivered: bool,
    }
    let cases = [
        Case {
            name: "stall",
            set: |faults| faults.to_upstream.stall = true,
            is_delivered: true,
        },
        Case {
            name: "discard",
            set: |faults| faults.to_upstream.discard = true,
            is_delivered: false,
        },
    ];
    for case in cases {
        let mut connection = ProxiedConnection::open().await;
        connection.exchange().await.expect("an exchange");
        connection.proxy.set_faults(case.set);
        connection.client.write_all(b"held").await.expect("written");
        // The other direction still works, and its bytes prove that the proxy has run.
        connection
            .upstream
            .write_all(b"pong")
            .await
            .expect("written");
        let mut four = [0; 4];
        connection.client.read_exact(&mut four).await.expect("read");
        assert_eq!(
            connection.proxy.records().to_upstream_bytes,
            4,
            "{}",
            case.name
        );
        if !case.is_delivered {
            // The bytes must be discarded before the fault is cleared.
            wait_until(|| connection.proxy.records().discarded_bytes == 4).await;
        }
        connection
            .proxy
            .set_faults(|faults| *faults = ProxyFaults::default());
        connection.client.write_all(b"next").await.expect("written");
        drop(connection.client);
        let (bytes, _) = read_all(&mut connection.upstream).await;
        let expected: &[u8] = if case.is_delivered {
            b"heldnext"
        } else {
            b"next"
        };
        assert_eq!(bytes, expected, "{}", case.name);
    }
}

#[tokio::test]
async fn a_reply_is_cut_after_the_configured_bytes_and_only_as_often_as_requested() {
    for after_bytes in [0, 3] {
        let mut connection = ProxiedConnection::open().await;
        let cut = CutReply {
            after_bytes,
            times: 1,
            posts_only: false,
        };
        connection
            .proxy
            .set_faults(|faults| faults.cut_reply = Some(cut));
        connection.client.write_all(b"ping").await.expect("written");
        let mut four = [0; 4];
        connection
            .upstream
            .read_exact(&mut four)
            .await
            .expect("read");
        connection
            .upstream
            .write_all(b"pong")
            .await
            .expect("written");
        let mut bytes = Vec::new();
        let mut byte = [0];
        while let Ok(1) = connection.client.read(&mut byte).await {
            bytes.push(byte[0]);
        }
        assert_eq!(bytes, b"pong"[..after_bytes as usize]);
        assert_eq!(connection.proxy.records().cut_replies, 1);
        // `times` limits the number of replies that are cut.
        let mut client = TcpStream::connect(connection.proxy.address())
            .await
            .expect("a client");
        let (mut upstream, _) = connection.listener.accept().await.expect("an upstream");
        upstream.write_all(b"pong").await.expect("written");
        client.read_exact(&mut four).await.expect("read");
    }
}

/// Guards against a cut that is meant for a booking but used up by the reply to a host's
/// health check of the same service.
#[tokio::test]
async fn a_cut_limited_to_posts_ignores_other_requests() {
    let mut connection = ProxiedConnection::open().await;
    let cut = CutReply {
        after_bytes: 0,
        times: 1,
        posts_only: true,
    };
    connection
        .proxy
        .set_faults(|faults| faults.cut_reply = Some(cut));
    let mut four = [0; 4];
    connection.client.write_all(b"GET ").await.expect("written");
    connection
        .upstream
        .read_exact(&mut four)
        .await
        .expect("read");
    connection
        .upstream
        .write_all(b"pong")
        .await
        .expect("written");
    connection
        .client
        .read_exact(&mut four)
        .await
        .expect("not cut");
    let mut client = TcpStream::connect(connection.proxy.address())
        .await
        .expect("a client");
    let (mut upstream, _) = connection.listener.accept().await.expect("an upstream");
    client.write_all(b"POST ").await.expect("written");
    let mut five = [0; 5];
    upstream.read_exact(&mut five).await.expect("read");
    upstream.write_all(b"pong").await.expect("written");
    assert!(client.read_exact(&mut four).await.is_err(), "cut");
    assert_eq!(connection.proxy.records().cut_replies, 1);
}

#[tokio::test]
async fn a_half_close_shuts_down_only_one_direction() {
    let mut connection = ProxiedConnection::open().await;
    connection.exchange().await.expect("an exchange");
    connection.proxy.half_close(Direction::ToClient);
    assert_eq!(read_all(&mut connection.client).await, (vec![], None));
    connection.client.write_all(b"ping").await.expect("written");
    let mut four = [0; 4];
    connection
        .upstream
        .read_exact(&mut four)
        .await
        .expect("read");
}

#[tokio::test]
async fn a_stalled_link_hides_the_close_of_a_side() {
    let mut connection = ProxiedConnection::open().await;
    connection.exchange().await.expect("an exchange");
    connection.proxy.set_faults(|faults| {
        faults.to_client.stall = true;
        faults.to_upstream.stall = true;
    });
    drop(connection.upstream);
    let mut byte = [0];
    let mut client = connection.client;
    let is_silent = tokio::select! {
        biased;
        _ = client.read(&mut byte) => false,
        // The control port replies on the proxy's thread, after the proxy's other tasks.
        _ = support::get(connection.proxy.control_address(), "/standin/records") => true,
    };
    assert!(is_silent);
    connection
        .proxy
        .set_faults(|faults| *faults = ProxyFaults::default());
    assert_eq!(client.read(&mut byte).await.ok(), Some(0));
}

#[tokio::test]
async fn delayed_bytes_keep_their_order() {
    let mut connection = ProxiedConnection::open().await;
    connection.proxy.set_faults(|faults| {
        faults.to_upstream.delay_ms = 3;
        faults.to_client.delay_ms = 3;
    });
    for _ in 0..5 {
        connection.exchange().await.expect("an exchange");
    }
}

#[tokio::test]
async fn the_control_port_sets_faults_and_cuts_connections() {
    let mut connection = ProxiedConnection::open().await;
    connection.exchange().await.expect("an exchange");
    let control: SocketAddr = connection.proxy.control_address();
    let set = support::post(
        control,
        "/standin/faults",
        r#"{"to_client": {"stall": true}}"#,
    )
    .await
    .expect("a reply")
    .json();
    assert_eq!(set["to_client"]["stall"], true);
    assert_eq!(set["to_upstream"]["stall"], false);
    let clear = r#"{"to_client": {}}"#;
    support::post(control, "/standin/faults", clear)
        .await
        .expect("a reply");
    let cut = support::post(control, "/standin/cut", "")
        .await
        .expect("a reply");
    assert_eq!(cut.status, 200);
    let (_, end) = read_all(&mut connection.client).await;
    assert_eq!(end, Some(io::ErrorKind::ConnectionReset));
    let records = support::get(control, "/standin/records")
        .await
        .expect("a reply");
    assert_eq!(records.json()["cuts"], 1);
}
