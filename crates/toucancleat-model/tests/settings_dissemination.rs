//! Fleets of spreading reducers: settings in force in time, also under failure.

use toucancleat_model::settings_dissemination::Fleet;

/// Longest time until a change is in force today, with 8 entry hosts.
const IN_FORCE_TODAY_MS: u64 = 3_000;
/// Longest time until a change is in force at the target size.
const IN_FORCE_TARGET_MS: u64 = 11_000;

fn settled(zones: usize, hosts_per_zone: usize) -> Fleet<'static> {
    let mut fleet = Fleet::new(zones, hosts_per_zone, 1, &|_| 0);
    fleet.commit();
    fleet.run(20_000);
    assert_eq!(fleet.lowest_revision(), Some(1));
    fleet
}

#[test]
fn changes_are_in_force_in_time() {
    struct Case {
        name: &'static str,
        zones: usize,
        hosts_per_zone: usize,
        loss_per_mille: usize,
        bound_ms: u64,
    }
    let case = |name, zones, hosts_per_zone, loss_per_mille, bound_ms| Case {
        name,
        zones,
        hosts_per_zone,
        loss_per_mille,
        bound_ms,
    };
    let cases = [
        case("today", 4, 2, 0, IN_FORCE_TODAY_MS),
        case("24 hosts", 4, 6, 0, IN_FORCE_TARGET_MS),
        case("96 hosts", 4, 24, 0, IN_FORCE_TARGET_MS),
        case("a zone of the target size", 1, 60, 0, IN_FORCE_TARGET_MS),
        case(
            "a tenth of the messages lost",
            1,
            60,
            100,
            IN_FORCE_TARGET_MS,
        ),
    ];
    for case in cases {
        let mut fleet = settled(case.zones, case.hosts_per_zone);
        fleet.loss_per_mille = case.loss_per_mille;
        fleet.in_force_ms.clear();
        for _ in 0..20 {
            fleet.commit();
            fleet.run(700);
        }
        fleet.run(case.bound_ms);
        assert_eq!(fleet.lowest_revision(), Some(21), "{}", case.name);
        let longest_ms = fleet.in_force_ms.iter().max().copied().unwrap_or(u64::MAX);
        assert!(
            longest_ms <= case.bound_ms,
            "{}: {longest_ms} ms",
            case.name
        );
    }
}

#[test]
fn zone_cut_from_the_platform_hears_from_other_zones() {
    let mut fleet = settled(2, 4);
    fleet.cut_from_platform[1] = true;
    fleet.run(10_000);
    fleet.commit();
    fleet.run(IN_FORCE_TARGET_MS);
    assert_eq!(fleet.lowest_revision(), Some(2));
}

#[test]
fn zone_cut_from_all_keeps_its_tree_and_catches_up() {
    let mut fleet = settled(2, 4);
    fleet.cut_from_platform[1] = true;
    fleet.cut_from_zones[1] = true;
    fleet.commit();
    fleet.run(60_000);
    assert_eq!((fleet.revision(0), fleet.revision(4)), (Some(2), Some(1)));
    fleet.cut_from_platform[1] = false;
    fleet.run(IN_FORCE_TODAY_MS);
    assert_eq!(fleet.lowest_revision(), Some(2));
}

#[test]
fn host_starts_from_a_peer_while_the_platform_is_away() {
    let mut fleet = settled(2, 4);
    fleet.platform_up = false;
    fleet.run(30_000);
    fleet.restart(2);
    fleet.run(IN_FORCE_TODAY_MS);
    assert_eq!(fleet.lowest_revision(), Some(1));
}

#[test]
fn next_reader_takes_over() {
    let mut fleet = settled(1, 8);
    fleet.stop(0);
    fleet.commit();
    fleet.run(IN_FORCE_TODAY_MS);
    fleet.tell_peers();
    fleet.run(IN_FORCE_TODAY_MS);
    assert_eq!(fleet.lowest_revision(), Some(2));
}

#[test]
fn platform_reads_stay_bounded_while_it_is_away() {
    let mut fleet = settled(2, 30);
    fleet.platform_up = false;
    fleet.costs.iter_mut().for_each(|cost| cost.reads = 0);
    let hour_ms = 3_600_000;
    fleet.run(hour_ms);
    let reads: u64 = fleet.costs.iter().map(|cost| cost.reads).sum();
    // Two readers once a second, and the others by their budget of one in 30 s.
    let bound = 2 * hour_ms / 1_000 + 58 * (4 + hour_ms / 30_000);
    assert!(reads <= bound, "{reads} reads, bound {bound}");
}

#[test]
fn zone_that_restarts_at_once_is_served_within_its_budget() {
    let mut fleet = settled(2, 60);
    fleet.cut_from_zones[1] = true;
    fleet.costs.iter_mut().for_each(|cost| cost.reads = 0);
    for host in 60..120 {
        fleet.restart(host);
    }
    let begun_ms = fleet.now_ms;
    while fleet.lowest_revision().is_none() {
        fleet.run(100);
        assert!(fleet.now_ms - begun_ms <= IN_FORCE_TARGET_MS);
    }
    let reads: u64 = fleet.costs[60..].iter().map(|cost| cost.reads).sum();
    eprintln!("served after {} ms, {reads} reads", fleet.now_ms - begun_ms);
    // Each host may spend what it saves up, and the reader polls.
    assert!(reads <= 60 * 4 + 11, "{reads} reads");
}
