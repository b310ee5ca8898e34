//! Scenario of a paused and of an isolated process, readable by an operator.

use {
    cardamomloom_coordination::freshness::{Freshness, FreshnessOptions, FreshnessState},
    cardamomloom_core::{Span, Time},
    datadriven::{TestCase, walk},
};

/// Time between two steps of a process that runs.
const STEP_MS: usize = 50;

fn time(case: &mut TestCase, name: &str) -> Time {
    Time::from_millis(case.take_arg(name).expect("time in milliseconds"))
}

fn create(case: &mut TestCase) -> Freshness {
    let is_off = case.take_flag("off").expect("flag");
    let off = FreshnessOptions {
        pause_span: Span::from_secs(3_600),
        silence_span: Span::from_secs(3_600),
        ..FreshnessOptions::default()
    };
    let options = if is_off {
        off
    } else {
        FreshnessOptions::default()
    };
    let mut freshness = Freshness::new(Time::ZERO, options);
    freshness.on_tick(Time::ZERO);
    if is_off {
        freshness.on_confirmed(Time::ZERO, Time::ZERO);
    }
    freshness
}

fn forwards(freshness: &Freshness, now: Time) -> &'static str {
    let is_permitted = freshness.forward_until().is_some_and(|until| now < until);
    if is_permitted { "yes" } else { "no" }
}

fn apply(freshness: &mut Freshness, case: &mut TestCase) -> String {
    match case.directive.as_str() {
        "confirm" => {
            let (now, asked) = (time(case, "at"), time(case, "asked"));
            freshness.on_tick(now);
            freshness.on_confirmed(now, asked);
            String::new()
        }
        "step" => {
            let question = freshness.on_tick(time(case, "at"));
            if question.is_some() {
                "asks\n"
            } else {
                "silent\n"
            }
            .to_owned()
        }
        "forwards" => {
            let now = time(case, "at");
            if !case.take_flag("packet_loop_first").expect("flag") {
                freshness.on_tick(now);
            }
            if case.take_flag("heard").expect("flag") {
                freshness.on_contact(now);
            }
            format!("{}\n", forwards(freshness, now))
        }
        "silence" => {
            let (from, to) = (time(case, "from"), time(case, "to"));
            for now in (from.as_millis()..=to.as_millis()).step_by(STEP_MS) {
                freshness.on_tick(Time::from_millis(now));
            }
            format!("{} {}\n", forwards(freshness, to), freshness.state())
        }
        other => panic!("unknown directive {other}"),
    }
}

/// Guards against a process that forwards with old versions after a pause or alone, and against an
/// isolated process that serves nothing.
#[test]
fn verify_paused_and_isolated_processes() {
    walk("tests/scenarios/freshness", |file| {
        let mut process: Option<Freshness> = None;
        file.run(|case| {
            let answer = if case.directive == "process" {
                process = Some(create(case));
                String::new()
            } else {
                apply(process.as_mut().expect("a process first"), case)
            };
            case.expect_empty().expect("known arguments");
            answer
        });
    });
}

/// Guards against questions that come faster with an outage: 4,870 processes ask one store that
/// answers about 2,000 reads a second (design page, section 1).
#[test]
fn verify_questions_stay_within_the_rate_of_the_store() {
    let mut freshness = Freshness::new(Time::ZERO, FreshnessOptions::default());
    let last_minute = 540_000..600_000;
    let mut questions = 0;
    for now_ms in (0..600_000).step_by(STEP_MS) {
        let asked = freshness.on_tick(Time::from_millis(now_ms)).is_some();
        questions += u32::from(asked && last_minute.contains(&now_ms));
    }
    assert_eq!(freshness.state(), FreshnessState::Isolated);
    // Two reads for each question of each process.
    let reads_per_s = 2 * 4_870 * questions / 60;
    assert!(reads_per_s <= 2_000, "{reads_per_s} reads a second");
}
