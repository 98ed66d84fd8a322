//! Parses rows from CSV text and records the position of each error. Not for: rules between
//! rows.

use std::{fmt, str};

use crate::sheet::{self, count, error, rules};

/// A row with its line number, for errors that are found after parsing.
pub(crate) struct NumberedRow {
    pub(crate) line: usize,
    pub(crate) row: sheet::SheetRow,
}

/// The index in the file, starting at 0, of each column in `SHEET_COLUMNS`.
pub(crate) struct ColumnMap([usize; sheet::SHEET_COLUMNS.len()]);

impl ColumnMap {
    /// Creates an error for a cell; `column` is an index into `SHEET_COLUMNS`.
    pub(crate) fn error(
        &self,
        line: usize,
        column: usize,
        message: impl fmt::Display,
    ) -> error::SheetError {
        error::SheetError {
            line,
            column: self.0.get(column).map_or(0, |position| position + 1),
            name: sheet::SHEET_COLUMNS
                .get(column)
                .copied()
                .unwrap_or_default()
                .to_owned(),
            message: message.to_string(),
        }
    }
}

/// Decodes the bytes of a file as UTF-8.
pub(crate) fn decode(bytes: &[u8]) -> Result<&str, error::SheetErrors> {
    str::from_utf8(bytes).map_err(|error| {
        let valid = bytes.get(..error.valid_up_to()).unwrap_or_default();
        let line = valid.iter().filter(|byte| **byte == b'\n').count() + 1;
        error::SheetErrors::for_line(line, "the text is not UTF-8: export the sheet as UTF-8 CSV")
    })
}

pub(crate) fn read_rows(text: &str) -> Result<Vec<sheet::SheetRow>, error::SheetErrors> {
    if text.len() > sheet::MAX_SHEET_BYTES {
        let message = format!(
            "the sheet has {} bytes: at most {} are accepted",
            text.len(),
            sheet::MAX_SHEET_BYTES
        );
        return Err(error::SheetErrors::for_line(1, message));
    }
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let records = split(text)?;
    let Some((header, records)) = records.split_first() else {
        return Ok(Vec::new());
    };
    let columns = read_header(header)?;
    let mut errors = Vec::new();
    let mut rows = Vec::new();
    for record in records {
        match read_row(&columns, record) {
            Ok(row) => rows.push(row),
            Err(found) => errors.extend(found),
        }
    }
    errors.extend(rules::check(&columns, &rows));
    if errors.is_empty() {
        return Ok(rows.into_iter().map(|numbered| numbered.row).collect());
    }
    errors.sort_by_key(|error| (error.line, error.column));
    Err(error::SheetErrors(errors))
}

/// The cells of a line, with its line number.
struct LineCells {
    line: usize,
    cells: Vec<String>,
}

/// Splits the text into lines of cells; skips comments and lines with only empty cells.
fn split(text: &str) -> Result<Vec<LineCells>, error::SheetErrors> {
    let mut reader = csv::ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .comment(Some(b'#'))
        .delimiter(find_delimiter(text))
        .trim(csv::Trim::All)
        .from_reader(text.as_bytes());
    let mut lines = Vec::new();
    for record in reader.records() {
        let record =
            record.map_err(|error| error::SheetErrors::for_line(1, format!("not CSV: {error}")))?;
        if record.iter().all(str::is_empty) {
            continue;
        }
        let start = record.position().map_or(0, csv::Position::byte);
        lines.push(LineCells {
            line: line_number(text, usize::try_from(start).unwrap_or(0)),
            cells: record.iter().map(str::to_owned).collect(),
        });
    }
    Ok(lines)
}

/// Detects the separator; spreadsheets in some locales export with semicolons.
fn find_delimiter(text: &str) -> u8 {
    let header = text
        .lines()
        .find(|line| !line.trim().is_empty() && !line.starts_with('#'))
        .unwrap_or_default();
    if header.contains(';') && !header.contains(',') {
        b';'
    } else {
        b','
    }
}

/// Returns the line number of a record. The CSV reader reports the position before the blank and
/// comment lines that it skipped, so these are counted here.
fn line_number(text: &str, start: usize) -> usize {
    let before = text.get(..start).unwrap_or_default();
    let skipped = text
        .get(start..)
        .unwrap_or_default()
        .split('\n')
        .take_while(|line| line.trim_end_matches('\r').is_empty() || line.starts_with('#'))
        .count();
    before.matches('\n').count() + skipped + 1
}

