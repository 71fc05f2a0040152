//! Messages between entry hosts, and the known state of peers.
//!
//! Every host sends a short datagram to every other at an interval that grows with the
//! fleet. Datagrams may be lost, delayed or duplicated. Each carries the complete state
//! of its sender, so the next one makes up for a lost one.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use toucancleat_core::prelude::*;
use toucancleat_core::rng::stable_hash;

use crate::brittle_targets::BrittleReports;
use crate::budget::{PredecessorCounts, RetryCounts};
use crate::cold_targets::ColdReport;
use crate::configuration_change::ConfigurationChange;
use crate::contention::DemandReport;
use crate::evacuation::EvacuationReport;
use crate::host_ring::HostRing;
pub use crate::load::Load;
use crate::migration_plan::HostRuns;
use crate::poison_parts::PartReports;
use crate::pool_path::PathReport;
use crate::request::Fingerprint;
use crate::sender_ring::SenderRing;
use crate::store::{READER_SILENCE_MS, StorePosition};
use crate::target::TargetChange;
use crate::target_notice::NoticeReport;
use crate::target_watch::WatchReport;

/// Minimum time between two messages to the same host. At this interval, loads lag by
/// less than a third of the lag of the targets' own reports.
pub const MESSAGE_INTERVAL_MIN_MS: u64 = 150;

/// Maximum time between two messages to the same host.
pub const MESSAGE_INTERVAL_MAX_MS: u64 = 1_200;

/// Time added to the interval for each recipient, so that a host's traffic doesn't grow
/// with the size of the fleet. Hosts of the same zone have an interval of their own,
/// since they choose among the same targets.
pub const MESSAGE_INTERVAL_PER_HOST_MS: u64 = 15;

/// Range of the delay before a host that has just started announces itself, for each host of
/// the fleet: about the time in which a small host handles a message.
pub const ANNOUNCEMENT_SPREAD_PER_HOST_MS: u64 = 1;

/// Number of intervals without a message after which a peer is no longer live.
pub const SILENCE_LIMIT_INTERVALS: u64 = 3;

/// Time after which a silent peer is removed. Longer than any partition from which hosts
/// must recover without the store; the store's rows restore the peers that are still
/// running.
pub const PEER_EXPIRY_MS: u64 = 60_000;

/// Maximum number of other hosts' addresses in one message.
const ADDRESSES_MAX: usize = 4;

/// Maximum number of a host's runs at one target that a plan of migrations considers. The plan
/// takes time and memory for each, so a damaged message must not contain more.
const MIGRATABLE_RUNS_MAX: u32 = 1_024;

