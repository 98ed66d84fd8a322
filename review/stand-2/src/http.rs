//! Requests and answers of HTTP/1.1 on plain sockets. Not for: what they mean.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A head and the body that came with it.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Status of an answer; 0 if the line has none.
    pub fn status(&self) -> u16 {
        let mut words = self.line.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Method and path of a request.
    pub fn target(&self) -> (String, String) {
        let mut words = self.line.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        (method, words.next().unwrap_or_default().to_owned())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).trim().to_owned()
    }
}

fn unexpected(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, text.to_owned())
}

/// Reads bytes up to and with an empty line; `None` at an orderly end before the first byte.
fn read_head(stream: &mut TcpStream, kept: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut buffer = [0; 4096];
    loop {
        if let Some(end) = kept.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&kept[..end]).into_owned();
            kept.drain(..end + 4);
            let mut lines = head.split("\r\n");
            let line = lines.next().unwrap_or_default().to_owned();
            let headers = lines.filter_map(|line| {
                let (name, value) = line.split_once(':')?;
                Some((name.trim().to_owned(), value.trim().to_owned()))
            });
            return Ok(Some(Message {
                line,
                headers: headers.collect(),
                body: Vec::new(),
            }));
        }
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return match kept.is_empty() {
                true => Ok(None),
                false => Err(unexpected("the connection ended inside a head")),
            };
        }
        kept.extend_from_slice(&buffer[..count]);
    }
}

fn fill(stream: &mut TcpStream, kept: &mut Vec<u8>, length: usize) -> io::Result<()> {
    let mut buffer = [0; 16_384];
    while kept.len() < length {
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Err(unexpected("the connection ended inside a body"));
        }
        kept.extend_from_slice(&buffer[..count]);
    }
    Ok(())
}

fn read_line(stream: &mut TcpStream, kept: &mut Vec<u8>) -> io::Result<String> {
    loop {
        if let Some(end) = kept.windows(2).position(|two| two == b"\r\n") {
            let line = String::from_utf8_lossy(&kept[..end]).into_owned();
            kept.drain(..end + 2);
            return Ok(line);
        }
        let length = kept.len() + 1;
        fill(stream, kept, length)?;
    }
}

/// Reads a message with its body; `None` at an orderly end before it. An answer without a length
/// ends with its connection.
pub fn read_message(
    stream: &mut TcpStream,
    kept: &mut Vec<u8>,
    is_answer: bool,
) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(stream, kept)? else {
        return Ok(None);
    };
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    if chunked {
        loop {
            let line = read_line(stream, kept)?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| unexpected("a chunk has no size"))?;
            fill(stream, kept, size + 2)?;
            message.body.extend(kept.drain(..size));
            kept.drain(..2);
            if size == 0 {
                return Ok(Some(message));
            }
        }
    }
    let length = message.header("content-length").map(str::parse::<usize>);
    match length {
        Some(Ok(length)) => {
            fill(stream, kept, length)?;
            message.body = kept.drain(..length).collect();
        }
        Some(Err(_)) => return Err(unexpected("the length isn't a number")),
        None if is_answer && message.status() >= 200 => {
            stream.read_to_end(kept)?;
            message.body = std::mem::take(kept);
        }
        None => {}
    }
    Ok(Some(message))
}

pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends a request on a connection of its own, and reads the whole answer. Interim answers (1xx)
/// are skipped, as HTTP says; those that need an upgrade that nobody asked for are an error.
pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = connect(address)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    let mut kept = Vec::new();
    loop {
        let answer = read_message(&mut stream, &mut kept, true)?;
        let answer = answer.ok_or_else(|| unexpected("closed without an answer"))?;
        match answer.status() {
            101 => return Err(unexpected("101 without a wish for an upgrade")),
            100..=199 => {}
            _ => return Ok(answer),
        }
    }
}

/// Builds a request with a body of a stated length.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    text.into_bytes()
}
