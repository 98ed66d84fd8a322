//! Requests that are legal or nearly so. Not for: their sending.

use crate::CrowdRequest;

/// Longest head that the tests' configurations allow, in bytes.
const HEAD_LIMIT: usize = 16 * 1_024;

/// The head of a request, without the empty line that ends it.
///
/// ```
/// let head = usher_crowd::RequestHead::new("GET", "/healthz");
/// let request = head.with_header("host", "desk.example").complete();
/// assert_eq!(request.pieces[0], "GET /healthz HTTP/1.1\r\nhost: desk.example\r\n\r\n");
/// ```
#[derive(Clone, Debug)]
pub struct RequestHead {
    bytes: Vec<u8>,
}

impl RequestHead {
    /// Begins a head.
    pub fn new(method: &str, path: &str) -> Self {
        Self {
            bytes: format!("{method} {path} HTTP/1.1\r\n").into_bytes(),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        let line = format!("{name}: {value}\r\n");
        self.bytes.extend_from_slice(line.as_bytes());
        self
    }

    /// Adds headers with names of their own that fill the head nearly to the limit.
    #[must_use]
    pub fn filled(mut self, headers: usize) -> Self {
        let room = HEAD_LIMIT.saturating_sub(self.bytes.len() + 512) / headers;
        for number in 0..headers {
            let name = format!("x-{number}");
            let value = "v".repeat(room.saturating_sub(name.len() + 4).max(1));
            self = self.with_header(&name, &value);
        }
        self
    }

    /// Adds a header with a list of as many parts as the limit allows.
    #[must_use]
    pub fn with_parts(self, name: &str, part: &str) -> Self {
        let room = HEAD_LIMIT.saturating_sub(self.bytes.len() + name.len() + 512);
        let parts = vec![part; room / (part.len() + 1)];
        self.with_header(name, &parts.join(","))
    }

    /// Makes a request without a body.
    pub fn complete(&self) -> CrowdRequest {
        CrowdRequest::whole(self.end(&[]))
    }

    /// Makes a request whose body of a length lacks its last byte.
    pub fn short_body(&self, length: usize) -> CrowdRequest {
        CrowdRequest::whole(self.short_body_bytes(length))
    }

    /// Makes the same request in pieces of a size.
    pub fn short_body_in_pieces(&self, length: usize, size: usize) -> CrowdRequest {
        CrowdRequest::in_pieces(self.short_body_bytes(length), size)
    }

    /// Makes a request with a complete body of a length.
    pub fn whole_body(&self, length: usize) -> CrowdRequest {
        self.body(&vec![b'x'; length])
    }

    /// Makes a request with a complete body.
    pub fn body(&self, body: &[u8]) -> CrowdRequest {
        let length = body.len().to_string();
        let head = self.clone().with_header("content-length", &length);
        CrowdRequest::whole(head.end(body))
    }

    fn short_body_bytes(&self, length: usize) -> Vec<u8> {
        let head = self
            .clone()
            .with_header("content-length", &length.to_string());
        let mut bytes = head.end(&[]);
        bytes.resize(bytes.len() + length - 1, b'x');
        bytes
    }

    /// Makes a request with a body in chunks of a size that lacks its last chunk.
    pub fn short_chunks(&self, length: usize, chunk: usize) -> CrowdRequest {
        let head = self.clone().with_header("transfer-encoding", "chunked");
        let mut body = Vec::new();
        for _ in 0..length / chunk {
            body.extend_from_slice(format!("{chunk:x}\r\n").as_bytes());
            body.resize(body.len() + chunk, b'x');
            body.extend_from_slice(b"\r\n");
        }
        CrowdRequest::whole(head.end(&body))
    }

    /// Makes a head whose last line goes on for a length without its end.
    pub fn endless_line(&self, length: usize) -> CrowdRequest {
        let mut bytes = self.bytes.clone();
        bytes.extend_from_slice(b"x: ");
        bytes.resize(bytes.len() + length, b'x');
        CrowdRequest::in_pieces(bytes, 16 * 1_024)
    }

    /// Makes a head that is longer than the limit and lacks only its last line.
    pub fn long_head(&self, length: usize) -> CrowdRequest {
        let head = self.clone().with_header("x", &"x".repeat(length));
        CrowdRequest::whole(head.bytes)
    }

    /// Makes empty lines without end before a request.
    pub fn empty_lines(lines: usize) -> CrowdRequest {
        CrowdRequest::in_pieces(b"\r\n".repeat(lines), 16 * 1_024)
    }

    fn end(&self, body: &[u8]) -> Vec<u8> {
        let mut bytes = self.bytes.clone();
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(body);
        bytes
    }
}
