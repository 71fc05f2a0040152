//! The lease of a zone's orders.

use serde::{Deserialize, Serialize};

use super::Config;
use super::message::{Effect, WriteOutcome};
use crate::prelude::*;

/// Table that holds the leases.
pub const TABLE: &str = "leases";

/// The row of a zone's lease.
///
/// Clocks aren't compared between hosts: a row that stays the same for `lease_ms` after a
/// host has first seen it has lapsed, since its holder counts from before the write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The host that holds the lease.
    pub holder: HostName,
    /// Names the start of the holder.
    pub token: u64,
    /// Raised by each new holder; the fencing number of its orders.
    pub term: FencingNumber,
    /// Time for which the holder uses the lease after it has begun to write the row.
    pub lease_ms: u64,
    /// Longest time in which an order of the holder can still take effect.
    pub order_deadline_ms: u64,
    /// Whether the holder has given the lease back with no order left behind.
    pub released: bool,
}

/// The lease as one host sees it.
#[derive(Clone, Debug)]
pub struct Lease {
    pub(super) is_candidate: bool,
    row: String,
    host: HostName,
    token: u64,
    next_write: u64,
    step: Step,
}

#[derive(Clone, Debug)]
enum Step {
    /// Another host may hold the lease.
    Watching {
        seen: Option<Seen>,
        next_read_ms: u64,
    },
    /// The first write of a new term is on its way.
    Acquiring {
        write: u64,
        sent_ms: u64,
        term: FencingNumber,
        wait_ms: u64,
    },
    /// The lease is held.
    Holding(Held),
}

#[derive(Clone, Debug)]
struct Seen {
    version: u64,
    row: LeaseRow,
    since_ms: u64,
}

#[derive(Clone, Debug)]
struct Held {
    version: u64,
    term: FencingNumber,
    valid_until_ms: u64,
    /// Before this time an order of the last holder may still take effect.
    quiet_until_ms: u64,
    next_renew_ms: u64,
    renewing: Option<Renewal>,
    /// Whether a write that gives it back was sent; another may hold it from then on.
    release_sent: bool,
}

#[derive(Clone, Copy, Debug)]
struct Renewal {
    write: u64,
    sent_ms: u64,
    released: bool,
}

impl Lease {
    pub(super) fn new(zone: &ZoneName, host: &HostName, token: u64) -> Self {
        Lease {
            is_candidate: false,
            row: format!("orders/{zone}"),
            host: host.clone(),
            token,
            next_write: 0,
            step: Step::Watching {
                seen: None,
                next_read_ms: 0,
            },
        }
    }

    /// Returns the term while the lease is valid.
    pub(super) fn term(&self, now_ms: u64) -> Option<FencingNumber> {
        self.held(now_ms).map(|held| held.term)
    }

    /// Says whether the lease is neither held nor on its way to or from being held.
    pub(super) fn is_settled(&self) -> bool {
        matches!(self.step, Step::Watching { .. })
    }

    /// Says whether an order may be given now.
    pub(super) fn may_order(&self, now_ms: u64) -> bool {
        let held = self.held(now_ms);
        self.is_candidate && held.is_some_and(|held| now_ms >= held.quiet_until_ms)
    }

    /// Returns the time from which no order may be sent.
    pub(super) fn valid_until_ms(&self) -> u64 {
        match &self.step {
            Step::Holding(held) => held.valid_until_ms,
            _ => 0,
        }
    }

    /// Gives up a lease whose time is over.
    ///
    /// N.B. A reply that comes later can't revive it: what was open under the lease is
    /// forgotten with it.
    pub(super) fn lapse(&mut self, now_ms: u64) {
        if matches!(&self.step, Step::Holding(held) if now_ms >= held.valid_until_ms) {
            self.watch(now_ms);
        }
    }

    /// Gives up at once, as another holder was seen.
    pub(super) fn lose(&mut self, now_ms: u64) {
        self.watch(now_ms);
    }

    pub(super) fn tick(
        &mut self,
        config: &Config,
        now_ms: u64,
        busy: bool,
        effects: &mut Vec<Effect>,
    ) {
        match &mut self.step {
            Step::Watching { next_read_ms, .. } => {
                if self.is_candidate && now_ms >= *next_read_ms {
                    *next_read_ms = now_ms + config.renew_ms;
                    effects.push(Effect::ReadLease {
                        row: self.row.clone(),
                    });
                }
            }
            Step::Acquiring { sent_ms, .. } => {
                if now_ms >= *sent_ms + config.lease_ms {
                    self.watch(now_ms);
                }
            }
            Step::Holding(_) => self.renew(config, now_ms, busy, effects),
        }
    }

