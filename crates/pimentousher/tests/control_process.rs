//! Tests three control daemons as processes, operated with the command line.

mod support;

use std::path;

use support::{free_address, get_status, pimentousher, until, Daemon, TempFolder};

const SHEET: &str = "service,kind,region,model,version,adapters,prefill,decode,mixed,floor\n\
    assist,engine,south-a,gum-8b,1,,0,0,1..3,1\n";

struct Group {
    folder: TempFolder,
    daemons: Vec<Daemon>,
    operators: Vec<std::net::SocketAddr>,
    settings: path::PathBuf,
}

impl Group {
    fn start(name: &str) -> Self {
        Self::start_with(name, "")
    }

    /// Starts a group with additional settings sections.
    fn start_with(name: &str, sections: &str) -> Self {
        let folder = TempFolder::new(name);
        let mut members = String::new();
        let mut operators = Vec::new();
        for number in 1..=3 {
            let (address, operator) = (free_address(), free_address());
            operators.push(operator);
            members.push_str(&format!(
                "[control.control-{number}]\naddress = {address}\noperators = {operator}\n\
                 region = south-a\ndomain = south-a-{number}\n\n"
            ));
        }
        let text = format!("[process]\nkind = operator\n\n{members}");
        let settings = folder.write("operator.ini", &text);
        let mut group = Self {
            folder,
            daemons: Vec::new(),
            operators,
            settings,
        };
        for number in 1..=3 {
            let text = format!(
                "[process]\nkind = control\n\n[node]\ncluster = test\nname = control-{number}\n\
                 region = south-a\ndomain = south-a-{number}\ndata = {}\n\n{members}{sections}",
                group.folder.0.join(format!("control-{number}")).display()
            );
            group.folder.write(&format!("control-{number}.ini"), &text);
            let daemon = group.daemon(number);
            group.daemons.push(daemon);
        }
        group
    }

    fn daemon(&self, number: usize) -> Daemon {
        let settings = self.folder.0.join(format!("control-{number}.ini"));
        let log = self.folder.0.join(format!("control-{number}.log"));
        let program = env!("CARGO_BIN_EXE_pimentousher-control");
        Daemon::start(program, &["--settings", settings.to_str().unwrap()], &log)
    }

    fn run(&self, arguments: &[&str]) -> support::Run {
        let mut all = arguments.to_vec();
        all.extend([
            "--settings",
            self.settings.to_str().unwrap(),
            "--timeout",
            "40s",
        ]);
        pimentousher(&all)
    }
}

/// Guards against commands that work only with the leader's address, a dry run that makes changes,
/// a resend that takes effect twice, and a rolling restart that loses the configuration.
#[test]
fn sheet_is_applied_once_and_survives_a_rolling_restart() {
    let mut group = Group::start("control-process");
    let sheet = group.folder.write("sheet.csv", SHEET);
    let sheet = sheet.to_str().unwrap();
    let dry_run = group.run(&["apply", sheet, "--dry-run"]);
    assert_eq!(
        dry_run.out,
        "+ assist in south-a: assist,engine,south-a,gum-8b,1,,0,0,1..3,1\n\
         current version: 0; nothing was changed\n",
        "{dry_run:?}"
    );
    let applied = [
        "apply",
        sheet,
        "--operator",
        "ops",
        "--request-id",
        "r-1",
        "--format",
        "json",
    ];
    let first = group.run(&applied).json();
    assert_eq!(
        (&first["version"], &first["repeated"]),
        (&1.into(), &false.into())
    );
    // The operator repeats the command with the printed options, as after a lost response.
    let mut resent = applied.to_vec();
    resent.extend(["--base", "0"]);
    let resent = group.run(&resent).json();
    assert_eq!(
        (&resent["version"], &resent["repeated"]),
        (&1.into(), &true.into())
    );
    let other_sheet = group
        .folder
        .write("other.csv", &SHEET.replace("1..3", "1..4"));
    let conflict = group.run(&["apply", other_sheet.to_str().unwrap(), "--base", "0"]);
    assert_eq!(conflict.code, Some(1));
    assert!(
        conflict.errors.contains("version 1 by ops is current"),
        "{conflict:?}"
    );
    // Rolling restart of all daemons.
    for number in 1..=3 {
        assert_eq!(
            group.daemons[number - 1].terminate(),
            Some(0),
            "control-{number}"
        );
        group.daemons[number - 1] = group.daemon(number);
        let operators = group.operators[number - 1];
        until("a ready daemon", || {
            (get_status(operators, "/readyz") == Some(200)).then_some(())
        });
    }
    let unchanged = group.run(&["apply", sheet]);
    assert_eq!(
        unchanged.out, "no difference\ncurrent version: 1 by ops; nothing was changed\n",
        "{unchanged:?}"
    );
    assert_eq!(group.run(&["status", "--sheet"]).out, SHEET);
    let status = group.run(&["status"]);
    assert!(
        status.out.contains("configuration version 1 by ops"),
        "{status:?}"
    );
    assert!(status.out.contains("control nodes: 3"), "{status:?}");
}

/// Guards against error messages that don't name the next step.
#[test]
fn refusals_name_the_next_step() {
    let group = Group::start("control-refusals");
    let drain = group.run(&["drain", "nobody"]);
    assert_eq!(drain.code, Some(1));
    assert!(
        drain
            .errors
            .contains("`pimentousher status` lists the targets"),
        "{drain:?}"
    );
    let explain = group.run(&["explain", "nobody"]);
    assert_eq!(explain.code, Some(1));
    assert!(
        explain.errors.contains("nothing is known of \"nobody\""),
        "{explain:?}"
    );
    let bad = group.folder.write("bad.csv", &SHEET.replace("1..3", "x"));
    let apply = group.run(&["apply", bad.to_str().unwrap()]);
    assert_eq!(apply.code, Some(2));
    assert!(
        apply.errors.contains("line 2, column 9 (mixed)"),
        "{apply:?}"
    );
    drop(group.daemons);
    let settings = group.settings.to_str().unwrap();
    let no_leader = pimentousher(&["status", "--settings", settings, "--timeout", "500ms"]);
    assert_eq!(no_leader.code, Some(1));
    assert!(
        no_leader.errors.contains("check that most control VMs run"),
        "{no_leader:?}"
    );
}

/// Guards against metrics that are never flushed, or are tagged with the wrong node.
#[test]
fn gauges_reach_the_collector() {
    let collector = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    collector
        .set_read_timeout(Some(support::HANG_LIMIT))
        .unwrap();
    let address = collector.local_addr().unwrap();
    let sections = format!("[metrics]\nstatsd = {address}\ninterval = 1s\n");
    let _group = Group::start_with("control-metrics", &sections);
    let mut buffer = [0; 2048];
    until("a leader's gauge", || {
        let (count, _) = collector.recv_from(&mut buffer).unwrap();
        let text = std::str::from_utf8(&buffer[..count]).unwrap();
        let gauge = text
            .lines()
            .find(|line| line.contains("control.leader:1|g"))?;
        assert!(
            gauge.starts_with("pimentousher.control.leader:1|g|#node:control-"),
            "{gauge}"
        );
        Some(())
    });
}
