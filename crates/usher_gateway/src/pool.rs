//! Connections to targets. Not for: choosing a target.

use std::{collections, sync, time};

use hyper::client::conn::http1;

/// How long connecting to a target may take: five round trips between regions. Another target is
/// tried then at no cost, while the kernel would send a lost opening packet again only after a second.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// How long sent bytes may stay unacknowledged before the connection counts as broken: a machine that
/// is gone. Packets that are lost are sent again within some 0.3 s.
const USER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// How often a silent connection is probed. The probes are answered by the target's kernel, so that
/// a target that takes long keeps its connection.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Part of the idle time that a target states after which a connection isn't used any more: its
/// clock started earlier than ours, and a request that crosses the close is lost.
const IDLE_PART: f64 = 0.6;

/// How long a connection is kept when the target states no idle time, or one below a second.
const UNSTATED_IDLE: time::Duration = time::Duration::from_millis(300);

/// How long a connection may take to become free after its answer was read.
const RETURN_TIMEOUT: time::Duration = time::Duration::from_millis(500);

type LinkSender = http1::SendRequest<RequestBody>;
pub(crate) type RequestBody = http_body_util::Full<bytes::Bytes>;

/// Tells why a request has no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LinkError {
    /// No byte of the request was written.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The target may have acted on the request.
    #[error("connection broke: {0}")]
    Broken(String),
}

#[derive(Debug)]
struct IdleLink {
    sender: LinkSender,
    until: time::Instant,
}

type IdleTable = collections::HashMap<usher_types::TargetName, Vec<IdleLink>>;

/// Keeps connections by target, one request at a time on each; cheap to clone.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetPool {
    idle: sync::Arc<sync::Mutex<IdleTable>>,
}

/// A connection whose answer is being read; given back when that is done, closed when dropped.
#[derive(Debug)]
pub(crate) struct LinkReturn {
    pool: TargetPool,
    target: usher_types::TargetName,
    sender: LinkSender,
    keep: time::Duration,
}

impl TargetPool {
    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(
        &self,
        target: &usher_roster::TargetEntry,
        request: http::Request<RequestBody>,
    ) -> Result<(http::Response<hyper::body::Incoming>, LinkReturn), LinkError> {
        let mut request = request;
        while let Some(sender) = self.take(&target.name) {
            match self.send_on(sender, &target.name, request).await {
                Ok(answer) => return Ok(answer),
                // The connection was closed while it was idle, and nothing was written.
                Err((_, Some(unsent))) => request = unsent,
                Err((error, None)) => return Err(error),
            }
        }
        let sender = connect(target.address).await?;
        let sent = self.send_on(sender, &target.name, request).await;
        sent.map_err(|(error, _)| error)
    }

    async fn send_on(
        &self,
        mut sender: LinkSender,
        target: &usher_types::TargetName,
        request: http::Request<RequestBody>,
    ) -> Result<
        (http::Response<hyper::body::Incoming>, LinkReturn),
        (LinkError, Option<http::Request<RequestBody>>),
    > {
        match sender.try_send_request(request).await {
            Ok(answer) => {
                let link = LinkReturn {
                    pool: self.clone(),
                    target: target.clone(),
                    sender,
                    keep: keep_time(answer.headers()),
                };
                Ok((answer, link))
            }
            Err(mut error) => {
                let unsent = error.take_message();
                let text = error.into_error().to_string();
                let error = match &unsent {
                    Some(_) => LinkError::NotSent(text),
                    None => LinkError::Broken(text),
                };
                Err((error, unsent))
            }
        }
    }

    /// Closes connections that were idle for too long, and those to targets that are gone.
    pub(crate) fn prune(&self, is_known: impl Fn(&usher_types::TargetName) -> bool) {
        let now = time::Instant::now();
        self.lock().retain(|name, links| {
            links.retain(|link| link.until > now && !link.sender.is_closed());
            !links.is_empty() && is_known(name)
        });
    }

    fn take(&self, target: &usher_types::TargetName) -> Option<LinkSender> {
        let now = time::Instant::now();
        let mut idle = self.lock();
        let links = idle.get_mut(target)?;
        while let Some(link) = links.pop() {
            if link.until > now && link.sender.is_ready() {
                return Some(link.sender);
            }
        }
        None
    }

    fn lock(&self) -> sync::MutexGuard<'_, IdleTable> {
        self.idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl LinkReturn {
    /// Keeps the connection for the next request, once the target is done with this one.
    pub(crate) fn give_back(self) {
        let Self {
            pool,
            target,
            mut sender,
            keep,
        } = self;
        if keep.is_zero() {
            return;
        }
        tokio::spawn(async move {
            let ready = tokio::time::timeout(RETURN_TIMEOUT, sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                let until = time::Instant::now() + keep;
                let link = IdleLink { sender, until };
                pool.lock().entry(target).or_default().push(link);
            }
        });
    }
}

async fn connect(address: std::net::SocketAddr) -> Result<LinkSender, LinkError> {
    let connect = tokio::net::TcpStream::connect(address);
    let socket = tokio::time::timeout(CONNECT_TIMEOUT, connect)
        .await
        .map_err(|_| LinkError::NotSent("connecting took too long".to_owned()))?
        .map_err(not_sent)?;
    let options = socket2::SockRef::from(&socket);
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL);
    socket
        .set_nodelay(true)
        .and_then(|()| options.set_tcp_user_timeout(Some(USER_TIMEOUT)))
        .and_then(|()| options.set_tcp_keepalive(&probes))
        .map_err(not_sent)?;
    let io = hyper_util::rt::TokioIo::new(socket);
    let (sender, connection) = http1::Builder::new()
        .handshake(io)
        .await
        .map_err(not_sent)?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%address, %error, "connection to a target ended with an error");
        }
    });
    Ok(sender)
}

fn not_sent<E>(error: E) -> LinkError
where
    E: std::fmt::Display,
{
    LinkError::NotSent(error.to_string())
}

/// Returns for how long a connection is kept behind an answer.
fn keep_time(headers: &http::HeaderMap) -> time::Duration {
    let closes = |value: &http::HeaderValue| {
        value
            .to_str()
            .is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
    };
    if headers.get_all(http::header::CONNECTION).iter().any(closes) {
        return time::Duration::ZERO;
    }
    let stated = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| {
            let parts = text.split(',').map(str::trim);
            let mut seconds = parts.filter_map(|part| part.strip_prefix("timeout="));
            seconds.next()?.parse::<u32>().ok()
        });
    match stated {
        Some(seconds) if seconds > 0 => {
            time::Duration::from_secs(u64::from(seconds)).mul_f64(IDLE_PART)
        }
        _ => UNSTATED_IDLE,
    }
}
