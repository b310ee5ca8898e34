//! Output of a command as text or as JSON.

use {
    serde_json::Value,
    std::io::{self, Write},
};

/// Result of a command as text and as JSON.
#[derive(Clone, Debug)]
pub struct Output {
    /// Text that is printed without `--json`.
    pub text: String,
    /// Document that is printed with `--json`.
    pub json: Value,
}

impl Output {
    /// Prints the JSON document if `json` is set, and the text otherwise.
    pub fn print(&self, json: bool) {
        if json {
            print(&self.json.to_string());
        } else {
            print(&self.text);
        }
    }
}

/// Prints a text and one line end to standard output. Write errors are ignored, so that a pipe
/// whose reader has ended does not fail the command.
pub fn print(text: &str) {
    let _ = writeln!(io::stdout(), "{}", text.trim_end());
}

/// Formats a header and rows as left-aligned columns, each as wide as its longest cell.
pub fn format_table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let header: Vec<String> = header.iter().map(|cell| (*cell).to_owned()).collect();
    std::iter::once(&header)
        .chain(rows)
        .map(|row| {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect();
            cells.join("  ").trim_end().to_owned() + "\n"
        })
        .collect()
}

/// Formats a JSON value as a table cell; a string appears without quotes.
pub fn format_cell(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), ToOwned::to_owned)
}
