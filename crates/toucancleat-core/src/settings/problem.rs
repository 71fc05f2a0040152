//! Problems of a settings document, with their paths and positions.

use std::fmt;

/// A single problem of a settings document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    path: String,
    message: String,
    position: Option<Position>,
}

/// A position in a text; lines and columns are counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column, in characters.
    pub column: usize,
}

/// All problems of a document, in the order of the text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Problems(Vec<Problem>);

impl Problem {
    /// Creates a problem at a JSON pointer, without a position.
    pub(super) fn new(path: &str, message: impl Into<String>) -> Self {
        Problem {
            path: path.to_owned(),
            message: message.into(),
            position: None,
        }
    }

    /// Sets the position in the text.
    pub(super) fn with_position(self, position: Position) -> Self {
        Problem {
            position: Some(position),
            ..self
        }
    }

    /// Returns the location in the tree as a JSON pointer.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns the description of the problem: what was expected and what was found.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns the position in the text; `None` for a tree that wasn't parsed from a
    /// text.
    pub fn position(&self) -> Option<Position> {
        self.position
    }
}

impl Position {
    /// Returns the position of a byte offset.
    pub(super) fn of_offset(text: &str, offset: usize) -> Self {
        let before = &text[..offset];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Position {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

impl Problems {
    /// Returns the problems sorted by their position as an error; `Ok` when there is
    /// none.
    pub(super) fn into_result(mut problems: Vec<Problem>) -> Result<(), Problems> {
        if problems.is_empty() {
            return Ok(());
        }
        problems.sort_by_key(|problem| problem.position);
        Err(Problems(problems))
    }

    /// Returns the problems in the order of the text.
    pub fn as_slice(&self) -> &[Problem] {
        &self.0
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(position) = self.position {
            write!(f, "{position}: ")?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{problem}")?;
        }
        Ok(())
    }
}
