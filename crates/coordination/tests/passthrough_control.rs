//! Bytes of control messages under pass-through delivery, against the limit of the plan: guards
//! against signs of life that carry what their receivers know.

use {
    cardamomloom_core::Span,
    cardamomloom_standins::passthrough::{World, WorldOptions},
    std::collections::BTreeMap,
};

/// Bytes a second that a process may send for control.
const LIMIT_BYTES_PER_S: usize = 3_000;

const SECONDS: u64 = 20;

/// Returns the bytes a second of the busiest balancer and of the busiest agent.
fn busiest(balancers: u8, hosts: u8) -> (usize, usize) {
    let mut world = World::new(WorldOptions {
        balancers,
        hosts,
        services: 2,
        ..WorldOptions::default()
    });
    world.run(Span::from_secs(10));
    world.take_control_bytes();
    world.run(Span::from_secs(SECONDS));
    let bytes = world.take_control_bytes();
    let seconds = usize::try_from(SECONDS).expect("small");
    let most = |of: &BTreeMap<_, usize>, is_balancer: bool| {
        let senders = of
            .iter()
            .filter(|(address, _)| world.balancers().contains(*address) == is_balancer);
        senders.map(|(_, bytes)| bytes / seconds).max()
    };
    (
        most(&bytes, true).expect("balancers"),
        most(&bytes, false).expect("agents"),
    )
}

#[test]
fn verify_that_control_stays_within_its_limit_at_every_size() {
    for (balancers, hosts) in [(5, 5), (22, 28), (85, 100)] {
        let (balancer, agent) = busiest(balancers, hosts);
        println!("{balancers} balancers, {hosts} hosts a service: {balancer} and {agent} bytes/s");
        assert!(
            balancer <= LIMIT_BYTES_PER_S && agent <= LIMIT_BYTES_PER_S,
            "{balancers} balancers, {hosts} hosts a service: {balancer} and {agent} bytes/s"
        );
    }
}
