//! Pass-through delivery: backend servers terminate the flows, and balancers and agents relay
//! packets without changing them.

mod copy;
mod copy_format;
mod document;
mod header;
mod load;
mod lost_flows;
mod message;
mod segment;

pub use {
    copy::{COPY_FORMAT, CatalogueCopy, CatalogueDigest, CatalogueStep, CopyRefusal, RouteEdit},
    copy_format::CopyFormat,
    document::{
        CatalogueDocument, CatalogueVersion, DomainStatus, HostReport, HostReportState,
        Registration, RouteEntry, RouteTarget, ServiceEntry, StoreEra, StorePosition,
        StoreRevision,
    },
    header::{LeastLoaded, MAX_VISITED, RELAY_HEADER_BYTES, RelayHeader, RelayKind, ServiceTag},
    load::{HostLoad, LoadHeartbeat, MAX_PEER_LOADS, PeerLoad, PeerLoads, ServiceWait},
    lost_flows::{
        AgentList, AgentListRequest, ListedAgent, MAX_LISTED_AGENTS, MAX_POSSIBLE_OWNERS,
        ServiceAbsence,
    },
    message::{
        AgentDeparture, AgentHeartbeat, AgentSetDigest, Announcement, BalancerHeartbeat,
        FlowAbsence, FlowOwner, HostAdvertisement, HostListDigest, HostListPart,
        MAX_REROUTED_ADDRESSES, PeerMessage, RunId, Snapshot, open, seal,
    },
    segment::{FlowId, PacketFormat, Segment, SegmentFlags},
};
