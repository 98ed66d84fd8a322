//! A small HTTP/1.1 client and server side over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or an answer: its first line, headers with names in lower case, and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, text)
}

/// Reads a line without its end; `None` at the end of the connection.
fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with('\n') {
        return Err(broken("the connection ended inside a line"));
    }
    Ok(Some(line.trim_end().to_owned()))
}

/// Reads the next message; `None` if the connection ends before it.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(first_line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut message = Message {
        first_line,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?.ok_or_else(|| broken("no complete head"))?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("no header"))?;
        let name = name.to_ascii_lowercase();
        message.headers.push((name, value.trim().to_owned()));
    }
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    let length = message.header("content-length").map(str::parse::<usize>);
    if is_chunked {
        loop {
            let line = read_line(reader)?.ok_or_else(|| broken("no complete chunk"))?;
            let size = usize::from_str_radix(&line, 16).map_err(|_| broken("no chunk size"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(Ok(length)) = length {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// A connection of a client.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects within a second, as the platform's clients do.
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let socket = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(timeout))?;
        Ok(Self {
            reader: BufReader::new(socket),
        })
    }

    /// Sends a request.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.reader.get_mut().write_all(&bytes)
    }

    /// Reads a complete answer.
    pub fn read(&mut self) -> io::Result<Message> {
        read_message(&mut self.reader)?.ok_or_else(|| broken("closed without an answer"))
    }

    /// Returns the socket.
    pub fn socket(&self) -> &TcpStream {
        self.reader.get_ref()
    }
}

/// Sends one request on a connection of its own and reads the answer.
pub fn exchange(
    address: SocketAddr,
    timeout: Duration,
    method: &str,
    path: &str,
    body: &[u8],
) -> io::Result<Message> {
    let mut connection = Connection::open(address, timeout)?;
    let host = address.to_string();
    let headers = [
        ("Host", host.as_str()),
        ("Content-Type", "application/json"),
        ("Connection", "close"),
    ];
    connection.send(method, path, &headers, body)?;
    connection.read()
}

/// Writes an answer with a length.
pub fn write_answer(
    socket: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    socket.write_all(&bytes)
}