/// A message from one entry host to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: HostName,
    /// Random number, drawn anew at each start of the sender's process.
    pub incarnation: u64,
    /// The sender's zone.
    pub zone: ZoneName,
    /// Address at which the sender receives messages.
    pub address: SocketAddr,
    /// Time of sending, by the sender's clock.
    pub sent_ms: u64,
    /// Whether the sender is stopping.
    pub is_stopping: bool,
    /// Version of the configuration in force at the sender.
    pub configuration_version: Option<u64>,
    /// Time since that version was last confirmed to be the newest.
    pub configuration_age_ms: Option<u64>,
    /// Version of the store, in its era, up to which the sender knows the host list.
    pub host_list_version: u64,
    /// Digest of the host list at that version, without heartbeats.
    pub host_list_digest: u64,
    /// Time since the store last answered the sender itself, if it reads the store for all hosts.
    pub store_age_ms: Option<u64>,
    /// The sender's load at each target.
    pub loads: Vec<(TargetName, Load)>,
    /// The sender's counts against the retry budget, by pool.
    pub retry_counts: Vec<(PoolName, RetryCounts)>,
    /// Fingerprints of requests under which targets crashed at the sender, and how many. Only hosts of
    /// earlier releases read them.
    pub interruptions: Vec<(Fingerprint, u32)>,
    /// The last message that the sender received from the recipient. This is the only part
    /// that differs between recipients, so it is encoded separately.
    #[serde(skip)]
    pub echo: Option<Echo>,
    /// What targets have reported about themselves to the sender. Hosts of earlier releases
    /// don't know this part and the next, so they are encoded after all others.
    #[serde(skip)]
    pub notices: Vec<NoticeReport>,
    /// The era of the store in which the sender knows the host list.
    #[serde(skip)]
    pub store_era: u64,
    /// Digest of the versions of the targets' software at that version of the host list. Hosts
    /// of the last release don't send it.
    #[serde(skip)]
    pub version_digest: Option<u64>,
    /// What the sender knows of parts of prompts that crash targets. Hosts of the last release
    /// don't send it.
    #[serde(skip)]
    pub part_reports: PartReports,
    /// What it knows of whole requests that do, each as a part. Hosts of the last release don't
    /// send it.
    #[serde(skip)]
    pub request_reports: PartReports,
    /// The sender's paths to the pools. Hosts of the last release don't send them, and take no
    /// requests of peers.
    #[serde(skip)]
    pub path_reports: Vec<PathReport>,
    /// What targets that fall over when they turn requests away have told the sender. Hosts of
    /// the last release don't send it.
    #[serde(skip)]
    pub brittle_reports: BrittleReports,
    /// Availability zones that operators have evacuated. Hosts of the last release don't send
    /// this and the next two parts.
    #[serde(skip)]
    pub evacuations: EvacuationReport,
    /// Targets that are cold.
    #[serde(skip)]
    pub cold_reports: Vec<ColdReport>,
    /// The requests that wait for room at the sender.
    #[serde(skip)]
    pub demand: DemandReport,
    /// Whether the sender confines requests to home regions. Hosts of the last release don't.
    #[serde(skip)]
    pub heeds_confinement: bool,
    /// What the sender knows of targets while nobody reads the host list, or `None` if it is of
    /// the last release.
    #[serde(skip)]
    pub watch: Option<WatchReport>,
    /// Whether the counts against the retry budget include what the sender's host used before
    /// its process started. Hosts of the last release don't send this and the next two parts.
    #[serde(skip)]
    pub has_retry_history: bool,
    /// Whether the sender is about to exit and takes no more retries.
    #[serde(skip)]
    pub is_exiting: bool,
    /// What the sender knows of the processes of the recipient's host before the present one. It
    /// differs between recipients as the echo does.
    #[serde(skip)]
    pub predecessor: Predecessor,
    /// A sample of the addresses of other hosts.
    pub addresses: Vec<SocketAddr>,
    /// A change that the sender has read from the store.
    pub update: Option<Update>,
}

impl Message {
    /// Returns the position of the store up to which the sender knows the host list.
    pub fn host_list_position(&self) -> StorePosition {
        StorePosition {
            era: self.store_era,
            version: self.host_list_version,
        }
    }
}

/// A change that a reader of the store sends to its peers at once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// Changes of the host list.
    Targets(Vec<TargetChange>),
    /// What a new version of the configuration changes.
    Configuration(Box<ConfigurationChange>),
}

/// The last message received from a host.
///
/// It lets that host bound the age of a message that it receives without comparing
/// clocks: the message was sent no earlier than the echoed one plus the time for which
/// that was held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The incarnation of the host that sent the echoed message.
    pub incarnation: u64,
    /// When it was sent, by that host's clock.
    pub sent_ms: u64,
    /// Time from receiving the echoed message to sending this one.
    pub held_ms: u64,
}

/// Known state of another entry host.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Address at which it receives messages.
    pub address: SocketAddr,
    /// When its last message was received.
    pub received_ms: u64,
    /// Its last message, without the update and the notices.
    pub last_message: Message,
    /// Whether its load is included in the totals.
    is_counted: bool,
}

/// What a host has counted before its process started, as a peer knows it. A process that starts
/// has forgotten this, and its peers tell it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Predecessor {
    /// What it used of the retry budget, if the peer knows that.
    pub retries: Option<PredecessorCounts>,
    /// Fingerprints of requests whose runs were interrupted at it, and how often. Only hosts of the last
    /// release send and read them.
    pub interruptions: Vec<(Fingerprint, u32)>,
}

/// A recipient of a message, and the parts of the message that are for it alone.
#[derive(Clone, Debug)]
pub struct Recipient {
    /// Its address.
    pub address: SocketAddr,
    /// The echo of the last message received from it.
    pub echo: Option<Echo>,
    /// What is known of the processes of its host before the present one.
    pub predecessor: Predecessor,
}

