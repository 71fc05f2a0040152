//! Membership: failure detection among the entry hosts of a zone, and summaries of the
//! other zones.
//!
//! Each host probes one peer of its zone per second. If the peer doesn't answer, a few
//! other hosts probe it on request; if none of them gets an answer, the peer is
//! suspected, and then declared dead unless it refutes the suspicion. Status changes
//! are gossiped on the probe messages. A few delegates of each zone exchange summaries
//! with the other zones. The view is soft state: the views of two hosts may differ for
//! seconds, and no invariant depends on their agreement. See docs/design/membership.md.

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
pub use self::host::{Host, ListedHost, MemberEntry, Status};
pub use self::message::{Delegate, Gossip, Message, SpareCapacity, ZoneSummary};
use self::probe::{Probe, RelayedProbe};
use self::view::Member;
pub use self::zones::ZoneState;
use crate::prelude::*;
use crate::rng::Rng;

/// The view that one host holds of its zone and of the other zones.
#[derive(Debug)]
pub struct State {
    config: Config,
    own: MemberEntry,
    members: IndexMap<HostName, Member>,
    seeds: IndexMap<HostName, Host>,
    zones: IndexMap<ZoneName, ZoneState>,
    spare: Vec<SpareCapacity>,
    probe: Option<Probe>,
    probe_order: Vec<HostName>,
    relayed_probes: Vec<RelayedProbe>,
    rng: Rng,
    version: u64,
    digest: u64,
    sequence: u64,
    sync_offset: u32,
    list_read_at_ms: u64,
    last_tick_ms: Option<u64>,
    next_probe_ms: u64,
    next_sync_ms: u64,
    next_rejoin_ms: u64,
    next_summary_ms: u64,
}

/// An event of membership.
///
/// Times are in milliseconds since the Unix epoch, so that the hosts of a fleet can order
/// the summaries of one zone.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message has arrived from a peer.
    MessageReceived {
        /// The sender.
        from: HostName,
        /// The message.
        message: Message,
    },
    /// A batch of messages to a host could not be delivered.
    DeliveryFailed {
        /// The host that could not be reached.
        to: HostName,
    },
    /// The platform's host list was read. The list lags, so it only shows which hosts to
    /// contact.
    HostListRead {
        /// Entry hosts of all zones.
        hosts: Vec<ListedHost>,
    },
    /// The spare capacity of this zone's pools for requests from other zones has changed.
    SpareCapacityChanged {
        /// The pools with the most spare capacity.
        pools: Vec<SpareCapacity>,
    },
    /// This host has begun a planned stop.
    LeaveRequested,
}

/// An effect of membership.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Effect {
    /// Sends a message to a peer, whose address [`State::address`] returns.
    Send {
        /// The receiver.
        to: HostName,
        /// The message.
        message: Message,
    },
    /// A host's status has changed in this host's view.
    StatusChanged {
        /// The host, with the incarnation that the status applies to.
        host: Host,
        /// The new status.
        status: Status,
    },
    /// The set of live hosts has changed, so homes must be computed again.
    LiveHostsChanged {
        /// The version of the set, which is local to this host.
        version: u64,
    },
    /// This host has raised its incarnation to refute an entry about itself.
    Refuted {
        /// The new incarnation.
        incarnation: Incarnation,
    },
    /// Another zone has become reachable or unreachable.
    ZoneReachabilityChanged {
        /// The zone.
        zone: ZoneName,
        /// True if it is reachable.
        is_reachable: bool,
    },
}

impl State {
    /// Creates the view of a host that knows only itself.
    ///
    /// The incarnation must be higher at each start; the daemon uses the milliseconds
    /// since the Unix epoch.
    pub fn new(config: Config, own: Host, seed: u64) -> Self {
        let mut state = State {
            config,
            own: MemberEntry {
                host: own,
                status: Status::Alive,
            },
            members: IndexMap::new(),
            seeds: IndexMap::new(),
            zones: IndexMap::new(),
            spare: Vec::new(),
            probe: None,
            probe_order: Vec::new(),
            relayed_probes: Vec::new(),
            rng: Rng::new(seed),
            version: 0,
            digest: 0,
            sequence: 0,
            sync_offset: 0,
            list_read_at_ms: 0,
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

/// Applies one event.
pub fn reduce(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    match event {
        Event::Tick => tick(state, now_ms, effects),
        Event::MessageReceived { from, message } => {
            handle_message(state, now_ms, from, message, effects)
        }
        Event::DeliveryFailed { to } => {
            state.handle_delivery_failure(now_ms, &to, effects)
        }
        Event::HostListRead { hosts } => state.handle_host_list(now_ms, hosts),
        Event::SpareCapacityChanged { pools } => state.spare = pools,
        Event::LeaveRequested => state.leave(now_ms, effects),
    }
}

fn tick(state: &mut State, now_ms: u64, effects: &mut Vec<Effect>) {
    state.restart_timers_after_pause(now_ms);
    state.expire_suspicions(now_ms, effects);
    state.expire_tombstones(now_ms);
    state.advance_probe(now_ms, effects);
    state.try_rejoin(now_ms, effects);
    state.exchange_summaries(now_ms, effects);
    state.expire_zones(now_ms, effects);
}

fn handle_message(
    state: &mut State,
    now_ms: u64,
    from: HostName,
    message: Message,
    effects: &mut Vec<Effect>,
) {
    match message {
        Message::Ping { sequence, gossip } => {
            state.merge_gossip(now_ms, &gossip, effects);
            state.acknowledge(&from, sequence, state.own.host.name.clone(), effects);
        }
        Message::Ack {
            sequence,
            subject,
            gossip,
        } => {
            state.merge_gossip(now_ms, &gossip, effects);
            state.handle_ack(sequence, &subject, effects);
        }
        Message::PingRequest {
            sequence,
            subject,
            gossip,
        } => {
            state.merge_gossip(now_ms, &gossip, effects);
            state.relay_probe(now_ms, from, sequence, subject, effects);
        }
        Message::SyncRequest { offset, sender } => {
            state.merge(now_ms, &sender, effects);
            state.send_sync(from, offset, effects);
        }
        Message::Sync {
            next_offset,
            entries,
        } => {
            state.merge_sync(now_ms, next_offset, &entries, effects);
        }
        Message::Summary { reply, summary } => {
            state.merge_summary(now_ms, &summary, effects);
            if reply {
                state.send_summary(now_ms, from, false, effects);
            }
        }
    }
}
