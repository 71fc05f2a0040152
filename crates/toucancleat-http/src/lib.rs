//! Bounds on what a connection may receive before the answer to a request.
//!
//! The HTTP library bounds the size of each head, but reads interim answers (1xx) as fast as they come, however
//! many. A faulty target that sends them without end would keep a thread busy, and with it all other
//! connections. [`HeadBoundedStream`] is placed between a socket and the library:
//!
//! ```no_run
//! # async fn connect(address: std::net::SocketAddr) -> std::io::Result<()> {
//! use std::sync::Arc;
//! use toucancleat_http::{HeadBoundedStream, HeadProgress};
//!
//! let stream = tokio::net::TcpStream::connect(address).await?;
//! let progress = Arc::new(HeadProgress::default());
//! let stream = HeadBoundedStream::new(stream, progress.clone());
//! // The library reads the head of an answer from `stream`, and fails if it exceeds the bounds.
//! progress.record_head();
//! # drop(stream);
//! # Ok(())
//! # }
//! ```

mod head_bound;
mod interim;

pub use self::head_bound::{HEAD_MAX_BYTES, HeadBoundedStream, HeadProgress};
pub use self::interim::INTERIM_ANSWERS_MAX;
