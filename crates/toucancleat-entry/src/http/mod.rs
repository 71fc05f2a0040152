//! The HTTP client and listener that all protocols share.

mod client;
mod listener;

pub use self::client::{CallError, HttpCall, HttpClient};
pub use self::listener::Listener;
