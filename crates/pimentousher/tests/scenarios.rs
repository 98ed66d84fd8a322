//! Runs fault scripts against the real daemons as separate processes.

use std::{fs, path};

use usher_scenario::ScenarioRunner;

/// Runs one script in its own folder, which is kept if the script fails.
fn run_script(name: &str) {
    let scripts = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let script = fs::read_to_string(scripts.join(name)).unwrap();
    let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    let program = path::Path::new(env!("CARGO_BIN_EXE_pimentousher-entry"));
    let binaries = program.parent().unwrap();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let mut runner = ScenarioRunner::new(binaries, &folder);
    let result = runtime.block_on(runner.run(&script));
    println!("{}", runner.summary());
    if let Err(error) = result {
        panic!("{name}: {error}\nlogs are in {}", folder.display());
    }
    drop(runner);
    fs::remove_dir_all(&folder).unwrap();
}

usher_types::cases! { run_script:
    kill_mid_stream("kill-mid-stream.txt");
    kill_mid_order("kill-mid-order.txt");
    partitioned_leader("partitioned-leader.txt");
    frozen_leader("frozen-leader.txt");
    operators_race("operators-race.txt");
    lost_disk("lost-disk.txt");
    partitioned_entry("partitioned-entry.txt");
    graceful_stop("graceful-stop.txt");
    partitioned_pair("partitioned-pair.txt");
    missed_changes("missed-changes.txt");
}
