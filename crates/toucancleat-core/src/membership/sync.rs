//! Synchronisation of views that differ: after a start, a cut or lost statements.

use super::{Effect, Entry, Exchange, Message, State};
use crate::prelude::*;

impl State {
    /// Asks for a part of the peer's view when the digests differ.
    ///
    /// One part at a time and at most one request an interval bound the cost, however far
    /// apart the views are.
    pub(super) fn compare_digest(
        &mut self,
        now_ms: u64,
        exchange: &Exchange,
        effects: &mut Vec<Effect>,
    ) {
        let same_zone = exchange.sender.host.zone == self.own.host.zone;
        if !same_zone || exchange.digest == self.digest || now_ms < self.next_sync_ms {
            return;
        }
        self.next_sync_ms = now_ms + self.config.sync_interval_ms;
        let message = Message::SyncRequest {
            offset: self.sync_offset,
            sender: self.own.clone(),
        };
        effects.push(Effect::Send {
            to: exchange.sender.host.name.clone(),
            message,
        });
    }

    pub(super) fn answer_sync(
        &mut self,
        to: HostName,
        offset: u32,
        effects: &mut Vec<Effect>,
    ) {
        let count = self.config.sync_entries_max;
        let start = offset as usize;
        let entries: Vec<Entry> =
            self.entries().skip(start).take(count).cloned().collect();
        let end = start + entries.len();
        let complete = end > self.members.len();
        let next_offset = if complete { 0 } else { end as u32 };
        effects.push(Effect::Send {
            to,
            message: Message::Sync {
                next_offset,
                entries,
            },
        });
    }

    pub(super) fn take_sync(
        &mut self,
        now_ms: u64,
        next_offset: u32,
        entries: &[Entry],
        effects: &mut Vec<Effect>,
    ) {
        self.sync_offset = next_offset;
        for entry in entries {
            self.merge(now_ms, entry, effects);
        }
    }
}
