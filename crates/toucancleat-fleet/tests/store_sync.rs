//! The known configuration and host list, by replies of the store and by messages of
//! peers.

mod support;

use indexmap::IndexSet;
use support::fleet::Fleet;
use support::store::StoreFleet;
use support::*;
use toucancleat_fleet::event::{Effect, LogEvent};
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::store::{
    ConfigurationRow, MISSED_TARGETS_DELAY_MS, Query, Reply, StoredConfiguration,
};
use toucancleat_fleet::target::{TargetChange, TargetEntry};

/// Returns the queries among effects.
fn queries(effects: &[Effect]) -> Vec<Query> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::QueryStore(query) => Some(*query),
            _ => None,
        })
        .collect()
}

#[test]
fn one_host_reads_for_all_and_another_takes_over_when_it_is_silent() {
    let mut fleet = Fleet::new(4, &["upp-a"], &[]);
    fleet.advance(2_000);
    fleet.readers.clear();
    fleet.advance(2_000);
    assert_eq!(
        fleet.readers,
        IndexSet::from([0]),
        "the first host by name reads"
    );
    let now_ms = fleet.now_ms;
    let ages = fleet
        .hosts
        .iter()
        .map(|host| host.configuration_age_ms(now_ms));
    let ages: Vec<Option<u64>> = ages.collect();
    assert!(
        ages.iter().all(|age| age.is_some_and(|ms| ms < 1_600)),
        "its messages confirm the configuration at all hosts: {ages:?}"
    );
    fleet.silent.insert(0);
    fleet.advance(2_000);
    fleet.readers.clear();
    fleet.advance(2_000);
    assert_eq!(
        fleet.readers.len(),
        1,
        "one host has taken over: {:?}",
        fleet.readers
    );
    let now_ms = fleet.now_ms;
    let ages = fleet.hosts[1..]
        .iter()
        .map(|host| host.configuration_age_ms(now_ms));
    assert!(ages.flatten().all(|age_ms| age_ms < 1_600));
}

/// Hosts that are isolated from each other all read the store. 30 such hosts made 7,000
/// calls when each of them followed feeds.
#[test]
fn isolated_host_reads_lists_but_no_feeds() {
    let mut fleet = Fleet::new(3, &["upp-a"], &[]);
    fleet.advance(1_000);
    fleet.silent.extend([0, 1]);
    fleet.advance(2_000);
    fleet.queries.clear();
    fleet.advance(4_000);
    let feeds = |query: &&Query| {
        matches!(
            query,
            Query::TargetFeed { .. } | Query::ConfigurationFeed { .. }
        )
    };
    assert_eq!(fleet.queries.iter().filter(feeds).count(), 0);
    assert!(!fleet.queries.is_empty());
}

/// Two hosts that start at the same moment read a list that contains neither of them yet.
#[test]
fn host_without_live_peers_queries_the_host_list_again() {
    let mut fleet = Fleet::new(1, &["upp-a"], &[]);
    fleet.advance(1_013);
    fleet.queries.clear();
    fleet.advance(6_000);
    let queries = fleet.queries.iter().filter(|query| **query == Query::Hosts);
    assert!((1..=4).contains(&queries.count()));
}

#[test]
fn queries_back_off_while_the_store_does_not_answer() {
    let mut fleet = Fleet::new(1, &["upp-a"], &[]);
    fleet.advance_with(1_000, false);
    fleet.queries.clear();
    fleet.advance_with(10_000, false);
    let queries = fleet.queries.len();
    assert!((10..=25).contains(&queries), "{queries} queries in 10 s");
}

#[test]
fn keys_are_refused_when_no_host_reaches_the_store() {
    let mut fleet = Fleet::new(
        3,
        &["upp-a"],
        &[("roster-1", entry("roster", "upp-a", 201))],
    );
    fleet.advance(1_000);
    let now_ms = fleet.now_ms;
    assert!(fleet.hosts.iter().all(|host| host.is_ready(now_ms)));
    fleet.advance_with(5_200, false);
    let now_ms = fleet.now_ms;
    for host in &mut fleet.hosts {
        assert!(!host.is_ready(now_ms));
        let effects = receive_request(host, now_ms, 1, incoming_request("lookup"));
        assert_eq!(refusals(&effects)[0].reason, Reason::StaleConfiguration);
    }
}

