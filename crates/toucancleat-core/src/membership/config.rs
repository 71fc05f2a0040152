//! Times and bounds of membership.

/// Times and bounds of membership, the same on every host of a zone.
///
/// The defaults keep a host's control traffic independent of the size of the fleet; see
/// docs/design/membership.md.
#[derive(Clone, Debug)]
pub struct Config {
    /// Time between two probes by a host.
    pub probe_interval_ms: u64,
    /// Time to answer a direct probe, after which others are asked to probe.
    pub probe_timeout_ms: u64,
    /// Hosts that are asked to probe a host that has not answered.
    pub indirect_probes: usize,
    /// Time that a suspect has for its refutation.
    pub suspicion_ms: u64,
    /// Most statements that ride on one message.
    pub entries_per_message_max: usize,
    /// Times that a statement is passed on, for each doubling of the zone's size.
    pub transmits_per_doubling: u32,
    /// Most entries in one part of a synchronised view.
    pub sync_entries_max: usize,
    /// Least time between two synchronisations that a host asks for.
    pub sync_interval_ms: u64,
    /// Time between two attempts to reach a host that is listed or was known, but is not
    /// alive in the view.
    pub rejoin_interval_ms: u64,
    /// Least time that a dead host stays in the view, so that it can be reached again.
    pub tombstone_ms: u64,
    /// Most hosts in the view that are dead or have left.
    pub tombstones_max: usize,
    /// Hosts that speak for a zone.
    pub delegates_per_zone: usize,
    /// Time between two summaries that a delegate sends.
    pub summary_interval_ms: u64,
    /// Age at which another zone counts as cut off.
    pub summary_expiry_ms: u64,
    /// Most listed hosts kept for each other zone, to reach it for the first time.
    pub zone_seeds_max: usize,
    /// Silence between two ticks that shows that this host itself was paused.
    pub pause_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            probe_interval_ms: 1_000,
            probe_timeout_ms: 300,
            indirect_probes: 3,
            suspicion_ms: 3_000,
            entries_per_message_max: 6,
            transmits_per_doubling: 3,
            sync_entries_max: 32,
            sync_interval_ms: 2_000,
            rejoin_interval_ms: 5_000,
            tombstone_ms: 60_000,
            tombstones_max: 256,
            delegates_per_zone: 3,
            summary_interval_ms: 2_000,
            summary_expiry_ms: 30_000,
            zone_seeds_max: 4,
            pause_ms: 1_500,
        }
    }
}
