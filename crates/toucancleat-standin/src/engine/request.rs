//! The bodies of completion requests.

use serde::Deserialize;
use serde_json::Value;
use sha2::{Digest, Sha256};

/// The bytes of text that count as one token.
pub(super) const TOKEN_BYTES: usize = 4;

/// The shortest output of a request that doesn't give its length.
const OUTPUT_MIN_TOKENS: f64 = 12.0;

/// The tail index of outputs: with this Pareto law one in a hundred is 46 times the
/// shortest, and the mean is set by the long ones.
const OUTPUT_TAIL_INDEX: f64 = 1.2;

/// The longest output of a request that gives neither a length nor a limit.
const OUTPUT_MAX_TOKENS: u32 = 8_192;

/// The body of `POST /v1/completions` and `POST /v1/chat/completions`.
#[derive(Debug, Deserialize)]
pub(super) struct CompletionRequest {
    prompt: Option<Value>,
    #[serde(default)]
    messages: Vec<Message>,
    max_tokens: Option<u32>,
    standin_output_tokens: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: Value,
}

/// The tokens after which an output ends, and why it ends there.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutputLength {
    pub(super) tokens: u32,
    pub(super) finish_reason: &'static str,
}

impl CompletionRequest {
    /// Returns the text whose prefixes the cache is keyed by.
    pub(super) fn prompt(&self) -> String {
        let mut text = self.prompt.as_ref().map(text_of).unwrap_or_default();
        for message in &self.messages {
            text.push_str(&message.role);
            text.push_str(": ");
            text.push_str(&text_of(&message.content));
            text.push('\n');
        }
        text
    }

    /// Returns the length that the output will have, which the system under test can't
    /// know.
    pub(super) fn output_length(&self, prompt: &str) -> OutputLength {
        let own = self
            .standin_output_tokens
            .unwrap_or_else(|| heavy_tailed_tokens(prompt))
            .max(1);
        match self.max_tokens {
            Some(limit) if limit < own => OutputLength {
                tokens: limit.max(1),
                finish_reason: "length",
            },
            _ => OutputLength {
                tokens: own,
                finish_reason: "stop",
            },
        }
    }
}

/// Returns the number of tokens of a text.
pub(super) fn token_count(text: &str) -> u32 {
    text.len().div_ceil(TOKEN_BYTES).max(1) as u32
}

fn text_of(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Draws a length from a Pareto law with the prompt's hash as its randomness.
fn heavy_tailed_tokens(prompt: &str) -> u32 {
    let digest = Sha256::digest(prompt.as_bytes());
    let mut head = [0; 4];
    head.copy_from_slice(&digest[..4]);
    let uniform =
        (f64::from(u32::from_be_bytes(head)) + 1.0) / (f64::from(u32::MAX) + 1.0);
    let tokens = OUTPUT_MIN_TOKENS * uniform.powf(-1.0 / OUTPUT_TAIL_INDEX);
    (tokens as u32).min(OUTPUT_MAX_TOKENS)
}
