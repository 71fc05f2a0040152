//! All hosts of a fleet start at the same moment, as after a loss of power.

mod support;

use std::collections::VecDeque;

use support::*;
use toucancleat_fleet::event::{Effect, LogEvent};
use toucancleat_fleet::peers::Message;
use toucancleat_fleet::prelude::*;
use toucancleat_fleet::store::{Query, Reply};
use toucancleat_fleet::target::TargetChange;

const TICK_MS: u64 = 25;

/// Messages that a small host handles in a tick: some 2 % of a core for 10 of them.
const HANDLED_PER_TICK: usize = 40;

/// Messages that wait in a host's socket; later ones are lost.
const SOCKET_MESSAGES: usize = 200;

/// Rows that the store writes in a tick.
const WRITES_PER_TICK: usize = 5;

/// Time from a query to its reply.
const STORE_DELAY_MS: u64 = 50;

/// A fleet whose hosts handle a bounded number of messages, in virtual time.
struct StartingFleet {
    hosts: Vec<State>,
    sockets: Vec<VecDeque<Message>>,
    replies: Vec<(u64, usize, Query)>,
    registered: Vec<bool>,
    pending_writes: VecDeque<usize>,
    targets: Vec<TargetChange>,
    now_ms: u64,
    messages_sent: usize,
    messages_lost: usize,
    log_lines: usize,
    queries: Vec<Query>,
}

impl StartingFleet {
    /// Creates a fleet whose rows are in the store already if it has run before.
    fn new(hosts: u16, targets: u16, has_run_before: bool) -> Self {
        let targets = (0..targets).map(|n| {
            let entry = entry("engines", "upp-a", n);
            change(&format!("engine-{n}"), 1, Some(entry))
        });
        StartingFleet {
            hosts: (1..=hosts)
                .map(|n| empty_host(&format!("host-{n:03}"), "upp-a", n))
                .collect(),
            sockets: vec![VecDeque::new(); hosts.into()],
            replies: Vec::new(),
            registered: vec![has_run_before; hosts.into()],
            pending_writes: VecDeque::new(),
            targets: targets.collect(),
            now_ms: START_MS,
            messages_sent: 0,
            messages_lost: 0,
            log_lines: 0,
            queries: Vec::new(),
        }
    }

    fn advance(&mut self, time_ms: u64) {
        let end_ms = self.now_ms + time_ms;
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            self.answer_queries();
            for index in 0..self.hosts.len() {
                self.handle(index, Event::Tick);
                for _ in 0..HANDLED_PER_TICK {
                    let Some(message) = self.sockets[index].pop_front() else {
                        break;
                    };
                    self.handle(index, Event::MessageReceived(Box::new(message)));
                }
            }
        }
    }

    fn answer_queries(&mut self) {
        for _ in 0..WRITES_PER_TICK {
            if let Some(index) = self.pending_writes.pop_front() {
                self.registered[index] = true;
                let event = Event::StoreReplied {
                    query: Query::Register,
                    era: Some(1),
                    evacuations: None,
                    reply: Reply::Registered,
                };
                self.handle(index, event);
            }
        }
        let now_ms = self.now_ms;
        let due = self
            .replies
            .extract_if(.., |(due_ms, _, _)| *due_ms <= now_ms);
        for (_, index, query) in due.collect::<Vec<_>>() {
            let reply = match query {
                Query::Configuration => {
                    Reply::Configuration(Some(stored(configuration(1))))
                }
                Query::Targets => Reply::Targets {
                    store_version: 10,
                    list: self.targets.clone(),
                },
                Query::Hosts => Reply::Hosts(self.listed_hosts()),
                // A write waits its turn; a feed has no changes.
                _ => continue,
            };
            self.handle(
                index,
                Event::StoreReplied {
                    query,
                    era: Some(1),
                    evacuations: None,
                    reply,
                },
            );
        }
    }

    fn listed_hosts(&self) -> Vec<std::net::SocketAddr> {
        let listed = (1_u16..).zip(&self.registered);
        let listed = listed.filter(|(_, is_registered)| **is_registered);
        listed.map(|(number, _)| address(number)).collect()
    }

    fn handle(&mut self, index: usize, event: Event) {
        let effects = apply(&mut self.hosts[index], self.now_ms, event);
        for (to, message) in messages(&effects) {
            self.messages_sent += 1;
            let Some(socket) = self.sockets.get_mut(usize::from(to.port()) - 1) else {
                continue;
            };
            if socket.len() < SOCKET_MESSAGES {
                socket.push_back(message);
            } else {
                self.messages_lost += 1;
            }
        }
        for effect in effects {
            match effect {
                Effect::QueryStore(query) => {
                    self.queries.push(query);
                    if query == Query::Register {
                        self.pending_writes.push_back(index);
                    } else {
                        self.replies
                            .push((self.now_ms + STORE_DELAY_MS, index, query));
                    }
                }
                Effect::Log(event) => {
                    self.log_lines += 1;
                    assert!(!matches!(event, LogEvent::TargetJoined { .. }));
                }
                _ => {}
            }
        }
    }

    fn count(&self, is_counted: fn(&Query) -> bool) -> usize {
        self.queries
            .iter()
            .filter(|query| is_counted(query))
            .count()
    }
}

