//! What hosts know of the configuration and the host list, at first and second hand.

mod support;

use indexmap::IndexSet;
use support::fleet::Fleet;
use support::*;
use toucancleat_fleet::event::Effect;
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::store::{Query, Reply};

/// Returns the reads among effects.
fn reads(effects: &[Effect]) -> Vec<Query> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Read(query) => Some(*query),
            _ => None,
        })
        .collect()
}

#[test]
fn one_host_reads_for_all_and_another_takes_over() {
    let mut fleet = Fleet::new(4, &["upp-a"], &[]);
    fleet.advance(2_000);
    fleet.readers.clear();
    fleet.advance(2_000);
    assert_eq!(
        fleet.readers,
        IndexSet::from([0]),
        "the first by name reads"
    );
    let now_ms = fleet.now_ms;
    let ages = fleet
        .hosts
        .iter()
        .map(|host| host.configuration_age_ms(now_ms));
    let ages: Vec<Option<u64>> = ages.collect();
    assert!(
        ages.iter().all(|age| age.is_some_and(|ms| ms < 1_600)),
        "all know through it that nothing has changed: {ages:?}"
    );
    fleet.silent.insert(0);
    fleet.advance(2_000);
    fleet.readers.clear();
    fleet.advance(2_000);
    assert_eq!(
        fleet.readers,
        IndexSet::from([1]),
        "the second has taken over"
    );
    let now_ms = fleet.now_ms;
    let ages = fleet.hosts[1..]
        .iter()
        .map(|host| host.configuration_age_ms(now_ms));
    assert!(ages.flatten().all(|age_ms| age_ms < 1_600));
}

/// On a grown site 30 hosts that were cut off from each other made 7,000 calls.
#[test]
fn a_host_that_is_cut_off_alone_reads_lists_only() {
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

/// Two hosts that start at the same moment read a list on which neither stands yet.
#[test]
fn a_host_that_hears_nobody_looks_for_others_again() {
    let mut fleet = Fleet::new(1, &["upp-a"], &[]);
    fleet.advance(1_013);
    fleet.queries.clear();
    fleet.advance(6_000);
    let looks = fleet.queries.iter().filter(|query| **query == Query::Hosts);
    assert!((1..=4).contains(&looks.count()));
}

#[test]
fn a_store_that_does_not_answer_is_asked_less_and_less() {
    let mut fleet = Fleet::new(1, &["upp-a"], &[]);
    fleet.advance_with(1_000, false);
    fleet.queries.clear();
    fleet.advance_with(10_000, false);
    let asked = fleet.queries.len();
    assert!((10..=25).contains(&asked), "{asked} in 10 s");
}

#[test]
fn keys_fail_closed_when_nobody_reaches_the_store() {
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
        let effects = arrive(host, now_ms, 1, arrival("lookup"));
        assert_eq!(refusals(&effects)[0].reason, Reason::StaleConfiguration);
    }
}

/// A host that was suspended finds messages in its socket that were new when it fell
/// asleep; what they say is as old as its sleep.
#[test]
fn a_message_that_waited_proves_nothing_about_now() {
    let mut fleet = Fleet::new(
        2,
        &["upp-a"],
        &[("roster-1", entry("roster", "upp-a", 201))],
    );
    fleet.advance(1_000);
    let asleep_ms = fleet.now_ms;
    let effects = apply(&mut fleet.hosts[0], asleep_ms + 200, Event::Tick);
    let waiting = messages(&effects)
        .into_iter()
        .find(|(to, _)| *to == address(2));
    let (_, waiting) = waiting.expect("the other host is told something");
    let awake_ms = asleep_ms + 6_000;
    let host = &mut fleet.hosts[1];
    apply(host, awake_ms, Event::Heard(Box::new(waiting)));
    let effects = arrive(host, awake_ms, 1, arrival("lookup"));
    assert_eq!(refusals(&effects)[0].reason, Reason::StaleConfiguration);
}

