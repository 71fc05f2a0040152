//! The settings that one host holds, and how it disseminates them.

use std::collections::VecDeque;
use std::sync::Arc;

use super::message::{Effect, Message};
use super::platform::PendingRead;
use crate::prelude::*;
use crate::rng::Rng;
use crate::settings::store::is_snapshot_due;
use crate::settings::{Change, Tree};

/// Times and bounds of the dissemination.
#[derive(Clone, Debug)]
pub struct Config {
    /// Time between two reads of the head by the zone's reader.
    pub poll_ms: u64,
    /// Time without confirmation by a platform read, its own or one that peers report,
    /// after which the settings are stale and the host queries on its own.
    pub silence_ms: u64,
    /// Initial time between two queries of a host whose settings are stale.
    pub query_ms: u64,
    /// Longest time between two such queries, reached by doubling.
    pub query_max_ms: u64,
    /// Time after which a pull without reply counts as lost.
    pub pull_timeout_ms: u64,
    /// Time after which a platform read without reply counts as lost.
    pub read_timeout_ms: u64,
    /// Number of random peers that an update is forwarded to.
    pub fanout: usize,
    /// Most changes pushed in one message; a host that is missing more pulls them.
    pub push_changes_max: usize,
    /// Most changes kept for peers that lag behind; peers further behind get the whole
    /// tree.
    pub recent_changes_max: usize,
    /// Most platform reads that a host other than the reader may accumulate.
    pub budget_reads_max: u32,
    /// Time after which the budget of such a host grows by one platform read.
    pub budget_refill_ms: u64,
}

/// The dissemination state of one host.
#[derive(Clone, Debug)]
pub struct State {
    pub(super) config: Config,
    pub(super) rng: Rng,
    pub(super) zone_peers: Vec<HostName>,
    pub(super) other_zone_peers: Vec<HostName>,
    pub(super) is_reader: bool,
    current: Option<(Revision, Arc<Tree>)>,
    /// Whether the tree is in force; a tree that is still being built from its first
    /// change on isn't.
    in_force: bool,
    recent_changes: VecDeque<Change>,
    /// Time of the platform read, by this host or one that its messages derive from,
    /// that last confirmed the settings.
    confirmed_at_ms: Option<u64>,
    /// The latest such time that was announced to peers.
    announced_ms: Option<u64>,
    pub(super) pending_read: Option<PendingRead>,
    pub(super) last_read_number: u64,
    pub(super) next_poll_ms: u64,
    pub(super) next_query_ms: u64,
    pub(super) queries: u32,
    pub(super) last_pull_ms: Option<u64>,
    pub(super) budget_reads: u32,
    pub(super) budget_refilled_ms: Option<u64>,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            poll_ms: 1_000,
            silence_ms: 3_000,
            query_ms: 500,
            query_max_ms: 8_000,
            pull_timeout_ms: 1_000,
            read_timeout_ms: 5_000,
            fanout: 4,
            push_changes_max: 8,
            recent_changes_max: 256,
            budget_reads_max: 4,
            budget_refill_ms: 30_000,
        }
    }
}

impl State {
    /// Creates the state of a host that has just started and holds no tree.
    pub fn new(config: Config, seed: u64) -> Self {
        State {
            budget_reads: config.budget_reads_max,
            config,
            rng: Rng::new(seed),
            zone_peers: Vec::new(),
            other_zone_peers: Vec::new(),
            is_reader: false,
            current: None,
            in_force: false,
            recent_changes: VecDeque::new(),
            confirmed_at_ms: None,
            announced_ms: None,
            pending_read: None,
            last_read_number: 0,
            next_poll_ms: 0,
            next_query_ms: 0,
            queries: 0,
            last_pull_ms: None,
            budget_refilled_ms: None,
        }
    }

    /// Returns the revision in force; `None` before the first tree.
    pub fn revision(&self) -> Option<Revision> {
        self.held_revision().filter(|_| self.in_force)
    }

    /// Returns the tree in force.
    pub fn tree(&self) -> Option<&Arc<Tree>> {
        self.current
            .as_ref()
            .map(|(_, tree)| tree)
            .filter(|_| self.in_force)
    }

    /// Returns the revision that the host holds, in force or not.
    pub(super) fn held_revision(&self) -> Option<Revision> {
        self.current.as_ref().map(|(revision, _)| *revision)
    }

