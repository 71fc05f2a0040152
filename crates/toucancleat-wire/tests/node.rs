//! Peers over real sockets: delivery, the peers' key, failures and their reports.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::timeout;
use toucancleat_core::membership::Message as MembershipMessage;
use toucancleat_core::peer::Envelope;
use toucancleat_core::prelude::*;
use toucancleat_wire::{Config, PeerNode, Undelivered};

/// Longest wait for something that must happen.
const WAIT: Duration = Duration::from_secs(20);

struct Running {
    node: PeerNode,
    incoming: mpsc::Receiver<Envelope>,
    undelivered: mpsc::Receiver<Undelivered>,
}

fn start(config: Config, listen: SocketAddr) -> Running {
    let (incoming_sender, incoming) = mpsc::channel(4_096);
    let (undelivered_sender, undelivered) = mpsc::channel(4_096);
    let node = PeerNode::start(config, listen, incoming_sender, undelivered_sender)
        .expect("listening on a free port");
    Running {
        node,
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
    timeout(WAIT, receiver.recv())
        .await
        .expect("within the wait")
        .expect("a running node")
}

#[tokio::test]
async fn messages_arrive_in_order_and_batched() {
    let sender = start(config(), any_port());
    let mut receiver = start(config(), any_port());
    for number in 0..1_000 {
        sender
            .node
            .send(receiver.node.address(), envelope(number))
            .expect("room");
    }
    for number in 0..1_000 {
        assert_eq!(next(&mut receiver.incoming).await, envelope(number));
    }
}

#[tokio::test]
async fn a_peer_without_the_key_delivers_nothing() {
    let mut stranger = start(Config::new(b"another key").backoff_ms(1, 10), any_port());
    let mut receiver = start(config(), any_port());
    stranger
        .node
        .send(receiver.node.address(), envelope(1))
        .expect("room");
    let report = next(&mut stranger.undelivered).await;
    assert_eq!(report.envelopes, [envelope(1)]);
    assert!(receiver.incoming.try_recv().is_err());
}

#[tokio::test]
async fn unreachable_and_silent_peers_are_reported() {
    let silent = TcpListener::bind(any_port()).await.expect("a free port");
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
            address: silent.local_addr().expect("an address"),
        },
    ];
    for case in cases {
        let mut sender = start(config(), any_port());
        sender.node.send(case.address, envelope(3)).expect("room");
        let report = next(&mut sender.undelivered).await;
        assert_eq!(report.to, case.address, "{}", case.name);
        assert_eq!(report.envelopes, [envelope(3)], "{}", case.name);
    }
}

#[tokio::test]
async fn a_restarted_peer_is_reached_again() {
    let mut sender = start(config(), any_port());
    let mut receiver = start(config(), any_port());
    let address = receiver.node.address();
    sender.node.send(address, envelope(1)).expect("room");
    assert_eq!(next(&mut receiver.incoming).await, envelope(1));
    drop(receiver);
    sender.node.send(address, envelope(2)).expect("room");
    assert_eq!(next(&mut sender.undelivered).await.envelopes, [envelope(2)]);

    let mut receiver = start(config(), address);
    sender.node.send(address, envelope(3)).expect("room");
    assert_eq!(next(&mut receiver.incoming).await, envelope(3));
}

#[tokio::test]
async fn a_receiver_that_does_not_read_bounds_the_sender() {
    let (incoming, _unread) = mpsc::channel(1);
    let (undelivered, _reports) = mpsc::channel(1);
    let receiver = PeerNode::start(config(), any_port(), incoming, undelivered)
        .expect("a free port");
    // N.B. No call times out here, so that only the bound of the queue can give a report.
    let patient = config()
        .call_timeout_ms(3_600_000)
        .batch_messages(1)
        .queue_messages(8);
    let mut sender = start(patient, any_port());
    let overload = async {
        for number in 0.. {
            let _ = sender.node.send(receiver.address(), envelope(number));
            if let Ok(report) = sender.undelivered.try_recv() {
                return report;
            }
            tokio::task::yield_now().await;
        }
        unreachable!("the numbers don't end within the wait")
    };
    let report = timeout(WAIT, overload)
        .await
        .expect("a report within the wait");
    assert_eq!(report.envelopes.len(), 1);
}
