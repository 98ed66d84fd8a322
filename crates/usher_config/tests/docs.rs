//! Checks that the settings page lists exactly the keys that the processes accept.

use std::collections;

/// Guards against undocumented keys and against documented keys that are refused.
#[test]
fn page_lists_every_key() {
    let page = include_str!("../../../docs/settings.md");
    let rows = page.lines().filter(|line| line.starts_with("| `"));
    let listed: collections::BTreeSet<_> = rows
        .map(|line| {
            let mut cells = line.split('|').map(|cell| cell.trim().trim_matches('`'));
            cells.next();
            let section = cells.next().unwrap_or_default().to_owned();
            (section, cells.next().unwrap_or_default().to_owned())
        })
        // The keys of these sections are names that the operator chooses.
        .filter(|(section, _)| {
            !["region-links", "firms", "teams", "tokens"].contains(&section.as_str())
        })
        .collect();
    let known: collections::BTreeSet<_> = usher_config::setting_keys()
        .into_iter()
        .map(|key| (key.section, key.key))
        .collect();
    assert_eq!(listed, known);
}
