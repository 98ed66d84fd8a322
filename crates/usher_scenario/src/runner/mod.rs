//! Runs a script against the real daemons. Not for: parsing scripts.

mod change;
mod expect;
mod start;

use std::{collections, fs, io, net, path, time};

use nix::sys::signal;
use tokio::{sync, task};

use crate::{caller, error, link_table, load, managed_process, parser, relay, settings_file, step};

/// Model of the engines in a scenario.
pub(crate) const MODEL: &str = "gum-8b";

/// Service of the engines.
pub(super) const ENGINE_SERVICE: &str = "assist";

/// Name of the plain service.
pub(crate) const PLAIN_SERVICE: &str = "rounds";

/// Interval at which a condition is checked.
pub(super) const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Time limit for a configuration change to be accepted.
pub(super) const CHANGE_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Number of voters in a group; further control processes are spares.
pub(super) const VOTER_COUNT: usize = 3;

/// Runs the steps of a script in order; kills its processes when dropped.
pub struct ScenarioRunner {
    folder: path::PathBuf,
    binaries: path::PathBuf,
    links: sync::watch::Sender<link_table::LinkTable>,
    relays: Vec<relay::LinkRelay>,
    processes: collections::BTreeMap<step::ProcessName, managed_process::ManagedProcess>,
    control: Vec<settings_file::ControlAddress>,
    entries: collections::BTreeMap<step::ProcessName, net::SocketAddr>,
    targets: collections::BTreeMap<step::ProcessName, net::SocketAddr>,
    caller: caller::HttpCaller,
    loads: task::JoinSet<load::LoadTotals>,
    totals: load::LoadTotals,
    calls: usize,
    changes: usize,
    /// The newest accepted configuration version.
    version: u64,
    /// The status codes of the two changes of the last race; 0 for a timeout.
    race: Vec<u16>,
    frozen: Option<step::ProcessName>,
}

impl ScenarioRunner {
    /// Creates a runner that starts the programs in the folder `binaries` and keeps its files in
    /// `folder`.
    pub fn new(binaries: impl Into<path::PathBuf>, folder: impl Into<path::PathBuf>) -> Self {
        Self {
            folder: folder.into(),
            binaries: binaries.into(),
            links: link_table::LinkTable::shared(),
            relays: Vec::new(),
            processes: collections::BTreeMap::new(),
            control: Vec::new(),
            entries: collections::BTreeMap::new(),
            targets: collections::BTreeMap::new(),
            caller: caller::HttpCaller::new(),
            loads: task::JoinSet::new(),
            totals: load::LoadTotals::default(),
            calls: 0,
            changes: 0,
            version: 0,
            race: Vec::new(),
            frozen: None,
        }
    }

    /// Parses and runs a script.
    ///
    /// # Errors
    ///
    /// Returns an error for the first step that fails or whose expectation isn't met.
    pub async fn run(&mut self, script: &str) -> Result<(), error::ScenarioError> {
        for line in parser::parse_script(script)? {
            tracing::info!(line = line.line, step = ?line.step, "scenario step");
            let number = line.line;
            self.run_step(line).await?;
            self.expect_running(number)?;
        }
        Ok(())
    }

