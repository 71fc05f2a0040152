//! A small client for the tests of the stand-ins.

// Each test file uses its own part of this module.
#![allow(dead_code)]

use std::net::SocketAddr;

use http_body_util::BodyExt;
use serde_json::Value;
use volo_http::body::Body;
use volo_http::client::{Client, ClientBuilder};
use volo_http::http::{HeaderMap, Method};

/// A reply read to its end.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub headers: HeaderMap,
    pub text: String,
    /// Whether the body ended as its framing says.
    pub whole: bool,
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

/// One request.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    pub method: Method,
    pub path: &'a str,
    pub headers: &'a [(&'static str, &'a str)],
    pub body: &'a str,
}

/// Sends a request on a connection of its own; `None` when no reply came.
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
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend(frame.into_data().expect("a data frame")),
            Err(_) => {
                whole = false;
                break;
            }
        }
    }
    Some(Reply {
        status: parts.status.as_u16(),
        headers: parts.headers,
        text: String::from_utf8(bytes).expect("UTF-8"),
        whole,
    })
}

/// Posts a JSON body.
pub async fn post(address: SocketAddr, path: &str, body: &str) -> Option<Reply> {
    let call = Call {
        method: Method::POST,
        path,
        headers: &[("content-type", "application/json")],
        body,
    };
    send(address, call).await
}

/// Gets a path.
pub async fn get(address: SocketAddr, path: &str) -> Option<Reply> {
    let call = Call {
        method: Method::GET,
        path,
        headers: &[],
        body: "",
    };
    send(address, call).await
}

/// Begins a generation and reads its stream to the end.
pub async fn generate(address: SocketAddr, id: &str, body: &str) -> Option<Reply> {
    let call = Call {
        method: Method::POST,
        path: "/v1/completions",
        headers: &[("x-generation-id", id), ("x-priority", "7")],
        body,
    };
    send(address, call).await
}
