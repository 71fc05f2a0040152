//! Events that a host handles and the effects that its reducer returns.

use std::net::SocketAddr;
use std::sync::Arc;

use toucancleat_core::prelude::*;

use crate::budget::RetryDecision;
use crate::configuration::Configuration;
use crate::contention::RoomCause;
use crate::evacuation::EvacuationRows;
use crate::peers::{Message, Recipient};
use crate::poison_parts::PartScope;
use crate::prompt_part::PartId;
use crate::request::{
    AttemptOutcome, Dispatch, Handoff, HandoffOutcome, IncomingRequest,
    MigrationObstacle, Refusal, RequestNumber,
};
use crate::store::{Query, Reply};
use crate::stream_origin::{OriginMessage, OriginSource};
use crate::target::SoftwareVersion;
use crate::target_notice::TargetNotice;
use crate::target_watch::TargetReport;

/// An event of an entry host.
#[derive(Debug)]
#[non_exhaustive]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A query to the store ended, with or without a usable reply.
    StoreReplied {
        /// The query.
        query: Query,
        /// How often the store has returned to a copy, if its answer says so.
        era: Option<u64>,
        /// What the reply says about evacuated zones, which are in the operators' table beside
        /// the configuration.
        evacuations: Option<EvacuationRows>,
        /// Its reply.
        reply: Reply,
    },
    /// A peer's message was received.
    MessageReceived(Box<Message>),
    /// A peer's message about the origin of a stream was received.
    OriginMessageReceived {
        /// The peer's address.
        from: SocketAddr,
        /// The message.
        message: OriginMessage,
    },
    /// A leaving target reported when it exits.
    LeaveTimeReceived {
        /// The target.
        target: TargetName,
        /// When the target exits, by this host's clock.
        leaves_at_ms: u64,
    },
    /// The head of a target's answer was received.
    NoticeReceived {
        /// The target.
        target: TargetName,
        /// What the answer reports about the target.
        notice: TargetNotice,
    },
    /// A request was received in full.
    RequestReceived {
        /// Identifies the request.
        request_number: RequestNumber,
        /// The request.
        request: IncomingRequest,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request_number: RequestNumber,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// The run of a stream was interrupted, and there is a copy from which it can resume.
    RunInterrupted {
        /// The request.
        request_number: RequestNumber,
    },
    /// A stream has delivered events.
    StreamProgressed {
        /// The request.
        request_number: RequestNumber,
        /// Events delivered so far, over all targets.
        events: u64,
    },
    /// A migrating run has no destination, or the one that was chosen can't take it.
    DestinationNeeded {
        /// The request.
        request_number: RequestNumber,
        /// Whether destinations that refused the run may be tried again.
        can_retry_refused: bool,
    },
    /// An engine was asked for its report.
    TargetReported {
        /// The engine.
        target: TargetName,
        /// Its report, or `None` if it gave none.
        report: Option<TargetReport>,
    },
    /// A run has resumed at its destination.
    Migrated {
        /// The request.
        request_number: RequestNumber,
    },
    /// A migration was abandoned; the run remains at its source.
    MigrationAbandoned {
        /// The request.
        request_number: RequestNumber,
        /// Whether the source had stopped the run, so that the request was sent there again.
        has_returned: bool,
    },
    /// A request has to be sent once more to a target that didn't resume its run.
    RetryNeeded {
        /// The request.
        request_number: RequestNumber,
    },
    /// The handoff of a request to a peer ended.
    HandoffEnded {
        /// The request.
        request_number: RequestNumber,
        /// How it ended.
        outcome: HandoffOutcome,
    },
    /// A probe of the path to a pool ended.
    TargetProbed {
        /// The pool.
        pool: PoolName,
        /// The target.
        target: TargetName,
        /// When the probe began.
        began_ms: u64,
        /// Whether a connection to the target was opened.
        is_reachable: bool,
    },
    /// The caller has received the complete answer or has disconnected.
    RequestClosed {
        /// The request.
        request_number: RequestNumber,
    },
    /// A planned stop of the process was requested.
    StopRequested,
    /// The time of a planned stop is over while requests are open.
    StopDeadlineReached,
    /// The planned stop is complete. The process exits once its peers have been told.
    Exiting,
}

