//! The HTTP caller: sends one streamed completion request and reads the answer to its end.

use std::net::SocketAddr;

use http_body_util::BodyExt;
use serde_json::json;
use tokio::time::Instant;
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::http::Method;

/// The address, headers and body of one completion request.
#[derive(Clone, Debug)]
pub struct CompletionRequest<'a> {
    /// Address of the entry host or engine that receives the request.
    pub address: SocketAddr,
    /// Headers besides the content type.
    pub headers: Vec<(&'static str, String)>,
    /// Text of the prompt.
    pub prompt: &'a str,
    /// Length of the answer in tokens. Only the stand-in engine reads it.
    pub output_tokens: u32,
    /// Maximum length of the answer in tokens.
    pub max_output_tokens: u32,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerState {
    /// Every token arrived exactly once, in order and from one generation.
    Complete,
    /// The status of the response wasn't 200.
    Refused,
    /// The request couldn't be sent, or the answer ended before it was complete.
    Interrupted,
    /// Tokens were repeated, out of order, or from two generations.
    Inconsistent,
}

/// The answer as the caller received it.
#[derive(Debug)]
pub struct Answer {
    /// How the answer ended.
    pub state: AnswerState,
    /// Time at which each token was read.
    pub token_times: Vec<Instant>,
}

/// Sends a request and reads its answer to the end.
///
/// Calls `on_tokens` after each chunk of the body, with the number of tokens read so far.
pub async fn stream_completion(
    client: &Client,
    request: CompletionRequest<'_>,
    mut on_tokens: impl FnMut(u32),
) -> Answer {
    let mut answer = Answer {
        state: AnswerState::Interrupted,
        token_times: Vec::new(),
    };
    let Some(mut body) = open_stream(client, &request, &mut answer).await else {
        return answer;
    };
    let mut reader = EventReader::default();
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let tokens = reader.read(&data);
        let now = Instant::now();
        answer.token_times.extend(std::iter::repeat_n(now, tokens));
        on_tokens(answer.token_times.len() as u32);
    }
    answer.state = match (reader.is_inconsistent, reader.is_done) {
        (true, _) => AnswerState::Inconsistent,
        (false, true) => AnswerState::Complete,
        (false, false) => AnswerState::Interrupted,
    };
    answer
}

async fn open_stream(
    client: &Client,
    request: &CompletionRequest<'_>,
    answer: &mut Answer,
) -> Option<Body> {
    let uri = format!("http://{}/v1/completions", request.address);
    let mut builder = client.request(Method::POST, uri);
    builder = builder.header("content-type", "application/json");
    for (name, value) in &request.headers {
        builder = builder.header(*name, value.as_str());
    }
    let body = json!({
        "prompt": request.prompt,
        "max_tokens": request.max_output_tokens,
        "stream": true,
        "standin_output_tokens": request.output_tokens,
    });
    let result = builder.body(Body::from(body.to_string())).send().await;
    let response = result.ok()?;
    if response.status().as_u16() != 200 {
        answer.state = AnswerState::Refused;
        return None;
    }
    Some(response.into_parts().1)
}

/// Parses the events of an answer as far as is needed to check the order of its tokens.
///
/// The stand-in engine writes `<generation's first 8 digits>:<index> ` as the text of each
/// token, so the order can be checked independently of how the answer was relayed.
#[derive(Debug, Default)]
pub struct EventReader {
    unparsed: Vec<u8>,
    generation: Option<Vec<u8>>,
    next_index: u64,
    /// True once the final `[DONE]` event was read.
    pub is_done: bool,
    /// True if a token was repeated, out of order or from another generation.
    pub is_inconsistent: bool,
}

impl EventReader {
    /// Reads the next chunk of the body and returns the number of tokens that it completes.
    pub fn read(&mut self, chunk: &[u8]) -> usize {
        self.unparsed.extend_from_slice(chunk);
        let unparsed = std::mem::take(&mut self.unparsed);
        let mut tokens = 0;
        let mut lines = unparsed.split_inclusive(|&byte| byte == b'\n').peekable();
        while let Some(line) = lines.next() {
            if lines.peek().is_none() && !line.ends_with(b"\n") {
                self.unparsed = line.to_vec();
                break;
            }
            tokens += usize::from(self.read_line(line));
        }
        tokens
    }

    fn read_line(&mut self, line: &[u8]) -> bool {
        let Some(data) = line.strip_prefix(b"data: ") else {
            return false;
        };
        if data.starts_with(b"[DONE]") {
            self.is_done = true;
            return false;
        }
        let Some((generation, index)) = parse_token(data) else {
            self.is_inconsistent |= data.starts_with(b"{\"choices\"");
            return false;
        };
        let expected = self.generation.get_or_insert_with(|| generation.to_vec());
        self.is_inconsistent |= expected != generation || index != self.next_index;
        self.next_index = index + 1;
        true
    }
}

/// Parses the generation and the index from the token text of an event.
fn parse_token(data: &[u8]) -> Option<(&[u8], u64)> {
    let prefixes: [&[u8]; 2] = [b"\"text\":\"", b"\"content\":\""];
    let start = prefixes.iter().find_map(|prefix| {
        let at = data
            .windows(prefix.len())
            .position(|window| window == *prefix)?;
        Some(at + prefix.len())
    })?;
    let text = &data[start..];
    let colon = text.iter().position(|&byte| byte == b':')?;
    let end = text.iter().position(|&byte| byte == b' ')?;
    let index = std::str::from_utf8(text.get(colon + 1..end)?).ok()?;
    Some((&text[..colon], index.parse().ok()?))
}
