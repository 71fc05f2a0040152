//! Synchronisation of views that differ after a start, a network partition or lost
//! updates.

use super::{Effect, Gossip, MemberEntry, Message, State};
use crate::prelude::*;

impl State {
    /// Requests a page of the peer's view if the digests differ.
    ///
    /// Requesting one page at a time and at most once per interval bounds the cost,
    /// however much the views differ.
    pub(super) fn compare_digest(
        &mut self,
        now_ms: u64,
        gossip: &Gossip,
        effects: &mut Vec<Effect>,
    ) {
        let is_same_zone = gossip.sender.host.zone == self.own.host.zone;
        if !is_same_zone || gossip.digest == self.digest || now_ms < self.next_sync_ms {
            return;
        }
        self.next_sync_ms = now_ms + self.config.sync_interval_ms;
        let message = Message::SyncRequest {
            offset: self.sync_offset,
            sender: self.own.clone(),
        };
        effects.push(Effect::Send {
            to: gossip.sender.host.name.clone(),
            message,
        });
    }

    /// Sends the page of this host's view that starts at `offset`.
    pub(super) fn send_sync(
        &mut self,
        to: HostName,
        offset: u32,
        effects: &mut Vec<Effect>,
    ) {
        let limit = self.config.sync_page_entries_max;
        let start = offset as usize;
        let entries: Vec<MemberEntry> =
            self.entries().skip(start).take(limit).cloned().collect();
        let end = start + entries.len();
        let is_complete = end > self.members.len();
        let next_offset = if is_complete { 0 } else { end as u32 };
        effects.push(Effect::Send {
            to,
            message: Message::Sync {
                next_offset,
                entries,
            },
        });
    }

    /// Merges a page of a peer's view.
    pub(super) fn merge_sync(
        &mut self,
        now_ms: u64,
        next_offset: u32,
        entries: &[MemberEntry],
        effects: &mut Vec<Effect>,
    ) {
        self.sync_offset = next_offset;
        for entry in entries {
            self.merge(now_ms, entry, effects);
        }
    }
}
