//! Opens the listeners of control nodes. Not for: serving connections.

use std::net;

use crate::error;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Opens a TCP listener.
pub(crate) fn open(
    address: net::SocketAddr,
) -> Result<tokio::net::TcpListener, error::ControlError> {
    let open = || {
        let socket = match address {
            net::SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
            net::SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
        };
        // Lets a restarted node bind its address while old connections are still closing.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|error| error::ControlError::Listen { address, error })
}
