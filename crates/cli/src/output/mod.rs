//! Output for people and for programs.

use {
    serde_json::Value,
    std::io::{self, Write},
};

/// Result of a command, in both forms.
#[derive(Clone, Debug)]
pub struct Output {
    /// Text for people.
    pub text: String,
    /// The same for programs.
    pub json: Value,
}

impl Output {
    /// Prints one of the forms.
    pub fn show(&self, json: bool) {
        if json {
            print(&self.json.to_string());
        } else {
            print(&self.text);
        }
    }
}

/// Prints a text with a line end; a reader that has gone away is no error.
pub fn print(text: &str) {
    let _ = writeln!(io::stdout(), "{}", text.trim_end());
}

/// Lays out rows in columns as wide as their longest cell.
pub fn table(header: &[&str], rows: &[Vec<String>]) -> String {
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

/// Returns a JSON value as a table cell, text without quotes.
pub fn cell(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), ToOwned::to_owned)
}
