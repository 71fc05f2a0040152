//! Reads and validates the settings of one process.

use std::net::SocketAddr;
use std::path::Path;

use indexmap::IndexMap;
use serde::Deserialize;
use toucancleat_fleet::config::{ColdBound, FleetConfig};
use toucancleat_fleet::prelude::*;
use toucancleat_platform::rules;

use crate::Error;

/// The settings of one process, from a file of JSON with comments. docs/SETTINGS.md lists
/// them.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Settings {
    /// Name of this entry host.
    pub host: HostName,
    /// Availability zone of this entry host.
    pub availability_zone: ZoneName,
    /// Address at which callers connect.
    pub callers_address: SocketAddr,
    /// Address at which the platform checks whether the host is ready.
    pub readiness_address: SocketAddr,
    /// Address at which this host receives messages of its peers.
    pub peers_address: SocketAddr,
    /// Addresses of other entry hosts that are known at the start.
    #[serde(default)]
    pub seed_addresses: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Time in milliseconds after the withdrawal of an API key from which no request with it
    /// may be forwarded.
    pub revocation_bound_ms: Option<f64>,
    /// Retries allowed per request, over all hosts.
    pub retry_ratio: Option<f64>,
    /// Length in seconds of the window over which retries are counted.
    pub retry_window_s: Option<f64>,
    /// Retries allowed per window in addition to the ratio, over all hosts.
    pub retry_allowance: Option<f64>,
    /// Time in seconds from the request to stop until the process is killed.
    pub stop_grace_s: Option<f64>,
    /// Memory in megabytes that the process may use.
    pub memory_max_mb: Option<f64>,
    /// Rate of the machine's link in megabits per second.
    pub link_max_mbps: Option<f64>,
    /// The region of each availability zone.
    #[serde(default)]
    pub regions: IndexMap<ZoneName, RegionName>,
    /// Requests to a cold target in one second for each request of its rate, over all hosts.
    pub cold_overage: Option<f64>,
    /// Requests to a cold target in one second in addition to that, over all hosts.
    pub cold_allowance: Option<f64>,
    /// Time in milliseconds after the evacuation of an availability zone from which no request
    /// may be sent to its targets.
    pub evacuation_bound_ms: Option<f64>,
    /// Whether the whole fleet starts for the first time, so that no process ran before.
    #[serde(default)]
    pub is_first_start: bool,
    /// The platform's names of the rules that are in force.
    #[serde(default)]
    pub rules: Vec<String>,
}

/// Memory in megabytes of a process whose settings omit it: that of a small machine.
const MEMORY_DEFAULT_MB: f64 = 128.0;

/// Share of the memory that the bodies of all requests may take together. Answers,
/// connection buffers and the state of the host have to fit in the rest.
const BODIES_SHARE: f64 = 0.25;

/// Share of the memory that the held parts of all answers may take together. A complete answer
/// is copied once, so the peak is twice as high.
const ANSWERS_SHARE: f64 = 0.125;

/// Share of the memory that one reply of the store may take. While a configuration is
/// decoded its text, its encoding, and two versions of it are in memory.
const STORE_REPLY_SHARE: f64 = 0.125;

/// Share of the link that a long reply of the store may take while callers are served.
const STORE_LINK_SHARE: f64 = 0.5;

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// Fails if the file can't be read or [`Settings::parse`] fails.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(Error::read)?;
        Settings::parse(&text)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// Fails if the text isn't JSON with comments, a setting is missing or has the wrong
    /// type, or a number is negative or not finite.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let options = jsonc_parser::ParseOptions::default();
        let settings: Settings = jsonc_parser::parse_to_serde_value(text, &options)
            .map_err(Error::settings)?;
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), Error> {
        let numbers = [
            ("revocation_bound_ms", self.revocation_bound_ms),
            ("retry_ratio", self.retry_ratio),
            ("retry_window_s", self.retry_window_s),
            ("retry_allowance", self.retry_allowance),
            ("stop_grace_s", self.stop_grace_s),
            ("memory_max_mb", self.memory_max_mb),
            ("link_max_mbps", self.link_max_mbps),
            ("cold_overage", self.cold_overage),
            ("cold_allowance", self.cold_allowance),
            ("evacuation_bound_ms", self.evacuation_bound_ms),
        ];
        for (name, number) in numbers {
            if number.is_some_and(|number| !number.is_finite() || number < 0.0) {
                return Err(Error::settings(format!("{name} must not be negative")));
            }
        }
        Ok(())
    }

    /// Returns the bound on the bodies of all requests together, in bytes.
    pub fn bodies_max_bytes(&self) -> u64 {
        let memory_mb = self.memory_max_mb.unwrap_or(MEMORY_DEFAULT_MB);
        (BODIES_SHARE * memory_mb * 1e6) as u64
    }

    /// Returns the bound on what is held of all targets' answers together, in bytes.
    pub fn answers_max_bytes(&self) -> u64 {
        let memory_mb = self.memory_max_mb.unwrap_or(MEMORY_DEFAULT_MB);
        (ANSWERS_SHARE * memory_mb * 1e6) as u64
    }

    /// Returns the bound on one reply of the store, in bytes.
    pub fn store_reply_max_bytes(&self) -> usize {
        let memory_mb = self.memory_max_mb.unwrap_or(MEMORY_DEFAULT_MB);
        (STORE_REPLY_SHARE * memory_mb * 1e6) as usize
    }

    /// Returns the rate at which a long reply of the store is read, in bytes per second.
    pub fn store_reply_bytes_per_s(&self) -> Option<f64> {
        let link_bytes_per_s = self.link_max_mbps? * 1e6 / 8.0;
        (link_bytes_per_s > 0.0).then_some(STORE_LINK_SHARE * link_bytes_per_s)
    }

    /// Returns the settings that the decisions of the reducer depend on.
    pub fn fleet_config(&self) -> FleetConfig {
        let default = FleetConfig::default();
        let ms_or = |number: Option<f64>, default| number.map_or(default, |ms| ms as u64);
        let seconds_or = |number: Option<f64>, default| {
            number.map_or(default, |seconds| (seconds * 1_000.0) as u64)
        };
        FleetConfig {
            revocation_bound_ms: ms_or(
                self.revocation_bound_ms,
                default.revocation_bound_ms,
            ),
            retry_ratio: self.retry_ratio.unwrap_or(default.retry_ratio),
            retry_window_ms: seconds_or(self.retry_window_s, default.retry_window_ms),
            retry_allowance: self.retry_allowance.unwrap_or(default.retry_allowance),
            stop_grace_ms: seconds_or(self.stop_grace_s, default.stop_grace_ms),
            regions: self.regions.clone(),
            cold_bound: self.cold_overage.map(|overage| ColdBound {
                overage,
                allowance: self.cold_allowance.unwrap_or_default(),
            }),
            evacuation_bound_ms: self.evacuation_bound_ms.map(|ms| ms as u64),
            orders_contention: rules::has_contention(&self.rules),
            has_organisations: rules::has_organisations(&self.rules),
            is_first_start: self.is_first_start,
        }
    }
}
