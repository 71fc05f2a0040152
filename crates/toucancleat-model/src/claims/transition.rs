//! What each action changes.

use super::{Action, Broken, Config, Mark, Output, State, Step, Token, Write};

pub(super) struct World<'a> {
    pub(super) config: &'a Config,
    pub(super) state: State,
    pub(super) outputs: Vec<Output>,
}

impl World<'_> {
    pub(super) fn take(&mut self, action: Action) -> Option<()> {
        match action {
            Action::Begin { host } => self.begin(host),
            Action::Answer { host } => self.answer(host),
            Action::LoseReply { host } => {
                let (write, want) = self.writing(host)?;
                self.apply_write(write);
                self.read_back(host, write, want)
            }
            Action::Delay { host } => {
                let (write, want) = self.writing(host)?;
                self.state.late.insert(write);
                self.read_back(host, write, want)
            }
            Action::Reject { host } => self.reject(host),
            Action::ArriveLate { write } => {
                let before = self.state.row;
                self.apply_write(write);
                (self.state.row != before).then_some(())
            }
            Action::Read { host } => self.read(host),
            Action::FailRead { host } => self.fail_read(host),
            Action::TimeOut { host } => self.time_out(host),
            Action::Retry { host } => {
                let Step::Waiting { write } = self.step(host) else {
                    return None;
                };
                self.send(host, write, write.mark)
            }
            Action::Dispatch { host } => self.dispatch(host),
            Action::Abandon { host } => self.abandon(host),
            Action::Finish { host } => {
                let (token, version) = self.running(host)?;
                self.send(
                    host,
                    Write {
                        token,
                        mark: Mark::Finished,
                        version,
                    },
                    Mark::Finished,
                )
            }
            Action::Disprove { host } => {
                let (token, version) = self.running(host)?;
                self.state.may_have_run.remove(&token);
                self.send(
                    host,
                    Write {
                        token,
                        mark: Mark::Released,
                        version,
                    },
                    Mark::Released,
                )
            }
            Action::Crash { host } => self.crash(host),
        }
    }

    /// Drops late writes whose condition can't hold any more, as versions only rise.
    pub(super) fn forget_dead_writes(&mut self) {
        if self.config.broken != Some(Broken::Unconditional) {
            let version = self.state.row.version;
            self.state.late.retain(|write| write.version >= version);
        }
    }

    fn step(&self, host: u8) -> Step {
        self.state.hosts[usize::from(host)]
    }

    fn set(&mut self, host: u8, step: Step) -> Option<()> {
        self.state.hosts[usize::from(host)] = step;
        Some(())
    }

    fn writing(&self, host: u8) -> Option<(Write, Mark)> {
        match self.step(host) {
            Step::Writing { write, want, .. } => Some((write, want)),
            _ => None,
        }
    }

    fn running(&self, host: u8) -> Option<(Token, u8)> {
        match self.step(host) {
            Step::Held {
                token,
                version,
                dispatched: true,
            } => Some((token, version)),
            _ => None,
        }
    }

    fn send(&mut self, host: u8, write: Write, want: Mark) -> Option<()> {
        self.outputs.push(Output::Write(write));
        let in_doubt = self.is_in_doubt(host);
        self.set(
            host,
            Step::Writing {
                write,
                want,
                in_doubt,
            },
        )
    }

    /// Says whether an earlier write of the host's claim may have taken effect.
    fn is_in_doubt(&self, host: u8) -> bool {
        match self.step(host) {
            Step::Writing { in_doubt, .. } => in_doubt,
            step => matches!(step, Step::Reading { .. }),
        }
    }

    fn apply_write(&mut self, write: Write) -> bool {
        let unconditional = self.config.broken == Some(Broken::Unconditional);
        if self.state.row.version != write.version && !unconditional {
            return false;
        }
        self.state.row.version += 1;
        self.state.row.value = Some((write.token, write.mark));
        true
    }

    fn begin(&mut self, host: u8) -> Option<()> {
        let begun = &mut self.state.begun[usize::from(host)];
        if self.state.hosts[usize::from(host)] != Step::Idle
            || *begun == self.config.requests[usize::from(host)]
        {
            return None;
        }
        let token = Token {
            host,
            number: *begun,
        };
        *begun += 1;
        self.send(
            host,
            Write {
                token,
                mark: Mark::Claimed,
                version: 0,
            },
            Mark::Claimed,
        )
    }

    fn answer(&mut self, host: u8) -> Option<()> {
        let (write, want) = self.writing(host)?;
        if !self.apply_write(write) {
            return self.see_row(host, write.token, want);
        }
        let version = self.state.row.version;
        match (write.mark, want) {
            (Mark::Claimed, Mark::Claimed) => self.hold(host, write.token),
            (mark, want) if mark == want => self.set(host, Step::Idle),
            (_, want) => self.send(
                host,
                Write {
                    mark: want,
                    version,
                    ..write
                },
                want,
            ),
        }
    }

    fn hold(&mut self, host: u8, token: Token) -> Option<()> {
        self.outputs.push(Output::Permit(token));
        let version = self.state.row.version;
        self.set(
            host,
            Step::Held {
                token,
                version,
                dispatched: false,
            },
        )
    }

    fn read_back(&mut self, host: u8, write: Write, want: Mark) -> Option<()> {
        self.outputs.push(Output::Read);
        self.set(host, Step::Reading { write, want })
    }

    fn read(&mut self, host: u8) -> Option<()> {
        let Step::Reading { write, want } = self.step(host) else {
            return None;
        };
        self.see_row(host, write.token, want)
    }

    /// Acts on the present row.
    fn see_row(&mut self, host: u8, token: Token, want: Mark) -> Option<()> {
        let version = self.state.row.version;
        let again = Write {
            token,
            mark: want,
            version,
        };
        let Some((owner, mark)) = self.state.row.value else {
            return self.send(host, again, want);
        };
        if owner == token {
            return match (want, mark) {
                (Mark::Claimed, Mark::Claimed) => self.hold(host, token),
                (want, mark) if want == mark => self.set(host, Step::Idle),
                _ => self.send(host, again, want),
            };
        }
        let take_over = self.config.broken == Some(Broken::TakeOver);
        match (want, mark) {
            (Mark::Claimed, Mark::Released) => return self.send(host, again, want),
            (Mark::Claimed, Mark::Claimed) if take_over => {
                return self.send(host, again, want);
            }
            (Mark::Claimed, Mark::Claimed) => {
                self.outputs.push(Output::RefuseMayHaveRun(token));
            }
            (Mark::Claimed, Mark::Finished) => self.outputs.push(Output::Replay(token)),
            _ => {}
        }
        self.set(host, Step::Idle)
    }

    fn refuse(&mut self, token: Token) {
        self.state.refused.insert(token);
        self.outputs.push(Output::RefuseNotRun(token));
    }

    fn reject(&mut self, host: u8) -> Option<()> {
        let (write, want) = self.writing(host)?;
        if want != Mark::Claimed {
            return self.set(
                host,
                Step::Waiting {
                    write: Write {
                        mark: want,
                        ..write
                    },
                },
            );
        }
        self.refuse(write.token);
        if write.version != 0 || self.is_in_doubt(host) {
            let write = Write {
                mark: Mark::Released,
                ..write
            };
            return self.set(host, Step::Waiting { write });
        }
        self.set(host, Step::Idle)
    }

    fn fail_read(&mut self, host: u8) -> Option<()> {
        let Step::Reading { write, want } = self.step(host) else {
            return None;
        };
        if want == Mark::Claimed && self.config.broken == Some(Broken::DispatchUnread) {
            return self.hold(host, write.token);
        }
        if want == Mark::Claimed {
            self.refuse(write.token);
        }
        let mark = if want == Mark::Claimed {
            Mark::Released
        } else {
            want
        };
        let write = Write { mark, ..write };
        self.set(host, Step::Waiting { write })
    }

    fn time_out(&mut self, host: u8) -> Option<()> {
        match self.step(host) {
            Step::Writing {
                write,
                want: Mark::Claimed,
                in_doubt,
            } => {
                self.refuse(write.token);
                self.set(
                    host,
                    Step::Writing {
                        write,
                        want: Mark::Released,
                        in_doubt,
                    },
                )
            }
            Step::Reading {
                write,
                want: Mark::Claimed,
            } => {
                self.refuse(write.token);
                self.set(
                    host,
                    Step::Reading {
                        write,
                        want: Mark::Released,
                    },
                )
            }
            _ => None,
        }
    }

    fn dispatch(&mut self, host: u8) -> Option<()> {
        let Step::Held {
            token,
            version,
            dispatched: false,
        } = self.step(host)
        else {
            return None;
        };
        self.state.may_have_run.insert(token);
        self.set(
            host,
            Step::Held {
                token,
                version,
                dispatched: true,
            },
        )
    }

    fn abandon(&mut self, host: u8) -> Option<()> {
        match self.step(host) {
            Step::Held {
                token,
                version,
                dispatched,
            } => {
                let keep = self.config.broken != Some(Broken::ReleaseDispatched);
                if dispatched && keep {
                    return self.set(host, Step::Idle);
                }
                let write = Write {
                    token,
                    mark: Mark::Released,
                    version,
                };
                self.send(host, write, Mark::Released)
            }
            Step::Writing {
                write,
                want: Mark::Claimed,
                in_doubt,
            } => self.set(
                host,
                Step::Writing {
                    write,
                    want: Mark::Released,
                    in_doubt,
                },
            ),
            Step::Reading {
                write,
                want: Mark::Claimed,
            } => self.set(
                host,
                Step::Reading {
                    write,
                    want: Mark::Released,
                },
            ),
            _ => None,
        }
    }

    fn crash(&mut self, host: u8) -> Option<()> {
        if self.state.crashes == self.config.crashes || self.step(host) == Step::Idle {
            return None;
        }
        self.state.crashes += 1;
        if let Some((write, _)) = self.writing(host) {
            self.state.late.insert(write);
        }
        self.set(host, Step::Idle)
    }
}
