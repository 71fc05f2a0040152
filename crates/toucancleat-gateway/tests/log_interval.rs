//! Log lines about events that may repeat without end.

use toucancleat_gateway::log_interval::{LOG_INTERVAL_MS, LogInterval};

#[test]
fn a_repeated_event_is_logged_with_its_number_once_in_an_interval() {
    struct Case {
        at_ms: u64,
        logged: Option<u64>,
    }
    let case = |at_ms, logged| Case { at_ms, logged };
    let cases = [
        case(0, Some(1)),
        case(1, None),
        case(LOG_INTERVAL_MS - 1, None),
        case(LOG_INTERVAL_MS, Some(3)),
        case(LOG_INTERVAL_MS, None),
        case(9 * LOG_INTERVAL_MS, Some(2)),
        case(10 * LOG_INTERVAL_MS, Some(1)),
    ];
    let mut interval = LogInterval::default();
    for case in cases {
        let logged = interval.record(case.at_ms);
        assert_eq!(logged, case.logged, "at {} ms", case.at_ms);
    }
}
