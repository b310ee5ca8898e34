//! Runs a stand-in packet fabric on loopback ports and prints their addresses.

use {
    cardamomloom_standins::{
        fabric::{Fabric, FabricSockets},
        processes::print_bound,
    },
    gumdrop::Options,
    std::io::Result,
    tokio::net::{TcpListener, UdpSocket},
};

/// Stand-in for the packet fabric.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(help = "seed of balancer choices, losses and delays", default = "1")]
    seed: u64,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("standin-fabric {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let sockets = FabricSockets {
        ingress: UdpSocket::bind("127.0.0.1:0").await?,
        egress: UdpSocket::bind("127.0.0.1:0").await?,
        control: TcpListener::bind("127.0.0.1:0").await?,
    };
    print_bound(&serde_json::json!({
        "ingress_address": sockets.ingress.local_addr()?,
        "egress_address": sockets.egress.local_addr()?,
        "http_address": sockets.control.local_addr()?,
    }));
    Fabric::default().run(sockets, arguments.seed).await
}
