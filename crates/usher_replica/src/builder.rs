//! Builder that starts a replica. Not for: using it.

use std::{sync, time};

use tokio::sync::{mpsc, watch};
use usher_log::StorageFolder;
use usher_wire::message;

use crate::{conversion, driver, error, handle, settings, shared_state, state_machine, status};

/// Capacity of the queue of commands from handles.
const COMMAND_QUEUE: usize = 8_192;
/// Capacity of the queue of messages from peers.
const MESSAGE_QUEUE: usize = 4_096;

/// Configures and starts a replica.
#[derive(Debug)]
pub struct ReplicaBuilder<M, C = usher_types::SystemClock> {
    settings: settings::ReplicaSettings,
    machine: M,
    clock: C,
}

impl<M> ReplicaBuilder<M>
where
    M: state_machine::StateMachine,
{
    /// Creates a builder for a replica with an empty state machine.
    pub fn new(settings: settings::ReplicaSettings, machine: M) -> Self {
        Self {
            settings,
            machine,
            clock: usher_types::SystemClock,
        }
    }
}

impl<M, C> ReplicaBuilder<M, C>
where
    M: state_machine::StateMachine,
    C: usher_types::ClockSource,
{
    /// Replaces the clock; ticks still arrive in real time.
    pub fn with_clock<O>(self, clock: O) -> ReplicaBuilder<M, O>
    where
        O: usher_types::ClockSource,
    {
        ReplicaBuilder {
            settings: self.settings,
            machine: self.machine,
            clock,
        }
    }

    /// Opens the data folder and starts the replica on the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when another process uses the folder or the log cannot be read.
    pub async fn start(self) -> Result<handle::ReplicaHandle<M>, error::StartError> {
        let folder = usher_log::DiskFolder::open(self.settings.folder.clone())?;
        self.start_on(folder).await
    }

    /// Starts the replica on the given storage folder; tests use it to inject faults.
    ///
    /// # Errors
    ///
    /// Fails when the log cannot be read.
    pub async fn start_on<D>(self, folder: D) -> Result<handle::ReplicaHandle<M>, error::StartError>
    where
        D: StorageFolder,
    {
        let new = usher_types::IncarnationSource::random();
        let log_settings = self.settings.log.clone();
        let room = usher_log::DiskRoom::default();
        let folder = usher_log::RoomFolder::new(folder, room.clone());
        let open = tokio::task::spawn_blocking(move || {
            usher_log::DurableLog::open(folder, log_settings, new)
        });
        let (log, recovered) = open
            .await
            .map_err(|error| error::StartError::Decode(error.to_string()))??;
        if let Some(tail) = &recovered.torn_tail {
            tracing::warn!(
                file = %tail.file, offset = tail.offset, bytes = tail.bytes,
                "removed a torn write at the end of the log"
            );
        }
        let id = usher_consensus::NodeId {
            name: self.settings.name.clone(),
            incarnation: log.incarnation(),
        };
        let mut machine = self.machine;
        if let Some(snapshot) = &recovered.snapshot {
            machine.restore(&snapshot.data)?;
        }
        let applied = recovered
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.index);
        let state = conversion::initial_state(recovered)?;
        let now = self.clock.now();
        let seed = usher_types::IncarnationSource::random().get();
        let core = usher_consensus::ConsensusCore::new(
            id.clone(),
            self.settings.consensus.clone(),
            state,
            seed,
            now,
        );
        let shared = new_shared_state(machine, applied, &core);
        let (commands, command_source) = mpsc::channel(COMMAND_QUEUE);
        let (messages, message_source) = mpsc::channel(MESSAGE_QUEUE);
        let storage =
            driver::StorageThreads::start(log, room).map_err(error::StartError::Thread)?;
        let driver = driver::ReplicaDriver::new(
            self.clock,
            self.settings,
            core,
            shared.clone(),
            storage,
            command_source,
            message_source,
        );
        tokio::spawn(driver.run());
        Ok(handle::ReplicaHandle {
            shared,
            commands,
            messages,
            identity: id,
        })
    }
}

fn new_shared_state<M>(
    machine: M,
    applied: u64,
    core: &usher_consensus::ConsensusCore,
) -> sync::Arc<shared_state::SharedState<M>> {
    let status = status::ReplicaStatus {
        role: status::ReplicaRole::Learner,
        term: usher_types::TermNumber::new(core.term()),
        leader: None,
        commit: usher_types::LogIndex::new(core.commit()),
        applied: usher_types::LogIndex::new(applied),
        log_bytes: core.log_bytes(),
        membership: message::Membership::default(),
        members_index: 0,
        lease_until: None::<time::Instant>,
        storage_stalled_since: None,
        last_leader_contact: None,
    };
    sync::Arc::new(shared_state::SharedState {
        state: sync::RwLock::new(shared_state::AppliedState {
            machine,
            index: applied,
        }),
        status: sync::RwLock::new(status),
        applied: watch::Sender::new(usher_types::LogIndex::new(applied)),
        stopped: watch::Sender::new(None),
    })
}
