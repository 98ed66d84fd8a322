//! Property tests: random and mutated bytes never panic the readers, and no line of a file is
//! skipped silently.

use proptest::{prelude::*, test_runner::RngSeed};
use usher_config::{FleetSheet, ProcessSettings};

const ENTRY: &str = include_str!("data/entry.ini");
const SHEET: &str = "service,kind,region,model,version,adapters,prefill,decode,mixed,floor\n\
    assist,engine,south-a,gum-8b,3,crew roster,1..2,1,2,2\n\
    assist,engine,north-a,gum-8b,3,,0,0,4,2\n\
    # plain\n\
    rounds,plain,south-a,,,,0,0,1,1\n";

/// A change to the bytes of a text.
#[derive(Clone, Debug)]
enum Mutation {
    Set(usize, u8),
    Insert(usize, u8),
    Remove(usize, usize),
    Repeat(usize, usize),
}

fn mutation() -> impl Strategy<Value = Mutation> {
    // Separators are drawn more often, because they change the structure of the file.
    let byte = prop_oneof![
        any::<u8>(),
        prop::sample::select(b",;\"\n\r#[]=.: 0".to_vec())
    ];
    let position = any::<usize>();
    prop_oneof![
        (position, byte.clone()).prop_map(|(at, byte)| Mutation::Set(at, byte)),
        (position, byte).prop_map(|(at, byte)| Mutation::Insert(at, byte)),
        (position, 0..40_usize).prop_map(|(at, length)| Mutation::Remove(at, length)),
        (position, 0..40_usize).prop_map(|(at, length)| Mutation::Repeat(at, length)),
    ]
}

fn mutate(text: &str, mutations: &[Mutation]) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    for mutation in mutations {
        let length = bytes.len().max(1);
        match *mutation {
            Mutation::Set(at, byte) => {
                if let Some(position) = bytes.get_mut(at % length) {
                    *position = byte;
                }
            }
            Mutation::Insert(at, byte) => bytes.insert(at % length, byte),
            Mutation::Remove(at, count) => {
                let start = at % length;
                let end = (start + count).min(bytes.len());
                bytes.drain(start..end);
            }
            Mutation::Repeat(at, count) => {
                let start = at % length;
                let end = (start + count).min(bytes.len());
                let part: Vec<u8> = bytes[start..end].to_vec();
                bytes.splice(start..start, part);
            }
        }
    }
    bytes
}

/// Checks that an accepted sheet is equal after a round trip through its canonical form, and
/// that each error has a position within the text.
fn check_sheet(bytes: &[u8]) -> Result<(), TestCaseError> {
    let lines = bytes.iter().filter(|byte| **byte == b'\n').count() + 1;
    match FleetSheet::parse_bytes(bytes) {
        Ok(sheet) => {
            let text = sheet.to_csv();
            let reparsed = FleetSheet::parse(&text);
            prop_assert_eq!(reparsed.as_ref(), Ok(&sheet));
            prop_assert!(sheet.difference(&sheet).is_empty());
            for row in sheet.rows() {
                prop_assert!(row.floor <= row.max_targets() && row.max_targets() > 0);
            }
        }
        Err(errors) => {
            prop_assert!(!errors.errors().is_empty());
            for error in errors.errors() {
                prop_assert!(
                    (1..=lines).contains(&error.line),
                    "{error} of {lines} lines"
                );
                prop_assert!(error.column <= bytes.len());
            }
        }
    }
    Ok(())
}

/// Counts the key lines of a file independently of the settings reader.
fn count_keys(text: &str) -> usize {
    let is_key = |line: &&str| !line.is_empty() && !line.starts_with(['#', ';', '[']);
    text.split('\n').map(str::trim).filter(is_key).count()
}

fn check_settings(bytes: &[u8]) -> Result<(), TestCaseError> {
    let text = String::from_utf8_lossy(bytes);
    match ProcessSettings::parse(&text) {
        // A reader that skips lines could accept a file without any key line.
        Ok(_) => prop_assert!(count_keys(&text) > 0),
        Err(errors) => {
            prop_assert!(!errors.errors().is_empty());
            for error in errors.errors() {
                prop_assert!(!error.accepted.is_empty());
                prop_assert!(!error.section.contains('\n') && !error.key.contains('\n'));
            }
        }
    }
    Ok(())
}

/// Uses a fixed seed for CI; PROPTEST_RNG_SEED and PROPTEST_CASES override seed and case count.
fn config() -> ProptestConfig {
    let mut config = ProptestConfig::with_cases(2_000);
    config.failure_persistence = None;
    let env_value = |name| std::env::var(name).ok()?.parse().ok();
    config.rng_seed = RngSeed::Fixed(env_value("PROPTEST_RNG_SEED").unwrap_or(1));
    if let Some(cases) = env_value("PROPTEST_CASES") {
        config.cases = u32::try_from(cases).unwrap_or(u32::MAX);
    }
    config
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn sheet_takes_random_bytes(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        check_sheet(&bytes)?;
    }

    #[test]
    fn sheet_takes_mutated_bytes(mutations in prop::collection::vec(mutation(), 1..12)) {
        check_sheet(&mutate(SHEET, &mutations))?;
    }

    #[test]
    fn settings_take_random_bytes(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        check_settings(&bytes)?;
    }

    #[test]
    fn settings_take_mutated_bytes(mutations in prop::collection::vec(mutation(), 1..12)) {
        check_settings(&mutate(ENTRY, &mutations))?;
    }

    /// Guards against a key line that the reader absorbs into another one: each unknown key must
    /// be reported.
    #[test]
    fn settings_lose_no_line(keys in prop::collection::btree_set("[a-z.\\-/ ]{0,6}zz", 1..8),
                             values in prop::collection::vec("[ -~]{0,20}", 8)) {
        let lines: Vec<String> = keys.iter().zip(&values)
            .map(|(key, value)| format!("#{value}\n;{value}\n{key} = {}\n", value.trim_end_matches(['\\', ' '])))
            .collect();
        let text = ENTRY.replacen("[node]\n", &format!("[node]\n{}", lines.concat()), 1);
        let errors = ProcessSettings::parse(&text).unwrap_err();
        let distinct: std::collections::BTreeSet<_> = keys.iter().map(|key| key.trim()).collect();
        let reported: std::collections::BTreeSet<_> =
            errors.errors().iter().map(|error| error.key.as_str()).collect();
        prop_assert_eq!(reported, distinct);
    }
}
