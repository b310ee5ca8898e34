//! Types shared by every cardamomloom crate: identifiers, units, time, hashing, error kinds and alerts.

pub mod alert;
pub mod error;
pub mod hash;
pub mod ids;
pub mod time;
pub mod units;

pub use {
    alert::{Alert, AlertEntry},
    error::{Error, ErrorEntry, ErrorKind},
    ids::{
        BucketId, DomainName, HostId, Incarnation, NodeId, ObjectVersion, OperationId, RegionName,
        ServiceId, ServiceName, TableVersion,
    },
    time::{Span, Time},
    units::{ByteCount, ByteRate, ConnectionCount, PartsPerMillion, Weight},
};
