//! Datagrams between entry hosts of this release and of earlier ones.

use std::net::SocketAddr;

use indexmap::IndexMap;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use toucancleat_fleet::brittle_targets::BrittleReports;
use toucancleat_fleet::budget::{PredecessorCounts, RetryCounts};
use toucancleat_fleet::claim::Rank;
use toucancleat_fleet::cold_targets::ColdReport;
use toucancleat_fleet::config::FleetConfig;
use toucancleat_fleet::configuration::{
    CallerLimits, Configuration, EngineCapabilities, Organisation, Pool, RetrySafety,
    Route, WeightedPool,
};
use toucancleat_fleet::configuration_change::ConfigurationChange;
use toucancleat_fleet::contention::DemandReport;
use toucancleat_fleet::evacuation::{EvacuationReport, ZoneReport};
use toucancleat_fleet::organisation_share::OrganisationTokens;
use toucancleat_fleet::peers::{Echo, Load, Message, Predecessor, Update};
use toucancleat_fleet::poison_parts::{PartReports, TrialReports};
use toucancleat_fleet::pool_path::PathReport;
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::service_rate::ServiceSums;
use toucancleat_fleet::store::StorePosition;
use toucancleat_fleet::stream_origin::{OriginMessage, StreamKey, StreamOrigin};
use toucancleat_fleet::target::{TargetChange, TargetEntry};
use toucancleat_fleet::target_notice::NoticeReport;
use toucancleat_fleet::target_watch::{SuspicionReport, WatchReport};
use toucancleat_gateway::datagram::{Datagram, decode, encode, encode_origin};

fn message() -> Message {
    let address = SocketAddr::from(([10, 0, 0, 1], 7_200));
    let entry = |software_version| TargetEntry {
        pool: PoolName::new("engines"),
        address,
        zone: ZoneName::new("upp-a"),
        is_leaving: false,
        slots: 24,
        started_unix_ms: Some(1),
        slow_start_left_ms: 0,
        software_version,
    };
    let change = |target, entry| TargetChange {
        target: TargetName::new(target),
        store_version: 7,
        entry,
    };
    let load = Load {
        runs: 3,
        tokens: 9_000,
        prefill_tokens: 3_000,
        migratable_runs: 1,
        migratable_tokens: 3_000,
    };
    Message {
        from: HostName::new("host-1"),
        incarnation: 1,
        zone: ZoneName::new("upp-a"),
        address,
        sent_ms: 1_000,
        is_stopping: false,
        configuration_version: Some(3),
        configuration_age_ms: Some(20),
        host_list_version: 9,
        host_list_digest: 11,
        store_age_ms: None,
        loads: vec![
            (TargetName::new("i-1"), load),
            (TargetName::new("i-4"), load),
        ],
        retry_counts: vec![(PoolName::new("engines"), RetryCounts::default())],
        interruptions: vec![(17, 2)],
        echo: Some(Echo {
            incarnation: 2,
            sent_ms: 900,
            held_ms: 5,
        }),
        notices: vec![NoticeReport {
            target: TargetName::new("i-1"),
            started_unix_ms: Some(1),
            rate_limit_per_s: Some(3.5),
            is_leaving: false,
            age_ms: 40,
        }],
        store_era: 4,
        version_digest: Some(13),
        part_reports: PartReports {
            crashes: vec![(PartId(5), vec![(6, 70), (8, 90)])],
            poison: vec![(PartId(u64::MAX), 1_000)],
            answered: vec![(PartId(9), 20)],
            trials: TrialReports {
                confidences: vec![1],
                begun: vec![(PartId(u64::MAX), 200)],
            },
        },
        request_reports: PartReports {
            crashes: vec![(PartId(17), vec![(6, 70)])],
            poison: vec![(PartId(17), 65)],
            answered: vec![(PartId(18), 25)],
            trials: TrialReports {
                confidences: vec![0],
                begun: vec![(PartId(17), 40)],
            },
        },
        path_reports: vec![PathReport {
            pool: PoolName::new("engines"),
            reached_age_ms: Some(30),
            is_lost: true,
        }],
        brittle_reports: BrittleReports {
            pools: vec![(PoolName::new("roster"), true, 40)],
            rejections: vec![(TargetName::new("i-1"), 25)],
        },
        evacuations: EvacuationReport {
            confirmed_age_ms: Some(300),
            zones: vec![ZoneReport {
                zone: ZoneName::new("upp-b"),
                position: StorePosition { era: 4, version: 9 },
                is_evacuated: true,
            }],
        },
        cold_reports: vec![ColdReport {
            target: TargetName::new("i-4"),
            started_unix_ms: Some(1),
            left_ms: 900,
        }],
        demand: DemandReport {
            waiting_tokens: vec![(PoolName::new("engines"), Rank::default(), 3_000)],
            organisations: vec![(
                PoolName::new("engines"),
                OrganisationName::new("depot"),
                OrganisationTokens {
                    used: 9_000,
                    waiting: 3_000,
                },
            )],
            service: vec![(
                PoolName::new("engines"),
                ServiceSums {
                    prefill_tokens: 3_000,
                    prefill_ms: 400,
                    ended_tokens: 3_100,
                    ended_token_ms: 6_200_000,
                },
            )],
        },
        heeds_confinement: true,
        watch: Some(WatchReport {
            reads_host_list: true,
            suspicions: vec![SuspicionReport {
                target: TargetName::new("i-4"),
                started_unix_ms: Some(1),
                left_ms: 1_200,
            }],
        }),
        has_retry_history: true,
        is_exiting: true,
        predecessor: Predecessor {
            retries: Some(PredecessorCounts {
                counts: vec![(
                    PoolName::new("engines"),
                    RetryCounts {
                        requests: 40,
                        retries: 7,
                    },
                )],
                is_final: true,
            }),
            interruptions: vec![(19, 2)],
        },
        addresses: vec![address],
        update: Some(Update::Targets(vec![
            change("i-1", Some(entry(Some(SoftwareVersion::new("v1"))))),
            change("i-2", None),
            change("i-3", Some(entry(None))),
            change("i-4", Some(entry(Some(SoftwareVersion::new("v1.1"))))),
        ])),
    }
}

