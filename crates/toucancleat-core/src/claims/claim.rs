//! The state of one claim and the table write that it needs next.

use super::message::{Answer, ConditionalWrite, Effect};
use super::row::{BodyHash, ClaimToken, Row, RowState, StoredAnswer, StoredBody};
use crate::prelude::*;

/// A claim that this entry host has made or is making.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    pub request: RequestId,
    pub row: String,
    pub token: ClaimToken,
    pub body_sha256: BodyHash,
    pub expires_unix_ms: u64,
    pub intent: Intent,
    pub step: Step,
    /// Version that the next write expects; `None` when no row is expected.
    pub version: Option<u64>,
    /// Whether a write of this claim was sent whose outcome is unknown.
    pub may_be_written: bool,
    pub is_dispatched: bool,
    pub deadline_ms: u64,
    pub answer: Option<StoredAnswer>,
    /// Body that the object store hasn't confirmed yet; the finish is written after it.
    pub unstored_body: Option<Vec<u8>>,
}

/// The state that the claim has to bring its row to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Intent {
    /// Claimed by this token.
    Claim,
    /// Unchanged, as the request may run.
    Hold,
    /// Released, as the request didn't run.
    Release,
    /// Finished with the answer.
    Finish,
}

/// Progress of the claim's next write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// No write is due.
    Idle,
    /// Queued for the next transaction.
    Queued,
    /// Sent as part of a transaction.
    InFlight,
    /// The row is being read, as the reply to its write was lost.
    Reading,
    /// Pausing until this time, then retried.
    Waiting { until_ms: u64 },
}

impl Claim {
    /// Returns the write that brings the row to the intended state, if one is needed.
    pub fn write(&self) -> Option<ConditionalWrite> {
        let state = match self.intent {
            Intent::Hold => return None,
            Intent::Claim => RowState::Claimed,
            Intent::Release => RowState::Released,
            Intent::Finish => RowState::Finished,
        };
        let value = Row {
            token: self.token,
            body_sha256: self.body_sha256,
            state,
            answer: self.answer.clone(),
            expires_unix_ms: self.expires_unix_ms,
        };
        Some(ConditionalWrite {
            row: self.row.clone(),
            version: self.version,
            value,
        })
    }

    /// Sets the answer to be written: in the row if it is text of at most
    /// `inline_max_bytes`, otherwise in an object.
    pub fn store_answer(&mut self, answer: Answer, inline_max_bytes: usize) {
        let body = match String::from_utf8(answer.body) {
            Ok(text) if text.len() <= inline_max_bytes => StoredBody::Text(text),
            Ok(text) => self.store_in_object(text.into_bytes()),
            Err(error) => self.store_in_object(error.into_bytes()),
        };
        let content_type = answer.content_type;
        self.answer = Some(StoredAnswer {
            status: answer.status,
            content_type,
            body,
        });
        self.intent = Intent::Finish;
    }

    /// Emits the upload of the answer's object if it isn't stored yet.
    pub fn put_object(&self, effects: &mut Vec<Effect>) {
        let Some(body) = &self.unstored_body else {
            return;
        };
        let name = object_name(self.token);
        let request = self.request;
        effects.push(Effect::PutObject {
            request,
            name,
            body: body.clone(),
        });
    }

    /// Discards the answer when there is no memory to hold it until it is stored.
    pub fn discard_answer(&mut self) {
        self.answer = None;
        self.unstored_body = None;
    }

    pub fn wait_until(&mut self, until_ms: u64) {
        self.step = Step::Waiting { until_ms };
    }

    pub fn stop_waiting(&mut self) {
        if let Step::Waiting { .. } = self.step {
            self.step = Step::Idle;
        }
    }

    /// Returns the answer if a repeat of the key can be answered with it.
    pub fn replayable_answer(&self) -> Option<&StoredAnswer> {
        self.answer
            .as_ref()
            .filter(|_| self.unstored_body.is_none())
    }

    fn store_in_object(&mut self, body: Vec<u8>) -> StoredBody {
        self.unstored_body = Some(body);
        StoredBody::Object(object_name(self.token))
    }
}

/// Derives the object's name from the token, so that a repeated upload is idempotent.
fn object_name(token: ClaimToken) -> String {
    format!("claim-{token}")
}
