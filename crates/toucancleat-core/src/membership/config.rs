//! Intervals and limits of membership.

/// Intervals and limits of membership, the same on every host of a zone. Times are in
/// milliseconds.
///
/// The defaults keep a host's control traffic independent of the size of the fleet; see
/// docs/design/membership.md.
#[derive(Clone, Debug)]
pub struct Config {
    /// Interval between the probes of a host.
    pub probe_interval_ms: u64,
    /// Time after which an unanswered direct probe is followed by indirect ones.
    pub probe_timeout_ms: u64,
    /// Number of hosts that are requested to probe a host that has not answered.
    pub indirect_probes: usize,
    /// Time after which a suspicion that was not refuted declares the host dead.
    pub suspicion_ms: u64,
    /// Maximum number of updates in one probe message.
    pub entries_per_message_max: usize,
    /// Number of times that a host sends an update, per doubling of the zone's size.
    pub transmits_per_doubling: u32,
    /// Maximum number of entries in one page of a synchronised view.
    pub sync_page_entries_max: usize,
    /// Minimum interval between the synchronisation requests of a host.
    pub sync_interval_ms: u64,
    /// Interval between attempts to reach a host that is in the host list or was known,
    /// but is not alive in the view.
    pub rejoin_interval_ms: u64,
    /// Minimum time for which a dead host stays in the view, so that it can rejoin.
    pub tombstone_ms: u64,
    /// Maximum number of hosts in the view that are dead or have left.
    pub tombstones_max: usize,
    /// Number of delegates of a zone.
    pub delegates_per_zone: usize,
    /// Interval between the summaries that a delegate sends.
    pub summary_interval_ms: u64,
    /// Age of its latest summary at which another zone counts as unreachable.
    pub summary_expiry_ms: u64,
    /// Maximum number of listed hosts kept per other zone, for the first contact with it.
    pub zone_seeds_max: usize,
    /// Gap between two ticks that shows that this host itself was paused.
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
            sync_page_entries_max: 32,
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