/// A host that was suspended finds messages in its socket that were sent before its
/// suspension. What they confirm is as old as that.
#[test]
fn delayed_message_does_not_confirm_the_configuration() {
    let mut fleet = Fleet::new(
        2,
        &["upp-a"],
        &[("roster-1", entry("roster", "upp-a", 201))],
    );
    fleet.advance(1_000);
    let suspended_ms = fleet.now_ms;
    let effects = apply(&mut fleet.hosts[0], suspended_ms + 200, Event::Tick);
    let delayed = messages(&effects)
        .into_iter()
        .find(|(to, _)| *to == address(2));
    let (_, delayed) = delayed.expect("a message is sent to the other host");
    let resumed_ms = suspended_ms + 6_000;
    let host = &mut fleet.hosts[1];
    apply(host, resumed_ms, Event::MessageReceived(Box::new(delayed)));
    let effects = receive_request(host, resumed_ms, 1, incoming_request("lookup"));
    assert_eq!(refusals(&effects)[0].reason, Reason::StaleConfiguration);
}

#[test]
fn newer_configuration_is_in_force_at_once_and_is_never_replaced_by_an_older_one() {
    let mut fleet = Fleet::new(3, &["upp-a"], &[]);
    let now_ms = fleet.now_ms;
    let feed = Query::ConfigurationFeed { after: 10 };
    let newer = Reply::ConfigurationFeed {
        store_version: 20,
        configuration: Some(stored(configuration(7))),
    };
    let effects = answer(&mut fleet.hosts[0], now_ms, feed, newer);
    for (to, message) in messages(&effects) {
        fleet.deliver(to, message);
    }
    let versions = |fleet: &Fleet| {
        let version = |host: &State| host.configuration().map(|known| known.version);
        fleet.hosts.iter().map(version).collect::<Vec<_>>()
    };
    assert_eq!(versions(&fleet), [Some(7); 3]);
    // Late replies and late messages with the previous version.
    for host in &mut fleet.hosts {
        let older = Reply::Configuration(Some(stored(configuration(1))));
        answer(host, now_ms + 10, Query::Configuration, older);
    }
    assert_eq!(versions(&fleet), [Some(7); 3]);
}

#[test]
fn older_reply_does_not_confirm_a_newer_configuration() {
    let mut state = empty_host("host-1", "upp-a", 1);
    populate(&mut state, START_MS, &[]);
    let feed = Query::ConfigurationFeed { after: 10 };
    let newer = Reply::ConfigurationFeed {
        store_version: 20,
        configuration: Some(stored(configuration(7))),
    };
    answer(&mut state, START_MS, feed, newer);
    let older = Reply::Configuration(Some(stored(configuration(1))));
    answer(&mut state, START_MS + 3_000, Query::Configuration, older);
    assert_eq!(state.configuration_age_ms(START_MS + 3_000), Some(3_000));
}

/// Returns a feed query and a reply to it that removes an engine.
fn engine_removed() -> (Query, Reply) {
    let removal = Reply::TargetFeed {
        store_version: 30,
        changes: vec![change("engine-1", 30, None)],
    };
    (Query::TargetFeed { after: 10 }, removal)
}

#[test]
fn host_that_missed_a_change_queries_the_store() {
    let mut fleet = Fleet::new(
        2,
        &["upp-a"],
        &[("engine-1", entry("engines", "upp-a", 101))],
    );
    let now_ms = fleet.now_ms;
    let (feed, removal) = engine_removed();
    // The update itself is lost; the next periodic message reveals that there was one.
    answer(&mut fleet.hosts[0], now_ms, feed, removal);
    let effects = apply(&mut fleet.hosts[0], now_ms + 200, Event::Tick);
    for (to, message) in messages(&effects) {
        fleet.deliver(to, message);
    }
    let effects = apply(&mut fleet.hosts[1], now_ms + 210, Event::Tick);
    assert!(
        queries(&effects).is_empty(),
        "the update may only be delayed"
    );
    let missed_ms = now_ms + 200 + MISSED_TARGETS_DELAY_MS;
    let effects = apply(&mut fleet.hosts[1], missed_ms, Event::Tick);
    assert!(queries(&effects).is_empty(), "the reader may send it yet");
    let effects = apply(&mut fleet.hosts[1], missed_ms + 25, Event::Tick);
    assert!(queries(&effects).contains(&Query::Targets));
}

