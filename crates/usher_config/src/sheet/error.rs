//! Errors of the sheet with their position. Not for: errors of the settings.

use std::fmt;

/// One error of the sheet with its position.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub struct SheetError {
    /// Line of the file, from 1.
    pub line: usize,
    /// Column of the file, from 1; 0 when the whole line is meant.
    pub column: usize,
    /// Name of the column; empty when the whole line is meant.
    pub name: String,
    /// What is wrong and what is accepted.
    pub message: String,
}

impl fmt::Display for SheetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}", self.line)?;
        match (self.column, self.name.as_str()) {
            (0, _) => {}
            (column, "") => write!(f, ", column {column}")?,
            (column, name) => write!(f, ", column {column} ({name})")?,
        }
        write!(f, ": {}", self.message)
    }
}

/// All errors of a sheet, in the order of lines; never empty.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub struct SheetErrors(pub(crate) Vec<SheetError>);

impl SheetErrors {
    /// Returns the errors in the order of lines.
    pub fn errors(&self) -> &[SheetError] {
        &self.0
    }

    pub(crate) fn for_line(line: usize, message: impl Into<String>) -> Self {
        Self(vec![SheetError {
            line,
            column: 0,
            name: String::new(),
            message: message.into(),
        }])
    }
}

impl fmt::Display for SheetErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}
