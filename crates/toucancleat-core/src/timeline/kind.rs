//! The kinds of timeline records.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

macro_rules! record_kinds {
    ($($(#[$doc:meta])* $name:ident = $text:literal,)*) => {
        /// The kind of event that a record describes.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[non_exhaustive]
        pub enum RecordKind {
            $($(#[$doc])* $name,)*
            /// A kind that is known only to a newer version of this program.
            Other,
        }

        impl RecordKind {
            /// Every kind except [`RecordKind::Other`].
            pub const ALL: &'static [RecordKind] = &[$(RecordKind::$name),*];

            /// Returns the name used in JSON and on the command line.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(RecordKind::$name => $text,)*
                    RecordKind::Other => "other",
                }
            }
        }
    };
}

record_kinds! {
    /// An entry host accepted a caller's request.
    RequestReceived = "request_received",
    /// A home, or the host itself, reserved a target for a request.
    RequestAdmitted = "request_admitted",
    /// A request was queued at a home.
    RequestQueued = "request_queued",
    /// A request was refused.
    RequestRefused = "request_refused",
    /// A request was sent to a target.
    RequestDispatched = "request_dispatched",
    /// The first token or byte of an answer was sent to the caller.
    FirstToken = "first_token",
    /// The stream of a generation was resumed at the target.
    StreamResumed = "stream_resumed",
    /// A stream made no progress for longer than permitted.
    StreamStalled = "stream_stalled",
    /// The engine preempted a generation.
    GenerationPreempted = "generation_preempted",
    /// A generation was cancelled at the target.
    GenerationCancelled = "generation_cancelled",
    /// An attempt at a target failed.
    AttemptFailed = "attempt_failed",
    /// Another attempt was made.
    RequestRetried = "request_retried",
    /// The whole answer was delivered to the caller.
    RequestFinished = "request_finished",
    /// An answer ended before it was complete.
    RequestFailed = "request_failed",
    /// The caller disconnected.
    CallerGone = "caller_gone",
    /// A claim of an idempotency key was committed.
    ClaimMade = "claim_made",
    /// A claim of an idempotency key was refused.
    ClaimRefused = "claim_refused",
    /// A request was answered with the stored answer of an earlier one with the same
    /// idempotency key.
    AnswerReplayed = "answer_replayed",
    /// A claim was released, since its request did not run.
    ClaimReleased = "claim_released",
    /// The result of a claimed request was stored.
    ClaimFinished = "claim_finished",
    /// A target became available for new work.
    TargetUp = "target_up",
    /// A target is leaving and receives no new work.
    TargetLeaving = "target_leaving",
    /// A target became unavailable, since it failed or stalled.
    TargetDown = "target_down",
    /// A request was isolated, since it may have crashed a target.
    RequestIsolated = "request_isolated",
    /// An entry host joined.
    HostJoined = "host_joined",
    /// An entry host was suspected to be dead.
    HostSuspected = "host_suspected",
    /// An entry host was declared dead.
    HostDead = "host_dead",
    /// An entry host announced a planned stop.
    HostLeaving = "host_leaving",
    /// A home moved to another entry host.
    HomeMoved = "home_moved",
    /// Another availability zone became unreachable.
    ZoneCut = "zone_cut",
    /// Another availability zone became reachable.
    ZoneBack = "zone_back",
    /// A revision of the settings took effect at the host.
    SettingsApplied = "settings_applied",
    /// A committed change of the settings could not be applied to the tree on which it
    /// is based.
    SettingsUnreadable = "settings_unreadable",
    /// The platform became unreachable.
    PlatformAway = "platform_away",
    /// The platform became reachable again.
    PlatformBack = "platform_back",
    /// A lease was acquired or renewed.
    LeaseHeld = "lease_held",
    /// A lease was lost.
    LeaseLost = "lease_lost",
    /// An order was sent to a target.
    OrderSent = "order_sent",
    /// An order was executed or refused.
    OrderEnded = "order_ended",
    /// The host started.
    HostStarted = "host_started",
    /// The host stopped accepting new work before a planned stop.
    HostDraining = "host_draining",
}

impl RecordKind {
    /// Returns the kind with a name from [`RecordKind::as_str`], or `None` if there is
    /// none.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|kind| kind.as_str() == text)
    }
}

impl fmt::Display for RecordKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl Serialize for RecordKind {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.as_str())
    }
}

impl<'de> Deserialize<'de> for RecordKind {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Ok(RecordKind::parse(&text).unwrap_or(RecordKind::Other))
    }
}
