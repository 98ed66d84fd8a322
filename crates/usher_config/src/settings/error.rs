//! Settings errors with section, key and value. Not for: errors in the sheet.

use std::fmt;

usher_types::value_type! {
    /// An error in a settings file.
    #[derive(Eq)]
    pub struct SettingsError {
        /// Section of the file; empty if the error concerns the whole file.
        pub section: String,
        /// Key in the section; empty if the error concerns the whole section.
        pub key: String,
        /// Value as written; `None` if the key is missing or unknown.
        pub value: Option<String>,
        /// Description of the accepted values.
        pub accepted: String,
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}", self.key)?;
        }
        if let Some(value) = &self.value {
            write!(f, " = {value}")?;
        }
        let colon = if self.section.is_empty() && self.key.is_empty() {
            ""
        } else {
            ": "
        };
        write!(f, "{colon}{}", self.accepted)
    }
}

/// All errors of a settings file; never empty.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub struct SettingsErrors(pub(crate) Vec<SettingsError>);

impl SettingsErrors {
    /// Returns the errors in the order in which the sections were read.
    pub fn errors(&self) -> &[SettingsError] {
        &self.0
    }

    pub(crate) fn for_file(accepted: impl Into<String>) -> Self {
        Self(vec![SettingsError {
            section: String::new(),
            key: String::new(),
            value: None,
            accepted: accepted.into(),
        }])
    }
}

impl fmt::Display for SettingsErrors {
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
