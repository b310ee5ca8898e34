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

const SIZE: (u32, u32) = (960, 480);

/// Least height of the burn axis, so that the line of the budget is always visible.
const MIN_TOP: f64 = 2.0;

/// Draws one line per service; hours are counted back from now.
pub fn draw(services: &[ServiceBurn]) -> Result<String> {
    let lines: Vec<(String, Vec<(f64, f64)>)> = services.iter().map(line).collect();
    let hours = lines.iter().map(|(_, points)| points.len()).max();
    let hours = hours.unwrap_or_default().max(1) as f64;
    let top = lines
        .iter()
        .flat_map(|(_, points)| points.iter().map(|(_, rate)| *rate))
        .fold(MIN_TOP, f64::max);
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE).map_err(failed)?;
        let mut chart = ChartBuilder::on(&root)
            .margin(20)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .caption("Error budget burn rate per hour", ("sans-serif", 20))
            .build_cartesian_2d(-hours..0.0, 0.0..top * 1.05)
            .map_err(failed)?;
        chart
            .configure_mesh()
            .x_desc("hours")
            .y_desc("burn rate; 1 uses exactly the budget")
            .draw()
            .map_err(failed)?;
        let budget = [(-hours, 1.0), (0.0, 1.0)];
        chart
            .draw_series(LineSeries::new(budget, &BLACK.mix(0.4)))
            .map_err(failed)?;
        for (index, (name, points)) in lines.into_iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            chart
                .draw_series(LineSeries::new(points, &color))
                .map_err(failed)?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .border_style(BLACK.mix(0.2))
            .background_style(WHITE.mix(0.8))
            .draw()
            .map_err(failed)?;
        root.present().map_err(failed)?;
    }
    Ok(svg)
}

/// Returns the burn rate of each hour, the oldest first; an hour without connections has none.
fn line(service: &ServiceBurn) -> (String, Vec<(f64, f64)>) {
    let points = service.history.iter().enumerate().map(|(age, sum)| {
        // An objective that allows no failure has no rate; its failures are drawn at the top.
        let without_rate = if sum.bad > 0 { MIN_TOP } else { 0.0 };
        let rate = burn_rate(sum, service.objective).unwrap_or(without_rate);
        (-(age as f64), rate)
    });
    (service.name.to_string(), points.rev().collect())
}

fn failed(error: impl Display) -> cardamomloom_core::error::Error {
    io(format!("report: cannot draw the plot: {error}"))
}
