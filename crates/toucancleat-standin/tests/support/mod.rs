//! HTTP client for the tests of the stand-ins.

// Each test file uses only some of these items.
#![allow(dead_code)]

use std::net::SocketAddr;

use http_body_util::BodyExt;
use serde_json::Value;
use volo_http::body::Body;
use volo_http::client::{Client, ClientBuilder};
use volo_http::http::{HeaderMap, Method};

/// A reply whose body was read until it ended or broke.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub headers: HeaderMap,
    pub text: String,
    /// Whether the body ended as its framing requires.
    pub is_complete: bool,
}

impl Reply {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).expect("a JSON body")
    }

    /// Returns the `id` lines of the events.
    pub fn event_ids(&self) -> Vec<String> {
        let lines = self.text.lines();
        lines
            .filter_map(|line| line.strip_prefix("id: ").map(str::to_owned))
            .collect()
    }
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    pub method: Method,
    pub path: &'a str,
    pub headers: &'a [(&'static str, &'a str)],
    pub body: &'a str,
}

/// Sends a request on a new connection. Returns `None` if the connection ends without a
/// reply.
pub async fn send(address: SocketAddr, call: Call<'_>) -> Option<Reply> {
    let client: Client = ClientBuilder::new().build().expect("a client");
    let uri = format!("http://{address}{}", call.path);
    let mut request = client.request(call.method, uri);
    for (name, value) in call.headers {
        request = request.header(*name, *value);
    }
    let response = request
        .body(Body::from(call.body.to_owned()))
        .send()
        .await
        .ok()?;
    let (parts, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let mut is_complete = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend(frame.into_data().expect("a data frame")),
            Err(_) => {
                is_complete = false;
                break;
            }
        }
    }
    Some(Reply {
        status: parts.status.as_u16(),
        headers: parts.headers,
        text: String::from_utf8(bytes).expect("UTF-8"),
        is_complete,
    })
}

/// Sends a `POST` request with a JSON body.
pub async fn post(address: SocketAddr, path: &str, body: &str) -> Option<Reply> {
    let call = Call {
        method: Method::POST,
        path,
        headers: &[("content-type", "application/json")],
        body,
    };
    send(address, call).await
}

/// Sends a `GET` request.
pub async fn get(address: SocketAddr, path: &str) -> Option<Reply> {
    let call = Call {
        method: Method::GET,
        path,
        headers: &[],
        body: "",
    };
    send(address, call).await
}

/// Starts a generation with priority 7 and reads its stream until it ends.
pub async fn generate(address: SocketAddr, id: &str, body: &str) -> Option<Reply> {
    let call = Call {
        method: Method::POST,
        path: "/v1/completions",
        headers: &[("x-generation-id", id), ("x-priority", "7")],
        body,
    };
    send(address, call).await
}
