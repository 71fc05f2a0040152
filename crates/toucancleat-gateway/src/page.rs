//! Serves readiness and metrics, each on a port of its own.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::host::Host;

/// Serves HTTP connections, answering a request for any path with `respond`.
pub async fn serve(
    host: Rc<Host>,
    listener: TcpListener,
    respond: fn(&Host) -> Response<Full<Bytes>>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "could not accept a readiness or metrics connection; retrying");
                tokio::task::yield_now().await;
                continue;
            }
        };
        let host = host.clone();
        tokio::task::spawn_local(async move {
            let service =
                service_fn(|_| std::future::ready(Ok::<_, Infallible>(respond(&host))));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "readiness or metrics connection failed; closing it");
            }
        });
    }
}
