//! Which entry hosts of the zone live, and who speaks for the other zones.
//!
//! Each host probes one other host of its zone a second, asks a few others to probe it
//! when it stays silent, and suspects it before it declares it dead. What it learns
//! rides on the probes. A few delegates of each zone exchange summaries with the other
//! zones. The view is soft state: two hosts may differ for seconds, and nothing that must
//! hold depends on their agreement. See docs/design/membership.md.

mod config;
mod gossip;
mod host;
mod message;
mod probe;
mod sync;
mod view;
mod zones;

use indexmap::IndexMap;

pub use self::config::Config;
pub use self::host::{Entry, Host, ListedHost, Status};
pub use self::message::{Delegate, Exchange, Message, PoolSpare, ZoneSummary};
use self::probe::{Probe, Relay};
use self::view::Member;
pub use self::zones::OtherZone;
use crate::prelude::*;
use crate::rng::Rng;

/// One host's view of its zone and of the other zones.
#[derive(Debug)]
pub struct State {
    config: Config,
    own: Entry,
    members: IndexMap<HostName, Member>,
    seeds: IndexMap<HostName, Host>,
    zones: IndexMap<ZoneName, OtherZone>,
    spare: Vec<PoolSpare>,
    probe: Option<Probe>,
    probe_order: Vec<HostName>,
    relays: Vec<Relay>,
    rng: Rng,
    version: u64,
    digest: u64,
    sequence: u64,
    sync_offset: u32,
    listed_at_ms: u64,
    last_tick_ms: Option<u64>,
    next_probe_ms: u64,
    next_sync_ms: u64,
    next_rejoin_ms: u64,
    next_summary_ms: u64,
}

/// What happens to membership.
///
/// The times are milliseconds since the Unix epoch, so that the hosts of a fleet can
/// order the summaries of one zone.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// Time has passed; expected every 100 ms.
    Tick,
    /// A message has come from a peer.
    Received {
        /// The host that sent it.
        from: HostName,
        /// The message.
        message: Message,
    },
    /// A batch for a host could not be delivered.
    DeliveryFailed {
        /// The host that was not reached.
        to: HostName,
    },
    /// The platform's host list was read. It lags, so it only says whom to try.
    Listed {
        /// Entry hosts of all zones.
        hosts: Vec<ListedHost>,
    },
    /// The pools of this zone with room for requests from other zones.
    Spare {
        /// The pools with the most room.
        pools: Vec<PoolSpare>,
    },
    /// This host begins a planned stop.
    Leave,
}

/// What membership asks the daemon to do.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Effect {
    /// Sends a message to a peer, whose address [`State::address_of`] gives.
    Send {
        /// The receiver.
        to: HostName,
        /// The message.
        message: Message,
    },
    /// A host's status has changed in this host's view.
    StatusChanged {
        /// The host, with the incarnation that the status is about.
        host: Host,
        /// The new status.
        status: Status,
    },
    /// The set of hosts that take homes has changed; homes need an update.
    LiveHostsChanged {
        /// The version of the set, counted by this host alone.
        version: u64,
    },
    /// This host has raised its incarnation to refute a statement about itself.
    Refuted {
        /// The new incarnation.
        incarnation: Incarnation,
    },
    /// Another zone has been heard again, or for too long not at all.
    ZoneReachable {
        /// The zone.
        zone: ZoneName,
        /// Whether it is reachable.
        reachable: bool,
    },
}

impl State {
    /// Makes the view of a host that knows only itself.
    ///
    /// The incarnation must be higher at each start; the daemon takes the milliseconds
    /// since the Unix epoch.
    pub fn new(config: Config, own: Host, seed: u64) -> Self {
        let mut state = State {
            config,
            own: Entry {
                host: own,
                status: Status::Alive,
            },
            members: IndexMap::new(),
            seeds: IndexMap::new(),
            zones: IndexMap::new(),
            spare: Vec::new(),
            probe: None,
            probe_order: Vec::new(),
            relays: Vec::new(),
            rng: Rng::new(seed),
            version: 0,
            digest: 0,
            sequence: 0,
            sync_offset: 0,
            listed_at_ms: 0,
            last_tick_ms: None,
            next_probe_ms: 0,
            next_sync_ms: 0,
            next_rejoin_ms: 0,
            next_summary_ms: 0,
        };
        state.digest = state.compute_digest();
        state
    }
}

/// Takes one event into the view.
pub fn reduce(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    match event {
        Event::Tick => tick(state, now_ms, effects),
        Event::Received { from, message } => {
            receive(state, now_ms, from, message, effects)
        }
        Event::DeliveryFailed { to } => state.probe_failed(now_ms, &to, effects),
        Event::Listed { hosts } => state.take_list(now_ms, hosts),
        Event::Spare { pools } => state.spare = pools,
        Event::Leave => state.leave(now_ms, effects),
    }
}

fn tick(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    state.allow_for_pause(now_ms);
    state.expire_suspicions(now_ms, effects);
    state.drop_tombstones(now_ms);
    state.advance_probe(now_ms, effects);
    state.try_rejoin(now_ms, effects);
    state.exchange_summaries(now_ms, effects);
    state.expire_zones(now_ms, effects);
}

fn receive(
    state: &mut State,
    now_ms: u64,
    from: HostName,
    message: Message,
    effects: &mut Vec<Effect>,
) {
    match message {
        Message::Ping { sequence, exchange } => {
            state.take_exchange(now_ms, &exchange, effects);
            state.acknowledge(&from, sequence, state.own.host.name.clone(), effects);
        }
        Message::Ack {
            sequence,
            subject,
            exchange,
        } => {
            state.take_exchange(now_ms, &exchange, effects);
            state.take_ack(sequence, &subject, effects);
        }
        Message::PingRequest {
            sequence,
            subject,
            exchange,
        } => {
            state.take_exchange(now_ms, &exchange, effects);
            state.relay_probe(now_ms, from, sequence, subject, effects);
        }
        Message::SyncRequest { offset, sender } => {
            state.merge(now_ms, &sender, effects);
            state.answer_sync(from, offset, effects);
        }
        Message::Sync {
            next_offset,
            entries,
        } => {
            state.take_sync(now_ms, next_offset, &entries, effects);
        }
        Message::Summary { reply, summary } => {
            state.take_summary(now_ms, &summary, effects);
            if reply {
                state.send_summary(now_ms, from, false, effects);
            }
        }
    }
}
