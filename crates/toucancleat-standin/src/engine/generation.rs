//! A generation, which the engine's steps and the streams that read it share.

use std::sync::atomic::{AtomicU32, Ordering};

use tokio::sync::watch;

use super::incoming_request::IncomingRequest;
use super::model::SequenceId;
use super::records::GenerationState;
use super::request::OutputLength;

/// A generation and its progress.
#[derive(Debug)]
pub(super) struct Generation {
    pub(super) id: String,
    pub(super) sequence_id: SequenceId,
    /// Index of its record.
    pub(super) record_index: usize,
    /// Whether its prompt contains the marker that crashes the engine.
    pub(super) crashes_engine: bool,
    pub(super) is_chat: bool,
    pub(super) length: OutputLength,
    progress: watch::Sender<Progress>,
    readers: AtomicU32,
}

/// Progress of a generation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    pub(super) produced_tokens: u32,
    pub(super) state: GenerationState,
}

impl Generation {
    /// Creates a generation that has produced no tokens.
    pub(super) fn new(
        incoming: &IncomingRequest,
        sequence_id: SequenceId,
        record_index: usize,
        crashes_engine: bool,
    ) -> Generation {
        Generation {
            id: incoming.generation_id.clone(),
            sequence_id,
            record_index,
            crashes_engine,
            is_chat: incoming.is_chat,
            length: incoming.length,
            progress: watch::Sender::new(Progress {
                produced_tokens: 0,
                state: GenerationState::Running,
            }),
            readers: AtomicU32::new(0),
        }
    }

    /// Returns the current progress.
    pub(super) fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    /// Returns a receiver of progress updates.
    pub(super) fn subscribe(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// Publishes the next token, unless the generation has already ended.
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

    /// Ends the generation early; returns true if it was still running.
    pub(super) fn end(&self, state: GenerationState) -> bool {
        self.progress.send_if_modified(|progress| {
            let is_running = progress.state == GenerationState::Running;
            if is_running {
                progress.state = state;
            }
            is_running
        })
    }

    /// Counts a stream that starts reading.
    pub(super) fn attach(&self) {
        self.readers.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a stream that has ended; returns true if it was the last reader.
    pub(super) fn detach(&self) -> bool {
        self.readers.fetch_sub(1, Ordering::Relaxed) == 1
    }

    /// Returns true if a stream reads the generation.
    pub(super) fn has_readers(&self) -> bool {
        self.readers.load(Ordering::Relaxed) > 0
    }
}

/// Returns the text of a token, which contains its generation's id and its index, so that
/// a caller detects a wrongly assembled answer from the text alone.
pub(super) fn token_text(generation_id: &str, index: u32) -> String {
    let head = &generation_id[..generation_id.len().min(8)];
    format!("{head}:{index} ")
}
