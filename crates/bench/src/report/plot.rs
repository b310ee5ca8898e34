//! Draws line plots as SVG documents.

use {
    cardamomloom_core::error::{Error, io},
    plotters::{
        chart::ChartBuilder,
        drawing::IntoDrawingArea,
        element::PathElement,
        prelude::SVGBackend,
        series::LineSeries,
        style::{BLACK, Color, Palette, Palette99, WHITE},
    },
};

/// Result of drawing a plot.
pub type Result<T> = std::result::Result<T, Error>;

/// Line of a plot.
#[derive(Clone, Debug)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points (x, y), ordered by x.
    pub points: Vec<(f64, f64)>,
}

/// Title and axis labels of a plot.
#[derive(Clone, Copy, Debug)]
pub struct Axes {
    /// Title above the plot.
    pub title: &'static str,
    /// Quantity and unit of the x axis.
    pub x: &'static str,
    /// Quantity and unit of the y axis.
    pub y: &'static str,
}

const SIZE_PIXELS: (u32, u32) = (900, 480);

/// Draws the lines, with both axes starting at zero, and returns the SVG document.
///
/// # Errors
///
/// Fails with kind `io` when the drawing library fails.
pub fn line_plot(axes: Axes, series: &[Series]) -> Result<String> {
    let mut svg = String::new();
    draw(axes, series, &mut svg)
        .map_err(|error| io(format!("plot: cannot draw {:?}: {error}", axes.title)))?;
    Ok(svg)
}

fn draw(
    axes: Axes,
    series: &[Series],
    svg: &mut String,
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let points = || series.iter().flat_map(|line| &line.points);
    let x_max = points().map(|point| point.0).fold(1e-9, f64::max);
    let y_max = points().map(|point| point.1).fold(1e-9, f64::max);
    let area = SVGBackend::with_string(svg, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(axes.title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..x_max * 1.02, 0.0..y_max * 1.1)?;
    chart
        .configure_mesh()
        .x_desc(axes.x)
        .y_desc(axes.y)
        .draw()?;
    for (index, line) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), color))?
            .label(line.name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
