//! Demand above the capacity of a service, with callers that retry. Guards against hosts that are full
//! of requests which are answered late, against urgent requests that wait behind others, against
//! starvation of the less urgent route, and against a second peak when callers come back.

use {
    cardamomloom_coordination::passthrough::{agent::AgentOptions, load::LoadControlOptions},
    cardamomloom_core::{Span, Time},
    cardamomloom_standins::passthrough::{
        CallerOptions, HostOptions, Load, RequestRecord, Simulation, SimulationOptions,
    },
};

const GOAL: Span = Span::from_millis(250);
const HOSTS: u8 = 12;
const SLOTS: u32 = 2;
const SERVICE_TIME: Span = Span::from_millis(32);
const WARM_UP: Span = Span::from_secs(3);

/// How demand exceeds the capacity.
#[derive(Clone, Copy, Debug)]
struct Overload {
    /// Demand as a share of the capacity, in percent.
    demand_percent: u32,
    duration: Span,
    /// Number of requests on each flow, with pauses of 200 ms between them.
    requests_per_flow: u32,
    has_slow_hosts: bool,
}

/// Demand in percent of the capacity, and its duration in seconds.
const CASES: [(u32, u64); 4] = [(150, 5), (200, 5), (150, 30), (200, 30)];

/// Share of the demand that is urgent, in percent.
const URGENT_PERCENT: u32 = 20;

#[derive(Debug)]
struct Outcome {
    /// Requests answered in goal, as a share of those that the slots can run.
    in_goal_of_capacity: f64,
    urgent: usize,
    urgent_in_goal: usize,
    normal: usize,
    normal_in_goal: usize,
    refused: usize,
    shed: usize,
}

fn options(rejects_late_flows: bool) -> SimulationOptions {
    SimulationOptions {
        hosts: HOSTS,
        services: 1,
        host: HostOptions {
            slots: SLOTS as usize,
            queue_capacity: 8,
            service_time: SERVICE_TIME,
            service_time_spread: 0.3,
        },
        agent: AgentOptions {
            load_control: LoadControlOptions {
                rejects_late_flows,
                ..LoadControlOptions::default()
            },
            ..AgentOptions::default()
        },
        latency_goal: GOAL,
        timeout: Span::from_millis(1_000),
        states_service_wait: true,
        ..SimulationOptions::default()
    }
}

/// Returns the requests a second that the slots can run.
fn capacity_per_s(has_slow_hosts: bool) -> f64 {
    let per_host = f64::from(SLOTS) / SERVICE_TIME.to_duration().as_secs_f64();
    let slow = if has_slow_hosts { HOSTS / 3 } else { 0 };
    per_host * (f64::from(HOSTS - slow) + f64::from(slow) / 3.0)
}

/// Schedules flows of both routes for a demand in percent of the capacity.
fn schedule(simulation: &mut Simulation, overload: Overload, demand_percent: u32, duration: Span) {
    let requests_per_s = capacity_per_s(overload.has_slow_hosts) * f64::from(demand_percent) / 1e4;
    let load = |percent: u32| {
        // Rates of the test are far below 2^32.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let flows_per_s =
            (requests_per_s * f64::from(percent) / f64::from(overload.requests_per_flow)) as u32;
        Load {
            service: 0,
            flows_per_s,
            duration,
            caller: CallerOptions {
                requests: overload.requests_per_flow,
                pause: Span::from_millis(200),
                request_timeout: Span::from_millis(1_000),
                retries: 2,
            },
        }
    };
    simulation.schedule_urgent_load(load(URGENT_PERCENT));
    simulation.schedule_load(load(100 - URGENT_PERCENT));
}

fn is_in_goal(request: &RequestRecord) -> bool {
    request.response_time.is_some_and(|time| time <= GOAL)
}

