//! Reads sections and keys of an INI file and collects all errors. Not for: the meaning of keys.

use std::{cell, collections, fmt};

use crate::settings::{error, value};

/// Size limit of a settings file; 11,000 teams need less than half of it.
const MAX_SETTINGS_BYTES: usize = 4 * 1024 * 1024;
/// Minimum Jaro-Winkler similarity, from 0 to 1, of a name that is suggested.
const MIN_SUGGESTION_SIMILARITY: f64 = 0.7;

/// A settings file, with the keys that were requested from it and the errors found so far.
pub(crate) struct SettingsReader {
    sections: collections::BTreeMap<String, collections::BTreeMap<String, String>>,
    section_order: Vec<String>,
    known: cell::RefCell<collections::BTreeMap<String, collections::BTreeSet<String>>>,
    dynamic: cell::RefCell<collections::BTreeSet<String>>,
    errors: cell::RefCell<Vec<error::SettingsError>>,
}

impl SettingsReader {
    /// Splits the text into sections and keys.
    pub(crate) fn new(text: &str) -> Result<Self, error::SettingsErrors> {
        if text.len() > MAX_SETTINGS_BYTES {
            let message = format!(
                "the file has {} bytes: at most {MAX_SETTINGS_BYTES} are accepted",
                text.len()
            );
            return Err(error::SettingsErrors::for_file(message));
        }
        let text = clean_lines(text)?;
        let options = ini::ParseOption {
            enabled_quote: false,
            // Backslashes are part of paths and tokens.
            enabled_escape: false,
            ..ini::ParseOption::default()
        };
        let ini = ini::Ini::load_from_str_opt(&text, options)
            .map_err(|error| error::SettingsErrors::for_file(error.msg))?;
        let mut reader = Self {
            sections: collections::BTreeMap::new(),
            section_order: Vec::new(),
            known: cell::RefCell::default(),
            dynamic: cell::RefCell::default(),
            errors: cell::RefCell::default(),
        };
        for (name, properties) in &ini {
            reader.add_section(name, properties);
        }
        Ok(reader)
    }

    fn add_section(&mut self, name: Option<&str>, properties: &ini::Properties) {
        let Some(name) = name.map(str::trim) else {
            for (key, _) in properties {
                self.add_error("", key, None, "keys must follow a [section] line");
            }
            return;
        };
        if self.sections.contains_key(name) {
            self.add_error(name, "", None, "the section occurs twice: join both");
            return;
        }
        let mut keys = collections::BTreeMap::new();
        for (key, value) in properties {
            if keys.insert(key.to_owned(), value.to_owned()).is_some() {
                self.add_error(name, key, Some(value), "the key occurs twice: keep one");
            }
        }
        self.section_order.push(name.to_owned());
        self.sections.insert(name.to_owned(), keys);
    }

    /// Adds an error to the collected errors.
    pub(crate) fn add_error(
        &self,
        section: &str,
        key: &str,
        value: Option<&str>,
        accepted: impl fmt::Display,
    ) {
        self.errors.borrow_mut().push(error::SettingsError {
            section: section.to_owned(),
            key: key.to_owned(),
            value: value.map(|value| value.chars().take(200).collect()),
            accepted: accepted.to_string(),
        });
    }

    /// Returns a reader for a section with fixed keys.
    pub(crate) fn section<'a>(&'a self, name: &'a str) -> SectionReader<'a> {
        self.known.borrow_mut().entry(name.to_owned()).or_default();
        SectionReader { file: self, name }
    }

    /// Returns the keys and values of a section whose keys are names that the operator chooses.
    pub(crate) fn dynamic_section(&self, name: &str) -> Vec<(&str, &str)> {
        self.section(name);
        self.dynamic.borrow_mut().insert(name.to_owned());
        self.sections
            .get(name)
            .into_iter()
            .flatten()
            .map(|(key, value)| (key.as_str(), value.as_str()))
            .collect()
    }

    /// Returns each section `prefix.NAME` with its `NAME`, in file order.
    pub(crate) fn named_sections(&self, prefix: &str) -> Vec<(&str, &str)> {
        self.section_order
            .iter()
            .filter_map(|section| {
                let name = section.strip_prefix(prefix)?.strip_prefix('.')?;
                Some((section.as_str(), name))
            })
            .collect()
    }

    /// Returns whether the file contains a section.
    pub(crate) fn has_section(&self, name: &str) -> bool {
        self.sections.contains_key(name)
    }

    /// Registers a key as known without parsing its value.
    pub(crate) fn register_key(&self, section: &str, key: &str) {
        self.section(section).text(key);
    }

    /// Returns the keys that were requested. In section names, `NAME` stands for a name that the
    /// operator chooses.
    pub(crate) fn known_keys(&self) -> Vec<(String, String)> {
        let known = self.known.borrow();
        known
            .iter()
            .flat_map(|(section, keys)| keys.iter().map(|key| (section.clone(), key.clone())))
            .collect()
    }

