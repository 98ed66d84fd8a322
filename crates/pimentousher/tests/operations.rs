//! Tests that the program accepts the commands printed on the operations page.

use std::{fs, path, process};

/// Returns the `pimentousher` commands printed on the page.
fn commands() -> Vec<String> {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = fs::read_to_string(root.join("docs/OPERATIONS.md")).unwrap();
    page.lines()
        .filter(|line| line.starts_with("    "))
        .map(|line| line.trim().split(" > ").next().unwrap().to_owned())
        .filter(|line| line.starts_with("pimentousher "))
        .collect()
}

/// Guards against a page with commands or options that no longer exist.
///
/// No installation is running: a valid command fails with code 1 because no leader responds, while
/// an invalid command line fails with code 2.
#[test]
fn printed_commands_are_understood() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let scratch = path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let records = scratch.join("operations.records");
    fs::write(&records, "").unwrap();
    let records = records.to_str().unwrap();
    let commands = commands();
    assert!(commands.len() > 10, "{commands:?}");
    for line in commands {
        let needs_control = !line.contains("check-config") && !line.contains("report burn");
        let line = line
            .replace("entry-1/burn.records", records)
            .replace("entry-2/burn.records", records)
            .replace("burn.html", scratch.join("burn.html").to_str().unwrap())
            .replace("10.20.1.11:8080", "127.0.0.1:1")
            .replace("sheet-in-force.csv", "examples/loo-round/sheet.csv")
            .replace("examples/loo-round/operator.ini", "operator.ini");
        let mut command = process::Command::new("bash");
        let line = line.replacen("pimentousher", env!("CARGO_BIN_EXE_pimentousher"), 1);
        let line = if needs_control {
            // Nothing listens on port 1, and nothing is sent outside loopback.
            format!("{line} --control 127.0.0.1:1 --timeout 100ms")
        } else {
            line
        };
        let output = command
            .args(["-c", &line])
            .current_dir(&root)
            .output()
            .unwrap();
        let expected = if needs_control { 1 } else { 0 };
        let errors = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(expected), "{line}\n{errors}");
    }
}
