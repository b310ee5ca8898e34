//! Network input and output of the processes: UDP and TCP sockets, TLS, and the servers and clients
//! for HTTP and gRPC.
//!
//! Routing, admission and membership are decided in other crates; this one only moves bytes.

pub mod clock;
pub mod http;
pub mod server_load;
pub mod store;
pub mod streams;
pub mod sync;
pub mod tls;
pub mod udp;
