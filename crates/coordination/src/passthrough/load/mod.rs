//! Load of hosts, and the decisions on new flows that depend on it.

mod leaving_share;
mod options;
mod placement;
mod round_trips;
mod view;
mod work_time;

pub use {
    options::{LoadControlOptions, PlacementPolicy},
    placement::{Candidate, Choice, NewFlow, PlacementReason, Placer},
    view::{ExpectedLoad, LoadView, LoadViewOptions},
    work_time::WorkTimeEstimator,
};
