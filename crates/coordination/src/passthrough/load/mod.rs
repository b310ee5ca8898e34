//! Load of hosts, and the decisions on new flows that depend on it.

mod flow_admission;
mod options;
mod view;
mod work_time;

pub use {
    flow_admission::{
        FlowDecision, HandshakeEstimator, HostState, HostTimes, NewFlow, RejectionCause,
        SlotDemand, overload_score, syn_age,
    },
    options::{LoadControlOptions, PlacementPolicy},
    view::{ExpectedLoad, LoadView, LoadViewOptions},
    work_time::WorkTimeEstimator,
};
