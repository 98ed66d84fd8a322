//! The log in memory stays small when commands are large.

use std::path;

use usher_replica::{ProposeError, ReplicaBuilder, ReplicaSettings, RestoreError, StateMachine};
use usher_types::{LogIndex, NodeName};

/// Memory that a control process may use.
const MAX_LOG_BYTES: usize = 32 * 1_024 * 1_024;

/// A state machine that keeps only the last command, as that of a configuration does.
#[derive(Debug, Default)]
struct LastCommand(Vec<u8>);

impl StateMachine for LastCommand {
    fn apply(&mut self, _index: LogIndex, command: &[u8]) -> Vec<u8> {
        self.0 = command.to_vec();
        Vec::new()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.clone()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        self.0 = snapshot.to_vec();
        Ok(())
    }
}

/// Guards against nodes that end for lack of memory: the log kept 10,000 commands, and each held a
/// configuration of up to 3 MB.
#[tokio::test(flavor = "multi_thread")]
async fn log_of_large_commands_stays_small() {
    let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("log-memory");
    let _ = std::fs::remove_dir_all(&folder);
    let address = "127.0.0.1:1".parse().unwrap();
    let settings = ReplicaSettings::new("test", NodeName::new("c1"), address, folder)
        .with_snapshot_entries(48)
        .with_snapshot_bytes(8 * 1_024 * 1_024);
    let builder = ReplicaBuilder::new(settings, LastCommand::default());
    let node = builder.start().await.unwrap();
    let mut proposed = 0;
    let mut most = 0;
    while proposed < 160 {
        match node.propose(vec![proposed; 512 * 1_024]).await {
            Ok(_) => proposed += 1,
            Err(ProposeError::NotLeader { .. }) => {
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
            Err(error) => panic!("{error}"),
        }
        most = most.max(node.status().log_bytes);
    }
    assert!(most <= MAX_LOG_BYTES, "{most} bytes");
    assert_eq!(node.view(|state| state.0[0]), 159);
    node.stop().await;
}
