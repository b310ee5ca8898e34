//! Rate of control messages under pass-through delivery. Guards against heartbeats that exceed the
//! planned limit because they repeat what their receivers already know.

use {
    cardamomloom_core::Span,
    cardamomloom_standins::passthrough::{Simulation, SimulationOptions},
    std::collections::BTreeMap,
};

/// Maximum rate at which a process may send control messages.
const MAX_BYTES_PER_S: usize = 3_000;

/// Time over which bytes are counted.
const MEASURED_S: u64 = 20;

/// Returns the bytes a second of the balancer, and of the agent, that sends the most.
fn max_bytes_per_s(balancers: u8, hosts: u8) -> (usize, usize) {
    let mut simulation = Simulation::new(SimulationOptions {
        balancers,
        hosts,
        services: 2,
        ..SimulationOptions::default()
    });
    simulation.run(Span::from_secs(10));
    simulation.take_control_bytes();
    simulation.run(Span::from_secs(MEASURED_S));
    let bytes = simulation.take_control_bytes();
    let measured_s = usize::try_from(MEASURED_S).expect("the number fits usize");
    let max_rate = |bytes_by_sender: &BTreeMap<_, usize>, is_balancer: bool| {
        let senders = bytes_by_sender
            .iter()
            .filter(|(address, _)| simulation.balancers().contains(*address) == is_balancer);
        senders.map(|(_, bytes)| bytes / measured_s).max()
    };
    (
        max_rate(&bytes, true).expect("a balancer sent messages"),
        max_rate(&bytes, false).expect("an agent sent messages"),
    )
}

#[test]
fn verify_that_control_messages_stay_within_their_limit_at_every_size() {
    for (balancers, hosts) in [(5, 5), (22, 28), (85, 100)] {
        let (balancer, agent) = max_bytes_per_s(balancers, hosts);
        let rates = format!(
            "{balancers} balancers, {hosts} hosts a service: at most {balancer} bytes/s of a \
             balancer and {agent} bytes/s of an agent"
        );
        println!("{rates}");
        assert!(
            balancer <= MAX_BYTES_PER_S && agent <= MAX_BYTES_PER_S,
            "{rates}, limit {MAX_BYTES_PER_S}"
        );
    }
}
