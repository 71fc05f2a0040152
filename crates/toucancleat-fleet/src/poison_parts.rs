//! Detects poison parts of prompts, which crash every target that begins to answer a request
//! with one.
//!
//! No two requests with such a part need be alike, and sound requests share their other parts.
//! So evidence is collected for each part:
//!
//! - **Crash.** A run is interrupted before its target has answered for a while. Longer runs
//!   beside it end with the target too, but didn't crash it. The crash counts against the parts
//!   of the request that have not been in a recent answer; if all have, against the one whose
//!   answer is the oldest, unless even that was just received.
//! - **Answer.** A run answers for a while, or completely. What counted against its parts before,
//!   and what does in the next [`FRESH_ANSWER_MS`], is withdrawn, at all hosts.
//!
//! The whole content of a request is a part as well, in a second instance of the evidence: callers
//! repeat a poison request at any host and with a new name for each attempt.
//!
//! A part is poison once [`CRASHES_MAX`] targets have crashed under it and no other part explains
//! these crashes. While two parts have been in the same crashed runs only, a request is refused
//! if it has both. All hosts share the evidence and the verdicts. From time to time one request
//! is let through as a trial, since a verdict may be wrong and nothing else is sent that would
//! contradict it ([`poison_verdict`](crate::poison_verdict)). See docs/design/poison-parts.md.

mod answers;
mod crashed_target;
mod reports;
mod suspect;

use indexmap::{IndexMap, IndexSet};
use toucancleat_core::prelude::*;

pub use self::crashed_target::{CrashedTarget, TargetKey, target_key};
pub use self::reports::{PartReports, TrialReports};

use self::answers::AnsweredParts;
use self::suspect::{Crash, Suspect, Trial};
use crate::poison_verdict::{
    CONFIDENCE_MAX, CONFIRMED, Confidence, PROBATION_MS, PoisonVerdict, REFUSAL_MS,
    TRIAL_MS,
};
use crate::prompt_part::PartId;

/// Number of targets that have crashed under a part at which it is poison. One may be a faulty
/// link, and two a coincidence.
pub const CRASHES_MAX: usize = 3;

/// Time from the first event of a target to the one from which its run counts as sound.
pub const SOUND_AFTER_MS: u64 = 1_000;

/// Time after an answer in which crashes don't count against its parts. Targets that crash for a
/// common reason do so under the parts that most requests share.
pub const FRESH_ANSWER_MS: u64 = 1_000;

/// Time for which a crash is remembered.
pub const CRASH_RETENTION_MS: u64 = 60_000;

/// Time between an answer and a peer's verdict within which the two contradict each other: ages
/// grow a little with each host that passes a verdict on.
const VERDICT_MARGIN_MS: u64 = 2_000;

/// Age up to which a crash that a peer reports is accepted. Ages grow younger with each host that
/// passes them on, so hosts would tell each other of a crash for ever.
const CRASH_ACCEPTANCE_MS: u64 = CRASH_RETENTION_MS - 5_000;

/// Time for which an answer speaks for a part when another part of its request may be to blame.
const ANSWER_RETENTION_MS: u64 = 120_000;

/// Maximum number of parts with crashes or a verdict; the oldest is forgotten.
const SUSPECTS_MAX: usize = 1_024;

/// Maximum number of crashes under one part that are remembered and reported.
const CRASHES_OF_PART_MAX: usize = 16;

/// Interval at which suspects are searched for what is older than its retention time.
const EXPIRY_INTERVAL_MS: u64 = 1_000;

/// Maximum number of parts in each list of a message. An entry takes some 15 bytes, and five
/// more for each crash.
const REPORTED_MAX: usize = 32;

/// What the parts of an instance of the evidence are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartScope {
    /// Parts of prompts.
    Prompt,
    /// Whole contents of requests.
    Request,
}

/// A change of what is known of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartChange {
    /// Requests with the part are refused from now on. Holds the number of crashed targets that
    /// this host knows of.
    Poison(PartId, usize),
    /// A target crashed again under a poison part, as in a trial. Holds the time to the next trial.
    Confirmed(PartId, u64),
    /// A request with the part was answered, so that it is no longer suspected.
    Sound(PartId),
}

/// The evidence for and against parts of prompts, of all hosts.
#[derive(Clone, Debug, Default)]
pub struct PoisonParts {
    suspects: IndexMap<PartId, Suspect>,
    /// Answers at this host.
    own_answers: AnsweredParts,
    /// Answers that peers have reported.
    peer_answers: AnsweredParts,
    /// Parts of which a peer has begun a trial, for peers that have.
    peer_trials: IndexMap<HostName, Vec<PartId>>,
    expired_ms: u64,
}

