//! The size of a request's head. Not for: its contents.

use usher_memory::HeadShape;

/// Returns the size of a head as its caller wrote it, without optional white space.
pub fn head_shape(parts: &http::request::Parts) -> HeadShape {
    const LINE_BYTES: usize = " HTTP/1.1\r\n".len() + 1;
    const HEADER_BYTES: usize = ":\r\n".len();
    const SCHEME_BYTES: usize = "://".len();
    let uri = &parts.uri;
    let scheme = uri
        .scheme_str()
        .map_or(0, |scheme| scheme.len() + SCHEME_BYTES);
    let authority = uri
        .authority()
        .map_or(0, |authority| authority.as_str().len());
    let path = uri.path_and_query().map_or(0, |path| path.as_str().len());
    let line = parts.method.as_str().len() + scheme + authority + path + LINE_BYTES;
    let headers = parts.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_BYTES);
    HeadShape {
        bytes: line + headers.sum::<usize>() + "\r\n".len(),
        headers: parts.headers.len(),
    }
}
