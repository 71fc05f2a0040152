//! How the hosts of a zone see each other, each with its own lag.

use std::net::SocketAddr;

use indexmap::IndexSet;
use toucancleat_core::limits::Event;
use toucancleat_core::membership::Host;
use toucancleat_core::prelude::*;

use super::{Fleet, News, Node, TOMBSTONE_MS};

impl Fleet {
    pub(super) fn view(
        &self,
        i: usize,
        mut live: Vec<(HostName, u64)>,
        leaving: Vec<HostName>,
        missing: usize,
    ) -> Event {
        let (own, node) = self.nodes.get_index(i).expect("a host");
        live.retain(|(name, _)| name != own);
        if !node.leaving {
            live.push((own.clone(), node.started));
        }
        live.sort_unstable();
        let digest = live.iter().fold(7u64, |digest, (name, started)| {
            let bytes = name.as_str().bytes();
            bytes.fold(digest.wrapping_mul(31) ^ started, |digest, byte| {
                digest.wrapping_mul(1_099_511_628_211) ^ u64::from(byte)
            })
        });
        let host = |(name, started): (HostName, u64)| Host {
            name,
            zone: node.zone.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            incarnation: Incarnation(started),
        };
        let live = live.into_iter().map(host).collect();
        Event::Hosts {
            view: digest,
            live,
            leaving,
            missing: Some(missing),
        }
    }

    pub(super) fn reveal(&mut self, i: usize) {
        self.nodes[i].visible = true;
        self.nodes[i].missing = false;
        let zone = self.nodes[i].zone.clone();
        self.spread_view(&zone);
    }

    pub(super) fn hide(&mut self, i: usize) {
        self.nodes[i].visible = false;
        self.nodes[i].missing = true;
        let zone = self.nodes[i].zone.clone();
        self.spread_view(&zone);
    }

    pub(super) fn hide_after(&mut self, i: usize, after_ms: u64) {
        let name = self.nodes.get_index(i).expect("a host").0.clone();
        let key = (self.now_ms + after_ms, self.next_serial());
        let (live, leaving, missing) = (Vec::new(), Vec::new(), usize::MAX);
        self.news.insert(
            key,
            (
                name,
                News::View {
                    live,
                    leaving,
                    missing,
                },
            ),
        );
    }

    /// Hides hosts that have been down or paused for the detection time, and forgets
    /// those that ended long ago.
    pub(super) fn hide_due(&mut self) {
        let due: Vec<(u64, u64)> = self
            .news
            .range(..=(self.now_ms, u64::MAX))
            .filter(|(_, (_, news))| {
                matches!(
                    news,
                    News::View {
                        missing: usize::MAX,
                        ..
                    }
                )
            })
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            let (name, _) = self.news.remove(&key).expect("a due entry");
            let i = self.nodes.get_index_of(&name).expect("a host");
            let node = &mut self.nodes[i];
            let down = node.state.is_none() || node.paused;
            if down && node.visible {
                self.hide(i);
                self.hide_after(i, TOMBSTONE_MS);
            } else if node.state.is_none() && node.missing {
                node.missing = false;
                let zone = node.zone.clone();
                self.spread_view(&zone);
            }
        }
    }

    /// Tells each host of a zone the present view, each after its own lag.
    pub(super) fn spread_view(&mut self, zone: &ZoneName) {
        let in_zone = |(_, node): &(&HostName, &Node)| node.zone == *zone;
        let visible = self
            .nodes
            .iter()
            .filter(in_zone)
            .filter(|(_, node)| node.visible);
        let live: Vec<(HostName, u64)> = visible
            .map(|(name, node)| (name.clone(), node.started))
            .collect();
        let missing = self
            .nodes
            .iter()
            .filter(in_zone)
            .filter(|(_, node)| node.missing)
            .count();
        let left = self
            .nodes
            .iter()
            .filter(in_zone)
            .filter(|(_, node)| node.leaving);
        let leaving: Vec<HostName> = left.map(|(name, _)| name.clone()).collect();
        let members: IndexSet<usize> = (0..self.nodes.len())
            .filter(|&i| self.nodes[i].zone == *zone)
            .collect();
        for i in members {
            let (live, leaving) = (live.clone(), leaving.clone());
            self.tell_after_lag(
                i,
                News::View {
                    live,
                    leaving,
                    missing,
                },
            );
        }
    }

    pub(super) fn tell_after_lag(&mut self, i: usize, news: News) {
        let name = self.nodes.get_index(i).expect("a host").0.clone();
        // N.B. A host's news keep their order; half the lag leaves time for a second.
        let lag_ms = self.rng.below(self.config.view_lag_ms as usize / 2) as u64;
        let last_ms = self.news.iter().filter(|(_, (to, news))| {
            *to == name
                && !matches!(
                    news,
                    News::View {
                        missing: usize::MAX,
                        ..
                    }
                )
        });
        let last_ms = last_ms.map(|((at_ms, _), _)| *at_ms).max().unwrap_or(0);
        let key = ((self.now_ms + lag_ms).max(last_ms), self.next_serial());
        self.news.insert(key, (name, news));
    }
}
