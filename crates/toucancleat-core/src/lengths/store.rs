//! The sketches of every organisation and kind, and what they inherit.

use indexmap::IndexMap;

use super::distribution::Distribution;
use super::sketch::Sketch;
use crate::prelude::*;

/// Bounds and rates of a [`Store`].
#[derive(Clone, Debug)]
pub struct Config {
    /// Time in which an observation loses half of its weight.
    pub half_life_ms: u64,
    /// Observations at which a level's own counts and its parent's weigh the same.
    pub parent_weight: f64,
    /// Most pairs of organisation and kind that keep a sketch of their own.
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

/// Sketches for the fleet, each kind, and each organisation's kind.
///
/// An observation counts at all three levels, and each level leans on the one above
/// while it is thin. Memory is bounded: past the bound the pair with the least weight
/// is dropped, and its kind still answers for it.
#[derive(Clone, Debug)]
pub struct Store {
    config: Config,
    fleet: Level,
    kinds: IndexMap<KindName, Level>,
    pairs: IndexMap<Pair, Level>,
    decayed_ms: u64,
}

/// An answer that is still running.
#[derive(Clone, Copy, Debug)]
pub struct Running<'a> {
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
    past: Sketch,
    running: Sketch,
    distribution: Distribution,
}

impl Store {
    /// Makes an empty store.
    pub fn new(config: Config) -> Self {
        Store {
            config,
            fleet: Level::new(Distribution::prior()),
            kinds: IndexMap::new(),
            pairs: IndexMap::new(),
            decayed_ms: 0,
        }
    }

    /// Counts an answer that ended by itself.
    pub fn observe_ended(
        &mut self,
        organisation: &OrganisationName,
        kind: &KindName,
        tokens: u32,
    ) {
        self.for_levels(organisation, kind, |level| level.past.observe_ended(tokens));
    }

    /// Counts an answer that was cut off.
    pub fn observe_censored(
        &mut self,
        organisation: &OrganisationName,
        kind: &KindName,
        tokens: u32,
    ) {
        self.for_levels(organisation, kind, |level| {
            level.past.observe_censored(tokens)
        });
    }

    /// Ages the counts and estimates every distribution anew.
    ///
    /// The answers that run now count as censored where they stand. Without them the
    /// answers that end first, which are the short ones, would rule the estimate
    /// whenever the lengths change.
    pub fn refresh<'a>(
        &mut self,
        now_ms: u64,
        running: impl Iterator<Item = Running<'a>>,
    ) {
        self.decay(now_ms);
        self.each_level(|level| level.running = Sketch::default());
        for answer in running {
            self.for_levels(answer.organisation, answer.kind, |level| {
                level.running.observe_censored(answer.tokens)
            });
        }
        self.estimate();
    }

    /// Returns the distribution for an organisation's kind, or the nearest level above.
    pub fn distribution(
        &self,
        organisation: &OrganisationName,
        kind: &KindName,
    ) -> &Distribution {
        // N.B. a tuple key can't be looked up by parts, and cloning names is cheap.
        let pair = (organisation.clone(), kind.clone());
        if let Some(level) = self.pairs.get(&pair) {
            return &level.distribution;
        }
        let level = self.kinds.get(kind).unwrap_or(&self.fleet);
        &level.distribution
    }

    /// Returns the number of sketches held, over all levels.
    pub fn len(&self) -> usize {
        1 + self.kinds.len() + self.pairs.len()
    }

    /// Says whether nothing was observed below the fleet's level.
    pub fn is_empty(&self) -> bool {
        self.kinds.is_empty()
    }

    fn for_levels(
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
            self.make_room();
        }
        let level = self
            .pairs
            .entry(pair)
            .or_insert_with(|| Level::new(inherited));
        observe(level);
    }

    fn make_room(&mut self) {
        if self.pairs.len() < self.config.sketches_max {
            return;
        }
        let weights = self.pairs.values().map(|level| level.past.weight());
        let least = weights.enumerate().min_by(|a, b| a.1.total_cmp(&b.1));
        if let Some((index, _)) = least {
            self.pairs.swap_remove_index(index);
        }
    }

    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.decayed_ms);
        let first = self.decayed_ms == 0;
        self.decayed_ms = now_ms.max(self.decayed_ms);
        if first || elapsed_ms == 0 {
            return;
        }
        let half_lives = elapsed_ms as f64 / self.config.half_life_ms as f64;
        let factor = (-half_lives).exp2() as f32;
        self.each_level(|level| level.past.scale(factor));
    }

    fn estimate(&mut self) {
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

    fn each_level(&mut self, mut change: impl FnMut(&mut Level)) {
        change(&mut self.fleet);
        self.kinds.values_mut().for_each(&mut change);
        self.pairs.values_mut().for_each(&mut change);
    }
}

impl Level {
    fn new(distribution: Distribution) -> Self {
        Level {
            past: Sketch::default(),
            running: Sketch::default(),
            distribution,
        }
    }

    fn estimate(&mut self, parent: &Distribution, parent_weight: f64) {
        let mut all = self.past.clone();
        all.merge(&self.running);
        self.distribution = Distribution::estimate(&all, parent, parent_weight);
    }
}
