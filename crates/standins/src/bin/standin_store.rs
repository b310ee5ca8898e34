//! Runs a stand-in for the platform's object API and prints the address on which it listens.

use {
    cardamomloom_standins::{processes::print_bound, store::Store},
    gumdrop::Options,
    std::{io::Result, net::SocketAddr},
    tokio::net::TcpListener,
};

/// Stand-in for the platform's object API.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(help = "address to listen on", default = "127.0.0.1:0")]
    listen: String,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("standin-store {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let listener = TcpListener::bind(&arguments.listen).await?;
    let http_address: SocketAddr = listener.local_addr()?;
    print_bound(&serde_json::json!({ "http_address": http_address }));
    Store::default().serve(listener).await
}
