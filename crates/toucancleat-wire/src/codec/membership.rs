//! Encoding of membership messages.

use toucancleat_core::membership::{
    Delegate, Gossip, Host, MemberEntry, Message, SpareCapacity, Status, ZoneSummary,
};
use toucancleat_core::prelude::*;

use super::value::{read_address, read_list, read_name};
use crate::error::DecodeError;
use crate::membership_capnp as wire;

pub(crate) fn write(message: &Message, out: wire::message::Builder<'_>) {
    match message {
        Message::Ping { sequence, gossip } => {
            let mut out = out.init_ping();
            out.set_sequence(*sequence);
            write_gossip(gossip, out.init_exchange());
        }
        Message::Ack {
            sequence,
            subject,
            gossip,
        } => {
            let mut out = out.init_ack();
            out.set_sequence(*sequence);
            out.set_subject(subject.as_str());
            write_gossip(gossip, out.init_exchange());
        }
        Message::PingRequest {
            sequence,
            subject,
            gossip,
        } => {
            let mut out = out.init_ping_request();
            out.set_sequence(*sequence);
            out.set_subject(subject.as_str());
            write_gossip(gossip, out.init_exchange());
        }
        Message::SyncRequest { offset, sender } => {
            let mut out = out.init_sync_request();
            out.set_offset(*offset);
            write_entry(sender, out.init_sender());
        }
        Message::Sync {
            next_offset,
            entries,
        } => {
            let mut out = out.init_sync();
            out.set_next_offset(*next_offset);
            write_entries(entries, out.init_entries(entries.len() as u32));
        }
        Message::Summary { reply, summary } => {
            let mut out = out.init_summary();
            out.set_reply(*reply);
            write_summary(summary, out.init_summary());
        }
        // N.B. `Message` is non-exhaustive, so the compiler accepts a variant without an
        // encoding. The property test in tests/codec.rs covers every variant.
        _ => {}
    }
}

pub(crate) fn read(message: wire::message::Reader<'_>) -> Result<Message, DecodeError> {
    use wire::message::Which;
    let which = message
        .which()
        .map_err(|e| DecodeError::not_in_schema("membership", e))?;
    Ok(match which {
        Which::Ping(ping) => Message::Ping {
            sequence: ping.get_sequence(),
            gossip: Box::new(read_gossip(ping.get_exchange()?)?),
        },
        Which::Ack(ack) => Message::Ack {
            sequence: ack.get_sequence(),
            subject: read_name("subject", ack.get_subject())?,
            gossip: Box::new(read_gossip(ack.get_exchange()?)?),
        },
        Which::PingRequest(request) => Message::PingRequest {
            sequence: request.get_sequence(),
            subject: read_name("subject", request.get_subject())?,
            gossip: Box::new(read_gossip(request.get_exchange()?)?),
        },
        Which::SyncRequest(request) => Message::SyncRequest {
            offset: request.get_offset(),
            sender: read_entry(request.get_sender()?)?,
        },
        Which::Sync(sync) => Message::Sync {
            next_offset: sync.get_next_offset(),
            entries: read_list("entries", sync.get_entries()?.iter(), read_entry)?,
        },
        Which::Summary(summary) => Message::Summary {
            reply: summary.get_reply(),
            summary: read_summary(summary.get_summary()?)?,
        },
    })
}

fn write_gossip(gossip: &Gossip, mut out: wire::exchange::Builder<'_>) {
    write_entry(&gossip.sender, out.reborrow().init_sender());
    out.set_digest(gossip.digest);
    let count = gossip.entries.len() as u32;
    write_entries(&gossip.entries, out.reborrow().init_entries(count));
    if let Some(summary) = &gossip.summary {
        write_summary(summary, out.init_summary());
    }
}

