//! At most once: several hosts, one key, one row.
//!
//! The table applies a write whose condition holds; its reply may be lost, and a write
//! whose sender has given up may take effect later, and more than once. Hosts crash and
//! forget everything. See docs/design/claims.md.

use std::collections::BTreeSet;

/// Bounds of the exploration, and the guards that a broken variant lacks.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Requests with the key at each entry host.
    pub requests: &'static [u8],
    /// Crashes in total.
    pub crashes: u8,
    /// Which guard is missing.
    pub broken: Option<Broken>,
}

/// A guard that is left out to see the checker catch it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Broken {
    /// A claimed row is taken over, as if its owner had to be dead after some time.
    TakeOver,
    /// A claim whose row can't be read is dispatched in the hope that it was written.
    DispatchUnread,
    /// A claim that was dispatched is released when the caller goes.
    ReleaseDispatched,
    /// The row is written whatever its version.
    Unconditional,
}

/// One claim: a host and the number of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token {
    /// The host.
    pub host: u8,
    /// The number of its request.
    pub number: u8,
}

/// What a row says of its claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[expect(missing_docs, reason = "the names of the protocol's page")]
pub enum Mark {
    Claimed,
    Released,
    Finished,
}

/// A write on the condition of the row's version; version 0 means that no row exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Write {
    /// The claim that writes.
    pub token: Token,
    /// What it writes.
    pub mark: Mark,
    /// Version that the row must have.
    pub version: u8,
}

/// The row of the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Row {
    /// Raised by each write; 0 while no row exists.
    pub version: u8,
    /// Claim and mark, once written.
    pub value: Option<(Token, Mark)>,
}

/// What a host does for its present request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// No request.
    Idle,
    /// A write is on its way; `want` may have changed since it was sent.
    Writing {
        /// The write.
        write: Write,
        /// What the row has to say in the end.
        want: Mark,
        /// Whether an earlier write of the claim may have taken effect.
        in_doubt: bool,
    },
    /// A lost reply is being read back.
    Reading {
        /// The write whose reply was lost.
        write: Write,
        /// What the row has to say in the end.
        want: Mark,
    },
    /// The write is tried again later.
    Waiting {
        /// The write.
        write: Write,
    },
    /// The claim is held at this version of the row.
    Held {
        /// The claim.
        token: Token,
        /// The row's version.
        version: u8,
        /// Whether a byte may have left.
        dispatched: bool,
    },
}

/// A state of the whole system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The row.
    pub row: Row,
    /// What each host does.
    pub hosts: Vec<Step>,
    begun: Vec<u8>,
    crashes: u8,
    /// Writes whose senders have given up on them.
    late: BTreeSet<Write>,
    /// Claims that were dispatched, without those proved not to have run.
    may_have_run: BTreeSet<Token>,
    /// Claims whose callers were told that nothing ran.
    refused: BTreeSet<Token>,
}

/// One step of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
#[expect(missing_docs, reason = "the fields are the host or the late write")]
pub enum Action {
    /// A request with the key arrives.
    Begin { host: u8 },
    /// The write reaches the table and the reply the host.
    Answer { host: u8 },
    /// The write reaches the table; its reply is lost.
    LoseReply { host: u8 },
    /// The host gives up waiting; the write may still take effect.
    Delay { host: u8 },
    /// The table refuses the write.
    Reject { host: u8 },
    /// A late write takes effect, perhaps not for the first time.
    ArriveLate { write: Write },
    /// The row is read.
    Read { host: u8 },
    /// The row can't be read.
    FailRead { host: u8 },
    /// The request has waited long enough for its claim.
    TimeOut { host: u8 },
    /// The pause before another try is over.
    Retry { host: u8 },
    /// The first byte leaves.
    Dispatch { host: u8 },
    /// The caller goes.
    Abandon { host: u8 },
    /// The target has answered.
    Finish { host: u8 },
    /// The target has proved that nothing ran.
    Disprove { host: u8 },
    /// The host forgets everything.
    Crash { host: u8 },
}

/// What a host says or does in consequence of an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
#[expect(missing_docs, reason = "named like the effects of the reducer")]
pub enum Output {
    Write(Write),
    Read,
    Permit(Token),
    RefuseNotRun(Token),
    RefuseMayHaveRun(Token),
    Replay(Token),
}

impl State {
    /// Makes the state before the first request.
    pub fn new(config: &Config) -> Self {
        State {
            row: Row {
                version: 0,
                value: None,
            },
            hosts: vec![Step::Idle; config.requests.len()],
            begun: vec![0; config.requests.len()],
            crashes: 0,
            late: BTreeSet::new(),
            may_have_run: BTreeSet::new(),
            refused: BTreeSet::new(),
        }
    }

    /// Returns how many requests a host has begun.
    pub fn begun(&self, host: usize) -> u8 {
        self.begun[host]
    }

    /// Says what is wrong with the state.
    pub fn violation(&self) -> Option<String> {
        if self.may_have_run.len() > 1 {
            return Some(format!("the key ran for {:?}", self.may_have_run));
        }
        let wrong = self.may_have_run.intersection(&self.refused).next()?;
        Some(format!("{wrong:?} ran and was refused as not run"))
    }
}

/// Returns the actions that are possible, with the states that they lead to.
pub fn next(config: &Config, state: &State) -> Vec<(Action, State)> {
    let late = state
        .late
        .iter()
        .map(|write| Action::ArriveLate { write: *write });
    let hosts = (0..config.requests.len() as u8).flat_map(host_actions);
    let step = |action: Action| {
        let (after, _) = apply(config, state, action)?;
        Some((action, after))
    };
    hosts.chain(late).filter_map(step).collect()
}

/// Takes an action; `None` when it isn't possible.
pub fn apply(
    config: &Config,
    state: &State,
    action: Action,
) -> Option<(State, Vec<Output>)> {
    let mut world = World {
        config,
        state: state.clone(),
        outputs: Vec::new(),
    };
    world.take(action)?;
    world.forget_dead_writes();
    Some((world.state, world.outputs))
}

fn host_actions(host: u8) -> [Action; 14] {
    [
        Action::Begin { host },
        Action::Answer { host },
        Action::LoseReply { host },
        Action::Delay { host },
        Action::Reject { host },
        Action::Read { host },
        Action::FailRead { host },
        Action::TimeOut { host },
        Action::Retry { host },
        Action::Dispatch { host },
        Action::Abandon { host },
        Action::Finish { host },
        Action::Disprove { host },
        Action::Crash { host },
    ]
}

struct World<'a> {
    config: &'a Config,
    state: State,
    outputs: Vec<Output>,
}

impl World<'_> {
    fn take(&mut self, action: Action) -> Option<()> {
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
    fn forget_dead_writes(&mut self) {
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
