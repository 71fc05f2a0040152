//! The errors that prevent a daemon from starting, and those of calls to the platform.

use std::io;

/// An error of the daemon itself; a caller's error is a
/// [`Refusal`](toucancleat_core::refusal::Refusal).
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct Error(Kind);

#[derive(Debug, thiserror::Error)]
enum Kind {
    #[error("the configuration is invalid: {0}")]
    Config(String),
    #[error("{resource} could not be opened: {source}")]
    Listen {
        resource: &'static str,
        source: io::Error,
    },
    #[error(transparent)]
    Peers(toucancleat_wire::StartError),
    #[error("{operation}: {detail}")]
    Platform {
        operation: &'static str,
        detail: String,
    },
}

impl Error {
    /// Creates an error about the configuration file of the process.
    pub fn config(detail: String) -> Self {
        Error(Kind::Config(detail))
    }

    /// Creates an error about a port or signal handler that could not be opened.
    pub fn listen(resource: &'static str, source: io::Error) -> Self {
        Error(Kind::Listen { resource, source })
    }

    /// Creates an error about the peers' port.
    pub(crate) fn peers(error: toucancleat_wire::StartError) -> Self {
        Error(Kind::Peers(error))
    }

    /// Creates an error about a call to the platform.
    pub fn platform(operation: &'static str, detail: String) -> Self {
        Error(Kind::Platform { operation, detail })
    }

    /// Returns true if the configuration is invalid, so that a restart can't help.
    pub fn is_config(&self) -> bool {
        matches!(self.0, Kind::Config(_))
    }
}
