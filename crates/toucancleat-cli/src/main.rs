//! Runs the operators' command and exits with its exit code.

use std::process::ExitCode;

use toucancleat_cli::{ExitStatus, options, run};

#[tokio::main]
async fn main() -> ExitCode {
    match run(options().run()).await {
        Ok(()) => ExitStatus::Success.into(),
        Err(error) => {
            if !error.is_broken_pipe() {
                eprintln!("toucancleat: {error}");
            }
            error.exit_status().into()
        }
    }
}
