//! Configuration changes by operators, alone and concurrent. Not for: their effect on entries.

use std::time;

use crate::{error, runner, runner::expect};

impl runner::ScenarioRunner {
    /// Returns a sheet that differs from all earlier ones only in its maximum counts.
    pub(super) fn next_sheet(&mut self) -> String {
        self.changes += 1;
        let max_count = 10 + self.changes;
        let (engines, model) = (runner::ENGINE_SERVICE, runner::MODEL);
        let plain = runner::PLAIN_SERVICE;
        let header = "service,kind,region,model,version,adapters,prefill,decode,mixed,floor\n";
        let mut sheet = header.to_owned();
        for region in ["south-a", "north-a", "west-a"] {
            sheet.push_str(&format!(
                "{engines},engine,{region},{model},1,,0,0,0..{max_count},0\n\
                 {plain},plain,{region},,,,,,0..{max_count},0\n"
            ));
        }
        sheet
    }

    pub(super) async fn apply(
        &mut self,
        line: usize,
        operator: &str,
        request: &str,
    ) -> Result<(), error::ScenarioError> {
        let sheet = self.next_sheet();
        let body = change_body(operator, request, self.version, &sheet);
        let start = time::Instant::now();
        // Resends the same request until it is accepted, also after a lost response.
        for attempt in 0.. {
            let control = self.control[attempt % self.control.len()].operators;
            let answer = self.caller.post(control, "/v1/config", body.clone()).await;
            if let Some(answer) = answer.filter(|answer| answer.status == 200) {
                self.version = answer.json()["version"].as_u64().unwrap_or_default();
                return Ok(());
            }
            if start.elapsed() > runner::CHANGE_TIMEOUT {
                break;
            }
            tokio::time::sleep(runner::POLL_INTERVAL).await;
        }
        Err(error::ScenarioError::Timeout {
            line,
            what: "accepted change".to_owned(),
            limit: runner::CHANGE_TIMEOUT,
        })
    }

    /// Sends two changes with the same base version concurrently, each until it is accepted or
    /// refused with a conflict.
    pub(super) async fn run_race(&mut self, line: usize) -> Result<(), error::ScenarioError> {
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
            self.post_until_definite(&bodies[0], 0),
            self.post_until_definite(&bodies[1], 1)
        );
        self.race = vec![first, second];
        self.version += 1;
        let definite = !self.race.contains(&0);
        expect::check(
            line,
            definite,
            "both changes accepted or refused with a conflict",
            || format!("{:?}", self.race),
        )
    }

    /// Sends a change until it is accepted or refused with a conflict. Returns the status code, or
    /// 0 after [`runner::CHANGE_TIMEOUT`].
    pub(super) async fn post_until_definite(&self, body: &str, first: usize) -> u16 {
        let start = time::Instant::now();
        for attempt in first.. {
            let control = self.control[attempt % self.control.len()].operators;
            let answer = self
                .caller
                .post(control, "/v1/config", body.to_owned())
                .await;
            match answer.map(|answer| answer.status) {
                Some(status @ (200 | 409)) => return status,
                _ if start.elapsed() > runner::CHANGE_TIMEOUT => return 0,
                _ => tokio::time::sleep(runner::POLL_INTERVAL).await,
            }
        }
        0
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
