//! Stand-ins of the users' platform and its targets, and a real host process before them.

#![allow(dead_code, reason = "each test uses a part of this")]
#![allow(clippy::unwrap_used, reason = "a test stops at what it doesn't expect")]

pub mod caller;
pub mod process;
pub mod store;
pub mod target;

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for a condition. It only bounds a test that fails.
pub const WAIT: Duration = Duration::from_secs(20);

/// Returns an address at which nothing listens.
pub fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Waits until a condition holds.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let waited = tokio::time::timeout(WAIT, async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    waited
        .await
        .unwrap_or_else(|_| panic!("never reached: {what}"));
}

/// Runs a test on one thread.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}
