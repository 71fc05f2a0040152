//! Steps of migrating one run away from a leaving target.
//!
//! The run continues while its memory, the KV cache, is copied. The copies of all runs
//! share the links, so a run is stopped only when an incremental copy was fast, or when
//! hardly any time is left. A run that stopped early would wait behind the first copies
//! of the others. See docs/design/platform.md, "Runs that outlive their target".

/// Maximum duration of a copy over an idle link. The final copy, during which the caller
/// waits, then takes about as long.
const IDLE_COPY_MS: u64 = 60;

/// Time before the target leaves at which a run is stopped even if the link is busy.
const STOP_RESERVE_MS: u64 = 380;

/// Pause before a call is repeated that conflicted with another one in progress.
const BUSY_RETRY_PAUSE_MS: u64 = 25;

/// Time that is assumed to be left when a target doesn't report when it leaves.
pub const NOTICE_DEFAULT_MS: u64 = 1_500;

/// Number of destinations that are tried in succession before a pause. If so many have no
/// room, most runs that are migrating at this moment compete for the same destinations.
const DESTINATIONS_PER_ROUND: u32 = 3;

/// Pause before a run that has no destination, or that is not in its engine's memory at
/// the moment, is tried again. Streams end and free memory in less time.
const RETRY_PAUSE_MS: u64 = 100;

/// Minimum time left for a migration to begin: a copy over an idle link, and the stop.
const MIGRATION_MIN_MS: u64 = 150;

/// The migration of one run to another target.
#[derive(Clone, Debug)]
pub struct Migration {
    leaves_at_ms: u64,
    copies: u32,
    refusals: u32,
    is_source_stopping: bool,
}

/// An input of the migration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The target reported when it leaves.
    LeavesAt(u64),
    /// A copy is complete.
    Copied {
        /// Duration of the copy.
        took_ms: u64,
    },
    /// The target's memory doesn't hold the run, which has ended or was preempted.
    NoRun,
    /// No destination has room.
    NoDestination,
    /// Another copy of the run is still in progress.
    Busy,
    /// The destination has no room or can't be reached.
    Refused {
        /// Whether the source has stopped the run and keeps its memory.
        is_kept: bool,
    },
    /// The destination has no room. The source has stopped the run and keeps its memory, but the
    /// run may not be resumed there.
    RefusedWithoutReturn,
    /// The call received no answer.
    Failed,
}

/// The next action of the migration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Copy what is new, after a pause.
    Copy {
        /// Whether the run stops first.
        is_last: bool,
        /// The pause.
        after_ms: u64,
    },
    /// Choose another destination after a pause, then copy the complete KV cache there.
    ChooseAnother {
        /// The pause.
        after_ms: u64,
    },
    /// Resume the run at the destination.
    ResumeAtDestination,
    /// Resume the run at the source, which has stopped it and kept its memory.
    ResumeAtSource,
    /// Abandon the migration and leave the run where it is.
    Stay,
    /// Abandon the migration. The run has stopped and can't be resumed.
    GiveUp,
    /// Nothing new to do.
    Wait,
}

impl Migration {
    /// Creates the migration of a run. Its first step is a copy.
    pub fn new(now_ms: u64, leaves_at_ms: Option<u64>) -> Self {
        Migration {
            leaves_at_ms: leaves_at_ms.unwrap_or(now_ms + NOTICE_DEFAULT_MS),
            copies: 0,
            refusals: 0,
            is_source_stopping: false,
        }
    }

    /// Returns the first step towards a destination.
    pub fn first_step(&self) -> Step {
        Step::Copy {
            is_last: self.is_source_stopping,
            after_ms: 0,
        }
    }

    /// Returns true if the source was requested to stop the run.
    pub fn is_source_stopping(&self) -> bool {
        self.is_source_stopping
    }

    /// Applies an event and returns the next step.
    pub fn apply(&mut self, now_ms: u64, event: Event) -> Step {
        match event {
            Event::LeavesAt(at_ms) => {
                self.leaves_at_ms = at_ms;
                Step::Wait
            }
            Event::Copied { .. } if self.is_source_stopping => Step::ResumeAtDestination,
            Event::Copied { took_ms } => {
                self.copies += 1;
                let is_link_idle = self.copies > 1 && took_ms <= IDLE_COPY_MS;
                let must_stop = now_ms + STOP_RESERVE_MS >= self.leaves_at_ms;
                self.is_source_stopping = is_link_idle || must_stop;
                Step::Copy {
                    is_last: self.is_source_stopping,
                    after_ms: 0,
                }
            }
            Event::NoRun if self.is_source_stopping || !self.has_time(now_ms) => {
                Step::Stay
            }
            Event::NoRun => Step::Copy {
                is_last: false,
                after_ms: RETRY_PAUSE_MS,
            },
            Event::Busy => Step::Copy {
                is_last: self.is_source_stopping,
                after_ms: BUSY_RETRY_PAUSE_MS,
            },
            Event::Refused { is_kept: true } => {
                self.is_source_stopping = false;
                Step::ResumeAtSource
            }
            Event::RefusedWithoutReturn => {
                self.refusals += 1;
                let is_round_over = self.refusals.is_multiple_of(DESTINATIONS_PER_ROUND);
                let after_ms = if is_round_over { RETRY_PAUSE_MS } else { 0 };
                if self.has_time(now_ms + after_ms) {
                    Step::ChooseAnother { after_ms }
                } else {
                    Step::GiveUp
                }
            }
            Event::Refused { is_kept: false } | Event::Failed => {
                self.refusals += 1;
                let is_round_over = self.refusals.is_multiple_of(DESTINATIONS_PER_ROUND);
                self.choose_another(
                    now_ms,
                    if is_round_over { RETRY_PAUSE_MS } else { 0 },
                )
            }
            Event::NoDestination => self.choose_another(now_ms, RETRY_PAUSE_MS),
        }
    }

    /// Returns the step to another destination as long as a migration can end before the
    /// target leaves, since a run that stays is interrupted.
    fn choose_another(&mut self, now_ms: u64, after_ms: u64) -> Step {
        if self.is_source_stopping {
            return Step::GiveUp;
        }
        if !self.has_time(now_ms + after_ms) {
            return Step::Stay;
        }
        self.copies = 0;
        Step::ChooseAnother { after_ms }
    }

    fn has_time(&self, now_ms: u64) -> bool {
        now_ms + MIGRATION_MIN_MS < self.leaves_at_ms
    }
}
