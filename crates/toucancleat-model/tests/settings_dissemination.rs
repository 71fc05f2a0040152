//! Dissemination over simulated fleets: changes are in force in time, also during faults.

use toucancleat_model::settings_dissemination::Fleet;

/// Longest time until a change is in force at today's size of 8 entry hosts.
const IN_FORCE_CURRENT_SIZE_MS: u64 = 3_000;
/// Longest time until a change is in force at the target size, also with message loss.
const IN_FORCE_TARGET_SIZE_MS: u64 = 11_000;

fn settled_fleet(zones: usize, hosts_per_zone: usize) -> Fleet<'static> {
    let mut fleet = Fleet::new(zones, hosts_per_zone, 1, &|_| 0);
    fleet.commit_change();
    fleet.advance_ms(20_000);
    assert_eq!(fleet.lowest_revision(), Some(1));
    fleet
}

#[test]
fn changes_are_never_in_force_too_late() {
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
        case("8 hosts", 4, 2, 0, IN_FORCE_CURRENT_SIZE_MS),
        case("24 hosts", 4, 6, 0, IN_FORCE_TARGET_SIZE_MS),
        case("96 hosts", 4, 24, 0, IN_FORCE_TARGET_SIZE_MS),
        case(
            "one zone of the target size, 60 hosts",
            1,
            60,
            0,
            IN_FORCE_TARGET_SIZE_MS,
        ),
        case(
            "one zone with a tenth of the messages lost",
            1,
            60,
            100,
            IN_FORCE_TARGET_SIZE_MS,
        ),
    ];
    for case in cases {
        let mut fleet = settled_fleet(case.zones, case.hosts_per_zone);
        fleet.loss_per_mille = case.loss_per_mille;
        fleet.in_force_ms.clear();
        for _ in 0..20 {
            fleet.commit_change();
            fleet.advance_ms(700);
        }
        fleet.advance_ms(case.bound_ms);
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
fn zone_isolated_from_the_platform_receives_changes_from_other_zones() {
    let mut fleet = settled_fleet(2, 4);
    fleet.isolated_from_platform[1] = true;
    fleet.advance_ms(10_000);
    fleet.commit_change();
    fleet.advance_ms(IN_FORCE_TARGET_SIZE_MS);
    assert_eq!(fleet.lowest_revision(), Some(2));
}

#[test]
fn zone_isolated_from_everything_keeps_its_tree_and_catches_up() {
    let mut fleet = settled_fleet(2, 4);
    fleet.isolated_from_platform[1] = true;
    fleet.isolated_from_zones[1] = true;
    fleet.commit_change();
    fleet.advance_ms(60_000);
    assert_eq!((fleet.revision(0), fleet.revision(4)), (Some(2), Some(1)));
    fleet.isolated_from_platform[1] = false;
    fleet.advance_ms(IN_FORCE_CURRENT_SIZE_MS);
    assert_eq!(fleet.lowest_revision(), Some(2));
}

#[test]
fn host_that_restarts_without_the_platform_gets_its_tree_from_a_peer() {
    let mut fleet = settled_fleet(2, 4);
    fleet.is_platform_available = false;
    fleet.advance_ms(30_000);
    fleet.restart_host(2);
    fleet.advance_ms(IN_FORCE_CURRENT_SIZE_MS);
    assert_eq!(fleet.lowest_revision(), Some(1));
}

#[test]
fn change_is_in_force_after_the_reader_has_stopped() {
    let mut fleet = settled_fleet(1, 8);
    fleet.stop_host(0);
    fleet.commit_change();
    fleet.advance_ms(IN_FORCE_CURRENT_SIZE_MS);
    fleet.update_peers();
    fleet.advance_ms(IN_FORCE_CURRENT_SIZE_MS);
    assert_eq!(fleet.lowest_revision(), Some(2));
}

#[test]
fn platform_reads_stay_bounded_while_the_platform_is_unavailable() {
    let mut fleet = settled_fleet(2, 30);
    fleet.is_platform_available = false;
    fleet.costs.iter_mut().for_each(|cost| cost.reads = 0);
    let hour_ms = 3_600_000;
    fleet.advance_ms(hour_ms);
    let reads: u64 = fleet.costs.iter().map(|cost| cost.reads).sum();
    // The two readers read once a second, and each other host within its budget: 4 reads
    // saved up, and one more every 30 s.
    let bound = 2 * hour_ms / 1_000 + 58 * (4 + hour_ms / 30_000);
    assert!(reads <= bound, "{reads} reads, bound {bound}");
}

#[test]
fn zone_that_restarts_at_once_never_exceeds_its_read_budget() {
    let mut fleet = settled_fleet(2, 60);
    fleet.isolated_from_zones[1] = true;
    fleet.costs.iter_mut().for_each(|cost| cost.reads = 0);
    for host in 60..120 {
        fleet.restart_host(host);
    }
    let begun_ms = fleet.now_ms;
    while fleet.lowest_revision().is_none() {
        fleet.advance_ms(100);
        assert!(fleet.now_ms - begun_ms <= IN_FORCE_TARGET_SIZE_MS);
    }
    let reads: u64 = fleet.costs[60..].iter().map(|cost| cost.reads).sum();
    eprintln!(
        "all hosts have a tree after {} ms, {reads} reads",
        fleet.now_ms - begun_ms
    );
    // Each host may spend the 4 reads that it has saved up, and the reader polls once a
    // second.
    assert!(reads <= 60 * 4 + 11, "{reads} reads");
}
