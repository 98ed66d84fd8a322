//! A settings file is accepted completely, or refused with all of its errors and the accepted
//! values.

use std::{collections, time};

use usher_config::{ControlPart, LogFormat, ProcessSettings};

const ENTRY: &str = include_str!("data/entry.ini");
const CONTROL: &str = include_str!("data/control.ini");

fn errors_of(text: &str) -> Vec<String> {
    match ProcessSettings::parse(text) {
        Ok(settings) => panic!("the file was accepted: {settings:?}"),
        Err(errors) => errors.errors().iter().map(ToString::to_string).collect(),
    }
}

/// Replaces one line of a valid file and expects exactly these errors.
fn refuse_line(file: &str, line: &str, by: &str, expected: &[&str]) {
    assert!(file.contains(line), "the file has no line {line:?}");
    ProcessSettings::parse(file).unwrap();
    assert_eq!(errors_of(&file.replacen(line, by, 1)), expected);
}

usher_types::cases! { refuse_line:
    /// Guards against a typing error in a key, which would silently keep the default value.
    unknown_key(ENTRY, "stall = 4s", "stal = 4s", &[
        "[limits] stal = 4s: the key is not known: did you mean \"stall\"?",
    ]);
    unknown_section(ENTRY, "[limits]", "[limit]", &[
        "[limit] : the section is not known: did you mean \"limits\"?",
    ]);
    /// Guards against host names, which would make the start depend on a DNS server.
    address_by_name(ENTRY, "callers = 127.0.0.1:8080", "callers = entry-1:8080", &[
        "[listen] callers = entry-1:8080: expected IP:PORT with a port above 0, such as 10.0.0.5:8080 (names are not looked up)",
    ]);
    missing_key(ENTRY, "cluster = loo-round", "", &[
        "[node] cluster: the key is missing: expected 1 to 200 printable characters without spaces",
    ]);
    duration_without_unit(ENTRY, "plain = 60s", "plain = 60", &[
        "[limits] plain = 60: expected a duration such as 1500us, 30ms, 5s or 2m 30s",
    ]);
    duration_out_of_range(ENTRY, "plain = 60s", "plain = 1ms", &[
        "[limits] plain = 1ms: expected a duration from 1s to 24h",
    ]);
    share_without_percent(ENTRY, "availability = 99.9%", "availability = 99.9", &[
        "[objectives] availability = 99.9: expected a percentage from 0% to 100%, such as 99.9%",
    ]);
    /// Guards against request bodies that would exhaust the memory of an entry.
    body_too_large(ENTRY, "[limits]", "[limits]\nbody = 9 MiB", &[
        "[limits] body = 9 MiB: expected a size from 1 KiB to 8 MiB",
    ]);
    firm_that_is_not_declared(ENTRY, "dispatch = apple-isle 2", "dispatch = aple-isle", &[
        "[teams] dispatch = aple-isle: firm aple-isle is not in [firms]: expected one of apple-isle, derwent",
    ]);
    /// Guards against an error message that copies a secret into a log.
    token_of_unknown_team(ENTRY, "dispatch = s3cret", "crews = s3cret", &[
        "[tokens] crews = (hidden): the team is not in [teams]: add it there with its firm",
    ]);
    key_twice(ENTRY, "plain = 60s", "plain = 60s\nplain = 61s", &[
        "[limits] plain = 61s: the key occurs twice: keep one",
    ]);
    section_twice(ENTRY, "[log]", "[node]\nx = 1\n[log]", &[
        "[node] : the section occurs twice: join both",
    ]);
    pair_of_regions_twice(ENTRY, "south-a north-a = 20ms", "south-a north-a = 20ms\nnorth-a south-a = 21ms", &[
        "[region-links] south-a north-a = 20ms: the pair occurs twice: keep one direction",
    ]);
    /// Guards against an even number of voters, which tolerates no more losses than one voter less.
    two_voters(CONTROL, "domain = west-a-1", "domain = west-a-1\npart = spare", &[
        "[control.NAME] part: 2 sections have part = voter: expected 3 or 5, so that a majority survives the loss of one or two",
    ]);
    /// Guards against a group that loses its quorum with one failure domain.
    voters_in_one_domain(CONTROL, "region = west-a\ndomain = west-a-1", "region = north-a\ndomain = north-a-1", &[
        "[control.control-3] domain = north-a-1: voters control-2, control-3 share this failure domain: its loss would stop the control group; expected at most 1 voters per domain",
    ]);
    /// Guards against two processes with the same address.
    address_twice(CONTROL, "operators = 127.0.0.1:7503", "operators = 127.0.0.1:7402", &[
        "[control.control-3] operators = 127.0.0.1:7402: the address is taken by [control.control-2]",
    ]);
    /// Guards against a control process that is not a member of its own group.
    own_section_is_missing(CONTROL, "name = control-1", "name = control-9", &[
        "[node] name = control-9: expected a section [control.control-9] for this process",
    ]);
    location_contradicts_own_section(CONTROL, "region = south-a\ndomain = south-a-1\ndata", "region = south-a\ndomain = south-a-2\ndata", &[
        "[node] domain = south-a-2: [control.control-1] says south-a-1",
    ]);
    data_folder_is_missing(CONTROL, "data = control-1.data", "", &[
        "[node] data: the key is missing: a control process needs a folder for its log",
    ]);
    /// Guards against an invalid kind that makes every section unknown.
    wrong_kind(ENTRY, "kind = entry", "kind = door", &[
        "[process] kind = door: expected entry, control, operator, gateway, registrar, fake-engine or fake-service",
    ]);
    /// Guards against a line without a separator that absorbs the section headers after it.
    line_that_is_no_key(ENTRY, "kind = entry", "kind", &[
        "line 4: \"kind\": expected [section], key = value or # comment, and no \\ in a key or at the end",
    ]);
    /// Guards against a value that continues on the next line; found by `settings_lose_no_line`.
    backslash_at_the_end(ENTRY, "data = entry-1.data", "data = C:\\", &[
        "line 11: \"data = C:\\\\\": expected [section], key = value or # comment, and no \\ in a key or at the end",
    ]);
    section_that_is_not_closed(ENTRY, "[limits]", "[limits", &[
        "line 48: \"[limits\": expected [section], key = value or # comment, and no \\ in a key or at the end",
    ]);
}