/// All other entry hosts.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: IndexMap<HostName, Peer>,
    /// The addresses of these peers.
    peer_addresses: IndexMap<SocketAddr, HostName>,
    /// Total load of all live peers at each target.
    ///
    /// The totals are updated with each message. Adding them up for each selection would
    /// examine every host for every target.
    load_totals: IndexMap<TargetName, Load>,
    /// Addresses reported by others from which no message was received yet, and until
    /// when messages are sent there.
    candidate_addresses: IndexMap<SocketAddr, u64>,
    /// The peers of all zones, and of each zone, by which keys are assigned to them.
    ring: HostRing<HostName>,
    zone_rings: IndexMap<ZoneName, HostRing<HostName>>,
    /// All hosts that may be running, this one included.
    senders: SenderRing,
    listed_hosts: usize,
    /// Whether the store's list of the entry hosts was read.
    is_list_read: bool,
}

impl Peers {
    /// Returns true if no later message of the same sender was received.
    pub fn is_newest(&self, message: &Message) -> bool {
        self.peers.get(&message.from).is_none_or(|peer| {
            peer.last_message.incarnation != message.incarnation
                || peer.last_message.sent_ms <= message.sent_ms
        })
    }

    /// Records the newest message of a peer.
    pub fn record_message(
        &mut self,
        now_ms: u64,
        own_address: SocketAddr,
        message: Message,
    ) {
        self.candidate_addresses.swap_remove(&message.address);
        for address in &message.addresses {
            let _ = self.add_candidate(now_ms, own_address, *address);
        }
        add_loads(&mut self.load_totals, &message.loads);
        let from = message.from.clone();
        let peer = Peer {
            address: message.address,
            received_ms: now_ms,
            last_message: Message {
                update: None,
                notices: Vec::new(),
                part_reports: PartReports::default(),
                request_reports: PartReports::default(),
                brittle_reports: BrittleReports::default(),
                cold_reports: Vec::new(),
                demand: DemandReport::default(),
                predecessor: Predecessor::default(),
                watch: message.watch.map(|watch| WatchReport {
                    suspicions: Vec::new(),
                    ..watch
                }),
                ..message
            },
            is_counted: true,
        };
        let address = peer.address;
        let zone = &peer.last_message.zone;
        self.senders.record_zone(address, zone);
        let known = self.peers.get(&from);
        if known.is_none_or(|known| known.last_message.zone != *zone) {
            for ring in self.zone_rings.values_mut() {
                ring.remove(&from);
            }
            self.ring.insert(&from);
            let zone_ring = self.zone_rings.entry(zone.clone()).or_default();
            zone_ring.insert(&from);
        }
        if let Some(before) = self.peers.insert(from.clone(), peer) {
            if before.is_counted {
                subtract_loads(&mut self.load_totals, &before.last_message.loads);
            }
            self.peer_addresses.swap_remove(&before.address);
            if before.address != address {
                self.senders.remove(before.address);
            }
        }
        self.peer_addresses.insert(address, from);
    }

    /// Adds an address at which an entry host may be, and returns true if it is new.
    pub fn add_candidate(
        &mut self,
        now_ms: u64,
        own_address: SocketAddr,
        address: SocketAddr,
    ) -> bool {
        let is_known = self.peer_addresses.contains_key(&address)
            || self.candidate_addresses.contains_key(&address);
        if address == own_address || is_known {
            return false;
        }
        self.candidate_addresses
            .insert(address, now_ms + PEER_EXPIRY_MS);
        self.senders.add(address);
        true
    }

    /// Adds this host to those that may be running.
    pub fn add_own(&mut self, address: SocketAddr, zone: &ZoneName) {
        self.senders.record_zone(address, zone);
    }

    /// Returns all hosts that may be running, this one included.
    pub fn senders(&self) -> &SenderRing {
        &self.senders
    }

    /// Records how many entry hosts the store lists.
    pub fn record_listed_hosts(&mut self, hosts: usize) {
        self.listed_hosts = self.listed_hosts.max(hosts);
        self.is_list_read = true;
    }