fn run(overload: Overload, options: &SimulationOptions) -> Outcome {
    let mut simulation = Simulation::new(options.clone());
    if overload.has_slow_hosts {
        for agent in simulation.agents(0).into_iter().step_by(3) {
            simulation.set_service_time(agent, Span(SERVICE_TIME.0 * 3));
        }
    }
    simulation.run(Span::from_secs(1));
    schedule(&mut simulation, overload, 60, Span::from_secs(2));
    simulation.run(Span::from_secs(2));
    schedule(
        &mut simulation,
        overload,
        overload.demand_percent,
        overload.duration,
    );
    simulation.run(overload.duration);
    simulation.run(Span::from_secs(10));
    let start = Time::ZERO + WARM_UP;
    let in_window = |request: &&RequestRecord| {
        request.requested_at >= start && request.requested_at < start + overload.duration
    };
    let requests: Vec<_> = simulation.requests().iter().filter(in_window).collect();
    let (urgent, normal): (Vec<&RequestRecord>, Vec<_>) = requests
        .iter()
        .partition(|request| request.address.port() == 444);
    let in_goal = |requests: &[&RequestRecord]| {
        requests
            .iter()
            .filter(|request| is_in_goal(request))
            .count()
    };
    let (urgent_in_goal, normal_in_goal) = (in_goal(&urgent), in_goal(&normal));
    let capacity =
        capacity_per_s(overload.has_slow_hosts) * overload.duration.to_duration().as_secs_f64();
    let outcome = Outcome {
        in_goal_of_capacity: (urgent_in_goal + normal_in_goal) as f64 / capacity,
        urgent: urgent.len(),
        urgent_in_goal,
        normal: normal.len(),
        normal_in_goal,
        refused: simulation.counters().refused,
        shed: simulation.counters().shed,
    };
    let load_control = options.agent.load_control;
    println!("{overload:?} {load_control:?}: {outcome:?}");
    outcome
}

/// Checks the requests answered in goal with the present rule beside it.
fn check_in_goal(overload: Overload) -> Outcome {
    let present = run(overload, &options(false));
    let ordered = run(overload, &options(true));
    assert!(ordered.in_goal_of_capacity >= 0.90, "{ordered:?}");
    assert!(
        overload.requests_per_flow > 1 || ordered.in_goal_of_capacity > present.in_goal_of_capacity,
        "{ordered:?} {present:?}"
    );
    ordered
}

fn check(overload: Overload) {
    let ordered = check_in_goal(overload);
    assert_eq!(ordered.urgent_in_goal, ordered.urgent, "{ordered:?}");
    assert!(ordered.normal_in_goal * 10 >= ordered.normal, "{ordered:?}");
    assert_eq!(ordered.shed, 0, "{ordered:?}");
}

const fn overload((demand_percent, duration_s): (u32, u64), requests_per_flow: u32) -> Overload {
    Overload {
        demand_percent,
        duration: Span::from_secs(duration_s),
        requests_per_flow,
        has_slow_hosts: false,
    }
}

const fn with_slow_hosts(overload: Overload) -> Overload {
    Overload {
        has_slow_hosts: true,
        ..overload
    }
}

#[test]
fn verify_that_a_flow_per_request_is_answered_in_goal() {
    for case in CASES {
        check(overload(case, 1));
    }
}

#[test]
fn verify_that_slow_hosts_are_given_what_they_answer_in_goal() {
    for case in &CASES[..3] {
        check(with_slow_hosts(overload(*case, 1)));
    }
}

#[test]
fn verify_that_slow_hosts_answer_urgent_requests_under_long_overload() {
    check(with_slow_hosts(overload(CASES[3], 1)));
}

#[test]
fn verify_that_requests_on_long_flows_are_answered_in_goal() {
    for case in CASES {
        check_in_goal(overload(case, 10));
        check_in_goal(with_slow_hosts(overload(case, 10)));
    }
}

#[test]
fn verify_that_urgent_requests_on_long_flows_are_answered_in_goal() {
    check(overload(CASES[0], 10));
}

#[test]
fn verify_that_nothing_is_rejected_below_the_load_that_fits() {
    let outcome = run(overload((80, 5), 1), &options(true));
    assert_eq!(outcome.refused, 0, "{outcome:?}");
}

#[test]
fn verify_that_nothing_is_rejected_while_the_state_of_the_service_is_unknown() {
    let options = SimulationOptions {
        states_service_wait: false,
        ..options(true)
    };
    let outcome = run(overload((200, 5), 1), &options);
    assert_eq!(outcome.refused, 0, "{outcome:?}");
}
