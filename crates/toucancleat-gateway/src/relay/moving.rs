//! The move of a stream's run away from a target that leaves.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use toucancleat_fleet::evacuation::{self, Evacuation, Step};
use toucancleat_fleet::prelude::*;
use toucancleat_platform::engine::{self, CopyReply};

use super::{Happened, Next, Relay, read};
use crate::attempt::Resumption;
use crate::clock;
use crate::exchange::{CallError, call};

/// Longest wait for a copy; targets that leave give less notice than this.
const COPY_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Longest wait for the end of a stream whose run has stopped.
const SOURCE_END_MS: u64 = 60;

/// Longest wait for a run to go on at another target.
const RESUME_TIMEOUT_MS: u64 = 1_500;

/// Pause before a target that declined to go on is asked once more.
const RESUME_PAUSE: Duration = Duration::from_millis(25);

/// A run on its way to another target.
pub(super) struct Moving {
    source: SocketAddr,
    to: TargetName,
    address: SocketAddr,
    pub(super) copy: Option<Pin<Box<dyn Future<Output = Copied>>>>,
    handle: Option<String>,
    /// Whether the stream of the run was closed, and not reset, when the run was stopped.
    pub(super) was_closed_in_order: bool,
}

/// The end of a call for a copy.
pub(super) struct Copied {
    took_ms: u64,
    result: Result<CopyReply, CallError>,
}

impl std::fmt::Debug for Moving {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Moving")
            .field("to", &self.to)
            .finish_non_exhaustive()
    }
}

impl Relay {
    pub(super) fn evacuate(&mut self, to: TargetName, address: SocketAddr) {
        self.drop_copy();
        let step = self.evacuation().first();
        self.moving = Some(Moving {
            source: self.dispatch.address,
            to,
            address,
            copy: None,
            handle: None,
            was_closed_in_order: false,
        });
        if let Step::Copy { is_last, after_ms } = step {
            self.copy(is_last, after_ms);
        }
    }

    fn evacuation(&mut self) -> &mut Evacuation {
        let leaves_at_ms = self.host.leaves_at_ms(&self.dispatch.target);
        self.evacuation
            .get_or_insert_with(|| Evacuation::new(clock::now_ms(), leaves_at_ms))
    }

    pub(super) fn step(&mut self, event: evacuation::Event) -> Step {
        let now_ms = clock::now_ms();
        let leaves_at_ms = self.host.leaves_at_ms(&self.dispatch.target);
        let evacuation = self.evacuation();
        if let Some(at_ms) = leaves_at_ms {
            evacuation.step(now_ms, evacuation::Event::LeavesAt(at_ms));
        }
        evacuation.step(now_ms, event)
    }

    pub(super) fn choose_destination(&mut self) {
        // The ones that had no room a while ago may have some now.
        let is_new_round = self.choose_at_ms.take().is_some();
        let ticket = self.open.ticket;
        self.host.apply(Event::NeedsDestination {
            ticket,
            is_new_round,
        });
    }

