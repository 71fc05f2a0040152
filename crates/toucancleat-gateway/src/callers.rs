//! Connections of callers.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::host::Host;
use crate::idle::{Activity, Rest, Watched};
use crate::{Error, clock, connection, request, stop};

/// Least size of a connection's buffer that `hyper` takes.
const BUFFER_MIN_BYTES: usize = 8_192;

/// The answer to a head that did not come in time; no part of it has run.
const HEAD_TOO_SLOW: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Longest time for that answer; a caller that doesn't read it is not waited for.
const HEAD_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two looks whether the last request has ended.
const STOP_LOOK: Duration = Duration::from_millis(20);

/// Serves callers until the planned stop is over.
pub async fn serve(host: Rc<Host>, listener: TcpListener) -> Result<(), Error> {
    let mut signals = stop::Signals::new()?;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = signals.stop_requested() => break,
        };
        take(&host, accepted);
    }
    host.stop();
    log::info!(open_requests = host.open_requests(); "stopping");
    let began_ms = clock::now_ms();
    loop {
        tokio::select! {
            accepted = listener.accept() => take(&host, accepted),
            () = tokio::time::sleep(STOP_LOOK) => {}
        }
        let passed_ms = clock::now_ms().saturating_sub(began_ms);
        if stop::is_over(
            passed_ms,
            host.open_requests(),
            &host.settings.fleet_config(),
        ) {
            return Ok(());
        }
    }
}

fn take(host: &Rc<Host>, accepted: std::io::Result<(TcpStream, std::net::SocketAddr)>) {
    match accepted {
        Ok((stream, _)) => {
            connection::prepare(&stream);
            tokio::task::spawn_local(serve_connection(host.clone(), stream));
        }
        Err(error) => {
            log::warn!(error:% = error; "a caller's connection was not accepted")
        }
    }
}

async fn serve_connection(host: Rc<Host>, stream: TcpStream) {
    let activity = Rc::new(Activity::default());
    let service = {
        let host = host.clone();
        let activity = activity.clone();
        service_fn(move |request| request::serve(host.clone(), activity.begin(), request))
    };
    let limits = host.caller_limits();
    let io = TokioIo::new(Watched::new(stream, activity.clone()));
    let mut connection = hyper::server::conn::http1::Builder::new()
        .max_buf_size(limits.head_max_bytes.max(BUFFER_MIN_BYTES))
        .serve_connection(io, service);
    let mut stopping = host.stopping();
    let mut is_closing = false;
    loop {
        let rest = activity.rest(clock::now_ms(), &host.caller_limits());
        let until_ms = match rest {
            Rest::Until(until_ms) => until_ms,
            Rest::TooIdle if !is_closing => {
                is_closing = true;
                Pin::new(&mut connection).graceful_shutdown();
                continue;
            }
            Rest::TooIdle => return,
            Rest::HeadTooSlow => {
                return refuse_slow_head(connection.into_parts().io.into_inner()).await;
            }
        };
        tokio::select! {
            ended = &mut connection => {
                if let Err(error) = ended {
                    log::debug!(error:% = error; "a caller's connection broke");
                }
                return;
            }
            () = clock::sleep_until(until_ms) => {}
            () = idle_close(&mut stopping), if !is_closing => {
                is_closing = true;
                Pin::new(&mut connection).graceful_shutdown();
            }
        }
    }
}

/// Answers a head that did not come in time, which `hyper` would only close.
async fn refuse_slow_head(mut stream: Watched) {
    log::info!(status = 408; "a request's head was too slow");
    let answer = async {
        stream.write_all(HEAD_TOO_SLOW).await?;
        stream.shutdown().await
    };
    match tokio::time::timeout(HEAD_ANSWER_TIMEOUT, answer).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::debug!(error:% = error; "a caller's connection broke"),
        Err(_) => log::debug!("a caller does not read"),
    }
}

/// Waits until idle connections are closed in a planned stop.
async fn idle_close(stopping: &mut watch::Receiver<Option<u64>>) {
    loop {
        let began_ms = *stopping.borrow_and_update();
        if let Some(began_ms) = began_ms {
            return clock::sleep_until(began_ms + stop::IDLE_CLOSE_MS).await;
        }
        if stopping.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}