    /// Forgets the load of all peers at targets that have restarted, until their next messages.
    pub fn forget_loads(&mut self, targets: &IndexSet<TargetName>) {
        for peer in self.peers.values_mut() {
            let loads = &mut peer.last_message.loads;
            loads.retain(|(target, _)| !targets.contains(target));
        }
        self.load_totals
            .retain(|target, _| !targets.contains(target));
    }

    /// Removes peers that have been silent for long. The load of those beyond the silence
    /// limit is subtracted from the totals, since it may have ended with them.
    pub fn expire(&mut self, now_ms: u64) {
        let silence_limit_ms = self.silence_limit_ms();
        for peer in self.peers.values_mut() {
            if peer.is_counted
                && now_ms.saturating_sub(peer.received_ms) > silence_limit_ms
            {
                peer.is_counted = false;
                subtract_loads(&mut self.load_totals, &peer.last_message.loads);
            }
        }
        let peer_addresses = &mut self.peer_addresses;
        let senders = &mut self.senders;
        let ring = &mut self.ring;
        let zone_rings = &mut self.zone_rings;
        self.peers.retain(|host, peer| {
            let is_kept = now_ms.saturating_sub(peer.received_ms) < PEER_EXPIRY_MS;
            if !is_kept {
                peer_addresses.swap_remove(&peer.address);
                senders.record_silence(now_ms, peer.address);
                ring.remove(host);
                if let Some(zone_ring) = zone_rings.get_mut(&peer.last_message.zone) {
                    zone_ring.remove(host);
                }
            }
            is_kept
        });
        self.candidate_addresses.retain(|address, until_ms| {
            let is_kept = now_ms < *until_ms;
            if !is_kept {
                senders.record_silence(now_ms, *address);
            }
            is_kept
        });
        senders.expire(now_ms);
    }

    /// Returns the recipients of a message: all known hosts, or the peers of one zone.
    pub fn recipients(
        &self,
        now_ms: u64,
        zone: Option<&ZoneName>,
        predecessor_of: impl Fn(&HostName) -> Predecessor,
    ) -> Vec<Recipient> {
        let is_in_zone =
            |peer: &Peer| zone.is_none_or(|zone| peer.last_message.zone == *zone);
        let in_zone = self.peers.iter().filter(|(_, peer)| is_in_zone(peer));
        let known = in_zone.map(|(host, peer)| {
            let echo = Echo {
                incarnation: peer.last_message.incarnation,
                sent_ms: peer.last_message.sent_ms,
                held_ms: now_ms.saturating_sub(peer.received_ms),
            };
            Recipient {
                address: peer.address,
                echo: Some(echo),
                predecessor: predecessor_of(host),
            }
        });
        let candidates = self.candidate_addresses.keys().filter(|_| zone.is_none());
        let candidates = candidates.map(|address| Recipient {
            address: *address,
            echo: None,
            predecessor: Predecessor::default(),
        });
        known.chain(candidates).collect()
    }

    /// Returns a sample of peers' addresses to include in a message. `offset` selects a
    /// different part each time.
    pub fn sample_addresses(&self, offset: usize) -> Vec<SocketAddr> {
        let count = self.peers.len();
        (0..count.min(ADDRESSES_MAX))
            .filter_map(|i| self.peers.get_index((offset + i) % count.max(1)))
            .map(|(_, peer)| peer.address)
            .collect()
    }

    /// Returns the time between two messages to all hosts, in milliseconds.
    ///
    /// Hosts that have not been heard yet are recipients too. When a whole fleet starts, they
    /// are all recipients.
    pub fn interval_ms(&self) -> u64 {
        message_interval_ms(self.peers.len() + self.candidate_addresses.len())
    }

    /// Returns the time between two messages to the hosts of a zone, in milliseconds.
    pub fn zone_interval_ms(&self, zone: &ZoneName) -> u64 {
        message_interval_ms(self.zone_size(zone) - 1)
    }

    /// Returns how many hosts of a zone may be running, including this one.
    pub fn zone_size(&self, zone: &ZoneName) -> usize {
        let in_zone = self
            .peers
            .values()
            .filter(|peer| peer.last_message.zone == *zone);
        in_zone.count() + 1
    }

