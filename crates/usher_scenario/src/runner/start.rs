//! Starts the processes and loads of a script. Not for: controlling them later.

use std::{fs, path};

use crate::{error, load, managed_process, relay, runner, settings_file, step};

impl runner::ScenarioRunner {
    pub(super) async fn start(
        &mut self,
        kind: step::ProcessKind,
        count: usize,
    ) -> Result<(), error::ScenarioError> {
        match kind {
            step::ProcessKind::Control => self.start_control(count).await,
            step::ProcessKind::Entry => self.start_entries(count),
            step::ProcessKind::Engine | step::ProcessKind::Plain => self.start_targets(kind, count),
        }
    }

    /// Starts all control processes together, because each settings file lists the whole group.
    pub(super) async fn start_control(&mut self, count: usize) -> Result<(), error::ScenarioError> {
        for index in 0..count {
            let name = step::ProcessName::new(format!("control-{}", index + 1));
            let wire = usher_ports::reserve_address();
            let relay = relay::LinkRelay::start(name.clone(), wire, &self.links)
                .await
                .map_err(|source| runner::io_error("relay", source))?;
            self.control.push(settings_file::ControlAddress {
                name,
                relay: relay.address(),
                wire,
                operators: usher_ports::reserve_address(),
                voter: index < runner::VOTER_COUNT,
            });
            self.relays.push(relay);
        }
        for index in 0..count {
            let name = self.control[index].name.clone();
            let folder = self.data_folder(&name);
            let text = settings_file::control_file(&self.control, index, &folder.to_string_lossy());
            self.start_daemon("pimentousher-control", &name, &text)?;
        }
        Ok(())
    }

    pub(super) fn start_entries(&mut self, count: usize) -> Result<(), error::ScenarioError> {
        for _ in 0..count {
            let index = self.entries.len();
            let name = step::ProcessName::new(format!("entry-{}", index + 1));
            let address = usher_ports::reserve_address();
            let text = settings_file::entry_file(&self.control, &name, index, address);
            self.start_daemon("pimentousher-entry", &name, &text)?;
            self.entries.insert(name, address);
        }
        Ok(())
    }

    pub(super) fn start_daemon(
        &mut self,
        program: &str,
        name: &step::ProcessName,
        settings: &str,
    ) -> Result<(), error::ScenarioError> {
        let file = self.folder.join(format!("{name}.ini"));
        fs::write(&file, settings).map_err(|source| runner::io_error("settings file", source))?;
        let arguments = words(&["--settings", &file.to_string_lossy()]);
        self.spawn(program, name, arguments)
    }

    pub(super) fn start_targets(
        &mut self,
        kind: step::ProcessKind,
        count: usize,
    ) -> Result<(), error::ScenarioError> {
        let same = format!("{}-", kind.prefix());
        for _ in 0..count {
            let known = self.targets.keys();
            let index = known
                .filter(|name| name.as_str().starts_with(&same))
                .count();
            let name = step::ProcessName::new(format!("{same}{}", index + 1));
            let address = usher_ports::reserve_address();
            let (region, domain) = settings_file::location_of(index);
            let mut arguments = words(&[
                "--name",
                name.as_str(),
                "--bind",
                &address.to_string(),
                "--region",
                &region,
                "--domain",
                &domain,
            ]);
            for entry in self.entries.values() {
                arguments.extend(words(&["--entry", &entry.to_string()]));
            }
            let (program, special) = match kind {
                step::ProcessKind::Plain => {
                    ("fake-service", words(&["--service", runner::PLAIN_SERVICE]))
                }
                _ => (
                    "fake-engine",
                    words(&[
                        "--service",
                        runner::ENGINE_SERVICE,
                        "--model",
                        runner::MODEL,
                    ]),
                ),
            };
            arguments.extend(special);
            self.spawn(program, &name, arguments)?;
            self.targets.insert(name, address);
        }
        Ok(())
    }

    pub(super) fn spawn(
        &mut self,
        program: &str,
        name: &step::ProcessName,
        arguments: Vec<String>,
    ) -> Result<(), error::ScenarioError> {
        let log = self.folder.join(format!("{name}.log"));
        let path = self.binaries.join(program);
        let process = managed_process::ManagedProcess::start(path, arguments, log)
            .map_err(|source| runner::io_error(program, source))?;
        self.processes.insert(name.clone(), process);
        Ok(())
    }

    pub(super) fn data_folder(&self, name: &step::ProcessName) -> path::PathBuf {
        self.folder.join(format!("{name}.data"))
    }

    pub(super) fn start_load(&mut self, kind: step::LoadKind, count: u32) {
        let entries: Vec<_> = self.entries.values().copied().collect();
        for _ in 0..count {
            let call = load::run_call(self.caller.clone(), entries.clone(), kind, self.calls);
            self.loads.spawn(call);
            self.calls += 1;
        }
    }
}

fn words(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}
