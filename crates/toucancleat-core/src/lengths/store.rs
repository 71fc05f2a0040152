//! Length sketches by organisation and kind, and the distributions estimated from them.

use indexmap::IndexMap;

use super::distribution::Distribution;
use super::sketch::Sketch;
use crate::prelude::*;

/// Bounds and rates of a [`Store`].
#[derive(Clone, Debug)]
pub struct Config {
    /// Time in which an observation loses half of its weight, in milliseconds.
    pub half_life_ms: u64,
    /// Observations at which a level's own counts weigh as much as its parent's estimate.
    pub parent_weight: f64,
    /// Most pairs of organisation and kind that have a sketch of their own.
    pub sketches_max: usize,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            half_life_ms: 1_800_000,
            parent_weight: 20.0,
            sketches_max: 4_096,
        }
    }
}

/// Sketches for three levels: the fleet, each kind, and each pair of organisation and
/// kind.
///
/// An observation counts at all three levels, and a level with few observations is
/// shrunk towards the level above. Memory is bounded: at the bound the pair with the
/// least weight is evicted, and the distribution of its kind is used instead.
#[derive(Clone, Debug)]
pub struct Store {
    config: Config,
    fleet: Level,
    kinds: IndexMap<KindName, Level>,
    pairs: IndexMap<Pair, Level>,
    last_decay_ms: u64,
}

/// An answer that is still running.
#[derive(Clone, Copy, Debug)]
pub struct RunningAnswer<'a> {
    /// Organisation of the answer.
    pub organisation: &'a OrganisationName,
    /// Kind of the answer.
    pub kind: &'a KindName,
    /// Tokens generated so far.
    pub tokens: u32,
}

type Pair = (OrganisationName, KindName);

#[derive(Clone, Debug)]
struct Level {
    finished: Sketch,
    running: Sketch,
    distribution: Distribution,
}

impl Store {
    /// Creates an empty store.
    pub fn new(config: Config) -> Self {
        Store {
            config,
            fleet: Level::new(Distribution::prior()),
            kinds: IndexMap::new(),
            pairs: IndexMap::new(),
            last_decay_ms: 0,
        }
    }

    /// Counts an answer that was complete at `tokens`.
    pub fn observe_ended(
        &mut self,
        organisation: &OrganisationName,
        kind: &KindName,
        tokens: u32,
    ) {
        self.update_levels(organisation, kind, |level| {
            level.finished.observe_ended(tokens)
        });
    }

    /// Counts an answer that was cut off at `tokens`.
    pub fn observe_censored(
        &mut self,
        organisation: &OrganisationName,
        kind: &KindName,
        tokens: u32,
    ) {
        self.update_levels(organisation, kind, |level| {
            level.finished.observe_censored(tokens)
        });
    }

    /// Decays the counts and estimates every distribution again.
    ///
    /// The answers that are running count as censored at their present length. Without
    /// them the answers that end first, which are the short ones, would dominate the
    /// estimate whenever the lengths change.
    pub fn refresh<'a>(
        &mut self,
        now_ms: u64,
        running: impl Iterator<Item = RunningAnswer<'a>>,
    ) {
        self.decay(now_ms);
        self.update_all_levels(|level| level.running = Sketch::default());
        for answer in running {
            self.update_levels(answer.organisation, answer.kind, |level| {
                level.running.observe_censored(answer.tokens)
            });
        }
        self.estimate_all();
    }

    /// Returns the distribution for a pair of organisation and kind, or that of the
    /// nearest level above.
    pub fn distribution(
        &self,
        organisation: &OrganisationName,
        kind: &KindName,
    ) -> &Distribution {
        // N.B. A tuple key can't be looked up by its parts, and cloning names is cheap.
        let pair = (organisation.clone(), kind.clone());
        if let Some(level) = self.pairs.get(&pair) {
            return &level.distribution;
        }
        let level = self.kinds.get(kind).unwrap_or(&self.fleet);
        &level.distribution
    }

    /// Returns the number of levels that hold sketches: the fleet, the kinds and the
    /// pairs.
    pub fn len(&self) -> usize {
        1 + self.kinds.len() + self.pairs.len()
    }

    /// Returns true if nothing was observed below the level of the fleet.
    pub fn is_empty(&self) -> bool {
        self.kinds.is_empty()
    }

    fn update_levels(
        &mut self,
        organisation: &OrganisationName,
        kind: &KindName,
        mut observe: impl FnMut(&mut Level),
    ) {
        observe(&mut self.fleet);
        let inherited = &self.fleet.distribution;
        let level = self
            .kinds
            .entry(kind.clone())
            .or_insert_with(|| Level::new(inherited.clone()));
        observe(level);
        let inherited = level.distribution.clone();
        let pair = (organisation.clone(), kind.clone());
        if !self.pairs.contains_key(&pair) {
            self.evict_lightest_pair();
        }
        let level = self
            .pairs
            .entry(pair)
            .or_insert_with(|| Level::new(inherited));
        observe(level);
    }

    /// Evicts the pair with the least weight if the bound is reached.
    fn evict_lightest_pair(&mut self) {
        if self.pairs.len() < self.config.sketches_max {
            return;
        }
        let weights = self.pairs.values().map(|level| level.finished.weight());
        let least = weights.enumerate().min_by(|a, b| a.1.total_cmp(&b.1));
        if let Some((index, _)) = least {
            self.pairs.swap_remove_index(index);
        }
    }

    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.last_decay_ms);
        let is_first = self.last_decay_ms == 0;
        self.last_decay_ms = now_ms.max(self.last_decay_ms);
        if is_first || elapsed_ms == 0 {
            return;
        }
        let half_lives = elapsed_ms as f64 / self.config.half_life_ms as f64;
        let factor = (-half_lives).exp2() as f32;
        self.update_all_levels(|level| level.finished.scale(factor));
    }

    fn estimate_all(&mut self) {
        let weight = self.config.parent_weight;
        self.fleet.estimate(&Distribution::prior(), weight);
        for level in self.kinds.values_mut() {
            level.estimate(&self.fleet.distribution, weight);
        }
        for ((_, kind), level) in &mut self.pairs {
            let parent = self.kinds.get(kind).unwrap_or(&self.fleet);
            level.estimate(&parent.distribution, weight);
        }
    }

    fn update_all_levels(&mut self, mut update: impl FnMut(&mut Level)) {
        update(&mut self.fleet);
        self.kinds.values_mut().for_each(&mut update);
        self.pairs.values_mut().for_each(&mut update);
    }
}

impl Level {
    fn new(distribution: Distribution) -> Self {
        Level {
            finished: Sketch::default(),
            running: Sketch::default(),
            distribution,
        }
    }

    fn estimate(&mut self, parent: &Distribution, parent_weight: f64) {
        let mut combined = self.finished.clone();
        combined.merge(&self.running);
        self.distribution = Distribution::estimate(&combined, parent, parent_weight);
    }
}
