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
        let mut simulation = None;
        file.run(|case| {
            let mut output = String::new();
            for line in case.input.lines() {
                let words: Vec<&str> = line.split_whitespace().collect();
                run(&mut simulation, &words, &mut output);
            }
            output
        });
    });
}

fn run(simulation: &mut Option<Simulation>, words: &[&str], output: &mut String) {
    if let ["hosts", hosts, "balancers", balancers, rest @ ..] = words {
        let handover = rest != ["handover=off"];
        *simulation = Some(Simulation::new(
            11,
            number(hosts),
            number(balancers),
            handover,
        ));
        return;
    }
    let simulation = simulation
        .as_mut()
        .expect("the first command of a file is `hosts`");
    if !run_change(simulation, words) {
        run_check(simulation, words, output);
    }
}

/// Runs a command that changes the simulation and prints nothing. Returns false when `words` is not
/// such a command.
fn run_change(simulation: &mut Simulation, words: &[&str]) -> bool {
    match words {
        ["wait", span] => simulation.advance(Span::from_str(span).expect("a time span")),
        ["join", hosts @ ..] => {
            let hosts: Vec<usize> = hosts.iter().map(|host| number(host)).collect();
            simulation.join_together(&hosts);
        }
        ["pause", host] => simulation.pause(number(host)),
        ["resume", host] => simulation.resume(number(host)),
        ["drain", host] => simulation.drain(number(host)),
        ["remove", hosts @ ..] => {
            let hosts: Vec<usize> = hosts.iter().map(|host| number(host)).collect();
            simulation.remove(&hosts);
        }
        ["full", host] => simulation.hosts[number(host)].is_full = true,
        ["rotate-key"] => {
            simulation.key += 1;
            simulation.publish();
        }
        ["cut", host] => drop(simulation.partitioned_hosts.insert(number(host))),
        ["mend", host] => drop(simulation.partitioned_hosts.remove(&number(host))),
        ["learn", "all"] => simulation.update_all(),
        ["learn", "balancer", balancer] => {
            simulation.update_balancer(number(balancer), simulation.versions.len() - 1);
        }
        ["learn", "hosts"] => {
            for host in 0..simulation.hosts.len() {
                simulation.update_host(host, simulation.versions.len() - 1);
            }
        }
        _ => return false,
    }
    true
}

/// Runs a command that sends packets or prints results.
fn run_check(simulation: &mut Simulation, words: &[&str], output: &mut String) {
    match words {
        ["open", count, "via", balancers @ ..] => {
            let balancers: Vec<usize> = balancers.iter().map(|index| number(index)).collect();
            for _ in 0..number(count) {
                let flow = simulation.add_flow();
                simulation.send_syn(flow, &balancers);
            }
        }
        ["reopen", "unanswered", "via", balancer] => {
            for flow in 0..simulation.flows.len() {
                simulation.restart_caller(flow, number(balancer));
            }
        }
        ["abort", "via", balancer] => {
            for flow in 0..simulation.flows.len() {
                simulation.abort(flow, number(balancer));
            }
        }
        ["reuse", count, "via", balancer] => {
            for flow in 0..number(count) {
                simulation.reuse_five_tuple(flow, number(balancer));
            }
        }
        ["flows"] => {
            let open = simulation
                .flows
                .iter()
                .filter(|flow| is_open(flow.state))
                .count();
            let entries: usize = present(simulation)
                .map(|host| simulation.hosts[host].ownership.flow_count())
                .sum();
            writeln!(output, "open={open} entries={entries}")
                .expect("writing to a string succeeds");
        }
        ["request", "via", balancer] => send(simulation, number(balancer), is_open, output),
        ["lost", "via", balancer] => send(simulation, number(balancer), is_lost, output),
        ["packet", "service", service, "to", address] => {
            let decisions = decide_at_all_hosts(simulation, number(service), address);
            writeln!(output, "{decisions}").expect("writing to a string succeeds");
        }
        ["verdict"] => {
            let violations = simulation.violations;
            writeln!(
                output,
                "broken={} misdelivered={} duplicated={}",
                violations.broken, violations.misdelivered, violations.duplicated
            )
            .expect("writing to a string succeeds");
        }
        _ => panic!("unknown command {words:?}"),
    }
}

/// Sends the next packet of every flow in the wanted state and prints how many were answered.
fn send(
    simulation: &mut Simulation,
    balancer: usize,
    wanted: fn(FlowState) -> bool,
    output: &mut String,
) {
    let (mut sent, mut answered, mut reset, mut most_hops) = (0, 0, 0, 0);
    for flow in 0..simulation.flows.len() {
        if !wanted(simulation.flows[flow].state) {
            continue;
        }
        let trace = simulation.send_next(flow, balancer);
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
fn decide_at_all_hosts(simulation: &mut Simulation, service: usize, address: &str) -> String {
    let flow = simulation
        .flows
        .iter()
        .position(|flow| is_open(flow.state))
        .expect("an open flow");
    let FlowState::Open { local_isn, .. } = simulation.flows[flow].state else {
        unreachable!("the flow is open");
    };
    let mut meta = simulation.packet_meta(flow, false, local_isn);
    meta.flow.service = match address {
        "own" => service_address(),
        other => SocketAddr::from_str(other).expect("an address"),
    };
    let table = simulation.versions[simulation.balancers[0]].table.clone();
    let (mut delivered, mut forwarded, mut dropped) = (0, 0, 0);
    for host in present(simulation).collect::<Vec<_>>() {
        let mut visited = Visited::default();
        visited.push(host_id(host));
        let header = ForwardHeader {
            service: ServiceId(SERVICE.0 + u32::try_from(service).expect("a small number") - 1),
            table: table.version(),
            bucket: table.bucket_of(&meta.flow),
            hops: 0,
            visited,
        };
        match simulation.hosts[host]
            .ownership
            .decide(simulation.now, &header, &meta)
        {
            Decision::Deliver(_) => delivered += 1,
            Decision::Drop(_) => dropped += 1,
            _ => forwarded += 1,
        }
    }
    format!("delivered={delivered} forwarded={forwarded} dropped={dropped}")
}

fn present(simulation: &Simulation) -> impl Iterator<Item = usize> {
    (0..simulation.hosts.len()).filter(|host| simulation.hosts[*host].state != HostState::Absent)
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
