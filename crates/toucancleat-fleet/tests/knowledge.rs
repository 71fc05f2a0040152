//! What hosts know of the configuration and the host list, at first and second hand.

mod support;

use indexmap::IndexSet;
use support::*;
use toucancleat_fleet::event::Effect;
use toucancleat_fleet::peers::Message;
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::store::{Query, Reply};

/// Hosts that hear each other at once.
struct Fleet {
    hosts: Vec<State>,
    now_ms: u64,
    /// Hosts that do nothing and hear nothing.
    silent: IndexSet<usize>,
    /// Hosts that have asked the store.
    asked: IndexSet<usize>,
    /// What they have asked.
    queries: Vec<Query>,
}

impl Fleet {
    /// Makes hosts of one zone that know the targets and each other.
    fn new(
        size: u16,
        targets: &[(&str, toucancleat_fleet::target::TargetEntry)],
    ) -> Self {
        let mut fleet = Fleet {
            hosts: (1..=size)
                .map(|n| unknowing(&format!("host-{n:02}"), "upp-a", n))
                .collect(),
            now_ms: START_MS,
            silent: IndexSet::new(),
            asked: IndexSet::new(),
            queries: Vec::new(),
        };
        for host in &mut fleet.hosts {
            inform(host, START_MS, targets);
            let addresses = (1..=size).map(address).collect();
            answer(host, START_MS, Query::Hosts, Reply::Hosts(addresses));
        }
        fleet.pass(1_200);
        fleet
    }

    /// Lets time pass, with answers of the store to those that ask.
    fn pass(&mut self, time_ms: u64) {
        self.pass_with(time_ms, true);
    }

    fn pass_with(&mut self, time_ms: u64, store_answers: bool) {
        let end_ms = self.now_ms + time_ms;
        while self.now_ms < end_ms {
            self.now_ms += 25;
            for place in 0..self.hosts.len() {
                if self.silent.contains(&place) {
                    continue;
                }
                let effects = apply(&mut self.hosts[place], self.now_ms, Event::Tick);
                self.carry_out(place, effects, store_answers);
            }
        }
    }

    fn carry_out(&mut self, place: usize, effects: Vec<Effect>, store_answers: bool) {
        for (to, message) in messages(&effects) {
            self.deliver(to, message);
        }
        for effect in effects {
            if let Effect::Read(query) = effect {
                self.asked.insert(place);
                self.queries.push(query);
                let reply = match query {
                    _ if !store_answers => Reply::Failed,
                    Query::Configuration => Reply::Configuration(Some(configuration(1))),
                    Query::Register => Reply::Registered,
                    Query::Hosts => Reply::Hosts(Vec::new()),
                    // Feeds and lists stay open; what they would tell is told by the tests.
                    _ => continue,
                };
                let answered = answer(&mut self.hosts[place], self.now_ms, query, reply);
                for (to, message) in messages(&answered) {
                    self.deliver(to, message);
                }
            }
        }
    }

    fn deliver(&mut self, to: std::net::SocketAddr, message: Message) {
        let place = usize::from(to.port()) - 1;
        if self.silent.contains(&place) {
            return;
        }
        if let Some(host) = self.hosts.get_mut(place) {
            apply(host, self.now_ms, Event::Heard(Box::new(message)));
        }
    }
}

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
    let mut fleet = Fleet::new(4, &[]);
    fleet.pass(2_000);
    fleet.asked.clear();
    fleet.pass(2_000);
    assert_eq!(fleet.asked, IndexSet::from([0]), "the first by name reads");
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
    fleet.pass(2_000);
    fleet.asked.clear();
    fleet.pass(2_000);
    assert_eq!(
        fleet.asked,
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
    let mut fleet = Fleet::new(3, &[]);
    fleet.pass(1_000);
    fleet.silent.extend([0, 1]);
    fleet.pass(2_000);
    fleet.queries.clear();
    fleet.pass(4_000);
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
    let mut fleet = Fleet::new(1, &[]);
    fleet.pass(1_013);
    fleet.queries.clear();
    fleet.pass(6_000);
    let looks = fleet.queries.iter().filter(|query| **query == Query::Hosts);
    assert!((1..=4).contains(&looks.count()));
}

#[test]
fn a_store_that_does_not_answer_is_asked_less_and_less() {
    let mut fleet = Fleet::new(1, &[]);
    fleet.pass_with(1_000, false);
    fleet.queries.clear();
    fleet.pass_with(10_000, false);
    let asked = fleet.queries.len();
    assert!((10..=25).contains(&asked), "{asked} in 10 s");
}

#[test]
fn keys_fail_closed_when_nobody_reaches_the_store() {
    let mut fleet = Fleet::new(3, &[("roster-1", entry("roster", "upp-a", 201))]);
    fleet.pass(1_000);
    let now_ms = fleet.now_ms;
    assert!(fleet.hosts.iter().all(|host| host.is_ready(now_ms)));
    fleet.pass_with(5_200, false);
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
    let mut fleet = Fleet::new(2, &[("roster-1", entry("roster", "upp-a", 201))]);
    fleet.pass(1_000);
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
    let mut fleet = Fleet::new(3, &[]);
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
    let mut state = unknowing("host-1", "upp-a", 1);
    inform(&mut state, START_MS, &[]);
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

#[test]
fn a_host_that_missed_a_change_asks_the_store() {
    let mut fleet = Fleet::new(2, &[("engine-1", entry("engines", "upp-a", 101))]);
    let now_ms = fleet.now_ms;
    let feed = Query::TargetFeed { after: 10 };
    let gone = Reply::TargetFeed {
        store_version: 30,
        changes: vec![change("engine-1", 30, None)],
    };
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

/// Regular messages of many hosts overtake the news of one; on a grown site each of 60
/// hosts read the store for that.
#[test]
fn a_host_that_hears_the_news_late_does_not_ask() {
    let mut fleet = Fleet::new(3, &[("engine-1", entry("engines", "upp-a", 101))]);
    let now_ms = fleet.now_ms;
    let feed = Query::TargetFeed { after: 10 };
    let gone = Reply::TargetFeed {
        store_version: 30,
        changes: vec![change("engine-1", 30, None)],
    };
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

/// On the grown site's quiet day an engine that had just joined got 14 requests for five
/// places within the time in which hosts didn't know of each other's choices.
#[test]
fn an_engine_that_joins_is_not_rushed() {
    let targets: Vec<(String, _)> = (1..=3)
        .map(|n| (format!("engine-{n}"), entry("engines", "upp-a", 100 + n)))
        .collect();
    let named: Vec<(&str, _)> = targets
        .iter()
        .map(|(name, entry)| (name.as_str(), entry.clone()))
        .collect();
    let mut fleet = Fleet::new(12, &named);
    let mut sent = indexmap::IndexMap::<TargetName, u64>::new();
    // Three engines of 20,000 tokens hold 15 drafts; 12 hosts get two each.
    for request in 0..24 {
        let place = request % 12;
        let now_ms = fleet.now_ms;
        let effects = arrive(
            &mut fleet.hosts[place],
            now_ms,
            request as u64,
            arrival("draft"),
        );
        for dispatch in dispatches(&effects) {
            *sent.entry(dispatch.target.clone()).or_default() += 1;
        }
        for (to, message) in messages(&effects) {
            fleet.deliver(to, message);
        }
    }
    assert_eq!(sent.values().sum::<u64>(), 15, "{sent:?}");
    assert!(sent.values().all(|runs| *runs == 5), "{sent:?}");
}