/// Returns the parts of a datagram: the message, the echo, and what follows it.
fn datagram(message: &Message) -> (Vec<u8>, Vec<u8>) {
    let encoded = encode(message.clone()).expect("a message that can be encoded");
    let mut body = encoded
        .complete(&message.echo, &message.predecessor)
        .expect("an echo and counts");
    let known_first = postcard::to_stdvec(message).expect("a message");
    let known_first = postcard::to_extend(&message.echo, known_first).expect("an echo");
    let extension = body.split_off(known_first.len());
    (body, extension)
}

#[test]
fn messages_carry_the_versions_of_the_targets_software() {
    let message = message();
    let (mut bytes, extension) = datagram(&message);
    bytes.extend(extension);
    assert_eq!(decode(&bytes), Ok(Datagram::State(Box::new(message))));
}

/// A change of the configuration, with what the last release doesn't know of it.
fn change_message() -> Message {
    let configuration = |version, homes: &[&str], rate_per_s| {
        let confining_regions: Vec<RegionName> =
            homes.iter().map(|home| RegionName::new(home)).collect();
        let route = Route {
            kind: KindName::new("draft"),
            hostname: "plans.example".to_owned(),
            path_prefix: "/draft/".to_owned(),
            retry_safety: RetrySafety::ResumableStream,
            timeout_ms: 39_000,
            latency_objective_ms: 1_800,
            inter_event_objective_ms: 180,
            priority: 1,
            runs_max: 2,
            is_public: false,
            weighted_pools: vec![WeightedPool {
                pool: PoolName::new("engines"),
                weight: 1.0,
            }],
            confining_regions: confining_regions.clone(),
        };
        let organisation = Organisation {
            name: OrganisationName::new("depot"),
            priority: Some(0),
            confining_regions,
        };
        let pool = Pool {
            engine: Some(EngineCapabilities {
                slots: 24,
                memory_tokens: 21_873,
                event_tokens: 4,
                can_migrate: true,
            }),
            cold_requests_per_s: rate_per_s,
        };
        Configuration {
            version,
            routes: vec![route],
            pools: IndexMap::from([(PoolName::new("engines"), pool)]),
            limits: CallerLimits::default(),
            organisations: IndexMap::from([("key-1".to_owned(), organisation)]),
            requires_keys: true,
        }
    };
    let before = configuration(3, &[], None);
    let after = configuration(4, &["north", "south"], Some(2.5));
    let change = ConfigurationChange::between(&before, &after).expect("it is small");
    Message {
        update: Some(Update::Configuration(Box::new(change))),
        ..message()
    }
}

