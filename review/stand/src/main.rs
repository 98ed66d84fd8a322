//! Plays the cases of the review that are scripts. The first argument is the case, the second the
//! folder of its record. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case couldn't
//! run.

mod case_leave;

mod case_refused;
mod case_term;
mod client;
mod engine;
mod http;
mod platform;
mod record;

use std::path::Path;
use std::process::ExitCode;

/// The result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: stand CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = record::Record::create(Path::new(folder));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.say(&format!("case {case}, trouble {trouble}"));
    let verdict = match case.as_str() {
        "refused" => case_refused::play(&record, trouble),
        "term" => case_term::play(&record, trouble),
        "leave" => case_leave::play(&record, trouble),
        _ => Verdict::NotRun(format!("no case {case}")),
    };
    match verdict {
        Verdict::Held => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::NotRun(reason) => {
            record.say(&format!("the case couldn't run: {reason}"));
            ExitCode::from(2)
        }
    }
}
