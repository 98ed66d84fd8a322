//! Runs the commands of the README's tour as printed, except for ports and folders.

mod support;

use std::{collections, fs, path, process};

use support::{free_address, Daemon, TempFolder};

fn root() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the commands of the tour, in order.
fn commands() -> Vec<String> {
    let readme = fs::read_to_string(root().join("README.md")).unwrap();
    let tour = readme.split_once("## Five-minute tour").unwrap().1;
    let tour = tour.split("\n## ").next().unwrap();
    let blocks = tour.split("```sh\n").skip(1);
    let blocks = blocks.map(|block| block.split_once("```").unwrap().0);
    blocks.flat_map(str::lines).map(str::to_owned).collect()
}

/// Replaces each loopback port of the tour with a free one.
#[derive(Default)]
struct FreePorts {
    assigned: collections::BTreeMap<String, String>,
}

impl FreePorts {
    fn replace(&mut self, text: &str) -> String {
        let mut parts = text.split("127.0.0.1:");
        let mut replaced = parts.next().unwrap_or_default().to_owned();
        for part in parts {
            let digits = part.bytes().take_while(u8::is_ascii_digit).count();
            let (port, rest) = part.split_at(digits);
            let free = self.assigned.entry(port.to_owned());
            replaced.push_str(free.or_insert_with(|| free_address().to_string()));
            replaced.push_str(rest);
        }
        replaced
    }
}

/// Runs the commands of the tour: in a shell, or as daemons in the background.
struct TourShell {
    folder: TempFolder,
    daemons: Vec<Daemon>,
    programs: path::PathBuf,
}

impl TourShell {
    fn prepare(ports: &mut FreePorts) -> Self {
        let folder = TempFolder::new("tour");
        let examples = folder.0.join("examples/tour");
        fs::create_dir_all(&examples).unwrap();
        for entry in fs::read_dir(root().join("examples/tour")).unwrap() {
            let entry = entry.unwrap();
            let text = fs::read_to_string(entry.path()).unwrap();
            fs::write(examples.join(entry.file_name()), ports.replace(&text)).unwrap();
        }
        let program = path::Path::new(env!("CARGO_BIN_EXE_pimentousher"));
        let programs = program.parent().unwrap().to_owned();
        Self {
            folder,
            daemons: Vec::new(),
            programs,
        }
    }

    fn command(&self, line: &str) -> process::Command {
        let path = std::env::var("PATH").unwrap_or_default();
        let mut command = process::Command::new("bash");
        command
            .args(["-c", line])
            .current_dir(&self.folder.0)
            .env("PATH", format!("{}:{path}", self.programs.display()))
            .env("PIMENTOUSHER_SETTINGS", "examples/tour/operator.ini");
        command
    }

    fn start(&mut self, line: &str) {
        // `exec` replaces the shell, so that the process id is the daemon's.
        let command = self.command(&format!("exec {line}"));
        let log = self.folder.0.join(format!("{}.log", self.daemons.len()));
        self.daemons.push(Daemon::spawn(command, &log));
    }

    fn run(&self, line: &str) -> String {
        let output = self.command(line).output().unwrap();
        let text = String::from_utf8(output.stdout).unwrap();
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(
            output.status.success(),
            "{line}\n{text}\n{errors}\n{}",
            self.logs()
        );
        text
    }

    /// Drains the second engine, stops it while the command waits, and checks that the command reports
    /// it as gone.
    fn drain_until_gone(&mut self) {
        let line = "pimentousher drain engine-2 --wait 50s";
        let waiting = self
            .command(line)
            .stdout(process::Stdio::piped())
            .spawn()
            .unwrap();
        // The targets are the last three processes: two engines and the plain service.
        let index = self.daemons.len() - 2;
        assert_eq!(self.daemons.remove(index).terminate(), Some(0));
        let output = waiting.wait_with_output().unwrap();
        let text = String::from_utf8(output.stdout).unwrap();
        assert_eq!(text, "engine-2 is gone: its process may be stopped\n");
    }

    fn logs(&self) -> String {
        let read = |number| {
            let log = self.folder.0.join(format!("{number}.log"));
            let text = fs::read_to_string(log).unwrap_or_default();
            format!("-- process {number}\n{text}")
        };
        (0..self.daemons.len()).map(read).collect()
    }
}

/// Guards against a tour whose commands fail or print unexpected output.
#[test]
fn tour_runs_as_printed() {
    let curl = process::Command::new("curl").arg("--version").output();
    assert!(curl.is_ok(), "the tour needs curl");
    let mut ports = FreePorts::default();
    let mut shell = TourShell::prepare(&mut ports);
    let mut outputs = Vec::new();
    for line in commands() {
        let line = ports.replace(&line);
        if let Some(daemon) = line.strip_suffix(" &") {
            shell.start(daemon);
        } else if line.starts_with("kill") {
            for daemon in &mut shell.daemons {
                assert!(daemon.is_running(), "a process ended early: {}", line);
            }
            shell.drain_until_gone();
            // Targets and entries stop first, so that control responds until the end.
            while let Some(mut daemon) = shell.daemons.pop() {
                assert_eq!(
                    daemon.terminate(),
                    Some(0),
                    "process {}",
                    shell.daemons.len()
                );
            }
        } else if !line.starts_with("cargo") && !line.starts_with("export") {
            outputs.push((line.clone(), shell.run(&line)));
        }
    }
    let find = |pattern: &str| {
        let mut matching = outputs.iter().filter(|(line, _)| line.contains(pattern));
        matching
            .next()
            .unwrap_or_else(|| panic!("no command with {pattern}"))
    };
    assert_eq!(find("check-config").1, "7 files are accepted\n");
    assert!(find("--dry-run").1.contains("+ assist in south-a"));
    let (_, status) = outputs
        .iter()
        .find(|(line, _)| line == "pimentousher status")
        .unwrap();
    assert!(status.contains("targets: 3"), "{status}");
    assert!(find("/v1/models").1.contains("gum-8b"));
    assert!(find("\"stream\":true").1.contains("data: [DONE]"));
    let calls: Vec<_> = outputs
        .iter()
        .filter(|(line, _)| line.contains("call-outs"))
        .collect();
    assert_eq!(calls.len(), 2);
    assert!(calls[0].1.contains("\"count\":1"), "{}", calls[0].1);
    assert_eq!(calls[0].1, calls[1].1);
    assert!(
        find("report burn").1.contains("| assist  | tour"),
        "{}",
        find("report burn").1
    );
}
