//! A request that waits for a target, and the homes that it has asked.

use crate::accounts::event::{RefuseReason, Request};
use crate::accounts::message::Reserve;
use crate::prelude::*;

/// A request that waits for a target.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) request: Request,
    pub(super) since_ms: u64,
    pub(super) widened_ms: u64,
    pub(super) untried: Vec<TargetName>,
    pub(super) asked: Vec<Asked>,
}

#[derive(Clone, Debug)]
pub(super) struct Asked {
    pub(super) target: TargetName,
    /// When it was first asked, or asked anew after a change of home.
    pub(super) at_ms: u64,
    /// When the question was last sent.
    pub(super) sent_ms: u64,
    pub(super) answer: Answer,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Answer {
    None,
    Queued,
    Refused {
        reason: RefuseReason,
        retry_after_ms: u64,
    },
}

impl Pending {
    /// Notes a home's answer.
    pub(super) fn note(&mut self, target: &TargetName, answer: Answer) {
        let asked = self.asked.iter_mut().find(|asked| &asked.target == target);
        if let Some(asked) = asked {
            asked.answer = answer;
        }
    }

    /// Returns the refusal for the caller once every asked home has refused.
    pub(super) fn verdict(&self) -> Option<(RefuseReason, u64)> {
        let mut best: Option<(RefuseReason, u64)> = None;
        for asked in &self.asked {
            let Answer::Refused {
                reason,
                retry_after_ms,
            } = asked.answer
            else {
                return None;
            };
            // A host that isn't the home says nothing about the target.
            if reason == RefuseReason::NotHome {
                return None;
            }
            if best.is_none_or(|(_, soonest_ms)| retry_after_ms < soonest_ms) {
                best = Some((reason, retry_after_ms));
            }
        }
        best
    }

    /// Returns the targets whose homes should be asked again: a question or its answer may
    /// have been lost, and so may a home's queue.
    pub(super) fn due_again(
        &mut self,
        now_ms: u64,
        timeout_ms: u64,
        repeat_ms: u64,
    ) -> Vec<TargetName> {
        let mut due = Vec::new();
        for asked in &mut self.asked {
            let interval_ms = match asked.answer {
                Answer::None => timeout_ms,
                Answer::Queued => repeat_ms,
                Answer::Refused { .. } => continue,
            };
            if now_ms >= asked.sent_ms + interval_ms {
                asked.sent_ms = now_ms;
                due.push(asked.target.clone());
            }
        }
        due
    }

    /// Says whether no home has given an answer that counts within the timeout.
    pub(super) fn is_unanswered(&self, now_ms: u64, timeout_ms: u64) -> bool {
        self.asked.iter().all(|asked| match asked.answer {
            Answer::None => now_ms >= asked.at_ms + timeout_ms,
            Answer::Queued => false,
            Answer::Refused { .. } => now_ms >= asked.at_ms + timeout_ms,
        })
    }
}

/// Puts a request into the form in which a home is asked.
pub(super) fn reserve_of(request: &Request, target: &TargetName) -> Reserve {
    Reserve {
        request: request.request,
        generation: request.generation,
        target: target.clone(),
        organisation: request.organisation.clone(),
        kind: request.kind.clone(),
        prompt_tokens: request.prompt_tokens,
        max_output_tokens: request.max_output_tokens,
        prefix_hashes: request.prefix_hashes.clone(),
        deadline_unix_ms: request.deadline_unix_ms,
        priority: request.priority,
        weight: request.weight,
        limits: request.limits,
    }
}
