//! Pass-through delivery: the backend server keeps the state of its flows, and balancers and agents
//! carry packets without changing them.

mod document;
mod header;
mod message;
mod segment;

pub use {
    document::{
        CatalogueDocument, CatalogueVersion, HostReport, HostReportState, Registration, RouteEntry,
        RouteTarget, ServiceEntry, StoreRevision, ZoneStanding,
    },
    header::{LeastLoaded, MAX_VISITED, RELAY_HEADER_BYTES, RelayHeader, RelayKind, ServiceTag},
    message::{
        Announcement, BalancerView, Beat, FlowOwner, HostBrief, Life, ListDigest, PeerMessage,
        Snapshot, open, seal,
    },
    segment::{FlowId, PacketFormat, Segment, SegmentFlags},
};
