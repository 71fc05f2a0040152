//! The fault proxy breaks a link in the way it was told, and in no other.

use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use toucancleat_standin::{
    CutReply, Direction, FaultProxy, FaultProxyConfig, ProxyFaults,
};

mod support;

/// A proxied connection with both of its ends.
struct Pair {
    proxy: FaultProxy,
    listener: TcpListener,
    client: TcpStream,
    upstream: TcpStream,
}

impl Pair {
    async fn open() -> Pair {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let upstream = listener.local_addr().expect("an address");
        let proxy = FaultProxy::start(FaultProxyConfig::new(upstream))
            .await
            .expect("a proxy");
        let client = TcpStream::connect(proxy.address()).await.expect("a client");
        let (upstream, _) = listener.accept().await.expect("an upstream");
        Pair {
            proxy,
            listener,
            client,
            upstream,
        }
    }

    /// Sends bytes each way and returns what has arrived at the upstream and the client
    /// when both have it, or the first error.
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

async fn until(condition: impl Fn() -> bool) {
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
async fn bytes_and_ends_pass_unchanged() {
    let mut pair = Pair::open().await;
    pair.exchange().await.expect("an exchange");
    pair.client.shutdown().await.expect("a shutdown");
    assert_eq!(read_all(&mut pair.upstream).await, (vec![], None));
    pair.upstream.write_all(b"late").await.expect("written");
    drop(pair.upstream);
    assert_eq!(read_all(&mut pair.client).await, (b"late".to_vec(), None));
    let records = pair.proxy.records();
    assert_eq!(records.connections, 1);
    assert_eq!(records.to_upstream_bytes, 4);
    assert_eq!(records.to_client_bytes, 8);
}

#[tokio::test]
async fn a_cut_resets_both_sides() {
    let mut pair = Pair::open().await;
    pair.exchange().await.expect("an exchange");
    pair.proxy.cut();
    let reset = (vec![], Some(io::ErrorKind::ConnectionReset));
    assert_eq!(read_all(&mut pair.client).await, reset);
    assert_eq!(read_all(&mut pair.upstream).await, reset);
    TcpStream::connect(pair.proxy.address())
        .await
        .expect("a new connection");
    pair.listener.accept().await.expect("a new upstream");
}

#[tokio::test]
async fn refusal_leaves_open_connections_and_ends() {
    let mut pair = Pair::open().await;
    let address = pair.proxy.address();
    pair.proxy.set_faults(|faults| faults.refuse = true);
    pair.proxy.listening(false).await;
    let refused = TcpStream::connect(address).await;
    let refused = refused.expect_err("a refusal");
    assert_eq!(refused.kind(), io::ErrorKind::ConnectionRefused);
    pair.exchange().await.expect("an exchange");
    pair.proxy.set_faults(|faults| faults.refuse = false);
    pair.proxy.listening(true).await;
    TcpStream::connect(address).await.expect("a connection");
}

#[tokio::test]
async fn held_and_lost_bytes() {
    struct Case {
        name: &'static str,
        set: fn(&mut ProxyFaults),
        /// Whether the upstream sees the bytes sent under the fault once it is gone.
        kept: bool,
    }
    let cases = [
        Case {
            name: "stall",
            set: |faults| faults.to_upstream.stall = true,
            kept: true,
        },
        Case {
            name: "discard",
            set: |faults| faults.to_upstream.discard = true,
            kept: false,
        },
    ];
    for case in cases {
        let mut pair = Pair::open().await;
        pair.exchange().await.expect("an exchange");
        pair.proxy.set_faults(case.set);
        pair.client.write_all(b"held").await.expect("written");
        // The other direction still works, and shows that the proxy had its turn.
        pair.upstream.write_all(b"pong").await.expect("written");
        let mut four = [0; 4];
        pair.client.read_exact(&mut four).await.expect("read");
        assert_eq!(pair.proxy.records().to_upstream_bytes, 4, "{}", case.name);
        if !case.kept {
            // What is lost must have been taken before the fault ends.
            until(|| pair.proxy.records().discarded_bytes == 4).await;
        }
        pair.proxy
            .set_faults(|faults| *faults = ProxyFaults::default());
        pair.client.write_all(b"next").await.expect("written");
        drop(pair.client);
        let (bytes, _) = read_all(&mut pair.upstream).await;
        let expected: &[u8] = if case.kept { b"heldnext" } else { b"next" };
        assert_eq!(bytes, expected, "{}", case.name);
    }
}

#[tokio::test]
async fn a_reply_is_cut_after_the_request_arrived() {
    for after_bytes in [0, 3] {
        let mut pair = Pair::open().await;
        let cut = CutReply {
            after_bytes,
            times: 1,
            posts_only: false,
        };
        pair.proxy.set_faults(|faults| faults.cut_reply = Some(cut));
        pair.client.write_all(b"ping").await.expect("written");
        let mut four = [0; 4];
        pair.upstream.read_exact(&mut four).await.expect("read");
        pair.upstream.write_all(b"pong").await.expect("written");
        let mut bytes = Vec::new();
        let mut byte = [0];
        while let Ok(1) = pair.client.read(&mut byte).await {
            bytes.push(byte[0]);
        }
        assert_eq!(bytes, b"pong"[..after_bytes as usize]);
        assert_eq!(pair.proxy.records().cut_replies, 1);
        // Only as many replies are cut as were asked for.
        let mut client = TcpStream::connect(pair.proxy.address())
            .await
            .expect("a client");
        let (mut upstream, _) = pair.listener.accept().await.expect("an upstream");
        upstream.write_all(b"pong").await.expect("written");
        client.read_exact(&mut four).await.expect("read");
    }
}

/// A cut for a booking was taken by the reply to a host's look at the same service.
#[tokio::test]
async fn a_cut_for_posts_passes_over_other_requests() {
    let mut pair = Pair::open().await;
    let cut = CutReply {
        after_bytes: 0,
        times: 1,
        posts_only: true,
    };
    pair.proxy.set_faults(|faults| faults.cut_reply = Some(cut));
    let mut four = [0; 4];
    pair.client.write_all(b"GET ").await.expect("written");
    pair.upstream.read_exact(&mut four).await.expect("read");
    pair.upstream.write_all(b"pong").await.expect("written");
    pair.client.read_exact(&mut four).await.expect("not cut");
    let mut client = TcpStream::connect(pair.proxy.address())
        .await
        .expect("a client");
    let (mut upstream, _) = pair.listener.accept().await.expect("an upstream");
    client.write_all(b"POST ").await.expect("written");
    let mut five = [0; 5];
    upstream.read_exact(&mut five).await.expect("read");
    upstream.write_all(b"pong").await.expect("written");
    assert!(client.read_exact(&mut four).await.is_err(), "cut");
    assert_eq!(pair.proxy.records().cut_replies, 1);
}

#[tokio::test]
async fn a_half_close_ends_one_direction() {
    let mut pair = Pair::open().await;
    pair.exchange().await.expect("an exchange");
    pair.proxy.half_close(Direction::ToClient);
    assert_eq!(read_all(&mut pair.client).await, (vec![], None));
    pair.client.write_all(b"ping").await.expect("written");
    let mut four = [0; 4];
    pair.upstream.read_exact(&mut four).await.expect("read");
}

#[tokio::test]
async fn a_stalled_link_hides_the_death_of_a_side() {
    let mut pair = Pair::open().await;
    pair.exchange().await.expect("an exchange");
    pair.proxy.set_faults(|faults| {
        faults.to_client.stall = true;
        faults.to_upstream.stall = true;
    });
    drop(pair.upstream);
    let mut byte = [0];
    let mut client = pair.client;
    let silent = tokio::select! {
        biased;
        _ = client.read(&mut byte) => false,
        // The control port answers on the proxy's own thread, after its other tasks.
        _ = support::get(pair.proxy.control_address(), "/standin/records") => true,
    };
    assert!(silent);
    pair.proxy
        .set_faults(|faults| *faults = ProxyFaults::default());
    assert_eq!(client.read(&mut byte).await.ok(), Some(0));
}

#[tokio::test]
async fn delayed_bytes_keep_their_order() {
    let mut pair = Pair::open().await;
    pair.proxy.set_faults(|faults| {
        faults.to_upstream.delay_ms = 3;
        faults.to_client.delay_ms = 3;
    });
    for _ in 0..5 {
        pair.exchange().await.expect("an exchange");
    }
}

#[tokio::test]
async fn the_control_port_takes_the_same_orders() {
    let mut pair = Pair::open().await;
    pair.exchange().await.expect("an exchange");
    let control: SocketAddr = pair.proxy.control_address();
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
    let (_, end) = read_all(&mut pair.client).await;
    assert_eq!(end, Some(io::ErrorKind::ConnectionReset));
    let records = support::get(control, "/standin/records")
        .await
        .expect("a reply");
    assert_eq!(records.json()["cuts"], 1);
}
