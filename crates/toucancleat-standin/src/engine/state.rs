//! State of an engine, behind one lock.

use std::sync::Arc;

use indexmap::IndexMap;

use super::config::EngineConfig;
use super::faults::EngineFaults;
use super::generation::Generation;
use super::incoming_request::IncomingRequest;
use super::model::{EngineModel, SequenceId, SequenceRequest, Step};
use super::orders::OrderState;
use super::records::{EngineRecords, GenerationState};
use super::reports::{CacheEvents, Delayed, LoadReport};
use crate::clock::now_unix_ms;

/// State of an engine.
#[derive(Debug)]
pub(super) struct State {
    pub(super) faults: EngineFaults,
    pub(super) orders: OrderState,
    pub(super) loads: Delayed<LoadReport>,
    pub(super) cache_events: CacheEvents,
    records: EngineRecords,
    model: EngineModel,
    started_unix_ms: u64,
    blocks_total: u32,
    block_tokens: u32,
    generations: IndexMap<String, Arc<Generation>>,
    active: IndexMap<SequenceId, Arc<Generation>>,
}

/// Reason for which a generation is not started.
#[derive(Clone, Copy, Debug)]
pub(super) enum Refusal {
    /// A fault is set or the queue is full.
    NotRun,
    /// A generation with the same id exists.
    Duplicate,
    /// Its context could never fit into the KV cache.
    TooLong,
}

impl State {
    /// Creates the state of an idle engine.
    pub(super) fn new(config: &EngineConfig) -> State {
        let models = config.models.iter();
        let mut state = State {
            faults: EngineFaults::default(),
            orders: OrderState {
                models: models.map(|name| (name.clone(), String::new())).collect(),
                adapters: IndexMap::new(),
                role: config.role.clone(),
                fencing_number: 0,
            },
            loads: Delayed::new(config.real_duration(config.load_lag_ms)),
            cache_events: CacheEvents::new(
                config.real_duration(config.cache_event_lag_ms),
                config.cache_event_loss_per_1000,
            ),
            records: EngineRecords::default(),
            model: EngineModel::new(config.model.clone()),
            started_unix_ms: now_unix_ms(),
            blocks_total: config.model.blocks_total,
            block_tokens: config.model.block_tokens,
            generations: IndexMap::new(),
            active: IndexMap::new(),
        };
        state.report_load();
        state
    }

    /// Queues a generation, or returns the reason for which it is refused.
    pub(super) fn accept(
        &mut self,
        incoming: &IncomingRequest,
        max_waiting: Option<u32>,
    ) -> Result<Arc<Generation>, Refusal> {
        let waiting = self.model.load().waiting;
        if self.faults.reject || max_waiting.is_some_and(|limit| waiting >= limit) {
            self.records.refused += 1;
            return Err(Refusal::NotRun);
        }
        if self.generations.contains_key(&incoming.generation_id) {
            self.records.duplicate_generations += 1;
            return Err(Refusal::Duplicate);
        }
        let request = SequenceRequest {
            priority: incoming.priority,
            prompt_blocks: incoming.prompt_blocks(self.block_tokens),
            prompt_tokens: incoming.prompt_tokens(),
            output_tokens: incoming.length.tokens,
        };
        let sequence_id = self.model.add(request).ok_or(Refusal::TooLong)?;
        let marker = self.faults.crash_marker.as_deref();
        let generation = Arc::new(Generation::new(
            incoming,
            sequence_id,
            self.records.generations.len(),
            marker.is_some_and(|marker| incoming.prompt.contains(marker)),
        ));
        let record = incoming.record(self.records.leaving_unix_ms);
        self.records.generations.push(record);
        let id = generation.id.clone();
        self.generations.insert(id, Arc::clone(&generation));
        self.active.insert(sequence_id, Arc::clone(&generation));
        Ok(generation)
    }

    /// Returns the generation with an id.
    pub(super) fn generation(&self, id: &str) -> Option<Arc<Generation>> {
        self.generations.get(id).cloned()
    }

    /// Records that a stream of a generation was resumed.
    pub(super) fn record_resume(&mut self, generation: &Generation) {
        self.records.generations[generation.record_index].resumes += 1;
    }

