//! What a record says has happened.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

macro_rules! record_kinds {
    ($($(#[$doc:meta])* $name:ident = $text:literal,)*) => {
        /// What a record says has happened.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[non_exhaustive]
        pub enum RecordKind {
            $($(#[$doc])* $name,)*
            /// Something that only a newer version of this program knows.
            Other,
        }

        impl RecordKind {
            /// Every kind but [`RecordKind::Other`].
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
    /// A home or the host itself reserved a target for a request.
    RequestAdmitted = "request_admitted",
    /// A request waits in the queue of a home.
    RequestQueued = "request_queued",
    /// A request was refused.
    RequestRefused = "request_refused",
    /// A request was sent to a target.
    RequestDispatched = "request_dispatched",
    /// The first token or byte of an answer left for the caller.
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
    /// The whole answer has reached the caller.
    RequestFinished = "request_finished",
    /// An answer ended before it was whole.
    RequestFailed = "request_failed",
    /// The caller has gone.
    CallerGone = "caller_gone",
    /// A claim of an idempotency key was committed.
    ClaimMade = "claim_made",
    /// A claim of an idempotency key failed.
    ClaimRefused = "claim_refused",
    /// A request got the answer of an earlier one with its idempotency key.
    AnswerReplayed = "answer_replayed",
    /// A claim was released, as its request did not run.
    ClaimReleased = "claim_released",
    /// The result of a claimed request was stored.
    ClaimFinished = "claim_finished",
    /// A target takes work.
    TargetUp = "target_up",
    /// A target is leaving and gets no new work.
    TargetLeaving = "target_leaving",
    /// A target is taken out, as it failed or stalled.
    TargetDown = "target_down",
    /// A request is isolated, as it may have crashed a target.
    RequestIsolated = "request_isolated",
    /// An entry host has joined.
    HostJoined = "host_joined",
    /// An entry host is suspected to be dead.
    HostSuspected = "host_suspected",
    /// An entry host is taken to be dead.
    HostDead = "host_dead",
    /// An entry host is leaving.
    HostLeaving = "host_leaving",
    /// A home has moved to another entry host.
    HomeMoved = "home_moved",
    /// Another availability zone can't be reached.
    ZoneCut = "zone_cut",
    /// Another availability zone can be reached again.
    ZoneBack = "zone_back",
    /// A revision of the settings is in force at the host.
    SettingsApplied = "settings_applied",
    /// A committed change doesn't fit the tree that it was made on.
    SettingsUnreadable = "settings_unreadable",
    /// The platform can't be reached.
    PlatformAway = "platform_away",
    /// The platform can be reached again.
    PlatformBack = "platform_back",
    /// A lease was taken or renewed.
    LeaseHeld = "lease_held",
    /// A lease was lost.
    LeaseLost = "lease_lost",
    /// An order was sent to a target.
    OrderSent = "order_sent",
    /// An order was carried out or refused.
    OrderEnded = "order_ended",
    /// The host started.
    HostStarted = "host_started",
    /// The host takes no new work, as it is to stop.
    HostDraining = "host_draining",
}

impl RecordKind {
    /// Finds a kind by its name.
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