fn read_header(header: &LineCells) -> Result<ColumnMap, error::SheetErrors> {
    let mut positions = [None; sheet::SHEET_COLUMNS.len()];
    let mut errors = Vec::new();
    for (index, cell) in header.cells.iter().enumerate() {
        let known = sheet::SHEET_COLUMNS.iter().position(|name| name == cell);
        let message = match known.and_then(|known| positions.get_mut(known)) {
            Some(position) if position.is_none() => {
                *position = Some(index);
                continue;
            }
            Some(_) => format!("column {cell:?} occurs twice"),
            None => format!(
                "column {cell:?} is not known: expected {}",
                sheet::SHEET_COLUMNS.join(",")
            ),
        };
        errors.push(error::SheetError {
            line: header.line,
            column: index + 1,
            name: cell.clone(),
            message,
        });
    }
    for (name, position) in sheet::SHEET_COLUMNS.iter().zip(&positions) {
        if position.is_none() {
            let message = format!("column {name:?} is missing");
            errors.extend(error::SheetErrors::for_line(header.line, message).0);
        }
    }
    if errors.is_empty() {
        Ok(ColumnMap(positions.map(Option::unwrap_or_default)))
    } else {
        Err(error::SheetErrors(errors))
    }
}

/// Parses the cells of one line and collects their errors.
struct CellReader<'a> {
    columns: &'a ColumnMap,
    record: &'a LineCells,
    errors: Vec<error::SheetError>,
}

impl CellReader<'_> {
    fn text(&self, column: usize) -> &str {
        let position = self.columns.0.get(column).copied().unwrap_or_default();
        self.record.cells.get(position).map_or("", String::as_str)
    }

    fn add_error(&mut self, column: usize, message: impl fmt::Display) {
        let error = self.columns.error(self.record.line, column, message);
        self.errors.push(error);
    }

    fn parse<T>(&mut self, column: usize) -> Option<T>
    where
        T: str::FromStr,
        T::Err: fmt::Display,
    {
        match self.text(column).parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.add_error(column, error);
                None
            }
        }
    }

    fn parse_optional<T>(&mut self, column: usize) -> Option<T>
    where
        T: str::FromStr,
        T::Err: fmt::Display,
    {
        if self.text(column).is_empty() {
            None
        } else {
            self.parse(column)
        }
    }

    /// Parses a count; an empty cell is 0.
    fn count(&mut self, column: usize) -> count::CountRange {
        self.parse_optional(column).unwrap_or_default()
    }

    fn floor(&mut self) -> u32 {
        let cell = self.text(rules::FLOOR);
        if cell.is_empty() {
            return 0;
        }
        let floor = count::parse_count(cell);
        if floor.is_none() {
            let message = format!("{cell:?} is not a floor: expected a whole number up to 10000");
            self.add_error(rules::FLOOR, message);
        }
        floor.unwrap_or_default()
    }

    fn adapters(&mut self) -> Vec<usher_types::AdapterName> {
        let cell = self.text(rules::ADAPTERS).to_owned();
        let mut adapters = Vec::new();
        for name in cell.split_whitespace() {
            match name.parse() {
                Ok(adapter) => adapters.push(adapter),
                Err(error) => self.add_error(rules::ADAPTERS, error),
            }
        }
        adapters.sort();
        for pair in adapters.windows(2) {
            if let [first, second] = pair {
                if first == second {
                    self.add_error(rules::ADAPTERS, format!("adapter {first} occurs twice"));
                }
            }
        }
        adapters
    }
}

fn read_row(
    columns: &ColumnMap,
    record: &LineCells,
) -> Result<NumberedRow, Vec<error::SheetError>> {
    let found = record.cells.len();
    let expected = sheet::SHEET_COLUMNS.len();
    if found != expected {
        let message = format!("the line has {found} cells: expected {expected}");
        return Err(error::SheetErrors::for_line(record.line, message).0);
    }
    let mut cells = CellReader {
        columns,
        record,
        errors: Vec::new(),
    };
    let service = cells.parse(rules::SERVICE);
    let kind = cells.parse(rules::KIND);
    let region = cells.parse(rules::REGION);
    let model = cells.parse_optional(rules::MODEL);
    let version = cells.parse_optional(rules::VERSION);
    let adapters = cells.adapters();
    let prefill = cells.count(rules::PREFILL);
    let decode = cells.count(rules::DECODE);
    let mixed = cells.count(rules::MIXED);
    let floor = cells.floor();
    let (Some(service), Some(kind), Some(region), true) =
        (service, kind, region, cells.errors.is_empty())
    else {
        return Err(cells.errors);
    };
    let row = sheet::SheetRow {
        service,
        kind,
        region,
        model,
        version,
        adapters,
        prefill,
        decode,
        mixed,
        floor,
    };
    let line = record.line;
    Ok(NumberedRow { line, row })
}
