//! Faults that a stand-in engine injects.

use serde::{Deserialize, Serialize};

/// Faults that a test sets on an engine, in process or by `POST /standin/faults`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Crashes as soon as one stream has sent this many tokens; 0 is before the first.
    pub die_at_token: Option<u32>,
    /// Crashes when it starts a request whose prompt contains this text.
    pub crash_marker: Option<String>,
    /// Closes the connection of a stream; the generation continues and can be resumed.
    pub cut: Option<StreamCut>,
    /// Sends nothing more, not even comments, on streams that have sent at least this
    /// many tokens.
    pub stall_at_token: Option<u32>,
    /// Produces no tokens; streams stay open and send comments.
    pub freeze_steps: bool,
    /// Produces no tokens once a generation has produced this many, so that a test can
    /// act at a known position of a stream.
    pub freeze_at_token: Option<u32>,
    /// Sends an event that violates the protocol.
    pub nonsense: Option<InvalidEvent>,
    /// Refuses every new request as not run.
    pub reject: bool,
    /// Reports that it is leaving in its load reports; it still accepts requests.
    pub leaving: bool,
    /// Reports that it is serving although it is leaving, as an engine does that is
    /// reclaimed without notice.
    pub hides_leaving: bool,
    /// Crashes this long after `leaving` was set.
    pub dies_after_leaving_ms: Option<u64>,
}

/// A position in a stream, and the number of streams that a fault affects there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StreamCut {
    /// Number of tokens that the stream has sent before the fault.
    pub token: u32,
    /// Number of streams that are affected.
    pub times: u32,
}

/// An event that violates the protocol, sent in place of the correct one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InvalidEvent {
    /// How the event violates the protocol.
    pub kind: InvalidEventKind,
    /// Index of the token whose event is replaced.
    pub token: u32,
    /// Number of streams that are affected.
    pub times: u32,
}

/// How an event violates the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum InvalidEventKind {
    /// Its data isn't JSON and its id is malformed.
    BadEvent,
    /// It has the id of another generation.
    WrongGeneration,
    /// Its index skips one.
    SkippedIndex,
    /// It repeats the index of the previous token.
    RepeatedIndex,
    /// Its text has 8 MiB.
    HugeFrame,
}

/// Fault that a stream applies before its next event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamFault {
    Crash,
    Cut,
    Stall,
}

impl EngineFaults {
    /// Returns the fault that is due on a stream after a number of sent tokens, and
    /// counts a cut as used.
    pub(super) fn take_stream_fault(&mut self, sent_tokens: u32) -> Option<StreamFault> {
        if self.die_at_token == Some(sent_tokens) {
            return Some(StreamFault::Crash);
        }
        if let Some(cut) = &mut self.cut
            && consume_if_due(cut.token == sent_tokens, &mut cut.times)
        {
            return Some(StreamFault::Cut);
        }
        let is_stalled = self
            .stall_at_token
            .is_some_and(|token| token <= sent_tokens);
        is_stalled.then_some(StreamFault::Stall)
    }

    /// Returns the kind of invalid event that is due at a token, and counts it as used.
    pub(super) fn take_invalid_event(&mut self, index: u32) -> Option<InvalidEventKind> {
        let invalid_event = self.nonsense.as_mut()?;
        consume_if_due(invalid_event.token == index, &mut invalid_event.times)
            .then_some(invalid_event.kind)
    }
}

/// Counts a fault as used and returns true if it is due and has uses left.
fn consume_if_due(is_due: bool, times: &mut u32) -> bool {
    if !is_due || *times == 0 {
        return false;
    }
    *times -= 1;
    true
}
