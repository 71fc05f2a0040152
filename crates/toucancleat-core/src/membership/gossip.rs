//! Gossip that is piggybacked on probe messages.

use super::{Effect, Gossip, MemberEntry, State, Status};
use crate::prelude::*;

impl State {
    /// Creates the gossip for a message to `to`, and counts each update in it as sent.
    pub(super) fn make_gossip(&mut self, to: &HostName) -> Gossip {
        let mut entries = Vec::with_capacity(self.config.entries_per_message_max);
        // N.B. An entry about the receiver that isn't `Alive` comes first, or the
        // receiver can't refute it.
        if let Some(member) = self.members.get(to)
            && member.entry.status != Status::Alive
        {
            entries.push(member.entry.clone());
        }
        self.add_updates(to, &mut entries);
        Gossip {
            sender: self.own.clone(),
            digest: self.digest,
            entries,
            summary: self.pick_summary(),
        }
    }

    /// Adds the updates that were sent least often, up to the limit of a message.
    fn add_updates(&mut self, to: &HostName, entries: &mut Vec<MemberEntry>) {
        let limit = self.transmits_max();
        let free_entries = self
            .config
            .entries_per_message_max
            .saturating_sub(entries.len());
        let mut updates: Vec<(u32, usize)> = self
            .members
            .values()
            .enumerate()
            .filter(|(_, member)| member.transmits < limit)
            .filter(|(_, member)| member.entry.host.name != *to)
            .map(|(i, member)| (member.transmits, i))
            .collect();
        updates.sort_unstable();
        for (_, i) in updates.into_iter().take(free_entries) {
            let member = &mut self.members[i];
            member.transmits += 1;
            entries.push(member.entry.clone());
        }
    }

    /// Returns the number of times that this host sends an update.
    ///
    /// The number grows with the logarithm of the zone's size, which is enough for an
    /// update to reach every host with high probability.
    fn transmits_max(&self) -> u32 {
        let doublings = usize::BITS - (self.members.len() + 1).leading_zeros();
        self.config.transmits_per_doubling * doublings
    }

    /// Merges the gossip of a received message.
    pub(super) fn merge_gossip(
        &mut self,
        now_ms: u64,
        gossip: &Gossip,
        effects: &mut Vec<Effect>,
    ) {
        self.merge(now_ms, &gossip.sender, effects);
        for entry in &gossip.entries {
            self.merge(now_ms, entry, effects);
        }
        if let Some(summary) = &gossip.summary {
            self.merge_summary(now_ms, summary, effects);
        }
        self.compare_digest(now_ms, gossip, effects);
    }
}
