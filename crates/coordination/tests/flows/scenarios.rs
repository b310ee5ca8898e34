//! Runs the scripted scenarios in `tests/scenarios/flows`.

use {
    cardamomloom_coordination::ownership::Decision,
    cardamomloom_core::{ServiceId, Span},
    cardamomloom_protocol::forward::{ForwardHeader, Visited},
    cardamomloom_standins::model::{
        FlowState, HostState, SERVICE, Simulation, host_id, service_address,
    },
    datadriven::walk,
    std::{fmt::Write, net::SocketAddr, str::FromStr},
};

/// Guards against the failures that the comments in the scenario files describe.
#[test]
fn verify_flow_scenarios() {
    walk("tests/scenarios/flows", |file| {
        let mut world = None;
        file.run(|case| {
            let mut output = String::new();
            for line in case.input.lines() {
                let words: Vec<&str> = line.split_whitespace().collect();
                run(&mut world, &words, &mut output);
            }
            output
        });
    });
}

fn run(world: &mut Option<Simulation>, words: &[&str], output: &mut String) {
    if let ["hosts", hosts, "balancers", balancers, rest @ ..] = words {
        let handover = rest != ["handover=off"];
        *world = Some(Simulation::new(
            11,
            number(hosts),
            number(balancers),
            handover,
        ));
        return;
    }
    let world = world
        .as_mut()
        .expect("the first command of a file is `hosts`");
    if !run_change(world, words) {
        run_check(world, words, output);
    }
}

/// Runs a command that changes the simulation and prints nothing. Returns false when `words` is not
/// such a command.
fn run_change(world: &mut Simulation, words: &[&str]) -> bool {
    match words {
        ["wait", span] => world.advance(Span::from_str(span).expect("a time span")),
        ["join", hosts @ ..] => {
            let hosts: Vec<usize> = hosts.iter().map(|host| number(host)).collect();
            world.join_together(&hosts);
        }
        ["pause", host] => world.pause(number(host)),
        ["resume", host] => world.resume(number(host)),
        ["drain", host] => world.drain(number(host)),
        ["remove", hosts @ ..] => {
            let hosts: Vec<usize> = hosts.iter().map(|host| number(host)).collect();
            world.remove(&hosts);
        }
        ["full", host] => world.hosts[number(host)].is_full = true,
        ["rotate-key"] => {
            world.key += 1;
            world.publish();
        }
        ["cut", host] => drop(world.partitioned_hosts.insert(number(host))),
        ["mend", host] => drop(world.partitioned_hosts.remove(&number(host))),
        ["learn", "all"] => world.update_all(),
        ["learn", "balancer", balancer] => {
            world.update_balancer(number(balancer), world.versions.len() - 1);
        }
        ["learn", "hosts"] => {
            for host in 0..world.hosts.len() {
                world.update_host(host, world.versions.len() - 1);
            }
        }
        _ => return false,
    }
    true
}

/// Runs a command that sends packets or prints results.
fn run_check(world: &mut Simulation, words: &[&str], output: &mut String) {
    match words {
        ["open", count, "via", balancers @ ..] => {
            let balancers: Vec<usize> = balancers.iter().map(|index| number(index)).collect();
            for _ in 0..number(count) {
                let flow = world.add_flow();
                world.send_syn(flow, &balancers);
            }
        }
        ["reopen", "unanswered", "via", balancer] => {
            for flow in 0..world.flows.len() {
                world.restart_caller(flow, number(balancer));
            }
        }
        ["abort", "via", balancer] => {
            for flow in 0..world.flows.len() {
                world.abort(flow, number(balancer));
            }
        }
        ["reuse", count, "via", balancer] => {
            for flow in 0..number(count) {
                world.reuse_five_tuple(flow, number(balancer));
            }
        }
        ["flows"] => {
            let open = world
                .flows
                .iter()
                .filter(|flow| is_open(flow.state))
                .count();
            let entries: usize = present(world)
                .map(|host| world.hosts[host].ownership.flow_count())
                .sum();
            writeln!(output, "open={open} entries={entries}")
                .expect("writing to a string succeeds");
        }
        ["request", "via", balancer] => send(world, number(balancer), is_open, output),
        ["lost", "via", balancer] => send(world, number(balancer), is_lost, output),
        ["packet", "service", service, "to", address] => {
            let decisions = decide_at_all_hosts(world, number(service), address);
            writeln!(output, "{decisions}").expect("writing to a string succeeds");
        }
        ["verdict"] => {
            let verdict = world.violations;
            writeln!(
                output,
                "broken={} misdelivered={} duplicated={}",
                verdict.broken, verdict.misdelivered, verdict.duplicated
            )
            .expect("writing to a string succeeds");
        }
        _ => panic!("unknown command {words:?}"),
    }
}

/// Sends the next packet of every flow in the wanted state and prints how many were answered.
fn send(
    world: &mut Simulation,
    balancer: usize,
    wanted: fn(FlowState) -> bool,
    output: &mut String,
) {
    let (mut sent, mut answered, mut reset, mut most_hops) = (0, 0, 0, 0);
    for flow in 0..world.flows.len() {
        if !wanted(world.flows[flow].state) {
            continue;
        }
        let trace = world.send_next(flow, balancer);
        sent += 1;
        answered += usize::from(trace.is_delivered);
        reset += usize::from(trace.is_reset);
        most_hops = most_hops.max(trace.hops);
    }
    writeln!(
        output,
        "sent={sent} answered={answered} reset={reset} most_hops={most_hops}"
    )
    .expect("writing to a string succeeds");
}

/// Counts the decisions of all agents about a packet of an open flow whose forward header contains
/// `service` and whose destination is `address`.
fn decide_at_all_hosts(world: &mut Simulation, service: usize, address: &str) -> String {
    let flow = world
        .flows
        .iter()
        .position(|flow| is_open(flow.state))
        .expect("an open flow");
    let FlowState::Open { local_isn, .. } = world.flows[flow].state else {
        unreachable!("the flow is open");
    };
    let mut meta = world.packet_meta(flow, false, local_isn);
    meta.flow.service = match address {
        "own" => service_address(),
        other => SocketAddr::from_str(other).expect("an address"),
    };
    let table = world.versions[world.balancers[0]].table.clone();
    let (mut delivered, mut forwarded, mut dropped) = (0, 0, 0);
    for host in present(world).collect::<Vec<_>>() {
        let mut visited = Visited::default();
        visited.push(host_id(host));
        let header = ForwardHeader {
            service: ServiceId(SERVICE.0 + u32::try_from(service).expect("a small number") - 1),
            table: table.version(),
            bucket: table.bucket_of(&meta.flow),
            hops: 0,
            visited,
        };
        match world.hosts[host]
            .ownership
            .decide(world.now, &header, &meta)
        {
            Decision::Deliver(_) => delivered += 1,
            Decision::Drop(_) => dropped += 1,
            _ => forwarded += 1,
        }
    }
    format!("delivered={delivered} forwarded={forwarded} dropped={dropped}")
}

fn present(world: &Simulation) -> impl Iterator<Item = usize> {
    (0..world.hosts.len()).filter(|host| world.hosts[*host].state != HostState::Absent)
}

fn is_open(state: FlowState) -> bool {
    matches!(state, FlowState::Open { .. })
}

fn is_lost(state: FlowState) -> bool {
    matches!(state, FlowState::Lost { .. })
}

fn number(word: &str) -> usize {
    word.parse().expect("a number")
}
