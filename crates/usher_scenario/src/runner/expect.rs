//! Waits for conditions and checks expectations. Not for: injecting faults.

use std::{collections, net, time};

use crate::{error, managed_process, runner, step};

impl runner::ScenarioRunner {
    /// Waits until every running entry is ready and lists at least one model.
    pub(super) async fn await_ready(
        &mut self,
        line: usize,
        limit: time::Duration,
    ) -> Result<(), error::ScenarioError> {
        let entries: Vec<_> = self.entries.clone().into_iter().collect();
        let start = time::Instant::now();
        for (name, address) in entries {
            if !self.should_run(&name) {
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
                tokio::time::sleep(runner::POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    pub(super) async fn is_ready(&self, entry: net::SocketAddr) -> bool {
        let ready = self.caller.get(entry, "/readyz").await;
        let models = self.caller.get(entry, "/v1/models").await;
        let listed = models.is_some_and(|models| {
            models.json()["data"]
                .as_array()
                .is_some_and(|list| !list.is_empty())
        });
        ready.is_some_and(|ready| ready.status == 200) && listed
    }

    pub(super) fn should_run(&self, name: &step::ProcessName) -> bool {
        let process = self.processes.get(name);
        process.is_some_and(managed_process::ManagedProcess::should_run)
    }

    pub(super) fn expect_running(&mut self, line: usize) -> Result<(), error::ScenarioError> {
        let failed = self
            .processes
            .iter_mut()
            .find_map(|(name, process)| process.has_exited().then(|| name.clone()));
        check(line, failed.is_none(), "all processes running", || {
            format!("{failed:?} ended")
        })
    }

    pub(super) async fn await_load(
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

    pub(super) fn expect_whole(&self, line: usize) -> Result<(), error::ScenarioError> {
        let totals = &self.totals;
        let holds = totals.wrong == 0 && totals.calls > 0;
        check(line, holds, "only complete and correct answers", || {
            format!("{totals:?}")
        })
    }

    pub(super) fn expect_accepted(
        &self,
        line: usize,
        percent: u8,
    ) -> Result<(), error::ScenarioError> {
        let totals = &self.totals;
        let holds = totals.whole * 100 >= totals.calls * u64::from(percent);
        let what = format!("{percent}% of the calls answered");
        check(line, holds, &what, || format!("{totals:?}"))
    }

    pub(super) fn expect_settled(&self, line: usize) -> Result<(), error::ScenarioError> {
        let totals = &self.totals;
        let holds = totals.whole + totals.unknown == totals.calls;
        let what = "each call answered, or told that its outcome is unknown";
        check(line, holds, what, || format!("{totals:?}"))
    }

    pub(super) async fn expect_once(&self, line: usize) -> Result<(), error::ScenarioError> {
        let mut counts = collections::BTreeMap::<String, u64>::new();
        for (name, address) in &self.targets {
            if !name.as_str().starts_with(step::ProcessKind::Plain.prefix()) {
                continue;
            }
            let Some(answer) = self.caller.get(*address, "/fake/calls").await else {
                return check(
                    line,
                    false,
                    "the call counts of every plain service",
                    || format!("no answer from {name}"),
                );
            };
            let calls: collections::BTreeMap<String, u64> =
                serde_json::from_slice(&answer.body).unwrap_or_default();
            for (key, count) in calls {
                *counts.entry(key).or_default() += count;
            }
        }
        let repeated: Vec<_> = counts.iter().filter(|(_, count)| **count > 1).collect();
        let holds = repeated.is_empty() && !counts.is_empty();
        check(line, holds, "every plain call executed once", || {
            format!(
                "{} keys, executed more than once: {repeated:?}",
                counts.len()
            )
        })
    }

    pub(super) fn expect_one_winner(&self, line: usize) -> Result<(), error::ScenarioError> {
        let mut answers = self.race.clone();
        answers.sort_unstable();
        check(
            line,
            answers == [200, 409],
            "one accepted, one conflict",
            || format!("{answers:?}"),
        )
    }

    /// Waits until all running entries use the newest accepted version.
    pub(super) async fn expect_config(
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
                return check(line, false, &expected, || format!("{versions:?}"));
            }
            tokio::time::sleep(runner::POLL_INTERVAL).await;
        }
    }

    /// Waits until the leader reports the newest accepted version as in force everywhere.
    pub(super) async fn expect_in_force(
        &mut self,
        line: usize,
        limit: time::Duration,
    ) -> Result<(), error::ScenarioError> {
        let start = time::Instant::now();
        loop {
            let mut found = Vec::new();
            for control in &self.control {
                let path = "/v1/status?local=true";
                let Some(answer) = self.caller.get(control.operators, path).await else {
                    continue;
                };
                let status = answer.json();
                let rollout = &status["config_in_force"];
                let newest = rollout["version"].as_u64() == Some(self.version);
                if status["role"] == "leader" && newest && rollout["everywhere"] == true {
                    return Ok(());
                }
                found.push(rollout.to_string());
            }
            if start.elapsed() > limit {
                let expected = format!("version {} in force everywhere", self.version);
                return check(line, false, &expected, || format!("{found:?}"));
            }
            tokio::time::sleep(runner::POLL_INTERVAL).await;
        }
    }

    pub(super) async fn entry_versions(&mut self) -> Vec<Option<u64>> {
        let entries: Vec<_> = self.entries.clone().into_iter().collect();
        let mut versions = Vec::new();
        for (name, address) in entries {
            if !self.should_run(&name) {
                continue;
            }
            let answer = self.caller.get(address, "/readyz").await;
            versions.push(answer.and_then(|answer| answer.json()["config_version"].as_u64()));
        }
        versions
    }
}

pub(super) fn check<F>(
    line: usize,
    holds: bool,
    expected: &str,
    found: F,
) -> Result<(), error::ScenarioError>
where
    F: FnOnce() -> String,
{
    if holds {
        return Ok(());
    }
    Err(error::ScenarioError::Expectation {
        line,
        expected: expected.to_owned(),
        found: found(),
    })
}
