//! Rendering interval of the status document.

use {
    cardamomloom_core::Time,
    cardamomloom_daemon::inspect::DaemonInspect,
    cardamomloom_transport::{clock::MonotonicClock, http::Inspect},
    metrics_exporter_prometheus::PrometheusBuilder,
};

/// Guards against rendering the status document at every tick, which took 6 % of a core at 4,300
/// hosts, and against a client that polls the status seeing changes late.
#[test]
fn verify_status_is_rendered_when_read_and_once_a_second() {
    let metrics = PrometheusBuilder::new().build_recorder().handle();
    let inspect = DaemonInspect::new(metrics, MonotonicClock::start());
    let must_render = |time_ms| inspect.status_is_due(Time::from_millis(time_ms));
    assert!(must_render(0), "the first status is rendered at once");
    let renders_without_requests = (1..=100).filter(|tick| must_render(tick * 100)).count();
    assert_eq!(renders_without_requests, 10, "once a second in ten seconds");
    assert!(!must_render(10_050));
    inspect.status();
    assert!(
        must_render(10_100),
        "a requested status is rendered again at the next tick"
    );
    assert!(!must_render(10_200));
}
