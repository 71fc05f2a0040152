//! The lease that permits one host of a zone to send orders.

use serde::{Deserialize, Serialize};

use super::Config;
use super::message::{Effect, WriteOutcome};
use crate::prelude::*;

/// Table that holds the leases.
pub const TABLE: &str = "leases";

/// The row of a zone's lease.
///
/// Clocks aren't compared between hosts: a lease has expired for another host once its
/// row is unchanged for `lease_ms` after that host first read it, since the holder counts
/// from before the write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The host that holds the lease.
    pub holder: HostName,
    /// Identifies one start of the holder's process.
    pub token: u64,
    /// Incremented by each new holder; the fencing number of its orders.
    pub term: FencingNumber,
    /// Time for which the lease is valid, from before the holder's write of the row.
    pub lease_ms: u64,
    /// Maximum time for which an order of the holder can still take effect.
    pub order_deadline_ms: u64,
    /// Whether the holder has released the lease with no order open.
    pub released: bool,
}

/// The known state of the lease at one host.
#[derive(Clone, Debug)]
pub struct Lease {
    pub(super) is_candidate: bool,
    row: String,
    host: HostName,
    token: u64,
    last_write: u64,
    step: Step,
}

#[derive(Clone, Debug)]
enum Step {
    /// Another host may hold the lease.
    Watching {
        observed: Option<ObservedRow>,
        next_read_ms: u64,
    },
    /// The first write of a new term is in flight.
    Acquiring {
        write: u64,
        sent_ms: u64,
        term: FencingNumber,
        wait_ms: u64,
    },
    /// This host holds the lease.
    Holding(HeldLease),
}

#[derive(Clone, Debug)]
struct ObservedRow {
    version: u64,
    row: LeaseRow,
    since_ms: u64,
}

#[derive(Clone, Debug)]
struct HeldLease {
    version: u64,
    term: FencingNumber,
    valid_until_ms: u64,
    /// Time before which an order of the previous holder may still take effect.
    no_orders_until_ms: u64,
    next_renew_ms: u64,
    pending_renewal: Option<Renewal>,
    /// Whether a write that releases the lease was sent; from then on another host may
    /// hold it.
    is_release_sent: bool,
}

#[derive(Clone, Copy, Debug)]
struct Renewal {
    write: u64,
    sent_ms: u64,
    is_release: bool,
}

impl Lease {
    pub(super) fn new(zone: &ZoneName, host: &HostName, token: u64) -> Self {
        Lease {
            is_candidate: false,
            row: format!("orders/{zone}"),
            host: host.clone(),
            token,
            last_write: 0,
            step: Step::Watching {
                observed: None,
                next_read_ms: 0,
            },
        }
    }

    /// Returns the term if this host holds a valid lease.
    pub(super) fn term(&self, now_ms: u64) -> Option<FencingNumber> {
        self.held_lease(now_ms).map(|held| held.term)
    }

    /// Returns true if the lease is neither held nor being acquired or released.
    pub(super) fn is_settled(&self) -> bool {
        matches!(self.step, Step::Watching { .. })
    }

    /// Returns true if an order may be sent now.
    pub(super) fn may_send_order(&self, now_ms: u64) -> bool {
        let held = self.held_lease(now_ms);
        self.is_candidate && held.is_some_and(|held| now_ms >= held.no_orders_until_ms)
    }

    /// Returns the time from which no order may be sent.
    pub(super) fn valid_until_ms(&self) -> u64 {
        match &self.step {
            Step::Holding(held) => held.valid_until_ms,
            _ => 0,
        }
    }

    /// Stops holding a lease whose validity has ended.
    ///
    /// N.B. A later reply to a renewal must not make it valid again: the state of the
    /// orders that were open under the lease is dropped with it.
    pub(super) fn expire(&mut self, now_ms: u64) {
        if matches!(&self.step, Step::Holding(held) if now_ms >= held.valid_until_ms) {
            self.start_watching(now_ms);
        }
    }

    /// Stops holding the lease at once, as a holder with a higher term exists.
    pub(super) fn step_down(&mut self, now_ms: u64) {
        self.start_watching(now_ms);
    }

    pub(super) fn tick(
        &mut self,
        config: &Config,
        now_ms: u64,
        has_open_orders: bool,
        effects: &mut Vec<Effect>,
    ) {
        match &mut self.step {
            Step::Watching { next_read_ms, .. } => {
                if self.is_candidate && now_ms >= *next_read_ms {
                    *next_read_ms = now_ms + config.renew_interval_ms;
                    effects.push(Effect::ReadLease {
                        row: self.row.clone(),
                    });
                }
            }
            Step::Acquiring { sent_ms, .. } => {
                if now_ms >= *sent_ms + config.lease_ms {
                    self.start_watching(now_ms);
                }
            }
            Step::Holding(_) => {
                self.renew_or_release(config, now_ms, has_open_orders, effects)
            }
        }
    }

    pub(super) fn handle_read(
        &mut self,
        config: &Config,
        now_ms: u64,
        row: Option<Option<(u64, LeaseRow)>>,
        effects: &mut Vec<Effect>,
    ) {
        let Step::Watching { observed, .. } = &mut self.step else {
            return;
        };
        let Some(row) = row.filter(|_| self.is_candidate) else {
            return;
        };
        let Some((version, row)) = row else {
            self.acquire(config, now_ms, None, FencingNumber(1), 0, effects);
            return;
        };
        let is_unchanged = observed
            .as_ref()
            .is_some_and(|observed| observed.version == version);
        if !is_unchanged {
            *observed = Some(ObservedRow {
                version,
                row,
                since_ms: now_ms,
            });
        }
        let Some(observed) = observed.clone() else {
            return;
        };
        let expires_ms = observed.since_ms + observed.row.lease_ms;
        let term = FencingNumber(observed.row.term.0 + 1);
        if observed.row.released {
            self.acquire(config, now_ms, Some(version), term, 0, effects);
        } else if now_ms >= expires_ms {
            let wait_ms = observed.row.order_deadline_ms;
            self.acquire(config, now_ms, Some(version), term, wait_ms, effects);
        }
    }

