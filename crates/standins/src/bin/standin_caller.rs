//! Runs stand-in callers until all their flows have ended.

use {
    cardamomloom_standins::caller::{CallerOptions, run},
    gumdrop::Options,
    std::{
        io::{Error, Result},
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
    },
};

/// Stand-in for callers; prints a JSON summary of all flows before it exits.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(help = "ingress of the fabric, required")]
    fabric: Option<SocketAddr>,
    #[options(help = "address and port of the service, required")]
    target: Option<SocketAddr>,
    #[options(help = "name of the service, required")]
    service: Option<String>,
    #[options(no_short, help = "number of flows", default = "100")]
    flows: usize,
    #[options(no_short, help = "time over which flows are opened", default = "2000")]
    open_over_ms: u64,
    #[options(no_short, help = "number of requests per flow", default = "10")]
    requests: u32,
    #[options(
        no_short,
        help = "time from a response to the next request of the flow",
        default = "500"
    )]
    interval_ms: u64,
    #[options(
        no_short,
        help = "time after which an unanswered flow counts as refused or broken",
        default = "15000"
    )]
    timeout_ms: u64,
    #[options(no_short, help = "first caller address", default = "198.51.100.1")]
    address: String,
    #[options(no_short, help = "seed of initial sequence numbers", default = "1")]
    seed: u64,
}

fn main() -> Result<()> {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("standin-caller {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let first_address: Ipv4Addr = arguments.address.parse().map_err(Error::other)?;
    let required = || Error::other("--fabric, --target and --service are required");
    let summary = run(&CallerOptions {
        fabric: arguments.fabric.ok_or_else(required)?,
        target: arguments.target.ok_or_else(required)?,
        service: Arc::from(arguments.service.ok_or_else(required)?),
        flows: arguments.flows,
        open_over_ms: arguments.open_over_ms,
        requests_per_flow: arguments.requests,
        interval_ms: arguments.interval_ms,
        timeout_ms: arguments.timeout_ms,
        first_address,
        seed: arguments.seed,
    })?;
    println!("{}", serde_json::to_string(&summary)?);
    Ok(())
}
