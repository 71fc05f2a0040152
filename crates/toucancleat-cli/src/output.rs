//! Writes results as text, tables or JSON.

use std::io::{self, IsTerminal, Write};

use serde::Serialize;

use crate::options::Format;

/// Turns colours off when it is set; see <https://no-color.org>.
const NO_COLOR_VARIABLE: &str = "NO_COLOR";
const CLEAR_LINE: &str = "\r\x1b[2K";
const BOLD: &str = "\x1b[1m";
const RESET: &str = "\x1b[0m";

/// The format in which a command writes its result.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    /// Whether the result is written as JSON.
    pub is_json: bool,
    is_colored: bool,
}

/// A table of text cells under a header.
#[derive(Clone, Debug)]
pub(crate) struct Table {
    header: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl Output {
    /// Returns the output for standard output, with colours only on a terminal.
    pub fn stdout(format: &Format) -> Self {
        let is_colored =
            io::stdout().is_terminal() && std::env::var_os(NO_COLOR_VARIABLE).is_none();
        Output {
            is_json: format.json,
            is_colored,
        }
    }

    /// Writes a line of text.
    pub fn write_line(&self, text: &str) -> io::Result<()> {
        writeln!(io::stdout().lock(), "{text}")
    }

    /// Writes a line that isn't part of the result to standard error.
    pub fn write_notice(&self, text: &str) -> io::Result<()> {
        writeln!(io::stderr().lock(), "{text}")
    }

    /// Shows the progress of a command on standard error if it is a terminal.
    ///
    /// Each call replaces the text of the one before.
    pub fn show_progress(&self, text: &str) -> io::Result<()> {
        let mut stderr = io::stderr().lock();
        if stderr.is_terminal() {
            write!(stderr, "{CLEAR_LINE}{text}")?;
            stderr.flush()?;
        }
        Ok(())
    }

    /// Writes a value as indented JSON.
    pub fn write_json<T: Serialize>(&self, value: &T) -> io::Result<()> {
        let text = serde_json::to_string_pretty(value)?;
        self.write_line(&text)
    }

    /// Writes a value as JSON on one line, for a stream of records.
    pub fn write_json_line<T: Serialize>(&self, value: &T) -> io::Result<()> {
        let text = serde_json::to_string(value)?;
        self.write_line(&text)
    }

    /// Writes a table.
    pub fn write_table(&self, table: &Table) -> io::Result<()> {
        let widths = table.column_widths();
        let header: Vec<String> =
            table.header.iter().map(|name| (*name).to_owned()).collect();
        let header = align_cells(&header, &widths);
        let (bold, reset) = if self.is_colored {
            (BOLD, RESET)
        } else {
            ("", "")
        };
        self.write_line(&format!("{bold}{header}{reset}"))?;
        for row in &table.rows {
            self.write_line(&align_cells(row, &widths))?;
        }
        Ok(())
    }
}

impl Table {
    /// Creates a table without rows.
    pub fn new(header: &[&'static str]) -> Self {
        Table {
            header: header.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    fn column_widths(&self) -> Vec<usize> {
        let column_width = |index: usize| {
            let cells = self.rows.iter().filter_map(move |row| row.get(index));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let header = self.header.iter().enumerate();
        header
            .map(|(index, name)| column_width(index).max(name.len()))
            .collect()
    }
}

fn align_cells(cells: &[String], widths: &[usize]) -> String {
    let cells = cells.iter().zip(widths);
    let padded: Vec<String> = cells
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    padded.join("  ").trim_end().to_owned()
}
