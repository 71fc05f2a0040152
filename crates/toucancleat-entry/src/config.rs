//! The configuration file of a process: addresses, zone, platform and keys.
//!
//! It is separate from the settings tree, which all entry hosts share. See
//! docs/SETTINGS.md, "The file of a process".

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use toucancleat_core::prelude::*;
use toucancleat_core::settings::document;

use crate::error::Error;

/// Default bound on the time that a planned stop waits for running requests.
const DRAIN_TIMEOUT_MS: u64 = 900_000;
/// Default bound on the requests in progress at once.
const REQUESTS_MAX: usize = 20_000;
/// Default timeout for receiving the body of a request.
const BODY_TIMEOUT_MS: u64 = 30_000;
/// Default bound on the tokens that are buffered for one slow caller.
const STREAM_BUFFER_TOKENS: usize = 64;

/// The configuration of one entry host.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of the host, unique in the fleet.
    pub host: HostName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Address at which callers connect.
    pub callers_address: SocketAddr,
    /// Address at which other entry hosts connect.
    pub peers_address: SocketAddr,
    /// Address at which operators and the metrics reader connect.
    pub operators_address: SocketAddr,
    /// Address of the platform's services.
    pub platform_address: SocketAddr,
    /// The key with which entry hosts authenticate to each other.
    pub peer_key: String,
    /// The key under which cursors are sealed; the same at all entry hosts.
    pub cursor_key: String,
    /// The key that operators present; with `None` the operators' port requires no
    /// authentication.
    #[serde(default)]
    pub operator_key: Option<String>,
    /// Bound on the time that a planned stop waits for running requests.
    #[serde(default = "drain_timeout_ms")]
    pub drain_timeout_ms: u64,
    /// Bound on the requests in progress at once.
    #[serde(default = "requests_max")]
    pub requests_max: usize,
    /// Timeout for receiving the body of a request.
    #[serde(default = "body_timeout_ms")]
    pub body_timeout_ms: u64,
    /// Bound on the tokens that are buffered for one slow caller; while it is reached,
    /// the target's stream is not read.
    #[serde(default = "stream_buffer_tokens")]
    pub stream_buffer_tokens: usize,
}

impl Config {
    /// Creates a configuration on loopback whose ports are all chosen by the system, for
    /// tests and the demonstration.
    pub fn loopback(host: &str, zone: &str, platform_address: SocketAddr) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Config {
            host: HostName::new(host),
            zone: ZoneName::new(zone),
            callers_address: any_port,
            peers_address: any_port,
            operators_address: any_port,
            platform_address,
            peer_key: "loopback-peer-key".to_owned(),
            cursor_key: "loopback-cursor-key".to_owned(),
            operator_key: None,
            drain_timeout_ms: DRAIN_TIMEOUT_MS,
            requests_max: REQUESTS_MAX,
            body_timeout_ms: BODY_TIMEOUT_MS,
            stream_buffer_tokens: STREAM_BUFFER_TOKENS,
        }
    }

    /// Reads a configuration from JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns an error that lists every problem with its line and column.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let config: Config = document::read(text)
            .map_err(|problems| Error::config(problems.to_string()))?;
        config.check()?;
        Ok(config)
    }

    /// Reads a configuration from a file.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Config::parse`], or an error if the file can't be read.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::config(format!("{}: {error}", path.display())))?;
        Config::parse(&text)
            .map_err(|error| Error::config(format!("{}: {error}", path.display())))
    }

    fn check(&self) -> Result<(), Error> {
        let required = [
            ("host", self.host.as_str()),
            ("zone", self.zone.as_str()),
            ("peer_key", self.peer_key.as_str()),
            ("cursor_key", self.cursor_key.as_str()),
        ];
        for (name, value) in required {
            if value.is_empty() {
                return Err(Error::config(format!("field {name} must not be empty")));
            }
        }
        if self.requests_max == 0 || self.stream_buffer_tokens == 0 {
            let message = "requests_max and stream_buffer_tokens must be at least 1";
            return Err(Error::config(message.to_owned()));
        }
        Ok(())
    }
}

fn drain_timeout_ms() -> u64 {
    DRAIN_TIMEOUT_MS
}

fn requests_max() -> usize {
    REQUESTS_MAX
}

fn body_timeout_ms() -> u64 {
    BODY_TIMEOUT_MS
}

fn stream_buffer_tokens() -> usize {
    STREAM_BUFFER_TOKENS
}