/// A host that took a change of the last release as it is would let requests leave their home
/// regions, so that change must not look complete.
#[test]
fn changes_of_the_configuration_carry_what_the_last_release_lacks() {
    let message = change_message();
    let (body, extension) = datagram(&message);
    let whole = [body, extension].concat();
    assert_eq!(
        decode(&whole),
        Ok(Datagram::State(Box::new(message.clone())))
    );

    let (body, _) = datagram(&message);
    let Ok(Datagram::State(decoded)) = decode(&body) else {
        panic!("expected a message of an earlier release");
    };
    assert!(!decoded.heeds_confinement);
    let Some(Update::Configuration(change)) = decoded.update else {
        panic!("expected a change of the configuration");
    };
    assert!(!change.is_complete);
    assert!(change.routes[0].confining_regions.is_empty());
}

#[test]
fn messages_about_origins_are_decoded() {
    let key = StreamKey::new(None, "attempt-1");
    let origin = StreamOrigin {
        pool: PoolName::new("engines"),
        version: SoftwareVersion::new("v1"),
    };
    let messages = [
        OriginMessage::Began {
            key,
            origin: origin.clone(),
            attempt: 1,
            retention_ms: 11_000,
        },
        OriginMessage::Query { key },
        OriginMessage::Reply {
            key,
            origin: Some(origin),
        },
        OriginMessage::Reply { key, origin: None },
    ];
    for message in messages {
        let bytes = encode_origin(&message).expect("a message that can be encoded");
        for length in 0..bytes.len() {
            assert!(
                decode(&bytes[..length]).is_err(),
                "{message:?}: {length} bytes"
            );
        }
        assert_eq!(decode(&bytes), Ok(Datagram::Origin(message)));
    }
}

/// A message of each kind is recorded with its content for the next release. The failure shows what
/// has to be recorded, see docs/design/compatibility.md.
#[test]
fn messages_are_recorded_for_the_next_release() {
    let key = StreamKey::new(None, "attempt-1");
    let origin = StreamOrigin {
        pool: PoolName::new("engines"),
        version: SoftwareVersion::new("v1"),
    };
    let began = OriginMessage::Began {
        key,
        origin: origin.clone(),
        attempt: 1,
        retention_ms: 11_000,
    };
    let reply = OriginMessage::Reply {
        key,
        origin: Some(origin),
    };
    let mut recorded = Vec::new();
    for (name, message) in [("targets", message()), ("configuration", change_message())] {
        let (body, extension) = datagram(&message);
        let content = format!("{message:#?}");
        recorded.push((name, [body, extension].concat(), content));
    }
    let query = OriginMessage::Query { key };
    for (name, message) in [("began", began), ("query", query), ("reply", reply)] {
        let bytes = encode_origin(&message).expect("a message that can be encoded");
        recorded.push((name, bytes, format!("{message:#?}")));
    }
    let mut text = String::new();
    for (name, bytes, content) in recorded {
        text.push_str(&format!("== {name}\n"));
        for line in bytes.chunks(40) {
            let digits = line.iter().map(|byte| format!("{byte:02x}"));
            text.push_str(&format!("{}\n", digits.collect::<String>()));
        }
        text.push_str(&format!("--\n{content}\n"));
    }
    let is_recorded = text == include_str!("recorded/next.txt");
    assert!(is_recorded, "record the messages again:\n{text}");
}

