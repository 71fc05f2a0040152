//! A generation request as it arrives, and its acceptance.

use std::sync::Arc;

use bytes::Bytes;
use volo_http::http::request::Parts;
use volo_http::http::{HeaderMap, StatusCode};
use volo_http::response::Response;

use super::Shared;
use super::generation::Generation;
use super::records::{GenerationRecord, GenerationState};
use super::request::{CompletionRequest, OutputLength, token_count};
use crate::clock::now_unix_ms;
use crate::fingerprint::fingerprint;
use crate::reply;

/// The seconds after which a refused caller is told to come back.
const RETRY_AFTER_SECONDS: u32 = 1;

/// The priority of a request that gives none.
const DEFAULT_PRIORITY: u8 = 5;

/// A generation request.
#[derive(Debug)]
pub(super) struct Arrival {
    generation_id: String,
    body_fingerprint: String,
    priority: u8,
    deadline_unix_ms: Option<u64>,
    chat: bool,
    prompt: String,
    length: OutputLength,
}

impl Arrival {
    /// Reads a request, or gives the reply that says what is wrong with it.
    pub(super) fn read(
        parts: &Parts,
        body: &Bytes,
        chat: bool,
    ) -> Result<Arrival, Box<Response>> {
        let request: CompletionRequest = reply::parse(body)?;
        let Some(generation_id) = header(&parts.headers, "x-generation-id") else {
            let reply = reply::bad_request("expected the header X-Generation-Id");
            return Err(Box::new(reply));
        };
        let prompt = request.prompt();
        Ok(Arrival {
            generation_id: generation_id.to_owned(),
            body_fingerprint: fingerprint(body),
            priority: number(&parts.headers, "x-priority")
                .map_or(DEFAULT_PRIORITY, |priority| priority.min(9) as u8),
            deadline_unix_ms: number(&parts.headers, "x-deadline-unix-ms"),
            chat,
            length: request.output_length(&prompt),
            prompt,
        })
    }

    /// Says whether the prompt holds the text that crashes the engine.
    pub(super) fn is_marked(&self, shared: &Shared) -> bool {
        let state = shared.state();
        let marker = state.faults.crash_marker.as_deref();
        marker.is_some_and(|marker| self.prompt.contains(marker))
    }

    /// Begins the generation, or gives the reply that refuses it.
    pub(super) fn accept(
        &self,
        shared: &Shared,
    ) -> Result<Arc<Generation>, Box<Response>> {
        let mut state = shared.state();
        if state.faults.reject {
            state.records.refused += 1;
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(Box::new(reply::not_run(status, RETRY_AFTER_SECONDS)));
        }
        if state.generations.contains_key(&self.generation_id) {
            state.records.duplicate_generations += 1;
            return Err(Box::new(reply::empty(StatusCode::CONFLICT)));
        }
        let record = self.record(state.records.leaving_unix_ms);
        state.records.generations.push(record);
        let id = self.generation_id.clone();
        let generation = Arc::new(Generation::new(id.clone(), self.chat, self.length));
        state.generations.insert(id, Arc::clone(&generation));
        Ok(generation)
    }

    fn record(&self, leaving_unix_ms: Option<u64>) -> GenerationRecord {
        let arrived_unix_ms = now_unix_ms();
        GenerationRecord {
            generation_id: self.generation_id.clone(),
            body_fingerprint: self.body_fingerprint.clone(),
            priority: self.priority,
            deadline_unix_ms: self.deadline_unix_ms,
            arrived_unix_ms,
            arrived_after_leaving_ms: leaving_unix_ms
                .map(|leaving| arrived_unix_ms.saturating_sub(leaving)),
            prompt_tokens: token_count(&self.prompt),
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

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header(headers, name)?.parse().ok()
}
