//! Tests the error messages, help and exit codes of the command line.

use std::{fs, path, process};

fn program(arguments: &[&str]) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_pimentousher"))
        .args(arguments)
        .env_remove("PIMENTOUSHER_SETTINGS")
        .output()
        .unwrap()
}

fn examples(folder: &str) -> Vec<path::PathBuf> {
    let folder = path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(folder);
    let mut files: Vec<_> = fs::read_dir(&folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    files.sort();
    files
}

/// Guards against example files that `check-config` rejects.
fn check_examples(folder: &str, count: usize) {
    let files = examples(folder);
    let mut arguments = vec!["check-config"];
    arguments.extend(files.iter().map(|file| file.to_str().unwrap()));
    let output = program(&arguments);
    let text = String::from_utf8(output.stdout).unwrap();
    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(text, format!("{count} files are accepted\n"), "{errors}");
    assert_eq!(output.status.code(), Some(0));
}

usher_types::cases! { check_examples:
    loo_round_is_accepted("loo-round", 15);
    contas_tercos_is_accepted("contas-tercos", 14);
}

/// Runs an invalid command line and compares its error message.
fn refuse(arguments: &[&str], expected: &str) {
    let output = program(arguments);
    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(errors, expected);
    assert_eq!((output.status.code(), output.stdout.len()), (Some(2), 0));
}

usher_types::cases! { refuse:
    no_command(&[], "pimentousher: a command is missing\nrun `pimentousher --help` for the options\n");
    unknown_command(&["aply"], "pimentousher: command \"aply\" is not known\nrun `pimentousher --help` for the options\n");
    unknown_option(&["status", "--fast"], "pimentousher: argument --fast is not expected\nrun `pimentousher status --help` for the options\n");
    sheet_is_missing(&["apply"], "pimentousher: SHEET is missing\nrun `pimentousher apply --help` for the options\n");
    address_by_name(&["status", "--control", "localhost:7500"], "pimentousher: --control localhost:7500: expected IP:PORT\nrun `pimentousher status --help` for the options\n");
    /// Guards against a command without control addresses that fails without saying so.
    no_control(&["status"], "pimentousher: no control VM is named: give --settings FILE or --control IP:PORT, or set PIMENTOUSHER_SETTINGS\n");
    no_records(&["report", "burn", "--records", "/nowhere"], "pimentousher: /nowhere holds no records: give the data folder of an entry, or its file burn.records\n");
    file_is_missing(&["check-config", "/nowhere.ini"], "pimentousher: /nowhere.ini can't be read: No such file or directory (os error 2)\n");
}

/// Guards against a command or daemon without help or version.
#[test]
fn help_and_version_are_printed() {
    let commands = [
        "check-config",
        "apply",
        "status",
        "drain",
        "report",
        "explain",
        "bench",
        "demo",
    ];
    for command in commands {
        let output = program(&[command, "--help"]);
        let text = String::from_utf8(output.stdout).unwrap();
        assert_eq!(output.status.code(), Some(0), "{command}");
        assert!(
            text.contains(&format!("usage: pimentousher {command}")),
            "{text}"
        );
        assert!(text.contains("--help"), "{text}");
    }
    let daemons = [
        env!("CARGO_BIN_EXE_pimentousher"),
        env!("CARGO_BIN_EXE_pimentousher-control"),
        env!("CARGO_BIN_EXE_pimentousher-entry"),
    ];
    for daemon in daemons {
        for option in ["--help", "--version"] {
            let output = process::Command::new(daemon).arg(option).output().unwrap();
            assert_eq!(output.status.code(), Some(0), "{daemon} {option}");
            assert!(!output.stdout.is_empty(), "{daemon} {option}");
        }
    }
}

/// Guards against a daemon that starts with the settings of another kind of process.
#[test]
fn daemons_refuse_wrong_settings() {
    let entry = examples("loo-round").into_iter();
    let entry: Vec<_> = entry.filter(|file| file.ends_with("entry-1.ini")).collect();
    let control = env!("CARGO_BIN_EXE_pimentousher-control");
    let output = process::Command::new(control)
        .arg("--settings")
        .arg(&entry[0])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8(output.stderr).unwrap();
    assert!(
        errors.contains("expected [process] kind = control"),
        "{errors}"
    );
}

/// Guards against results that differ between two runs with the same seed.
#[test]
fn bench_repeats_for_a_seed() {
    let run = || {
        program(&[
            "bench", "slowdown", "--quick", "--seed", "3", "--format", "json",
        ])
    };
    let first = run();
    let rows: serde_json::Value = serde_json::from_slice(&first.stdout).unwrap();
    assert!(!rows["rows"].as_array().unwrap().is_empty());
    assert_eq!(first.stdout, run().stdout);
}

/// Guards against an error for a mistyped experiment that doesn't list the valid names.
#[test]
fn unknown_experiment_is_refused() {
    let output = program(&["bench", "peak"]);
    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(
        errors.contains("\"peak\"") && errors.contains("mix, crest"),
        "{errors}"
    );
}