fn read_gossip(exchange: wire::exchange::Reader<'_>) -> Result<Gossip, DecodeError> {
    let summary = match exchange.has_summary() {
        true => Some(read_summary(exchange.get_summary()?)?),
        false => None,
    };
    Ok(Gossip {
        sender: read_entry(exchange.get_sender()?)?,
        digest: exchange.get_digest(),
        entries: read_list("entries", exchange.get_entries()?.iter(), read_entry)?,
        summary,
    })
}

fn write_entries(
    entries: &[MemberEntry],
    mut out: capnp::struct_list::Builder<'_, wire::entry::Owned>,
) {
    for (i, entry) in entries.iter().enumerate() {
        write_entry(entry, out.reborrow().get(i as u32));
    }
}

fn write_entry(entry: &MemberEntry, mut out: wire::entry::Builder<'_>) {
    out.set_name(entry.host.name.as_str());
    out.set_zone(entry.host.zone.as_str());
    out.set_address(entry.host.address.to_string().as_str());
    out.set_incarnation(entry.host.incarnation.0);
    out.set_status(match entry.status {
        Status::Alive => wire::Status::Alive,
        Status::Suspect => wire::Status::Suspect,
        Status::Dead => wire::Status::Dead,
        Status::Left => wire::Status::Left,
    });
}

fn read_entry(entry: wire::entry::Reader<'_>) -> Result<MemberEntry, DecodeError> {
    let host = Host {
        name: read_name("name", entry.get_name())?,
        zone: read_name("zone", entry.get_zone())?,
        address: read_address("address", entry.get_address())?,
        incarnation: Incarnation(entry.get_incarnation()),
    };
    let status = entry
        .get_status()
        .map_err(|e| DecodeError::not_in_schema("status", e))?;
    let status = match status {
        wire::Status::Alive => Status::Alive,
        wire::Status::Suspect => Status::Suspect,
        wire::Status::Dead => Status::Dead,
        wire::Status::Left => Status::Left,
    };
    Ok(MemberEntry { host, status })
}

fn write_summary(summary: &ZoneSummary, mut out: wire::zone_summary::Builder<'_>) {
    out.set_zone(summary.zone.as_str());
    out.set_made_unix_ms(summary.created_unix_ms);
    out.set_live_hosts(summary.live_hosts);
    let mut delegates = out
        .reborrow()
        .init_delegates(summary.delegates.len() as u32);
    for (i, delegate) in summary.delegates.iter().enumerate() {
        let mut out = delegates.reborrow().get(i as u32);
        out.set_name(delegate.name.as_str());
        out.set_address(delegate.address.to_string().as_str());
    }
    let mut spare = out.init_spare(summary.spare.len() as u32);
    for (i, pool) in summary.spare.iter().enumerate() {
        let mut out = spare.reborrow().get(i as u32);
        out.set_pool(pool.pool.as_str());
        out.set_requests(pool.requests);
    }
}

fn read_summary(
    summary: wire::zone_summary::Reader<'_>,
) -> Result<ZoneSummary, DecodeError> {
    let delegates = summary.get_delegates()?;
    let spare = summary.get_spare()?;
    Ok(ZoneSummary {
        zone: read_name("zone", summary.get_zone())?,
        created_unix_ms: summary.get_made_unix_ms(),
        live_hosts: summary.get_live_hosts(),
        delegates: read_list("delegates", delegates.iter(), read_delegate)?,
        spare: read_list("spare", spare.iter(), read_spare)?,
    })
}

fn read_delegate(delegate: wire::delegate::Reader<'_>) -> Result<Delegate, DecodeError> {
    Ok(Delegate {
        name: read_name("name", delegate.get_name())?,
        address: read_address("address", delegate.get_address())?,
    })
}

fn read_spare(spare: wire::pool_spare::Reader<'_>) -> Result<SpareCapacity, DecodeError> {
    Ok(SpareCapacity {
        pool: read_name("pool", spare.get_pool())?,
        requests: spare.get_requests(),
    })
}