impl PoisonParts {
    /// Records that a target crashed when it began to answer a request with these parts.
    pub fn record_crash(
        &mut self,
        now_ms: u64,
        target: CrashedTarget,
        parts: &[PartId],
    ) -> Vec<PartChange> {
        self.expire(now_ms);
        let crash = Crash {
            at_ms: now_ms,
            is_own: true,
        };
        let mut changes = Vec::new();
        for part in self.suspected(now_ms, parts) {
            let key = self.suspect(part).key_of_crash(target);
            changes.extend(self.insert_crash(part, key, crash));
        }
        changes.extend(self.find_poison(now_ms));
        changes
    }

    /// Records that a target answered a request with these parts for a while, or completely.
    pub fn record_answer(&mut self, now_ms: u64, parts: &[PartId]) -> Vec<PartChange> {
        let mut changes = Vec::new();
        for part in parts {
            self.own_answers.record(now_ms, *part);
            changes.extend(self.clear(now_ms, *part));
        }
        changes
    }

    /// Records the reports of a peer, which have just been received.
    pub fn record_reports(
        &mut self,
        now_ms: u64,
        from: &HostName,
        reports: &PartReports,
    ) -> Vec<PartChange> {
        let mut changes = Vec::new();
        if *reports == PartReports::default() {
            self.record_trials(now_ms, from, &[]);
            return changes;
        }
        let received_at = |age_ms: u32| now_ms.checked_sub(u64::from(age_ms));
        for (part, age_ms) in reports.answered.iter().take(REPORTED_MAX) {
            if let Some(at_ms) = received_at(*age_ms) {
                self.peer_answers.record(at_ms, *part);
                changes.extend(self.clear(at_ms, *part));
            }
        }
        let confidences = reports.trials.confidences.iter().copied();
        let confidences = confidences.chain(std::iter::repeat(CONFIRMED));
        for ((part, age_ms), confidence) in
            reports.poison.iter().zip(confidences).take(REPORTED_MAX)
        {
            let since_ms = received_at(*age_ms);
            changes.extend(self.record_verdict(now_ms, *part, since_ms, confidence));
        }
        for (part, crashes) in reports.crashes.iter().take(REPORTED_MAX) {
            self.suspect(*part).peer_reported_ms = Some(now_ms);
            for (target, age_ms) in crashes.iter().take(CRASHES_OF_PART_MAX) {
                let at_ms = received_at(*age_ms)
                    .filter(|at_ms| now_ms - at_ms < CRASH_ACCEPTANCE_MS)
                    .filter(|at_ms| !self.is_freshly_answered(*at_ms, *part));
                if let Some(at_ms) = at_ms {
                    let is_own = false;
                    let crash = Crash { at_ms, is_own };
                    changes.extend(self.insert_crash(*part, *target, crash));
                }
            }
        }
        self.record_trials(now_ms, from, &reports.trials.begun);
        self.expire(now_ms);
        changes.extend(self.find_poison(now_ms));
        changes
    }

    /// Records the trials of a peer. Those that it doesn't report any more are over.
    fn record_trials(&mut self, now_ms: u64, from: &HostName, begun: &[(PartId, u32)]) {
        let is_of_peer = |trial: &mut Trial| trial.peer.as_ref() == Some(from);
        for part in self.peer_trials.swap_remove(from).unwrap_or_default() {
            if let Some(suspect) = self.suspects.get_mut(&part) {
                suspect.trial.take_if(is_of_peer);
            }
        }
        let mut recorded = Vec::new();
        for (part, age_ms) in begun.iter().take(REPORTED_MAX) {
            let began_ms = now_ms.saturating_sub(u64::from(*age_ms));
            let Some(suspect) = self.suspects.get_mut(part) else {
                continue;
            };
            let is_later = |known: &Trial| known.began_ms < began_ms;
            if suspect.trial.as_ref().is_none_or(is_later) {
                let peer = Some(from.clone());
                suspect.trial = Some(Trial { began_ms, peer });
                recorded.push(*part);
            }
        }
        if !recorded.is_empty() {
            self.peer_trials.insert(from.clone(), recorded);
        }
    }

