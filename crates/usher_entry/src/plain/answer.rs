//! Reads the answer of a plain target, converts it to a record and replays recorded answers.
//!
//! Not for: choosing the target.

use axum::response::{self, IntoResponse as _};
use usher_types::RunState;
use usher_wire::message;

use crate::{
    client::SendError,
    connection_pool,
    error::CallError,
    plain::{call, claim},
};

/// An answer whose beginning has been read.
pub(crate) struct PlainAnswer {
    pub(crate) status: http::StatusCode,
    headers: http::HeaderMap,
    prefix: bytes::Bytes,
    // The unread rest, set for an answer that is longer than what control records.
    rest: Option<connection_pool::DrivenAnswer>,
}

impl PlainAnswer {
    /// Reads an answer up to the length that control records. The connection of one that ends before
    /// returns to the pool.
    pub(crate) async fn read(
        pool: &connection_pool::ConnectionPool,
        connection: connection_pool::TargetConnection,
        response: http::Response<hyper::body::Incoming>,
    ) -> Result<Self, SendError> {
        let status = response.status();
        let headers = call::answer_headers(response.headers());
        let mut body = connection_pool::DrivenBody::read_answer(connection, response);
        let mut prefix = bytes::BytesMut::new();
        let unknown = |fault: usher_answer::AnswerFault| SendError::Unknown(fault.to_string());
        while let Some(bytes) = body.next().await.map_err(unknown)? {
            prefix.extend_from_slice(&bytes);
            if prefix.len() > claim::MAX_RECORDED_ANSWER_BYTES {
                return Ok(Self {
                    status,
                    headers,
                    prefix: prefix.freeze(),
                    rest: Some(body),
                });
            }
        }
        body.into_body().release(pool);
        Ok(Self {
            status,
            headers,
            prefix: prefix.freeze(),
            rest: None,
        })
    }

    /// Returns the answer in the form in which control records it.
    pub(crate) fn to_record(&self) -> message::RecordedAnswer {
        let kind = self.headers.get(http::header::CONTENT_TYPE);
        let truncated = self.rest.is_some();
        message::RecordedAnswer {
            status: self.status.as_u16().into(),
            content_type: kind
                .and_then(|kind| kind.to_str().ok())
                .unwrap_or_default()
                .to_owned(),
            body: if truncated {
                Vec::new()
            } else {
                self.prefix.to_vec()
            },
            truncated,
        }
    }

    /// Takes the unread rest of the body.
    pub(crate) fn take_rest(&mut self) -> Option<connection_pool::DrivenAnswer> {
        self.rest.take()
    }

    /// Returns the caller's response, with `rest` following the part already read.
    pub(crate) fn into_response(self, rest: Option<axum::body::Body>) -> response::Response {
        let body = match rest {
            None => axum::body::Body::from(self.prefix),
            Some(rest) => {
                use futures_util::StreamExt as _;
                let prefix = futures_util::stream::iter([Ok(self.prefix)]);
                axum::body::Body::from_stream(prefix.chain(rest.into_data_stream()))
            }
        };
        let mut response = body.into_response();
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// Returns a recorded answer as the caller's response.
pub(crate) fn replay(answer: message::RecordedAnswer) -> Result<response::Response, CallError> {
    let status = u16::try_from(answer.status).unwrap_or_default();
    let status = http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::OK);
    if answer.truncated {
        let message = format!(
            "the call ran and was answered with {status}; the answer was too long to record"
        );
        let conflict = http::StatusCode::CONFLICT;
        return Err(CallError::key(
            conflict,
            "answer_not_kept",
            message,
            RunState::Unknown,
        ));
    }
    let mut response = axum::body::Body::from(answer.body).into_response();
    *response.status_mut() = status;
    let headers = response.headers_mut();
    if let Ok(kind) = http::HeaderValue::from_str(&answer.content_type) {
        if !kind.is_empty() {
            headers.insert(http::header::CONTENT_TYPE, kind);
        }
    }
    headers.insert(
        "idempotency-replayed",
        http::HeaderValue::from_static("true"),
    );
    Ok(response)
}
