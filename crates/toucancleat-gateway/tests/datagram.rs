//! Datagrams between entry hosts of this release and of earlier ones.

use std::net::SocketAddr;

use toucancleat_fleet::peers::{Echo, Message, Update};
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::stream_origin::{OriginMessage, StreamKey, StreamOrigin};
use toucancleat_fleet::target::{TargetChange, TargetEntry};
use toucancleat_gateway::datagram::{Datagram, decode, encode, encode_origin};

fn message() -> Message {
    let address = SocketAddr::from(([10, 0, 0, 1], 7_200));
    let entry = |software_version| TargetEntry {
        pool: PoolName::new("engines"),
        address,
        zone: ZoneName::new("upp-a"),
        is_leaving: false,
        slots: 24,
        started_unix_ms: Some(1),
        slow_start_left_ms: 0,
        software_version,
    };
    let change = |target, entry| TargetChange {
        target: TargetName::new(target),
        store_version: 7,
        entry,
    };
    Message {
        from: HostName::new("host-1"),
        incarnation: 1,
        zone: ZoneName::new("upp-a"),
        address,
        sent_ms: 1_000,
        is_stopping: false,
        configuration_version: Some(3),
        configuration_age_ms: Some(20),
        host_list_version: 9,
        host_list_digest: 11,
        store_age_ms: None,
        loads: Vec::new(),
        retry_counts: Vec::new(),
        interruptions: Vec::new(),
        echo: Some(Echo {
            incarnation: 2,
            sent_ms: 900,
            held_ms: 5,
        }),
        notices: Vec::new(),
        store_era: 4,
        version_digest: Some(13),
        addresses: vec![address],
        update: Some(Update::Targets(vec![
            change("i-1", Some(entry(Some(SoftwareVersion::new("v1"))))),
            change("i-2", None),
            change("i-3", Some(entry(None))),
            change("i-4", Some(entry(Some(SoftwareVersion::new("v1.1"))))),
        ])),
    }
}

/// Returns the parts of a datagram: the message, the echo, and what follows it.
fn datagram(message: &Message) -> (Vec<u8>, Vec<u8>) {
    let (body, extension) =
        encode(message.clone()).expect("a message that can be encoded");
    let body = postcard::to_extend(&message.echo, body).expect("an echo");
    (body, extension)
}

#[test]
fn messages_carry_the_versions_of_the_targets_software() {
    let message = message();
    let (mut bytes, extension) = datagram(&message);
    bytes.extend(extension);
    assert_eq!(decode(&bytes), Ok(Datagram::State(Box::new(message))));
}

#[test]
fn messages_about_origins_are_decoded() {
    let key = StreamKey::new(None, "attempt-1");
    let origin = StreamOrigin {
        pool: PoolName::new("engines"),
        version: SoftwareVersion::new("v1"),
    };
    let messages = [
        OriginMessage::Began {
            key,
            origin: origin.clone(),
            attempt: 1,
            retention_ms: 11_000,
        },
        OriginMessage::Query { key },
        OriginMessage::Reply {
            key,
            origin: Some(origin),
        },
        OriginMessage::Reply { key, origin: None },
    ];
    for message in messages {
        let bytes = encode_origin(&message).expect("a message that can be encoded");
        for length in 0..bytes.len() {
            assert!(
                decode(&bytes[..length]).is_err(),
                "{message:?}: {length} bytes"
            );
        }
        assert_eq!(decode(&bytes), Ok(Datagram::Origin(message)));
    }
}

/// Hosts of the last release send neither versions nor their digest.
#[test]
fn messages_of_the_last_release_are_decoded() {
    let message = message();
    let (mut bytes, _) = datagram(&message);
    let era: (Vec<u8>, u64) = (Vec::new(), message.store_era);
    bytes.extend(postcard::to_stdvec(&era).expect("an extension"));
    let Ok(Datagram::State(decoded)) = decode(&bytes) else {
        panic!("expected a message of the last release");
    };
    assert_eq!(decoded.version_digest, None);
    assert_eq!(decoded.store_era, message.store_era);
    let Some(Update::Targets(changes)) = decoded.update else {
        panic!("expected changes of the host list");
    };
    let entries: Vec<_> = changes.iter().filter_map(|c| c.entry.as_ref()).collect();
    assert_eq!(entries.len(), 3);
    assert!(entries.iter().all(|entry| entry.software_version.is_none()));
}

/// A malformed datagram must not end the process.
#[test]
fn datagrams_that_are_cut_off_are_errors_or_shorter_messages() {
    let (mut bytes, extension) = datagram(&message());
    let is_complete = |length| length >= bytes.len();
    let complete: Vec<bool> = (0..bytes.len() + extension.len())
        .map(is_complete)
        .collect();
    bytes.extend(extension);
    for (length, has_message) in complete.into_iter().enumerate() {
        let decoded = decode(&bytes[..length]);
        assert!(has_message || decoded.is_err(), "{length} bytes");
    }
}
