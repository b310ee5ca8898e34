//! Load of hosts, and the decisions on new flows that depend on it.

mod flow_admission;
mod leaving_share;
mod options;
mod placement;
mod round_trips;
mod view;
mod work_time;

pub use {
    flow_admission::{
        FlowDecision, HandshakeEstimator, HostState, HostTimes, MAX_HANDSHAKE, NewFlow,
        RejectionCause, SlotDemand, overload_score, syn_age,
    },
    options::{LoadControlOptions, PlacementPolicy},
    placement::{Candidate, Choice, PlacementReason, PlacementRequest, Placer},
    view::{ExpectedLoad, LoadView, LoadViewOptions},
    work_time::WorkTimeEstimator,
};