    fn silence_limit_ms(&self) -> u64 {
        SILENCE_LIMIT_INTERVALS * self.interval_ms()
    }

    /// Returns the live peers.
    pub fn live(&self, now_ms: u64) -> impl Iterator<Item = (&HostName, &Peer)> {
        let silence_limit_ms = self.silence_limit_ms();
        self.peers.iter().filter(move |(_, peer)| {
            now_ms.saturating_sub(peer.received_ms) <= silence_limit_ms
        })
    }

    /// Returns true if the peer at an address is live.
    pub fn is_live_at(&self, now_ms: u64, address: SocketAddr) -> bool {
        let host = self.peer_addresses.get(&address);
        let peer = host.and_then(|host| self.peers.get(host));
        let silence_limit_ms = self.silence_limit_ms();
        peer.is_some_and(|peer| {
            now_ms.saturating_sub(peer.received_ms) <= silence_limit_ms
        })
    }

    /// Returns how many hosts may be running, including this one and peers that aren't
    /// live.
    pub fn fleet_size(&self) -> usize {
        (self.peers.len() + 1).max(self.listed_hosts)
    }

    /// Returns true if neither the store nor the settings name another host.
    pub fn is_alone(&self) -> bool {
        let has_no_peer = self.fleet_size() == 1 && self.candidate_addresses.is_empty();
        self.is_list_read && has_no_peer
    }

    /// Returns true if every host that may be running is a live peer and receives from
    /// this one.
    ///
    /// A peer whose messages arrive but that receives none would otherwise be assumed to
    /// count the retries that this host takes.
    pub fn is_fully_connected(&self, now_ms: u64, own_incarnation: u64) -> bool {
        let silence_limit_ms = self.silence_limit_ms();
        let receives_from_this_host = |peer: &Peer| {
            let age_ms = now_ms.saturating_sub(peer.received_ms);
            earliest_send_ms(&peer.last_message, own_incarnation, now_ms).is_some()
                && peer
                    .last_message
                    .echo
                    .as_ref()
                    .is_some_and(|echo| echo.held_ms + age_ms <= silence_limit_ms)
        };
        let connected = self
            .live(now_ms)
            .filter(|(_, peer)| receives_from_this_host(peer));
        !self.peers.is_empty() && connected.count() == self.peers.len()
    }

    /// Returns the addresses of the hosts that keep what belongs to a hash: `count` of a zone,
    /// and as many of the others, so that a zone that fails or is cut off leaves some. Hosts of
    /// earlier releases keep nothing.
    pub fn keepers(
        &self,
        now_ms: u64,
        zone: &ZoneName,
        hash: u64,
        count: usize,
        is_usable: impl Fn(&Peer) -> bool,
    ) -> Vec<SocketAddr> {
        let silence_limit_ms = self.silence_limit_ms();
        let is_keeper = |host: &HostName| {
            self.peers.get(host).is_some_and(|peer| {
                let silence_ms = now_ms.saturating_sub(peer.received_ms);
                silence_ms <= silence_limit_ms
                    && peer.last_message.version_digest.is_some()
                    && is_usable(peer)
            })
        };
        let is_elsewhere = |host: &HostName| {
            let peer = self.peers.get(host);
            peer.is_some_and(|peer| peer.last_message.zone != *zone) && is_keeper(host)
        };
        let in_zone = self.zone_rings.get(zone).into_iter();
        in_zone
            .flat_map(|ring| ring.successors(hash, count, is_keeper))
            .chain(self.ring.successors(hash, count, is_elsewhere))
            .filter_map(|host| self.peers.get(host))
            .map(|peer| peer.address)
            .collect()
    }