    /// Returns what this host reports to its peers.
    ///
    /// Crashes and verdicts are reported by all hosts that know them, so that they outlive the
    /// processes that saw or found them.
    pub fn own_reports(&self, now_ms: u64) -> PartReports {
        let age_ms =
            |at_ms: u64| u32::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(u32::MAX);
        let mut reports = PartReports::default();
        // The most recent suspects come last.
        for (part, suspect) in self.suspects.iter().rev() {
            if let Some(verdict) = suspect.verdict {
                reports.poison.push((*part, age_ms(verdict.since_ms)));
                reports.trials.confidences.push(verdict.confidence);
            }
            if let Some(trial) = &suspect.trial
                && trial.peer.is_none()
            {
                reports.trials.begun.push((*part, age_ms(trial.began_ms)));
            }
            let crashes: Vec<(TargetKey, u32)> = suspect
                .crashes
                .iter()
                .filter(|(_, crash)| suspect.is_reported(now_ms, crash))
                .map(|(target, crash)| (*target, age_ms(crash.at_ms)))
                .collect();
            if !crashes.is_empty() {
                reports.crashes.push((*part, crashes));
            }
            if suspect.peer_reported_ms.is_some()
                && let Some(answered_ms) = self.own_answers.last_ms(*part)
            {
                reports.answered.push((*part, age_ms(answered_ms)));
            }
        }
        reports.crashes.truncate(REPORTED_MAX);
        reports.poison.truncate(REPORTED_MAX);
        reports.answered.truncate(REPORTED_MAX);
        reports.trials.confidences.truncate(REPORTED_MAX);
        reports.trials.begun.truncate(REPORTED_MAX);
        reports
    }

    /// Returns true if requests with these parts are refused, except for trials.
    pub fn is_refused(&self, now_ms: u64, parts: &[PartId]) -> bool {
        self.next_trial_ms(now_ms, parts).is_some()
    }

    /// Returns for how long requests with these parts are refused, in milliseconds, or `None` if
    /// they aren't or the next one is a trial. The host begins a trial some time after it is due.
    pub fn refused_for_ms(
        &self,
        now_ms: u64,
        parts: &[PartId],
        trial_delay_ms: impl FnOnce() -> u64,
    ) -> Option<u64> {
        let due_ms = self.next_trial_ms(now_ms, parts)?;
        let may_begin = now_ms >= due_ms && now_ms >= due_ms + trial_delay_ms();
        // Others are accepted only once the trial has been answered.
        (!may_begin).then(|| due_ms.saturating_sub(now_ms) + TRIAL_MS)
    }

    /// Records that a request with these parts is sent as a trial.
    pub fn begin_trial(&mut self, now_ms: u64, parts: &[PartId]) {
        for part in self.refused_parts(now_ms, parts) {
            self.suspect(part).trial = Some(Trial {
                began_ms: now_ms,
                peer: None,
            });
        }
    }

    /// Records that this host's trial of these parts is over. Without a crash or an answer, another one
    /// may begin.
    pub fn end_trial(&mut self, parts: &[PartId]) {
        for part in parts {
            if let Some(suspect) = self.suspects.get_mut(part) {
                suspect.trial.take_if(|trial| trial.peer.is_none());
            }
        }
    }

    fn refused_parts(&self, now_ms: u64, parts: &[PartId]) -> Vec<PartId> {
        let is_refused = |part: &PartId| self.verdict_on(now_ms, *part, parts).is_some();
        parts.iter().copied().filter(is_refused).collect()
    }

    /// Returns when a request with these parts may be sent as a trial, or `None` if it isn't
    /// refused.
    fn next_trial_ms(&self, now_ms: u64, parts: &[PartId]) -> Option<u64> {
        let times_ms = parts.iter().filter_map(|part| {
            let verdict = self.verdict_on(now_ms, *part, parts)?;
            Some(self.suspects.get(part)?.next_trial_ms(&verdict))
        });
        times_ms.max()
    }

    /// Returns the verdict by which requests with these parts are refused for one of them.
    fn verdict_on(
        &self,
        now_ms: u64,
        part: PartId,
        parts: &[PartId],
    ) -> Option<PoisonVerdict> {
        let suspect = self.suspects.get(&part)?;
        if let Some(verdict) = suspect.verdict
            && verdict.is_in_force(now_ms)
        {
            return Some(verdict);
        }
        if !self.is_inseparable(now_ms, part, parts) {
            return None;
        }
        PoisonVerdict::from_crashes(suspect.crash_times_ms())
    }

    /// Returns the parts under which targets have crashed at this host, and how many, as far as
    /// they are reported.
    pub fn own_crash_counts(&self, now_ms: u64) -> Vec<(PartId, u32)> {
        let crash_count = |suspect: &Suspect| {
            let own = suspect.crashes.values().filter(|crash| crash.is_own);
            let reported = own.filter(|crash| suspect.is_reported(now_ms, crash));
            u32::try_from(reported.count()).unwrap_or(u32::MAX)
        };
        let counts = self.suspects.iter().rev();
        counts
            .map(|(part, suspect)| (*part, crash_count(suspect)))
            .filter(|(_, count)| *count > 0)
            .take(REPORTED_MAX)
            .collect()
    }

