//! Connects a daemon to its StatsD server. Not for: the metrics themselves.

use std::net;

use crate::error;

/// Prefix of all metric names.
const PREFIX: &str = "pimentousher";

/// Metrics that may be queued for the socket; further ones are dropped.
const QUEUE_CAPACITY: usize = 4_096;

/// Creates the metrics client; without a configured address, metrics are discarded.
///
/// # Errors
///
/// Fails if the socket can't be created.
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
    // A full socket buffer must not block requests.
    socket
        .set_nonblocking(true)
        .map_err(error::CommandError::failed)?;
    let sink = cadence::UdpMetricSink::from(address, socket);
    let sink = sink.map_err(error::CommandError::failed)?;
    let queue = cadence::QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY);
    let builder = cadence::StatsdClient::builder(PREFIX, queue);
    Ok(builder.with_tag("node", node.as_str()).build())
}
