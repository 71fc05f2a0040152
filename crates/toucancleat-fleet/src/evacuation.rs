//! Moving one run away from a target that leaves.
//!
//! The run goes on while its memory is copied. Copies of all runs share the links, so a run
//! is stopped only when a copy of what is new has been fast, or when there is hardly time
//! left: a run that stopped early would wait behind the first copies of the others. See
//! docs/design/platform.md, "Runs that outlive their target".

/// A copy that takes no longer than this found the link idle; the last one, which makes
/// the caller wait, will then take about as long.
const IDLE_COPY_MS: u64 = 60;

/// Time before the target leaves at which a run is stopped whatever the link does.
const STOP_RESERVE_MS: u64 = 380;

/// Pause before a call is repeated that met another one still under way.
const BUSY_RETRY_PAUSE_MS: u64 = 25;

/// Notice that targets give where they don't say when they leave.
pub const NOTICE_DEFAULT_MS: u64 = 1_500;

/// Destinations that are asked one after another before a pause. Where so many have no room,
/// most runs that move at this moment are looking for the same places.
const DESTINATIONS_PER_ROUND: u32 = 3;

/// Pause before a run without a destination, or one that isn't in its engine's memory right
/// now, is tried again; streams end and free memory in less.
const RETRY_PAUSE_MS: u64 = 100;

/// Least time left for which a move is begun: a copy over an idle link, and the stop.
const MIGRATION_MIN_MS: u64 = 150;

/// One run on its way to another target.
#[derive(Clone, Debug)]
pub struct Evacuation {
    leaves_at_ms: u64,
    copies: u32,
    refusals: u32,
    is_stopping: bool,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The target said when it leaves.
    LeavesAt(u64),
    /// A copy is complete.
    Copied {
        /// How long it took.
        took_ms: u64,
    },
    /// The target has no such run in its memory: it has ended, or was preempted.
    NoRun,
    /// No destination has room.
    NoDestination,
    /// Another copy of the run is still under way.
    Busy,
    /// The destination has no room or can't be reached.
    Refused {
        /// Whether the source has stopped the run and keeps its memory.
        is_kept: bool,
    },
    /// No answer to the call.
    Failed,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Copy what is new, after a pause.
    Copy {
        /// Whether the run stops first.
        is_last: bool,
        /// The pause.
        after_ms: u64,
    },
    /// Choose another destination after a pause, then start over.
    ChooseAnother {
        /// The pause.
        after_ms: u64,
    },
    /// Go on at the destination.
    ResumeAtDestination,
    /// Go on at the source, which has stopped the run and kept its memory.
    ResumeAtSource,
    /// Leave the run where it is.
    Stay,
    /// The run has stopped and can't go on.
    GiveUp,
    /// Nothing new to do.
    Wait,
}

impl Evacuation {
    /// Begins to move a run; its first step is a copy.
    pub fn new(now_ms: u64, leaves_at_ms: Option<u64>) -> Self {
        Evacuation {
            leaves_at_ms: leaves_at_ms.unwrap_or(now_ms + NOTICE_DEFAULT_MS),
            copies: 0,
            refusals: 0,
            is_stopping: false,
        }
    }

    /// Returns the first step.
    pub fn first(&self) -> Step {
        Step::Copy {
            is_last: false,
            after_ms: 0,
        }
    }

    /// Says whether the run has been told to stop at its source.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping
    }

    /// Takes an event and says what to do.
    pub fn step(&mut self, now_ms: u64, event: Event) -> Step {
        match event {
            Event::LeavesAt(at_ms) => {
                self.leaves_at_ms = at_ms;
                Step::Wait
            }
            Event::Copied { .. } if self.is_stopping => Step::ResumeAtDestination,
            Event::Copied { took_ms } => {
                self.copies += 1;
                let is_link_idle = self.copies > 1 && took_ms <= IDLE_COPY_MS;
                let must_stop = now_ms + STOP_RESERVE_MS >= self.leaves_at_ms;
                self.is_stopping = is_link_idle || must_stop;
                Step::Copy {
                    is_last: self.is_stopping,
                    after_ms: 0,
                }
            }
            Event::NoRun if self.is_stopping || !self.has_time(now_ms) => Step::Stay,
            Event::NoRun => Step::Copy {
                is_last: false,
                after_ms: RETRY_PAUSE_MS,
            },
            Event::Busy => Step::Copy {
                is_last: self.is_stopping,
                after_ms: BUSY_RETRY_PAUSE_MS,
            },
            Event::Refused { is_kept: true } => {
                self.is_stopping = false;
                Step::ResumeAtSource
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

    /// Looks for another place as long as a move can end before the target leaves: a run
    /// that stays is lost.
    fn choose_another(&mut self, now_ms: u64, after_ms: u64) -> Step {
        if self.is_stopping {
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