/// If each host that starts, or reads a change for itself, sends the complete
/// configuration to all others, links are saturated. Seen with 300 hosts.
#[test]
fn only_the_reader_broadcasts_a_configuration() {
    struct Case {
        name: &'static str,
        /// Index of the host. The first one reads for all.
        index: usize,
        is_sent: bool,
    }
    let cases = [
        Case {
            name: "the reader reads a change",
            index: 0,
            is_sent: true,
        },
        Case {
            name: "another host reads a change that it missed",
            index: 1,
            is_sent: false,
        },
    ];
    let sends_update = |effects: &[Effect]| {
        let mut messages = messages(effects).into_iter();
        messages.any(|(_, message)| message.update.is_some())
    };
    for case in cases {
        let mut fleet = Fleet::new(2, &["upp-a"], &[]);
        let now_ms = fleet.now_ms;
        let reply = Reply::Configuration(Some(stored(configuration(2))));
        let host = &mut fleet.hosts[case.index];
        let effects = answer(host, now_ms, Query::Configuration, reply);
        assert_eq!(sends_update(&effects), case.is_sent, "{}", case.name);
    }
    let mut starting = empty_host("host-1", "upp-a", 1);
    let addresses = Reply::Hosts(vec![address(2)]);
    answer(&mut starting, START_MS, Query::Hosts, addresses);
    let first = Reply::Configuration(Some(stored(configuration(1))));
    let effects = answer(&mut starting, START_MS, Query::Configuration, first);
    assert!(
        !sends_update(&effects),
        "the first configuration of a starting host"
    );
}

/// Periodic messages of many hosts overtake the update of one. Seen with 60 hosts, each
/// of which then read the store.
#[test]
fn host_that_receives_an_update_late_does_not_query_the_store() {
    let mut fleet = Fleet::new(
        3,
        &["upp-a"],
        &[("engine-1", entry("engines", "upp-a", 101))],
    );
    let now_ms = fleet.now_ms;
    let (feed, removal) = engine_removed();
    let update = answer(&mut fleet.hosts[0], now_ms, feed, removal);
    let periodic = apply(&mut fleet.hosts[0], now_ms + 200, Event::Tick);
    for (to, message) in messages(&periodic) {
        fleet.deliver(to, message);
    }
    apply(&mut fleet.hosts[1], now_ms + 210, Event::Tick);
    for (to, message) in messages(&update) {
        fleet.deliver(to, message);
    }
    let effects = apply(&mut fleet.hosts[1], now_ms + 400, Event::Tick);
    assert!(!queries(&effects).contains(&Query::Targets));
}

/// Each host reads the list at another version when all start together. Seen with 195 hosts,
/// all of which read it again.
#[test]
fn host_that_read_the_same_list_earlier_does_not_read_it_again() {
    let mut fleet = Fleet::new(2, &["upp-a"], &[]);
    let now_ms = fleet.now_ms;
    let list = vec![change("engine-1", 15, Some(entry("engines", "upp-a", 101)))];
    for (index, store_version) in [(0, 40), (1, 20)] {
        let reply = Reply::Targets {
            store_version,
            list: list.clone(),
        };
        answer(&mut fleet.hosts[index], now_ms, Query::Targets, reply);
    }
    fleet.queries.clear();
    fleet.readers.clear();
    fleet.advance(1_500);
    assert_eq!(fleet.readers, IndexSet::from([0]), "only the reader reads");
    // A list that differs is still noticed.
    let (feed, removal) = engine_removed();
    let reply = match removal {
        Reply::TargetFeed { changes, .. } => Reply::TargetFeed {
            store_version: 50,
            changes: changes
                .into_iter()
                .map(|change| toucancleat_fleet::target::TargetChange {
                    store_version: 50,
                    ..change
                })
                .collect(),
        },
        other => other,
    };
    answer(&mut fleet.hosts[0], fleet.now_ms, feed, reply);
    fleet.readers.clear();
    fleet.advance(1_500);
    assert!(fleet.readers.contains(&1), "the change itself was lost");
}

