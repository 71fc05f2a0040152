//! One proxied connection.

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

/// The largest piece that is forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// The pieces that may be under way in one direction while they are delayed.
const QUEUE_CHUNKS: usize = 64;

/// How a request begins that may do something.
const POST: &[u8] = b"POST ";

/// Bytes that are due at the other side, or their end.
struct Chunk {
    due: Instant,
    bytes: Option<Bytes>,
}

/// Forwards a connection until both sides have ended, or resets it on a cut.
pub(super) async fn forward(shared: Arc<Shared>, mut client: TcpStream) {
    let mut cuts = shared.cuts.subscribe();
    cuts.mark_unchanged();
    let Ok(mut upstream) = TcpStream::connect(shared.upstream()).await else {
        reset(&client);
        return;
    };
    // Without this the proxy would add its own delay to small events.
    let _ = client.set_nodelay(true).and(upstream.set_nodelay(true));
    let (client_read, client_write) = client.split();
    let (upstream_read, upstream_write) = upstream.split();
    let has_posted = AtomicBool::new(false);
    let to_upstream = Pump::new(&shared, Direction::ToUpstream, &has_posted);
    let to_client = Pump::new(&shared, Direction::ToClient, &has_posted);
    let ended = tokio::select! {
        ended = async {
            tokio::try_join!(
                to_upstream.run(client_read, upstream_write),
                to_client.run(upstream_read, client_write),
            )
        } => ended.is_ok(),
        _ = cuts.changed() => false,
    };
    if !ended {
        reset(&client);
        reset(&upstream);
    }
}

/// Makes the stream's end a reset in place of a regular close.
fn reset(stream: &TcpStream) {
    // A stream that is already broken needs no reset.
    let _ = stream.set_zero_linger();
}

/// One direction of a connection.
struct Pump<'a> {
    shared: &'a Shared,
    direction: Direction,
    /// Whether a request with the method `POST` came on the connection.
    has_posted: &'a AtomicBool,
}

impl<'a> Pump<'a> {
    fn new(
        shared: &'a Shared,
        direction: Direction,
        has_posted: &'a AtomicBool,
    ) -> Pump<'a> {
        Pump {
            shared,
            direction,
            has_posted,
        }
    }

    /// Forwards bytes until the source ends; an error stands for a broken side.
    ///
    /// A stalled or half-open link hides the end of a side as it hides its bytes.
    async fn run(&self, source: ReadHalf<'_>, sink: WriteHalf<'_>) -> io::Result<()> {
        let result = self.forward(source, sink).await;
        if result.is_err() {
            self.wait_until(ProxyFaults::is_clear).await;
        }
        result
    }

    async fn forward(&self, source: ReadHalf<'_>, sink: WriteHalf<'_>) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel(QUEUE_CHUNKS);
        let half_close = self.half_closed();
        tokio::pin!(half_close);
        let read = async {
            tokio::select! {
                result = self.read(source, &sender) => result,
                () = &mut half_close => Ok(()),
            }?;
            let end = Chunk {
                due: self.due(),
                bytes: None,
            };
            // The writer is gone only after an error, which is reported by itself.
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
            if self.direction == Direction::ToUpstream && buffer.starts_with(POST) {
                self.has_posted.store(true, Ordering::SeqCst);
            }
            let chunk = Chunk {
                due: self.due(),
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
        let mut budget_bytes = None;
        while let Some(chunk) = receiver.recv().await {
            tokio::time::sleep_until(chunk.due).await;
            self.wait_until(|faults| !faults.link(self.direction).stall)
                .await;
            let Some(mut bytes) = chunk.bytes else {
                return sink.shutdown().await;
            };
            if self.direction == Direction::ToClient && budget_bytes.is_none() {
                let has_posted = self.has_posted.load(Ordering::SeqCst);
                budget_bytes = self.shared.take_cut_reply(has_posted);
            }
            if let Some(budget_bytes) = &mut budget_bytes {
                bytes.truncate(usize::try_from(*budget_bytes).unwrap_or(usize::MAX));
                *budget_bytes -= bytes.len() as u64;
            }
            self.shared.count(self.direction, bytes.len());
            sink.write_all(&bytes).await?;
            if budget_bytes == Some(0) {
                return Err(io::Error::other("reply cut by a fault"));
            }
        }
        Ok(())
    }

    fn due(&self) -> Instant {
        let delay_ms = self.shared.faults().link(self.direction).delay_ms;
        Instant::now() + Duration::from_millis(delay_ms)
    }

    async fn wait_until(&self, condition: impl Fn(&ProxyFaults) -> bool) {
        let mut faults = self.shared.faults.subscribe();
        // The sender lives as long as the connection's proxy.
        let _ = faults.wait_for(condition).await;
    }

    async fn half_closed(&self) {
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
