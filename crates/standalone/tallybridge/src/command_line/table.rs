//! Tables for terminals.

use std::fmt;

/// Blanks between two columns.
const GAP: usize = 2;

/// Rows of cells in aligned columns under a header.
#[derive(Debug)]
pub struct Table<const COLUMNS: usize> {
    rows: Vec<[String; COLUMNS]>,
}

impl<const COLUMNS: usize> Table<COLUMNS> {
    /// A table without rows.
    pub fn new(header: [&str; COLUMNS]) -> Self {
        Self {
            rows: vec![header.map(str::to_owned)],
        }
    }

    /// Adds a row.
    pub fn push(&mut self, row: [String; COLUMNS]) {
        self.rows.push(row);
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().map(|row| row[column].chars().count());
        cells.max().unwrap_or_default()
    }
}

impl<const COLUMNS: usize> fmt::Display for Table<COLUMNS> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            let mut line = String::new();
            for (column, cell) in row.iter().enumerate() {
                let width = self.width(column) + GAP;
                line += &format!("{cell:width$}");
            }
            writeln!(formatter, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
