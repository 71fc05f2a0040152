//! Transitions of the specification of delivery.

use super::{Action, Config, Ending, Frame, Mutation, Output, Phase, RunState, State};

pub(super) struct Transition<'a> {
    pub(super) config: &'a Config,
    pub(super) state: State,
    pub(super) outputs: Vec<Output>,
}

impl Transition<'_> {
    pub(super) fn apply(&mut self, action: Action) -> Option<()> {
        let phase = self.state.phase;
        let has_attempt = matches!(phase, Phase::Streaming | Phase::Resuming);
        let is_open = has_attempt || phase == Phase::Starting;
        match action {
            Action::Start if phase == Phase::Starting => self.start(),
            Action::EmitToken { generation } => return self.emit(generation),
            Action::ReceiveFrame(frame) if phase != Phase::HostCrashed => {
                self.receive_frame(frame)
            }
            Action::ConnectionLost if has_attempt => self.lose_connection(),
            Action::Resumed if phase == Phase::Resuming => {
                self.state.phase = Phase::Streaming;
            }
            Action::TargetLost if has_attempt => self.fail_attempt(),
            Action::Refused if has_attempt => return self.refuse_attempt(),
            Action::CallerDisconnected if is_open => self.end(Ending::CallerDisconnected),
            Action::TimedOut if is_open => self.end(self.interrupted_ending()),
            Action::Crash if is_open => return self.crash(),
            Action::CallerResumes if phase == Phase::HostCrashed => {
                return self.resume_caller();
            }
            _ => return None,
        }
        Some(())
    }

    fn start(&mut self) {
        let state = &mut self.state;
        state.generation = state.emitted.len() as u8;
        state.emitted.push(0);
        state.runs.push(RunState::Began);
        state.phase = Phase::Streaming;
        state.next_index = 0;
        state.is_sent = true;
        state.resumes_left = self.config.resumes_max;
        if self.config.mutation == Some(Mutation::Splice) {
            state.next_index = state.received.len() as u8;
        }
    }

    fn emit(&mut self, generation: u8) -> Option<()> {
        let has_begun = self.state.runs[usize::from(generation)] == RunState::Began;
        let emitted = &mut self.state.emitted[usize::from(generation)];
        if !has_begun || *emitted == self.config.tokens {
            return None;
        }
        *emitted += 1;
        Some(())
    }

    fn receive_frame(&mut self, frame: Frame) {
        let state = &self.state;
        let has_attempt = matches!(state.phase, Phase::Streaming | Phase::Resuming);
        let accepts_any_generation =
            self.config.mutation == Some(Mutation::AcceptAnyGeneration);
        let accepts_any_index = self.config.mutation == Some(Mutation::AcceptAnyIndex);
        let is_own = frame.generation == state.generation || accepts_any_generation;
        if !has_attempt
            || !is_own
            || (frame.index < state.next_index && !accepts_any_index)
        {
            self.outputs.push(Output::Reject);
        } else if frame.index > state.next_index && !accepts_any_index {
            self.outputs.push(Output::Reject);
            if state.phase == Phase::Streaming {
                self.lose_connection();
            }
        } else {
            self.accept_frame(frame);
        }
    }

    fn accept_frame(&mut self, frame: Frame) {
        let state = &mut self.state;
        state.next_index += 1;
        state.resumes_left = self.config.resumes_max;
        if self.config.is_buffered {
            state.buffered.push(frame);
            self.outputs.push(Output::Buffer(frame));
        } else {
            state.has_delivered = true;
            state.received.push(frame);
            self.outputs.push(Output::Deliver(frame));
        }
        if frame.index + 1 == self.config.tokens {
            self.complete();
        }
    }

    fn complete(&mut self) {
        if self.config.is_buffered {
            let buffered = std::mem::take(&mut self.state.buffered);
            self.state.received.extend(buffered);
            self.outputs.push(Output::DeliverBuffered);
        }
        self.state.phase = Phase::Ended;
        self.state.ending = Some(Ending::Complete);
        self.outputs.push(Output::End(Ending::Complete));
    }

    fn lose_connection(&mut self) {
        let state = &mut self.state;
        if state.resumes_left == 0 {
            return self.fail_attempt();
        }
        state.resumes_left -= 1;
        state.phase = Phase::Resuming;
        self.outputs.push(Output::Resume {
            generation: state.generation,
            from_index: state.next_index,
        });
    }

    /// Only a target that has sent no frame can prove that the run didn't begin.
    fn refuse_attempt(&mut self) -> Option<()> {
        let generation = usize::from(self.state.generation);
        let is_unused = self.state.emitted[generation] == 0;
        if !is_unused || self.state.next_index > 0 {
            return None;
        }
        self.state.runs[generation] = RunState::ProvedNotRun;
        self.state.is_sent = false;
        self.fail_attempt();
        Some(())
    }

    fn fail_attempt(&mut self) {
        let state = &self.state;
        let skips_proof = self.config.mutation == Some(Mutation::RetryWithoutProof);
        let allows_splice = self.config.mutation == Some(Mutation::Splice);
        let is_permitted =
            self.config.is_idempotent || !state.may_have_run() || skips_proof;
        let is_unseen = !state.has_delivered || allows_splice;
        if !is_permitted || !is_unseen || state.attempt == self.config.attempts_max {
            return self.end(self.interrupted_ending());
        }
        self.cancel();
        if self.config.is_buffered && self.state.next_index > 0 {
            self.outputs.push(Output::DiscardBuffered);
        }
        let state = &mut self.state;
        state.buffered.clear();
        state.earlier_attempt_may_have_run |= state.is_sent;
        state.is_sent = false;
        state.attempt += 1;
        state.phase = Phase::Starting;
        self.outputs.push(Output::StartAttempt {
            attempt: state.attempt,
        });
    }

    fn interrupted_ending(&self) -> Ending {
        match self.state.may_have_run() {
            true => Ending::InterruptedMayHaveRun,
            false => Ending::InterruptedNotRun,
        }
    }

    fn end(&mut self, ending: Ending) {
        self.cancel();
        self.state.buffered.clear();
        self.state.phase = Phase::Ended;
        self.state.ending = Some(ending);
        self.outputs.push(Output::End(ending));
    }

    fn cancel(&mut self) {
        if matches!(self.state.phase, Phase::Streaming | Phase::Resuming) {
            self.outputs.push(Output::Cancel {
                generation: self.state.generation,
            });
        }
    }

    fn crash(&mut self) -> Option<()> {
        if self.state.crashes == self.config.crashes_max {
            return None;
        }
        self.state.crashes += 1;
        self.state.buffered.clear();
        self.state.phase = Phase::HostCrashed;
        Some(())
    }

    fn resume_caller(&mut self) -> Option<()> {
        let received = self.state.received.len() as u8;
        if received == 0 {
            return None;
        }
        let state = &mut self.state;
        state.phase = Phase::Resuming;
        state.next_index = received;
        state.has_delivered = true;
        state.is_sent = true;
        state.resumes_left = self.config.resumes_max;
        Some(())
    }
}
