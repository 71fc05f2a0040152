//! Accepts and serves the connections of callers.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::host::Host;
use crate::request::Origin;
use crate::timeouts::{MonitoredStream, TimeoutStatus};
use crate::{Error, clock, connection, request, stop};

/// Minimum buffer size per connection that `hyper` accepts.
const BUFFER_MIN_BYTES: usize = 8_192;

/// The answer to a request whose head did not arrive in time; no part of it has run.
const HEAD_TIMEOUT_ANSWER: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Maximum time for sending that answer, since a caller may not read it.
const ANSWER_WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which a stopping process checks whether the last request has ended.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum time for the first request of a connection that is accepted late in a planned stop.
const FIRST_REQUEST_TIMEOUT_MS: u64 = 1_000;

/// Maximum time for the answers to requests that are refused because the process has to exit. It is
/// part of the time that is reserved for that.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval at which the process checks whether these have been sent.
const LAST_ANSWERS_INTERVAL: Duration = Duration::from_millis(5);

/// Serves callers until the planned stop is complete.
///
/// Fails if the signals for a stop can't be received.
pub async fn serve(host: Rc<Host>, listener: TcpListener) -> Result<(), Error> {
    let mut signals = stop::StopSignals::new()?;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = signals.wait_for_stop() => break,
        };
        handle_accepted(&host, accepted);
    }
    host.stop();
    log::info!(open_requests = host.open_request_count(); "stopping");
    let began_ms = clock::now_ms();
    loop {
        tokio::select! {
            accepted = listener.accept() => handle_accepted(&host, accepted),
            () = tokio::time::sleep(STOP_CHECK_INTERVAL) => {}
        }
        let elapsed_ms = clock::now_ms().saturating_sub(began_ms);
        if stop::can_exit(
            elapsed_ms,
            host.open_request_count() + host.connections.busy_count(),
            &host.settings.fleet_config(),
        ) {
            break;
        }
    }
    if host.open_request_count() > 0 {
        host.refuse_unanswered();
        await_answers(&host).await;
    }
    host.announce_exit().await;
    Ok(())
}

/// Waits for a moment until callers' sockets have taken all answers.
async fn await_answers(host: &Host) {
    let waiting = async {
        while host.connections.busy_count() > 0 {
            tokio::time::sleep(LAST_ANSWERS_INTERVAL).await;
        }
    };
    // Callers that don't read are left.
    let _ = tokio::time::timeout(LAST_ANSWERS_TIMEOUT, waiting).await;
}

fn handle_accepted(
    host: &Rc<Host>,
    accepted: std::io::Result<(TcpStream, std::net::SocketAddr)>,
) {
    match accepted {
        Ok((stream, _)) => {
            connection::set_options(&stream);
            let serving = serve_connection(host.clone(), stream, Origin::Caller);
            tokio::task::spawn_local(serving);
        }
        Err(error) => {
            log::warn!(error:% = error; "could not accept a caller's connection; waiting for the next")
        }
    }
}

/// Serves the requests on one connection until it ends.
pub async fn serve_connection(host: Rc<Host>, stream: TcpStream, origin: Origin) {
    let accepted_ms = clock::now_ms();
    let open_connection = host.connections.open();
    let activity = open_connection.activity.clone();
    let service = {
        let host = host.clone();
        let activity = activity.clone();
        service_fn(move |request| {
            request::serve(host.clone(), activity.begin_request(), request, origin)
        })
    };
    let limits = host.caller_limits();
    let io = TokioIo::new(MonitoredStream::new(stream, activity.clone()));
    let mut connection = hyper::server::conn::http1::Builder::new()
        .max_buf_size(limits.head_max_bytes.max(BUFFER_MIN_BYTES))
        .serve_connection(io, service);
    let mut stopping = host.subscribe_stop();
    let mut is_closing = false;
    loop {
        let status = activity.timeout_status(clock::now_ms(), &host.caller_limits());
        let check_at_ms = match status {
            TimeoutStatus::CheckAt(check_at_ms) => check_at_ms,
            TimeoutStatus::IdleTimeout if !is_closing => {
                is_closing = true;
                Pin::new(&mut connection).graceful_shutdown();
                continue;
            }
            TimeoutStatus::IdleTimeout => return,
            TimeoutStatus::SendTimeout => {
                log::info!("a caller doesn't read its answer; closing its connection");
                return;
            }
            TimeoutStatus::HeadTimeout => {
                return answer_head_timeout(connection.into_parts().io.into_inner())
                    .await;
            }
        };
        tokio::select! {
            ended = &mut connection => {
                if let Err(error) = ended {
                    log::debug!(error:% = error; "a caller's connection failed; closing it");
                }
                return;
            }
            () = clock::sleep_until(check_at_ms) => {}
            () = wait_for_idle_close(&mut stopping, accepted_ms), if !is_closing => {
                is_closing = true;
                Pin::new(&mut connection).graceful_shutdown();
            }
        }
    }
}

/// Sends the answer to a head that did not arrive in time. `hyper` by itself would close
/// the connection without one.
async fn answer_head_timeout(mut stream: MonitoredStream) {
    log::info!(status = 408; "request head not received in time; answering 408");
    let answer = async {
        stream.write_all(HEAD_TIMEOUT_ANSWER).await?;
        stream.shutdown().await
    };
    match tokio::time::timeout(ANSWER_WRITE_TIMEOUT, answer).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => {
            log::debug!(error:% = error; "could not send the 408 answer; closing the connection")
        }
        Err(_) => log::debug!("sending the 408 answer timed out; closing the connection"),
    }
}

/// Waits until a planned stop has reached the time at which an idle connection is closed. A new one has a
/// while for its first request, which would go unanswered otherwise.
async fn wait_for_idle_close(
    stopping: &mut watch::Receiver<Option<u64>>,
    accepted_ms: u64,
) {
    loop {
        let began_ms = *stopping.borrow_and_update();
        if let Some(began_ms) = began_ms {
            let close_ms = began_ms + stop::IDLE_CLOSE_DELAY_MS;
            let first_request_end_ms = accepted_ms + FIRST_REQUEST_TIMEOUT_MS;
            return clock::sleep_until(close_ms.max(first_request_end_ms)).await;
        }
        if stopping.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}
