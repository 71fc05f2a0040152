//! Proptest strategies for membership messages.

use std::net::SocketAddr;

use proptest::prelude::*;
use toucancleat_core::membership::{
    Delegate, Gossip, Host, MemberEntry, Message, SpareCapacity, Status, ZoneSummary,
};
use toucancleat_core::prelude::*;

use super::name;

pub fn message() -> impl Strategy<Value = Message> {
    let gossip = || gossip().prop_map(Box::new);
    prop_oneof![
        (any::<u64>(), gossip())
            .prop_map(|(sequence, gossip)| Message::Ping { sequence, gossip }),
        (any::<u64>(), name(), gossip()).prop_map(|(sequence, subject, gossip)| {
            Message::Ack {
                sequence,
                subject,
                gossip,
            }
        }),
        (any::<u64>(), name(), gossip()).prop_map(|(sequence, subject, gossip)| {
            Message::PingRequest {
                sequence,
                subject,
                gossip,
            }
        }),
        (any::<u32>(), entry())
            .prop_map(|(offset, sender)| Message::SyncRequest { offset, sender }),
        (any::<u32>(), prop::collection::vec(entry(), 0..5)).prop_map(
            |(next_offset, entries)| Message::Sync {
                next_offset,
                entries
            }
        ),
        (any::<bool>(), summary())
            .prop_map(|(reply, summary)| Message::Summary { reply, summary }),
    ]
}

fn gossip() -> impl Strategy<Value = Gossip> {
    let entries = prop::collection::vec(entry(), 0..5);
    (entry(), any::<u64>(), entries, prop::option::of(summary())).prop_map(
        |(sender, digest, entries, summary)| Gossip {
            sender,
            digest,
            entries,
            summary,
        },
    )
}

fn entry() -> impl Strategy<Value = MemberEntry> {
    let status = prop_oneof![
        Just(Status::Alive),
        Just(Status::Suspect),
        Just(Status::Dead),
        Just(Status::Left),
    ];
    (name(), name(), any::<SocketAddr>(), any::<u64>(), status).prop_map(
        |(name, zone, address, incarnation, status)| MemberEntry {
            host: Host {
                name,
                zone,
                address: without_scope(address),
                incarnation: Incarnation(incarnation),
            },
            status,
        },
    )
}

fn summary() -> impl Strategy<Value = ZoneSummary> {
    let delegate = (name(), any::<SocketAddr>()).prop_map(|(name, address)| Delegate {
        name,
        address: without_scope(address),
    });
    let spare = (name(), any::<u32>())
        .prop_map(|(pool, requests)| SpareCapacity { pool, requests });
    (
        name::<ZoneName>(),
        any::<u64>(),
        any::<u32>(),
        prop::collection::vec(delegate, 0..4),
        prop::collection::vec(spare, 0..4),
    )
        .prop_map(|(zone, created_unix_ms, live_hosts, delegates, spare)| {
            ZoneSummary {
                zone,
                created_unix_ms,
                live_hosts,
                delegates,
                spare,
            }
        })
}

/// Removes the flow label and scope of an IPv6 address, which a message need not carry.
fn without_scope(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip(), address.port())
}
