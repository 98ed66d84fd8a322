//! Sheet errors with line and column. Not for: errors in settings.

use std::fmt;

/// An error in a sheet, with its line and column.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub struct SheetError {
    /// Line number in the file, starting at 1.
    pub line: usize,
    /// Column number in the file, starting at 1; 0 if the error concerns the whole line.
    pub column: usize,
    /// Name of the column; empty if the error concerns the whole line.
    pub name: String,
    /// Description of the error and of the accepted values.
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

/// All errors of a sheet, sorted by line; never empty.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub struct SheetErrors(pub(crate) Vec<SheetError>);

impl SheetErrors {
    /// Returns the errors, sorted by line.
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
