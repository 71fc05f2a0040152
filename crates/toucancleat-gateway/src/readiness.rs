//! The platform's question whether callers should come here.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::host::Host;

/// Answers 200 while the host is ready, and 503 otherwise, whatever the path.
pub async fn serve(host: Rc<Host>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "a question for readiness was not accepted");
                tokio::task::yield_now().await;
                continue;
            }
        };
        let host = host.clone();
        tokio::task::spawn_local(async move {
            let answer = service_fn(|_| {
                let status = if host.is_ready() {
                    StatusCode::OK
                } else {
                    StatusCode::SERVICE_UNAVAILABLE
                };
                let mut response = Response::new(Empty::<Bytes>::new());
                *response.status_mut() = status;
                std::future::ready(Ok::<_, Infallible>(response))
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), answer);
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "a question for readiness broke off");
            }
        });
    }
}
