//! The steps by which one run moves.

use toucancleat_fleet::evacuation::{Evacuation, Event, Step};

const NOTICED_MS: u64 = 10_000;
const LEAVES_MS: u64 = NOTICED_MS + 1_800;

fn copy(is_last: bool) -> Step {
    Step::Copy {
        is_last,
        after_ms: 0,
    }
}

#[test]
fn steps_by_what_happens() {
    struct Case {
        name: &'static str,
        events: Vec<(u64, Event, Step)>,
    }
    let copied = |took_ms| Event::Copied { took_ms };
    let refused = |is_kept| Event::Refused { is_kept };
    let cases = [
        Case {
            name: "an idle link: first copy, what is new, the rest, on",
            events: vec![
                (250, copied(250), copy(false)),
                (280, copied(30), copy(true)),
                (290, copied(8), Step::ResumeAtDestination),
            ],
        },
        Case {
            name: "a busy link: the run goes on until it is idle",
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
            name: "the run ends by itself",
            events: vec![(100, Event::NoRun, Step::Stay)],
        },
        Case {
            name: "no room: another destination, from the start",
            events: vec![
                (5, refused(false), Step::ChooseAnother),
                (300, copied(250), copy(false)),
                (330, copied(20), copy(true)),
                (340, copied(5), Step::ResumeAtDestination),
            ],
        },
        Case {
            name: "the destination goes after the run has stopped",
            events: vec![
                (250, copied(250), copy(false)),
                (280, copied(20), copy(true)),
                (300, refused(true), Step::ResumeAtSource),
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
        let mut evacuation = Evacuation::new(NOTICED_MS, Some(LEAVES_MS));
        assert_eq!(evacuation.first(), copy(false), "{}", case.name);
        for (at_ms, event, step) in case.events {
            let taken = evacuation.step(NOTICED_MS + at_ms, event);
            assert_eq!(taken, step, "{} at {at_ms} ms", case.name);
        }
    }
}

#[test]
fn a_run_that_no_destination_takes_stays() {
    let mut evacuation = Evacuation::new(NOTICED_MS, None);
    let refused = Event::Refused { is_kept: false };
    let steps: Vec<Step> = (0..4)
        .map(|_| evacuation.step(NOTICED_MS, refused))
        .collect();
    assert_eq!(steps[..3], [Step::ChooseAnother; 3]);
    assert_eq!(steps[3], Step::Stay);
}

#[test]
fn another_copy_under_way_is_waited_for() {
    let mut evacuation = Evacuation::new(NOTICED_MS, None);
    let Step::Copy { after_ms, is_last } = evacuation.step(NOTICED_MS, Event::Busy)
    else {
        panic!("expected another copy");
    };
    assert!(after_ms > 0 && !is_last);
}
