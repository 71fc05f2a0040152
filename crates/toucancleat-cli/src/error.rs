//! Why a command failed, and the exit code that says so.

use std::io;
use std::process::ExitCode;

use toucancleat_core::settings::{Change, EditError, Problems};

/// What the exit code of the process says; documented in docs/OPERATING.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
#[non_exhaustive]
pub enum Exit {
    /// The command did what it was asked to do.
    Success = 0,
    /// The command line can't be understood, or a file can't be read.
    Usage = 1,
    /// The settings have problems; nothing was changed.
    Unsound = 2,
    /// Another operator's change came first; nothing was changed.
    Conflict = 3,
    /// The platform or a host couldn't be reached; what is shown is incomplete, or nothing
    /// was changed.
    Unreachable = 4,
    /// What was asked for isn't there.
    NotFound = 5,
    /// It isn't known whether the change was accepted.
    Unknown = 6,
    /// The demonstration saw an answer that breaks a promise.
    Broken = 7,
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct Error(Kind);

#[derive(Debug, thiserror::Error)]
enum Kind {
    #[error("{0}")]
    Usage(String),
    #[error("{origin}:\n{problems}")]
    Problems { origin: String, problems: Problems },
    #[error("{0}")]
    Unsound(String),
    #[error("{0}")]
    Conflict(String),
    #[error("{0}")]
    Unreachable(String),
    #[error("{0}")]
    NotFound(String),
    #[error("{0}")]
    Unknown(String),
    #[error("{0}")]
    Broken(String),
    #[error("can't write the output: {0}")]
    Output(#[from] io::Error),
}

impl Error {
    /// Returns the exit code.
    pub fn exit(&self) -> Exit {
        match &self.0 {
            Kind::Usage(_) | Kind::Output(_) => Exit::Usage,
            Kind::Problems { .. } | Kind::Unsound(_) => Exit::Unsound,
            Kind::Conflict(_) => Exit::Conflict,
            Kind::Unreachable(_) => Exit::Unreachable,
            Kind::NotFound(_) => Exit::NotFound,
            Kind::Unknown(_) => Exit::Unknown,
            Kind::Broken(_) => Exit::Broken,
        }
    }

    /// Says whether the reader of the output has gone, as `head` does.
    pub fn is_broken_pipe(&self) -> bool {
        matches!(&self.0, Kind::Output(error) if error.kind() == io::ErrorKind::BrokenPipe)
    }

    pub(crate) fn usage(message: String) -> Self {
        Error(Kind::Usage(message))
    }

    pub(crate) fn problems(origin: &str, problems: Problems) -> Self {
        Error(Kind::Problems {
            origin: origin.to_owned(),
            problems,
        })
    }

    pub(crate) fn unsound(message: String) -> Self {
        Error(Kind::Unsound(message))
    }

    pub(crate) fn conflict(message: String) -> Self {
        Error(Kind::Conflict(message))
    }

    pub(crate) fn conflict_with(other: Option<&Change>) -> Self {
        let message = match other {
            Some(other) => format!(
                "nothing was changed: revision {} came first, by {}, with\n{}",
                other.revision,
                other.author,
                crate::settings::edit_lines(&other.edits).join("\n"),
            ),
            None => "nothing was changed: another change came first".to_owned(),
        };
        Error(Kind::Conflict(message))
    }

    pub(crate) fn unreachable(message: String) -> Self {
        Error(Kind::Unreachable(message))
    }

    pub(crate) fn not_found(message: String) -> Self {
        Error(Kind::NotFound(message))
    }

    pub(crate) fn broken(message: String) -> Self {
        Error(Kind::Broken(message))
    }

    pub(crate) fn unknown(message: String) -> Self {
        Error(Kind::Unknown(message))
    }
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Error(Kind::Output(error))
    }
}

impl From<EditError> for Error {
    fn from(error: EditError) -> Self {
        Error(Kind::Unsound(error.to_string()))
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}
