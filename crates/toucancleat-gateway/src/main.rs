//! The binary `toucancleat-gateway`, which runs one entry host.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;

/// Environment variable with the path of the settings.
const SETTINGS_VARIABLE: &str = "TOUCANCLEAT_CONFIG";

/// Runs an entry host on the users' platform.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Path of the settings, JSON with comments
    #[bpaf(argument("PATH"), env(SETTINGS_VARIABLE))]
    settings: PathBuf,
    /// Port at which metrics are served, at the address of the callers
    #[bpaf(argument("PORT"))]
    metrics_port: Option<u16>,
    /// Only read and check the settings
    check: bool,
}

fn main() -> ExitCode {
    let options = options().run();
    if options.check {
        return match toucancleat_gateway::Settings::read(&options.settings) {
            Ok(_) => ExitCode::SUCCESS,
            Err(error) => fail(&error),
        };
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    let tasks = tokio::task::LocalSet::new();
    let host = toucancleat_gateway::run(&options.settings, options.metrics_port);
    match tasks.block_on(&runtime, host) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

#[expect(clippy::print_stderr, reason = "the log may not have been started yet")]
fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("toucancleat-gateway: {error}");
    ExitCode::FAILURE
}
