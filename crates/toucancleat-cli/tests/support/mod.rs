//! Runs the operators' command as a process and provides files to it.

#![allow(dead_code, reason = "each test binary uses a part of these helpers")]

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use serde_json::Value;

/// The exit code and the output of the command.
#[derive(Clone, Debug)]
pub struct CommandOutput {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl CommandOutput {
    /// Decodes the standard output as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|e| panic!("{e}: {self:?}"))
    }

    /// Fails the test unless the command exited with this code.
    pub fn expect(self, code: i32) -> CommandOutput {
        assert_eq!(self.code, code, "{self:?}");
        self
    }
}

/// Runs the command and waits for it on a blocking thread, so that hosts in this process
/// keep running.
pub async fn run(platform: Option<SocketAddr>, arguments: &[&str]) -> CommandOutput {
    let mut command = Command::new(env!("CARGO_BIN_EXE_toucancleat"));
    command
        .args(arguments)
        .env("USER", "asa")
        .stdin(Stdio::null());
    command
        .env_remove("TOUCANCLEAT_PLATFORM")
        .env_remove("TOUCANCLEAT_OPERATOR_KEY");
    if let Some(platform) = platform {
        command.env("TOUCANCLEAT_PLATFORM", platform.to_string());
    }
    let output = tokio::task::spawn_blocking(move || command.output()).await;
    let output = output
        .expect("the thread ends")
        .expect("the command starts");
    CommandOutput {
        code: output.status.code().unwrap_or(-1),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// Returns the path of a shipped sample.
pub fn sample(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../samples")
        .join(name);
    path.display().to_string()
}

/// Writes a file for one test. Tests run concurrently, so each must use unique names.
pub fn file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the target directory can be written");
    path
}