/// With 195 hosts, one host after another took over from the last and none gave up: they
/// made 97 reads of each list in the last two seconds of an outage of eight.
#[test]
fn calls_to_a_store_that_is_down_do_not_grow_with_the_fleet() {
    for hosts in [3, 30, 90] {
        let mut fleet = Fleet::new(hosts, &["upp-a", "upp-b"], &[]);
        fleet.advance(2_000);
        fleet.queries.clear();
        fleet.advance_with(9_000, false);
        let calls = fleet.queries.len();
        // A turn begins each 150 ms, or each second for each host of a small fleet.
        assert!(calls <= 70, "{hosts} hosts: {calls} calls in 9 s");
        fleet.queries.clear();
        fleet.advance(600);
        assert!(
            !fleet.queries.is_empty(),
            "{hosts} hosts: the store is tried"
        );
        fleet.advance(1_000);
        let now_ms = fleet.now_ms;
        let ages = fleet
            .hosts
            .iter()
            .map(|host| host.configuration_age_ms(now_ms));
        assert!(
            ages.flatten().all(|age_ms| age_ms <= 1_600),
            "{hosts} hosts: the configuration is confirmed soon after the outage"
        );
    }
}

/// The store refuses some hosts and answers others.
#[test]
fn host_that_the_store_answers_takes_over_from_hosts_that_it_refuses() {
    let mut fleet = Fleet::new(9, &["upp-a"], &[]);
    fleet.advance(2_000);
    fleet.refused.extend(0..6);
    fleet.advance(3_500);
    fleet.readers.clear();
    fleet.advance(3_000);
    let answered = fleet.readers.iter().filter(|index| **index >= 6);
    assert_eq!(answered.count(), 1, "one host reads: {:?}", fleet.readers);
    let now_ms = fleet.now_ms;
    let ages = fleet
        .hosts
        .iter()
        .map(|host| host.configuration_age_ms(now_ms));
    assert!(ages.flatten().all(|age_ms| age_ms <= 1_600));
}

#[test]
fn invalid_configuration_is_logged_once_and_the_last_valid_one_stays_in_force() {
    let mut state = empty_host("host-1", "upp-a", 1);
    populate(
        &mut state,
        START_MS,
        &[("roster-1", entry("roster", "upp-a", 201))],
    );
    let mut log_lines = 0;
    for pause_ms in [100, 900, 1_700] {
        let invalid = Reply::InvalidConfiguration {
            store_version: 20,
            problem: "missing field `version`".to_owned(),
        };
        let now_ms = START_MS + pause_ms;
        let effects = answer(&mut state, now_ms, Query::Configuration, invalid);
        log_lines += effects
            .iter()
            .filter(|effect| {
                matches!(effect, Effect::Log(LogEvent::ConfigurationRejected { .. }))
            })
            .count();
        let effects =
            receive_request(&mut state, now_ms, pause_ms, incoming_request("lookup"));
        assert_eq!(
            dispatches(&effects).len(),
            1,
            "the last valid one is in force"
        );
    }
    assert_eq!(log_lines, 1);
    // The rejected configuration may have withdrawn the key.
    let late_ms = START_MS + 5_100;
    let effects = receive_request(&mut state, late_ms, 9, incoming_request("lookup"));
    assert_eq!(refusals(&effects)[0].reason, Reason::StaleConfiguration);
    let valid = Reply::Configuration(Some(stored(configuration(8))));
    answer(&mut state, late_ms, Query::Configuration, valid);
    let effects = receive_request(&mut state, late_ms, 10, incoming_request("lookup"));
    assert_eq!(
        dispatches(&effects).len(),
        1,
        "a later valid one is put in force"
    );
}

