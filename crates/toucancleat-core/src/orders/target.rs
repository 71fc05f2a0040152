//! The orders of one target, which bring it to its declared state.

use indexmap::IndexMap;

use super::Config;
use super::lease::Lease;
use super::message::{DeclaredState, Effect, Order, TargetState};
use crate::prelude::*;

/// A target with a declared state; at most one order to it is open at any time.
#[derive(Clone, Debug)]
pub(super) struct Target {
    name: TargetName,
    declared: DeclaredState,
    step: Step,
    /// Whether this host has stopped the target's admissions.
    has_stopped_admissions: bool,
    /// Whether its running work has ended as well.
    is_drained: bool,
    failures: u32,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Waiting { until_ms: u64 },
    Reading { read: u64, until_ms: u64 },
    Draining,
    OrderOpen { order_id: u64, until_ms: u64 },
}

impl Target {
    pub fn new(name: TargetName, declared: DeclaredState) -> Self {
        Target {
            name,
            declared,
            step: Step::Waiting { until_ms: 0 },
            has_stopped_admissions: false,
            is_drained: false,
            failures: 0,
        }
    }

    pub fn set_declared(&mut self, declared: DeclaredState) {
        if self.declared == declared {
            return;
        }
        self.declared = declared;
        if let Step::Waiting { .. } | Step::Draining = self.step {
            self.step = Step::Waiting { until_ms: 0 };
        }
    }

    pub fn reset(&mut self) {
        self.step = Step::Waiting { until_ms: 0 };
        self.failures = 0;
    }

    /// Returns true if the target has to be read.
    ///
    /// An order without a reply counts as open until its deadline; its outcome is then
    /// read from the target.
    pub fn is_due(&self, now_ms: u64) -> bool {
        match self.step {
            Step::Waiting { until_ms }
            | Step::Reading { until_ms, .. }
            | Step::OrderOpen { until_ms, .. } => now_ms >= until_ms,
            Step::Draining => false,
        }
    }

    /// Returns true if an order can still take effect.
    pub fn has_open_order(&self, now_ms: u64) -> bool {
        matches!(self.step, Step::OrderOpen { until_ms, .. } if now_ms < until_ms)
    }

    pub fn is_reading(&self, number: u64) -> bool {
        matches!(self.step, Step::Reading { read, .. } if read == number)
    }

    pub fn awaits_reply_to(&self, number: u64) -> bool {
        matches!(self.step, Step::OrderOpen { order_id, .. } if order_id == number)
    }

    pub fn start_read(
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

    pub fn wait_until(&mut self, until_ms: u64) {
        self.step = Step::Waiting { until_ms };
    }

    pub fn back_off(&mut self, config: &Config, now_ms: u64) {
        let pause_ms = config.retry_ms << self.failures.min(16);
        self.failures += 1;
        self.wait_until(now_ms + pause_ms.min(config.check_interval_ms));
    }

    /// Ends an order that was carried out; the target is read at once to verify it.
    pub fn complete_order(&mut self, now_ms: u64) {
        self.failures = 0;
        self.wait_until(now_ms);
    }

    pub fn stop_admissions(&mut self, effects: &mut Vec<Effect>) {
        self.step = Step::Draining;
        self.has_stopped_admissions = true;
        effects.push(Effect::StopAdmissions {
            target: self.name.clone(),
        });
    }

    pub fn set_drained(&mut self, now_ms: u64) {
        if let Step::Draining = self.step {
            self.is_drained = true;
            self.wait_until(now_ms);
        }
    }

    pub fn resume_admissions(&mut self, effects: &mut Vec<Effect>) {
        if self.has_stopped_admissions {
            self.has_stopped_admissions = false;
            self.is_drained = false;
            effects.push(Effect::ResumeAdmissions {
                target: self.name.clone(),
            });
        }
    }

    pub fn send_order(
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
        self.step = Step::OrderOpen {
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

    /// Returns true if the order would interrupt running work, so that the target has to
    /// be drained first.
    pub fn needs_drain(&self, order: &Order, actual: &TargetState) -> bool {
        let interrupts_work = match order {
            Order::LoadModel { name, .. } => actual.models.contains_key(name),
            Order::LoadAdapter { name, .. } => actual.adapters.contains_key(name),
            Order::SetRole { .. } | Order::Unload { .. } => true,
        };
        interrupts_work && !self.is_drained
    }

    /// Returns the next order that brings the target closer to its declared state.
    ///
    /// Loads precede the change of role and unloads, so that a target isn't left without
    /// what it serves.
    pub fn next_order(&self, actual: &TargetState) -> Option<Order> {
        self.next_load(actual)
            .or_else(|| self.next_role(actual))
            .or_else(|| self.next_unload(actual))
    }

    fn next_load(&self, actual: &TargetState) -> Option<Order> {
        let model = first_missing(self.declared.models.as_ref(), &actual.models)
            .map(|(name, version)| Order::LoadModel { name, version });
        model.or_else(|| {
            first_missing(self.declared.adapters.as_ref(), &actual.adapters)
                .map(|(name, version)| Order::LoadAdapter { name, version })
        })
    }

    fn next_role(&self, actual: &TargetState) -> Option<Order> {
        let role = self
            .declared
            .role
            .clone()
            .filter(|role| *role != actual.role)?;
        Some(Order::SetRole { role })
    }

    fn next_unload(&self, actual: &TargetState) -> Option<Order> {
        let undeclared =
            first_undeclared(self.declared.adapters.as_ref(), &actual.adapters).or_else(
                || first_undeclared(self.declared.models.as_ref(), &actual.models),
            );
        undeclared.map(|name| Order::Unload { name })
    }
}

type Versions = IndexMap<String, String>;

fn first_missing(
    declared: Option<&Versions>,
    actual: &Versions,
) -> Option<(String, String)> {
    let missing =
        |(name, version): &(&String, &String)| actual.get(*name) != Some(*version);
    let (name, version) = declared?.iter().find(missing)?;
    Some((name.clone(), version.clone()))
}

fn first_undeclared(declared: Option<&Versions>, actual: &Versions) -> Option<String> {
    let declared = declared?;
    actual
        .keys()
        .find(|name| !declared.contains_key(*name))
        .cloned()
}
