//! Generates random fault scripts from a seed. Not for: running them.

use std::{collections, fmt::Write as _};

/// Number of control processes: three voters and two spares.
const CONTROL_COUNT: u64 = 5;

/// Number of entry processes.
const ENTRY_COUNT: u64 = 3;

/// Number of engines.
const ENGINE_COUNT: u64 = 4;

/// Number of faults in a script.
const FAULT_COUNT: usize = 14;

/// Longest random part of the pause after a fault, in ms; short pauses make faults overlap.
const LONGEST_PAUSE_MS: u64 = 1_200;

/// A deterministic random number generator.
struct SoakRandom(u64);

impl SoakRandom {
    /// Returns a random number below `limit`.
    fn below(&mut self, limit: u64) -> u64 {
        // SplitMix64 (Steele, Lea and Flood, 2014).
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut value = self.0;
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (value ^ (value >> 31)) % limit
    }
}

/// The faults that are active at the current point of a script.
#[derive(Default)]
struct SoakState {
    /// Processes that were killed or stopped.
    down: collections::BTreeSet<String>,
    frozen: Option<String>,
    /// Control process whose links are cut or delayed.
    disrupted: Option<String>,
    changes: u64,
}

impl SoakState {
    /// Returns whether a control process may fail now: the group of three voters tolerates one
    /// failure at a time.
    fn may_fail_control(&self) -> bool {
        let is_control = |name: &String| name.starts_with("control");
        !self.down.iter().any(is_control)
            && !self.frozen.as_ref().is_some_and(is_control)
            && self.disrupted.is_none()
    }
}

/// Returns the script for a seed: it starts all processes and loads, injects consecutive and
/// overlapping faults, repairs them and then checks the guarantees.
///
/// ```
/// let script = usher_scenario::soak_script(7);
/// assert_eq!(script, usher_scenario::soak_script(7));
/// usher_scenario::parse_script(&script).unwrap();
/// ```
pub fn soak_script(seed: u64) -> String {
    let mut random = SoakRandom(seed);
    let mut state = SoakState::default();
    let mut script = format!(
        "start control {CONTROL_COUNT}\nstart entry {ENTRY_COUNT}\nstart engine {ENGINE_COUNT}\n\
         start plain 1\napply ana first\nawait ready 60s\nload chat 40\nload order 20\n"
    );
    for _ in 0..FAULT_COUNT {
        let fault = fault(&mut random, &mut state);
        let pause = random.below(LONGEST_PAUSE_MS) + 50;
        let _ = writeln!(script, "{fault}pause {pause}ms");
    }
    script.push_str("heal\n");
    if state.frozen.is_some() {
        script.push_str("thaw frozen\n");
    }
    for name in &state.down {
        let _ = writeln!(script, "restart {name}");
    }
    script.push_str(
        "apply ana last\nexpect config 30s\nawait load 120s\nexpect whole\nexpect once\n",
    );
    script
}

/// Returns the lines of a random fault, repair, configuration change or load.
fn fault(random: &mut SoakRandom, state: &mut SoakState) -> String {
    let control = format!("control-{}", random.below(CONTROL_COUNT) + 1);
    let other = format!("control-{}", random.below(CONTROL_COUNT) + 1);
    let entry = format!("entry-{}", random.below(ENTRY_COUNT) + 1);
    let engine = format!("engine-{}", random.below(ENGINE_COUNT) + 1);
    match random.below(12) {
        0 if state.may_fail_control() => take_down(state, "kill", control),
        1 if state.may_fail_control() => freeze(state, control),
        2 if state.may_fail_control() => {
            disrupt(state, control.clone(), &format!("cut {control} all"))
        }
        3 if state.may_fail_control() && control != other => disrupt(
            state,
            control.clone(),
            &format!("cut-one-way {control} {other}"),
        ),
        4 if state.may_fail_control() => {
            let delay = random.below(300) + 20;
            disrupt(
                state,
                control.clone(),
                &format!("delay {control} {delay}ms"),
            )
        }
        5 => format!("reset {control}\n"),
        6 if !state.down.iter().any(|name| name.starts_with("entry")) => {
            let action = if random.below(2) == 0 { "kill" } else { "stop" };
            take_down(state, action, entry)
        }
        7 if !state.down.iter().any(|name| name.starts_with("engine")) => {
            take_down(state, "kill", engine)
        }
        8 if state.frozen.is_none() => freeze(state, engine),
        9 => repair(state),
        10 => {
            state.changes += 1;
            format!("apply bruno change-{}\n", state.changes)
        }
        _ => format!("{}load chat 5\nload order 3\n", repair(state)),
    }
}

fn take_down(state: &mut SoakState, action: &str, name: String) -> String {
    // A frozen process doesn't handle SIGTERM.
    if state.frozen.as_ref() == Some(&name) {
        return repair(state);
    }
    let line = format!("{action} {name}\n");
    state.down.insert(name);
    line
}

fn freeze(state: &mut SoakState, name: String) -> String {
    if state.frozen.is_some() || state.down.contains(&name) {
        return repair(state);
    }
    let line = format!("freeze {name}\n");
    state.frozen = Some(name);
    line
}

fn disrupt(state: &mut SoakState, name: String, line: &str) -> String {
    state.disrupted = Some(name);
    format!("{line}\n")
}

/// Ends one active fault, or adds load if there is none.
fn repair(state: &mut SoakState) -> String {
    if state.frozen.take().is_some() {
        return "thaw frozen\n".to_owned();
    }
    if state.disrupted.take().is_some() {
        return "heal\n".to_owned();
    }
    match state.down.pop_first() {
        Some(name) => format!("restart {name}\n"),
        None => "load chat 5\n".to_owned(),
    }
}
