//! Parsing of generation requests.

use bytes::Bytes;
use volo_http::http::HeaderMap;
use volo_http::http::request::Parts;
use volo_http::response::Response;

use super::model::BlockHash;
use super::records::{GenerationRecord, GenerationState};
use super::request::{CompletionRequest, OutputLength, TOKEN_BYTES, token_count};
use crate::clock::now_unix_ms;
use crate::fingerprint::fingerprint;
use crate::reply;

/// Priority of a request without `X-Priority`.
const DEFAULT_PRIORITY: u8 = 5;

/// A parsed generation request.
#[derive(Debug)]
pub(super) struct IncomingRequest {
    pub(super) generation_id: String,
    pub(super) priority: u8,
    pub(super) is_chat: bool,
    pub(super) prompt: String,
    pub(super) length: OutputLength,
    body_fingerprint: String,
    deadline_unix_ms: Option<u64>,
}

impl IncomingRequest {
    /// Parses a request. The error is a 400 reply that names what is missing or
    /// malformed.
    pub(super) fn parse(
        parts: &Parts,
        body: &Bytes,
        is_chat: bool,
    ) -> Result<IncomingRequest, Box<Response>> {
        let request: CompletionRequest = reply::parse(body)?;
        let Some(generation_id) = header(&parts.headers, "x-generation-id") else {
            let reply = reply::bad_request("expected the header X-Generation-Id");
            return Err(Box::new(reply));
        };
        let prompt = request.prompt();
        Ok(IncomingRequest {
            generation_id: generation_id.to_owned(),
            body_fingerprint: fingerprint(body),
            priority: numeric_header(&parts.headers, "x-priority")
                .map_or(DEFAULT_PRIORITY, |priority| priority.min(9) as u8),
            deadline_unix_ms: numeric_header(&parts.headers, "x-deadline-unix-ms"),
            is_chat,
            length: request.output_length(&prompt),
            prompt,
        })
    }

    /// Returns the hashes of the prompt's full blocks.
    pub(super) fn prompt_blocks(&self, block_tokens: u32) -> Vec<BlockHash> {
        let block_bytes = block_tokens as usize * TOKEN_BYTES;
        BlockHash::chain(self.prompt.as_bytes(), block_bytes)
    }

    /// Returns the number of tokens of the prompt.
    pub(super) fn prompt_tokens(&self) -> u32 {
        token_count(&self.prompt)
    }

    /// Returns the record of a generation whose request has just arrived.
    pub(super) fn record(&self, leaving_unix_ms: Option<u64>) -> GenerationRecord {
        let arrived_unix_ms = now_unix_ms();
        GenerationRecord {
            generation_id: self.generation_id.clone(),
            body_fingerprint: self.body_fingerprint.clone(),
            prompt_fingerprint: fingerprint(self.prompt.as_bytes()),
            priority: self.priority,
            deadline_unix_ms: self.deadline_unix_ms,
            arrived_unix_ms,
            arrived_after_leaving_ms: leaving_unix_ms
                .map(|leaving| arrived_unix_ms.saturating_sub(leaving)),
            prompt_tokens: self.prompt_tokens(),
            cached_tokens: 0,
            output_tokens: self.length.tokens,
            produced_tokens: 0,
            preemptions: 0,
            resumes: 0,
            state: GenerationState::Running,
        }
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn numeric_header(headers: &HeaderMap, name: &str) -> Option<u64> {
    header(headers, name)?.parse().ok()
}