    pub(super) fn read(
        &mut self,
        config: &Config,
        now_ms: u64,
        row: Option<Option<(u64, LeaseRow)>>,
        effects: &mut Vec<Effect>,
    ) {
        let Step::Watching { seen, .. } = &mut self.step else {
            return;
        };
        let Some(row) = row.filter(|_| self.is_candidate) else {
            return;
        };
        let Some((version, row)) = row else {
            self.acquire(config, now_ms, None, FencingNumber(1), 0, effects);
            return;
        };
        let same = seen.as_ref().is_some_and(|seen| seen.version == version);
        if !same {
            *seen = Some(Seen {
                version,
                row,
                since_ms: now_ms,
            });
        }
        let Some(seen) = seen.clone() else { return };
        let lapsed_ms = seen.since_ms + seen.row.lease_ms;
        let term = FencingNumber(seen.row.term.0 + 1);
        if seen.row.released {
            self.acquire(config, now_ms, Some(version), term, 0, effects);
        } else if now_ms >= lapsed_ms {
            let wait_ms = seen.row.order_deadline_ms;
            self.acquire(config, now_ms, Some(version), term, wait_ms, effects);
        }
    }

    pub(super) fn written(
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
                // N.B. After a lost reply the row may be this host's, and is then waited
                // out like another's, since no time is known for it.
                _ => self.watch(now_ms),
            },
            Step::Holding(Held {
                renewing: Some(renewal),
                ..
            }) if renewal.write == write => {
                self.renewed(config, now_ms, renewal, outcome);
            }
            _ => {}
        }
    }

    fn renewed(
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
        held.renewing = None;
        match outcome {
            WriteOutcome::Applied { .. } if renewal.released => self.watch(now_ms),
            WriteOutcome::Applied { version } => {
                held.version = version;
                held.valid_until_ms = valid_until(config, renewal.sent_ms);
            }
            // An earlier renewal of this host took effect and its reply was lost. The
            // time that it gave isn't known, so the next renewal has to give it.
            WriteOutcome::Conflict {
                present: Some((version, row)),
            } if row.token == token && row.term == held.term && !row.released => {
                held.version = version;
                held.next_renew_ms = now_ms;
            }
            WriteOutcome::Conflict { .. } => self.watch(now_ms),
            WriteOutcome::Rejected | WriteOutcome::Unknown => {}
        }
    }

    fn held(&self, now_ms: u64) -> Option<&Held> {
        match &self.step {
            Step::Holding(held) if now_ms < held.valid_until_ms && !held.release_sent => {
                Some(held)
            }
            _ => None,
        }
    }

    fn watch(&mut self, now_ms: u64) {
        self.step = Step::Watching {
            seen: None,
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
        self.step = Step::Holding(Held {
            version,
            term,
            valid_until_ms: valid_until(config, sent_ms),
            quiet_until_ms: now_ms + wait_ms,
            next_renew_ms: sent_ms + config.renew_ms,
            renewing: None,
            release_sent: false,
        });
    }

    /// Writes the row again, or gives the lease back once no order is on its way.
    fn renew(
        &mut self,
        config: &Config,
        now_ms: u64,
        busy: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Step::Holding(held) = &mut self.step else {
            return;
        };
        let lost = held
            .renewing
            .is_some_and(|renewal| now_ms >= renewal.sent_ms + config.renew_ms);
        if lost {
            held.renewing = None;
        }
        let release = (!self.is_candidate || held.release_sent) && !busy;
        if held.renewing.is_some() || (now_ms < held.next_renew_ms && !release) {
            return;
        }
        held.next_renew_ms = now_ms + config.renew_ms;
        let (version, term) = (held.version, held.term);
        let write = self.write(config, Some(version), term, release, effects);
        if let Step::Holding(held) = &mut self.step {
            held.release_sent |= release;
            held.renewing = Some(Renewal {
                write,
                sent_ms: now_ms,
                released: release,
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
        self.next_write += 1;
        let value = LeaseRow {
            holder: self.host.clone(),
            token: self.token,
            term,
            lease_ms: config.lease_ms,
            order_deadline_ms: config.order_deadline_ms,
            released,
        };
        let write = self.next_write;
        effects.push(Effect::WriteLease {
            write,
            row: self.row.clone(),
            version,
            value,
        });
        write
    }
}

/// The holder counts from before the write, so that no one who sees the row counts from
/// an earlier time.
fn valid_until(config: &Config, sent_ms: u64) -> u64 {
    sent_ms + config.lease_ms - config.margin_ms
}
