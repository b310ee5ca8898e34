//! Spread of the catalogue among the processes of a fleet.
//!
//! Load pattern: the catalogue changes, and hundreds of processes need the change at the same time. Every
//! process that has a version hands it on. It sends the changes since the version of the receiver if it
//! knows them, and so few whole catalogues at a time that its link keeps room for packets; it refuses
//! further ones at once and names processes that it has sent the version to. A process that waits for a
//! copy asks another one when the transfer takes long.

mod requests;
mod server;
mod times;

pub use {
    requests::{CopyRequest, CopyRequestOptions, CopyRequests},
    server::{CopyQuery, CopyResponse, CopyServer, CopyServerOptions},
    times::TimesRequests,
};

use cardamomloom_protocol::passthrough::CopyRefusal;

/// Result of a request for a copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyOutcome {
    /// The process sent an encoded copy.
    Copy(Vec<u8>),
    /// The process sends no copy now.
    Refused(CopyRefusal),
    /// The process did not answer, or its answer was incomplete or malformed.
    Failed,
}
