//! Transitions of the specification of orders.

use super::{
    Action, Config, DecidedOrder, HeldLease, Host, LeaseState, Mutation, Order, Output,
    PendingWrite, Row, State, Write,
};

pub(super) struct Transition<'a> {
    pub(super) config: &'a Config,
    pub(super) state: State,
    pub(super) outputs: Vec<Output>,
}

impl Transition<'_> {
    pub(super) fn apply(&mut self, action: Action) -> Option<()> {
        match action {
            Action::AdvanceTime => self.advance_time(),
            Action::Tick { host, can_read } => self.tick(host, can_read),
            Action::ChangeCandidate { host } => {
                spend_budget(
                    &mut self.state.candidate_changes,
                    self.config.candidate_changes_max,
                )?;
                let host = self.host(host);
                host.is_candidate = !host.is_candidate;
                Some(())
            }
            Action::ApplyWrite { host } => self.apply_pending_write(host),
            Action::DeliverReply { host } => self.deliver_reply(host),
            Action::LoseReply { host } => {
                let has_reply = matches!(
                    self.host(host).pending_write?,
                    PendingWrite::Applied(_) | PendingWrite::Conflict(..)
                );
                has_reply.then_some(())?;
                spend_budget(&mut self.state.losses, self.config.losses_max)?;
                self.lose_outcome(host)
            }
            Action::Delay { host } => {
                let PendingWrite::Sent(write) = self.host(host).pending_write? else {
                    return None;
                };
                spend_budget(&mut self.state.losses, self.config.losses_max)?;
                self.state.delayed_writes.insert(write);
                self.lose_outcome(host)
            }
            Action::ApplyDelayed { write } => {
                self.state.delayed_writes.remove(&write);
                self.apply_write(write).then_some(())
            }
            Action::DecideOrder { host } => self.decide_order(host),
            Action::SendOrder { host } => self.send_order(host),
            Action::ExecuteOrder { order, has_reply } => {
                self.execute_order(order, has_reply)
            }
            Action::Crash { host } => self.crash(host),
        }
    }

    fn host(&mut self, host: u8) -> &mut Host {
        &mut self.state.hosts[usize::from(host)]
    }

    fn advance_time(&mut self) -> Option<()> {
        if self.state.now == self.config.time_max {
            return None;
        }
        self.state.now += 1;
        let now = self.state.now;
        self.state.orders.retain(|order| now < order.expires_at);
        for host in &mut self.state.hosts {
            host.has_ticked = false;
            if matches!(host.lease_state, LeaseState::Holding(held) if now >= held.valid_until)
            {
                start_watching(host);
            }
        }
        Some(())
    }

    fn tick(&mut self, index: u8, can_read: bool) -> Option<()> {
        let now = self.state.now;
        let host = self.host(index);
        if std::mem::replace(&mut host.has_ticked, true) {
            return None;
        }
        match host.lease_state {
            LeaseState::Watching { .. } if host.is_candidate => {
                self.outputs.push(Output::Read);
                if can_read {
                    self.read(index);
                }
                Some(())
            }
            // Without a read, `can_read` makes no difference: one of both actions suffices.
            _ if !can_read => None,
            LeaseState::Watching { .. } => Some(()),
            LeaseState::Acquiring { sent, .. } => {
                if now >= sent + self.config.lease_units {
                    self.abandon_write(index);
                    start_watching(self.host(index));
                }
                Some(())
            }
            LeaseState::Holding(held) => self.renew(index, held),
        }
    }

    fn read(&mut self, index: u8) {
        let now = self.state.now;
        let (version, row) = self.state.row;
        let Some(row) = row else {
            return self.acquire(index, version, 1, 0);
        };
        let LeaseState::Watching { observed } = &mut self.host(index).lease_state else {
            return;
        };
        let since = match *observed {
            Some((known, since)) if known == version => since,
            _ => now,
        };
        *observed = Some((version, since));
        if row.is_released {
            self.acquire(index, version, row.term + 1, 0);
        } else if now >= since + self.config.lease_units {
            let wait = match self.config.mutation {
                Some(Mutation::SkipWait) => 0,
                _ => self.config.deadline_units,
            };
            self.acquire(index, version, row.term + 1, wait);
        }
    }

    fn acquire(&mut self, index: u8, version: u8, term: u8, wait: u8) {
        let sent = self.state.now;
        self.host(index).lease_state = LeaseState::Acquiring { sent, term, wait };
        self.submit_write(index, version, term, false);
    }

    fn submit_write(&mut self, index: u8, version: u8, term: u8, is_released: bool) {
        let incarnation = self.host(index).incarnation;
        let row = Row {
            holder: index,
            incarnation,
            term,
            is_released,
        };
        let write = Write { version, row };
        self.abandon_write(index);
        self.host(index).pending_write = Some(PendingWrite::Sent(write));
        self.outputs.push(Output::Write(write));
    }

    /// Stops waiting for the reply to the host's write, which may still take effect.
    fn abandon_write(&mut self, index: u8) {
        if let Some(PendingWrite::Sent(write)) = self.host(index).pending_write.take() {
            self.state.delayed_writes.insert(write);
        }
    }

    fn renew(&mut self, index: u8, mut held: HeldLease) -> Option<()> {
        let now = self.state.now;
        let host = self.host(index);
        let is_open = host
            .open_order_until
            .is_some_and(|expires_at| now < expires_at);
        let is_candidate = host.is_candidate;
        let is_releasing = !is_candidate || held.is_release_sent;
        let allows_open = self.config.mutation == Some(Mutation::ReleaseWithOpenOrder);
        let is_release = is_releasing && (!is_open || allows_open);
        if held.pending_renewal.is_some_and(|(sent, _)| now < sent + 1) {
            return Some(());
        }
        held.is_release_sent |= is_release;
        held.pending_renewal = Some((now, is_release));
        self.host(index).lease_state = LeaseState::Holding(held);
        self.submit_write(index, held.version, held.term, is_release);
        Some(())
    }

    fn apply_write(&mut self, write: Write) -> bool {
        let (version, row) = &mut self.state.row;
        if *version != write.version {
            return false;
        }
        *version += 1;
        *row = Some(write.row);
        let version = *version;
        self.state
            .delayed_writes
            .retain(|delayed| delayed.version >= version);
        true
    }

    fn apply_pending_write(&mut self, index: u8) -> Option<()> {
        let PendingWrite::Sent(write) = self.host(index).pending_write? else {
            return None;
        };
        let is_applied = self.apply_write(write);
        let (version, row) = self.state.row;
        let reply = match is_applied {
            true => PendingWrite::Applied(version),
            false => PendingWrite::Conflict(version, row),
        };
        self.host(index).pending_write = Some(reply);
        Some(())
    }

    fn deliver_reply(&mut self, index: u8) -> Option<()> {
        let now = self.state.now;
        let config = self.config;
        let host = self.host(index);
        let reply = host.pending_write?;
        if let PendingWrite::Sent(_) = reply {
            return None;
        }
        host.pending_write = None;
        let lease_end = |sent: u8| match config.mutation {
            Some(Mutation::CountLeaseFromReply) => now + config.lease_units,
            _ => sent + config.lease_units,
        };
        match (host.lease_state, reply) {
            (
                LeaseState::Acquiring { sent, term, wait },
                PendingWrite::Applied(version),
            ) => {
                let held = HeldLease {
                    version,
                    term,
                    valid_until: lease_end(sent),
                    no_orders_until: now + wait,
                    pending_renewal: None,
                    is_release_sent: false,
                };
                host.open_order_until = None;
                host.lease_state = LeaseState::Holding(held);
                if now >= held.valid_until {
                    start_watching(host);
                }
            }
            (LeaseState::Holding(mut held), reply) => {
                let (sent, is_release) = held.pending_renewal.take()?;
                match reply {
                    PendingWrite::Applied(_) if is_release => start_watching(host),
                    PendingWrite::Applied(version) => {
                        held.version = version;
                        held.valid_until = lease_end(sent);
                        host.lease_state = LeaseState::Holding(held);
                    }
                    PendingWrite::Conflict(version, Some(row))
                        if row.holder == index
                            && row.incarnation == host.incarnation
                            && row.term == held.term
                            && !row.is_released =>
                    {
                        held.version = version;
                        host.lease_state = LeaseState::Holding(held);
                    }
                    _ => start_watching(host),
                }
            }
            _ => start_watching(host),
        }
        Some(())
    }

    /// Handles a write whose outcome stays unknown to the host.
    fn lose_outcome(&mut self, index: u8) -> Option<()> {
        let host = self.host(index);
        host.pending_write = None;
        match &mut host.lease_state {
            LeaseState::Holding(held) => held.pending_renewal = None,
            _ => start_watching(host),
        }
        Some(())
    }

    fn decide_order(&mut self, index: u8) -> Option<()> {
        if !self.state.may_decide_order(index.into())
            || self.host(index).decided_order.is_some()
        {
            return None;
        }
        let expires_at = self.state.now + self.config.deadline_units;
        let host = self.host(index);
        let LeaseState::Holding(held) = host.lease_state else {
            return None;
        };
        host.open_order_until = Some(expires_at);
        let valid_until = held.valid_until;
        host.decided_order = Some(DecidedOrder {
            term: held.term,
            valid_until,
            expires_at,
        });
        Some(())
    }

    fn send_order(&mut self, index: u8) -> Option<()> {
        let now = self.state.now;
        let is_rechecked = self.config.mutation != Some(Mutation::SkipRecheck);
        let deadline = self.config.deadline_units;
        let host = self.host(index);
        let decided_order = host.decided_order.take()?;
        let incarnation = host.incarnation;
        let mut order = Order {
            host: index,
            incarnation,
            term: decided_order.term,
            expires_at: decided_order.expires_at,
        };
        if !is_rechecked {
            order.expires_at = now + deadline;
        } else if now >= decided_order.valid_until || now >= decided_order.expires_at {
            return Some(());
        }
        self.state.orders.insert(order);
        Some(())
    }

    fn execute_order(&mut self, order: Order, has_reply: bool) -> Option<()> {
        self.state.orders.remove(&order);
        let is_stale = order.term < self.state.highest_term;
        let is_refused = is_stale && self.config.checks_fencing;
        if !is_refused {
            self.state.has_stale_order_applied |= is_stale;
            self.state.highest_term = order.term;
        }
        if !has_reply {
            spend_budget(&mut self.state.losses, self.config.losses_max)?;
            return Some(());
        }
        let host = self.host(order.host);
        if host.incarnation != order.incarnation {
            return Some(());
        }
        if is_refused {
            start_watching(host);
        } else if host.open_order_until == Some(order.expires_at) {
            host.open_order_until = None;
        }
        Some(())
    }

    fn crash(&mut self, index: u8) -> Option<()> {
        spend_budget(&mut self.state.crashes, self.config.crashes_max)?;
        self.abandon_write(index);
        let host = self.host(index);
        host.incarnation += 1;
        host.open_order_until = None;
        host.decided_order = None;
        start_watching(host);
        Some(())
    }
}

fn start_watching(host: &mut Host) {
    host.lease_state = LeaseState::Watching { observed: None };
    host.pending_write = None;
    host.open_order_until = None;
}

fn spend_budget(spent: &mut u8, budget: u8) -> Option<()> {
    if *spent == budget {
        return None;
    }
    *spent += 1;
    Some(())
}
