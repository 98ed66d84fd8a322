//! Tests of finding the ends of events, however a stream is split into parts.

use usher_answer::EventScanner;

/// Returns the complete parts of a stream that arrives in parts of a size, and whether it ended
/// inside an event.
fn split(stream: &[u8], size: usize) -> (Vec<Vec<u8>>, u64, bool) {
    let mut scanner = EventScanner::default();
    let mut parts = Vec::new();
    let mut current = Vec::new();
    for mut bytes in stream.chunks(size) {
        while let Some(end) = scanner.next_end(bytes) {
            current.extend_from_slice(&bytes[..end]);
            parts.push(std::mem::take(&mut current));
            bytes = &bytes[end..];
        }
        current.extend_from_slice(bytes);
    }
    (parts, scanner.events(), scanner.is_inside_event())
}

fn check_split(stream: &str, events: u64, is_inside: bool) {
    for size in 1..=stream.len() {
        let (parts, found, inside) = split(stream.as_bytes(), size);
        assert_eq!(
            (found, inside),
            (events, is_inside),
            "parts of {size} bytes: {parts:?}"
        );
    }
}

usher_types::cases! { check_split:
    /// Guards against events that aren't found because their lines end in another way.
    line_feeds("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2, false);
    both("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", 2, false);
    carriage_returns("id: 1\rdata: a\r\rid: 2\rdata: b\r\r", 2, false);
    mixed_line_ends("data: a\r\n\ndata: b\n\r\ndata: c\r\n\rdata: d\n\r", 4, false);
    /// Guards against streams that look complete although they were broken off.
    ends_in_data("id: 1\ndata: a\n\nid: 2\ndata: t", 1, true);
    ends_behind_a_line("id: 1\ndata: a\n\nid: 2\n", 1, true);
    ends_before_the_empty_line("data: a\r\n", 0, true);
    ends_inside_a_comment(": pi", 0, true);
    /// Guards against comments that are taken for events.
    comments(": ping\n\n: ping\n", 0, false);
    empty_lines("\n\r\n\ndata: a\n\n\n", 1, false);
}

/// Guards against a carriage return and its line feed that are taken for two line ends when they
/// arrive apart.
#[test]
fn divided_line_end_ends_no_event() {
    let (parts, events, inside) = split(b"data: a\r\ndata: b\r\n\r\n", 1);
    assert_eq!((events, inside), (1, false));
    assert_eq!(parts, [b"data: a\r\ndata: b\r\n\r".to_vec()]);
}
