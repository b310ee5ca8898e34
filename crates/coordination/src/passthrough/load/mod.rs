//! Load of hosts, and the decisions on new flows that depend on it.

mod options;
mod round_trips;
mod view;
mod work_time;

pub use {
    options::{LoadControlOptions, PlacementPolicy},
    view::{ExpectedLoad, LoadView, LoadViewOptions},
    work_time::WorkTimeEstimator,
};
