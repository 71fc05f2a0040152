//! An entry host as a process of its own.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use serde::Deserialize;
use serde_json::json;

static FILE_COUNT: AtomicU32 = AtomicU32::new(0);

/// A running entry host; dropping it kills the process.
#[derive(Debug)]
pub struct HostProcess {
    child: Child,
    file: PathBuf,
    pub callers_address: SocketAddr,
    pub operators_address: SocketAddr,
}

/// Signals that the tests send.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    Terminate,
    Stop,
    Continue,
}

#[derive(Deserialize)]
struct Addresses {
    callers_address: SocketAddr,
    operators_address: SocketAddr,
}

impl HostProcess {
    /// Starts an entry host and waits until its ports are open.
    pub fn start(name: &str, zone: &str, platform: SocketAddr) -> HostProcess {
        let config = json!({
            "host": name,
            "zone": zone,
            "callers_address": "127.0.0.1:0",
            "peers_address": "127.0.0.1:0",
            "operators_address": "127.0.0.1:0",
            "platform_address": platform.to_string(),
            "peer_key": "test-peer-key",
            "cursor_key": "test-cursor-key",
        });
        HostProcess::start_with(&config.to_string())
    }

    /// Starts an entry host with the text of its configuration file.
    pub fn start_with(config: &str) -> HostProcess {
        let file = write_file(config);
        let mut child = Command::new(env!("CARGO_BIN_EXE_toucancleat-entry"))
            .arg("--config")
            .arg(&file)
            .env("TOUCANCLEAT_LOG", "warn")
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let stdout = child.stdout.take().expect("the output is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("the daemon prints its addresses");
        let addresses: Addresses =
            serde_json::from_str(&line).expect("a line of addresses");
        HostProcess {
            child,
            file,
            callers_address: addresses.callers_address,
            operators_address: addresses.operators_address,
        }
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        // The process may have exited by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = rustix::process::Pid::from_child(&self.child);
        let signal = match signal {
            Signal::Terminate => rustix::process::Signal::TERM,
            Signal::Stop => rustix::process::Signal::STOP,
            Signal::Continue => rustix::process::Signal::CONT,
        };
        rustix::process::kill_process(pid, signal).expect("the process exists");
    }

    /// Returns the exit status if the process has exited.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child
            .try_wait()
            .expect("the process can be waited for")
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.file);
    }
}

fn write_file(text: &str) -> PathBuf {
    let number = FILE_COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("entry-{}-{number}.jsonc", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let mut file =
        std::fs::File::create(&path).expect("the folder for tests is writable");
    file.write_all(text.as_bytes())
        .expect("the file is writable");
    path
}
