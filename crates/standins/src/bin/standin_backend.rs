//! Process that stands in for a backend server.

use {
    cardamomloom_standins::{backend::Backend, processes::print_bound},
    gumdrop::Options,
    std::io::Result,
    tokio::net::TcpListener,
};

/// Stand-in for a backend server.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "name of the service", required)]
    service: String,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let arguments = Arguments::parse_args_default_or_exit();
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    print_bound(&serde_json::json!({ "http_address": listener.local_addr()? }));
    Backend::new(&arguments.service).serve(listener).await
}