/// The host that takes over from a reader that was cut off finds in the complete list what
/// happened meanwhile. It did not send it to its peers: with 68 of 195 hosts cut off from the
/// store, these dispatched to engines that had announced their leaving for four seconds.
#[test]
fn changes_that_a_reader_finds_in_the_list_are_sent_to_its_peers() {
    struct Case {
        name: &'static str,
        /// Index of the host that reads the list. The first one reads for all.
        index: usize,
        is_sent: bool,
    }
    let cases = [
        Case {
            name: "the reader",
            index: 0,
            is_sent: true,
        },
        Case {
            name: "a host that only makes up for a change that it missed",
            index: 1,
            is_sent: false,
        },
    ];
    for case in cases {
        let engine = entry("engines", "upp-a", 101);
        let mut fleet = Fleet::new(3, &["upp-a"], &[("engine-1", engine.clone())]);
        let leaving = toucancleat_fleet::target::TargetEntry {
            is_leaving: true,
            ..engine
        };
        let reply = Reply::Targets {
            store_version: 40,
            list: vec![change("engine-1", 35, Some(leaving))],
        };
        let now_ms = fleet.now_ms;
        let effects = answer(&mut fleet.hosts[case.index], now_ms, Query::Targets, reply);
        let sent = messages(&effects);
        let to_last_host = sent.into_iter().find(|(to, _)| *to == address(3));
        let is_sent = to_last_host.is_some_and(|(_, message)| {
            let event = Event::MessageReceived(Box::new(message));
            let effects = apply(&mut fleet.hosts[2], now_ms, event);
            effects.iter().any(|effect| {
                matches!(effect, Effect::Log(LogEvent::TargetLeaving { .. }))
            })
        });
        assert_eq!(is_sent, case.is_sent, "{}", case.name);
    }
}

/// A host that has just started knows a change some 100 ms before the reader receives it with
/// the feed. While 69 of 195 hosts restarted in turn, all others read the complete list each
/// time.
#[test]
fn host_that_starts_does_not_make_all_others_read_the_list() {
    let engine = entry("engines", "upp-a", 101);
    let mut fleet = Fleet::new(4, &["upp-a"], &[("engine-1", engine.clone())]);
    let leaving = toucancleat_fleet::target::TargetEntry {
        is_leaving: true,
        ..engine
    };
    let changes = vec![change("engine-1", 35, Some(leaving))];
    let list = Reply::Targets {
        store_version: 40,
        list: changes.clone(),
    };
    let now_ms = fleet.now_ms;
    answer(&mut fleet.hosts[3], now_ms, Query::Targets, list);
    fleet.readers.clear();
    fleet.queries.clear();
    // The messages of the started host reach the others before the reader's next call.
    fleet.advance(200);
    let feed = Reply::TargetFeed {
        store_version: 41,
        changes,
    };
    let now_ms = fleet.now_ms;
    let query = Query::TargetFeed { after: 10 };
    let effects = answer(&mut fleet.hosts[0], now_ms, query, feed);
    fleet.execute(0, effects, true);
    fleet.advance(1_500);
    let is_list = |query: &&Query| **query == Query::Targets;
    let lists = fleet.queries.iter().filter(is_list).count();
    assert!(lists <= 2, "{lists} lists read, by {:?}", fleet.readers);
    assert_eq!(fleet.readers, IndexSet::from([0]), "only the reader reads");
}

/// The reader's zone is cut off, and the names of its hosts precede all others. The hosts of
/// the other zones waited until those were no longer live, and then all of them took over.
#[test]
fn one_host_takes_over_soon_when_the_zone_of_the_reader_is_cut_off() {
    let mut fleet = Fleet::new(90, &["esk-a", "gav-a", "ore-a"], &[]);
    fleet.rename(|zone, number| format!("frontend-{zone}-{number:02}"));
    fleet.advance(4_000);
    let cut: Vec<usize> = (0..fleet.hosts.len()).step_by(3).collect();
    fleet.readers.clear();
    fleet.advance(1_000);
    assert!(
        fleet.readers.iter().all(|index| cut.contains(index)),
        "the reader's zone"
    );
    fleet.silent.extend(cut);
    // Messages are sent each 1.2 s, and a reader counts as silent after two intervals.
    fleet.advance(2_400);
    fleet.readers.clear();
    fleet.queries.clear();
    fleet.advance(1_000);
    assert!(!fleet.readers.is_empty(), "a host of the other zones reads");
    fleet.advance(4_000);
    let readers = fleet.readers.len();
    assert!(readers <= 3, "{readers} of 60 hosts have become readers");
}

