//! Decides whether the answer of a target is complete. Not for: reading it.

use std::{error, fmt};

use crate::{json_scanner, AnswerFault, AnswerFraming, EventScanner, RequestProgress};

/// Scanner of the content of a body, for content that shows its own end.
#[derive(Clone, Debug)]
enum ContentScanner {
    Events(EventScanner),
    Json(json_scanner::JsonScanner),
    Opaque,
}

/// Decides whether an answer is complete, from its head, its bytes and the end of its body.
///
/// A stated length or chunks show where a body ends. The end of its connection doesn't, because the
/// connections of a target that crashes are closed too, so content that shows its own end is checked
/// as well: JSON then, and events in each framing, as a proxy may have framed what it got of a
/// stream. A stream without a length that ends between two events, and other content without a
/// length, counts as complete (RFC 9112, section 8).
///
/// ```
/// use usher_answer::AnswerCheck;
///
/// let mut check = AnswerCheck::new(&http::HeaderMap::new()).with_default_events();
/// check.add(b"id: 1\ndata: a\n\nid: 2\nda");
/// assert!(check.at_end().is_err());
/// check.add(b"ta: b\n\n");
/// assert_eq!(check.at_end(), Ok(()));
/// ```
#[derive(Clone, Debug)]
pub struct AnswerCheck {
    framing: AnswerFraming,
    has_type: bool,
    content: ContentScanner,
    bytes: u64,
    request: RequestProgress,
}

impl AnswerCheck {
    /// Starts the check of an answer with a body.
    pub fn new(headers: &http::HeaderMap) -> Self {
        let media_type = headers
            .get(http::header::CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .map(|text| text.split(';').next().unwrap_or_default().trim())
            .map(str::to_ascii_lowercase);
        let content = match media_type.as_deref() {
            Some("text/event-stream") => ContentScanner::Events(EventScanner::default()),
            Some(name) if name == "application/json" || name.ends_with("+json") => {
                ContentScanner::Json(json_scanner::JsonScanner::default())
            }
            _ => ContentScanner::Opaque,
        };
        Self {
            framing: AnswerFraming::of_head(headers),
            has_type: media_type.is_some(),
            content,
            bytes: 0,
            request: RequestProgress::default(),
        }
    }

    /// Takes a body without a stated type for an event stream.
    #[must_use]
    pub fn with_default_events(mut self) -> Self {
        if !self.has_type {
            self.content = ContentScanner::Events(EventScanner::default());
        }
        self
    }

    /// Sets the framing where the head alone doesn't tell it.
    #[must_use]
    pub fn with_framing(mut self, framing: AnswerFraming) -> Self {
        self.framing = framing;
        self
    }

    /// Sets the request that is answered. A connection that ends while its request is still being
    /// written has failed, and an answer that ends with it isn't complete.
    #[must_use]
    pub fn with_request(mut self, request: RequestProgress) -> Self {
        self.request = request;
        self
    }

    /// Returns how the body is framed.
    pub fn framing(&self) -> AnswerFraming {
        self.framing
    }

    /// Returns whether the body is an event stream.
    pub fn has_events(&self) -> bool {
        matches!(self.content, ContentScanner::Events(_))
    }

    /// Returns the number of complete events so far; 0 if the body is no event stream.
    pub fn events(&self) -> u64 {
        match &self.content {
            ContentScanner::Events(scanner) => scanner.events(),
            ContentScanner::Json(_) | ContentScanner::Opaque => 0,
        }
    }

    /// Adds bytes of the body.
    pub fn add(&mut self, bytes: &[u8]) {
        self.bytes += bytes.len() as u64;
        match &mut self.content {
            ContentScanner::Events(scanner) => {
                let mut left = bytes;
                while let Some(end) = scanner.next_end(left) {
                    left = &left[end..];
                }
            }
            ContentScanner::Json(scanner) => scanner.add(bytes),
            ContentScanner::Opaque => {}
        }
    }

    /// Decides whether the answer is complete, at the end of a body without an error.
    ///
    /// # Errors
    ///
    /// Fails when the target has broken the answer off.
    pub fn at_end(&self) -> Result<(), AnswerFault> {
        let ends_with_connection = self.framing == AnswerFraming::ConnectionEnd;
        if ends_with_connection && self.request.is_writing() {
            return Err(AnswerFault::BeforeRequestEnd);
        }
        match &self.content {
            ContentScanner::Events(scanner) if scanner.is_inside_event() => {
                Err(AnswerFault::InsideEvent {
                    events: scanner.events(),
                })
            }
            ContentScanner::Events(scanner) if ends_with_connection && scanner.events() == 0 => {
                Err(AnswerFault::NoEvent)
            }
            ContentScanner::Json(scanner) if ends_with_connection && scanner.is_inside_value() => {
                Err(AnswerFault::InsideJson { bytes: self.bytes })
            }
            _ => Ok(()),
        }
    }

    /// Takes the next frame of the body; returns its bytes, or `None` at the end of a complete
    /// answer.
    ///
    /// # Errors
    ///
    /// Fails when the body has an error, or ends before the answer is complete.
    pub fn read_frame<E>(
        &mut self,
        frame: Option<Result<http_body::Frame<bytes::Bytes>, E>>,
    ) -> Result<Option<bytes::Bytes>, AnswerFault>
    where
        E: error::Error,
    {
        match frame {
            Some(Ok(frame)) => {
                let bytes = frame.into_data().unwrap_or_default();
                self.add(&bytes);
                Ok(Some(bytes))
            }
            Some(Err(error)) => Err(AnswerFault::Connection(with_sources(&error))),
            None => self.at_end().map(|()| None),
        }
    }
}

impl fmt::Display for AnswerCheck {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let ContentScanner::Events(scanner) = &self.content {
            write!(f, "{} events, ", scanner.events())?;
        }
        write!(f, "{} bytes, {}", self.bytes, self.framing)
    }
}

/// Returns the text of an error with those of its sources, which tell a reset from a missing end.
fn with_sources<E>(error: &E) -> String
where
    E: error::Error,
{
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