    /// Adds an error for each section and key that was never requested, and returns all errors.
    pub(crate) fn finish(self) -> Result<(), error::SettingsErrors> {
        for (section, keys) in &self.sections {
            let known = self.known.borrow();
            let Some(known_keys) = known.get(section) else {
                let message = unknown_name_message("section", section, known.keys());
                self.add_error(section, "", None, message);
                continue;
            };
            if self.dynamic.borrow().contains(section) {
                continue;
            }
            for (key, value) in keys.iter().filter(|(key, _)| !known_keys.contains(*key)) {
                let message = unknown_name_message("key", key, known_keys.iter());
                self.add_error(section, key, Some(value), message);
            }
        }
        let errors = self.errors.into_inner();
        if errors.is_empty() {
            Ok(())
        } else {
            Err(error::SettingsErrors(errors))
        }
    }
}

/// Returns the section and key lines without comments, blank lines and indentation.
///
/// The INI library continues a key up to the next separator, even on a later line, and doesn't
/// end a line at an indented comment or after a backslash. Without this step, such lines would
/// absorb the lines that follow them.
fn clean_lines(text: &str) -> Result<String, error::SettingsErrors> {
    let mut cleaned = String::with_capacity(text.len());
    let mut errors = Vec::new();
    for (index, line) in text.split('\n').enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with(['#', ';']) {
            continue;
        }
        if is_settings_line(line) {
            cleaned.push_str(line);
            cleaned.push('\n');
            continue;
        }
        let shown: String = line.chars().take(80).collect();
        errors.push(error::SettingsError {
            section: String::new(),
            key: format!("line {}", index + 1),
            value: None,
            accepted: format!(
                "{shown:?}: expected [section], key = value or # comment, and no \\ in a key or \
                 at the end"
            ),
        });
    }
    if errors.is_empty() {
        Ok(cleaned)
    } else {
        Err(error::SettingsErrors(errors))
    }
}

fn is_settings_line(line: &str) -> bool {
    if line.contains('\r') {
        return false;
    }
    if let Some(rest) = line.strip_prefix('[') {
        return rest
            .strip_suffix(']')
            .is_some_and(|name| !name.contains([']', '[', '\\']));
    }
    let key = line.find(['=', ':']).and_then(|end| line.get(..end));
    key.is_some_and(|key| !key.is_empty() && !key.contains('\\')) && !line.ends_with('\\')
}

/// Returns the error message for an unknown name, with the most similar known name or a list
/// of all known names.
fn unknown_name_message<'a>(
    what: &str,
    name: &str,
    known: impl Iterator<Item = &'a String>,
) -> String {
    let known: Vec<&str> = known.map(String::as_str).collect();
    let similar = |other: &str| strsim::jaro_winkler(name, other);
    let nearest = known
        .iter()
        .max_by(|a, b| similar(a).total_cmp(&similar(b)))
        .filter(|nearest| similar(nearest) >= MIN_SUGGESTION_SIMILARITY);
    match nearest {
        Some(nearest) => format!("the {what} is not known: did you mean {nearest:?}?"),
        None => format!(
            "the {what} is not known: expected one of {}",
            known.join(", ")
        ),
    }
}

/// Reads the values of one section.
#[derive(Clone, Copy)]
pub(crate) struct SectionReader<'a> {
    file: &'a SettingsReader,
    name: &'a str,
}

impl<'a> SectionReader<'a> {
    fn text(&self, key: &str) -> Option<&'a str> {
        let mut known = self.file.known.borrow_mut();
        let keys = known.entry(self.name.to_owned()).or_default();
        keys.insert(key.to_owned());
        let section = self.file.sections.get(self.name)?;
        section.get(key).map(|value| value.trim())
    }

    /// Reads an optional value.
    pub(crate) fn optional<T>(&self, key: &str) -> Option<T>
    where
        T: value::SettingValue,
    {
        let text = self.text(key)?;
        let value = T::read(text);
        if value.is_none() {
            self.file.add_error(self.name, key, Some(text), T::ACCEPTED);
        }
        value
    }

    /// Reads an optional value and returns `default` if it is missing or invalid.
    pub(crate) fn with_default<T>(&self, key: &str, default: T) -> T
    where
        T: value::SettingValue,
    {
        self.optional(key).unwrap_or(default)
    }

    /// Reads a required value; adds an error if it is missing.
    pub(crate) fn required<T>(&self, key: &str) -> T
    where
        T: value::SettingValue,
    {
        if self.text(key).is_none() {
            let message = format!("the key is missing: {}", T::ACCEPTED);
            self.file.add_error(self.name, key, None, message);
            return T::placeholder();
        }
        self.optional(key).unwrap_or_else(T::placeholder)
    }

    /// Adds an error for `key` unless `holds` is true.
    pub(crate) fn check(&self, holds: bool, key: &str, accepted: impl fmt::Display) {
        if !holds {
            let value = self.text(key);
            self.file.add_error(self.name, key, value, accepted);
        }
    }
}
