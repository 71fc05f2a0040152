//! The settings of one process.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::settings::Config;

use crate::Error;

/// Settings of one process, JSON with comments; docs/SETTINGS.md lists them.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Settings {
    /// Name of this entry host.
    pub host: HostName,
    /// Its availability zone.
    pub availability_zone: ZoneName,
    /// Where callers connect.
    pub callers_address: SocketAddr,
    /// Where the platform asks whether the host is ready.
    pub readiness_address: SocketAddr,
    /// Where other entry hosts send messages.
    pub peers_address: SocketAddr,
    /// Where other entry hosts may be found.
    #[serde(default)]
    pub seed_addresses: Vec<SocketAddr>,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// Time after a key was withdrawn from which no request with it may be sent on.
    pub revocation_bound_ms: Option<f64>,
    /// Retries for each request, over all hosts.
    pub retry_ratio: Option<f64>,
    /// Span over which retries are counted.
    pub retry_window_s: Option<f64>,
    /// Retries beside the ratio, over all hosts.
    pub retry_allowance: Option<f64>,
    /// Time from the request to stop until the process is ended by force.
    pub stop_grace_s: Option<f64>,
    /// Memory that the process may use.
    pub memory_max_mb: Option<f64>,
}

/// Memory of a process whose settings leave it out: that of a small machine.
const MEMORY_DEFAULT_MB: f64 = 128.0;

/// Share of the memory that the bodies of all requests may take together; answers, buffers
/// of connections and what the host knows have to fit in the rest.
const BODIES_SHARE: f64 = 0.25;

impl Settings {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(Error::read)?;
        Settings::parse(&text)
    }

    /// Reads and checks a text.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let options = jsonc_parser::ParseOptions::default();
        let settings: Settings = jsonc_parser::parse_to_serde_value(text, &options)
            .map_err(Error::settings)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), Error> {
        let figures = [
            ("revocation_bound_ms", self.revocation_bound_ms),
            ("retry_ratio", self.retry_ratio),
            ("retry_window_s", self.retry_window_s),
            ("retry_allowance", self.retry_allowance),
            ("stop_grace_s", self.stop_grace_s),
            ("memory_max_mb", self.memory_max_mb),
        ];
        for (name, figure) in figures {
            if figure.is_some_and(|figure| !figure.is_finite() || figure < 0.0) {
                return Err(Error::settings(format!("{name} must not be negative")));
            }
        }
        Ok(())
    }

    /// Returns the most bytes that the bodies of all requests may take together.
    pub fn bodies_max_bytes(&self) -> u64 {
        let memory_mb = self.memory_max_mb.unwrap_or(MEMORY_DEFAULT_MB);
        (BODIES_SHARE * memory_mb * 1e6) as u64
    }

    /// Returns the figures that decisions depend on.
    pub fn fleet_config(&self) -> Config {
        let default = Config::default();
        let ms = |figure: Option<f64>, default| figure.map_or(default, |ms| ms as u64);
        let s = |figure: Option<f64>, default| {
            figure.map_or(default, |seconds| (seconds * 1_000.0) as u64)
        };
        Config {
            revocation_bound_ms: ms(
                self.revocation_bound_ms,
                default.revocation_bound_ms,
            ),
            retry_ratio: self.retry_ratio.unwrap_or(default.retry_ratio),
            retry_window_ms: s(self.retry_window_s, default.retry_window_ms),
            retry_allowance: self.retry_allowance.unwrap_or(default.retry_allowance),
            stop_grace_ms: s(self.stop_grace_s, default.stop_grace_ms),
        }
    }
}