/// An effect that the daemon executes.
#[derive(Debug)]
#[non_exhaustive]
pub enum Effect {
    /// Query the store.
    QueryStore(Query),
    /// Send a message to each of these hosts.
    Send {
        /// The recipients' addresses, with the echo for each.
        recipients: Vec<Recipient>,
        /// The message.
        message: Box<Message>,
    },
    /// Send a message about the origin of a stream to each of these hosts.
    SendOrigin {
        /// The recipients' addresses.
        recipients: Vec<SocketAddr>,
        /// The message.
        message: OriginMessage,
    },
    /// Send a request to a target.
    Dispatch(Box<Dispatch>),
    /// Forward the last answer of a target to the caller.
    ForwardAnswer {
        /// The request.
        request_number: RequestNumber,
    },
    /// End the request without a target's answer.
    Refuse {
        /// The request.
        request_number: RequestNumber,
        /// The refusal to answer the caller with.
        refusal: Refusal,
    },
    /// Migrate a run to another target.
    Migrate {
        /// The request.
        request_number: RequestNumber,
        /// The destination.
        destination: TargetName,
        /// The destination's address.
        address: SocketAddr,
        /// The version of the destination's software.
        target_version: Option<SoftwareVersion>,
    },
    /// Hand a request off to a peer.
    HandOff(Handoff),
    /// Open a connection to a target and close it, to learn whether there is a path.
    ProbeTarget {
        /// The pool.
        pool: PoolName,
        /// The target.
        target: TargetName,
        /// The target's address.
        address: SocketAddr,
    },
    /// Resume an interrupted run from its copy.
    ResumeFromCopy {
        /// The request.
        request_number: RequestNumber,
    },
    /// Choose another destination for a migrating run, unless its source is being stopped.
    LeaveDestination {
        /// The request.
        request_number: RequestNumber,
    },
    /// The run of a request has ended with its target, which has started again. Its attempt counts
    /// as interrupted.
    AbandonRun {
        /// The request.
        request_number: RequestNumber,
    },
    /// A request may be sent once more.
    GrantRetry {
        /// The request.
        request_number: RequestNumber,
    },
    /// No target has room for a run that should migrate.
    NoDestination {
        /// The request.
        request_number: RequestNumber,
    },
    /// Query a leaving target for the time at which it exits.
    QueryLeaveTime {
        /// The target.
        target: TargetName,
        /// The target's address.
        address: SocketAddr,
    },
    /// Ask an engine for its report.
    QueryReport {
        /// The engine.
        target: TargetName,
        /// The engine's address.
        address: SocketAddr,
    },
    /// Apply a configuration that has come into force.
    ApplyConfiguration(Arc<Configuration>),
    /// Write a log record.
    Log(LogEvent),
}

