//! Types shared by every cardamomloom crate: identifiers, units, time and error kinds.

pub mod error;
pub mod ids;
pub mod time;
pub mod units;

pub use {
    error::{Answer, Error, ErrorKind},
    ids::{
        BucketId, DomainName, HostId, Incarnation, NodeId, ObjectVersion, OperationId, RegionName,
        ServiceId, ServiceName, TableVersion,
    },
    time::{Span, Time},
    units::{ByteCount, ByteRate, ConnectionCount, PartsPerMillion, Weight},
};