/// Hosts that had their turn while the store was down take part again once it answers. If
/// they did not, the turns of a whole outage would pass before anybody succeeds the reader.
#[test]
fn reader_that_is_lost_after_an_outage_is_succeeded_as_usual() {
    let mut fleet = Fleet::new(90, &["upp-a", "upp-b"], &[]);
    fleet.advance(2_000);
    fleet.advance_with(9_000, false);
    fleet.advance(1_000);
    fleet.readers.clear();
    fleet.advance(1_000);
    let lost = fleet.readers.clone();
    assert!((1..=3).contains(&lost.len()), "few hosts read: {lost:?}");
    fleet.silent.extend(lost);
    // Two message intervals until the reader counts as silent, and a few turns.
    fleet.advance(4_000);
    fleet.readers.clear();
    fleet.advance(1_000);
    let readers = fleet.readers.len();
    assert!(
        (1..=3).contains(&readers),
        "{readers} hosts have taken over"
    );
    let now_ms = fleet.now_ms;
    let live = (0..fleet.hosts.len()).filter(|index| !fleet.silent.contains(index));
    let mut ages = live.map(|index| fleet.hosts[index].configuration_age_ms(now_ms));
    assert!(ages.all(|age| age.is_some_and(|age_ms| age_ms < 5_000)));
}

/// Guards against a reader that reads a long configuration again and again only to learn that
/// it hasn't changed. A reader on a slow link had its link busy with it, and confirmed the
/// configuration too late to deny unknown routes.
#[test]
fn a_long_configuration_is_read_only_when_it_has_changed() {
    struct Case {
        name: &'static str,
        bytes: usize,
        prepare: fn(&mut StoreFleet),
        /// Complete reads and checks in eight seconds in which nothing changes.
        reads: std::ops::RangeInclusive<usize>,
        checks: std::ops::RangeInclusive<usize>,
    }
    let cases = [
        Case {
            name: "long",
            bytes: 1_000_000,
            prepare: |_| {},
            reads: 0..=0,
            checks: 8..=12,
        },
        Case {
            name: "short",
            bytes: 10_000,
            prepare: |_| {},
            reads: 8..=12,
            checks: 0..=0,
        },
        Case {
            name: "long, the store doesn't answer conditional calls",
            bytes: 1_000_000,
            prepare: |fleet| fleet.answers_checks = false,
            reads: 7..=12,
            checks: 0..=2,
        },
        Case {
            name: "long, the feeds are silent",
            bytes: 1_000_000,
            prepare: |fleet| fleet.silent_feeds = true,
            reads: 0..=0,
            checks: 8..=12,
        },
    ];
    for case in cases {
        let name = case.name;
        let mut fleet = StoreFleet::new(4, &["upp-a"], &[]);
        fleet.rows.configuration_bytes = case.bytes;
        fleet.rows.write_configuration(2);
        fleet.advance(3_000);
        (case.prepare)(&mut fleet);
        fleet.advance(2_000);
        fleet.calls.clear();
        let mut highest_age_ms = Some(0);
        for _ in 0..80 {
            fleet.advance(100);
            highest_age_ms = highest_age_ms.max(fleet.highest_age_ms());
        }
        let calls = |query: &str| fleet.calls.get(query).copied().unwrap_or_default();
        let (reads, checks) = (calls("configuration"), calls("configuration check"));
        assert!(case.reads.contains(&reads), "{name}: {reads} reads");
        assert!(case.checks.contains(&checks), "{name}: {checks} checks");
        assert!(
            highest_age_ms < Some(2_500),
            "{name}: {highest_age_ms:?} ms"
        );
        fleet.rows.write_configuration(3);
        fleet.advance(1_800);
        assert_eq!(
            fleet.versions(),
            [3; 4],
            "{name}: the next version is in force"
        );
    }
}

