//! Faults of the stand-in engine.

use serde::{Deserialize, Serialize};

/// The faults that a test sets on an engine, in process or by `POST /standin/faults`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Dies as soon as one stream has sent this many tokens; 0 is before the first.
    pub die_at_token: Option<u32>,
    /// Dies when it begins a request whose prompt contains this text.
    pub crash_marker: Option<String>,
    /// Closes the connection of a stream; the generation goes on and can be resumed.
    pub cut: Option<AtToken>,
    /// Sends nothing more, not even comments, on streams that have sent this many tokens.
    pub stall_at_token: Option<u32>,
    /// Produces no tokens; streams stay open and send comments.
    pub freeze_steps: bool,
    /// Produces no tokens once a generation has this many, so that a test can act at a
    /// known point of a stream.
    pub freeze_at_token: Option<u32>,
    /// Sends an event that breaks the protocol.
    pub nonsense: Option<Nonsense>,
    /// Refuses every new request as not run.
    pub reject: bool,
    /// Says in its load reports that it is leaving; it still takes requests.
    pub leaving: bool,
    /// Says that it serves although it is leaving, as an engine does that is reclaimed
    /// without being told.
    pub hides_leaving: bool,
    /// Dies this long after `leaving` was set.
    pub dies_after_leaving_ms: Option<u64>,
}

/// A point in a stream, and how often something happens there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AtToken {
    /// The tokens that the stream has sent before.
    pub token: u32,
    /// The number of streams that it happens to.
    pub times: u32,
}

/// An event that breaks the protocol, in place of the right one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nonsense {
    /// What is wrong with the event.
    pub kind: NonsenseKind,
    /// The index of the token.
    pub token: u32,
    /// The number of streams that it happens to.
    pub times: u32,
}

/// What is wrong with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum NonsenseKind {
    /// Bytes that aren't a server-sent event with JSON data.
    BadEvent,
    /// The id of another generation.
    WrongGeneration,
    /// An index that leaves one out.
    SkippedIndex,
    /// The index of the token before.
    RepeatedIndex,
    /// An event of several megabytes.
    HugeFrame,
}

/// What a stream has to do before it goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamFault {
    Die,
    Cut,
    Stall,
}

impl EngineFaults {
    /// Returns the fault that is due on a stream, and uses up a cut.
    pub(super) fn take_stream_fault(&mut self, sent_tokens: u32) -> Option<StreamFault> {
        if self.die_at_token == Some(sent_tokens) {
            return Some(StreamFault::Die);
        }
        if let Some(cut) = &mut self.cut
            && take(cut.token == sent_tokens, &mut cut.times)
        {
            return Some(StreamFault::Cut);
        }
        let stalled = self
            .stall_at_token
            .is_some_and(|token| token <= sent_tokens);
        stalled.then_some(StreamFault::Stall)
    }

    /// Uses up one broken event, when it is due at a token.
    pub(super) fn take_nonsense(&mut self, index: u32) -> Option<NonsenseKind> {
        let nonsense = self.nonsense.as_mut()?;
        take(nonsense.token == index, &mut nonsense.times).then_some(nonsense.kind)
    }
}

fn take(due: bool, times: &mut u32) -> bool {
    if !due || *times == 0 {
        return false;
    }
    *times -= 1;
    true
}
