//! Answers that the gateway gives itself. Not for: answers of targets.

use std::time;

use crate::body;

/// Why the gateway answers a call itself.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(crate) enum CallRefusal {
    /// The gateway has no routes yet.
    #[error("the gateway has no routes yet")]
    NoRoutes,
    /// No route matches.
    #[error("no route matches")]
    NoRoute,
    /// The call has no id.
    #[error("the call has no id")]
    NoId,
    /// The head is too long.
    #[error("the head has {head} bytes, more than {limit}")]
    HeadTooLong {
        /// Its size.
        head: usize,
        /// Largest head.
        limit: usize,
    },
    /// The body is too long.
    #[error("the body is longer than {limit} bytes")]
    TooLong {
        /// Largest body.
        limit: usize,
    },
    /// The body didn't arrive.
    #[error("the body did not arrive in time")]
    NoBody,
    /// No target takes work.
    #[error("no target of service {service} takes work")]
    NoTarget {
        /// The service.
        service: usher_types::ServiceName,
    },
    /// Targets refused the call without running it.
    #[error("no target could run the call: {0}")]
    NotRun(String),
    /// The call may have run.
    #[error("the call may have run: {0}")]
    Unknown(String),
    /// The time was over; the call may have run.
    #[error("the time for the call is over, and it may have run")]
    Late,
    /// The time was over before the call was run.
    #[error("the time for the call is over, and it has not run")]
    LateNotRun,
}

/// When a caller may come back after targets refused its call: the time in which a target that
/// failed is tried again.
const RETURN_AFTER: time::Duration = time::Duration::from_millis(500);

/// When a caller may come back to a gateway that has just started: registrars that started with it
/// elect a leader within a second, and tell the routes at once. Callers that came back after half
/// of that were refused again and gave up.
const RETURN_AFTER_START: time::Duration = time::Duration::from_millis(1_300);

impl CallRefusal {
    /// Returns the status. 503, 408 and 429 promise that the call hasn't run and never will.
    pub(crate) fn status(&self) -> http::StatusCode {
        match self {
            Self::NoRoutes | Self::NoTarget { .. } | Self::NotRun(_) | Self::LateNotRun => {
                http::StatusCode::SERVICE_UNAVAILABLE
            }
            Self::NoRoute => http::StatusCode::NOT_FOUND,
            Self::NoId => http::StatusCode::BAD_REQUEST,
            Self::HeadTooLong { .. } => http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::TooLong { .. } => http::StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoBody => http::StatusCode::REQUEST_TIMEOUT,
            Self::Unknown(_) => http::StatusCode::BAD_GATEWAY,
            Self::Late => http::StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Makes the answer.
    pub(crate) fn into_answer(self) -> http::Response<body::AnswerBody> {
        let status = self.status();
        let mut answer = http::Response::new(body::AnswerBody::whole(format!("{self}\n")));
        *answer.status_mut() = status;
        let headers = answer.headers_mut();
        let text = http::HeaderValue::from_static("text/plain");
        headers.insert(http::header::CONTENT_TYPE, text);
        if status == http::StatusCode::SERVICE_UNAVAILABLE {
            let after = match self {
                Self::NoRoutes | Self::NoTarget { .. } => RETURN_AFTER_START,
                _ => RETURN_AFTER,
            };
            let seconds = format!("{:.1}", after.as_secs_f64());
            if let Ok(value) = http::HeaderValue::try_from(seconds) {
                headers.insert(http::header::RETRY_AFTER, value);
            }
        }
        answer
    }
}
