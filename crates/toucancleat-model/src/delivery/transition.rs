//! What each action changes.

use super::{Action, Broken, Config, Ending, Frame, Output, Phase, Run, State};

pub(super) struct Stream<'a> {
    pub(super) config: &'a Config,
    pub(super) state: State,
    pub(super) outputs: Vec<Output>,
}

impl Stream<'_> {
    pub(super) fn take(&mut self, action: Action) -> Option<()> {
        let phase = self.state.phase;
        let up = matches!(phase, Phase::Streaming | Phase::Resuming);
        let open = up || phase == Phase::Starting;
        match action {
            Action::Start if phase == Phase::Starting => self.start(),
            Action::Emit { generation } => return self.emit(generation),
            Action::Arrive(frame) if phase != Phase::Down => self.arrive(frame),
            Action::LinkLost if up => self.link_lost(),
            Action::Resumed if phase == Phase::Resuming => {
                self.state.phase = Phase::Streaming;
            }
            Action::TargetLost if up => self.attempt_failed(),
            Action::Refused if up => return self.refused(),
            Action::CallerGone if open => self.end(Ending::CallerGone),
            Action::TimedOut if open => self.end(self.broken()),
            Action::Crash if open => return self.crash(),
            Action::CallerResumes if phase == Phase::Down => {
                return self.caller_resumes();
            }
            _ => return None,
        }
        Some(())
    }

    fn start(&mut self) {
        let state = &mut self.state;
        state.generation = state.emitted.len() as u8;
        state.emitted.push(0);
        state.runs.push(Run::Began);
        state.phase = Phase::Streaming;
        state.next_index = 0;
        state.sent = true;
        state.resumes_left = self.config.resumes_max;
        if self.config.broken == Some(Broken::Splice) {
            state.next_index = state.seen.len() as u8;
        }
    }

    fn emit(&mut self, generation: u8) -> Option<()> {
        let began = self.state.runs[usize::from(generation)] == Run::Began;
        let emitted = &mut self.state.emitted[usize::from(generation)];
        if !began || *emitted == self.config.tokens {
            return None;
        }
        *emitted += 1;
        Some(())
    }

    fn arrive(&mut self, frame: Frame) {
        let state = &self.state;
        let up = matches!(state.phase, Phase::Streaming | Phase::Resuming);
        let any_generation = self.config.broken == Some(Broken::AnyGeneration);
        let any_index = self.config.broken == Some(Broken::AnyIndex);
        let own = frame.generation == state.generation || any_generation;
        if !up || !own || (frame.index < state.next_index && !any_index) {
            self.outputs.push(Output::Reject);
        } else if frame.index > state.next_index && !any_index {
            self.outputs.push(Output::Reject);
            if state.phase == Phase::Streaming {
                self.link_lost();
            }
        } else {
            self.pass(frame);
        }
    }

    fn pass(&mut self, frame: Frame) {
        let state = &mut self.state;
        state.next_index += 1;
        state.resumes_left = self.config.resumes_max;
        if self.config.whole {
            state.held.push(frame);
            self.outputs.push(Output::Hold(frame));
        } else {
            state.delivered = true;
            state.seen.push(frame);
            self.outputs.push(Output::Deliver(frame));
        }
        if frame.index + 1 == self.config.tokens {
            self.finish();
        }
    }

    fn finish(&mut self) {
        if self.config.whole {
            let held = std::mem::take(&mut self.state.held);
            self.state.seen.extend(held);
            self.outputs.push(Output::DeliverHeld);
        }
        self.state.phase = Phase::Ended;
        self.state.ended = Some(Ending::Whole);
        self.outputs.push(Output::End(Ending::Whole));
    }

    fn link_lost(&mut self) {
        let state = &mut self.state;
        if state.resumes_left == 0 {
            return self.attempt_failed();
        }
        state.resumes_left -= 1;
        state.phase = Phase::Resuming;
        self.outputs.push(Output::Resume {
            generation: state.generation,
            from_index: state.next_index,
        });
    }

    /// Only a target that has sent nothing can prove that it didn't begin.
    fn refused(&mut self) -> Option<()> {
        let generation = usize::from(self.state.generation);
        let unused = self.state.emitted[generation] == 0;
        if !unused || self.state.next_index > 0 {
            return None;
        }
        self.state.runs[generation] = Run::Refused;
        self.state.sent = false;
        self.attempt_failed();
        Some(())
    }

    fn attempt_failed(&mut self) {
        let state = &self.state;
        let unproved = self.config.broken == Some(Broken::RerunUnproved);
        let splice = self.config.broken == Some(Broken::Splice);
        let permitted = self.config.idempotent || !state.may_have_run() || unproved;
        let unseen = !state.delivered || splice;
        if !permitted || !unseen || state.attempt == self.config.attempts_max {
            return self.end(self.broken());
        }
        self.cancel();
        if self.config.whole && self.state.next_index > 0 {
            self.outputs.push(Output::DiscardHeld);
        }
        let state = &mut self.state;
        state.held.clear();
        state.earlier_may_have_run |= state.sent;
        state.sent = false;
        state.attempt += 1;
        state.phase = Phase::Starting;
        self.outputs.push(Output::Rerun {
            attempt: state.attempt,
        });
    }

    fn broken(&self) -> Ending {
        match self.state.may_have_run() {
            true => Ending::BrokenMayHaveRun,
            false => Ending::BrokenNotRun,
        }
    }

    fn end(&mut self, ending: Ending) {
        self.cancel();
        self.state.held.clear();
        self.state.phase = Phase::Ended;
        self.state.ended = Some(ending);
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
        if self.state.crashes == self.config.crashes {
            return None;
        }
        self.state.crashes += 1;
        self.state.held.clear();
        self.state.phase = Phase::Down;
        Some(())
    }

    fn caller_resumes(&mut self) -> Option<()> {
        let seen = self.state.seen.len() as u8;
        if seen == 0 {
            return None;
        }
        let state = &mut self.state;
        state.phase = Phase::Resuming;
        state.next_index = seen;
        state.delivered = true;
        state.sent = true;
        state.resumes_left = self.config.resumes_max;
        Some(())
    }
}