    /// Ends a generation early and frees its KV cache blocks.
    pub(super) fn end(&mut self, generation: &Generation, state: GenerationState) {
        if generation.end(state) {
            self.model.cancel(generation.sequence_id);
            self.active.shift_remove(&generation.sequence_id);
        }
    }

    /// Returns true if a fault keeps the engine from computing steps.
    pub(super) fn is_frozen(&self) -> bool {
        let produced = self.active.values().map(|g| g.progress().produced_tokens);
        let max_produced = produced.max();
        let freeze_at_token = self.faults.freeze_at_token;
        self.faults.freeze_steps
            || freeze_at_token.is_some_and(|at| max_produced.is_some_and(|max| max >= at))
    }

    /// Computes the next step, if there is work. Its tokens become visible only with
    /// [`publish`](State::publish), after the duration of the step.
    pub(super) fn step(&mut self) -> Option<Step> {
        let step = self.model.step()?;
        for started in &step.started {
            if let Some(generation) = self.active.get(&started.id) {
                let record = &mut self.records.generations[generation.record_index];
                record.cached_tokens = started.cached_tokens;
            }
        }
        for preempted in &step.preempted {
            if let Some(generation) = self.active.get(preempted) {
                self.records.generations[generation.record_index].preemptions += 1;
            }
        }
        self.cache_events.extend(self.model.take_cache_changes());
        Some(step)
    }

    /// Returns true if a generation that crashes the engine starts in a step.
    pub(super) fn starts_crashing_generation(&self, step: &Step) -> bool {
        let started = step.started.iter().filter_map(|s| self.active.get(&s.id));
        started
            .into_iter()
            .any(|generation| generation.crashes_engine)
    }

    /// Publishes the tokens of a step to the streams.
    pub(super) fn publish(&mut self, step: &Step) {
        for id in &step.produced {
            // A generation that was ended during the step is no longer active.
            if let Some(generation) = self.active.get(id) {
                generation.advance();
            }
        }
        for id in &step.finished {
            self.active.shift_remove(id);
        }
    }

    /// Sets the time at which the engine began to leave, or clears it without the fault.
    pub(super) fn update_leaving_time(&mut self) {
        if !self.faults.leaving {
            self.records.leaving_unix_ms = None;
        } else if self.records.leaving_unix_ms.is_none() {
            self.records.leaving_unix_ms = Some(now_unix_ms());
        }
    }

    /// Returns the time until a leaving engine crashes, if it does.
    pub(super) fn leaving_in_ms(&self) -> Option<u64> {
        let leaving_unix_ms = self.records.leaving_unix_ms?;
        let dies_unix_ms = leaving_unix_ms + self.faults.dies_after_leaving_ms?;
        Some(dies_unix_ms.saturating_sub(now_unix_ms()))
    }

    /// Measures the load and queues a report of it.
    pub(super) fn report_load(&mut self) {
        let load = self.model.load();
        let reports_leaving = self.faults.leaving && !self.faults.hides_leaving;
        let report = LoadReport {
            started_unix_ms: self.started_unix_ms,
            measured_unix_ms: now_unix_ms(),
            running: load.running,
            waiting: load.waiting,
            blocks_used: load.blocks_used,
            blocks_total: self.blocks_total,
            block_tokens: self.block_tokens,
            preemptions_total: load.preemptions_total,
            step_ms: load.step_ms,
            state: if reports_leaving {
                "leaving"
            } else {
                "serving"
            },
            leaving_in_ms: self.leaving_in_ms().filter(|_| reports_leaving),
            role: self.orders.role.clone(),
            models: self.orders.models.keys().cloned().collect(),
            adapters: self.orders.adapters.keys().cloned().collect(),
        };
        self.loads.push(report);
    }

    /// Returns the records with the current progress of each generation.
    pub(super) fn records(&self) -> EngineRecords {
        let mut records = self.records.clone();
        for (record, generation) in records
            .generations
            .iter_mut()
            .zip(self.generations.values())
        {
            let progress = generation.progress();
            record.produced_tokens = progress.produced_tokens;
            record.state = progress.state;
        }
        records.preemptions_total = self.model.load().preemptions_total;
        records
    }

    /// Records an order.
    pub(super) fn record_order(&mut self, order: super::records::OrderRecord) {
        self.records.orders.push(order);
    }
}
