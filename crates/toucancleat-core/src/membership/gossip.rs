//! What rides on probe messages.

use super::{Effect, Entry, Exchange, State, Status};
use crate::prelude::*;

impl State {
    /// Makes what rides on a message to `to`, counting each statement as passed on.
    pub(super) fn make_exchange(&mut self, to: &HostName) -> Exchange {
        let mut entries = Vec::with_capacity(self.config.entries_per_message_max);
        // N.B. A host must hear first what is wrongly believed about itself, or it can't
        // refute it.
        if let Some(member) = self.members.get(to)
            && member.entry.status != Status::Alive
        {
            entries.push(member.entry.clone());
        }
        self.add_recent(to, &mut entries);
        Exchange {
            sender: self.own.clone(),
            digest: self.digest,
            entries,
            summary: self.pick_summary(),
        }
    }

    /// Adds the statements that were passed on least, up to the bound of a message.
    fn add_recent(&mut self, to: &HostName, entries: &mut Vec<Entry>) {
        let limit = self.transmits_max();
        let room = self
            .config
            .entries_per_message_max
            .saturating_sub(entries.len());
        let mut recent: Vec<(u32, usize)> = self
            .members
            .values()
            .enumerate()
            .filter(|(_, member)| member.transmits < limit)
            .filter(|(_, member)| member.entry.host.name != *to)
            .map(|(i, member)| (member.transmits, i))
            .collect();
        recent.sort_unstable();
        for (_, i) in recent.into_iter().take(room) {
            let member = &mut self.members[i];
            member.transmits += 1;
            entries.push(member.entry.clone());
        }
    }

    /// Times that a statement is passed on: it grows with the logarithm of the zone's
    /// size, which is what makes it reach every host with high probability.
    fn transmits_max(&self) -> u32 {
        let doublings = usize::BITS - (self.members.len() + 1).leading_zeros();
        self.config.transmits_per_doubling * doublings
    }

    pub(super) fn take_exchange(
        &mut self,
        now_ms: u64,
        exchange: &Exchange,
        effects: &mut Vec<Effect>,
    ) {
        self.merge(now_ms, &exchange.sender, effects);
        for entry in &exchange.entries {
            self.merge(now_ms, entry, effects);
        }
        if let Some(summary) = &exchange.summary {
            self.take_summary(now_ms, summary, effects);
        }
        self.compare_digest(now_ms, exchange, effects);
    }
}
