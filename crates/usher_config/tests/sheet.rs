//! A sheet is accepted completely, or refused with all of its errors and their positions.

use usher_config::{CountRange, FleetSheet};

const HEADER: &str = "service,kind,region,model,version,adapters,prefill,decode,mixed,floor\n";

fn with_header(lines: &str) -> String {
    format!("{HEADER}{lines}")
}

fn errors_of(text: &str) -> Vec<String> {
    match FleetSheet::parse(text) {
        Ok(sheet) => panic!("the sheet was accepted: {sheet:?}"),
        Err(errors) => errors.errors().iter().map(ToString::to_string).collect(),
    }
}

fn refuse(lines: &str, expected: &str) {
    assert_eq!(errors_of(&with_header(lines)), [expected]);
}

usher_types::cases! { refuse:
    /// Guards against a count that a spreadsheet converted to another type.
    count_must_be_whole(
        "a,engine,r,m,1,,0,0,2.5,1\n",
        "line 2, column 9 (mixed): \"2.5\" is not a count: expected a whole number up to 10000, or a range such as 1..4",
    );
    /// Guards against a range that contains no number.
    range_must_not_be_empty(
        "a,engine,r,m,1,,4..1,1,0,1\n",
        "line 2, column 7 (prefill): \"4..1\" is not a count: expected a whole number up to 10000, or a range such as 1..4",
    );
    /// Guards against overflow in the sum of counts.
    count_has_a_limit(
        "a,engine,r,m,1,,0,0,4294967295,1\n",
        "line 2, column 9 (mixed): \"4294967295\" is not a count: expected a whole number up to 10000, or a range such as 1..4",
    );
    /// Guards against a floor that blocks every planned change.
    floor_above_counts(
        "a,engine,r,m,1,,0,0,2,3\n",
        "line 2, column 10 (floor): floor 3 is above the 2 targets that the row allows",
    );
    /// Guards against a row that silently removes a service.
    row_without_targets(
        "a,engine,r,m,1,,0,0,0,0\n",
        "line 2, column 9 (mixed): the row asks for no targets: give a count, or remove the row",
    );
    /// Guards against prefill engines without an engine in the region that can take over the KV
    /// cache.
    prefill_without_decode(
        "a,engine,r,m,1,,2,0,0,1\n",
        "line 2, column 7 (prefill): prefill engines need decode or mixed engines in the same region",
    );
    decode_without_prefill(
        "a,engine,r,m,1,,,2,,1\n",
        "line 2, column 8 (decode): decode engines need prefill or mixed engines in the same region",
    );
    /// Guards against a load order without a version.
    engine_without_version(
        "a,engine,r,m,,,0,0,2,1\n",
        "line 2, column 5 (version): an engine row needs a version",
    );
    plain_with_model(
        "a,plain,r,m,,,0,0,2,1\n",
        "line 2, column 4 (model): a plain service has no model",
    );
    adapter_twice(
        "a,engine,r,m,1,x y x,0,0,2,1\n",
        "line 2, column 6 (adapters): adapter x occurs twice",
    );
    unknown_kind(
        "a,motor,r,m,1,,0,0,2,1\n",
        "line 2, column 2 (kind): \"motor\" is not valid: expected one of engine, plain",
    );
    /// Guards against counting a duplicate row twice.
    same_row_twice(
        "a,plain,r,,,,0,0,2,1\na,plain,r,,,,0,0,2,1\n",
        "line 3, column 3 (region): the row repeats line 2: one row per service and region",
    );
    /// Guards against silently using one of two contradictory rows.
    contradicting_rows(
        "a,plain,r,,,,0,0,2,1\na,plain,r,,,,0,0,3,1\n",
        "line 3, column 3 (region): the row contradicts line 2: one row per service and region",
    );
    service_of_two_kinds(
        "a,plain,r,,,,0,0,2,1\na,engine,s,m,1,,0,0,3,1\n",
        "line 3, column 2 (kind): service a is of kind plain on line 2",
    );
    service_of_two_models(
        "a,engine,r,m,1,,0,0,3,1\na,engine,s,n,1,,0,0,3,1\n",
        "line 3, column 4 (model): service a has model m on line 2: one service has one model",
    );
    /// Guards against a missing cell that shifts the following cells to other columns.
    short_line("a,plain,r,,,,0,0,2\n", "line 2: the line has 9 cells: expected 10");
    /// Guards against wrong line numbers after comments and blank lines.
    line_number_after_skipped_lines(
        "# a comment\n\n\n# more\na,plain,r,,,,0,0,two,1\n",
        "line 6, column 9 (mixed): \"two\" is not a count: expected a whole number up to 10000, or a range such as 1..4",
    );
    /// Guards against a quoted name that is read as a comment after it is written unquoted.
    name_like_a_comment(
        "\"#a\",plain,r,,,,0,0,2,1\n",
        "line 2, column 1 (service): a service name can't begin with #",
    );
}

