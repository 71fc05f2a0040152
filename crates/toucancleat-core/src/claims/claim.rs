//! One claim on its way through the table.

use super::message::{Answer, ConditionalWrite, Effect};
use super::row::{BodyHash, ClaimToken, Row, RowState, StoredAnswer, StoredBody};
use crate::prelude::*;

/// A claim of this entry host.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    pub request: RequestId,
    pub row: String,
    pub token: ClaimToken,
    pub body_sha256: BodyHash,
    pub expires_unix_ms: u64,
    pub want: Want,
    pub step: Step,
    /// Version that the next write expects; `None` when no row is expected.
    pub version: Option<u64>,
    /// Whether a write of this claim was sent whose outcome isn't known.
    pub may_be_written: bool,
    pub dispatched: bool,
    pub deadline_ms: u64,
    pub answer: Option<StoredAnswer>,
    /// Body that the object store hasn't confirmed yet.
    pub object_body: Option<Vec<u8>>,
}

/// What the row has to become.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Want {
    /// Claimed by this token.
    Claim,
    /// As it is: the request runs.
    Hold,
    /// Released, as the request didn't run.
    Release,
    /// Finished with the answer.
    Finish,
}

/// Where the claim's next write is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Nothing to do for now.
    Idle,
    /// In the queue for the next transaction.
    Queued,
    /// In a transaction.
    InFlight,
    /// Being read back after a lost reply.
    Reading,
    /// Tried again at this time.
    Waiting { until_ms: u64 },
}

impl Claim {
    /// Returns the write that brings the row to what is wanted.
    pub fn write(&self) -> Option<ConditionalWrite> {
        let state = match self.want {
            Want::Hold => return None,
            Want::Claim => RowState::Claimed,
            Want::Release => RowState::Released,
            Want::Finish => RowState::Finished,
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

    /// Keeps the answer in the row when it is small, else in an object.
    pub fn keep_answer(&mut self, answer: Answer, inline_max_bytes: usize) {
        let body = match String::from_utf8(answer.body) {
            Ok(text) if text.len() <= inline_max_bytes => StoredBody::Text(text),
            Ok(text) => self.object(text.into_bytes()),
            Err(error) => self.object(error.into_bytes()),
        };
        let content_type = answer.content_type;
        self.answer = Some(StoredAnswer {
            status: answer.status,
            content_type,
            body,
        });
        self.want = Want::Finish;
    }

    /// Asks for the object that the answer needs, if it isn't stored yet.
    pub fn put_object(&self, effects: &mut Vec<Effect>) {
        let Some(body) = &self.object_body else {
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

    /// Gives up the answer where there is no room to keep it until it is stored.
    pub fn drop_answer(&mut self) {
        self.answer = None;
        self.object_body = None;
    }

    pub fn wait_until(&mut self, until_ms: u64) {
        self.step = Step::Waiting { until_ms };
    }

    pub fn stop_waiting(&mut self) {
        if let Step::Waiting { .. } = self.step {
            self.step = Step::Idle;
        }
    }

    /// Returns the answer when a repeat of the key can be given it.
    pub fn answer_at_hand(&self) -> Option<&StoredAnswer> {
        self.answer.as_ref().filter(|_| self.object_body.is_none())
    }

    fn object(&mut self, body: Vec<u8>) -> StoredBody {
        self.object_body = Some(body);
        StoredBody::Object(object_name(self.token))
    }
}

/// The object's name derives from the token, so that a repeated upload is harmless.
fn object_name(token: ClaimToken) -> String {
    format!("claim-{token}")
}
