//! A crowd of callers that send many large bodies of legal size. Not for: ordinary callers.

use std::{
    io::{self, Read, Write},
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

use crate::{has_trouble, http, install::Record};

const MEMBERS: usize = 60;

/// Bodies are inside `maxBodyBytes` (4,194,304), and stop just short of their end.
const BODY_BYTES: usize = 4_000_000;
/// A piece each 20 ms: 60 members send 60 MB a second, half of a link of 1,000 Mbit/s.
const PIECE_BYTES: usize = 20_000;

#[derive(Default)]
struct Shared {
    ends: AtomicBool,
    /// Members that were turned away before they had sent all.
    closed: AtomicUsize,
}

pub struct Crowd {
    shared: Arc<Shared>,
    members: Vec<thread::JoinHandle<()>>,
}

impl Crowd {
    /// Starts the crowd; nobody without the disruption.
    pub fn start(front: SocketAddr, record: &Record) -> Self {
        let shared = Arc::<Shared>::default();
        let count = if has_trouble() { MEMBERS } else { 0 };
        record.add(format!(
            "{count} callers begin to send bodies of {BODY_BYTES} bytes"
        ));
        let members = (0..count).map(|number| {
            let shared = shared.clone();
            thread::spawn(move || {
                if press(front, number, &shared.ends).is_err() {
                    shared.closed.fetch_add(1, Ordering::Relaxed);
                }
            })
        });
        let members = members.collect();
        Self { shared, members }
    }

    pub fn end(self, record: &Record) {
        self.shared.ends.store(true, Ordering::Relaxed);
        for member in self.members {
            let _ = member.join();
        }
        let closed = self.shared.closed.load(Ordering::Relaxed);
        record.add(format!(
            "{closed} callers of the crowd were turned away before they had sent all"
        ));
    }
}

/// Sends a body piece by piece up to just short of its end, and stays.
fn press(front: SocketAddr, number: usize, ends: &AtomicBool) -> io::Result<()> {
    let mut stream = http::connect(front)?;
    let head = format!(
        "POST /callout/7 HTTP/1.1\r\nHost: desk.example\r\n\
         Pimentousher-Request-Id: beef{number:012}\r\nPimentousher-Deadline-Ms: 6000\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let piece = vec![b'x'; PIECE_BYTES];
    for _ in 0..BODY_BYTES / PIECE_BYTES - 1 {
        if ends.load(Ordering::Relaxed) {
            return Ok(());
        }
        stream.write_all(&piece)?;
        thread::sleep(Duration::from_millis(20));
    }
    stream.set_read_timeout(Some(Duration::from_millis(200)))?;
    while !ends.load(Ordering::Relaxed) {
        match stream.read(&mut [0; 256]) {
            Ok(_) => return Ok(()),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
