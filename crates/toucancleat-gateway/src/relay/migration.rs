//! Migrates the run of a stream away from a leaving target.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use toucancleat_fleet::migration::{Event as MigrationEvent, Migration, Step};
use toucancleat_fleet::prelude::*;
use toucancleat_platform::engine::{self, CopyReply};

use super::{NextAction, Relay, RelayEvent, read_upstream};
use crate::attempt::Resumption;
use crate::call::{CallError, ReplyLimits, call};
use crate::clock;
use crate::event_log::version_text;

/// Limits on the reply to the copy of a run's KV cache. Each of its timeouts is longer than the notice
/// that leaving targets give.
const COPY_REPLY_LIMITS: ReplyLimits = ReplyLimits {
    idle_timeout: Duration::from_millis(3_000),
    body_timeout: Duration::from_millis(3_000),
    body_max_bytes: 65_536,
    body_bytes_per_s: None,
};

/// Maximum wait for the end of a stream whose run has been stopped.
const SOURCE_DRAIN_TIMEOUT_MS: u64 = 60;

/// Maximum wait for a run to be resumed, at its destination or its source. A sound target may be
/// silent for a second or two.
const RESUME_TIMEOUT_MS: u64 = 3_000;

/// Delay before the one retry at a target that didn't resume a run.
const RESUME_RETRY_DELAY: Duration = Duration::from_millis(25);

/// The transfer of a run's KV cache from its source to one destination.
pub(super) struct Transfer {
    source: SocketAddr,
    destination: TargetName,
    destination_address: SocketAddr,
    destination_version: Option<SoftwareVersion>,
    /// The call for a copy that is in progress.
    pub(super) copy: Option<Pin<Box<dyn Future<Output = CopyResult>>>>,
    /// The source's handle of the KV cache, once there is a copy.
    handle: Option<String>,
    /// Whether the stream of the run was closed, and not reset, after a whole event while the run was
    /// being stopped. The run is complete if the engine no longer has it.
    pub(super) may_be_complete: bool,
}

/// The result of a call that copies a run's KV cache.
pub(super) struct CopyResult {
    took_ms: u64,
    result: Result<CopyReply, CallError>,
}

impl std::fmt::Debug for Transfer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Transfer")
            .field("destination", &self.destination)
            .finish_non_exhaustive()
    }
}

impl Relay {
    /// Starts the transfer of the run to a destination.
    pub(super) fn migrate(
        &mut self,
        destination: TargetName,
        address: SocketAddr,
        target_version: Option<SoftwareVersion>,
    ) {
        self.discard_transfer();
        let step = self.get_or_begin_migration().first_step();
        self.transfer = Some(Transfer {
            source: self.dispatch.address,
            destination,
            destination_address: address,
            destination_version: target_version,
            copy: None,
            handle: None,
            may_be_complete: false,
        });
        if let Step::Copy { is_last, after_ms } = step {
            self.start_copy(is_last, after_ms);
        }
    }

    /// Returns the migration in progress, or begins one.
    fn get_or_begin_migration(&mut self) -> &mut Migration {
        let leaves_at_ms = self.host.leaves_at_ms(&self.dispatch.target);
        self.migration
            .get_or_insert_with(|| Migration::new(clock::now_ms(), leaves_at_ms))
    }

    /// Applies an event to the migration and returns its next step.
    pub(super) fn advance_migration(&mut self, event: MigrationEvent) -> Step {
        let now_ms = clock::now_ms();
        let leaves_at_ms = self.host.leaves_at_ms(&self.dispatch.target);
        let migration = self.get_or_begin_migration();
        if let Some(at_ms) = leaves_at_ms {
            migration.apply(now_ms, MigrationEvent::LeavesAt(at_ms));
        }
        migration.apply(now_ms, event)
    }

    /// Requests another destination from the reducer.
    pub(super) fn request_destination(&mut self) {
        // After a pause, destinations that had no room before may be chosen again.
        let can_retry_refused = self.request_destination_at_ms.take().is_some();
        let request_number = self.open_request.request_number;
        self.host.apply(Event::DestinationNeeded {
            request_number,
            can_retry_refused,
        });
    }

