//! The binary `toucancleat`.

use std::process::ExitCode;

use toucancleat_cli::{Exit, options, run};

#[tokio::main]
async fn main() -> ExitCode {
    match run(options().run()).await {
        Ok(()) => Exit::Success.into(),
        Err(error) => {
            if !error.is_broken_pipe() {
                eprintln!("toucancleat: {error}");
            }
            error.exit().into()
        }
    }
}
