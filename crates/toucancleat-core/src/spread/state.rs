//! What one host knows of the settings.

use std::collections::VecDeque;
use std::sync::Arc;

use super::message::{Effect, Message};
use super::platform::Read;
use crate::prelude::*;
use crate::rng::Rng;
use crate::settings::store::snapshot_due;
use crate::settings::{Change, Tree};

/// Times and bounds of the spreading.
#[derive(Clone, Debug)]
pub struct Config {
    /// Time between two reads of the head by the zone's reader.
    pub poll_ms: u64,
    /// Silence after which a host asks on its own.
    pub silence_ms: u64,
    /// Time between two questions of a host that has heard nothing.
    pub ask_ms: u64,
    /// Longest time between two such questions, reached by doubling.
    pub ask_max_ms: u64,
    /// Time after which a pull counts as lost.
    pub pull_timeout_ms: u64,
    /// Time after which a platform read counts as lost.
    pub read_timeout_ms: u64,
    /// Random peers that news is passed on to.
    pub fanout: usize,
    /// Most changes passed on unasked; a host that lacks more pulls them.
    pub push_changes_max: usize,
    /// Most changes kept for peers that lag behind; beyond, they get the tree.
    pub recent_changes_max: usize,
    /// Platform reads that a host which isn't the reader may save up.
    pub budget_reads_max: u32,
    /// Time in which such a host earns one platform read.
    pub budget_refill_ms: u64,
}

