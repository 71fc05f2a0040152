//! Small pages beside the callers' port: readiness and metrics.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::host::Host;

/// Gives the same page for each path.
pub async fn serve(
    host: Rc<Host>,
    listener: TcpListener,
    page: fn(&Host) -> Response<Full<Bytes>>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "a connection for a page was not accepted");
                tokio::task::yield_now().await;
                continue;
            }
        };
        let host = host.clone();
        tokio::task::spawn_local(async move {
            let answer =
                service_fn(|_| std::future::ready(Ok::<_, Infallible>(page(&host))));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), answer);
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "a connection for a page broke off");
            }
        });
    }
}