fn is_feed(query: &Query) -> bool {
    matches!(
        query,
        Query::TargetFeed { .. } | Query::ConfigurationFeed { .. }
    )
}

/// 300 hosts of 0.12 cores that restarted wrote 300 rows to a store that writes 200 a
/// second, followed the feeds all at once and sent each other a message each 150 ms, of
/// which they could handle a tenth.
#[test]
fn fleet_that_restarts_does_not_flood_itself_or_the_store() {
    for hosts in [10_u16, 100, 300] {
        let size = usize::from(hosts);
        let mut fleet = StartingFleet::new(hosts, 2 * hosts, true);
        fleet.advance(500);
        let now_ms = fleet.now_ms;
        assert!(
            fleet.hosts.iter().all(|host| host.is_ready(now_ms)),
            "{hosts} hosts are ready"
        );
        fleet.advance(2_500);
        assert_eq!(
            fleet.count(|query| *query == Query::Register),
            0,
            "{hosts} hosts: their rows are still there"
        );
        let feeds = fleet.count(is_feed);
        assert!(feeds <= 4, "{hosts} hosts: {feeds} calls to feeds");
        let lists = fleet.count(|query| *query == Query::Targets);
        assert!(lists <= 2 * size + 10, "{hosts} hosts: {lists} lists read");
        // Each host sends all others a message when it finds them and one in each interval.
        let interval_ms = (15 * u64::from(hosts)).clamp(150, 1_200);
        let rounds = 2 + usize::try_from(3_000 / interval_ms).expect("it is small");
        let sent = fleet.messages_sent;
        assert!(
            sent <= rounds * size * size,
            "{hosts} hosts: {sent} messages"
        );
        assert!(
            fleet.messages_lost * 4 <= sent,
            "{hosts} hosts: {} of {sent} messages found a full socket",
            fleet.messages_lost
        );
        assert!(
            fleet.log_lines <= 6 * size,
            "{hosts} hosts: {} log lines",
            fleet.log_lines
        );
    }
}

/// Hosts of a new fleet read the list again after their row is written, so each pair knows
/// of each other.
#[test]
fn new_fleet_registers_each_host_once_and_connects_all() {
    let mut fleet = StartingFleet::new(60, 60, false);
    fleet.advance(4_000);
    assert_eq!(fleet.count(|query| *query == Query::Register), 60);
    fleet.queries.clear();
    fleet.advance(1_000);
    assert_eq!(fleet.count(|query| *query == Query::Hosts), 0);
    let connected = fleet.hosts.iter().filter(|host| host.fleet_size() == 60);
    assert_eq!(connected.count(), 60, "each host knows all others");
}
