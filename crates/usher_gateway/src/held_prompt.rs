//! A prompt that one engine holds for another. Not for: choosing either of them.

use std::{net, sync, time};

use usher_roster::TargetEntry;

use crate::{answer_buffer::MAX_OWN_ANSWER_BYTES, core, dialect, pool};

/// Time for an engine to free a prompt. No call waits for it, and the engine drops the prompt by
/// itself some seconds later.
const FREE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// A prompt that an engine holds; freed when it is dropped without having been taken.
pub(crate) struct HeldPrompt<D, C>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    core: sync::Arc<core::GatewayCore<D, C>>,
    holder: TargetEntry,
    handle: Option<String>,
}

impl<D, C> HeldPrompt<D, C>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    pub(crate) fn new(
        core: sync::Arc<core::GatewayCore<D, C>>,
        holder: TargetEntry,
        handle: String,
    ) -> Self {
        Self {
            core,
            holder,
            handle: Some(handle),
        }
    }

    /// Returns the engine that holds the prompt.
    pub(crate) fn holder(&self) -> &TargetEntry {
        &self.holder
    }

    /// Returns the part of the call that the other engine runs.
    pub(crate) fn step(&self) -> dialect::SendStep {
        match &self.handle {
            Some(handle) => dialect::SendStep::Decode(dialect::PromptHandle {
                holder: self.holder.address,
                handle: handle.clone(),
            }),
            None => dialect::SendStep::Complete,
        }
    }

    /// Marks the prompt as taken by another engine, so that it isn't freed.
    pub(crate) fn mark_taken(mut self) {
        self.handle = None;
    }
}

impl<D, C> Drop for HeldPrompt<D, C>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else {
            return;
        };
        let core = self.core.clone();
        let holder = self.holder.clone();
        tokio::spawn(async move {
            free(&core, &holder, &handle).await;
        });
    }
}

async fn free<D, C>(core: &core::GatewayCore<D, C>, holder: &TargetEntry, handle: &str)
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    // The engine drops the prompt by itself some seconds later.
    if core.loads.pause_end(holder, core.clock.now()).is_some() {
        tracing::debug!(target_name = %holder.name, "held prompt not freed: the engine wants a pause");
        return;
    }
    let target_request = core.dialect.free_handle(handle);
    let mut request = http::Request::new(pool::RequestBody::default());
    *request.method_mut() = target_request.method;
    let Ok(uri) = http::Uri::try_from(target_request.path) else {
        return;
    };
    *request.uri_mut() = uri;
    insert_host(request.headers_mut(), holder.address);
    let exchange = async {
        let sent = core.pool.send(holder, request, true).await;
        let (answer, connection) = sent.map_err(|error| error.to_string())?;
        let metadata = core.dialect.read_answer(answer.status(), answer.headers());
        core.record_head(holder, answer.status(), answer.headers(), &metadata);
        let read = answer.into_body().read_all(MAX_OWN_ANSWER_BYTES).await;
        read.map_err(|error| error.to_string())?;
        connection.release();
        Ok::<_, String>(())
    };
    let exchange = tokio::time::timeout(FREE_TIMEOUT, exchange).await;
    let exchange = exchange.unwrap_or_else(|_| Err(format!("no answer within {FREE_TIMEOUT:?}")));
    if let Err(error) = exchange {
        tracing::debug!(target = %holder.name, error, "failed to free a held prompt");
    }
}

fn insert_host(headers: &mut http::HeaderMap, address: net::SocketAddr) {
    if let Ok(host) = http::HeaderValue::try_from(address.to_string()) {
        headers.insert(http::header::HOST, host);
    }
}
