//! HTTP plumbing that the dialects share.

mod client;
mod listener;

pub use self::client::{Call, CallError, HttpClient};
pub use self::listener::Listener;
