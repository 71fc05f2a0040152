//! Forwarding of one proxied connection.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::Shared;
use super::faults::{Direction, ProxyFaults};

/// Maximum size of a chunk that is forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Maximum number of chunks in flight in one direction while they are delayed.
const MAX_QUEUED_CHUNKS: usize = 64;

/// First bytes of a request that may have an effect.
const POST_PREFIX: &[u8] = b"POST ";

/// Bytes to deliver at a time, or the end of the stream.
struct Chunk {
    due_at: Instant,
    /// `None` is the end of the stream.
    bytes: Option<Bytes>,
}

/// Forwards a connection until both sides have closed it, or resets it on a cut.
pub(super) async fn forward(shared: Arc<Shared>, mut client: TcpStream) {
    let mut cuts = shared.cuts.subscribe();
    cuts.mark_unchanged();
    let Ok(mut upstream) = TcpStream::connect(shared.upstream()).await else {
        reset(&client);
        return;
    };
    // With Nagle's algorithm the proxy would delay small events.
    let _ = client.set_nodelay(true).and(upstream.set_nodelay(true));
    let (client_read, client_write) = client.split();
    let (upstream_read, upstream_write) = upstream.split();
    let has_post_request = AtomicBool::new(false);
    let to_upstream =
        LinkForwarder::new(&shared, Direction::ToUpstream, &has_post_request);
    let to_client = LinkForwarder::new(&shared, Direction::ToClient, &has_post_request);
    let is_orderly_end = tokio::select! {
        result = async {
            tokio::try_join!(
                to_upstream.run(client_read, upstream_write),
                to_client.run(upstream_read, client_write),
            )
        } => result.is_ok(),
        _ = cuts.changed() => false,
    };
    if !is_orderly_end {
        reset(&client);
        reset(&upstream);
    }
}

/// Makes closing the stream send a reset instead of an orderly shutdown.
fn reset(stream: &TcpStream) {
    // This fails only if the connection is already broken.
    let _ = stream.set_zero_linger();
}

/// One direction of a connection.
struct LinkForwarder<'a> {
    shared: &'a Shared,
    direction: Direction,
    /// Whether a `POST` request was received on the connection.
    has_post_request: &'a AtomicBool,
}

impl<'a> LinkForwarder<'a> {
    fn new(
        shared: &'a Shared,
        direction: Direction,
        has_post_request: &'a AtomicBool,
    ) -> LinkForwarder<'a> {
        LinkForwarder {
            shared,
            direction,
            has_post_request,
        }
    }

    /// Forwards bytes until the source ends. Returns an error if either side breaks or a
    /// fault cuts the reply.
    ///
    /// A stalled or half-open link hides the close of a side as it hides its bytes.
    async fn run(&self, source: ReadHalf<'_>, sink: WriteHalf<'_>) -> io::Result<()> {
        let result = self.forward(source, sink).await;
        if result.is_err() {
            self.wait_until(ProxyFaults::shows_connection_ends).await;
        }
        result
    }

    async fn forward(&self, source: ReadHalf<'_>, sink: WriteHalf<'_>) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let half_close = self.wait_for_half_close();
        tokio::pin!(half_close);
        let read = async {
            tokio::select! {
                result = self.read(source, &sender) => result,
                () = &mut half_close => Ok(()),
            }?;
            let end = Chunk {
                due_at: self.delivery_time(),
                bytes: None,
            };
            // The receiver is dropped only after a write error, which `write` returns.
            let _ = sender.send(end).await;
            Ok(())
        };
        tokio::try_join!(read, self.write(sink, receiver)).map(|_| ())
    }

    async fn read(
        &self,
        mut source: ReadHalf<'_>,
        sender: &mpsc::Sender<Chunk>,
    ) -> io::Result<()> {
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            let length = source.read(&mut buffer).await?;
            if length == 0 {
                self.wait_until(|faults| !faults.link(self.direction).discard)
                    .await;
                return Ok(());
            }
            if self.shared.faults().link(self.direction).discard {
                self.shared.state().records.discarded_bytes += length as u64;
                continue;
            }
            if self.direction == Direction::ToUpstream && buffer.starts_with(POST_PREFIX)
            {
                self.has_post_request.store(true, Ordering::SeqCst);
            }
            let chunk = Chunk {
                due_at: self.delivery_time(),
                bytes: Some(Bytes::copy_from_slice(&buffer[..length])),
            };
            if sender.send(chunk).await.is_err() {
                return Ok(());
            }
        }
    }

    async fn write(
        &self,
        mut sink: WriteHalf<'_>,
        mut receiver: mpsc::Receiver<Chunk>,
    ) -> io::Result<()> {
        let mut remaining_bytes = None;
        while let Some(chunk) = receiver.recv().await {
            tokio::time::sleep_until(chunk.due_at).await;
            self.wait_until(|faults| !faults.link(self.direction).stall)
                .await;
            let Some(mut bytes) = chunk.bytes else {
                return sink.shutdown().await;
            };
            if self.direction == Direction::ToClient && remaining_bytes.is_none() {
                let has_post_request = self.has_post_request.load(Ordering::SeqCst);
                remaining_bytes = self.shared.take_cut_reply(has_post_request);
            }
            if let Some(remaining_bytes) = &mut remaining_bytes {
                bytes.truncate(usize::try_from(*remaining_bytes).unwrap_or(usize::MAX));
                *remaining_bytes -= bytes.len() as u64;
            }
            self.shared.count_bytes(self.direction, bytes.len());
            sink.write_all(&bytes).await?;
            if remaining_bytes == Some(0) {
                return Err(io::Error::other("reply cut by a fault"));
            }
        }
        Ok(())
    }

    /// Returns the time at which bytes that are read now are delivered.
    fn delivery_time(&self) -> Instant {
        let delay_ms = self.shared.faults().link(self.direction).delay_ms;
        Instant::now() + Duration::from_millis(delay_ms)
    }

    /// Waits until the faults satisfy a condition.
    async fn wait_until(&self, condition: impl Fn(&ProxyFaults) -> bool) {
        let mut faults = self.shared.faults.subscribe();
        // The proxy, which outlives its connections, holds the sender.
        let _ = faults.wait_for(condition).await;
    }

    /// Waits until a half-close of this direction is requested.
    async fn wait_for_half_close(&self) {
        let mut half_closes = self.shared.half_closes.subscribe();
        loop {
            if half_closes.changed().await.is_err() {
                return;
            }
            if *half_closes.borrow() == Some(self.direction) {
                return;
            }
        }
    }
}
