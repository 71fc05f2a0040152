//! Transitions of the specification of claims.

use super::{
    Action, ClaimStatus, Config, HostState, Mutation, Output, State, Token, Write,
};

pub(super) struct Transition<'a> {
    pub(super) config: &'a Config,
    pub(super) state: State,
    pub(super) outputs: Vec<Output>,
}

impl Transition<'_> {
    pub(super) fn apply(&mut self, action: Action) -> Option<()> {
        match action {
            Action::Begin { host } => self.begin(host),
            Action::CompleteWrite { host } => self.complete_write(host),
            Action::LoseReply { host } => {
                let (write, desired) = self.pending_write(host)?;
                self.apply_write(write);
                self.start_read(host, write, desired)
            }
            Action::Delay { host } => {
                let (write, desired) = self.pending_write(host)?;
                self.state.delayed_writes.insert(write);
                self.start_read(host, write, desired)
            }
            Action::Reject { host } => self.reject(host),
            Action::ApplyDelayed { write } => {
                let before = self.state.row;
                self.apply_write(write);
                (self.state.row != before).then_some(())
            }
            Action::Read { host } => self.read(host),
            Action::FailRead { host } => self.fail_read(host),
            Action::TimeOut { host } => self.time_out(host),
            Action::Retry { host } => {
                let HostState::AwaitingRetry { write } = self.host_state(host) else {
                    return None;
                };
                self.start_write(host, write, write.status)
            }
            Action::Dispatch { host } => self.dispatch(host),
            Action::Abandon { host } => self.abandon(host),
            Action::Finish { host } => {
                let (token, version) = self.dispatched_claim(host)?;
                self.start_write(
                    host,
                    Write {
                        token,
                        status: ClaimStatus::Finished,
                        version,
                    },
                    ClaimStatus::Finished,
                )
            }
            Action::ProveNotRun { host } => {
                let (token, version) = self.dispatched_claim(host)?;
                self.state.may_have_run.remove(&token);
                self.start_write(
                    host,
                    Write {
                        token,
                        status: ClaimStatus::Released,
                        version,
                    },
                    ClaimStatus::Released,
                )
            }
            Action::Crash { host } => self.crash(host),
        }
    }

    /// Drops delayed writes whose condition can't hold any more, as versions only increase.
    pub(super) fn drop_unsatisfiable_writes(&mut self) {
        if self.config.mutation != Some(Mutation::UnconditionalWrite) {
            let version = self.state.row.version;
            self.state
                .delayed_writes
                .retain(|write| write.version >= version);
        }
    }

    fn host_state(&self, host: u8) -> HostState {
        self.state.hosts[usize::from(host)]
    }

    fn set_host_state(&mut self, host: u8, state: HostState) -> Option<()> {
        self.state.hosts[usize::from(host)] = state;
        Some(())
    }

    fn pending_write(&self, host: u8) -> Option<(Write, ClaimStatus)> {
        match self.host_state(host) {
            HostState::Writing { write, desired, .. } => Some((write, desired)),
            _ => None,
        }
    }

    fn dispatched_claim(&self, host: u8) -> Option<(Token, u8)> {
        match self.host_state(host) {
            HostState::Held {
                token,
                version,
                is_dispatched: true,
            } => Some((token, version)),
            _ => None,
        }
    }

    fn start_write(
        &mut self,
        host: u8,
        write: Write,
        desired: ClaimStatus,
    ) -> Option<()> {
        self.outputs.push(Output::Write(write));
        let is_in_doubt = self.is_in_doubt(host);
        self.set_host_state(
            host,
            HostState::Writing {
                write,
                desired,
                is_in_doubt,
            },
        )
    }

    /// Returns true if an earlier write of the host's claim may have taken effect.
    fn is_in_doubt(&self, host: u8) -> bool {
        match self.host_state(host) {
            HostState::Writing { is_in_doubt, .. } => is_in_doubt,
            state => matches!(state, HostState::Reading { .. }),
        }
    }

    fn apply_write(&mut self, write: Write) -> bool {
        let is_unconditional = self.config.mutation == Some(Mutation::UnconditionalWrite);
        if self.state.row.version != write.version && !is_unconditional {
            return false;
        }
        self.state.row.version += 1;
        self.state.row.value = Some((write.token, write.status));
        true
    }

    fn begin(&mut self, host: u8) -> Option<()> {
        let begun = &mut self.state.begun_requests[usize::from(host)];
        if self.state.hosts[usize::from(host)] != HostState::Idle
            || *begun == self.config.requests[usize::from(host)]
        {
            return None;
        }
        let token = Token {
            host,
            number: *begun,
        };
        *begun += 1;
        self.start_write(
            host,
            Write {
                token,
                status: ClaimStatus::Claimed,
                version: 0,
            },
            ClaimStatus::Claimed,
        )
    }

    fn complete_write(&mut self, host: u8) -> Option<()> {
        let (write, desired) = self.pending_write(host)?;
        if !self.apply_write(write) {
            return self.handle_row(host, write.token, desired);
        }
        let version = self.state.row.version;
        match (write.status, desired) {
            (ClaimStatus::Claimed, ClaimStatus::Claimed) => {
                self.hold_claim(host, write.token)
            }
            (status, desired) if status == desired => {
                self.set_host_state(host, HostState::Idle)
            }
            (_, desired) => self.start_write(
                host,
                Write {
                    status: desired,
                    version,
                    ..write
                },
                desired,
            ),
        }
    }

    fn hold_claim(&mut self, host: u8, token: Token) -> Option<()> {
        self.outputs.push(Output::PermitDispatch(token));
        let version = self.state.row.version;
        self.set_host_state(
            host,
            HostState::Held {
                token,
                version,
                is_dispatched: false,
            },
        )
    }

    fn start_read(&mut self, host: u8, write: Write, desired: ClaimStatus) -> Option<()> {
        self.outputs.push(Output::Read);
        self.set_host_state(host, HostState::Reading { write, desired })
    }

    fn read(&mut self, host: u8) -> Option<()> {
        let HostState::Reading { write, desired } = self.host_state(host) else {
            return None;
        };
        self.handle_row(host, write.token, desired)
    }

    /// Continues according to the current row.
    fn handle_row(&mut self, host: u8, token: Token, desired: ClaimStatus) -> Option<()> {
        let version = self.state.row.version;
        let retry = Write {
            token,
            status: desired,
            version,
        };
        let Some((owner, status)) = self.state.row.value else {
            return self.start_write(host, retry, desired);
        };
        if owner == token {
            return match (desired, status) {
                (ClaimStatus::Claimed, ClaimStatus::Claimed) => {
                    self.hold_claim(host, token)
                }
                (desired, status) if desired == status => {
                    self.set_host_state(host, HostState::Idle)
                }
                _ => self.start_write(host, retry, desired),
            };
        }
        let is_taken_over = self.config.mutation == Some(Mutation::TakeOver);
        match (desired, status) {
            (ClaimStatus::Claimed, ClaimStatus::Released) => {
                return self.start_write(host, retry, desired);
            }
            (ClaimStatus::Claimed, ClaimStatus::Claimed) if is_taken_over => {
                return self.start_write(host, retry, desired);
            }
            (ClaimStatus::Claimed, ClaimStatus::Claimed) => {
                self.outputs.push(Output::RefuseMayHaveRun(token));
            }
            (ClaimStatus::Claimed, ClaimStatus::Finished) => {
                self.outputs.push(Output::Replay(token))
            }
            _ => {}
        }
        self.set_host_state(host, HostState::Idle)
    }

    fn refuse_not_run(&mut self, token: Token) {
        self.state.refused_not_run.insert(token);
        self.outputs.push(Output::RefuseNotRun(token));
    }

    fn reject(&mut self, host: u8) -> Option<()> {
        let (write, desired) = self.pending_write(host)?;
        if desired != ClaimStatus::Claimed {
            return self.set_host_state(
                host,
                HostState::AwaitingRetry {
                    write: Write {
                        status: desired,
                        ..write
                    },
                },
            );
        }
        self.refuse_not_run(write.token);
        if write.version != 0 || self.is_in_doubt(host) {
            let write = Write {
                status: ClaimStatus::Released,
                ..write
            };
            return self.set_host_state(host, HostState::AwaitingRetry { write });
        }
        self.set_host_state(host, HostState::Idle)
    }

    fn fail_read(&mut self, host: u8) -> Option<()> {
        let HostState::Reading { write, desired } = self.host_state(host) else {
            return None;
        };
        if desired == ClaimStatus::Claimed
            && self.config.mutation == Some(Mutation::DispatchUnread)
        {
            return self.hold_claim(host, write.token);
        }
        if desired == ClaimStatus::Claimed {
            self.refuse_not_run(write.token);
        }
        let status = if desired == ClaimStatus::Claimed {
            ClaimStatus::Released
        } else {
            desired
        };
        let write = Write { status, ..write };
        self.set_host_state(host, HostState::AwaitingRetry { write })
    }

    fn time_out(&mut self, host: u8) -> Option<()> {
        match self.host_state(host) {
            HostState::Writing {
                write,
                desired: ClaimStatus::Claimed,
                is_in_doubt,
            } => {
                self.refuse_not_run(write.token);
                self.set_host_state(
                    host,
                    HostState::Writing {
                        write,
                        desired: ClaimStatus::Released,
                        is_in_doubt,
                    },
                )
            }
            HostState::Reading {
                write,
                desired: ClaimStatus::Claimed,
            } => {
                self.refuse_not_run(write.token);
                self.set_host_state(
                    host,
                    HostState::Reading {
                        write,
                        desired: ClaimStatus::Released,
                    },
                )
            }
            _ => None,
        }
    }

    fn dispatch(&mut self, host: u8) -> Option<()> {
        let HostState::Held {
            token,
            version,
            is_dispatched: false,
        } = self.host_state(host)
        else {
            return None;
        };
        self.state.may_have_run.insert(token);
        self.set_host_state(
            host,
            HostState::Held {
                token,
                version,
                is_dispatched: true,
            },
        )
    }

    fn abandon(&mut self, host: u8) -> Option<()> {
        match self.host_state(host) {
            HostState::Held {
                token,
                version,
                is_dispatched,
            } => {
                let is_kept = self.config.mutation != Some(Mutation::ReleaseDispatched);
                if is_dispatched && is_kept {
                    return self.set_host_state(host, HostState::Idle);
                }
                let write = Write {
                    token,
                    status: ClaimStatus::Released,
                    version,
                };
                self.start_write(host, write, ClaimStatus::Released)
            }
            HostState::Writing {
                write,
                desired: ClaimStatus::Claimed,
                is_in_doubt,
            } => self.set_host_state(
                host,
                HostState::Writing {
                    write,
                    desired: ClaimStatus::Released,
                    is_in_doubt,
                },
            ),
            HostState::Reading {
                write,
                desired: ClaimStatus::Claimed,
            } => self.set_host_state(
                host,
                HostState::Reading {
                    write,
                    desired: ClaimStatus::Released,
                },
            ),
            _ => None,
        }
    }

    fn crash(&mut self, host: u8) -> Option<()> {
        if self.state.crashes == self.config.crashes_max
            || self.host_state(host) == HostState::Idle
        {
            return None;
        }
        self.state.crashes += 1;
        if let Some((write, _)) = self.pending_write(host) {
            self.state.delayed_writes.insert(write);
        }
        self.set_host_state(host, HostState::Idle)
    }
}