/// A change of the host's known state that is logged.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum LogEvent {
    /// The newest configuration was rejected.
    ConfigurationRejected {
        /// The version that stays in force.
        kept_version: Option<u64>,
        /// What is wrong with the rejected one.
        problem: String,
    },
    /// A peer knows a newer configuration than the one that this host has confirmed without its peers.
    ConfigurationDistrusted {
        /// The version in force here.
        known_version: Option<u64>,
        /// The version that the peer knows.
        newest_version: Option<u64>,
    },
    /// The host list was read for the first time.
    TargetsListed {
        /// Number of targets.
        targets: usize,
        /// Version of the host list.
        store_version: u64,
    },
    /// A target is new or has restarted.
    TargetJoined {
        /// The target.
        target: TargetName,
        /// Version of the host list.
        store_version: u64,
        /// Remaining duration of its slow start.
        slow_start_left_ms: u64,
        /// Version of its software.
        target_version: Option<SoftwareVersion>,
    },
    /// A target is leaving and takes no new work.
    TargetLeaving {
        /// The target.
        target: TargetName,
        /// Version of the host list.
        store_version: u64,
        /// This host's runs at the target.
        runs: u32,
    },
    /// A target has started again under its name.
    TargetRestarted {
        /// The target.
        target: TargetName,
        /// Version of the host list.
        store_version: u64,
        /// This host's runs at the target.
        runs: u32,
    },
    /// A target has reported in an answer that it is leaving.
    TargetReportedLeaving {
        /// The target.
        target: TargetName,
        /// This host's runs at the target.
        runs: u32,
    },
    /// This host begins or ends to ask engines whether they are leaving.
    TargetWatchChanged {
        /// Whether nobody reads the host list, so that engines are asked.
        is_watching: bool,
    },
    /// A target is suspected to be leaving.
    TargetSuspected {
        /// The target.
        target: TargetName,
        /// Whether this host has asked it, and not a peer.
        is_own: bool,
        /// This host's runs at the target.
        runs: u32,
    },
    /// The time of a suspicion has passed.
    SuspicionEnded {
        /// The target.
        target: TargetName,
        /// Whether the target has said meanwhile that it is leaving.
        is_confirmed: bool,
    },
    /// A target wants no requests from this host for a time.
    TargetPaused {
        /// The target.
        target: TargetName,
        /// The time.
        pause_ms: u64,
    },
    /// A target has begun, changed or ended a limit on the rate of requests.
    RateLimitChanged {
        /// The target.
        target: TargetName,
        /// The limit, in requests per second from all hosts together.
        limit_per_s: Option<f64>,
        /// The limit before.
        limit_before_per_s: Option<f64>,
    },
    /// A target is cold, and takes only so many requests.
    TargetCold {
        /// The target.
        target: TargetName,
        /// Remaining time for which it is cold.
        left_ms: u64,
    },
    /// The targets of a pool have become brittle, or no longer are.
    BrittlenessChanged {
        /// The pool.
        pool: PoolName,
        /// Requests that each may turn away in a second without falling over.
        rejections_max_per_s: Option<f64>,
    },
    /// Operators have evacuated an availability zone.
    ZoneEvacuated {
        /// The zone.
        zone: ZoneName,
        /// The store's version of that.
        store_version: u64,
        /// This host's runs at the targets of the zone.
        runs: u32,
    },
    /// Operators have taken an evacuated availability zone back.
    ZoneTakenBack {
        /// The zone.
        zone: ZoneName,
        /// The store's version of that.
        store_version: u64,
    },
    /// A request was to be sent to another target, which takes a retry of the budget.
    RetryDecided {
        /// The id of the caller's attempt.
        attempt_id: Arc<str>,
        /// The pool.
        pool: PoolName,
        /// Whether the retry was taken, and what decided it.
        decision: RetryDecision,
    },
    /// A peer has told what this host used of the retry budget before its process started.
    RetriesInherited {
        /// The peer.
        from: HostName,
        /// Whether the process before had announced its exit.
        is_final: bool,
        /// Its retries, over all pools.
        retries: u32,
    },
    /// A run that should migrate has no destination.
    MigrationObstructed {
        /// The id of the caller's attempt.
        attempt_id: Arc<str>,
        /// The cause.
        cause: MigrationObstacle,
    },
    /// The host starts or stops reading the store on behalf of the others.
    ReaderRoleChanged {
        /// Whether it reads now.
        is_reader: bool,
        /// Number of live peers.
        live_peers: usize,
    },
    /// The run of a request with shared parts of a prompt was interrupted.
    RunInterrupted {
        /// The id of the caller's attempt.
        attempt_id: Arc<str>,
        /// The target that ran it.
        target: TargetName,
        /// Time since the target's first event, or `None` if there was none.
        answered_ms: Option<u64>,
        /// The shared parts of its prompt.
        shared_parts: Vec<PartId>,
    },
    /// The path to the targets of a pool was lost or is back.
    PathChanged {
        /// The pool.
        pool: PoolName,
        /// Whether the path is lost.
        is_lost: bool,
    },
    /// Requests with a part of a prompt, or repeats of a request, are refused from now on: targets
    /// crash under it.
    PartRefused {
        /// Whether it is a part of a prompt or a whole request.
        scope: PartScope,
        /// The part.
        part: PartId,
        /// Number of crashed targets that this host knows of.
        crashed_targets: usize,
    },
    /// A target crashed again under a refused part.
    PartConfirmed {
        /// Whether it is a part of a prompt or a whole request.
        scope: PartScope,
        /// The part.
        part: PartId,
        /// Time to the next trial.
        pause_ms: u64,
    },
    /// A request with refused parts is sent, to learn whether they still crash targets.
    PartTrialBegan {
        /// The id of the caller's attempt.
        attempt_id: Arc<str>,
        /// The shared parts of its prompt.
        shared_parts: Vec<PartId>,
        /// Its whole content.
        content: PartId,
    },
    /// A request with a refused part was answered, so requests with it are accepted again.
    PartAccepted {
        /// Whether it is a part of a prompt or a whole request.
        scope: PartScope,
        /// The part.
        part: PartId,
    },
    /// A stream that its caller takes up again continues at the version that began it.
    StreamResumed {
        /// The id of the caller's attempt.
        attempt_id: Arc<str>,
        /// The version.
        version: SoftwareVersion,
        /// How it is known.
        source: OriginSource,
    },
    /// A request was refused since there was no room for it.
    RoomRefused {
        /// The id of the caller's attempt.
        attempt_id: Arc<str>,
        /// The pool.
        pool: PoolName,
        /// The organisation.
        organisation: Option<OrganisationName>,
        /// In whose favour it was refused.
        cause: RoomCause,
        /// Its place in the order; the lowest gets room first.
        rank: u8,
        /// How long it has waited.
        waited_ms: u64,
        /// Tokens of the requests that come before it.
        ahead_tokens: u64,
        /// Tokens that are free for requests like it.
        free_tokens: u64,
    },
    /// The store has returned to a copy.
    StoreEraChanged {
        /// The era.
        era: u64,
        /// The era before.
        era_before: u64,
    },
    /// The store stopped answering or answers again.
    StoreAvailabilityChanged {
        /// Whether it answers.
        is_available: bool,
        /// The query that showed it.
        query: Query,
    },
}
