//! Plot of the burn rate per hour as a self-contained SVG image.

use {
    super::ServiceBurn,
    cardamomloom_core::error::{Result, io},
    cardamomloom_state::burn::burn_rate,
    plotters::{
        chart::{ChartBuilder, SeriesLabelPosition},
        prelude::{IntoDrawingArea, Palette, Palette99, PathElement, SVGBackend},
        series::LineSeries,
        style::{BLACK, Color, WHITE},
    },
    std::fmt::Display,
};

/// Width and height of the image in pixels.
const SIZE_PX: (u32, u32) = (960, 480);

/// Smallest upper limit of the burn rate axis. It is above 1, so that the line at which the budget is
/// used up exactly is always visible.
const MIN_AXIS_MAX: f64 = 2.0;

/// Draws the burn rate of each service as a line over the past hours, where 0 is now, and returns the
/// SVG document.
pub fn draw(services: &[ServiceBurn]) -> Result<String> {
    let lines: Vec<(String, Vec<(f64, f64)>)> = services.iter().map(service_line).collect();
    let hours = lines.iter().map(|(_, points)| points.len()).max();
    let hours = hours.unwrap_or_default().max(1) as f64;
    let max_rate = lines
        .iter()
        .flat_map(|(_, points)| points.iter().map(|(_, rate)| *rate))
        .fold(MIN_AXIS_MAX, f64::max);
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE_PX).into_drawing_area();
        root.fill(&WHITE).map_err(plot_error)?;
        let mut chart = ChartBuilder::on(&root)
            .margin(20)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .caption("Error budget burn rate per hour", ("sans-serif", 20))
            .build_cartesian_2d(-hours..0.0, 0.0..max_rate * 1.05)
            .map_err(plot_error)?;
        chart
            .configure_mesh()
            .x_desc("hours")
            .y_desc("burn rate; 1 uses up exactly the budget")
            .draw()
            .map_err(plot_error)?;
        let budget_line = [(-hours, 1.0), (0.0, 1.0)];
        chart
            .draw_series(LineSeries::new(budget_line, &BLACK.mix(0.4)))
            .map_err(plot_error)?;
        for (index, (name, points)) in lines.into_iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            chart
                .draw_series(LineSeries::new(points, &color))
                .map_err(plot_error)?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .border_style(BLACK.mix(0.2))
            .background_style(WHITE.mix(0.8))
            .draw()
            .map_err(plot_error)?;
        root.present().map_err(plot_error)?;
    }
    Ok(svg)
}

/// Returns the name of a service and its points of age in hours, negated, and burn rate, the oldest
/// first. An hour without connections has no burn rate and is drawn at 0.
fn service_line(service: &ServiceBurn) -> (String, Vec<(f64, f64)>) {
    let points = service.history.iter().enumerate().map(|(age, sum)| {
        // With an objective that allows no failures, the burn rate of an hour with failures is
        // undefined; the point is drawn at `MIN_AXIS_MAX`.
        let undefined_rate = if sum.bad > 0 { MIN_AXIS_MAX } else { 0.0 };
        let rate = burn_rate(sum, service.objective).unwrap_or(undefined_rate);
        (-(age as f64), rate)
    });
    (service.name.to_string(), points.rev().collect())
}

fn plot_error(error: impl Display) -> cardamomloom_core::error::Error {
    io(format!("report: cannot draw the plot: {error}"))
}
