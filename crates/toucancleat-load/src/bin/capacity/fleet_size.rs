//! The size of the target fleet, the sizes of one zone and host that follow from it, and the
//! budget of one host's control plane.

/// Host failures per day in the fleet.
pub const FAILURES_PER_DAY: f64 = 87.0;
/// Hosts restarted or replaced per day in the fleet.
pub const REPLACEMENTS_PER_DAY: f64 = 4_800.0;
/// Changes of the settings per day.
pub const CHANGES_PER_DAY: f64 = 23_000.0;
/// Entry hosts in the fleet.
pub const HOSTS: f64 = 1_200.0;
/// Availability zones.
pub const ZONES: f64 = 20.0;
/// Targets (servers behind the entry hosts) in the fleet.
pub const TARGETS: f64 = 12_000.0;
/// Requests per second in the fleet at peak load.
pub const REQUESTS_PER_S: f64 = 12_000.0;
/// Organisations that use the fleet regularly.
pub const ORGANISATIONS: f64 = 26_000.0;
/// Seconds in a day.
pub const DAY_S: f64 = 86_400.0;

/// Entry hosts in a zone.
pub const ZONE_HOSTS: f64 = HOSTS / ZONES;
/// Targets in a zone.
pub const ZONE_TARGETS: f64 = TARGETS / ZONES;
/// Requests per second at one host.
pub const HOST_REQUESTS_PER_S: f64 = REQUESTS_PER_S / HOSTS;

/// Processor time that the control plane of one host may use, in microseconds per second.
pub const BUDGET_CPU_US_PER_S: f64 = 39_000.0;
/// Memory that the control plane of one host may use, in bytes.
pub const BUDGET_STATE_BYTES: f64 = 128.0 * 1024.0 * 1024.0;
/// Traffic that the control plane of one host may send, in bytes per second.
pub const BUDGET_BYTES_PER_S: f64 = 5_000.0;
