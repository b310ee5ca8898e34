//! Scenarios of pass-through delivery, written to be readable by operators: balancers, agents,
//! backend servers and callers in virtual time, with an oracle that checks the guarantees.

use {
    cardamomloom_coordination::passthrough::agent::{AgentOptions, OutcomeOptions},
    cardamomloom_core::Span,
    cardamomloom_standins::passthrough::{
        CallerOptions, HostOptions, Load, Simulation, SimulationOptions,
    },
    datadriven::{TestCase, walk},
};

/// Takes a numeric argument of a directive, or the default when it is missing.
fn numeric_arg<T: std::str::FromStr>(case: &mut TestCase, name: &str, default: T) -> T
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    case.try_take_arg(name)
        .expect("the argument is a number")
        .unwrap_or(default)
}

/// Creates the simulation that the arguments of a `world` directive describe.
fn create_simulation(case: &mut TestCase) -> Simulation {
    let defaults = SimulationOptions::default();
    let outcomes = defaults.agent.outcomes;
    Simulation::new(SimulationOptions {
        balancers: numeric_arg(case, "balancers", defaults.balancers),
        hosts: numeric_arg(case, "hosts", defaults.hosts),
        services: numeric_arg(case, "services", defaults.services),
        host: HostOptions {
            slots: numeric_arg(case, "slots", defaults.host.slots),
            ..defaults.host
        },
        cold_flows_per_s: numeric_arg(case, "cold_flows_per_s", 0.0),
        packet_loss: numeric_arg(case, "loss", 0.0),
        seed: numeric_arg(case, "seed", 1),
        agent: AgentOptions {
            outcomes: OutcomeOptions {
                min_admitted_share: numeric_arg(case, "least_share", outcomes.min_admitted_share),
                ..outcomes
            },
            busy_host_probes: numeric_arg(case, "busy_visits", defaults.agent.busy_host_probes),
            max_waiting_per_slot: numeric_arg(
                case,
                "waiting_per_slot",
                defaults.agent.max_waiting_per_slot,
            ),
            ..defaults.agent
        },
        ..defaults
    })
}

/// Executes a directive and returns its output. Hosts are identified by their index in the first
/// service.
fn execute_directive(simulation: &mut Simulation, case: &mut TestCase) -> String {
    let index: usize = numeric_arg(case, "host", 0);
    let host = simulation.agents(0)[index];
    let balancer = simulation.balancers()[numeric_arg::<usize>(case, "balancer", 0)];
    match case.directive.as_str() {
        "run" => simulation.run(Span::from_millis(numeric_arg(case, "ms", 0))),
        "load" => {
            let defaults = CallerOptions::default();
            simulation.schedule_load(Load {
                service: 0,
                flows_per_s: numeric_arg(case, "flows_per_s", 100),
                duration: Span::from_millis(numeric_arg(case, "ms", 1_000)),
                caller: CallerOptions {
                    requests: numeric_arg(case, "requests", 1),
                    pause: Span::from_millis(numeric_arg(case, "pause_ms", 0)),
                    ..defaults
                },
            });
        }
        "drain" => simulation.drain_server(host),
        "failing" => simulation.set_failure_ratio(host, numeric_arg(case, "share", 0.0)),
        "crash-server" => simulation.crash_server(host),
        "restart-server" => {
            let reports_at_once = !case.take_flag("late").expect("the flag has no value");
            simulation.restart_server(host, reports_at_once);
        }
        "kill-agent" => simulation.kill_agent(host),
        "start-agent" => simulation.start_agent(host),
        "kill-balancer" => simulation.kill_balancer(balancer),
        "start-balancer" => simulation.start_balancer(balancer),
        "deaf" => {
            let is_lossy = !case.take_flag("off").expect("the flag has no value");
            simulation.set_inbound_control_loss(balancer, is_lossy);
            simulation.set_store_cut(balancer, is_lossy);
        }
        "apart" => simulation.set_partitioned(balancer, true),
        "store" => simulation.set_store_up(case.take_flag("up").expect("the flag has no value")),
        "restore-store" => simulation.restore_store(),
        "domain" => {
            let is_out = case.take_flag("out").expect("the flag has no value");
            simulation.set_domain_out(numeric_arg(case, "number", 0), is_out);
        }
        "route" => {
            let is_present = case.take_flag("add").expect("the flag has no value");
            simulation.set_route_present(numeric_arg(case, "number", 1), is_present);
        }
        "targets" => {
            let services: Vec<u8> = case.take_args("services").expect("services are numbers");
            let weights: Vec<u32> = case.take_args("weights").expect("weights are numbers");
            let targets: Vec<(u8, u32)> = services.into_iter().zip(weights).collect();
            simulation.set_route_targets(0, &targets);
        }
        "idle-timeout" => {
            simulation.set_idle_timeout(Span::from_millis(numeric_arg(case, "ms", 0)));
        }
        "open-route" => simulation.open_route(numeric_arg(case, "number", 1)),
        "openings" => {
            return format!("{}\n", simulation.accepted_flows(0)[index]);
        }
        "check" => return check(simulation, case),
        other => panic!("unknown directive {other}"),
    }
    String::new()
}

/// Returns each counter that the directive names, and the first three violated guarantees.
fn check(simulation: &Simulation, case: &mut TestCase) -> String {
    let counters = simulation.counters();
    let mut lines = Vec::new();
    for (name, value) in [
        ("lost", counters.opened - counters.served),
        ("served", counters.served),
        ("reset", counters.reset),
        ("refused", counters.refused),
        ("not_opened", counters.not_opened),
        ("timed_out", counters.timed_out),
        ("failed", counters.failed),
        ("shed", counters.shed),
    ] {
        if case.take_flag(name).expect("the flag has no value") {
            lines.push(format!("{name}={value}"));
        }
    }
    if let Some(target_ms) = case
        .try_take_arg::<u64>("aim_ms")
        .expect("the argument is a number")
    {
        let min_share: f64 = case.take_arg("share").expect("the argument is a share");
        let share = counters.share_within(Span::from_millis(target_ms));
        lines.push(if share >= min_share {
            format!("at least {min_share} within {target_ms} ms")
        } else {
            format!("only {share:.3} within {target_ms} ms")
        });
    }
    let violations = simulation.violations().iter().map(ToString::to_string);
    lines.extend(violations.take(3));
    if simulation.violations().is_empty() {
        lines.push("no promise broken".to_owned());
    }
    lines.join("\n") + "\n"
}

#[test]
fn verify_passthrough_scenarios() {
    walk("tests/scenarios/passthrough", |file| {
        let mut simulation = Simulation::new(SimulationOptions::default());
        file.run(|case| {
            if case.directive == "world" {
                simulation = create_simulation(case);
                return String::new();
            }
            execute_directive(&mut simulation, case)
        });
    });
}
