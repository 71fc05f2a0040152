//! One target on its way to what is declared for it.

use indexmap::IndexMap;

use super::Config;
use super::lease::Lease;
use super::message::{Declared, Effect, Order, TargetState};
use crate::prelude::*;

/// A target: at any time at most one order to it can be open.
#[derive(Clone, Debug)]
pub(super) struct Target {
    name: TargetName,
    declared: Declared,
    step: Step,
    /// Whether the target takes no new work.
    stopped: bool,
    /// Whether its running work has ended as well.
    is_drained: bool,
    failures: u32,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Resting { until_ms: u64 },
    Reading { read: u64, until_ms: u64 },
    Draining,
    Ordering { order_id: u64, until_ms: u64 },
}

impl Target {
    pub fn new(name: TargetName, declared: Declared) -> Self {
        Target {
            name,
            declared,
            step: Step::Resting { until_ms: 0 },
            stopped: false,
            is_drained: false,
            failures: 0,
        }
    }

    pub fn declare(&mut self, declared: Declared) {
        if self.declared == declared {
            return;
        }
        self.declared = declared;
        if let Step::Resting { .. } | Step::Draining = self.step {
            self.step = Step::Resting { until_ms: 0 };
        }
    }

    pub fn reset(&mut self) {
        self.step = Step::Resting { until_ms: 0 };
        self.failures = 0;
    }

    /// Says whether the target has to be read.
    ///
    /// An order without a reply counts as open until its deadline, and what became of it
    /// is then read.
    pub fn is_due(&self, now_ms: u64) -> bool {
        match self.step {
            Step::Resting { until_ms }
            | Step::Reading { until_ms, .. }
            | Step::Ordering { until_ms, .. } => now_ms >= until_ms,
            Step::Draining => false,
        }
    }

    /// Says whether an order can still take effect.
    pub fn is_ordering(&self, now_ms: u64) -> bool {
        matches!(self.step, Step::Ordering { until_ms, .. } if now_ms < until_ms)
    }

    pub fn is_reading(&self, number: u64) -> bool {
        matches!(self.step, Step::Reading { read, .. } if read == number)
    }

    pub fn is_carrying_out(&self, number: u64) -> bool {
        matches!(self.step, Step::Ordering { order_id, .. } if order_id == number)
    }

    pub fn read(
        &mut self,
        config: &Config,
        now_ms: u64,
        read: u64,
        effects: &mut Vec<Effect>,
    ) {
        let until_ms = now_ms + config.order_deadline_ms;
        self.step = Step::Reading { read, until_ms };
        effects.push(Effect::ReadTarget {
            target: self.name.clone(),
            read,
        });
    }

    pub fn rest(&mut self, until_ms: u64) {
        self.step = Step::Resting { until_ms };
    }

    pub fn failed(&mut self, config: &Config, now_ms: u64) {
        let pause_ms = config.retry_ms << self.failures.min(16);
        self.failures += 1;
        self.rest(now_ms + pause_ms.min(config.check_ms));
    }

    /// The order was carried out; the target is read to see it.
    pub fn done(&mut self, now_ms: u64) {
        self.failures = 0;
        self.rest(now_ms);
    }

    pub fn drain(&mut self, effects: &mut Vec<Effect>) {
        self.step = Step::Draining;
        self.stopped = true;
        effects.push(Effect::StopAdmissions {
            target: self.name.clone(),
        });
    }

    pub fn drained(&mut self, now_ms: u64) {
        if let Step::Draining = self.step {
            self.is_drained = true;
            self.rest(now_ms);
        }
    }

    pub fn resume(&mut self, effects: &mut Vec<Effect>) {
        if self.stopped {
            self.stopped = false;
            self.is_drained = false;
            effects.push(Effect::ResumeAdmissions {
                target: self.name.clone(),
            });
        }
    }

    pub fn send(
        &mut self,
        config: &Config,
        lease: &Lease,
        now_ms: u64,
        order_id: u64,
        order: Order,
        effects: &mut Vec<Effect>,
    ) {
        let Some(fencing_number) = lease.term(now_ms) else {
            return;
        };
        let deadline_ms = now_ms + config.order_deadline_ms;
        self.step = Step::Ordering {
            order_id,
            until_ms: deadline_ms,
        };
        effects.push(Effect::SendOrder {
            target: self.name.clone(),
            order_id,
            order,
            fencing_number,
            valid_until_ms: lease.valid_until_ms(),
            deadline_ms,
        });
    }

    /// Says whether running work would be cut off by the order.
    pub fn needs_drain(&self, order: &Order, found: &TargetState) -> bool {
        let disturbs = match order {
            Order::LoadModel { name, .. } => found.models.contains_key(name),
            Order::LoadAdapter { name, .. } => found.adapters.contains_key(name),
            Order::SetRole { .. } | Order::Unload { .. } => true,
        };
        disturbs && !self.is_drained
    }

    /// Returns the first step from what the target is towards what is declared.
    ///
    /// Loads come before the change of role and unloads, so that a target isn't left
    /// without what it serves.
    pub fn next_order(&self, found: &TargetState) -> Option<Order> {
        self.next_load(found)
            .or_else(|| self.next_role(found))
            .or_else(|| self.next_unload(found))
    }

    fn next_load(&self, found: &TargetState) -> Option<Order> {
        let model = first_missing(self.declared.models.as_ref(), &found.models)
            .map(|(name, version)| Order::LoadModel { name, version });
        model.or_else(|| {
            first_missing(self.declared.adapters.as_ref(), &found.adapters)
                .map(|(name, version)| Order::LoadAdapter { name, version })
        })
    }

    fn next_role(&self, found: &TargetState) -> Option<Order> {
        let role = self
            .declared
            .role
            .clone()
            .filter(|role| *role != found.role)?;
        Some(Order::SetRole { role })
    }

    fn next_unload(&self, found: &TargetState) -> Option<Order> {
        let extra = first_extra(self.declared.adapters.as_ref(), &found.adapters)
            .or_else(|| first_extra(self.declared.models.as_ref(), &found.models));
        extra.map(|name| Order::Unload { name })
    }
}

type Versions = IndexMap<String, String>;

fn first_missing(
    declared: Option<&Versions>,
    found: &Versions,
) -> Option<(String, String)> {
    let missing =
        |(name, version): &(&String, &String)| found.get(*name) != Some(*version);
    let (name, version) = declared?.iter().find(missing)?;
    Some((name.clone(), version.clone()))
}

fn first_extra(declared: Option<&Versions>, found: &Versions) -> Option<String> {
    let declared = declared?;
    found
        .keys()
        .find(|name| !declared.contains_key(*name))
        .cloned()
}
