//! Membership views of the hosts of a zone, which each host receives with its own lag.

use std::net::SocketAddr;

use indexmap::IndexSet;
use toucancleat_core::limits::Event;
use toucancleat_core::membership::Host;
use toucancleat_core::prelude::*;

use super::{Fleet, MembershipUpdate, SimulatedHost, TOMBSTONE_MS};

impl Fleet {
    pub(super) fn view_event(
        &self,
        i: usize,
        mut live: Vec<(HostName, u64)>,
        leaving: Vec<HostName>,
        missing: usize,
    ) -> Event {
        let (own, host) = self.hosts.get_index(i).expect("the host exists");
        live.retain(|(name, _)| name != own);
        if !host.is_leaving {
            live.push((own.clone(), host.start_count));
        }
        live.sort_unstable();
        let digest = live.iter().fold(7u64, |digest, (name, start_count)| {
            let bytes = name.as_str().bytes();
            bytes.fold(digest.wrapping_mul(31) ^ start_count, |digest, byte| {
                digest.wrapping_mul(1_099_511_628_211) ^ u64::from(byte)
            })
        });
        let to_host = |(name, start_count): (HostName, u64)| Host {
            name,
            zone: host.zone.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            incarnation: Incarnation(start_count),
        };
        let live = live.into_iter().map(to_host).collect();
        Event::HostsChanged {
            view: digest,
            live,
            leaving,
            missing: Some(missing),
        }
    }

    pub(super) fn add_to_view(&mut self, i: usize) {
        self.hosts[i].is_visible = true;
        self.hosts[i].is_missing = false;
        let zone = self.hosts[i].zone.clone();
        self.schedule_view_updates(&zone);
    }

    pub(super) fn remove_from_view(&mut self, i: usize) {
        self.hosts[i].is_visible = false;
        self.hosts[i].is_missing = true;
        let zone = self.hosts[i].zone.clone();
        self.schedule_view_updates(&zone);
    }

    pub(super) fn schedule_detection(&mut self, i: usize, after_ms: u64) {
        let name = self.hosts.get_index(i).expect("the host exists").0.clone();
        let key = (self.now_ms + after_ms, self.next_serial());
        let (live, leaving, missing) = (Vec::new(), Vec::new(), usize::MAX);
        self.updates.insert(
            key,
            (
                name,
                MembershipUpdate::View {
                    live,
                    leaving,
                    missing,
                },
            ),
        );
    }

    /// Removes hosts from the views that have been down or paused for the detection time,
    /// and stops counting hosts as missing after the tombstone time.
    pub(super) fn detect_due(&mut self) {
        let due: Vec<(u64, u64)> = self
            .updates
            .range(..=(self.now_ms, u64::MAX))
            .filter(|(_, (_, update))| {
                matches!(
                    update,
                    MembershipUpdate::View {
                        missing: usize::MAX,
                        ..
                    }
                )
            })
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            let (name, _) = self.updates.remove(&key).expect("the update is due");
            let i = self.hosts.get_index_of(&name).expect("the host exists");
            let host = &mut self.hosts[i];
            let is_down = host.state.is_none() || host.is_paused;
            if is_down && host.is_visible {
                self.remove_from_view(i);
                self.schedule_detection(i, TOMBSTONE_MS);
            } else if host.state.is_none() && host.is_missing {
                host.is_missing = false;
                let zone = host.zone.clone();
                self.schedule_view_updates(&zone);
            }
        }
    }

    /// Schedules an update of the current view at each host of a zone, each after its own
    /// lag.
    pub(super) fn schedule_view_updates(&mut self, zone: &ZoneName) {
        let in_zone = |(_, host): &(&HostName, &SimulatedHost)| host.zone == *zone;
        let visible = self
            .hosts
            .iter()
            .filter(in_zone)
            .filter(|(_, host)| host.is_visible);
        let live: Vec<(HostName, u64)> = visible
            .map(|(name, host)| (name.clone(), host.start_count))
            .collect();
        let missing = self
            .hosts
            .iter()
            .filter(in_zone)
            .filter(|(_, host)| host.is_missing)
            .count();
        let leaving_hosts = self
            .hosts
            .iter()
            .filter(in_zone)
            .filter(|(_, host)| host.is_leaving);
        let leaving: Vec<HostName> =
            leaving_hosts.map(|(name, _)| name.clone()).collect();
        let members: IndexSet<usize> = (0..self.hosts.len())
            .filter(|&i| self.hosts[i].zone == *zone)
            .collect();
        for i in members {
            let (live, leaving) = (live.clone(), leaving.clone());
            self.schedule_update(
                i,
                MembershipUpdate::View {
                    live,
                    leaving,
                    missing,
                },
            );
        }
    }

    pub(super) fn schedule_update(&mut self, i: usize, update: MembershipUpdate) {
        let name = self.hosts.get_index(i).expect("the host exists").0.clone();
        // N.B. The updates of a host stay in order; half the lag leaves time for a
        // second.
        let lag_ms = self.rng.below(self.config.view_lag_ms as usize / 2) as u64;
        let last_ms = self.updates.iter().filter(|(_, (to, update))| {
            *to == name
                && !matches!(
                    update,
                    MembershipUpdate::View {
                        missing: usize::MAX,
                        ..
                    }
                )
        });
        let last_ms = last_ms.map(|((at_ms, _), _)| *at_ms).max().unwrap_or(0);
        let key = ((self.now_ms + lag_ms).max(last_ms), self.next_serial());
        self.updates.insert(key, (name, update));
    }
}
