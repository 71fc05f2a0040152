//! Log lines of the reducer's events.

use toucancleat_fleet::poison_parts::PartScope;
use toucancleat_fleet::prelude::*;

/// Writes the log line of an event of the reducer.
pub fn log_event(event: &LogEvent) {
    match event {
        LogEvent::ConfigurationRejected {
            kept_version,
            problem,
        } => {
            log::error!(kept_version, problem; "configuration rejected; keeping the last valid one");
        }
        LogEvent::ConfigurationDistrusted {
            known_version,
            newest_version,
        } => log::warn!(
            version = known_version.unwrap_or_default(),
            newest_version = newest_version.unwrap_or_default();
            "peers know a newer configuration; requests with keys are refused until it is read"
        ),
        LogEvent::TargetsListed {
            targets,
            store_version,
        } => {
            log::info!(targets, store_version; "host list read for the first time");
        }
        LogEvent::TargetJoined {
            target,
            store_version,
            slow_start_left_ms,
            target_version,
        } => {
            log::info!(target_name:% = target, store_version, slow_start_left_ms, target_version = version_text(target_version.as_ref()); "target joined; it accepts requests");
        }
        LogEvent::TargetLeaving {
            target,
            store_version,
            runs,
        } => {
            log::info!(target_name:% = target, store_version, runs; "target leaving; no new requests are routed to it");
        }
        LogEvent::TargetRestarted {
            target,
            store_version,
            runs,
        } => {
            log::info!(target_name:% = target, store_version, runs; "target started again under its name; forgetting what was known of it");
        }
        LogEvent::TargetReportedLeaving { target, runs } => {
            log::info!(target_name:% = target, runs; "target reported that it is leaving; no new requests are routed to it");
        }
        LogEvent::TargetWatchChanged { is_watching: true } => {
            log::warn!(
                "no host reads the host list; asking the engines whether they are leaving"
            );
        }
        LogEvent::TargetWatchChanged { is_watching: false } => {
            log::info!("a host reads the host list again; engines are no longer asked");
        }
        LogEvent::TargetSuspected {
            target,
            is_own,
            runs,
        } => {
            log::info!(target_name:% = target, is_own, runs; "target suspected to be leaving: it closes its connections");
        }
        LogEvent::SuspicionEnded {
            target,
            is_confirmed,
        } => {
            log::info!(target_name:% = target, is_confirmed; "suspicion that a target is leaving ended");
        }
        LogEvent::RetryDecided {
            attempt_id,
            pool,
            decision,
        } => {
            let outcome = decision.outcome.as_str();
            let own = decision.own;
            log::info!(request:% = attempt_id, pool:% = pool, outcome, own_retries = own.retries, own_requests = own.requests, guaranteed_retries = decision.guaranteed_retries, hosts = decision.hosts; "retry decided");
        }
        LogEvent::RetriesInherited {
            from,
            is_final,
            retries,
        } => {
            log::info!(from:% = from, is_final, retries; "a peer told what this host used of the retry budget before its process started");
        }
        LogEvent::MigrationObstructed { attempt_id, cause } => {
            log::info!(request:% = attempt_id, cause = cause.as_str(); "run can't migrate now");
        }
        LogEvent::TargetPaused { target, pause_ms } => {
            log::info!(target_name:% = target, pause_ms; "target wants no requests from this host for a time");
        }
        LogEvent::RateLimitChanged {
            target,
            limit_per_s,
            limit_before_per_s,
        } => {
            log::info!(target_name:% = target, limit_per_s, limit_before_per_s; "target's rate limit changed");
        }
        LogEvent::TargetCold { target, left_ms } => {
            log::info!(target_name:% = target, left_ms; "target is cold; it gets only so many requests");
        }
        LogEvent::BrittlenessChanged {
            pool,
            rejections_max_per_s,
        } => {
            log::info!(pool:% = pool, rejections_max_per_s:? = rejections_max_per_s; "targets of a pool fall over if they turn more requests away, or no longer do");
        }
        LogEvent::ZoneEvacuated {
            zone,
            store_version,
            runs,
        } => {
            log::warn!(zone:% = zone, store_version, runs; "availability zone evacuated; no requests are routed to its targets");
        }
        LogEvent::ZoneTakenBack {
            zone,
            store_version,
        } => {
            log::info!(zone:% = zone, store_version; "evacuated availability zone taken back; its targets accept requests");
        }
        LogEvent::ReaderRoleChanged {
            is_reader,
            live_peers,
        } => {
            log::info!(reads = is_reader, hosts_heard = live_peers; "store reader role changed");
        }
        LogEvent::RunInterrupted {
            attempt_id,
            target,
            answered_ms,
            shared_parts,
        } => {
            let shared_parts = part_list(shared_parts);
            log::info!(request:% = attempt_id, target_name:% = target, answered_ms:? = answered_ms, shared_parts; "run interrupted");
        }
        LogEvent::PathChanged { pool, is_lost } => {
            if *is_lost {
                log::warn!(pool:% = pool; "no target of a pool can be reached; handing its requests off to peers");
            } else {
                log::info!(pool:% = pool; "targets of a pool can be reached again");
            }
        }
        LogEvent::PartRefused {
            scope: PartScope::Prompt,
            part,
            crashed_targets,
        } => {
            log::warn!(part:% = part, crashed_targets; "targets crash under a part of prompts; refusing requests with it");
        }
        LogEvent::PartRefused {
            scope: PartScope::Request,
            part,
            crashed_targets,
        } => {
            log::warn!(content:% = part, crashed_targets; "targets crash under a request; refusing its repeats");
        }
        LogEvent::PartConfirmed {
            scope: PartScope::Prompt,
            part,
            pause_ms,
        } => {
            log::warn!(part:% = part, pause_ms; "a target crashed again under a refused part of prompts");
        }
        LogEvent::PartConfirmed {
            scope: PartScope::Request,
            part,
            pause_ms,
        } => {
            log::warn!(content:% = part, pause_ms; "a target crashed again under a refused request");
        }
        LogEvent::PartTrialBegan {
            attempt_id,
            shared_parts,
            content,
        } => {
            let shared_parts = part_list(shared_parts);
            log::info!(request:% = attempt_id, shared_parts, content:% = content; "sending a refused request as a trial");
        }
        LogEvent::PartAccepted {
            scope: PartScope::Prompt,
            part,
        } => {
            log::info!(part:% = part; "a request with a refused part of prompts was answered; accepting requests with it");
        }
        LogEvent::PartAccepted {
            scope: PartScope::Request,
            part,
        } => {
            log::info!(content:% = part; "a refused request was answered; accepting its repeats");
        }
        LogEvent::StreamResumed {
            attempt_id,
            version,
            source,
        } => {
            log::info!(request:% = attempt_id, target_version:% = version, source = source.as_str(); "stream resumed by its caller; it continues at the version that began it");
        }
        LogEvent::RoomRefused {
            attempt_id,
            pool,
            organisation,
            cause,
            rank,
            waited_ms,
            ahead_tokens,
            free_tokens,
        } => {
            let organisation = organisation.as_ref().map_or("", |name| name.as_str());
            log::info!(request:% = attempt_id, pool:% = pool, organisation, cause = cause.as_str(), rank, waited_ms, ahead_tokens, free_tokens; "no room in time for a request");
        }
        LogEvent::StoreEraChanged { era, era_before } => {
            log::warn!(era, era_before; "the platform's store has returned to a copy; reading it completely");
        }
        LogEvent::StoreAvailabilityChanged {
            is_available,
            query,
        } => {
            let query = query.as_str();
            if *is_available {
                log::info!(query; "the platform's store answers again");
            } else {
                log::warn!(query; "the platform's store does not answer");
            }
        }
        _ => {}
    }
}

/// Returns a version of targets' software for the log; empty if it isn't known.
pub fn version_text(version: Option<&SoftwareVersion>) -> &str {
    version.map_or("", SoftwareVersion::as_str)
}

fn part_list(parts: &[PartId]) -> String {
    let parts: Vec<String> = parts.iter().map(PartId::to_string).collect();
    parts.join(",")
}
