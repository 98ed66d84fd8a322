//! Parses scripts. Not for: running them.

use std::time;

use crate::{error, step};

/// Parses a script with one step per line; `#` starts a comment.
///
/// ```
/// let lines = usher_scenario::parse_script("start control 3\nkill leader # now\n").unwrap();
/// assert_eq!(lines.len(), 2);
/// ```
///
/// # Errors
///
/// Returns an error for the first invalid line, with the accepted syntax.
pub fn parse_script(text: &str) -> Result<Vec<step::ScriptLine>, error::ParseScriptError> {
    let mut lines = Vec::new();
    for (number, raw) in text.lines().enumerate() {
        let content = raw.split('#').next().unwrap_or_default().trim();
        if content.is_empty() {
            continue;
        }
        let words: Vec<&str> = content.split_whitespace().collect();
        let parsed = parse_step(&words).map_err(|expected| error::ParseScriptError {
            line: number + 1,
            text: content.to_owned(),
            expected,
        })?;
        lines.push(step::ScriptLine {
            line: number + 1,
            step: parsed,
        });
    }
    Ok(lines)
}

const EXPECTED_STEPS: &str =
    "one of: start, load, apply, race, kill, stop, restart, freeze, thaw, wipe, \
                     cut, cut-one-way, delay, reset, heal, pause, await, expect";

fn parse_step(words: &[&str]) -> Result<step::ScriptStep, &'static str> {
    use step::ScriptStep as Step;
    match words {
        ["start", kind, count] => Ok(Step::Start {
            kind: parse_kind(kind)?,
            count: parse_number(count)?,
        }),
        ["load", kind, count] => Ok(Step::Load {
            kind: parse_load(kind)?,
            count: parse_number(count)?,
        }),
        ["apply", operator, request] => Ok(Step::Apply {
            operator: (*operator).to_owned(),
            request: (*request).to_owned(),
        }),
        ["race"] => Ok(Step::Race),
        ["kill", name] => Ok(Step::Kill(step::ProcessName::new(*name))),
        ["stop", name] => Ok(Step::Stop(step::ProcessName::new(*name))),
        ["restart", name] => Ok(Step::Restart(step::ProcessName::new(*name))),
        ["freeze", name] => Ok(Step::Freeze(step::ProcessName::new(*name))),
        ["thaw", name] => Ok(Step::Thaw(step::ProcessName::new(*name))),
        ["wipe", name] => Ok(Step::Wipe(step::ProcessName::new(*name))),
        ["cut", from, "all"] => Ok(Step::Cut {
            from: step::ProcessName::new(*from),
            to: None,
        }),
        ["cut", from, to] => Ok(Step::Cut {
            from: step::ProcessName::new(*from),
            to: Some(step::ProcessName::new(*to)),
        }),
        ["cut-one-way", from, to] => Ok(Step::CutOneWay {
            from: step::ProcessName::new(*from),
            to: step::ProcessName::new(*to),
        }),
        ["delay", name, delay] => Ok(Step::Delay {
            name: step::ProcessName::new(*name),
            delay: parse_duration(delay)?,
        }),
        ["reset", name] => Ok(Step::Reset(step::ProcessName::new(*name))),
        ["heal"] => Ok(Step::Heal),
        ["pause", limit] => Ok(Step::Pause(parse_duration(limit)?)),
        ["await", "ready", limit] => Ok(Step::AwaitReady(parse_duration(limit)?)),
        ["await", "load", limit] => Ok(Step::AwaitLoad(parse_duration(limit)?)),
        ["expect", rest @ ..] => parse_expectation(rest),
        _ => Err(EXPECTED_STEPS),
    }
}

fn parse_expectation(words: &[&str]) -> Result<step::ScriptStep, &'static str> {
    use step::ScriptStep as Step;
    match words {
        ["whole"] => Ok(Step::ExpectWhole),
        ["once"] => Ok(Step::ExpectOnce),
        ["settled"] => Ok(Step::ExpectSettled),
        ["one-winner"] => Ok(Step::ExpectOneWinner),
        ["config", limit] => Ok(Step::ExpectConfig(parse_duration(limit)?)),
        ["in-force", limit] => Ok(Step::ExpectInForce(parse_duration(limit)?)),
        ["accepted", percent] => Ok(Step::ExpectAccepted(parse_number(percent)?)),
        _ => Err(
            "expect whole, once, settled, one-winner, config DURATION, in-force DURATION or \
             accepted PERCENT",
        ),
    }
}

fn parse_kind(word: &str) -> Result<step::ProcessKind, &'static str> {
    match word {
        "control" => Ok(step::ProcessKind::Control),
        "entry" => Ok(step::ProcessKind::Entry),
        "engine" => Ok(step::ProcessKind::Engine),
        "plain" => Ok(step::ProcessKind::Plain),
        _ => Err("control, entry, engine or plain"),
    }
}

fn parse_load(word: &str) -> Result<step::LoadKind, &'static str> {
    match word {
        "chat" => Ok(step::LoadKind::Chat),
        "order" => Ok(step::LoadKind::Order),
        _ => Err("chat or order"),
    }
}

fn parse_number<N>(word: &str) -> Result<N, &'static str>
where
    N: std::str::FromStr,
{
    word.parse().map_err(|_| "a whole number in range")
}

fn parse_duration(word: &str) -> Result<time::Duration, &'static str> {
    humantime::parse_duration(word).map_err(|_| "a duration such as 500ms or 11s")
}
