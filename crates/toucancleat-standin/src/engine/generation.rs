//! One generation, shared by the engine's steps and the streams that read it.

use std::sync::atomic::{AtomicU32, Ordering};

use tokio::sync::watch;

use super::arrival::Arrival;
use super::model::SequenceId;
use super::records::GenerationState;
use super::request::OutputLength;

/// One generation.
#[derive(Debug)]
pub(super) struct Generation {
    pub(super) id: String,
    pub(super) sequence: SequenceId,
    /// The index of its record.
    pub(super) record: usize,
    /// Whether it crashes the engine.
    pub(super) marked: bool,
    pub(super) chat: bool,
    pub(super) length: OutputLength,
    progress: watch::Sender<Progress>,
    streams: AtomicU32,
}

/// How far a generation has come.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    pub(super) produced_tokens: u32,
    pub(super) state: GenerationState,
}

impl Generation {
    /// Makes a generation that has produced nothing.
    pub(super) fn new(
        arrival: &Arrival,
        sequence: SequenceId,
        record: usize,
        marked: bool,
    ) -> Generation {
        Generation {
            id: arrival.generation_id.clone(),
            sequence,
            record,
            marked,
            chat: arrival.chat,
            length: arrival.length,
            progress: watch::Sender::new(Progress {
                produced_tokens: 0,
                state: GenerationState::Running,
            }),
            streams: AtomicU32::new(0),
        }
    }

    /// Returns how far it has come.
    pub(super) fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    /// Returns a view that follows the progress.
    pub(super) fn follow(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// Brings out the next token, unless it has already ended.
    pub(super) fn advance(&self) {
        self.progress.send_if_modified(|progress| {
            if progress.state != GenerationState::Running {
                return false;
            }
            progress.produced_tokens += 1;
            if progress.produced_tokens >= self.length.tokens {
                progress.state = GenerationState::Finished;
            }
            true
        });
    }

    /// Ends it early; says whether it was still running.
    pub(super) fn end(&self, state: GenerationState) -> bool {
        self.progress.send_if_modified(|progress| {
            let running = progress.state == GenerationState::Running;
            if running {
                progress.state = state;
            }
            running
        })
    }

    /// Counts a stream that begins to read.
    pub(super) fn attach(&self) {
        self.streams.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a stream that has ended; says whether it was the last.
    pub(super) fn detach(&self) -> bool {
        self.streams.fetch_sub(1, Ordering::Relaxed) == 1
    }

    /// Says whether a stream reads it.
    pub(super) fn is_read(&self) -> bool {
        self.streams.load(Ordering::Relaxed) > 0
    }
}

/// Returns the text of a token, which names its generation and index, so that a caller
/// can tell from the text alone that an answer was put together wrongly.
pub(super) fn token_text(generation_id: &str, index: u32) -> String {
    let head = &generation_id[..generation_id.len().min(8)];
    format!("{head}:{index} ")
}