/// Hosts of the release before the last send neither versions nor their digest.
#[test]
fn messages_of_the_release_before_the_last_are_decoded() {
    let message = message();
    let (mut bytes, _) = datagram(&message);
    let era: (&[NoticeReport], u64) = (&message.notices, message.store_era);
    bytes.extend(postcard::to_stdvec(&era).expect("an extension"));
    let Ok(Datagram::State(decoded)) = decode(&bytes) else {
        panic!("expected a message of the last release");
    };
    assert_eq!(decoded.version_digest, None);
    assert_eq!(decoded.store_era, message.store_era);
    let Some(Update::Targets(changes)) = decoded.update else {
        panic!("expected changes of the host list");
    };
    let entries: Vec<_> = changes.iter().filter_map(|c| c.entry.as_ref()).collect();
    assert_eq!(entries.len(), 3);
    assert!(entries.iter().all(|entry| entry.software_version.is_none()));
}

/// Hosts of the last release send no reports on parts of prompts and on paths.
#[test]
fn messages_of_the_last_two_releases_are_decoded() {
    let message = message();
    let last = Message {
        evacuations: EvacuationReport::default(),
        cold_reports: Vec::new(),
        demand: DemandReport::default(),
        heeds_confinement: false,
        watch: None,
        has_retry_history: false,
        is_exiting: false,
        predecessor: Predecessor::default(),
        part_reports: PartReports {
            trials: TrialReports::default(),
            ..message.part_reports.clone()
        },
        request_reports: PartReports::default(),
        ..message.clone()
    };
    let (mut bytes, _) = datagram(&message);
    let era: (&[NoticeReport], u64) = (&message.notices, message.store_era);
    let v1 = Some(SoftwareVersion::new("v1"));
    let v1_1 = Some(SoftwareVersion::new("v1.1"));
    let versions: (u64, Vec<Option<SoftwareVersion>>) = (13, vec![v1, None, v1_1]);
    bytes.extend(postcard::to_stdvec(&era).expect("an extension"));
    bytes.extend(postcard::to_stdvec(&versions).expect("an extension"));
    let before_last = Message {
        part_reports: PartReports::default(),
        path_reports: Vec::new(),
        brittle_reports: BrittleReports::default(),
        ..last.clone()
    };
    assert_eq!(decode(&bytes), Ok(Datagram::State(Box::new(before_last))));
    let reports = (
        &message.part_reports,
        &message.path_reports,
        &message.brittle_reports,
    );
    bytes.extend(postcard::to_stdvec(&reports).expect("an extension"));
    assert_eq!(decode(&bytes), Ok(Datagram::State(Box::new(last))));
}

/// A malformed datagram must not end the process.
#[test]
fn datagrams_that_are_cut_off_are_errors_or_shorter_messages() {
    let (mut bytes, extension) = datagram(&message());
    let is_complete = |length| length >= bytes.len();
    let complete: Vec<bool> = (0..bytes.len() + extension.len())
        .map(is_complete)
        .collect();
    bytes.extend(extension);
    for (length, has_message) in complete.into_iter().enumerate() {
        let decoded = decode(&bytes[..length]);
        assert!(has_message || decoded.is_err(), "{length} bytes");
    }
}

/// Returns a host that knows nothing yet.
fn host() -> State {
    let identity = Identity {
        host: HostName::new("host-2"),
        zone: ZoneName::new("upp-a"),
        address: SocketAddr::from(([10, 0, 0, 2], 7_200)),
        incarnation: 2,
    };
    State::new(identity, FleetConfig::default(), &[])
}

/// Applies datagrams as the daemon does, with time passing between them.
fn receive(host: &mut State, datagrams: &[Vec<u8>]) {
    let from = SocketAddr::from(([10, 0, 0, 1], 7_200));
    let mut now_ms = 1_000;
    for datagram in datagrams {
        let mut effects = Vec::new();
        match decode(datagram) {
            Ok(Datagram::State(message)) => {
                reduce(host, now_ms, Event::MessageReceived(message), &mut effects);
            }
            Ok(Datagram::Origin(message)) => {
                let event = Event::OriginMessageReceived { from, message };
                reduce(host, now_ms, event, &mut effects);
            }
            Err(_) => {}
        }
        now_ms += 25;
        reduce(host, now_ms, Event::Tick, &mut effects);
    }
}

fn origin_datagram() -> Vec<u8> {
    let message = OriginMessage::Began {
        key: StreamKey::new(None, "attempt-1"),
        origin: StreamOrigin {
            pool: PoolName::new("engines"),
            version: SoftwareVersion::new("v1"),
        },
        attempt: 1,
        retention_ms: 11_000,
    };
    encode_origin(&message).expect("a message that can be encoded")
}

