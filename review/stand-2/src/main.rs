//! The scripts of the second review: `stand-2 CASE FOLDER`. Exits with 1 if the rule was broken, 0
//! if it held, 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod crowd;
mod engine;
mod http;
mod install;
mod memory;
mod odd_entry;
mod same_host;
mod streams;

use std::{env, path::PathBuf, process::ExitCode};

use install::Record;

/// Whether the rule held.
pub enum Verdict {
    Held,
    Broken(String),
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() -> ExitCode {
    let mut words = env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("usage: stand-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    if case == "crowd-member" {
        let joined = folder.parse().map_err(std::io::Error::other);
        return match joined.and_then(memory::crowd_member) {
            Ok(()) => ExitCode::SUCCESS,
            Err(_) => ExitCode::from(2),
        };
    }
    let record = Record::new();
    record.add(format!("case {case}, disruption: {}", has_trouble()));
    let result = match case.as_str() {
        "streams" => streams::run(&record),
        "same-host" => same_host::run(&record),
        "memory" => memory::run(&record),
        "odd-entry" => odd_entry::run(&record),
        _ => Err(format!("no case {case}")),
    };
    let (text, code) = match result {
        Ok(Verdict::Held) => ("the rule held".to_owned(), 0),
        Ok(Verdict::Broken(text)) => (format!("the rule was broken: {text}"), 1),
        Err(text) => (format!("the case couldn't run: {text}"), 2),
    };
    record.add(&text);
    println!("{case}: {text}");
    record.save(&PathBuf::from(folder).join("record.txt"));
    ExitCode::from(code)
}
