//! What can keep a daemon from starting or running.

use std::io;

/// An error of the daemon itself; a caller's error is a
/// [`Refusal`](toucancleat_core::refusal::Refusal).
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct Error(Kind);

#[derive(Debug, thiserror::Error)]
enum Kind {
    #[error("the configuration can't be used: {0}")]
    Config(String),
    #[error("{what} can't be opened: {source}")]
    Listen {
        what: &'static str,
        source: io::Error,
    },
    #[error(transparent)]
    Peers(toucancleat_wire::StartError),
    #[error("{what}: {detail}")]
    Platform { what: &'static str, detail: String },
}

impl Error {
    /// Makes an error about the process's own file.
    pub fn config(detail: String) -> Self {
        Error(Kind::Config(detail))
    }

    /// Makes an error about a port that can't be opened.
    pub fn listen(what: &'static str, source: io::Error) -> Self {
        Error(Kind::Listen { what, source })
    }

    /// Makes an error about the peers' port.
    pub(crate) fn peers(error: toucancleat_wire::StartError) -> Self {
        Error(Kind::Peers(error))
    }

    /// Makes an error about the platform.
    pub fn platform(what: &'static str, detail: String) -> Self {
        Error(Kind::Platform { what, detail })
    }

    /// Says whether the configuration is at fault, so that starting again can't help.
    pub fn is_config(&self) -> bool {
        matches!(self.0, Kind::Config(_))
    }
}