    pub(super) fn handle_write(
        &mut self,
        config: &Config,
        now_ms: u64,
        write: u64,
        outcome: WriteOutcome,
    ) {
        match self.step.clone() {
            Step::Acquiring {
                write: expected,
                sent_ms,
                term,
                wait_ms,
            } if expected == write => match outcome {
                WriteOutcome::Applied { version } => {
                    self.hold(config, now_ms, version, sent_ms, term, wait_ms);
                }
                // N.B. After a lost reply the row may be this host's own. Its expiry is
                // then awaited as for another host's row, since the start of its validity
                // is unknown.
                _ => self.start_watching(now_ms),
            },
            Step::Holding(HeldLease {
                pending_renewal: Some(renewal),
                ..
            }) if renewal.write == write => {
                self.handle_renewal(config, now_ms, renewal, outcome);
            }
            _ => {}
        }
    }

    fn handle_renewal(
        &mut self,
        config: &Config,
        now_ms: u64,
        renewal: Renewal,
        outcome: WriteOutcome,
    ) {
        let token = self.token;
        let Step::Holding(held) = &mut self.step else {
            return;
        };
        held.pending_renewal = None;
        match outcome {
            WriteOutcome::Applied { .. } if renewal.is_release => {
                self.start_watching(now_ms)
            }
            WriteOutcome::Applied { version } => {
                held.version = version;
                held.valid_until_ms = valid_until(config, renewal.sent_ms);
            }
            // An earlier renewal of this host was applied and its reply was lost. The
            // validity that it gave is unknown, so the lease is renewed at once.
            WriteOutcome::Conflict {
                current: Some((version, row)),
            } if row.token == token && row.term == held.term && !row.released => {
                held.version = version;
                held.next_renew_ms = now_ms;
            }
            WriteOutcome::Conflict { .. } => self.start_watching(now_ms),
            WriteOutcome::Rejected | WriteOutcome::Unknown => {}
        }
    }

    fn held_lease(&self, now_ms: u64) -> Option<&HeldLease> {
        match &self.step {
            Step::Holding(held)
                if now_ms < held.valid_until_ms && !held.is_release_sent =>
            {
                Some(held)
            }
            _ => None,
        }
    }

    fn start_watching(&mut self, now_ms: u64) {
        self.step = Step::Watching {
            observed: None,
            next_read_ms: now_ms,
        };
    }

    fn acquire(
        &mut self,
        config: &Config,
        now_ms: u64,
        version: Option<u64>,
        term: FencingNumber,
        wait_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let write = self.write(config, version, term, false, effects);
        self.step = Step::Acquiring {
            write,
            sent_ms: now_ms,
            term,
            wait_ms,
        };
    }

    fn hold(
        &mut self,
        config: &Config,
        now_ms: u64,
        version: u64,
        sent_ms: u64,
        term: FencingNumber,
        wait_ms: u64,
    ) {
        self.step = Step::Holding(HeldLease {
            version,
            term,
            valid_until_ms: valid_until(config, sent_ms),
            no_orders_until_ms: now_ms + wait_ms,
            next_renew_ms: sent_ms + config.renew_interval_ms,
            pending_renewal: None,
            is_release_sent: false,
        });
    }

    /// Renews the lease, or releases it once no order is open.
    fn renew_or_release(
        &mut self,
        config: &Config,
        now_ms: u64,
        has_open_orders: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Step::Holding(held) = &mut self.step else {
            return;
        };
        let has_timed_out = held
            .pending_renewal
            .is_some_and(|renewal| now_ms >= renewal.sent_ms + config.renew_interval_ms);
        if has_timed_out {
            held.pending_renewal = None;
        }
        let release = (!self.is_candidate || held.is_release_sent) && !has_open_orders;
        if held.pending_renewal.is_some() || (now_ms < held.next_renew_ms && !release) {
            return;
        }
        held.next_renew_ms = now_ms + config.renew_interval_ms;
        let (version, term) = (held.version, held.term);
        let write = self.write(config, Some(version), term, release, effects);
        if let Step::Holding(held) = &mut self.step {
            held.is_release_sent |= release;
            held.pending_renewal = Some(Renewal {
                write,
                sent_ms: now_ms,
                is_release: release,
            });
        }
    }

    fn write(
        &mut self,
        config: &Config,
        version: Option<u64>,
        term: FencingNumber,
        released: bool,
        effects: &mut Vec<Effect>,
    ) -> u64 {
        self.last_write += 1;
        let value = LeaseRow {
            holder: self.host.clone(),
            token: self.token,
            term,
            lease_ms: config.lease_ms,
            order_deadline_ms: config.order_deadline_ms,
            released,
        };
        let write = self.last_write;
        effects.push(Effect::WriteLease {
            write,
            row: self.row.clone(),
            version,
            value,
        });
        write
    }
}

/// Returns the end of the validity of a lease whose write was sent at `sent_ms`.
///
/// The holder counts from before the write, so that no reader of the row counts from an
/// earlier time.
fn valid_until(config: &Config, sent_ms: u64) -> u64 {
    sent_ms + config.lease_ms - config.margin_ms
}
