//! Where metrics go. Not for: which metrics there are.

use std::net;

use crate::error;

/// The prefix of all metrics.
const PREFIX: &str = "pimentousher";

/// Metrics that may wait for the socket; more are dropped.
const QUEUE_CAPACITY: usize = 4_096;

/// Makes a client for the settings; without an address, metrics go nowhere.
///
/// # Errors
///
/// Fails when no socket can be made.
pub fn metric_client(
    settings: &usher_config::MetricSettings,
    node: &usher_types::NodeName,
) -> Result<cadence::StatsdClient, error::CommandError> {
    let Some(address) = settings.statsd else {
        return Ok(cadence::StatsdClient::from_sink(
            PREFIX,
            cadence::NopMetricSink,
        ));
    };
    let local_address = net::SocketAddr::from((net::Ipv4Addr::UNSPECIFIED, 0));
    let socket = net::UdpSocket::bind(local_address).map_err(error::CommandError::failed)?;
    // A full socket buffer must not hold up a request.
    socket
        .set_nonblocking(true)
        .map_err(error::CommandError::failed)?;
    let sink = cadence::UdpMetricSink::from(address, socket);
    let sink = sink.map_err(error::CommandError::failed)?;
    let queue = cadence::QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY);
    let builder = cadence::StatsdClient::builder(PREFIX, queue);
    Ok(builder.with_tag("node", node.as_str()).build())
}