    /// Chooses a live peer for which `is_usable` returns true.
    ///
    /// A host of the zone is preferred. Its share of the choices is that of the usable hosts
    /// of the zone, so that the last of them doesn't take the load of all others.
    pub fn choose(
        &self,
        now_ms: u64,
        zone: &ZoneName,
        hash: u64,
        is_usable: impl Fn(&HostName, &Peer) -> bool,
    ) -> Option<(HostName, SocketAddr)> {
        let silence_limit_ms = self.silence_limit_ms();
        let is_usable = |host: &HostName| {
            self.peers.get(host).is_some_and(|peer| {
                now_ms.saturating_sub(peer.received_ms) <= silence_limit_ms
                    && is_usable(host, peer)
            })
        };
        let in_zone = self.zone_rings.get(zone).and_then(|ring| {
            let drawn = ring.successors(hash, 1, |_| true).first().copied();
            drawn.filter(|host| is_usable(host))
        });
        let anywhere = || self.ring.successors(hash, 1, is_usable).first().copied();
        let host = in_zone.or_else(anywhere)?;
        let peer = self.peers.get(host)?;
        Some((host.clone(), peer.address))
    }

    /// Returns true if another host reads the store, so that this one need not.
    pub fn has_other_reader(
        &self,
        now_ms: u64,
        own: &HostName,
        own_is_reader: bool,
    ) -> bool {
        let silence_limit_ms = READER_SILENCE_MS.max(2 * self.interval_ms());
        self.live(now_ms).any(|(host, peer)| {
            let message_age_ms = now_ms.saturating_sub(peer.received_ms);
            let is_reader = peer
                .last_message
                .store_age_ms
                .is_some_and(|age_ms| age_ms <= READER_SILENCE_MS);
            is_reader
                && !peer.last_message.is_stopping
                && message_age_ms <= silence_limit_ms
                && (!own_is_reader || host < own)
        })
    }

    /// Returns how many live peers have their turn to read the store before this host.
    ///
    /// The order is that of the names' hashes. The names of a zone's hosts are often alike, so
    /// in the order of names the hosts of a zone that was cut off could precede all others.
    pub fn live_before(&self, now_ms: u64, own: &HostName) -> u64 {
        let turn = |host: &HostName| stable_hash(host.as_str().as_bytes());
        let own_turn = (turn(own), own);
        self.live(now_ms)
            .filter(|(host, _)| (turn(host), *host) < own_turn)
            .count() as u64
    }

    /// Returns the load of live peers at a target.
    pub fn load_at(&self, target: &TargetName) -> Load {
        self.load_totals.get(target).copied().unwrap_or_default()
    }

    /// Returns the migratable runs of each live peer at a target.
    pub fn migratable_runs_at(&self, now_ms: u64, target: &TargetName) -> Vec<HostRuns> {
        self.live(now_ms)
            .flat_map(|(host, peer)| {
                let at_target = peer
                    .last_message
                    .loads
                    .iter()
                    .filter(|(name, _)| name == target);
                at_target.map(|(_, load)| HostRuns {
                    host: host.clone(),
                    runs: load.migratable_runs.min(MIGRATABLE_RUNS_MAX),
                    tokens: load.migratable_tokens,
                })
            })
            .collect()
    }
}

fn message_interval_ms(recipients: usize) -> u64 {
    (recipients as u64 * MESSAGE_INTERVAL_PER_HOST_MS)
        .clamp(MESSAGE_INTERVAL_MIN_MS, MESSAGE_INTERVAL_MAX_MS)
}

fn add_loads(totals: &mut IndexMap<TargetName, Load>, loads: &[(TargetName, Load)]) {
    for (target, load) in loads {
        totals.entry(target.clone()).or_default().add(*load);
    }
}

fn subtract_loads(totals: &mut IndexMap<TargetName, Load>, loads: &[(TargetName, Load)]) {
    for (target, load) in loads {
        if let Some(total) = totals.get_mut(target) {
            total.subtract(*load);
            if total.runs == 0 {
                totals.swap_remove(target);
            }
        }
    }
}

/// Returns the earliest time, by this host's clock, at which a message can have been
/// sent.
///
/// Returns `None` if the message echoes none of this incarnation.
pub fn earliest_send_ms(
    message: &Message,
    own_incarnation: u64,
    now_ms: u64,
) -> Option<u64> {
    let echo = message.echo.as_ref()?;
    if echo.incarnation != own_incarnation {
        return None;
    }
    let sent_ms = echo.sent_ms.checked_add(echo.held_ms)?;
    (sent_ms <= now_ms).then_some(sent_ms)
}
