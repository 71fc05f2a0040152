//! Steps of migrating one run.

use toucancleat_fleet::migration::{Event, Migration, Step};

const NOTICED_MS: u64 = 10_000;
const LEAVES_MS: u64 = NOTICED_MS + 1_800;

fn copy(is_last: bool) -> Step {
    Step::Copy {
        is_last,
        after_ms: 0,
    }
}

#[test]
fn run_is_not_stopped_early_and_resumes_only_where_its_kv_cache_is() {
    struct Case {
        name: &'static str,
        events: Vec<(u64, Event, Step)>,
    }
    let another = |after_ms| Step::ChooseAnother { after_ms };
    let again = |after_ms| Step::Copy {
        is_last: false,
        after_ms,
    };
    let copied = |took_ms| Event::Copied { took_ms };
    let refused = |is_kept| Event::Refused { is_kept };
    let cases = [
        Case {
            name: "idle link: first copy, incremental copy, final copy, resume",
            events: vec![
                (250, copied(250), copy(false)),
                (280, copied(30), copy(true)),
                (290, copied(8), Step::ResumeAtDestination),
            ],
        },
        Case {
            name: "busy link: the run continues until the link is idle",
            events: vec![
                (700, copied(700), copy(false)),
                (1_000, copied(300), copy(false)),
                (1_040, copied(40), copy(true)),
                (1_050, copied(10), Step::ResumeAtDestination),
            ],
        },
        Case {
            name: "hardly any time left: the run stops after its first copy",
            events: vec![
                (1_450, copied(1_450), copy(true)),
                (1_600, copied(150), Step::ResumeAtDestination),
            ],
        },
        Case {
            name: "the run has ended",
            events: vec![(1_700, Event::NoRun, Step::Stay)],
        },
        Case {
            name: "the run was preempted and may return to memory",
            events: vec![
                (20, Event::NoRun, again(100)),
                (150, Event::NoRun, again(100)),
                (500, copied(250), copy(false)),
            ],
        },
        Case {
            name: "destination without room: another one, from the first copy",
            events: vec![
                (5, refused(false), another(0)),
                (300, copied(250), copy(false)),
                (330, copied(20), copy(true)),
                (340, copied(5), Step::ResumeAtDestination),
            ],
        },
        Case {
            name: "the destination fails after the run has stopped",
            events: vec![
                (250, copied(250), copy(false)),
                (280, copied(20), copy(true)),
                (300, refused(true), Step::ResumeAtSource),
            ],
        },
        Case {
            name: "the run may not return to its source, which is in an evacuated zone",
            events: vec![
                (250, copied(250), copy(false)),
                (280, copied(20), copy(true)),
                (300, Event::RefusedWithoutReturn, another(0)),
                (310, Event::RefusedWithoutReturn, another(0)),
                (320, Event::RefusedWithoutReturn, another(100)),
                (440, copied(20), Step::ResumeAtDestination),
            ],
        },
        Case {
            name: "the same, and no time is left for another destination",
            events: vec![
                (1_450, copied(1_450), copy(true)),
                (1_700, Event::RefusedWithoutReturn, Step::GiveUp),
            ],
        },
        Case {
            name: "no answer after the run may have stopped",
            events: vec![
                (250, copied(250), copy(false)),
                (280, copied(20), copy(true)),
                (900, Event::Failed, Step::GiveUp),
            ],
        },
    ];
    for case in cases {
        let mut migration = Migration::new(NOTICED_MS, Some(LEAVES_MS));
        assert_eq!(migration.first_step(), copy(false), "{}", case.name);
        for (at_ms, event, step) in case.events {
            let taken = migration.apply(NOTICED_MS + at_ms, event);
            assert_eq!(taken, step, "{} at {at_ms} ms", case.name);
        }
    }
}

/// A run that stops choosing destinations early stays at its target and is interrupted
/// although engines free memory all the time. Seen with 56 engines: four destinations
/// refused a run within 20 ms, and it was interrupted 1.8 s later.
#[test]
fn run_retries_destinations_until_its_target_leaves() {
    struct Case {
        name: &'static str,
        event: Event,
        tries_min: usize,
    }
    let cases = [
        Case {
            name: "each destination refuses",
            event: Event::Refused { is_kept: false },
            tries_min: 40,
        },
        Case {
            name: "no destination is known",
            event: Event::NoDestination,
            tries_min: 14,
        },
    ];
    for case in cases {
        let mut migration = Migration::new(NOTICED_MS, Some(LEAVES_MS));
        let mut now_ms = NOTICED_MS;
        let mut tries = 0;
        let last = loop {
            match migration.apply(now_ms, case.event) {
                Step::ChooseAnother { after_ms } => now_ms += after_ms + 3,
                step => break step,
            }
            tries += 1;
        };
        assert_eq!(last, Step::Stay, "{}", case.name);
        assert!(tries >= case.tries_min, "{}: {tries}", case.name);
        assert!(tries <= 60, "{}: {tries} calls are too many", case.name);
        assert!(now_ms + 260 > LEAVES_MS, "{}: {now_ms}", case.name);
    }
}

#[test]
fn copy_is_repeated_while_another_is_in_progress() {
    let mut migration = Migration::new(NOTICED_MS, None);
    let Step::Copy { after_ms, is_last } = migration.apply(NOTICED_MS, Event::Busy)
    else {
        panic!("expected another copy");
    };
    assert!(after_ms > 0 && !is_last);
}

/// A run that its source has stopped is copied to another destination at once, and not as one
/// that goes on meanwhile.
#[test]
fn a_stopped_run_is_copied_to_another_destination_as_stopped() {
    let mut migration = Migration::new(NOTICED_MS, Some(LEAVES_MS));
    migration.apply(NOTICED_MS + 250, Event::Copied { took_ms: 250 });
    migration.apply(NOTICED_MS + 280, Event::Copied { took_ms: 20 });
    migration.apply(NOTICED_MS + 300, Event::RefusedWithoutReturn);
    assert_eq!(migration.first_step(), copy(true));
}
