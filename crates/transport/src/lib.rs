//! Sockets and clients; this crate moves bytes and takes no decisions.

pub mod clock;
pub mod http;
pub mod server_load;
pub mod store;
pub mod streams;
pub mod sync;
pub mod tls;
pub mod udp;
