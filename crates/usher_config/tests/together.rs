//! The files of one installation must be consistent with each other.

use usher_config::{check_installation, CheckedFile};

const ENTRY: &str = include_str!("data/entry.ini");
const CONTROL: &str = include_str!("data/control.ini");
const SHEET: &str = "service,kind,region,model,version,adapters,prefill,decode,mixed,floor\n\
    rounds,plain,south-a,,,,0,0,1,1\n";

fn read(name: &str, text: &str) -> CheckedFile {
    CheckedFile::read(name, text.as_bytes()).unwrap()
}

/// Changes one line in one of three consistent files and expects exactly this error.
fn contradict(file: &str, line: &str, by: &str, expected: &str) {
    let texts = [
        ("entry.ini", ENTRY),
        ("control.ini", CONTROL),
        ("sheet.csv", SHEET),
    ];
    let files = texts.map(|(name, text)| read(name, text));
    assert_eq!(check_installation(&files), [""; 0]);
    let files = texts.map(|(name, text)| {
        let changed = text.replacen(line, by, 1);
        read(name, if name == file { &changed } else { text })
    });
    assert_eq!(check_installation(&files), [expected]);
}

usher_types::cases! { contradict:
    /// Guards against a file that was not updated after the replacement of a control VM.
    control_groups_differ("control.ini", "127.0.0.1:7404", "127.0.0.1:7414",
        "control.ini: the [control.*] sections differ from those of entry.ini");
    /// Guards against a process whose connections the other processes refuse.
    clusters_differ("control.ini", "cluster = loo-round", "cluster = loo-square",
        "control.ini: [node] cluster = loo-square: entry.ini has loo-round");
    same_name_twice("entry.ini", "name = entry-1", "name = control-1",
        "control.ini: [node] name = control-1: entry.ini has the same name");
    same_address_twice("entry.ini", "127.0.0.1:8080", "127.0.0.1:7501",
        "entry.ini: 127.0.0.1:7501 is taken by [control.control-1]");
    /// Guards against a typing error in a region, which would leave a row without targets.
    region_of_the_sheet_is_unknown("sheet.csv", "south-a", "suoth-a",
        "sheet.csv: row of rounds in suoth-a: region suoth-a has no entry or control VM: expected one of north-a, south-a, west-a");
    region_of_a_link_is_unknown("entry.ini", "south-a north-a =", "south-a nort-a =",
        "entry.ini: [region-links] nort-a south-a: region nort-a has no entry or control VM: expected one of north-a, south-a, west-a");
}
