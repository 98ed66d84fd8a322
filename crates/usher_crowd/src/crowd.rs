//! Many callers at once that send more than they may, or stop before their request is complete.

use std::{net, sync, time};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

use crate::process_cost;

/// Timeout that only ends a test that hangs.
const HANG_LIMIT: time::Duration = time::Duration::from_secs(60);

/// Interval at which the progress of a crowd is checked.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Longest wait for one write; a daemon may stop reading from a caller.
const WRITE_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Buffer of the system for a caller that reads slowly, in bytes.
const SLOW_BUFFER_BYTES: u32 = 4_096;

/// The bytes that a caller sends, in pieces.
#[derive(Clone, Debug)]
pub struct CrowdRequest {
    /// Pieces of the bytes, which are written one by one.
    pub pieces: Vec<bytes::Bytes>,
    /// Pause after each piece.
    pub pause: time::Duration,
    /// Whether the caller reads what it is sent as it comes, not slowly.
    pub reads: bool,
}

impl CrowdRequest {
    /// Sends the bytes at once.
    pub fn whole(bytes: Vec<u8>) -> Self {
        Self {
            pieces: vec![bytes.into()],
            pause: time::Duration::ZERO,
            reads: false,
        }
    }

    /// Reads answers as they come.
    #[must_use]
    pub fn reading(mut self) -> Self {
        self.reads = true;
        self
    }

    /// Sends the bytes several times behind each other.
    #[must_use]
    pub fn repeated(mut self, times: usize) -> Self {
        let pieces = self.pieces.iter().cycle();
        self.pieces = pieces.take(self.pieces.len() * times).cloned().collect();
        self
    }

    /// Sends the bytes in pieces of a size.
    pub fn in_pieces(bytes: Vec<u8>, size: usize) -> Self {
        let bytes = bytes::Bytes::from(bytes);
        let starts = (0..bytes.len()).step_by(size);
        let pieces = starts.map(|start| bytes.slice(start..bytes.len().min(start + size)));
        Self {
            pieces: pieces.collect(),
            pause: time::Duration::from_millis(1),
            reads: false,
        }
    }
}

/// Callers outside the limits, whose connections stay open until this is dropped, or the daemon closes them.
#[derive(Debug)]
pub struct Crowd {
    callers: Vec<tokio::task::JoinHandle<()>>,
    sent: sync::Arc<sync::atomic::AtomicUsize>,
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for caller in &self.callers {
            caller.abort();
        }
    }
}

impl Crowd {
    /// Starts callers that send the requests in turn.
    pub fn start(address: net::SocketAddr, count: usize, requests: &[CrowdRequest]) -> Self {
        let sent = sync::Arc::new(sync::atomic::AtomicUsize::new(0));
        let requests = requests.iter().cycle().take(count);
        let callers = requests
            .map(|request| tokio::spawn(send(address, request.clone(), sent.clone())))
            .collect();
        Self { callers, sent }
    }

    /// Starts callers that send the request one after the other, each when the one before has its
    /// answer.
    pub async fn start_in_turn(
        address: net::SocketAddr,
        count: usize,
        request: &CrowdRequest,
    ) -> Self {
        let sent = sync::Arc::new(sync::atomic::AtomicUsize::new(0));
        let mut callers = Vec::new();
        for _ in 0..count {
            let mut socket = send_pieces(address, request.clone()).await;
            if let Some(socket) = &mut socket {
                let mut buffer = [0; 4_096];
                let _ = tokio::time::timeout(HANG_LIMIT, socket.read(&mut buffer)).await;
            }
            sent.fetch_add(1, sync::atomic::Ordering::SeqCst);
            callers.push(tokio::spawn(stay(socket, true)));
        }
        Self { callers, sent }
    }

    /// Waits until each caller has sent all that a daemon takes from it, and the daemon has nothing
    /// left to do.
    pub async fn sent(&self, daemon: process_cost::ProcessCost) {
        let limit = time::Instant::now() + HANG_LIMIT;
        while self.sent.load(sync::atomic::Ordering::SeqCst) < self.callers.len() {
            assert!(
                time::Instant::now() < limit,
                "waiting for the crowd to send"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        // The time that this takes depends on the speed of the machine; the runner ends a test that
        // hangs.
        loop {
            let before = daemon.processor_ticks();
            tokio::time::sleep(IDLE_TIME).await;
            if daemon.processor_ticks() - before <= IDLE_TICKS {
                break;
            }
        }
    }
}

/// Time over which a daemon must be idle, and the processor time that it may use meanwhile, in
/// ticks of 10 ms.
const IDLE_TIME: time::Duration = time::Duration::from_millis(500);
const IDLE_TICKS: u64 = 5;

async fn send(
    address: net::SocketAddr,
    request: CrowdRequest,
    sent: sync::Arc<sync::atomic::AtomicUsize>,
) {
    let reads = request.reads;
    let socket = send_pieces(address, request).await;
    sent.fetch_add(1, sync::atomic::Ordering::SeqCst);
    stay(socket, reads).await;
}

/// Keeps a connection open until the daemon closes it.
async fn stay(socket: Option<tokio::net::TcpStream>, reads: bool) {
    // A daemon that closes the connection ends the caller.
    if let Some(mut socket) = socket {
        let mut buffer = [0; 4_096];
        // Reads slowly, so that an answer fills the buffers of both sides.
        let (step, pause) = if reads {
            (buffer.len(), time::Duration::ZERO)
        } else {
            (1, time::Duration::from_secs(1))
        };
        while matches!(socket.read(&mut buffer[..step]).await, Ok(1..)) {
            tokio::time::sleep(pause).await;
        }
    }
}

async fn send_pieces(
    address: net::SocketAddr,
    request: CrowdRequest,
) -> Option<tokio::net::TcpStream> {
    let socket = tokio::net::TcpSocket::new_v4().ok()?;
    if !request.reads {
        // The system would take megabytes for each caller that reads slowly.
        socket.set_recv_buffer_size(SLOW_BUFFER_BYTES).ok()?;
    }
    let mut socket = socket.connect(address).await.ok()?;
    for piece in request.pieces {
        let written = tokio::time::timeout(WRITE_LIMIT, socket.write_all(&piece)).await;
        match written {
            Ok(Ok(())) => {}
            // The daemon doesn't read on.
            Err(_) => break,
            Ok(Err(_)) => return None,
        }
        if !request.pause.is_zero() {
            tokio::time::sleep(request.pause).await;
        }
    }
    Some(socket)
}