fn state_datagram() -> Vec<u8> {
    let (mut bytes, extension) = datagram(&message());
    bytes.extend(extension);
    bytes
}

/// Guards against a malformed message that ends a whole process, or leaves numbers of which
/// others are subtracted: the highest ones that their types permit, from several senders.
#[test]
fn the_highest_numbers_end_no_process() {
    let extreme = |sender: u16, highest: u64| {
        let load = Load {
            runs: highest as u32,
            tokens: highest,
            prefill_tokens: highest,
            migratable_runs: highest as u32,
            migratable_tokens: highest,
        };
        let counts = RetryCounts {
            requests: highest as u32,
            retries: highest as u32,
        };
        let mut message = message();
        message.from = HostName::new(&format!("host-{sender}"));
        message.address = SocketAddr::from(([10, 0, 1, 1], sender));
        message.sent_ms = highest;
        message.configuration_version = Some(highest);
        message.configuration_age_ms = Some(highest);
        message.host_list_version = highest;
        message.store_age_ms = Some(highest);
        message.loads = vec![(TargetName::new("i-1"), load); 2];
        message.retry_counts = vec![(PoolName::new("engines"), counts); 2];
        message.interruptions = vec![(highest, highest as u32); 2];
        message.echo = Some(Echo {
            incarnation: 2,
            sent_ms: highest,
            held_ms: highest,
        });
        message.store_era = highest;
        message.notices[0].age_ms = highest;
        message.part_reports = PartReports {
            crashes: vec![
                (PartId(highest), vec![(highest as u32, highest as u32); 99]);
                99
            ],
            poison: vec![(PartId(highest), highest as u32); 99],
            answered: vec![(PartId(highest), highest as u32); 99],
            trials: TrialReports {
                confidences: vec![highest as u8; 99],
                begun: vec![(PartId(highest), highest as u32); 99],
            },
        };
        message.request_reports = message.part_reports.clone();
        message.path_reports[0].reached_age_ms = Some(highest);
        message.brittle_reports.pools[0].2 = highest;
        message.brittle_reports.rejections[0].1 = highest;
        message.notices[0].rate_limit_per_s = Some(f64::MAX);
        if let Some(watch) = &mut message.watch {
            watch.suspicions[0].left_ms = highest;
        }
        message
    };
    let mut datagrams = vec![state_datagram()];
    for highest in [u64::MAX, u64::MAX - 1, 7] {
        for sender in [3, 4, 5] {
            let message = extreme(sender, highest);
            let (mut bytes, extension) = datagram(&message);
            bytes.extend(extension);
            datagrams.push(bytes);
        }
    }
    let began = OriginMessage::Began {
        key: StreamKey::new(None, "attempt-1"),
        origin: StreamOrigin {
            pool: PoolName::new("engines"),
            version: SoftwareVersion::new("v1"),
        },
        attempt: u32::MAX,
        retention_ms: u64::MAX,
    };
    datagrams.push(encode_origin(&began).expect("a message that can be encoded"));
    receive(&mut host(), &datagrams);
}

/// Replaces some bytes of a datagram.
fn damaged(datagram: &[u8], changes: &[(usize, u8)]) -> Vec<u8> {
    let mut bytes = datagram.to_vec();
    for (position, byte) in changes {
        let position = position % bytes.len();
        bytes[position] = *byte;
    }
    bytes
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(28),
        ..ProptestConfig::default()
    })]

    /// Guards against a malformed message that ends a whole process: the numbers in a damaged
    /// datagram may be as large as their types permit.
    #[test]
    fn damaged_datagrams_end_no_process(
        changes in prop::collection::vec(
            prop::collection::vec((0_usize..2_000, any::<u8>()), 1..12),
            1..6,
        ),
        kind in any::<bool>(),
    ) {
        let valid = if kind { state_datagram() } else { origin_datagram() };
        let mut datagrams = vec![state_datagram()];
        datagrams.extend(changes.iter().map(|changes| damaged(&valid, changes)));
        receive(&mut host(), &datagrams);
    }
}