    /// Returns the time since the latest platform read known to have found no later
    /// revision; `None` before the first.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.confirmed_at_ms?))
    }

    /// Returns true if no platform read has confirmed the settings for `silence_ms` or
    /// longer.
    pub fn is_stale(&self, now_ms: u64) -> bool {
        self.age_ms(now_ms)
            .is_none_or(|age_ms| age_ms >= self.config.silence_ms)
    }

    /// Replaces the tree, unless the host holds the same revision or a later one.
    pub(super) fn adopt(&mut self, revision: Revision, tree: Arc<Tree>) {
        if Some(revision) > self.held_revision() {
            self.recent_changes.clear();
            self.current = Some((revision, tree));
        }
    }

    /// Puts the tree in force once the host has reached a head known to it or to a peer.
    pub(super) fn put_in_force(&mut self, head: Revision, effects: &mut Vec<Effect>) {
        if self.in_force || self.held_revision() < Some(head) {
            return;
        }
        self.in_force = true;
        self.emit_in_force(effects);
    }

    /// Emits the tree, if it is in force.
    pub(super) fn emit_in_force(&self, effects: &mut Vec<Effect>) {
        let Some((revision, tree)) = self.current.clone() else {
            return;
        };
        if self.in_force {
            effects.push(Effect::PutInForce { revision, tree });
        }
    }

    /// Applies the changes that follow the current revision, and pushes them to peers.
    ///
    /// Returns true if changes remain that couldn't be applied, such as those after a
    /// gap.
    pub(super) fn apply_changes(
        &mut self,
        changes: &[Change],
        from: Option<&HostName>,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some((before, mut tree)) = self.current.clone() else {
            return !changes.is_empty();
        };
        let mut revision = before;
        for change in changes.iter().filter(|change| change.revision > before) {
            if change.revision.0 != revision.0 + 1 {
                break;
            }
            let Ok(applied) = tree.apply(&change.edits) else {
                effects.push(Effect::ChangeRejected {
                    revision: change.revision,
                });
                break;
            };
            tree = Arc::new(applied.tree);
            revision = change.revision;
            self.retain_change(change);
            self.store_snapshot_if_due(revision, &tree, effects);
        }
        if revision > before {
            self.current = Some((revision, tree));
            self.emit_in_force(effects);
            self.push_changes(before, from, now_ms, effects);
        }
        changes.iter().any(|change| change.revision > revision)
    }

    /// Records that the platform had no later revision at a time, and announces it when
    /// it is newer than the last announcement by half a poll period or more.
    pub(super) fn confirm(
        &mut self,
        at_ms: u64,
        now_ms: u64,
        from: Option<&HostName>,
        effects: &mut Vec<Effect>,
    ) {
        self.confirmed_at_ms = self.confirmed_at_ms.max(Some(at_ms));
        if !self.is_stale(now_ms) {
            self.queries = 0;
        }
        let half_poll_ms = self.config.poll_ms / 2;
        let is_newer = self
            .announced_ms
            .is_none_or(|announced_at_ms| at_ms >= announced_at_ms + half_poll_ms);
        let Some(revision) = self.revision().filter(|_| is_newer) else {
            return;
        };
        self.announced_ms = Some(at_ms);
        let age_ms = now_ms.saturating_sub(at_ms);
        self.send_to_random_peers(from, Message::Announce { revision, age_ms }, effects);
    }

    /// Returns the changes after a revision; `None` when some of them aren't kept any
    /// more.
    pub(super) fn changes_after(&self, held: Revision) -> Option<Vec<Change>> {
        let later = self
            .recent_changes
            .iter()
            .filter(|change| change.revision > held);
        let changes: Vec<_> = later.cloned().collect();
        let missing = self.held_revision()?.0.saturating_sub(held.0);
        (changes.len() as u64 == missing).then_some(changes)
    }

    fn retain_change(&mut self, change: &Change) {
        self.recent_changes.push_back(change.clone());
        if self.recent_changes.len() > self.config.recent_changes_max {
            self.recent_changes.pop_front();
        }
    }

    fn store_snapshot_if_due(
        &self,
        revision: Revision,
        tree: &Arc<Tree>,
        effects: &mut Vec<Effect>,
    ) {
        if self.is_reader && is_snapshot_due(revision) {
            let tree = Arc::clone(tree);
            effects.push(Effect::StoreSnapshot { revision, tree });
        }
    }

    fn push_changes(
        &mut self,
        before: Revision,
        from: Option<&HostName>,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(revision) = self.revision() else {
            return;
        };
        let age_ms = self.age_ms(now_ms).unwrap_or(u64::MAX);
        let is_small =
            |changes: &Vec<Change>| changes.len() <= self.config.push_changes_max;
        let message = match self.changes_after(before).filter(is_small) {
            Some(changes) => Message::Delta {
                changes,
                revision,
                age_ms,
            },
            None => Message::Announce { revision, age_ms },
        };
        self.send_to_random_peers(from, message, effects);
    }

    fn send_to_random_peers(
        &mut self,
        except: Option<&HostName>,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        let is_other = |index: &usize| Some(&self.zone_peers[*index]) != except;
        let mut peers: Vec<_> = (0..self.zone_peers.len()).filter(is_other).collect();
        for chosen in 0..peers.len().min(self.config.fanout) {
            let other = chosen + self.rng.below(peers.len() - chosen);
            peers.swap(chosen, other);
            let to = self.zone_peers[peers[chosen]].clone();
            let message = message.clone();
            effects.push(Effect::Send { to, message });
        }
    }
}
