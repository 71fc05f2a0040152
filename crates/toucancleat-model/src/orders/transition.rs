//! What each action changes.

use super::{
    Action, Broken, Config, Flight, Held, Host, Order, Output, Ready, Row, State, Step,
    Write,
};

pub(super) struct World<'a> {
    pub(super) config: &'a Config,
    pub(super) state: State,
    pub(super) outputs: Vec<Output>,
}

impl World<'_> {
    pub(super) fn take(&mut self, action: Action) -> Option<()> {
        match action {
            Action::Pass => self.pass(),
            Action::Tick { host, reads } => self.tick(host, reads),
            Action::ChangeCandidate { host } => {
                spend(&mut self.state.changes, self.config.changes)?;
                let host = self.host(host);
                host.is_candidate = !host.is_candidate;
                Some(())
            }
            Action::Apply { host } => self.apply_flight(host),
            Action::Reply { host } => self.reply(host),
            Action::LoseReply { host } => {
                let lost = matches!(
                    self.host(host).flight?,
                    Flight::Applied(_) | Flight::Conflict(..)
                );
                lost.then_some(())?;
                spend(&mut self.state.losses, self.config.losses)?;
                self.unknown(host)
            }
            Action::Delay { host } => {
                let Flight::Sent(write) = self.host(host).flight? else {
                    return None;
                };
                spend(&mut self.state.losses, self.config.losses)?;
                self.state.late.insert(write);
                self.unknown(host)
            }
            Action::ArriveLate { write } => {
                self.state.late.remove(&write);
                self.write(write).then_some(())
            }
            Action::Decide { host } => self.decide(host),
            Action::Send { host } => self.send(host),
            Action::CarryOut { order, reply } => self.carry_out(order, reply),
            Action::Crash { host } => self.crash(host),
        }
    }

    fn host(&mut self, host: u8) -> &mut Host {
        &mut self.state.hosts[usize::from(host)]
    }

    fn pass(&mut self) -> Option<()> {
        if self.state.now == self.config.time_max {
            return None;
        }
        self.state.now += 1;
        let now = self.state.now;
        self.state.orders.retain(|order| now < order.until);
        for host in &mut self.state.hosts {
            host.ticked = false;
            if matches!(host.step, Step::Holding(held) if now >= held.valid_until) {
                watch(host);
            }
        }
        Some(())
    }

    fn tick(&mut self, index: u8, reads: bool) -> Option<()> {
        let now = self.state.now;
        let host = self.host(index);
        if std::mem::replace(&mut host.ticked, true) {
            return None;
        }
        match host.step {
            Step::Watching { .. } if host.is_candidate => {
                self.outputs.push(Output::Read);
                if reads {
                    self.read(index);
                }
                Some(())
            }
            // Without a read the two ways to tick are the same.
            _ if !reads => None,
            Step::Watching { .. } => Some(()),
            Step::Acquiring { sent, .. } => {
                if now >= sent + self.config.lease {
                    self.give_up(index);
                    watch(self.host(index));
                }
                Some(())
            }
            Step::Holding(held) => self.renew(index, held),
        }
    }

    fn read(&mut self, index: u8) {
        let now = self.state.now;
        let (version, row) = self.state.row;
        let Some(row) = row else {
            return self.acquire(index, version, 1, 0);
        };
        let Step::Watching { seen } = &mut self.host(index).step else {
            return;
        };
        let since = match *seen {
            Some((known, since)) if known == version => since,
            _ => now,
        };
        *seen = Some((version, since));
        if row.released {
            self.acquire(index, version, row.term + 1, 0);
        } else if now >= since + self.config.lease {
            let wait = match self.config.broken {
                Some(Broken::NoWait) => 0,
                _ => self.config.deadline,
            };
            self.acquire(index, version, row.term + 1, wait);
        }
    }

    fn acquire(&mut self, index: u8, version: u8, term: u8, wait: u8) {
        let sent = self.state.now;
        self.host(index).step = Step::Acquiring { sent, term, wait };
        self.submit(index, version, term, false);
    }

    fn submit(&mut self, index: u8, version: u8, term: u8, released: bool) {
        let start = self.host(index).start;
        let row = Row {
            holder: index,
            start,
            term,
            released,
        };
        let write = Write { version, row };
        self.give_up(index);
        self.host(index).flight = Some(Flight::Sent(write));
        self.outputs.push(Output::Write(write));
    }

    /// Stops waiting for the reply to the host's write.
    fn give_up(&mut self, index: u8) {
        if let Some(Flight::Sent(write)) = self.host(index).flight.take() {
            self.state.late.insert(write);
        }
    }

    fn renew(&mut self, index: u8, mut held: Held) -> Option<()> {
        let now = self.state.now;
        let host = self.host(index);
        let open = host.open_until.is_some_and(|until| now < until);
        let candidate = host.is_candidate;
        let releasing = !candidate || held.release_sent;
        let early = self.config.broken == Some(Broken::ReleaseWhileOpen);
        let release = releasing && (!open || early);
        if held.renewing.is_some_and(|(sent, _)| now < sent + 1) {
            return Some(());
        }
        held.release_sent |= release;
        held.renewing = Some((now, release));
        self.host(index).step = Step::Holding(held);
        self.submit(index, held.version, held.term, release);
        Some(())
    }

    fn write(&mut self, write: Write) -> bool {
        let (version, row) = &mut self.state.row;
        if *version != write.version {
            return false;
        }
        *version += 1;
        *row = Some(write.row);
        let version = *version;
        self.state.late.retain(|late| late.version >= version);
        true
    }

    fn apply_flight(&mut self, index: u8) -> Option<()> {
        let Flight::Sent(write) = self.host(index).flight? else {
            return None;
        };
        let applied = self.write(write);
        let (version, row) = self.state.row;
        let reply = match applied {
            true => Flight::Applied(version),
            false => Flight::Conflict(version, row),
        };
        self.host(index).flight = Some(reply);
        Some(())
    }

    fn reply(&mut self, index: u8) -> Option<()> {
        let now = self.state.now;
        let config = self.config;
        let host = self.host(index);
        let reply = host.flight?;
        if let Flight::Sent(_) = reply {
            return None;
        }
        host.flight = None;
        let counted = |sent: u8| match config.broken {
            Some(Broken::CountFromReply) => now + config.lease,
            _ => sent + config.lease,
        };
        match (host.step, reply) {
            (Step::Acquiring { sent, term, wait }, Flight::Applied(version)) => {
                let held = Held {
                    version,
                    term,
                    valid_until: counted(sent),
                    quiet_until: now + wait,
                    renewing: None,
                    release_sent: false,
                };
                host.open_until = None;
                host.step = Step::Holding(held);
                if now >= held.valid_until {
                    watch(host);
                }
            }
            (Step::Holding(mut held), reply) => {
                let (sent, released) = held.renewing.take()?;
                match reply {
                    Flight::Applied(_) if released => watch(host),
                    Flight::Applied(version) => {
                        held.version = version;
                        held.valid_until = counted(sent);
                        host.step = Step::Holding(held);
                    }
                    Flight::Conflict(version, Some(row))
                        if row.holder == index
                            && row.start == host.start
                            && row.term == held.term
                            && !row.released =>
                    {
                        held.version = version;
                        host.step = Step::Holding(held);
                    }
                    _ => watch(host),
                }
            }
            _ => watch(host),
        }
        Some(())
    }

    /// The host learns that it won't learn what became of its write.
    fn unknown(&mut self, index: u8) -> Option<()> {
        let host = self.host(index);
        host.flight = None;
        match &mut host.step {
            Step::Holding(held) => held.renewing = None,
            _ => watch(host),
        }
        Some(())
    }

    fn decide(&mut self, index: u8) -> Option<()> {
        if !self.state.may_decide(index.into()) || self.host(index).ready.is_some() {
            return None;
        }
        let until = self.state.now + self.config.deadline;
        let host = self.host(index);
        let Step::Holding(held) = host.step else {
            return None;
        };
        host.open_until = Some(until);
        let valid_until = held.valid_until;
        host.ready = Some(Ready {
            term: held.term,
            valid_until,
            until,
        });
        Some(())
    }

    fn send(&mut self, index: u8) -> Option<()> {
        let now = self.state.now;
        let recheck = self.config.broken != Some(Broken::NoRecheck);
        let deadline = self.config.deadline;
        let host = self.host(index);
        let ready = host.ready.take()?;
        let start = host.start;
        let mut order = Order {
            host: index,
            start,
            term: ready.term,
            until: ready.until,
        };
        if !recheck {
            order.until = now + deadline;
        } else if now >= ready.valid_until || now >= ready.until {
            return Some(());
        }
        self.state.orders.insert(order);
        Some(())
    }

    fn carry_out(&mut self, order: Order, reply: bool) -> Option<()> {
        self.state.orders.remove(&order);
        let old = order.term < self.state.highest_term;
        let refused = old && self.config.checks_fencing;
        if !refused {
            self.state.went_back |= old;
            self.state.highest_term = order.term;
        }
        if !reply {
            spend(&mut self.state.losses, self.config.losses)?;
            return Some(());
        }
        let host = self.host(order.host);
        if host.start != order.start {
            return Some(());
        }
        if refused {
            watch(host);
        } else if host.open_until == Some(order.until) {
            host.open_until = None;
        }
        Some(())
    }

    fn crash(&mut self, index: u8) -> Option<()> {
        spend(&mut self.state.crashes, self.config.crashes)?;
        self.give_up(index);
        let host = self.host(index);
        host.start += 1;
        host.open_until = None;
        host.ready = None;
        watch(host);
        Some(())
    }
}

fn watch(host: &mut Host) {
    host.step = Step::Watching { seen: None };
    host.flight = None;
    host.open_until = None;
}

fn spend(spent: &mut u8, budget: u8) -> Option<()> {
    if *spent == budget {
        return None;
    }
    *spent += 1;
    Some(())
}