    async fn run_step(&mut self, line: step::ScriptLine) -> Result<(), error::ScenarioError> {
        use step::ScriptStep as Step;
        let number = line.line;
        match line.step {
            Step::Start { kind, count } => self.start(kind, usize::from(count)).await,
            Step::Load { kind, count } => {
                self.start_load(kind, count);
                Ok(())
            }
            Step::Apply { operator, request } => self.apply(number, &operator, &request).await,
            Step::Race => self.run_race(number).await,
            Step::Kill(name) => {
                self.with_process(number, &name, |process| process.kill())
                    .await
            }
            Step::Restart(name) => {
                self.with_process(number, &name, |process| process.restart())
                    .await
            }
            Step::Freeze(name) => {
                let stop = signal::Signal::SIGSTOP;
                self.frozen = self.resolve(&name).await;
                let frozen = step::ProcessName::new("frozen");
                self.with_process(number, &frozen, |process| process.signal(stop))
                    .await
            }
            Step::Thaw(name) => {
                let resume = signal::Signal::SIGCONT;
                self.with_process(number, &name, |process| process.signal(resume))
                    .await
            }
            Step::Stop(name) => self.stop(number, &name).await,
            Step::Wipe(name) => self.wipe(number, &name),
            Step::Cut { from, to } => self.cut(number, &from, to.as_ref()).await,
            Step::CutOneWay { from, to } => {
                self.links
                    .send_modify(|table| table.cut_one_way(&from, &to));
                Ok(())
            }
            Step::Delay { name, delay } => {
                self.links.send_modify(|table| table.delay(&name, delay));
                Ok(())
            }
            Step::Reset(name) => {
                self.links.send_modify(|table| table.reset(&name));
                Ok(())
            }
            Step::Heal => {
                self.links.send_modify(link_table::LinkTable::heal);
                Ok(())
            }
            Step::Pause(limit) => {
                tokio::time::sleep(limit).await;
                Ok(())
            }
            Step::AwaitReady(limit) => self.await_ready(number, limit).await,
            Step::AwaitLoad(limit) => self.await_load(number, limit).await,
            Step::ExpectWhole => self.expect_whole(number),
            Step::ExpectOnce => self.expect_once(number).await,
            Step::ExpectOneWinner => self.expect_one_winner(number),
            Step::ExpectConfig(limit) => self.expect_config(number, limit).await,
            Step::ExpectInForce(limit) => self.expect_in_force(number, limit).await,
            Step::ExpectSettled => self.expect_settled(number),
            Step::ExpectAccepted(percent) => self.expect_accepted(number, percent),
        }
    }

    /// Resolves a name to a process: `leader` is the current leader of the control group, `frozen`
    /// the process that was frozen last.
    async fn resolve(&self, name: &step::ProcessName) -> Option<step::ProcessName> {
        if name.as_str() == "frozen" {
            return self.frozen.clone();
        }
        if name.as_str() != "leader" {
            return Some(name.clone());
        }
        let start = time::Instant::now();
        while start.elapsed() < CHANGE_TIMEOUT {
            for control in &self.control {
                let path = "/v1/status?local=true";
                let answer = self.caller.get(control.operators, path).await;
                if answer.is_some_and(|answer| answer.json()["role"] == "leader") {
                    return Some(control.name.clone());
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        None
    }

    async fn with_process<F>(
        &mut self,
        line: usize,
        name: &step::ProcessName,
        action: F,
    ) -> Result<(), error::ScenarioError>
    where
        F: FnOnce(&mut managed_process::ManagedProcess) -> io::Result<()>,
    {
        let missing = || error::ScenarioError::NoProcess {
            line,
            name: name.to_string(),
        };
        let found = self.resolve(name).await.ok_or_else(missing)?;
        let process = self.processes.get_mut(&found).ok_or_else(missing)?;
        action(process).map_err(|source| io_error(found.as_str(), source))
    }

    async fn stop(
        &mut self,
        line: usize,
        name: &step::ProcessName,
    ) -> Result<(), error::ScenarioError> {
        let missing = || error::ScenarioError::NoProcess {
            line,
            name: name.to_string(),
        };
        let found = self.resolve(name).await.ok_or_else(missing)?;
        let process = self.processes.get_mut(&found).ok_or_else(missing)?;
        let code = process
            .stop()
            .await
            .map_err(|source| io_error(found.as_str(), source))?;
        expect::check(line, code == Some(0), "exit code 0", || format!("{code:?}"))
    }

    fn wipe(&mut self, line: usize, name: &step::ProcessName) -> Result<(), error::ScenarioError> {
        let process = self.processes.get_mut(name);
        let stopped = process.is_some_and(|process| !process.should_run());
        expect::check(line, stopped, "a process that is not running", || {
            name.to_string()
        })?;
        fs::remove_dir_all(self.data_folder(name)).map_err(|source| io_error("wipe", source))
    }

    async fn cut(
        &mut self,
        line: usize,
        from: &step::ProcessName,
        to: Option<&step::ProcessName>,
    ) -> Result<(), error::ScenarioError> {
        let missing = || error::ScenarioError::NoProcess {
            line,
            name: from.to_string(),
        };
        let from = self.resolve(from).await.ok_or_else(missing)?;
        self.links.send_modify(|table| table.cut(&from, to));
        Ok(())
    }

    /// Returns the totals of all finished loads as text, for a report.
    pub fn summary(&self) -> String {
        format!("{:?}", self.totals)
    }
}

pub(super) fn io_error(what: &str, source: io::Error) -> error::ScenarioError {
    error::ScenarioError::Io {
        what: what.to_owned(),
        source,
    }
}