    /// Starts a copy of the run's KV cache after a delay. The source stops the run before
    /// the last copy.
    fn start_copy(&mut self, is_last: bool, after_ms: u64) {
        let attempt_id = self.outbound.attempt_id.clone();
        let Some(transfer) = &mut self.transfer else {
            return;
        };
        let (source, destination) = (transfer.source, transfer.destination_address);
        transfer.copy = Some(Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(after_ms)).await;
            let began_ms = clock::now_ms();
            let request = engine::copy_request(&attempt_id, destination, is_last);
            let result = match call(source, request, COPY_REPLY_LIMITS).await {
                Ok(reply) => engine::decode_copy_reply(reply.status(), reply.body())
                    .map_err(|error| CallError::Body(Box::new(error))),
                Err(error) => Err(error),
            };
            CopyResult {
                took_ms: clock::now_ms().saturating_sub(began_ms),
                result,
            }
        }));
    }

    pub(super) async fn handle_copy_result(&mut self, copy: CopyResult) -> NextAction {
        let is_stopping = self.is_stopping_run();
        let Some(transfer) = &mut self.transfer else {
            return NextAction::Continue;
        };
        transfer.copy = None;
        let event = match &copy.result {
            Ok(CopyReply::Copied { handle }) => {
                transfer.handle = Some(handle.clone());
                MigrationEvent::Copied {
                    took_ms: copy.took_ms,
                }
            }
            Ok(CopyReply::NoRun) => MigrationEvent::NoRun,
            Ok(CopyReply::Busy) => MigrationEvent::Busy,
            Ok(CopyReply::Refused { handle }) => {
                let is_kept = is_stopping && handle.is_some();
                if is_kept && !self.host.permits_resumption(&self.dispatch.target) {
                    // Freeing the handle would discard what the source keeps.
                    transfer.handle = None;
                    MigrationEvent::RefusedWithoutReturn
                } else {
                    if is_kept {
                        transfer.handle.clone_from(handle);
                    }
                    MigrationEvent::Refused { is_kept }
                }
            }
            Err(_) => MigrationEvent::Failed,
        };
        let destination = transfer.destination.clone();
        let step = self.advance_migration(event);
        log::info!(
            request:% = self.outbound.attempt_id,
            target_name:% = self.dispatch.target,
            to:% = destination,
            took_ms = copy.took_ms,
            event:? = event,
            step:? = step;
            "copy of a run's KV cache ended"
        );
        self.execute_step(step).await
    }

    /// Executes a step of the migration.
    pub(super) async fn execute_step(&mut self, step: Step) -> NextAction {
        match step {
            Step::Copy { is_last, after_ms } => {
                self.start_copy(is_last, after_ms);
                NextAction::Continue
            }
            Step::ChooseAnother { after_ms: 0 } => {
                self.discard_transfer();
                self.request_destination();
                NextAction::Continue
            }
            Step::ChooseAnother { after_ms } => {
                self.discard_transfer();
                self.request_destination_at_ms = Some(clock::now_ms() + after_ms);
                NextAction::Continue
            }
            Step::ResumeAtDestination => self.resume(false).await,
            Step::ResumeAtSource => self.resume(true).await,
            Step::Stay => {
                log::warn!(
                    request:% = self.outbound.attempt_id,
                    target_name:% = self.dispatch.target;
                    "migration abandoned; the run stays at the leaving target"
                );
                self.host.metrics.count_migration("stayed");
                let transfer = self.transfer.as_ref();
                let may_be_complete =
                    transfer.is_some_and(|transfer| transfer.may_be_complete);
                self.abandon_migration();
                match (&self.upstream, may_be_complete) {
                    (Some(_), _) => NextAction::Continue,
                    // The engine has closed the stream and no longer has the run, so the run
                    // is complete.
                    (None, true) => self.finish(),
                    (None, false) => {
                        self.end_attempt(AttemptOutcome::Interrupted);
                        NextAction::Continue
                    }
                }
            }
            // The run can be resumed from what was copied before the source became
            // unreachable.
            Step::GiveUp if self.has_copy() => self.handle_interruption().await,
            Step::GiveUp => {
                self.abandon_migration();
                self.upstream = None;
                self.end_attempt(AttemptOutcome::Interrupted);
                NextAction::Continue
            }
            Step::Wait => NextAction::Continue,
        }
    }

    /// Resumes the run at the target that holds its KV cache: its source or its
    /// destination.
    pub(super) async fn resume(&mut self, is_at_source: bool) -> NextAction {
        if let NextAction::End(outcome) = self.drain_source().await {
            return NextAction::End(outcome);
        }
        let Some(transfer) = self.transfer.take() else {
            return NextAction::Continue;
        };
        self.migration = None;
        let stopped_ms = self.last_event_ms;
        let resumed_at = if is_at_source {
            &self.dispatch.target
        } else {
            &transfer.destination
        };
        let is_permitted = self.host.permits_resumption(resumed_at);
        if !is_at_source {
            self.dispatch.target = transfer.destination.clone();
            self.dispatch.address = transfer.destination_address;
            self.dispatch.inputs.target_version = transfer.destination_version;
        }
        let attempt_deadline_ms = clock::now_ms() + RESUME_TIMEOUT_MS;
        self.dispatch.attempt_deadline_ms =
            attempt_deadline_ms.min(self.dispatch.deadline_ms);
        let resumption = Resumption {
            last_event_id: self.stream.last_id(),
            kv_cache: transfer.handle.map(|handle| (transfer.source, handle)),
        };
        let request_number = self.open_request.request_number;
        let is_resumed = is_permitted && self.send_resumption(&resumption).await;
        let pause_ms = clock::now_ms().saturating_sub(stopped_ms);
        let outcome = match (is_resumed, is_at_source) {
            (true, false) => "moved",
            (true, true) => "back_at_source",
            (false, _) => "lost",
        };
        self.host.metrics.count_migration(outcome);
        self.host
            .metrics
            .migration_pause_s
            .observe(pause_ms as f64 / 1_000.0);
        log::info!(
            request:% = self.outbound.attempt_id,
            target_name:% = self.dispatch.target,
            target_version = version_text(self.dispatch.inputs.target_version.as_ref()),
            outcome,
            pause_ms;
            "run migration ended"
        );
        if is_at_source {
            self.host.apply(Event::MigrationAbandoned {
                request_number,
                has_returned: is_permitted,
            });
        } else {
            self.migrations += 1;
            // The end of the run at its source says nothing about its destination.
            self.open_request.run_end.reset();
            self.host.apply(Event::Migrated { request_number });
        }
        if !is_resumed {
            self.end_attempt(AttemptOutcome::Interrupted);
        }
        NextAction::Continue
    }

    /// Sends the request to the target that should resume its run, and once more if that doesn't.
    /// The migration has taken the retry for one arrival there.
    async fn send_resumption(&mut self, resumption: &Resumption) -> bool {
        let Err(outcome) = self.start_attempt(resumption).await else {
            return true;
        };
        let request_number = self.open_request.request_number;
        let has_arrived = outcome != AttemptOutcome::NotSent;
        if has_arrived && !self.host.take_retry(request_number) {
            return false;
        }
        tokio::time::sleep(RESUME_RETRY_DELAY).await;
        self.start_attempt(resumption).await.is_ok()
    }

    /// Forwards what the source sent before it stopped the run.
    async fn drain_source(&mut self) -> NextAction {
        let end_ms = clock::now_ms() + SOURCE_DRAIN_TIMEOUT_MS;
        while self.upstream.is_some() {
            let event = tokio::select! {
                event = read_upstream(&mut self.upstream) => event,
                () = clock::sleep_until(end_ms) => RelayEvent::UpstreamFailed,
            };
            match event {
                RelayEvent::Bytes(bytes) => {
                    if let NextAction::End(outcome) =
                        Box::pin(self.forward_bytes(&bytes)).await
                    {
                        return NextAction::End(outcome);
                    }
                }
                _ => self.upstream = None,
            }
        }
        NextAction::Continue
    }

    pub(super) fn has_copy(&self) -> bool {
        let transfer = self.transfer.as_ref();
        transfer.is_some_and(|transfer| transfer.handle.is_some())
    }

    /// Ends the migration, if there is one, and leaves the run at its source.
    pub(super) fn abandon_migration(&mut self) {
        self.request_destination_at_ms = None;
        if self.migration.take().is_some() {
            self.discard_transfer();
            let request_number = self.open_request.request_number;
            self.host.apply(Event::MigrationAbandoned {
                request_number,
                has_returned: false,
            });
        }
    }

    /// Ends the transfer, if there is one, and frees its copy in the background.
    pub(super) fn discard_transfer(&mut self) {
        let Some(transfer) = self.transfer.take() else {
            return;
        };
        if let Some(handle) = transfer.handle {
            tokio::task::spawn_local(async move {
                let request = engine::release_copy_request(&handle);
                if let Err(error) =
                    call(transfer.source, request, COPY_REPLY_LIMITS).await
                {
                    log::debug!(error:% = error; "could not free a copy of a run's KV cache; it expires at the engine");
                }
            });
        }
    }
}
