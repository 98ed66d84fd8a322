//! A TCP port that is reserved by a UDP socket of the same number. Not for: listening.

use std::{net, process, sync, sync::atomic};

/// Range of the reserved ports: below those that the system gives to outgoing connections and to
/// listeners without a port of their own.
const PORTS: std::ops::Range<u16> = 11_000..30_000;

/// A TCP port of the loopback address that no other test gets while this value lives.
///
/// A port that was only found to be free may be taken by a test that runs at the same time before a
/// process listens on it. The processes of this project don't listen on UDP, so that a UDP socket can
/// hold the number for all tests of the machine.
///
/// ```
/// let (one, two) = (usher_ports::ReservedPort::new(), usher_ports::ReservedPort::new());
/// assert_ne!(one.address(), two.address());
/// assert!(std::net::TcpListener::bind(one.address()).is_ok());
/// ```
#[derive(Debug)]
pub struct ReservedPort {
    address: net::SocketAddr,
    _holder: net::UdpSocket,
}

impl ReservedPort {
    /// Reserves a port.
    ///
    /// # Panics
    ///
    /// Panics when all ports of the range are taken.
    #[expect(clippy::new_without_default, reason = "each value is another port")]
    pub fn new() -> Self {
        static NEXT: atomic::AtomicU32 = atomic::AtomicU32::new(0);
        let width = u32::from(PORTS.end - PORTS.start);
        // Processes with neighbouring ids begin far from each other.
        let begin = process::id().wrapping_mul(97);
        for _ in 0..width {
            let step = NEXT.fetch_add(1, atomic::Ordering::Relaxed);
            let offset = u16::try_from(begin.wrapping_add(step) % width).unwrap_or_default();
            let port = PORTS.start + offset;
            let address = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port));
            let Ok(holder) = net::UdpSocket::bind(address) else {
                continue;
            };
            if net::TcpListener::bind(address).is_ok() {
                return Self {
                    address,
                    _holder: holder,
                };
            }
        }
        panic!("no free port in {PORTS:?}");
    }

    /// Returns the loopback address with the port.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }
}

/// Reserves a loopback address until the process ends.
pub fn reserve_address() -> net::SocketAddr {
    static RESERVED: sync::Mutex<Vec<ReservedPort>> = sync::Mutex::new(Vec::new());
    let port = ReservedPort::new();
    let address = port.address();
    let reserved = RESERVED.lock();
    reserved
        .unwrap_or_else(sync::PoisonError::into_inner)
        .push(port);
    address
}