    fn copy(&mut self, is_last: bool, after_ms: u64) {
        let name = self.outbound.name.clone();
        let Some(moving) = &mut self.moving else {
            return;
        };
        let (source, to) = (moving.source, moving.address);
        moving.copy = Some(Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(after_ms)).await;
            let began_ms = clock::now_ms();
            let request = engine::copy(&name, to, is_last);
            let result = match call(source, request, COPY_TIMEOUT).await {
                Ok((status, body)) => engine::decode_copy(status, &body)
                    .map_err(|error| CallError::Body(Box::new(error))),
                Err(error) => Err(error),
            };
            Copied {
                took_ms: clock::now_ms().saturating_sub(began_ms),
                result,
            }
        }));
    }

    pub(super) async fn copied(&mut self, copied: Copied) -> Next {
        let is_stopping = self.is_stopping_run();
        let Some(moving) = &mut self.moving else {
            return Next::GoOn;
        };
        moving.copy = None;
        let event = match &copied.result {
            Ok(CopyReply::Copied { handle }) => {
                moving.handle = Some(handle.clone());
                evacuation::Event::Copied {
                    took_ms: copied.took_ms,
                }
            }
            Ok(CopyReply::NoRun) => evacuation::Event::NoRun,
            Ok(CopyReply::Busy) => evacuation::Event::Busy,
            Ok(CopyReply::Refused { handle }) => {
                let is_kept = is_stopping && handle.is_some();
                if is_kept {
                    moving.handle.clone_from(handle);
                }
                evacuation::Event::Refused { is_kept }
            }
            Err(_) => evacuation::Event::Failed,
        };
        let to = moving.to.clone();
        let step = self.step(event);
        log::info!(
            request:% = self.outbound.name,
            target_name:% = self.dispatch.target,
            to:% = to,
            took_ms = copied.took_ms,
            event:? = event,
            step:? = step;
            "a copy of a run's memory"
        );
        self.take_step(step).await
    }

    pub(super) async fn take_step(&mut self, step: Step) -> Next {
        match step {
            Step::Copy { is_last, after_ms } => {
                self.copy(is_last, after_ms);
                Next::GoOn
            }
            Step::ChooseAnother { after_ms: 0 } => {
                self.drop_copy();
                self.choose_destination();
                Next::GoOn
            }
            Step::ChooseAnother { after_ms } => {
                self.drop_copy();
                self.choose_at_ms = Some(clock::now_ms() + after_ms);
                Next::GoOn
            }
            Step::ResumeAtDestination => self.resume(false).await,
            Step::ResumeAtSource => self.resume(true).await,
            Step::Stay => {
                log::warn!(
                    request:% = self.outbound.name,
                    target_name:% = self.dispatch.target;
                    "a run stays at a target that leaves"
                );
                self.host.metrics.count_move("stayed");
                let moving = self.moving.as_ref();
                let was_closed_in_order =
                    moving.is_some_and(|moving| moving.was_closed_in_order);
                self.abandon_move();
                match (&self.upstream, was_closed_in_order) {
                    (Some(_), _) => Next::GoOn,
                    // The engine knows no such run and has closed its stream: it has ended.
                    (None, true) => self.finish(),
                    (None, false) => {
                        self.end_attempt(Outcome::Broken);
                        Next::GoOn
                    }
                }
            }
            // What was copied before the source went can still be gone on from.
            Step::GiveUp if self.has_copy() => self.resume(false).await,
            Step::GiveUp => {
                self.abandon_move();
                self.upstream = None;
                self.end_attempt(Outcome::Broken);
                Next::GoOn
            }
            Step::Wait => Next::GoOn,
        }
    }

    /// Lets the run go on where its memory is.
    pub(super) async fn resume(&mut self, at_source: bool) -> Next {
        if let Next::End(outcome) = self.read_to_end().await {
            return Next::End(outcome);
        }
        let Some(moving) = self.moving.take() else {
            return Next::GoOn;
        };
        self.evacuation = None;
        let stopped_ms = self.last_event_ms;
        if !at_source {
            self.dispatch.target = moving.to.clone();
            self.dispatch.address = moving.address;
        }
        let answer_by_ms = clock::now_ms() + RESUME_TIMEOUT_MS;
        self.dispatch.answer_by_ms = answer_by_ms.min(self.dispatch.give_up_at_ms);
        let resumption = Resumption {
            last_event: self.order.last(),
            memory: moving.handle.map(|handle| (moving.source, handle)),
        };
        let ticket = self.open.ticket;
        let mut goes_on = self.send(&resumption).await;
        if !goes_on {
            tokio::time::sleep(RESUME_PAUSE).await;
            goes_on = self.send(&resumption).await;
        }
        let pause_ms = clock::now_ms().saturating_sub(stopped_ms);
        let outcome = match (goes_on, at_source) {
            (true, false) => "moved",
            (true, true) => "back_at_source",
            (false, _) => "lost",
        };
        self.host.metrics.count_move(outcome);
        self.host
            .metrics
            .move_pause_s
            .observe(pause_ms as f64 / 1_000.0);
        log::info!(
            request:% = self.outbound.name,
            target_name:% = self.dispatch.target,
            outcome,
            pause_ms;
            "a run moved"
        );
        if at_source {
            self.host.apply(Event::Stayed { ticket });
        } else {
            self.moves += 1;
            self.host.apply(Event::Moved { ticket });
        }
        if !goes_on {
            self.end_attempt(Outcome::Broken);
        }
        Next::GoOn
    }

    /// Passes on what a stopped run had still sent.
    async fn read_to_end(&mut self) -> Next {
        let end_ms = clock::now_ms() + SOURCE_END_MS;
        while self.upstream.is_some() {
            let happened = tokio::select! {
                happened = read(&mut self.upstream) => happened,
                () = clock::sleep_until(end_ms) => Happened::Broke,
            };
            match happened {
                Happened::Bytes(bytes) => {
                    if let Next::End(outcome) = Box::pin(self.pass_on(&bytes)).await {
                        return Next::End(outcome);
                    }
                }
                _ => self.upstream = None,
            }
        }
        Next::GoOn
    }

    pub(super) fn has_copy(&self) -> bool {
        let moving = self.moving.as_ref();
        moving.is_some_and(|moving| moving.handle.is_some())
    }

    pub(super) fn abandon_move(&mut self) {
        self.choose_at_ms = None;
        if self.evacuation.take().is_some() {
            self.drop_copy();
            let ticket = self.open.ticket;
            self.host.apply(Event::Stayed { ticket });
        }
    }

    /// Frees a copy that is not needed, without waiting for it.
    pub(super) fn drop_copy(&mut self) {
        let Some(moving) = self.moving.take() else {
            return;
        };
        if let Some(handle) = moving.handle {
            tokio::task::spawn_local(async move {
                let request = engine::drop_copy(&handle);
                if let Err(error) = call(moving.source, request, COPY_TIMEOUT).await {
                    log::debug!(error:% = error; "a copy was not freed; it expires by itself");
                }
            });
        }
    }
}
