//! Runs a stand-in backend server on loopback ports and prints their addresses.

use {
    cardamomloom_standins::{backend::Backend, processes::print_bound},
    gumdrop::Options,
    std::io::{Error, Result},
    tokio::net::TcpListener,
};

/// Stand-in for a backend server.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(help = "name of the service, required")]
    service: Option<String>,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("standin-backend {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let service = arguments
        .service
        .ok_or_else(|| Error::other("--service is required"))?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let control = TcpListener::bind("127.0.0.1:0").await?;
    print_bound(&serde_json::json!({
        "http_address": listener.local_addr()?,
        "control_address": control.local_addr()?,
    }));
    let backend = Backend::new(&service);
    tokio::try_join!(
        backend.clone().serve(listener),
        backend.serve_control(control)
    )?;
    Ok(())
}
