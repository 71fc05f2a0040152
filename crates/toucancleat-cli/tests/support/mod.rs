//! Runs the command against stand-ins.

#![allow(
    dead_code,
    reason = "each test binary uses its own part of the harness"
)]

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use serde_json::Value;

/// What a run of the command gave.
#[derive(Clone, Debug)]
pub struct Run {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl Run {
    /// Returns the standard output as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|e| panic!("{e}: {self:?}"))
    }

    /// Fails the test unless the run had this exit code.
    pub fn expect(self, code: i32) -> Run {
        assert_eq!(self.code, code, "{self:?}");
        self
    }
}

/// Runs the command on a thread of its own, so that in-process hosts go on.
pub async fn run(platform: Option<SocketAddr>, arguments: &[&str]) -> Run {
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
    Run {
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

/// Writes a file for one test; tests run at once, so each needs names of its own.
pub fn file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the target directory can be written");
    path
}
