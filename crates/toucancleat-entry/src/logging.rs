//! Writes logs as JSON lines to standard error.

use std::io::Write;

/// Environment variable that sets the log level, such as `info` or
/// `toucancleat_entry=debug`.
const LEVEL_VARIABLE: &str = "TOUCANCLEAT_LOG";

/// Starts logging for the process; a second call has no effect.
pub fn start(process: &str) {
    let process = process.to_owned();
    let env = env_logger::Env::new().filter_or(LEVEL_VARIABLE, "info,volo_http=warn");
    let result = env_logger::Builder::from_env(env)
        .format(move |out, record| {
            writeln!(out, "{}", toucancleat_log::format_line(&process, record))
        })
        .try_init();
    drop(result);
}
