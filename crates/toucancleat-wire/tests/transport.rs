//! Tests of peers over real sockets: delivery, the peers' key, and reports of undelivered
//! messages.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::timeout;
use toucancleat_core::membership::Message as MembershipMessage;
use toucancleat_core::peer::Envelope;
use toucancleat_core::prelude::*;
use toucancleat_wire::{Config, PeerTransport, UndeliveredMessages};

/// Time limit of an expected event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

struct StartedTransport {
    transport: PeerTransport,
    incoming: mpsc::Receiver<Envelope>,
    undelivered: mpsc::Receiver<UndeliveredMessages>,
}

fn start(config: Config, listen: SocketAddr) -> StartedTransport {
    let (incoming_sender, incoming) = mpsc::channel(4_096);
    let (undelivered_sender, undelivered) = mpsc::channel(4_096);
    let transport =
        PeerTransport::start(config, listen, incoming_sender, undelivered_sender)
            .expect("listening on a free port");
    StartedTransport {
        transport,
        incoming,
        undelivered,
    }
}

fn config() -> Config {
    Config::new(b"the peers' key")
        .backoff_ms(1, 10)
        .call_timeout_ms(200)
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn envelope(number: u32) -> Envelope {
    let message = MembershipMessage::Sync {
        next_offset: number,
        entries: Vec::new(),
    };
    Envelope {
        from: HostName::new("entry-1"),
        incarnation: Incarnation(7),
        stamp: 9,
        message: message.into(),
    }
}

async fn next<T>(receiver: &mut mpsc::Receiver<T>) -> T {
    timeout(EVENT_TIMEOUT, receiver.recv())
        .await
        .expect("an item before the timeout")
        .expect("an open channel")
}

#[tokio::test]
async fn many_messages_arrive_completely_and_in_order() {
    let sender = start(config(), any_port());
    let mut receiver = start(config(), any_port());
    for number in 0..1_000 {
        sender
            .transport
            .send(receiver.transport.address(), envelope(number))
            .expect("room in the queue");
    }
    for number in 0..1_000 {
        assert_eq!(next(&mut receiver.incoming).await, envelope(number));
    }
}

#[tokio::test]
async fn a_host_without_the_peers_key_cannot_deliver_messages() {
    let mut unauthenticated =
        start(Config::new(b"another key").backoff_ms(1, 10), any_port());
    let mut receiver = start(config(), any_port());
    unauthenticated
        .transport
        .send(receiver.transport.address(), envelope(1))
        .expect("room in the queue");
    let report = next(&mut unauthenticated.undelivered).await;
    assert_eq!(report.envelopes, [envelope(1)]);
    assert!(receiver.incoming.try_recv().is_err());
}

#[tokio::test]
async fn messages_to_unreachable_or_unresponsive_peers_are_reported() {
    let unresponsive = TcpListener::bind(any_port()).await.expect("a free port");
    let closed = {
        let listener = TcpListener::bind(any_port()).await.expect("a free port");
        listener.local_addr().expect("an address")
    };
    struct Case {
        name: &'static str,
        address: SocketAddr,
    }
    let cases = [
        Case {
            name: "no listener",
            address: closed,
        },
        Case {
            name: "accepts and never answers",
            address: unresponsive.local_addr().expect("an address"),
        },
    ];
    for case in cases {
        let mut sender = start(config(), any_port());
        sender
            .transport
            .send(case.address, envelope(3))
            .expect("room in the queue");
        let report = next(&mut sender.undelivered).await;
        assert_eq!(report.peer_address, case.address, "{}", case.name);
        assert_eq!(report.envelopes, [envelope(3)], "{}", case.name);
    }
}

#[tokio::test]
async fn messages_reach_a_peer_that_restarted() {
    let mut sender = start(config(), any_port());
    let mut receiver = start(config(), any_port());
    let address = receiver.transport.address();
    sender
        .transport
        .send(address, envelope(1))
        .expect("room in the queue");
    assert_eq!(next(&mut receiver.incoming).await, envelope(1));
    drop(receiver);
    sender
        .transport
        .send(address, envelope(2))
        .expect("room in the queue");
    assert_eq!(next(&mut sender.undelivered).await.envelopes, [envelope(2)]);

    let mut receiver = start(config(), address);
    sender
        .transport
        .send(address, envelope(3))
        .expect("room in the queue");
    assert_eq!(next(&mut receiver.incoming).await, envelope(3));
}

#[tokio::test]
async fn the_queue_to_a_peer_that_does_not_read_is_bounded() {
    let (incoming, _unread) = mpsc::channel(1);
    let (undelivered, _reports) = mpsc::channel(1);
    let receiver = PeerTransport::start(config(), any_port(), incoming, undelivered)
        .expect("a free port");
    // N.B. No call times out here, so that only the bound of the queue can cause a report.
    let without_timeout = config()
        .call_timeout_ms(3_600_000)
        .batch_messages(1)
        .queue_messages(8);
    let mut sender = start(without_timeout, any_port());
    let overload = async {
        for number in 0.. {
            let _ = sender.transport.send(receiver.address(), envelope(number));
            if let Ok(report) = sender.undelivered.try_recv() {
                return report;
            }
            tokio::task::yield_now().await;
        }
        unreachable!("the range of numbers is not exhausted before the timeout")
    };
    let report = timeout(EVENT_TIMEOUT, overload)
        .await
        .expect("a report before the timeout");
    assert_eq!(report.envelopes.len(), 1);
}
