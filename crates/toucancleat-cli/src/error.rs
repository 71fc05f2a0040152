//! Defines the errors of the commands and their exit codes.

use std::io;
use std::process::ExitCode;

use toucancleat_core::settings::{Change, EditError, Problems};

/// The exit code of the process; documented in docs/OPERATING.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
#[non_exhaustive]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The command line is invalid, a file can't be read or written, or the output can't be
    /// written.
    Usage = 1,
    /// The settings have problems; nothing was changed.
    InvalidSettings = 2,
    /// Another operator's change was accepted first; nothing was changed.
    Conflict = 3,
    /// The platform or a host couldn't be reached; the output is incomplete, or nothing was
    /// changed.
    Unreachable = 4,
    /// The requested item doesn't exist.
    NotFound = 5,
    /// It isn't known whether the change was accepted.
    OutcomeUnknown = 6,
    /// The demonstration found a violated guarantee: an incorrect answer, a request without an
    /// answer or a booking that ran twice.
    GuaranteeViolated = 7,
}

/// The reason for the failure of a command.
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
    InvalidSettings(String),
    #[error("{0}")]
    Conflict(String),
    #[error("{0}")]
    Unreachable(String),
    #[error("{0}")]
    NotFound(String),
    #[error("{0}")]
    OutcomeUnknown(String),
    #[error("{0}")]
    GuaranteeViolated(String),
    #[error("could not write the output: {0}")]
    Output(#[from] io::Error),
}

impl Error {
    /// Returns the exit code.
    pub fn exit_status(&self) -> ExitStatus {
        match &self.0 {
            Kind::Usage(_) | Kind::Output(_) => ExitStatus::Usage,
            Kind::Problems { .. } | Kind::InvalidSettings(_) => {
                ExitStatus::InvalidSettings
            }
            Kind::Conflict(_) => ExitStatus::Conflict,
            Kind::Unreachable(_) => ExitStatus::Unreachable,
            Kind::NotFound(_) => ExitStatus::NotFound,
            Kind::OutcomeUnknown(_) => ExitStatus::OutcomeUnknown,
            Kind::GuaranteeViolated(_) => ExitStatus::GuaranteeViolated,
        }
    }

    /// Returns true if the reader of the output has closed it, as `head` does.
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

    pub(crate) fn invalid_settings(message: String) -> Self {
        Error(Kind::InvalidSettings(message))
    }

    pub(crate) fn conflict(message: String) -> Self {
        Error(Kind::Conflict(message))
    }

    pub(crate) fn conflict_with_change(other: Option<&Change>) -> Self {
        let message = match other {
            Some(other) => format!(
                "nothing was changed: revision {} came first, by {}, with\n{}",
                other.revision,
                other.author,
                crate::settings::format_edits(&other.edits).join("\n"),
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

    pub(crate) fn guarantee_violated(message: String) -> Self {
        Error(Kind::GuaranteeViolated(message))
    }

    pub(crate) fn outcome_unknown(message: String) -> Self {
        Error(Kind::OutcomeUnknown(message))
    }
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Error(Kind::Output(error))
    }
}

impl From<EditError> for Error {
    fn from(error: EditError) -> Self {
        Error(Kind::InvalidSettings(error.to_string()))
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(exit: ExitStatus) -> Self {
        ExitCode::from(exit as u8)
    }
}
