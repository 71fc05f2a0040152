//! The operators' command, as a library behind the binary `toucancleat`.
//!
//! Every command is a function from typed options to an [`Error`] or nothing; the binary
//! turns the error into the exit code. See docs/OPERATING.md, "The command".

mod connection;
mod demo;
mod error;
mod fleet;
mod options;
mod output;
mod settings;
mod targets;
mod timeline;

pub use self::error::{Error, Exit};
pub use self::options::{Options, options};

use self::options::Command;
use self::output::Output;

/// Carries out one command.
///
/// # Errors
///
/// Returns an error that knows the exit code of the process.
pub async fn run(options: Options) -> Result<(), Error> {
    match options.command {
        Command::Settings(command) => settings::run(command).await,
        Command::Hosts { connection, format } => {
            fleet::hosts(&connection, &Output::stdout(&format)).await
        }
        Command::Targets { connection, format } => {
            targets::list(&connection, &Output::stdout(&format)).await
        }
        Command::Drain {
            connection,
            format,
            host,
        } => fleet::drain(&connection, &Output::stdout(&format), &host).await,
        Command::Timeline {
            connection,
            format,
            view,
        } => timeline::show(&connection, &Output::stdout(&format), &view).await,
        Command::Demo { format, view } => {
            demo::run(&Output::stdout(&format), &view).await
        }
        Command::Explain {
            connection,
            format,
            request,
        } => timeline::explain(&connection, &Output::stdout(&format), request).await,
    }
}