/// Guards against a reader that stops at the first error, so that operators need one start per
/// error.
#[test]
fn all_errors_come_at_once() {
    let text = ENTRY
        .replace("cluster = loo-round", "cluster = loo round")
        .replace("batch = 48", "batch = many")
        .replace("format = json", "format = xml");
    assert_eq!(
        errors_of(&text),
        [
            "[node] cluster = loo round: expected 1 to 200 printable characters without spaces",
            "[routing] batch = many: expected a whole number from 1 to 1000000",
            "[log] format = xml: expected human or json",
        ]
    );
}

/// Guards against values that are accepted but not stored.
#[test]
fn values_reach_the_settings() {
    let ProcessSettings::Entry(entry) = ProcessSettings::parse(ENTRY).unwrap() else {
        panic!("not an entry");
    };
    assert_eq!(entry.log.format, LogFormat::Json);
    assert_eq!(entry.routing.batch, 48);
    assert_eq!(entry.limits.plain, time::Duration::from_secs(60));
    let team = &entry.accounts.teams[&"dispatch".parse().unwrap()];
    assert_eq!((team.firm.as_str(), team.weight), ("apple-isle", 2.0));
    assert_eq!(entry.accounts.tokens["s3cret"].as_str(), "dispatch");
    let regions = ["north-a", "south-a", "west-a"].map(|name| name.parse().unwrap());
    let links = &entry.links;
    assert_eq!(
        links.between(&regions[1], &regions[0]),
        time::Duration::from_millis(20)
    );
    assert_eq!(links.between(&regions[0], &regions[2]), links.region);
    assert_eq!(links.between(&regions[0], &regions[0]), links.domain);
    let parts: Vec<_> = entry
        .control
        .members
        .iter()
        .map(|member| member.part)
        .collect();
    assert_eq!(
        parts,
        [
            ControlPart::Spare,
            ControlPart::Voter,
            ControlPart::Voter,
            ControlPart::Voter
        ]
    );
    assert_eq!(
        entry.control.operator_addresses()[0],
        "127.0.0.1:7501".parse().unwrap()
    );
}

/// Guards against a default value outside the accepted range.
#[test]
fn defaults_are_accepted() {
    let mut without_format = String::new();
    let mut seen = collections::BTreeSet::new();
    for line in CONTROL.lines().filter(|line| !line.starts_with("format")) {
        without_format.push_str(line);
        without_format.push('\n');
        seen.insert(line);
    }
    ProcessSettings::parse(&without_format).unwrap();
    assert!(seen.contains("[log]"));
}
