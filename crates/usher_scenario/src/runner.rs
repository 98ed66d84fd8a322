//! Runs a script against the real daemons. Not for: reading scripts.

use std::{collections, fs, io, net, path, process, sync::atomic, time};

use nix::sys::signal;
use tokio::{sync, task};

use crate::{caller, error, link_table, load, managed_process, parser, relay, settings_file, step};

/// Model of the engines of a scenario.
pub(crate) const MODEL: &str = "gum-8b";

/// Service of the engines.
const ENGINE_SERVICE: &str = "assist";

/// The plain service.
pub(crate) const PLAIN_SERVICE: &str = "rounds";

/// How often a condition is looked at.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// How long an operator tries to get a change accepted.
const CHANGE_LIMIT: time::Duration = time::Duration::from_secs(20);

/// The first voters of a group; further control processes are spares.
const VOTERS: usize = 3;

/// Runs the steps of a script in order; ends its processes when dropped.
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
    version: u64,
    race: Vec<u16>,
    frozen: Option<step::ProcessName>,
}

impl ScenarioRunner {
    /// Makes a runner that takes the programs from one folder and keeps its files in another.
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

    /// Reads and runs a script.
    ///
    /// # Errors
    ///
    /// Fails at the first step that can't be done or whose expectation doesn't come true.
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
            Step::ExpectAccepted(percent) => self.expect_accepted(number, percent),
        }
    }

    async fn start(
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

    /// Starts the whole control group, since each settings file names all of it.
    async fn start_control(&mut self, count: usize) -> Result<(), error::ScenarioError> {
        for index in 0..count {
            let name = step::ProcessName::new(format!("control-{}", index + 1));
            let wire = free_address()?;
            let relay = relay::LinkRelay::start(name.clone(), wire, &self.links)
                .await
                .map_err(|source| io_error("relay", source))?;
            self.control.push(settings_file::ControlAddress {
                name,
                relay: relay.address(),
                wire,
                operators: free_address()?,
                voter: index < VOTERS,
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

    fn start_entries(&mut self, count: usize) -> Result<(), error::ScenarioError> {
        for _ in 0..count {
            let index = self.entries.len();
            let name = step::ProcessName::new(format!("entry-{}", index + 1));
            let address = free_address()?;
            let text = settings_file::entry_file(&self.control, &name, index, address);
            self.start_daemon("pimentousher-entry", &name, &text)?;
            self.entries.insert(name, address);
        }
        Ok(())
    }

    fn start_daemon(
        &mut self,
        program: &str,
        name: &step::ProcessName,
        settings: &str,
    ) -> Result<(), error::ScenarioError> {
        let file = self.folder.join(format!("{name}.ini"));
        fs::write(&file, settings).map_err(|source| io_error("settings file", source))?;
        let arguments = words(&["--settings", &file.to_string_lossy()]);
        self.spawn(program, name, arguments)
    }

    fn start_targets(
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
            let address = free_address()?;
            let (region, domain) = settings_file::place_of(index);
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
                step::ProcessKind::Plain => ("fake-service", words(&["--service", PLAIN_SERVICE])),
                _ => (
                    "fake-engine",
                    words(&["--service", ENGINE_SERVICE, "--model", MODEL]),
                ),
            };
            arguments.extend(special);
            self.spawn(program, &name, arguments)?;
            self.targets.insert(name, address);
        }
        Ok(())
    }

    fn spawn(
        &mut self,
        program: &str,
        name: &step::ProcessName,
        arguments: Vec<String>,
    ) -> Result<(), error::ScenarioError> {
        let log = self.folder.join(format!("{name}.log"));
        let path = self.binaries.join(program);
        let process = managed_process::ManagedProcess::start(path, arguments, log)
            .map_err(|source| io_error(program, source))?;
        self.processes.insert(name.clone(), process);
        Ok(())
    }

    fn data_folder(&self, name: &step::ProcessName) -> path::PathBuf {
        self.folder.join(format!("{name}.data"))
    }

    fn start_load(&mut self, kind: step::LoadKind, count: u32) {
        let entries: Vec<_> = self.entries.values().copied().collect();
        for _ in 0..count {
            let call = load::run_call(self.caller.clone(), entries.clone(), kind, self.calls);
            self.loads.spawn(call);
            self.calls += 1;
        }
    }

    /// Finds a process by its name; `leader` is the control process that leads now, `frozen` the
    /// one that was frozen last.
    async fn resolve(&self, name: &step::ProcessName) -> Option<step::ProcessName> {
        if name.as_str() == "frozen" {
            return self.frozen.clone();
        }
        if name.as_str() != "leader" {
            return Some(name.clone());
        }
        let start = time::Instant::now();
        while start.elapsed() < CHANGE_LIMIT {
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
        act: F,
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
        act(process).map_err(|source| io_error(found.as_str(), source))
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
        expect(line, code == Some(0), "exit code 0", || format!("{code:?}"))
    }

    fn wipe(&mut self, line: usize, name: &step::ProcessName) -> Result<(), error::ScenarioError> {
        let process = self.processes.get_mut(name);
        let stopped = process.is_some_and(|process| !process.is_wanted());
        expect(line, stopped, "a process that does not run", || {
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

    /// Returns a sheet that differs from all earlier ones only in an upper count.
    fn next_sheet(&mut self) -> String {
        self.changes += 1;
        let most = 10 + self.changes;
        let header = "service,kind,region,model,version,adapters,prefill,decode,mixed,floor\n";
        let mut sheet = header.to_owned();
        for region in ["south-a", "north-a", "west-a"] {
            sheet.push_str(&format!(
                "{ENGINE_SERVICE},engine,{region},{MODEL},1,,0,0,0..{most},0\n\
                 {PLAIN_SERVICE},plain,{region},,,,,,0..{most},0\n"
            ));
        }
        sheet
    }

    async fn apply(
        &mut self,
        line: usize,
        operator: &str,
        request: &str,
    ) -> Result<(), error::ScenarioError> {
        let sheet = self.next_sheet();
        let body = change_body(operator, request, self.version, &sheet);
        let start = time::Instant::now();
        // The same request is sent again until it is answered, also after lost answers.
        for attempt in 0.. {
            let control = self.control[attempt % self.control.len()].operators;
            let answer = self.caller.post(control, "/v1/config", body.clone()).await;
            if let Some(answer) = answer.filter(|answer| answer.status == 200) {
                self.version = answer.json()["version"].as_u64().unwrap_or_default();
                return Ok(());
            }
            if start.elapsed() > CHANGE_LIMIT {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(error::ScenarioError::Timeout {
            line,
            what: "accepted change".to_owned(),
            limit: CHANGE_LIMIT,
        })
    }

    /// Sends two changes on the same base version at once until each has a definite answer.
    async fn run_race(&mut self, line: usize) -> Result<(), error::ScenarioError> {
        let (one, two) = (self.next_sheet(), self.next_sheet());
        let bodies = [
            change_body(
                "ana",
                &format!("race-a-{}", self.changes),
                self.version,
                &one,
            ),
            change_body(
                "bruno",
                &format!("race-b-{}", self.changes),
                self.version,
                &two,
            ),
        ];
        let (first, second) = tokio::join!(
            self.definite_answer(&bodies[0], 0),
            self.definite_answer(&bodies[1], 1)
        );
        self.race = vec![first, second];
        self.version += 1;
        let definite = !self.race.contains(&0);
        expect(line, definite, "two definite answers", || {
            format!("{:?}", self.race)
        })
    }

    async fn definite_answer(&self, body: &str, first: usize) -> u16 {
        let start = time::Instant::now();
        for attempt in first.. {
            let control = self.control[attempt % self.control.len()].operators;
            let answer = self
                .caller
                .post(control, "/v1/config", body.to_owned())
                .await;
            match answer.map(|answer| answer.status) {
                Some(status @ (200 | 409)) => return status,
                _ if start.elapsed() > CHANGE_LIMIT => return 0,
                _ => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
        0
    }

    /// Waits until every entry that runs is ready and knows the targets that run.
    async fn await_ready(
        &mut self,
        line: usize,
        limit: time::Duration,
    ) -> Result<(), error::ScenarioError> {
        let entries: Vec<_> = self.entries.clone().into_iter().collect();
        let start = time::Instant::now();
        for (name, address) in entries {
            if !self.is_wanted(&name) {
                continue;
            }
            while !self.is_ready(address).await {
                self.expect_running(line)?;
                if start.elapsed() > limit {
                    return Err(error::ScenarioError::Timeout {
                        line,
                        what: format!("readiness of {name}"),
                        limit,
                    });
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn is_ready(&self, entry: net::SocketAddr) -> bool {
        let ready = self.caller.get(entry, "/readyz").await;
        let models = self.caller.get(entry, "/v1/models").await;
        let listed = models.is_some_and(|models| {
            models.json()["data"]
                .as_array()
                .is_some_and(|list| !list.is_empty())
        });
        ready.is_some_and(|ready| ready.status == 200) && listed
    }

    fn is_wanted(&self, name: &step::ProcessName) -> bool {
        let process = self.processes.get(name);
        process.is_some_and(managed_process::ManagedProcess::is_wanted)
    }

    fn expect_running(&mut self, line: usize) -> Result<(), error::ScenarioError> {
        let failed = self
            .processes
            .iter_mut()
            .find_map(|(name, process)| process.has_failed().then(|| name.clone()));
        expect(line, failed.is_none(), "all processes running", || {
            format!("{failed:?} ended")
        })
    }

    async fn await_load(
        &mut self,
        line: usize,
        limit: time::Duration,
    ) -> Result<(), error::ScenarioError> {
        let totals = &mut self.totals;
        let loads = &mut self.loads;
        let all = async {
            while let Some(ended) = loads.join_next().await {
                totals.add(ended.unwrap_or_default());
            }
        };
        tokio::time::timeout(limit, all)
            .await
            .map_err(|_| error::ScenarioError::Timeout {
                line,
                what: "end of the load".to_owned(),
                limit,
            })
    }

    fn expect_whole(&self, line: usize) -> Result<(), error::ScenarioError> {
        let totals = &self.totals;
        let held = totals.wrong == 0 && totals.calls > 0;
        expect(line, held, "only whole answers", || format!("{totals:?}"))
    }

    fn expect_accepted(&self, line: usize, percent: u8) -> Result<(), error::ScenarioError> {
        let totals = &self.totals;
        let held = totals.whole * 100 >= totals.calls * u64::from(percent);
        let what = format!("{percent}% of the calls answered");
        expect(line, held, &what, || format!("{totals:?}"))
    }

    async fn expect_once(&self, line: usize) -> Result<(), error::ScenarioError> {
        let mut counts = collections::BTreeMap::<String, u64>::new();
        for (name, address) in &self.targets {
            if !name.as_str().starts_with(step::ProcessKind::Plain.prefix()) {
                continue;
            }
            let Some(answer) = self.caller.get(*address, "/fake/calls").await else {
                return expect(line, false, "the calls of every plain service", || {
                    format!("no answer of {name}")
                });
            };
            let calls: collections::BTreeMap<String, u64> =
                serde_json::from_slice(&answer.body).unwrap_or_default();
            for (key, count) in calls {
                *counts.entry(key).or_default() += count;
            }
        }
        let doubled: Vec<_> = counts.iter().filter(|(_, count)| **count > 1).collect();
        let held = doubled.is_empty() && !counts.is_empty();
        expect(line, held, "every call run once", || {
            format!("{} keys, doubled {doubled:?}", counts.len())
        })
    }

    fn expect_one_winner(&self, line: usize) -> Result<(), error::ScenarioError> {
        let mut answers = self.race.clone();
        answers.sort_unstable();
        expect(
            line,
            answers == [200, 409],
            "one accepted, one conflict",
            || format!("{answers:?}"),
        )
    }

    /// Waits until all entries that run act on the newest accepted version.
    async fn expect_config(
        &mut self,
        line: usize,
        limit: time::Duration,
    ) -> Result<(), error::ScenarioError> {
        let start = time::Instant::now();
        loop {
            let versions = self.entry_versions().await;
            if versions
                .iter()
                .all(|version| *version == Some(self.version))
            {
                return Ok(());
            }
            if start.elapsed() > limit {
                let expected = format!("version {} at all entries", self.version);
                return expect(line, false, &expected, || format!("{versions:?}"));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn entry_versions(&mut self) -> Vec<Option<u64>> {
        let entries: Vec<_> = self.entries.clone().into_iter().collect();
        let mut versions = Vec::new();
        for (name, address) in entries {
            if !self.is_wanted(&name) {
                continue;
            }
            let answer = self.caller.get(address, "/readyz").await;
            versions.push(answer.and_then(|answer| answer.json()["config_version"].as_u64()));
        }
        versions
    }

    /// Returns the totals of all loads so far, for a report.
    pub fn summary(&self) -> String {
        format!("{:?}", self.totals)
    }
}

fn change_body(operator: &str, request: &str, base: u64, sheet: &str) -> String {
    serde_json::json!({
        "operator": operator,
        "request_id": request,
        "base_version": base,
        "sheet": sheet,
    })
    .to_string()
}

fn words(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}

fn expect<F>(line: usize, held: bool, expected: &str, found: F) -> Result<(), error::ScenarioError>
where
    F: FnOnce() -> String,
{
    if held {
        return Ok(());
    }
    Err(error::ScenarioError::Expectation {
        line,
        expected: expected.to_owned(),
        found: found(),
    })
}

fn io_error(what: &str, source: io::Error) -> error::ScenarioError {
    error::ScenarioError::Io {
        what: what.to_owned(),
        source,
    }
}

/// Returns a loopback address with a port that is free now and that no earlier call returned.
///
/// The port lies below those that the system gives to outgoing connections: one of these could take
/// it before the process that it is meant for listens on it.
fn free_address() -> Result<net::SocketAddr, error::ScenarioError> {
    const FIRST: u64 = 18_000;
    const PORTS: u64 = 14_000;
    static NEXT: atomic::AtomicU64 = atomic::AtomicU64::new(0);
    // Runs in other processes begin at other ports.
    let start = u64::from(process::id()) * 61;
    for _ in 0..PORTS {
        let step = NEXT.fetch_add(1, atomic::Ordering::SeqCst);
        let port = u16::try_from(FIRST + (start + step) % PORTS).unwrap_or(u16::MAX);
        let address = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port));
        if net::TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    let source = io::Error::from(io::ErrorKind::AddrInUse);
    Err(io_error("free port", source))
}