#[test]
fn a_newer_configuration_is_in_force_at_once_and_never_goes_back() {
    let mut fleet = Fleet::new(3, &["upp-a"], &[]);
    let now_ms = fleet.now_ms;
    let feed = Query::ConfigurationFeed { after: 10 };
    let newer = Reply::ConfigurationFeed {
        store_version: 20,
        configuration: Some(configuration(7)),
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
    // Late answers and late messages with the version before.
    for host in &mut fleet.hosts {
        let older = Reply::Configuration(Some(configuration(1)));
        answer(host, now_ms + 10, Query::Configuration, older);
    }
    assert_eq!(versions(&fleet), [Some(7); 3]);
}

#[test]
fn an_older_answer_does_not_confirm_the_newer_configuration() {
    let mut state = empty_host("host-1", "upp-a", 1);
    populate(&mut state, START_MS, &[]);
    let feed = Query::ConfigurationFeed { after: 10 };
    let newer = Reply::ConfigurationFeed {
        store_version: 20,
        configuration: Some(configuration(7)),
    };
    answer(&mut state, START_MS, feed, newer);
    let older = Reply::Configuration(Some(configuration(1)));
    answer(&mut state, START_MS + 3_000, Query::Configuration, older);
    assert_eq!(state.configuration_age_ms(START_MS + 3_000), Some(3_000));
}

/// Returns a feed's news that an engine is gone.
fn engine_is_gone() -> (Query, Reply) {
    let gone = Reply::TargetFeed {
        store_version: 30,
        changes: vec![change("engine-1", 30, None)],
    };
    (Query::TargetFeed { after: 10 }, gone)
}

#[test]
fn a_host_that_missed_a_change_asks_the_store() {
    let mut fleet = Fleet::new(
        2,
        &["upp-a"],
        &[("engine-1", entry("engines", "upp-a", 101))],
    );
    let now_ms = fleet.now_ms;
    let (feed, gone) = engine_is_gone();
    // The news itself is lost; the next regular message tells that there was some.
    answer(&mut fleet.hosts[0], now_ms, feed, gone);
    let effects = apply(&mut fleet.hosts[0], now_ms + 200, Event::Tick);
    for (to, message) in messages(&effects) {
        fleet.deliver(to, message);
    }
    let effects = apply(&mut fleet.hosts[1], now_ms + 210, Event::Tick);
    assert!(reads(&effects).is_empty(), "the news may only be late");
    let effects = apply(&mut fleet.hosts[1], now_ms + 300, Event::Tick);
    assert!(reads(&effects).contains(&Query::Targets));
}

/// In a sweep with 300 hosts each that started, or read a change for itself, told all others the
/// whole configuration; links were full of it.
#[test]
fn only_the_reader_tells_of_a_configuration() {
    struct Case {
        name: &'static str,
        /// The host; the first one reads for all.
        index: usize,
        is_told: bool,
    }
    let cases = [
        Case {
            name: "the reader reads a change",
            index: 0,
            is_told: true,
        },
        Case {
            name: "another host reads what it has missed",
            index: 1,
            is_told: false,
        },
    ];
    let tells = |effects: &[Effect]| {
        let mut messages = messages(effects).into_iter();
        messages.any(|(_, message)| message.update.is_some())
    };
    for case in cases {
        let mut fleet = Fleet::new(2, &["upp-a"], &[]);
        let now_ms = fleet.now_ms;
        let reply = Reply::Configuration(Some(configuration(2)));
        let host = &mut fleet.hosts[case.index];
        let effects = answer(host, now_ms, Query::Configuration, reply);
        assert_eq!(tells(&effects), case.is_told, "{}", case.name);
    }
    let mut starting = empty_host("host-1", "upp-a", 1);
    let addresses = Reply::Hosts(vec![address(2)]);
    answer(&mut starting, START_MS, Query::Hosts, addresses);
    let first = Reply::Configuration(Some(configuration(1)));
    let effects = answer(&mut starting, START_MS, Query::Configuration, first);
    assert!(!tells(&effects), "the first one of a host that starts");
}

/// Regular messages of many hosts overtake the news of one; on a grown site each of 60
/// hosts read the store for that.
#[test]
fn a_host_that_hears_the_news_late_does_not_ask() {
    let mut fleet = Fleet::new(
        3,
        &["upp-a"],
        &[("engine-1", entry("engines", "upp-a", 101))],
    );
    let now_ms = fleet.now_ms;
    let (feed, gone) = engine_is_gone();
    let news = answer(&mut fleet.hosts[0], now_ms, feed, gone);
    let regular = apply(&mut fleet.hosts[0], now_ms + 200, Event::Tick);
    for (to, message) in messages(&regular) {
        fleet.deliver(to, message);
    }
    apply(&mut fleet.hosts[1], now_ms + 210, Event::Tick);
    for (to, message) in messages(&news) {
        fleet.deliver(to, message);
    }
    let effects = apply(&mut fleet.hosts[1], now_ms + 400, Event::Tick);
    assert!(!reads(&effects).contains(&Query::Targets));
}
