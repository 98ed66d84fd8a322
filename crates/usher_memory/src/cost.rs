//! What the phases of a connection make a process hold. Not for: who may hold it.
//!
//! These are the only figures of the account that aren't counted from real buffers. A test compares
//! them with the resident memory of a process.

/// The task and the socket of a connection that has sent nothing.
const SILENT_BYTES: usize = 3 * 1_024;

/// State and buffers of a connection from its first byte: the state of the HTTP library and of a
/// call, the first step of its read buffer, and its write buffer.
const CONNECTION_BYTES: usize = 24 * 1_024;

/// An entry of a table of headers, with its share of the index and the allocation of its name.
const HEADER_BYTES: usize = 208;

/// A part of a prompt, in the list of the call and in that of the parts it shares.
const PART_BYTES: usize = 24;

/// A connection to a target: state, read buffer and write buffer.
const TARGET_BYTES: usize = 32 * 1_024;

/// Chunks of a stream on the way from its target to a caller who reads slowly.
const STREAM_BYTES: usize = 80 * 1_024;

/// Reading an answer whole before it is passed on, beside its own buffer.
const PLAIN_READ_BYTES: usize = 40 * 1_024;

/// What the read buffer of a connection grows by, and keeps, when it has received a long request.
const GROWN_BYTES: usize = 24 * 1_024;

/// Memory of values of a JSON text beside the text itself: an object with fields is a node of a tree
/// with room for several of them.
const JSON_OBJECT_BYTES: usize = 704;
const JSON_VALUE_BYTES: usize = 72;

usher_types::value_type! {
    /// The size of a head, as far as it has arrived.
    #[derive(Copy, Default)]
    pub struct HeadShape {
        /// Bytes of its lines.
        pub bytes: usize,
        /// Number of its lines that may be headers.
        pub headers: usize,
    }
}

impl HeadShape {
    /// Returns the memory of a table of the headers; tables grow to powers of two.
    const fn table(self) -> usize {
        self.headers.next_power_of_two() * HEADER_BYTES
    }
}

/// The costs of the phases of a connection, in bytes.
///
/// ```
/// use usher_memory::{HeadShape, PhaseCost};
/// let shape = HeadShape { bytes: 16_384, headers: 90 };
/// assert!(PhaseCost::head(shape, false) > PhaseCost::idle() + shape.bytes);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct PhaseCost;

impl PhaseCost {
    /// Bytes of a head that are read at a time; the cost of a connection includes their buffer.
    pub const HEAD_STEP: usize = 8 * 1_024;

    /// Bytes of an answer that is as small as most are; the costs include such a one.
    pub const SMALL_ANSWER: usize = 8 * 1_024;

    /// Returns the cost of a connection that has sent nothing.
    pub const fn silent() -> usize {
        SILENT_BYTES
    }

    /// Returns the cost of a connection without a request.
    pub const fn idle() -> usize {
        SILENT_BYTES + CONNECTION_BYTES
    }

    /// Returns the cost of a connection without a request that has received a long one before.
    pub const fn idle_after_long() -> usize {
        Self::idle() + GROWN_BYTES
    }

    /// Returns the cost of a connection with a head, from its bytes to the end of its call.
    ///
    /// Beyond the first step, the buffer of a head grows to twice its bytes, and the next bytes go to
    /// another one; `is_grown` says that an earlier request has made it grow. Values such as the id of
    /// a call are copied for its log.
    pub const fn head(shape: HeadShape, is_grown: bool) -> usize {
        let more = 3 * shape.bytes.saturating_sub(Self::HEAD_STEP);
        let buffers = if is_grown && more < GROWN_BYTES {
            GROWN_BYTES
        } else {
            more
        };
        Self::idle() + shape.table() + 2 * shape.bytes + buffers
    }

    /// Returns the cost of a list of parts of a prompt.
    pub const fn prompt_parts(parts: usize) -> usize {
        parts * PART_BYTES
    }

    /// Returns the cost of running a call with such a head at a target, without its answer: the
    /// connection to the target, and a copy of the head as a table and as text.
    pub const fn run(shape: HeadShape) -> usize {
        TARGET_BYTES + shape.table() + 2 * shape.bytes
    }

    /// Returns the cost of an answer that is read whole into a buffer of so many bytes.
    pub const fn plain_answer(bytes: usize) -> usize {
        let is_small = bytes < Self::SMALL_ANSWER;
        PLAIN_READ_BYTES + if is_small { Self::SMALL_ANSWER } else { bytes }
    }

    /// Returns the cost of an answer that is passed on while it arrives.
    pub const fn stream() -> usize {
        STREAM_BYTES
    }

    /// Returns the cost of a call that is parsed from a JSON text, beside the text itself: its parsed
    /// form and a copy of that, the text of its prompt, and the text that is sent.
    pub fn parsed_call(text: &[u8]) -> usize {
        2 * Self::json(text) + 2 * text.len()
    }

    /// Returns the cost of the parsed form of a JSON text.
    fn json(text: &[u8]) -> usize {
        let mut values = 0;
        let (mut is_text, mut is_empty_object) = (false, false);
        let mut bytes = text.iter();
        while let Some(byte) = bytes.next() {
            match byte {
                b'"' => is_text = !is_text,
                b'\\' if is_text => {
                    bytes.next();
                }
                _ if is_text => {}
                b'{' => is_empty_object = true,
                b':' if std::mem::take(&mut is_empty_object) => values += JSON_OBJECT_BYTES,
                b'[' | b',' => values += JSON_VALUE_BYTES,
                _ => {}
            }
        }
        text.len() + values
    }
}
