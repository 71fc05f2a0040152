//! Implements the operators' command as a library for the binary `toucancleat`.
//!
//! Each command is a function that takes typed options and returns an [`Error`] when it fails;
//! the binary turns the error into the exit code. See docs/OPERATING.md, "The command".

mod connection;
mod demo;
mod error;
mod fleet;
mod options;
mod output;
mod settings;
mod targets;
mod timeline;

pub use self::error::{Error, ExitStatus};
pub use self::options::{Options, options};

use self::options::Command;
use self::output::Output;

/// Runs one command.
///
/// # Errors
///
/// Returns the reason for a failure; [`Error::exit_status`] gives the exit code.
pub async fn run(options: Options) -> Result<(), Error> {
    match options.command {
        Command::Settings(command) => settings::run(command).await,
        Command::Hosts { connection, format } => {
            fleet::list_hosts(&connection, &Output::stdout(&format)).await
        }
        Command::Targets { connection, format } => {
            targets::list_targets(&connection, &Output::stdout(&format)).await
        }
        Command::Drain {
            connection,
            format,
            host,
        } => fleet::drain_host(&connection, &Output::stdout(&format), &host).await,
        Command::Timeline {
            connection,
            format,
            view,
        } => timeline::show_records(&connection, &Output::stdout(&format), &view).await,
        Command::Demo { format, view } => {
            demo::run(&Output::stdout(&format), &view).await
        }
        Command::Explain {
            connection,
            format,
            request,
        } => {
            timeline::explain_request(&connection, &Output::stdout(&format), request)
                .await
        }
    }
}
