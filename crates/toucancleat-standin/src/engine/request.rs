//! Bodies of completion requests and the output lengths drawn for them.

use serde::Deserialize;
use serde_json::Value;
use sha2::{Digest, Sha256};

/// Bytes of text that count as one token.
pub(super) const TOKEN_BYTES: usize = 4;

/// Shortest output of a request that doesn't specify its length.
const OUTPUT_MIN_TOKENS: f64 = 12.0;

/// Shape of the Pareto distribution of output lengths: one output in a hundred has at
/// least 46 times the shortest length, and long outputs dominate the mean.
const OUTPUT_TAIL_INDEX: f64 = 1.2;

/// Longest output of a request that doesn't specify its length.
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

/// Length of an output, and the reason for which it ends there.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutputLength {
    pub(super) tokens: u32,
    pub(super) finish_reason: &'static str,
}

impl CompletionRequest {
    /// Returns the text whose prefixes key the prefix cache.
    pub(super) fn prompt(&self) -> String {
        let mut text = self.prompt.as_ref().map(json_text).unwrap_or_default();
        for message in &self.messages {
            text.push_str(&message.role);
            text.push_str(": ");
            text.push_str(&json_text(&message.content));
            text.push('\n');
        }
        text
    }

    /// Returns the length that the output will have, which the system under test doesn't
    /// know in advance.
    pub(super) fn output_length(&self, prompt: &str) -> OutputLength {
        let full_length = self
            .standin_output_tokens
            .unwrap_or_else(|| heavy_tailed_tokens(prompt))
            .max(1);
        match self.max_tokens {
            Some(limit) if limit < full_length => OutputLength {
                tokens: limit.max(1),
                finish_reason: "length",
            },
            _ => OutputLength {
                tokens: full_length,
                finish_reason: "stop",
            },
        }
    }
}

/// Returns the number of tokens of a text.
pub(super) fn token_count(text: &str) -> u32 {
    text.len().div_ceil(TOKEN_BYTES).max(1) as u32
}

fn json_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Draws a length from a Pareto distribution, with the prompt's hash as the random
/// source.
fn heavy_tailed_tokens(prompt: &str) -> u32 {
    let digest = Sha256::digest(prompt.as_bytes());
    let mut head = [0; 4];
    head.copy_from_slice(&digest[..4]);
    let uniform =
        (f64::from(u32::from_be_bytes(head)) + 1.0) / (f64::from(u32::MAX) + 1.0);
    let tokens = OUTPUT_MIN_TOKENS * uniform.powf(-1.0 / OUTPUT_TAIL_INDEX);
    (tokens as u32).min(OUTPUT_MAX_TOKENS)
}
