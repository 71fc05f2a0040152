//! A deployment of real entry host processes before stand-ins, on loopback.

#![allow(
    dead_code,
    reason = "each test binary uses its own part of the harness"
)]

pub mod client;
pub mod deployment;
pub mod process;
pub mod proxied;
pub mod received_answer;
pub mod settings;

use std::future::Future;
use std::time::Duration;

/// Bound after which a condition counts as never reached.
const WAIT_BOUND: Duration = Duration::from_secs(30);
/// Pause between two looks at a condition.
const WAIT_PAUSE: Duration = Duration::from_millis(10);

/// Waits until a condition holds, and fails the test when it never does.
pub async fn wait_until<F, Fut>(what: &str, condition: F)
where
    F: Fn() -> Fut,
    Fut: Future<Output = bool>,
{
    let waited = tokio::time::timeout(WAIT_BOUND, async {
        while !condition().await {
            tokio::time::sleep(WAIT_PAUSE).await;
        }
    });
    assert!(waited.await.is_ok(), "never reached: {what}");
}
