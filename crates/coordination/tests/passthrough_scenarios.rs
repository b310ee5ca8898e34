//! Scenarios of pass-through delivery, readable by an operator: balancers, agents, backend servers
//! and callers in virtual time, with an oracle that checks the promises.

use {
    cardamomloom_coordination::passthrough::agent::{AgentOptions, OutcomeOptions},
    cardamomloom_core::Span,
    cardamomloom_standins::passthrough::{CallerOptions, HostOptions, Load, World, WorldOptions},
    datadriven::{TestCase, walk},
};

fn number<T: std::str::FromStr>(case: &mut TestCase, name: &str, default: T) -> T
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    case.try_take_arg(name).expect("number").unwrap_or(default)
}

fn create(case: &mut TestCase) -> World {
    let defaults = WorldOptions::default();
    let outcomes = defaults.agent.outcomes;
    World::new(WorldOptions {
        balancers: number(case, "balancers", defaults.balancers),
        hosts: number(case, "hosts", defaults.hosts),
        services: number(case, "services", defaults.services),
        host: HostOptions {
            slots: number(case, "slots", defaults.host.slots),
            ..defaults.host
        },
        cold_flows_per_s: number(case, "cold_flows_per_s", 0.0),
        loss: number(case, "loss", 0.0),
        seed: number(case, "seed", 1),
        agent: AgentOptions {
            outcomes: OutcomeOptions {
                least_share: number(case, "least_share", outcomes.least_share),
                ..outcomes
            },
            busy_visits: number(case, "busy_visits", defaults.agent.busy_visits),
            waiting_per_slot: number(case, "waiting_per_slot", defaults.agent.waiting_per_slot),
            ..defaults.agent
        },
        ..defaults
    })
}

/// Hosts are named by their number in the first service.
fn apply(world: &mut World, case: &mut TestCase) -> String {
    let index: usize = number(case, "host", 0);
    let host = world.agents(0)[index];
    let balancer = world.balancers()[number::<usize>(case, "balancer", 0)];
    match case.directive.as_str() {
        "run" => world.run(Span::from_millis(number(case, "ms", 0))),
        "load" => {
            let defaults = CallerOptions::default();
            world.load(Load {
                service: 0,
                flows_per_s: number(case, "flows_per_s", 100),
                lasts: Span::from_millis(number(case, "ms", 1_000)),
                caller: CallerOptions {
                    requests: number(case, "requests", 1),
                    pause: Span::from_millis(number(case, "pause_ms", 0)),
                    ..defaults
                },
            });
        }
        "drain" => world.drain_server(host),
        "failing" => world.set_failing(host, number(case, "share", 0.0)),
        "crash-server" => world.crash_server(host),
        "restart-server" => {
            let reports_at_once = !case.take_flag("late").expect("flag");
            world.restart_server(host, reports_at_once);
        }
        "kill-agent" => world.kill_agent(host),
        "start-agent" => world.start_agent(host),
        "kill-balancer" => world.kill_balancer(balancer),
        "start-balancer" => world.start_balancer(balancer),
        "deaf" => {
            let is_deaf = !case.take_flag("off").expect("flag");
            world.set_deaf(balancer, is_deaf);
            world.set_store_cut(balancer, is_deaf);
        }
        "apart" => world.set_apart(balancer, true),
        "store" => world.set_store(case.take_flag("up").expect("flag")),
        "domain" => {
            let is_out = case.take_flag("out").expect("flag");
            world.set_domain(number(case, "number", 0), is_out);
        }
        "route" => {
            let is_present = case.take_flag("add").expect("flag");
            world.set_route(number(case, "number", 1), is_present);
        }
        "open-route" => world.open_route(number(case, "number", 1)),
        "openings" => {
            return format!("{}\n", world.openings(0)[index]);
        }
        "check" => return check(world, case),
        other => panic!("unknown directive {other}"),
    }
    String::new()
}

/// Prints each figure that is named, and every broken promise.
fn check(world: &World, case: &mut TestCase) -> String {
    let tally = world.tally();
    let mut lines = Vec::new();
    for (name, value) in [
        ("lost", tally.opened - tally.served),
        ("served", tally.served),
        ("reset", tally.reset),
        ("refused", tally.refused),
        ("not_opened", tally.not_opened),
        ("timed_out", tally.timed_out),
        ("failed", tally.failed),
        ("shed", tally.shed),
    ] {
        if case.take_flag(name).expect("flag") {
            lines.push(format!("{name}={value}"));
        }
    }
    if let Some(aim_ms) = case.try_take_arg::<u64>("aim_ms").expect("number") {
        let bound: f64 = case.take_arg("share").expect("share");
        let share = tally.within(Span::from_millis(aim_ms));
        lines.push(if share >= bound {
            format!("at least {bound} within {aim_ms} ms")
        } else {
            format!("only {share:.3} within {aim_ms} ms")
        });
    }
    let broken = world.violations().iter().map(ToString::to_string);
    lines.extend(broken.take(3));
    if world.violations().is_empty() {
        lines.push("no promise broken".to_owned());
    }
    lines.join("\n") + "\n"
}

#[test]
fn verify_passthrough_scenarios() {
    walk("tests/scenarios/passthrough", |file| {
        let mut world = World::new(WorldOptions::default());
        file.run(|case| {
            if case.directive == "world" {
                world = create(case);
                return String::new();
            }
            apply(&mut world, case)
        });
    });
}
