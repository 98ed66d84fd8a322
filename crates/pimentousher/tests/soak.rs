//! Runs random sequences of faults against the real daemons as separate processes.
//!
//! CI runs a few seeds. `SOAK_SEEDS=1..50 cargo nextest run -p pimentousher --test soak
//! chosen_seeds` runs others; the script and logs of a failed seed are kept, and their folder is
//! printed.

use std::{fs, path};

use usher_scenario::ScenarioRunner;

fn run_seed(seed: u64) {
    let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    let script = usher_scenario::soak_script(seed);
    fs::write(folder.join("script.txt"), &script).unwrap();
    let program = path::Path::new(env!("CARGO_BIN_EXE_pimentousher-entry"));
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let mut runner = ScenarioRunner::new(program.parent().unwrap(), &folder);
    let result = runtime.block_on(runner.run(&script));
    println!("seed {seed}: {}", runner.summary());
    if let Err(error) = result {
        panic!(
            "seed {seed}: {error}\nscript and logs are in {}",
            folder.display()
        );
    }
    drop(runner);
    fs::remove_dir_all(&folder).unwrap();
}

usher_types::cases! { run_seed:
    /// Guards against doubled, lost and swapped answers and lost changes under overlapping faults.
    seed_1(1);
    seed_2(2);
    seed_3(3);
}

/// Runs the seeds given in `SOAK_SEEDS` as FIRST..LAST; does nothing if it isn't set.
#[test]
fn chosen_seeds() {
    let Ok(seeds) = std::env::var("SOAK_SEEDS") else {
        return;
    };
    let (first, last) = seeds.split_once("..").expect("SOAK_SEEDS is FIRST..LAST");
    let (first, last): (u64, u64) = (first.parse().unwrap(), last.parse().unwrap());
    let failed: Vec<_> = (first..=last)
        .filter(|seed| {
            let started = std::time::Instant::now();
            let failed = std::panic::catch_unwind(|| run_seed(*seed)).is_err();
            println!("seed {seed}: failed {failed}, {:?}", started.elapsed());
            failed
        })
        .collect();
    assert!(failed.is_empty(), "seeds that failed: {failed:?}");
}
