//! HTTP server on a thread and runtime of its own.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};

use tokio::runtime;
use tokio::sync::watch;
use volo::net::incoming::DefaultIncoming;
use volo_http::server::{Router, Server};

/// Signal that stops a server, from one of its own tasks or from outside.
#[derive(Clone, Debug)]
pub(crate) struct StopSignal(watch::Sender<bool>);

impl StopSignal {
    /// Creates a signal that is not set.
    pub(crate) fn new() -> StopSignal {
        StopSignal(watch::Sender::new(false))
    }

    /// Stops the server.
    pub(crate) fn set(&self) {
        self.0.send_replace(true);
    }

    /// Stops the server at once. The calling task, one of the server's, never resumes.
    pub(crate) async fn crash(&self) -> ! {
        self.set();
        loop {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the signal is set.
    pub(crate) async fn wait(&self) {
        // `self` holds the sender, so the wait can't fail.
        let _ = self.0.subscribe().wait_for(|stopped| *stopped).await;
    }
}

/// A running server, which stops when this is dropped.
///
/// The thread owns the runtime: when the thread ends, every task and socket of the server
/// ends with it, so that clients observe the same as when a process is killed.
#[derive(Debug)]
pub(crate) struct ServerThread {
    address: SocketAddr,
    stop: StopSignal,
    ended: watch::Receiver<bool>,
    thread: Option<JoinHandle<()>>,
}

impl ServerThread {
    /// Binds the address and serves the routes that `make_router` returns.
    ///
    /// `make_router` runs inside the server's runtime and may spawn tasks there. Returns
    /// an error if the address can't be bound or the thread can't be started.
    pub(crate) fn start<F>(
        bind: SocketAddr,
        stop: StopSignal,
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
        let stop_signal = stop.clone();
        let (end, ended) = watch::channel(false);
        let thread = thread::Builder::new()
            .name(format!("standin-{}", address.port()))
            .spawn(move || {
                runtime.block_on(async move {
                    tokio::select! {
                        result = serve(listener, make_router) => {
                            if let Err(err) = result {
                                log::error!(
                                    error = err.to_string().as_str();
                                    "stand-in server failed; stopping it"
                                );
                            }
                        }
                        () = stop_signal.wait() => {}
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

    /// Requests the server to stop, without waiting for it.
    pub(crate) fn stop(&self) {
        self.stop.set();
    }

    /// Returns true if the server has stopped.
    pub(crate) fn is_stopped(&self) -> bool {
        *self.ended.borrow()
    }

    /// Waits until the server has stopped and all its sockets are closed.
    pub(crate) async fn wait_until_stopped(&self) {
        // The wait fails if the thread panicked, in which case the server has stopped
        // too.
        let _ = self.ended.clone().wait_for(|ended| *ended).await;
    }
}

impl Drop for ServerThread {
    fn drop(&mut self) {
        self.stop.set();
        if let Some(thread) = self.thread.take() {
            // The panic hook has already printed a panic of the server's thread.
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
