//! A server on a thread and runtime of its own.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};

use tokio::runtime;
use tokio::sync::watch;
use volo::net::incoming::DefaultIncoming;
use volo_http::server::{Router, Server};

/// Ends a server from within or without.
#[derive(Clone, Debug)]
pub(crate) struct Stop(watch::Sender<bool>);

impl Stop {
    /// Makes a switch that is not yet set.
    pub(crate) fn new() -> Stop {
        Stop(watch::Sender::new(false))
    }

    /// Ends the server.
    pub(crate) fn set(&self) {
        self.0.send_replace(true);
    }

    /// Ends the server at once: the caller, one of its tasks, goes no further.
    pub(crate) async fn die(&self) -> ! {
        self.set();
        loop {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the server is to end.
    pub(crate) async fn wait(&self) {
        // The sender lives in `self`, so the wait can't fail.
        let _ = self.0.subscribe().wait_for(|stopped| *stopped).await;
    }
}

/// A running server, which ends when this is dropped.
///
/// The runtime belongs to the thread: when the thread ends, every task and socket of the
/// server ends with it, so that peers see what they would see of a killed process.
#[derive(Debug)]
pub(crate) struct ServerThread {
    address: SocketAddr,
    stop: Stop,
    ended: watch::Receiver<bool>,
    thread: Option<JoinHandle<()>>,
}

impl ServerThread {
    /// Binds the address and serves what `make_router` returns; `make_router` runs inside
    /// the server's runtime and may start tasks there.
    pub(crate) fn start<F>(
        bind: SocketAddr,
        stop: Stop,
        make_router: F,
    ) -> io::Result<ServerThread>
    where
        F: FnOnce() -> Router + Send + 'static,
    {
        let listener = TcpListener::bind(bind)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let stopped = stop.clone();
        let (end, ended) = watch::channel(false);
        let thread = thread::Builder::new()
            .name(format!("standin-{}", address.port()))
            .spawn(move || {
                runtime.block_on(async move {
                    tokio::select! {
                        result = serve(listener, make_router) => {
                            if let Err(err) = result {
                                log::error!(error = err.to_string().as_str(); "server ended");
                            }
                        }
                        () = stopped.wait() => {}
                    }
                });
                runtime.shutdown_background();
                end.send_replace(true);
            })?;
        Ok(ServerThread {
            address,
            stop,
            ended,
            thread: Some(thread),
        })
    }

    /// Returns the bound address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Tells the server to end.
    pub(crate) fn stop(&self) {
        self.stop.set();
    }

    /// Says whether the server has ended.
    pub(crate) fn is_stopped(&self) -> bool {
        *self.ended.borrow()
    }

    /// Waits until the server has ended by a fault, with all its sockets.
    pub(crate) async fn stopped(&self) {
        // A thread that is gone without a word has ended too.
        let _ = self.ended.clone().wait_for(|ended| *ended).await;
    }
}

impl Drop for ServerThread {
    fn drop(&mut self) {
        self.stop.set();
        if let Some(thread) = self.thread.take() {
            // A panic of the server was already printed by its thread.
            let _ = thread.join();
        }
    }
}

async fn serve<F>(
    listener: TcpListener,
    make_router: F,
) -> Result<(), volo_http::error::BoxError>
where
    F: FnOnce() -> Router,
{
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let incoming = DefaultIncoming::from(listener);
    Server::new(make_router()).run(incoming).await
}