/// The settings as one host knows them.
#[derive(Clone, Debug)]
pub struct State {
    pub(super) config: Config,
    pub(super) rng: Rng,
    pub(super) zone_peers: Vec<HostName>,
    pub(super) other_zone_peers: Vec<HostName>,
    pub(super) is_reader: bool,
    current: Option<(Revision, Arc<Tree>)>,
    /// Whether the tree is in force; one that is still being read from its first change
    /// on isn't.
    in_force: bool,
    recent: VecDeque<Change>,
    /// When the platform was read by whoever this host's knowledge comes from.
    fresh_at_ms: Option<u64>,
    /// The latest such time that was passed on.
    passed_on_ms: Option<u64>,
    pub(super) reading: Option<Read>,
    pub(super) next_read: u64,
    pub(super) next_poll_ms: u64,
    pub(super) next_ask_ms: u64,
    pub(super) asks: u32,
    pub(super) pulled_at_ms: Option<u64>,
    pub(super) budget_reads: u32,
    pub(super) budget_refilled_ms: Option<u64>,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            poll_ms: 1_000,
            silence_ms: 3_000,
            ask_ms: 500,
            ask_max_ms: 8_000,
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
    /// Makes the state of a host that has just started and knows no tree.
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
            recent: VecDeque::new(),
            fresh_at_ms: None,
            passed_on_ms: None,
            reading: None,
            next_read: 0,
            next_poll_ms: 0,
            next_ask_ms: 0,
            asks: 0,
            pulled_at_ms: None,
            budget_refilled_ms: None,
        }
    }

    /// Returns the revision in force; `None` before the first tree.
    pub fn revision(&self) -> Option<Revision> {
        self.have().filter(|_| self.in_force)
    }

    /// Returns the tree in force.
    pub fn tree(&self) -> Option<&Arc<Tree>> {
        self.current
            .as_ref()
            .map(|(_, tree)| tree)
            .filter(|_| self.in_force)
    }

    /// Returns the revision that the host has come to, in force or not.
    pub(super) fn have(&self) -> Option<Revision> {
        self.current.as_ref().map(|(revision, _)| *revision)
    }

    /// Returns the time since the platform was known to have no later revision.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.fresh_at_ms?))
    }

    /// Says whether the host has heard nothing for too long.
    pub fn is_stale(&self, now_ms: u64) -> bool {
        self.age_ms(now_ms)
            .is_none_or(|age_ms| age_ms >= self.config.silence_ms)
    }

    /// Takes over a whole tree, unless the host has it or a later one.
    pub(super) fn adopt(&mut self, revision: Revision, tree: Arc<Tree>) {
        if Some(revision) > self.have() {
            self.recent.clear();
            self.current = Some((revision, tree));
        }
    }

    /// Puts the tree in force once the host has come to a head that someone knows.
    pub(super) fn put_in_force(&mut self, head: Revision, effects: &mut Vec<Effect>) {
        if self.in_force || self.have() < Some(head) {
            return;
        }
        self.in_force = true;
        self.tell_in_force(effects);
    }

    pub(super) fn tell_in_force(&self, effects: &mut Vec<Effect>) {
        let Some((revision, tree)) = self.current.clone() else {
            return;
        };
        if self.in_force {
            effects.push(Effect::InForce { revision, tree });
        }
    }

    /// Applies the changes that follow on the tree in force, and passes them on.
    ///
    /// Returns whether a change is missing before the first of the later ones.
    pub(super) fn learn(
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
                effects.push(Effect::Unreadable {
                    revision: change.revision,
                });
                break;
            };
            tree = Arc::new(applied.tree);
            revision = change.revision;
            self.keep_recent(change);
            self.store_snapshot_if_due(revision, &tree, effects);
        }
        if revision > before {
            self.current = Some((revision, tree));
            self.tell_in_force(effects);
            self.pass_on(before, from, now_ms, effects);
        }
        changes.iter().any(|change| change.revision > revision)
    }

    /// Notes that the platform had no later revision at a time, and passes that on when
    /// it is news.
    pub(super) fn refresh(
        &mut self,
        at_ms: u64,
        now_ms: u64,
        from: Option<&HostName>,
        effects: &mut Vec<Effect>,
    ) {
        self.fresh_at_ms = self.fresh_at_ms.max(Some(at_ms));
        if !self.is_stale(now_ms) {
            self.asks = 0;
        }
        let half_poll_ms = self.config.poll_ms / 2;
        let news = self
            .passed_on_ms
            .is_none_or(|known| at_ms >= known + half_poll_ms);
        let Some(revision) = self.revision().filter(|_| news) else {
            return;
        };
        self.passed_on_ms = Some(at_ms);
        let age_ms = now_ms.saturating_sub(at_ms);
        self.send_to_some(from, Message::Announce { revision, age_ms }, effects);
    }

    /// Returns the changes after a revision; `None` when some aren't kept any more.
    pub(super) fn changes_after(&self, have: Revision) -> Option<Vec<Change>> {
        let later = self.recent.iter().filter(|change| change.revision > have);
        let changes: Vec<_> = later.cloned().collect();
        let missing = self.have()?.0.saturating_sub(have.0);
        (changes.len() as u64 == missing).then_some(changes)
    }

    fn keep_recent(&mut self, change: &Change) {
        self.recent.push_back(change.clone());
        if self.recent.len() > self.config.recent_changes_max {
            self.recent.pop_front();
        }
    }

    fn store_snapshot_if_due(
        &self,
        revision: Revision,
        tree: &Arc<Tree>,
        effects: &mut Vec<Effect>,
    ) {
        if self.is_reader && snapshot_due(revision) {
            let tree = Arc::clone(tree);
            effects.push(Effect::StoreSnapshot { revision, tree });
        }
    }

    fn pass_on(
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
        let few = |changes: &Vec<Change>| changes.len() <= self.config.push_changes_max;
        let message = match self.changes_after(before).filter(few) {
            Some(changes) => Message::Delta {
                changes,
                revision,
                age_ms,
            },
            None => Message::Announce { revision, age_ms },
        };
        self.send_to_some(from, message, effects);
    }

    fn send_to_some(
        &mut self,
        except: Option<&HostName>,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        let others = |index: &usize| Some(&self.zone_peers[*index]) != except;
        let mut peers: Vec<_> = (0..self.zone_peers.len()).filter(others).collect();
        for chosen in 0..peers.len().min(self.config.fanout) {
            let other = chosen + self.rng.below(peers.len() - chosen);
            peers.swap(chosen, other);
            let to = self.zone_peers[peers[chosen]].clone();
            let message = message.clone();
            effects.push(Effect::Send { to, message });
        }
    }
}