/// Guards against a reader that stops at the first error, so that operators need one attempt
/// per error.
#[test]
fn all_errors_come_at_once_in_order_of_position() {
    let text =
        with_header("a,engine,r,m,1,,0,0,2,9\nb,motor,,m,1,,x,0,2,1\nc,plain,r,,,,0,0,1,y\n");
    let positions: Vec<_> = errors_of(&text)
        .iter()
        .map(|error| error.split(':').next().unwrap_or_default().to_owned())
        .collect();
    assert_eq!(
        positions,
        [
            "line 2, column 10 (floor)",
            "line 3, column 2 (kind)",
            "line 3, column 3 (region)",
            "line 3, column 7 (prefill)",
            "line 4, column 10 (floor)",
        ]
    );
}

/// Guards against a header with a duplicate and a missing column.
#[test]
fn header_must_have_each_column_once() {
    let text = HEADER.replace("decode", "mixed");
    assert_eq!(
        errors_of(&text),
        [
            "line 1, column 9 (mixed): column \"mixed\" occurs twice",
            "line 1: column \"decode\" is missing",
        ]
    );
}

/// Guards against refusing the CSV variants of some spreadsheets: byte order mark, CRLF,
/// semicolons and padding lines.
#[test]
fn exports_of_spreadsheets_are_read() {
    let plain = with_header("a,engine,r,m,1,x y,1..2,1,0,2\n");
    let sheet = FleetSheet::parse(&plain).unwrap();
    let marked = format!("\u{feff}{}", plain.replace('\n', "\r\n"));
    assert_eq!(FleetSheet::parse(&marked).unwrap(), sheet);
    assert_eq!(FleetSheet::parse(&plain.replace(',', ";")).unwrap(), sheet);
    let padded = format!("{plain},,,,,,,,,\n");
    assert_eq!(FleetSheet::parse(&padded).unwrap(), sheet);
}

/// Guards against equal sheets with different canonical text, which would count as a change.
#[test]
fn canonical_text_does_not_depend_on_order() {
    let first = with_header("b,plain,r,,,,0,0,1,0\na,engine,r,m,1,y x,0,0,1..3,1\n");
    let second = "floor,mixed,decode,prefill,adapters,version,model,region,kind,service\n\
                  1,1..3,0,0,x y,1,m,r,engine,a\n0,1,,,,,,r,plain,b\n";
    let sheet = FleetSheet::parse(&first).unwrap();
    assert_eq!(FleetSheet::parse(second).unwrap().to_csv(), sheet.to_csv());
    assert_eq!(FleetSheet::parse(&sheet.to_csv()).unwrap(), sheet);
}

/// Guards against a dry run that omits a change.
#[test]
fn difference_names_each_cell() {
    let old = with_header("a,engine,r,m,1,,0,0,2,1\nb,plain,r,,,,0,0,1,0\n");
    let new = with_header("a,engine,r,m,2,x,0,0,1..2,1\nc,plain,r,,,,0,0,1,0\n");
    let old = FleetSheet::parse(&old).unwrap();
    let new = FleetSheet::parse(&new).unwrap();
    assert_eq!(
        new.difference(&old).to_string(),
        "~ a in r: version \"1\" -> \"2\", adapters \"\" -> \"x\", mixed \"2\" -> \"1..2\"\n\
         - b in r: b,plain,r,,,,0,0,1,0\n\
         + c in r: c,plain,r,,,,0,0,1,0\n"
    );
    assert!(old.difference(&old).is_empty());
}

/// Guards against a first start that fails because there is no configuration yet.
#[test]
fn empty_text_is_the_empty_sheet() {
    assert!(FleetSheet::parse("").unwrap().is_empty());
    let sheet = FleetSheet::parse(&with_header("a,plain,r,,,,0,0,1,0\n")).unwrap();
    let row = &sheet.rows()[0];
    assert_eq!(row.mixed, CountRange::fixed(1));
    assert_eq!(sheet.row(&row.service, &row.region), Some(row));
}