/// Guards against a check that confirms a configuration which a peer's change has replaced
/// since, or that the store has replaced by another in a new era.
#[test]
fn a_check_confirms_only_the_configuration_that_it_was_about() {
    let mut fleet = StoreFleet::new(1, &["upp-a"], &[]);
    fleet.rows.configuration_bytes = 1_000_000;
    fleet.rows.write_configuration(5);
    fleet.advance(2_000);
    let row_version = fleet.rows.configuration.1;
    let now_ms = fleet.now_ms;
    let host = &mut fleet.hosts[0];
    // The host reads a newer version while the check of the older one is on its way.
    let newer = Reply::Configuration(Some(StoredConfiguration {
        configuration: configuration(6),
        row: ConfigurationRow {
            version: row_version + 1,
            size_bytes: 1_000_000,
        },
    }));
    answer(host, now_ms, Query::Configuration, newer);
    let confirmed_before = host.configuration_age_ms(now_ms + 900);
    let check = Query::ConfigurationCheck { row_version };
    answer(host, now_ms + 900, check, Reply::ConfigurationUnchanged);
    let confirmed_after = host.configuration_age_ms(now_ms + 900);
    assert_eq!(confirmed_after, confirmed_before);
    let check = Query::ConfigurationCheck {
        row_version: row_version + 1,
    };
    answer(host, now_ms + 900, check, Reply::ConfigurationUnchanged);
    assert_eq!(host.configuration_age_ms(now_ms + 900), Some(0));
}

/// Guards against a list that was on its way while a peer's message showed that a target
/// leaves: the list is older, but not older than the position that the host knows, since the
/// host also lacks another change.
#[test]
fn a_list_on_its_way_reverts_no_change_that_a_peer_has_sent() {
    struct Case {
        name: &'static str,
        /// The change that the peer sends, at version 14.
        sent: Option<TargetEntry>,
        is_used: bool,
    }
    let leaving = TargetEntry {
        is_leaving: true,
        ..entry("roster", "upp-a", 201)
    };
    let cases = [
        Case {
            name: "leaving",
            sent: Some(leaving),
            is_used: false,
        },
        Case {
            name: "gone",
            sent: None,
            is_used: false,
        },
    ];
    for case in cases {
        let targets = [
            ("roster-1", entry("roster", "upp-a", 201)),
            ("roster-2", entry("roster", "upp-a", 202)),
        ];
        let mut fleet = Fleet::new(2, &["upp-a"], &targets);
        let now_ms = fleet.now_ms;
        let feed = |after, name, version, entry| {
            let reply = Reply::TargetFeed {
                store_version: version,
                changes: vec![change(name, version, entry)],
            };
            (Query::TargetFeed { after }, reply)
        };
        // The second host doesn't receive that a target joins.
        let joined = entry("roster", "upp-a", 203);
        let (query, reply) = feed(10, "roster-3", 12, Some(joined.clone()));
        answer(&mut fleet.hosts[0], now_ms, query, reply);
        let (query, reply) = feed(12, "roster-1", 14, case.sent);
        let effects = answer(&mut fleet.hosts[0], now_ms + 10, query, reply);
        for (to, message) in messages(&effects) {
            fleet.deliver(to, message);
        }
        // Its list was read in between.
        let mut list: Vec<TargetChange> = targets
            .iter()
            .map(|(name, entry)| change(name, 1, Some(entry.clone())))
            .collect();
        list.push(change("roster-3", 12, Some(joined)));
        let reply = Reply::Targets {
            store_version: 13,
            list,
        };
        let host = &mut fleet.hosts[1];
        answer(host, now_ms + 20, Query::Targets, reply);
        let used = targets_of(host, now_ms + 30, "lookup");
        let is_used = |target: &str| used.iter().any(|name| name == target);
        assert_eq!(is_used("roster-1"), case.is_used, "{}", case.name);
        assert!(is_used("roster-3"), "{}: the list is applied", case.name);
    }
}
