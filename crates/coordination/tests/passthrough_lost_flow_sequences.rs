//! Random sequences of faults around owner lookups of flows whose address two services share. Guards
//! against resets of flows that a running host holds, and against requests that run twice.

use {
    cardamomloom_core::Span,
    cardamomloom_standins::passthrough::{CallerOptions, Load, Simulation, SimulationOptions},
    proptest::{
        prelude::*,
        test_runner::{RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner},
    },
    std::{cell::Cell, net::Ipv4Addr},
};

/// Number of random sequences; the environment variable `LOST_FLOW_CASES` replaces it.
const CASES: u32 = 300;

/// Seed of the generator, fixed so that CI has the same result every time.
const SEED: [u8; 32] = *b"cardamomloom lost flow sequences";

const HOSTS: u8 = 3;
const BALANCERS: u8 = 3;

#[derive(Clone, Debug)]
enum Change {
    Run { ms: u64 },
    KillAgent(usize),
    StartAgent(usize),
    KillBalancer(usize),
    StartBalancer(usize),
    Freeze(usize),
    Thaw(usize),
    RestartServer(usize),
    RestartMachine(usize),
    RestartService(u8),
    RestartBalancers,
    Targets(Vec<(u8, u32)>),
    CutAgents { agent: usize, is_cut: bool },
    CutBalancers { agent: usize, is_cut: bool },
    CutLink { agent: usize, other: usize },
    StoreUp(bool),
}

fn change() -> impl Strategy<Value = Change> {
    let agent = 0..usize::from(2 * HOSTS);
    let balancer = 0..usize::from(BALANCERS);
    let targets = prop::sample::select(vec![
        vec![(0, 1)],
        vec![(1, 1)],
        vec![(0, 50), (1, 50)],
        vec![(0, 0), (1, 1)],
        vec![(0, 1), (1, 0)],
    ]);
    prop_oneof![
        12 => (20..1_500_u64).prop_map(|ms| Change::Run { ms }),
        2 => agent.clone().prop_map(Change::KillAgent),
        3 => agent.clone().prop_map(Change::StartAgent),
        2 => balancer.clone().prop_map(Change::KillBalancer),
        3 => balancer.prop_map(Change::StartBalancer),
        2 => agent.clone().prop_map(Change::Freeze),
        2 => agent.clone().prop_map(Change::Thaw),
        2 => agent.clone().prop_map(Change::RestartServer),
        3 => agent.clone().prop_map(Change::RestartMachine),
        1 => (0..2_u8).prop_map(Change::RestartService),
        2 => Just(Change::RestartBalancers),
        2 => targets.prop_map(Change::Targets),
        2 => (agent.clone(), any::<bool>())
            .prop_map(|(agent, is_cut)| Change::CutAgents { agent, is_cut }),
        2 => (agent.clone(), any::<bool>())
            .prop_map(|(agent, is_cut)| Change::CutBalancers { agent, is_cut }),
        1 => (agent.clone(), agent).prop_map(|(agent, other)| Change::CutLink { agent, other }),
        1 => any::<bool>().prop_map(Change::StoreUp),
    ]
}

fn agents(simulation: &Simulation) -> Vec<Ipv4Addr> {
    (0..2)
        .flat_map(|service| simulation.agents(service))
        .collect()
}

fn restart_machine(simulation: &mut Simulation, agent: Ipv4Addr) {
    simulation.kill_agent(agent);
    simulation.restart_server(agent, false);
    simulation.start_agent(agent);
}

