//! One caller: a streamed completion, read to its end.

use std::net::SocketAddr;

use http_body_util::BodyExt;
use serde_json::json;
use tokio::time::Instant;
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::http::Method;

/// What one request carries.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Where to connect.
    pub address: SocketAddr,
    /// Headers besides the content type.
    pub headers: Vec<(&'static str, String)>,
    /// The prompt.
    pub prompt: &'a str,
    /// Length of the answer, for the stand-in engine only.
    pub output_tokens: u32,
    /// Most tokens of the answer.
    pub max_output_tokens: u32,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Every token came, once, in order and from one generation.
    Whole,
    /// It was refused.
    Refused,
    /// The stream broke off.
    Broken,
    /// Tokens came twice, out of order, or from two generations.
    Wrong,
}

/// What a caller has seen of its answer.
#[derive(Debug)]
pub struct Answer {
    /// How it ended.
    pub ending: Ending,
    /// When each token came.
    pub token_times: Vec<Instant>,
}

/// Sends a request and reads its answer; `on_tokens` hears the count after each piece.
pub async fn call(
    client: &Client,
    call: Call<'_>,
    mut on_tokens: impl FnMut(u32),
) -> Answer {
    let mut answer = Answer {
        ending: Ending::Broken,
        token_times: Vec::new(),
    };
    let Some(mut body) = begin(client, &call, &mut answer).await else {
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
    answer.ending = match (reader.wrong, reader.done) {
        (true, _) => Ending::Wrong,
        (false, true) => Ending::Whole,
        (false, false) => Ending::Broken,
    };
    answer
}

async fn begin(client: &Client, call: &Call<'_>, answer: &mut Answer) -> Option<Body> {
    let uri = format!("http://{}/v1/completions", call.address);
    let mut request = client.request(Method::POST, uri);
    request = request.header("content-type", "application/json");
    for (name, value) in &call.headers {
        request = request.header(*name, value.as_str());
    }
    let body = json!({
        "prompt": call.prompt,
        "max_tokens": call.max_output_tokens,
        "stream": true,
        "standin_output_tokens": call.output_tokens,
    });
    let sent = request.body(Body::from(body.to_string())).send().await;
    let response = sent.ok()?;
    if response.status().as_u16() != 200 {
        answer.ending = Ending::Refused;
        return None;
    }
    Some(response.into_parts().1)
}

/// Reads events far enough to check their order.
///
/// The stand-in engine writes `<generation's first 8 digits>:<index> ` as the text of each
/// token, so the order shows in whatever way the answer came.
#[derive(Debug, Default)]
pub struct EventReader {
    rest: Vec<u8>,
    generation: Option<Vec<u8>>,
    next_index: u64,
    /// Whether the closing event came.
    pub done: bool,
    /// Whether a token came twice, out of order or from another generation.
    pub wrong: bool,
}

impl EventReader {
    /// Takes in a piece of the body and returns the number of tokens in it.
    pub fn read(&mut self, piece: &[u8]) -> usize {
        self.rest.extend_from_slice(piece);
        let rest = std::mem::take(&mut self.rest);
        let mut tokens = 0;
        let mut lines = rest.split_inclusive(|&byte| byte == b'\n').peekable();
        while let Some(line) = lines.next() {
            if lines.peek().is_none() && !line.ends_with(b"\n") {
                self.rest = line.to_vec();
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
            self.done = true;
            return false;
        }
        let Some((generation, index)) = token_of(data) else {
            self.wrong |= data.starts_with(b"{\"choices\"");
            return false;
        };
        let expected = self.generation.get_or_insert_with(|| generation.to_vec());
        self.wrong |= expected != generation || index != self.next_index;
        self.next_index = index + 1;
        true
    }
}

/// Finds the generation and index in an event's text.
fn token_of(data: &[u8]) -> Option<(&[u8], u64)> {
    let marks: [&[u8]; 2] = [b"\"text\":\"", b"\"content\":\""];
    let start = marks.iter().find_map(|mark| {
        let at = data
            .windows(mark.len())
            .position(|window| window == *mark)?;
        Some(at + mark.len())
    })?;
    let text = &data[start..];
    let colon = text.iter().position(|&byte| byte == b':')?;
    let end = text.iter().position(|&byte| byte == b' ')?;
    let index = std::str::from_utf8(text.get(colon + 1..end)?).ok()?;
    Some((&text[..colon], index.parse().ok()?))
}
