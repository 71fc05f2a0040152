//! The HTTP client and listener that all protocols share.

mod body;
mod client;
mod connection;
mod listener;

pub use self::body::read_joined;
pub use self::client::{CallError, HttpCall, HttpClient};
pub use self::listener::Listener;
