//! A small group of replicas over loopback, for the tests and benchmarks of this crate.

#![allow(dead_code, unreachable_pub)]

use std::{net, path, sync, time};

use usher_replica::{
    ProposeError, ReplicaBuilder, ReplicaHandle, ReplicaRole, ReplicaSettings, RestoreError,
    StartError, StateMachine,
};
use usher_types::{LogIndex, NodeName};
use usher_wire::{message, CallHandler, WireIdentity};

/// A state machine that stores all commands; the outcome is the number of commands so far.
#[derive(Debug, Default)]
pub struct ListMachine {
    pub commands: Vec<Vec<u8>>,
}

impl StateMachine for ListMachine {
    fn apply(&mut self, _index: LogIndex, command: &[u8]) -> Vec<u8> {
        self.commands.push(command.to_vec());
        (self.commands.len() as u64).to_le_bytes().to_vec()
    }

    fn snapshot(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        for command in &self.commands {
            bytes.extend_from_slice(&(command.len() as u32).to_le_bytes());
            bytes.extend_from_slice(command);
        }
        bytes
    }

    fn restore(&mut self, mut snapshot: &[u8]) -> Result<(), RestoreError> {
        let mut commands = Vec::new();
        while !snapshot.is_empty() {
            let (length, rest) = snapshot.split_at(4);
            let length = u32::from_le_bytes(length.try_into().unwrap()) as usize;
            commands.push(rest[..length].to_vec());
            snapshot = &rest[length..];
        }
        self.commands = commands;
        Ok(())
    }
}

pub type Handle = ReplicaHandle<ListMachine>;

/// Passes received messages to the replica.
struct MessageHandler(Handle);

impl CallHandler for MessageHandler {
    async fn handle(
        &self,
        _peer: &WireIdentity,
        body: message::envelope::Body,
    ) -> Option<message::envelope::Body> {
        if let message::envelope::Body::Consensus(message) = body {
            self.0.receive(message);
        }
        None
    }
}

/// One node: its replica and the server that receives messages for it.
pub struct Node {
    pub handle: Handle,
    pub server: tokio::task::JoinHandle<()>,
}

impl Node {
    /// Disconnects the node and stops it, as the end of its process does.
    pub async fn stop(self) {
        self.server.abort();
        let _ = self.server.await;
        self.handle.stop().await;
    }
}

pub struct Group {
    pub folder: path::PathBuf,
    pub names: Vec<NodeName>,
    pub addresses: Vec<net::SocketAddr>,
    pub voters: usize,
    pub adjust: fn(ReplicaSettings) -> ReplicaSettings,
}

impl Group {
    /// Prepares a group of `count` nodes, of which the first `voters` are the initial voters.
    pub fn new(name: &str, count: usize, voters: usize) -> Self {
        let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = std::fs::remove_dir_all(&folder);
        Self {
            folder,
            names: (1..=count)
                .map(|number| NodeName::new(format!("c{number}")))
                .collect(),
            addresses: (0..count).map(|_| usher_ports::reserve_address()).collect(),
            voters,
            adjust: |settings| settings.with_repair(None),
        }
    }

    pub fn node_folder(&self, node_index: usize) -> path::PathBuf {
        self.folder.join(self.names[node_index].as_str())
    }

    pub fn settings(&self, node_index: usize) -> ReplicaSettings {
        let peers = self
            .names
            .iter()
            .cloned()
            .zip(self.addresses.iter().copied());
        let settings = ReplicaSettings::new(
            "test",
            self.names[node_index].clone(),
            self.addresses[node_index],
            self.node_folder(node_index),
        )
        .with_location("south-a", &format!("d{node_index}"))
        .with_peers(peers)
        .with_initial_members(self.names.iter().take(self.voters).cloned());
        (self.adjust)(settings)
    }

    /// Starts one node on its data folder.
    pub async fn start(&self, node_index: usize) -> Node {
        self.start_with_clock(node_index, usher_types::SystemClock)
            .await
    }

    /// Starts one node on its data folder with the given clock.
    pub async fn start_with_clock<C>(&self, node_index: usize, clock: C) -> Node
    where
        C: usher_types::ClockSource,
    {
        Self::start_settings(self.settings(node_index), clock).await
    }

    /// Starts a node with the given settings.
    pub async fn start_settings<C>(settings: ReplicaSettings, clock: C) -> Node
    where
        C: usher_types::ClockSource,
    {
        let (name, address) = (settings.name.clone(), settings.address);
        let handle = ReplicaBuilder::new(settings, ListMachine::default())
            .with_clock(clock)
            .start()
            .await
            .unwrap();
        Self::serve(handle, name, address)
    }

    /// Starts one node on a folder in memory.
    ///
    /// # Errors
    ///
    /// Fails as the start of the replica does.
    pub async fn start_on(
        &self,
        node_index: usize,
        folder: usher_log::MemoryFolder,
    ) -> Result<Node, StartError> {
        let settings = self.settings(node_index);
        let (name, address) = (settings.name.clone(), settings.address);
        let builder = ReplicaBuilder::new(settings, ListMachine::default());
        let handle = builder.start_on(folder).await?;
        Ok(Self::serve(handle, name, address))
    }

    /// Receives messages for a replica.
    fn serve(handle: Handle, name: NodeName, address: net::SocketAddr) -> Node {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        socket.bind(address).unwrap();
        let listener = socket.listen(64).unwrap();
        let identity = WireIdentity {
            cluster: "test".to_owned(),
            node: name,
            incarnation: handle.identity().incarnation,
        };
        let handler = sync::Arc::new(MessageHandler(handle.clone()));
        let server = tokio::spawn(usher_wire::serve(
            listener,
            identity,
            handler,
            std::future::pending(),
        ));
        Node { handle, server }
    }

    pub async fn start_all(&self) -> Vec<Node> {
        let mut nodes = Vec::new();
        for node_index in 0..self.names.len() {
            nodes.push(self.start(node_index).await);
        }
        nodes
    }
}

/// Waits until a condition holds; the limit of 60 s only ends a test that hangs.
pub async fn wait_for<C>(what: &str, mut condition: C)
where
    C: FnMut() -> bool,
{
    let limit = time::Instant::now() + time::Duration::from_secs(60);
    while !condition() {
        assert!(time::Instant::now() < limit, "timed out waiting for {what}");
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
}

/// Waits until a node is the leader, and returns its position.
pub async fn leader_of(nodes: &[&Handle]) -> usize {
    let leads = |node: &&Handle| node.status().role == ReplicaRole::Leader;
    wait_for("a leader", || nodes.iter().any(leads)).await;
    nodes.iter().position(leads).unwrap_or(0)
}

/// Proposes a command on all nodes in turn until the leader accepts it; returns its outcome.
pub async fn propose(nodes: &[&Handle], command: &[u8]) -> Vec<u8> {
    let limit = time::Instant::now() + time::Duration::from_secs(60);
    loop {
        for node in nodes {
            match node.propose(command.to_vec()).await {
                Ok(outcome) => return outcome,
                Err(ProposeError::NotLeader { .. }) => {}
                Err(error) => panic!("{error}"),
            }
        }
        assert!(time::Instant::now() < limit, "no leader accepts commands");
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
}
