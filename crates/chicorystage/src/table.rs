//! Text tables for the terminal.

use std::fmt;

/// Text table whose columns are as wide as their longest cell.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a heading and no rows.
    #[must_use]
    pub fn new(heading: &[&str]) -> Self {
        let heading = heading.iter().map(|&cell| cell.to_owned());
        Self {
            rows: vec![heading.collect()],
        }
    }

    /// Appends a row of cells.
    pub fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Returns whether the table has no rows below its heading.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.len() <= 1
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |i: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(i));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, &width) in row.iter().zip(&widths) {
                line.extend([format!("{cell:width$}  ")]);
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
