//! Report of an experiment, as one JSON object or as a table.

mod plot;
mod slope;

pub use {
    plot::{Axes, Series, line_plot},
    slope::Line,
};

use {
    crate::experiment::RunOptions,
    cardamomloom_core::error::{Error, io},
    serde_json::{Value, json},
    std::{fs, path::Path},
};

/// Result of writing a report.
pub type Result<T> = std::result::Result<T, Error>;

/// Results of an experiment: rows, fitted lines and a plot.
///
/// Each row is a JSON object. Consecutive rows with the same fields form one table.
#[derive(Clone, Debug)]
pub struct Report {
    experiment: &'static str,
    seed: u64,
    quick: bool,
    rows: Vec<Value>,
    slopes: Vec<Value>,
    plot: Option<String>,
}

impl Report {
    /// Creates an empty report.
    #[must_use]
    pub const fn new(experiment: &'static str, options: &RunOptions) -> Self {
        Self {
            experiment,
            seed: options.seed,
            quick: options.quick,
            rows: Vec::new(),
            slopes: Vec::new(),
            plot: None,
        }
    }

    /// Adds a row, which must be a JSON object.
    pub fn add_row(&mut self, row: Value) {
        self.rows.push(row);
    }

    /// Adds the line fitted through points of (size, quantity). Both names include their units.
    pub fn add_slope(&mut self, quantity: &str, size: &str, points: &[(f64, f64)]) {
        let line = Line::fit(points);
        self.slopes.push(json!({
            "quantity": quantity, "size": size, "points": points.len(),
            "slope": line.slope, "intercept": line.intercept,
        }));
    }

    /// Sets the plot of the experiment to an SVG document.
    pub fn set_plot(&mut self, svg: String) {
        self.plot = Some(svg);
    }

    /// Writes the plot, if there is one, to `<folder>/<experiment>.svg`; creates the folder.
    ///
    /// # Errors
    ///
    /// Fails with kind `io` when the folder or the file cannot be written.
    pub fn write_plot(&self, folder: &Path) -> Result<()> {
        let Some(svg) = &self.plot else {
            return Ok(());
        };
        let path = folder.join(format!("{}.svg", self.experiment));
        fs::create_dir_all(folder)
            .and_then(|()| fs::write(&path, svg))
            .map_err(|error| io(format!("report: cannot write {}: {error}", path.display())))
    }

    /// Prints the report to standard output, without the plot.
    pub fn print(&self, as_json: bool) {
        if as_json {
            let object = json!({
                "experiment": self.experiment,
                "seed": self.seed,
                "quick": self.quick,
                "rows": self.rows,
                "slopes": self.slopes,
            });
            println!("{object}");
            return;
        }
        println!("{} (seed {})", self.experiment, self.seed);
        self.print_table();
    }

    fn print_table(&self) {
        let mut current_columns: Vec<&String> = Vec::new();
        for row in self.rows.iter().filter_map(Value::as_object) {
            let columns: Vec<&String> = row.keys().collect();
            if columns != current_columns {
                print_line(columns.iter().map(|name| (*name).clone()));
                current_columns = columns;
            }
            print_line(row.values().map(format_cell));
        }
        for line in &self.slopes {
            println!(
                "slope: {} = {:.4} + {:.6} * {} ({} points)",
                format_cell(&line["quantity"]),
                line["intercept"].as_f64().unwrap_or_default(),
                line["slope"].as_f64().unwrap_or_default(),
                format_cell(&line["size"]),
                line["points"],
            );
        }
    }
}

fn print_line(cells: impl Iterator<Item = String>) {
    for cell in cells {
        print!("{cell:>22}");
    }
    println!();
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.3}", number.as_f64().unwrap_or_default())
        }
        other => other.to_string(),
    }
}
