//! The caller's side of the tests: requests to entry hosts, their replies and streams.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use http_body_util::BodyExt;
use serde_json::Value;
use toucancleat_entry::http::{CallError, HttpCall, HttpClient};
use volo_http::body::Body;
use volo_http::client::sse::{SseEvent, SseReader};

use super::settings::UL_KEY;

/// A request to an entry host.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: Method,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
}

/// A whole reply.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub text: String,
}

/// A streamed answer.
pub struct Stream {
    reader: SseReader<Body>,
}

impl Request {
    /// Creates a request for a generation of a number of tokens, which only the stand-in
    /// reads from the body.
    pub fn draft(kind: &str, prompt: &str, tokens: u32) -> Request {
        let body = serde_json::json!({
            "prompt": prompt, "stream": true, "standin_output_tokens": tokens,
        });
        Request::post("/v1/completions", &body.to_string()).header("x-request-kind", kind)
    }

    /// Creates a request to a plain service.
    pub fn service(kind: &str, path: &str, body: &str) -> Request {
        Request::post(&format!("/services/{kind}/{path}"), body)
    }

    /// Creates a POST request of the organisation `ul`.
    pub fn post(path: &str, body: &str) -> Request {
        Request {
            method: Method::POST,
            path: path.to_owned(),
            headers: vec![
                ("authorization", format!("Bearer {UL_KEY}")),
                ("content-type", "application/json".to_owned()),
            ],
            body: body.to_owned(),
        }
    }

    /// Sets a header.
    pub fn header(mut self, name: &'static str, value: &str) -> Request {
        self.headers.retain(|(existing, _)| *existing != name);
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Sends the request and reads the whole reply.
    ///
    /// Retries after the requested delay while the organisation is over its limit, as a
    /// new home may refuse requests for a short time.
    pub async fn send(&self, address: SocketAddr) -> Result<Reply, CallError> {
        let started = Instant::now();
        loop {
            let reply = self.send_once(address).await?;
            if !reply.wait_if_over_limit(started).await {
                return Ok(reply);
            }
        }
    }

    /// Sends the request once and reads the whole reply.
    pub async fn send_once(&self, address: SocketAddr) -> Result<Reply, CallError> {
        let client = HttpClient::unpooled();
        let reply = client
            .exchange(self.call(address), 60_000, usize::MAX)
            .await?;
        let (head, body) = reply.into_parts();
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            text: String::from_utf8_lossy(&body).into_owned(),
        })
    }

    /// Sends the request and returns its stream of events, or the refusal. Retries as
    /// [`Request::send`] does.
    pub async fn stream(&self, address: SocketAddr) -> Result<Stream, Reply> {
        self.try_stream(address).await.expect("the host answers")
    }

    /// Sends the request once and returns its stream of events, or the refusal.
    pub async fn stream_once(&self, address: SocketAddr) -> Result<Stream, Reply> {
        let answer = self.try_stream_once(address).await;
        answer.expect("the host answers")
    }

    /// Does the same as [`Request::stream`], and returns an error if the host doesn't
    /// reply.
    pub async fn try_stream(
        &self,
        address: SocketAddr,
    ) -> Result<Result<Stream, Reply>, CallError> {
        let started = Instant::now();
        loop {
            match self.try_stream_once(address).await? {
                Ok(stream) => return Ok(Ok(stream)),
                Err(reply) if reply.wait_if_over_limit(started).await => {}
                Err(reply) => return Ok(Err(reply)),
            }
        }
    }

    async fn try_stream_once(
        &self,
        address: SocketAddr,
    ) -> Result<Result<Stream, Reply>, CallError> {
        let client = HttpClient::unpooled();
        let response = client.send(self.call(address)).await?;
        if response.status() == StatusCode::OK {
            let reader = SseReader::into_sse(response).expect("a stream of events");
            return Ok(Ok(Stream { reader }));
        }
        let (head, body) = response.into_parts();
        let body = body.collect().await.expect("a whole body").to_bytes();
        Ok(Err(Reply {
            status: head.status,
            headers: head.headers,
            text: String::from_utf8_lossy(&body).into_owned(),
        }))
    }

    fn call(&self, address: SocketAddr) -> HttpCall<'_> {
        let headers = self.headers.iter().map(|(name, value)| {
            let value = HeaderValue::from_str(value).expect("a valid header");
            (HeaderName::from_static(name), value)
        });
        HttpCall {
            address,
            method: self.method.clone(),
            path: &self.path,
            headers: headers.collect(),
            body: Bytes::from(self.body.clone()),
        }
    }
}

impl Reply {
    /// Waits for the requested delay if the organisation is over its limit; returns true
    /// if it is.
    async fn wait_if_over_limit(&self, started: Instant) -> bool {
        let is_over_limit = self.status == StatusCode::TOO_MANY_REQUESTS;
        if !is_over_limit || started.elapsed() > super::WAIT_TIMEOUT {
            return false;
        }
        let Some(retry_after_ms) = self.member("retry_after_ms").as_u64() else {
            return false;
        };
        tokio::time::sleep(Duration::from_millis(retry_after_ms)).await;
        true
    }

    /// Returns a member of the JSON body.
    pub fn member(&self, name: &str) -> Value {
        let body: Value = serde_json::from_str(&self.text).unwrap_or_default();
        body.get(name).cloned().unwrap_or_default()
    }
}

impl Stream {
    /// Reads the next event; returns `None` if the stream ended or failed.
    pub async fn next(&mut self) -> Option<SseEvent> {
        self.reader.read().await.ok().flatten()
    }

    /// Reads up to a number of token events, and returns their cursors and texts.
    pub async fn read_tokens(&mut self, count: usize) -> Vec<(String, String)> {
        let mut tokens = Vec::new();
        while tokens.len() < count {
            match self.next().await {
                Some(event) if event.data() != Some("[DONE]") => {
                    tokens.push(token(&event))
                }
                _ => break,
            }
        }
        tokens
    }

    /// Reads to the end; returns the texts of the tokens, and true if the answer is
    /// whole.
    pub async fn read_all(&mut self) -> (Vec<String>, bool) {
        let mut texts = Vec::new();
        while let Some(event) = self.next().await {
            match event.data() {
                Some("[DONE]") => return (texts, true),
                _ if event.event() == "error" => return (texts, false),
                _ => texts.push(token(&event).1),
            }
        }
        (texts, false)
    }
}

/// Returns a token's cursor and text.
pub fn token(event: &SseEvent) -> (String, String) {
    let data = event.data().unwrap_or_default();
    let chunk: Value = serde_json::from_str(data).unwrap_or_default();
    let text = chunk["choices"][0]["text"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    (event.id().unwrap_or_default().to_owned(), text)
}