    /// Returns the number of poison parts.
    pub fn poison_count(&self, now_ms: u64) -> usize {
        self.suspects
            .values()
            .filter(|suspect| suspect.is_refused(now_ms))
            .count()
    }

    /// Returns the parts of a crashed request that the crash counts against.
    fn suspected(&self, now_ms: u64, parts: &[PartId]) -> Vec<PartId> {
        // A poison part explains the crash.
        let refused = self.refused_parts(now_ms, parts);
        if !refused.is_empty() {
            return refused;
        }
        let has_answer = |part: &PartId| {
            self.answered_ms(*part)
                .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < ANSWER_RETENTION_MS)
        };
        let without_answer: Vec<PartId> = parts
            .iter()
            .copied()
            .filter(|part| !has_answer(part))
            .collect();
        if !without_answer.is_empty() {
            return without_answer;
        }
        let oldest = parts.iter().min_by_key(|part| self.answered_ms(**part));
        oldest
            .copied()
            .filter(|part| !self.is_freshly_answered(now_ms, *part))
            .into_iter()
            .collect()
    }

    /// Returns true if a part was answered so shortly before a time, or after it, that a crash at
    /// that time doesn't count against it.
    fn is_freshly_answered(&self, at_ms: u64, part: PartId) -> bool {
        self.answered_ms(part)
            .is_some_and(|answered_ms| at_ms <= answered_ms + FRESH_ANSWER_MS)
    }

    /// Withdraws what an answer contradicts: crashes and a verdict that are older, or that came
    /// shortly after it.
    fn clear(&mut self, answered_ms: u64, part: PartId) -> Option<PartChange> {
        let suspect = self.suspects.get_mut(&part)?;
        let is_upheld = |at_ms: u64| at_ms > answered_ms + FRESH_ANSWER_MS;
        suspect.crashes.retain(|_, crash| is_upheld(crash.at_ms));
        let contradicted = suspect
            .verdict
            .take_if(|verdict| !is_upheld(verdict.since_ms));
        contradicted.map(|_| PartChange::Sound(part))
    }

    /// Records a peer's verdict, which may be older or firmer than the one that is known.
    fn record_verdict(
        &mut self,
        now_ms: u64,
        part: PartId,
        since_ms: Option<u64>,
        confidence: Confidence,
    ) -> Option<PartChange> {
        let answered_ms = self.answered_ms(part).unwrap_or_default();
        let confidence = confidence.min(CONFIDENCE_MAX);
        let suspect = self.suspect(part);
        suspect.peer_reported_ms = Some(now_ms);
        let since_ms = since_ms.filter(|since_ms| {
            now_ms - since_ms < REFUSAL_MS + PROBATION_MS
                && answered_ms + VERDICT_MARGIN_MS < *since_ms
        })?;
        // N.B. a verdict that returns from a peer looks slightly younger. It must not renew
        // the one that it repeats.
        let is_news = suspect.verdict.is_none_or(|known| {
            confidence > known.confidence || since_ms > known.since_ms + REFUSAL_MS
        });
        if !is_news {
            return None;
        }
        let was_refused = suspect.is_refused(now_ms);
        suspect.verdict = Some(PoisonVerdict {
            since_ms,
            confidence,
        });
        (!was_refused && suspect.is_refused(now_ms))
            .then(|| PartChange::Poison(part, suspect.crashes.len()))
    }

    fn answered_ms(&self, part: PartId) -> Option<u64> {
        let own = self.own_answers.last_ms(part);
        own.max(self.peer_answers.last_ms(part))
    }

    fn suspect(&mut self, part: PartId) -> &mut Suspect {
        if !self.suspects.contains_key(&part) && self.suspects.len() >= SUSPECTS_MAX {
            // A verdict is worth more than a suspicion.
            let without_verdict = |suspect: &Suspect| suspect.verdict.is_none();
            let oldest = self.suspects.values().position(without_verdict);
            self.suspects.shift_remove_index(oldest.unwrap_or_default());
        }
        self.suspects.entry(part).or_default()
    }

    fn insert_crash(
        &mut self,
        part: PartId,
        target: TargetKey,
        crash: Crash,
    ) -> Option<PartChange> {
        let suspect = self.suspect(part);
        if let Some(known) = suspect.crashes.get_mut(&target) {
            known.is_own |= crash.is_own;
            return None;
        }
        if suspect.crashes.len() < CRASHES_OF_PART_MAX {
            suspect.crashes.insert(target, crash);
        }
        let verdict = suspect.verdict.as_mut()?;
        if !verdict.is_in_force(crash.at_ms) {
            return None;
        }
        let trial = suspect.trial.as_ref();
        let was_trial = trial.is_some_and(|trial| trial.is_of(verdict));
        verdict.renew(crash.at_ms, was_trial).then(|| {
            let pause_ms = verdict.trial_due_ms() - verdict.since_ms;
            PartChange::Confirmed(part, pause_ms)
        })
    }

    /// Finds the parts that explain the crashes, the one with the most crashes first.
    ///
    /// A crash that a poison part explains counts against no other part.
    fn find_poison(&mut self, now_ms: u64) -> Vec<PartChange> {
        let mut changes = Vec::new();
        let may_be_poison = |suspect: &Suspect| {
            !suspect.is_refused(now_ms)
                && (suspect.is_on_probation() || suspect.crashes.len() >= CRASHES_MAX)
        };
        while self.suspects.values().any(may_be_poison) {
            let unexplained = self.unexplained(now_ms);
            let is_alone = |part: &PartId, targets: &IndexSet<TargetKey>| {
                !unexplained
                    .iter()
                    .any(|(other, others)| other != part && others.is_superset(targets))
            };
            let candidates = unexplained.iter().filter(|(part, targets)| {
                let is_on_probation = self
                    .suspects
                    .get(*part)
                    .is_some_and(Suspect::is_on_probation);
                is_on_probation
                    || (targets.len() >= CRASHES_MAX && is_alone(part, targets))
            });
            let found = candidates.max_by_key(|(_, targets)| targets.len());
            let Some((part, targets)) = found else {
                return changes;
            };
            changes.push(PartChange::Poison(*part, targets.len()));
            let part = *part;
            // N.B. not the present time: peers may tell of answers after the crashes only later.
            let suspect = self.suspect(part);
            let before = suspect.verdict;
            suspect.verdict = PoisonVerdict::from_crashes(suspect.crash_times_ms()).map(
                |mut verdict| {
                    if let Some(before) = before {
                        verdict.confidence = before.confidence;
                    }
                    verdict
                },
            );
        }
        changes
    }

    /// Returns the crashes under each part that isn't refused, without those that a poison part
    /// explains.
    fn unexplained(&self, now_ms: u64) -> IndexMap<PartId, IndexSet<TargetKey>> {
        let (refused, open): (Vec<_>, Vec<_>) = self
            .suspects
            .iter()
            .partition(|(_, suspect)| suspect.is_refused(now_ms));
        let explained: IndexSet<TargetKey> = refused
            .iter()
            .flat_map(|(_, suspect)| suspect.crashes.keys().copied())
            .collect();
        open.into_iter()
            .map(|(part, suspect)| {
                let crashes = suspect.crashes.keys().copied();
                let targets = crashes.filter(|target| !explained.contains(target));
                (*part, targets.collect::<IndexSet<TargetKey>>())
            })
            .filter(|(_, targets)| !targets.is_empty())
            .collect()
    }

    /// Returns true if a request has a part with enough crashes, and also each part that was in
    /// the same crashed runs.
    fn is_inseparable(&self, now_ms: u64, part: PartId, parts: &[PartId]) -> bool {
        let crashes = |part| self.suspects.get(part).map_or(0, |s| s.crashes.len());
        if crashes(&part) < CRASHES_MAX {
            return false;
        }
        let unexplained = self.unexplained(now_ms);
        let Some(targets) = unexplained.get(&part) else {
            return false;
        };
        targets.len() >= CRASHES_MAX
            && unexplained
                .iter()
                .filter(|(_, others)| others.is_superset(targets))
                .all(|(other, others)| {
                    others.len() == targets.len() && parts.contains(other)
                })
    }

    /// Forgets what is older than its retention time.
    fn expire(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.expired_ms) < EXPIRY_INTERVAL_MS {
            return;
        }
        self.expired_ms = now_ms;
        self.suspects.retain(|_, suspect| {
            suspect.crashes.retain(|_, crash| {
                now_ms.saturating_sub(crash.at_ms) < CRASH_RETENTION_MS
            });
            suspect.is_kept(now_ms)
        });
        let suspects = &self.suspects;
        self.peer_trials.retain(|peer, begun| {
            begun.iter().any(|part| {
                let trial = suspects.get(part).and_then(|known| known.trial.as_ref());
                trial.is_some_and(|trial| trial.peer.as_ref() == Some(peer))
            })
        });
    }
}
