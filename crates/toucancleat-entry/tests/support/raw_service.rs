//! A plain service that answers with any bytes that a test defines.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use toucancleat_core::prelude::RequestId;
use toucancleat_entry::http::HttpClient;
use toucancleat_entry::service::{ServiceReply, ServiceRequest, call};

const TIMEOUT_MS: u64 = 5_000;
const ANSWER_MAX_BYTES: usize = 1_024;

/// Returns what a request becomes at a service that sends a text and closes the connection.
pub async fn answer_of(text: String) -> ServiceReply {
    let address = start(text).await;
    let request = ServiceRequest {
        method: Method::POST,
        path: "/coaches".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
    };
    let id = RequestId(7);
    let client = HttpClient::unpooled();
    call(&client, address, id, &request, TIMEOUT_MS, ANSWER_MAX_BYTES).await
}

/// Starts a service that answers its only request.
pub async fn start(text: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request).await;
        let _ = stream.write_all(text.as_bytes()).await;
    });
    address
}
