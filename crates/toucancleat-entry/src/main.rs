//! The binary `toucancleat-entry`, which runs one entry host until a signal stops it.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use tokio::signal::unix::{Signal, SignalKind, signal};
use toucancleat_entry::{Config, EntryHost, Error, logging};

/// Exit code for an invalid configuration.
const EXIT_CONFIG: u8 = 2;
/// Exit code for a stop before every request was finished.
const EXIT_UNFINISHED: u8 = 3;

/// Serves as one entry host of toucancleat.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// File of the process: addresses, zone, platform and keys, as JSON with comments.
    #[bpaf(long, short, argument("FILE"))]
    config: PathBuf,
    /// Check the file and exit.
    check: bool,
}

fn main() -> ExitCode {
    let options = options().run();
    let config = match Config::read(&options.config) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_CONFIG);
        }
    };
    if options.check {
        return ExitCode::SUCCESS;
    }
    logging::start(config.host.as_str());
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    match runtime.map(|runtime| runtime.block_on(run(config))) {
        Ok(Ok(true)) => ExitCode::SUCCESS,
        Ok(Ok(false)) => ExitCode::from(EXIT_UNFINISHED),
        Ok(Err(error)) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
        Err(error) => {
            log::error!("the async runtime could not be started; exiting: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Serves until SIGTERM; returns true if every request was finished.
async fn run(config: Config) -> Result<bool, Error> {
    let signals = SignalKind::terminate();
    let mut terminate =
        signal(signals).map_err(|error| Error::listen("the signal handler", error))?;
    let host = EntryHost::start(config).await?;
    print_addresses(&host);
    terminate.recv().await;
    Ok(tokio::select! {
        finished = host.drain() => finished,
        () = next_signal(&mut terminate) => {
            log::warn!("received a second termination signal; exiting at once");
            false
        }
    })
}

async fn next_signal(terminate: &mut Signal) {
    terminate.recv().await;
}

/// Prints the bound addresses, which are otherwise unknown where the system chose the
/// ports.
#[allow(clippy::print_stdout, reason = "the line is the program's output")]
fn print_addresses(host: &EntryHost) {
    println!(
        "{{\"callers_address\":\"{}\",\"operators_address\":\"{}\"}}",
        host.callers_address(),
        host.operators_address()
    );
}
