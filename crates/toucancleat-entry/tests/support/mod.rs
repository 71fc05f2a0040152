//! A test harness that runs real entry host processes and stand-ins on loopback.

#![allow(
    dead_code,
    reason = "each test binary uses its own part of the harness"
)]

pub mod client;
pub mod deployment;
pub mod process;
pub mod proxied;
pub mod raw_service;
pub mod received_answer;
pub mod settings;

use std::future::Future;
use std::time::Duration;

/// Timeout for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until a condition holds, and fails the test on a timeout.
pub async fn wait_until<F, Fut>(description: &str, condition: F)
where
    F: Fn() -> Fut,
    Fut: Future<Output = bool>,
{
    let waited = tokio::time::timeout(WAIT_TIMEOUT, async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
    assert!(waited.await.is_ok(), "timed out waiting for: {description}");
}
