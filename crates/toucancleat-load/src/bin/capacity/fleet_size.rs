//! The sizes of the letter, and what follows from them for one node.

/// Hosts that fail a day, over the fleet.
pub const FAILURES_PER_DAY: f64 = 87.0;
/// Hosts that are restarted or replaced a day, over the fleet.
pub const REPLACEMENTS_PER_DAY: f64 = 4_800.0;
/// Changes of the settings a day.
pub const CHANGES_PER_DAY: f64 = 23_000.0;
/// Entry hosts.
pub const HOSTS: f64 = 1_200.0;
/// Availability zones.
pub const ZONES: f64 = 20.0;
/// Servers behind the entry hosts.
pub const TARGETS: f64 = 12_000.0;
/// Requests a second at the peak.
pub const REQUESTS_PER_S: f64 = 12_000.0;
/// Organisations in steady use.
pub const ORGANISATIONS: f64 = 26_000.0;
/// Seconds in a day.
pub const DAY_S: f64 = 86_400.0;

/// Entry hosts in a zone.
pub const ZONE_HOSTS: f64 = HOSTS / ZONES;
/// Targets in a zone.
pub const ZONE_TARGETS: f64 = TARGETS / ZONES;
/// Requests a second at one host.
pub const HOST_REQUESTS_PER_S: f64 = REQUESTS_PER_S / HOSTS;

/// Processor time of a node's control, in microseconds a second.
pub const BUDGET_CPU_US_PER_S: f64 = 39_000.0;
/// Memory of a node's control.
pub const BUDGET_STATE_BYTES: f64 = 128.0 * 1024.0 * 1024.0;
/// Traffic of a node's control.
pub const BUDGET_BYTES_PER_S: f64 = 5_000.0;