fn apply(simulation: &mut Simulation, change: &Change) {
    let (agents, balancers) = (agents(simulation), simulation.balancers());
    match change {
        Change::Run { ms } => simulation.run(Span::from_millis(*ms)),
        Change::KillAgent(index) => simulation.kill_agent(agents[*index]),
        Change::StartAgent(index) => simulation.start_agent(agents[*index]),
        Change::KillBalancer(index) => simulation.kill_balancer(balancers[*index]),
        Change::StartBalancer(index) => simulation.start_balancer(balancers[*index]),
        Change::Freeze(index) => simulation.set_server_frozen(agents[*index], true),
        Change::Thaw(index) => simulation.set_server_frozen(agents[*index], false),
        Change::RestartServer(index) => simulation.restart_server(agents[*index], true),
        Change::RestartMachine(index) => restart_machine(simulation, agents[*index]),
        Change::RestartService(service) => {
            for agent in simulation.agents(*service) {
                restart_machine(simulation, agent);
            }
        }
        Change::RestartBalancers => {
            for balancer in balancers {
                simulation.start_balancer(balancer);
            }
        }
        Change::Targets(targets) => simulation.set_route_targets(0, targets),
        Change::CutAgents { agent, is_cut } => {
            for other in &agents {
                simulation.set_link_cut(agents[*agent], *other, *is_cut);
            }
        }
        Change::CutBalancers { agent, is_cut } => {
            for balancer in balancers {
                simulation.set_link_cut(agents[*agent], balancer, *is_cut);
            }
        }
        Change::CutLink { agent, other } => {
            simulation.set_link_cut(agents[*agent], agents[*other], true);
        }
        Change::StoreUp(is_up) => simulation.set_store_up(*is_up),
    }
}

/// Simulates a sequence of changes around flows that pause for 0.4 s and 2 s between requests.
fn simulate(seed: u64, changes: &[Change]) -> Simulation {
    let mut simulation = Simulation::new(SimulationOptions {
        balancers: BALANCERS,
        hosts: HOSTS,
        // The hosts of the third service are not changed. When everything but a host that is cut off
        // restarts, it cannot be told from one that was lost.
        services: 3,
        packet_loss: 0.002,
        disorder: 0.02,
        seed,
        ..SimulationOptions::default()
    });
    simulation.set_route_targets(0, &[(0, 50), (1, 50)]);
    // Agents that have run for longer than the retention of listed agents need no new servers.
    simulation.run(Span::from_secs(21));
    for pause_ms in [400, 2_000] {
        simulation.schedule_load(Load {
            service: 0,
            flows_per_s: 15,
            duration: Span::from_secs(6),
            caller: CallerOptions {
                requests: 6,
                pause: Span::from_millis(pause_ms),
                ..CallerOptions::default()
            },
        });
    }
    simulation.run(Span::from_millis(800));
    for change in changes {
        apply(&mut simulation, change);
    }
    simulation.run(Span::from_secs(4));
    simulation
}

/// Returns the violations that no partition excuses.
fn resets_of_live_flows(simulation: &Simulation) -> Vec<String> {
    let violations = simulation.violations().iter();
    violations
        .filter(|violation| {
            violation.guarantee == "at most once" || violation.detail.ends_with("was reset")
        })
        .map(ToString::to_string)
        .collect()
}

#[test]
fn verify_that_no_flow_of_a_running_host_is_reset() {
    let cases = std::env::var("LOST_FLOW_CASES").ok();
    let cases = cases.map_or(CASES, |cases| cases.parse().expect("number of cases"));
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = (any::<u64>(), prop::collection::vec(change(), 4..28));
    let (flows, resets, case) = (Cell::new(0), Cell::new(0), Cell::new(0_u32));
    let first_failure = Cell::new(None);
    let outcome = runner.run(&strategy, |(seed, changes)| {
        let simulation = simulate(seed, &changes);
        flows.set(flows.get() + simulation.counters().opened);
        resets.set(resets.get() + simulation.counters().reset);
        case.set(case.get() + 1);
        let violations = resets_of_live_flows(&simulation);
        if violations.is_empty() {
            return Ok(());
        }
        if first_failure.get().is_none() {
            first_failure.set(Some((case.get(), seed)));
        }
        Err(TestCaseError::fail(format!("{violations:#?}")))
    });
    println!(
        "{} sequences, {} flows, {} lost flows reset",
        case.get(),
        flows.get(),
        resets.get()
    );
    if let Err(failure) = outcome {
        let (case, seed) = first_failure.get().unwrap_or_default();
        if let TestError::Fail(reason, changes) = failure {
            panic!("sequence {case}, seed {seed}: {reason}\n{changes:?}");
        }
        panic!("{failure}");
    }
    assert!(resets.get() > flows.get() / 100, "lost flows are reset");
}
