//! Validation rules for single rows and between rows. Not for: parsing cells.

use std::collections;

use crate::sheet::{error, reader};

// Indices into `SHEET_COLUMNS`.
pub(crate) const SERVICE: usize = 0;
pub(crate) const KIND: usize = 1;
pub(crate) const REGION: usize = 2;
pub(crate) const MODEL: usize = 3;
pub(crate) const VERSION: usize = 4;
pub(crate) const ADAPTERS: usize = 5;
pub(crate) const PREFILL: usize = 6;
pub(crate) const DECODE: usize = 7;
pub(crate) const MIXED: usize = 8;
pub(crate) const FLOOR: usize = 9;

/// Returns one error for each violated rule.
pub(crate) fn check(
    columns: &reader::ColumnMap,
    rows: &[reader::NumberedRow],
) -> Vec<error::SheetError> {
    let mut errors = Vec::new();
    for numbered in rows {
        let violations = match numbered.row.kind {
            usher_types::TargetKind::Engine => check_engine(numbered),
            usher_types::TargetKind::Plain => check_plain(numbered),
        };
        let found = violations.into_iter().chain(check_row(numbered));
        errors.extend(found.map(|(column, text)| columns.error(numbered.line, column, text)));
    }
    errors.extend(check_pairs(columns, rows));
    errors
}

/// The index of a column and the error message.
type RuleViolation = (usize, String);

fn check_row(numbered: &reader::NumberedRow) -> Vec<RuleViolation> {
    let row = &numbered.row;
    let mut violations = Vec::new();
    if row.service.as_str().starts_with('#') {
        violations.push((SERVICE, "a service name can't begin with #".to_owned()));
    }
    if row.max_targets() == 0 {
        let message = "the row asks for no targets: give a count, or remove the row";
        violations.push((MIXED, message.to_owned()));
    } else if row.floor > row.max_targets() {
        let message = format!(
            "floor {} is above the {} targets that the row allows",
            row.floor,
            row.max_targets()
        );
        violations.push((FLOOR, message));
    }
    violations
}

fn check_engine(numbered: &reader::NumberedRow) -> Vec<RuleViolation> {
    let row = &numbered.row;
    let mut violations = Vec::new();
    if row.model.is_none() {
        violations.push((MODEL, "an engine row needs a model".to_owned()));
    }
    if row.version.is_none() {
        violations.push((VERSION, "an engine row needs a version".to_owned()));
    }
    // KV cache isn't transferred between regions, so each region needs engines for both prefill
    // and decode.
    if row.prefill.max > 0 && row.decode.max + row.mixed.max == 0 {
        let message = "prefill engines need decode or mixed engines in the same region";
        violations.push((PREFILL, message.to_owned()));
    }
    if row.decode.max > 0 && row.prefill.max + row.mixed.max == 0 {
        let message = "decode engines need prefill or mixed engines in the same region";
        violations.push((DECODE, message.to_owned()));
    }
    violations
}

fn check_plain(numbered: &reader::NumberedRow) -> Vec<RuleViolation> {
    let row = &numbered.row;
    let empty = [
        (MODEL, row.model.is_none(), "a plain service has no model"),
        (
            VERSION,
            row.version.is_none(),
            "a plain service has no version",
        ),
        (
            ADAPTERS,
            row.adapters.is_empty(),
            "a plain service has no adapters",
        ),
        (
            PREFILL,
            row.prefill.max == 0,
            "a plain service counts its targets under mixed",
        ),
        (
            DECODE,
            row.decode.max == 0,
            "a plain service counts its targets under mixed",
        ),
    ];
    empty
        .into_iter()
        .filter(|(_, holds, _)| !holds)
        .map(|(column, _, message)| (column, message.to_owned()))
        .collect()
}

/// Checks that all rows of a service agree on kind and model, and that each service and region
/// has only one row.
fn check_pairs(
    columns: &reader::ColumnMap,
    rows: &[reader::NumberedRow],
) -> Vec<error::SheetError> {
    let mut by_key = collections::BTreeMap::new();
    let mut by_service = collections::BTreeMap::new();
    let mut errors = Vec::new();
    for numbered in rows {
        let row = &numbered.row;
        let service = &row.service;
        let first = *by_service.entry(service).or_insert(numbered);
        if first.row.kind != row.kind {
            let message = format!(
                "service {service} is of kind {} on line {}",
                first.row.kind, first.line
            );
            errors.push(columns.error(numbered.line, KIND, message));
        } else if first.row.model != row.model && first.row.model.is_some() && row.model.is_some() {
            let message = format!(
                "service {service} has model {} on line {}: one service has one model",
                first.row.model.as_ref().map_or("", |name| name.as_str()),
                first.line
            );
            errors.push(columns.error(numbered.line, MODEL, message));
        }
        let Some(before) = by_key.insert(row.key(), numbered) else {
            continue;
        };
        let verb = if before.row == *row {
            "repeats"
        } else {
            "contradicts"
        };
        let message = format!(
            "the row {verb} line {}: one row per service and region",
            before.line
        );
        errors.push(columns.error(numbered.line, REGION, message));
    }
    errors
}
