//! The errors that keep the daemon from starting.

use std::net::SocketAddr;

/// An error that keeps the daemon from running.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct Error(#[from] Kind);

#[derive(Debug, thiserror::Error)]
enum Kind {
    #[error("could not read the settings: {0}")]
    Read(std::io::Error),
    #[error("invalid settings (JSON with comments): {0}")]
    Settings(String),
    #[error("could not listen at {address}: {error}")]
    Listen {
        address: SocketAddr,
        error: std::io::Error,
    },
    #[error("could not listen for signals: {0}")]
    Signal(std::io::Error),
}

impl Error {
    pub(crate) fn read(error: std::io::Error) -> Self {
        Error(Kind::Read(error))
    }

    pub(crate) fn settings(problem: impl ToString) -> Self {
        Error(Kind::Settings(problem.to_string()))
    }

    pub(crate) fn listen(address: SocketAddr, error: std::io::Error) -> Self {
        Error(Kind::Listen { address, error })
    }

    pub(crate) fn signal(error: std::io::Error) -> Self {
        Error(Kind::Signal(error))
    }
}
