//! Writing results as text, tables or JSON.

use std::io::{self, IsTerminal, Write};

use serde::Serialize;

use crate::options::Format;

/// Turns colours off, as is customary; see <https://no-color.org>.
const NO_COLOR_VARIABLE: &str = "NO_COLOR";
const CLEAR_LINE: &str = "\r\x1b[2K";
const BOLD: &str = "\x1b[1m";
const PLAIN: &str = "\x1b[0m";

/// Where and how a command writes its result.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    /// Whether programs read the result.
    pub json: bool,
    color: bool,
}

/// Rows under a header.
#[derive(Clone, Debug)]
pub(crate) struct Table {
    header: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl Output {
    /// Writes to standard output; in colour only on a terminal.
    pub fn stdout(format: &Format) -> Self {
        let color =
            io::stdout().is_terminal() && std::env::var_os(NO_COLOR_VARIABLE).is_none();
        Output {
            json: format.json,
            color,
        }
    }

    /// Writes a line of text.
    pub fn line(&self, text: &str) -> io::Result<()> {
        writeln!(io::stdout().lock(), "{text}")
    }

    /// Writes a line beside the result, to standard error.
    pub fn notice(&self, text: &str) -> io::Result<()> {
        writeln!(io::stderr().lock(), "{text}")
    }

    /// Shows how far a command has come, on a terminal alone.
    pub fn progress(&self, text: &str) -> io::Result<()> {
        let mut stderr = io::stderr().lock();
        if stderr.is_terminal() {
            write!(stderr, "{CLEAR_LINE}{text}")?;
            stderr.flush()?;
        }
        Ok(())
    }

    /// Writes a value as JSON over several lines.
    pub fn json<T: Serialize>(&self, value: &T) -> io::Result<()> {
        let text = serde_json::to_string_pretty(value)?;
        self.line(&text)
    }

    /// Writes a value as JSON on one line, as a stream of records needs it.
    pub fn json_line<T: Serialize>(&self, value: &T) -> io::Result<()> {
        let text = serde_json::to_string(value)?;
        self.line(&text)
    }

    /// Writes a table.
    pub fn table(&self, table: &Table) -> io::Result<()> {
        let widths = table.widths();
        let header: Vec<String> =
            table.header.iter().map(|name| (*name).to_owned()).collect();
        let header = aligned(&header, &widths);
        let (bold, plain) = if self.color { (BOLD, PLAIN) } else { ("", "") };
        self.line(&format!("{bold}{header}{plain}"))?;
        for row in &table.rows {
            self.line(&aligned(row, &widths))?;
        }
        Ok(())
    }
}

impl Table {
    /// Makes a table without rows.
    pub fn new(header: &[&'static str]) -> Self {
        Table {
            header: header.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    fn widths(&self) -> Vec<usize> {
        let column = |index: usize| {
            let cells = self.rows.iter().filter_map(move |row| row.get(index));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let header = self.header.iter().enumerate();
        header
            .map(|(index, name)| column(index).max(name.len()))
            .collect()
    }
}

fn aligned(cells: &[String], widths: &[usize]) -> String {
    let cells = cells.iter().zip(widths);
    let padded: Vec<String> = cells
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    padded.join("  ").trim_end().to_owned()
}
