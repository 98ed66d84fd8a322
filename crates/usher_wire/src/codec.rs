//! Codec between envelopes and length-delimited frames. Not for: connections.

use prost::Message as _;
use tokio_util::codec;

use crate::{delta, error, message};

/// Maximum length of a frame, in bytes. A greater length closes the connection before memory is
/// allocated.
pub const MAX_FRAME_BYTES: usize = 4 * 1_024 * 1_024;

/// Decodes and encodes one [`message::Envelope`] per frame.
///
/// A large envelope that resembles the large one before it takes only a small frame, if the peer can
/// decode that: consecutive configurations differ little, and are sent to each control node.
#[derive(Debug)]
pub struct EnvelopeCodec {
    frames: codec::LengthDelimitedCodec,
    sends_deltas: bool,
    sent: delta::DeltaBase,
    received: delta::DeltaBase,
}

impl EnvelopeCodec {
    /// Creates a codec with the frame limit of the protocol.
    pub fn new() -> Self {
        Self {
            frames: codec::LengthDelimitedCodec::builder()
                .max_frame_length(MAX_FRAME_BYTES)
                .new_codec(),
            sends_deltas: false,
            sent: delta::DeltaBase::default(),
            received: delta::DeltaBase::default(),
        }
    }

    /// Sets whether large envelopes are sent as differences, which the peer must be able to decode.
    #[must_use]
    pub fn with_deltas(mut self, sends_deltas: bool) -> Self {
        self.sends_deltas = sends_deltas;
        self
    }
}

impl Default for EnvelopeCodec {
    fn default() -> Self {
        Self::new()
    }
}

impl codec::Decoder for EnvelopeCodec {
    type Item = message::Envelope;
    type Error = error::WireError;

    fn decode(
        &mut self,
        buffer: &mut bytes::BytesMut,
    ) -> Result<Option<Self::Item>, error::WireError> {
        let Some(frame) = self.frames.decode(buffer)? else {
            return Ok(None);
        };
        let frame = frame.freeze();
        let envelope = message::Envelope::decode(frame.clone())?;
        if let Some(message::envelope::Body::FrameDelta(difference)) = &envelope.body {
            let frame = self.received.decode(&difference.compressed)?;
            return Ok(Some(message::Envelope::decode(frame)?));
        }
        self.received.record(&frame);
        Ok(Some(envelope))
    }
}

impl codec::Encoder<message::Envelope> for EnvelopeCodec {
    type Error = error::WireError;

    fn encode(
        &mut self,
        envelope: message::Envelope,
        buffer: &mut bytes::BytesMut,
    ) -> Result<(), error::WireError> {
        let frame = bytes::Bytes::from(envelope.encode_to_vec());
        if let Some(compressed) = self.difference(&frame) {
            let body = message::envelope::Body::FrameDelta(message::FrameDelta { compressed });
            let envelope = message::Envelope {
                call: 0,
                body: Some(body),
            };
            let frame = bytes::Bytes::from(envelope.encode_to_vec());
            return Ok(self.frames.encode(frame, buffer)?);
        }
        Ok(self.frames.encode(frame, buffer)?)
    }
}

impl EnvelopeCodec {
    fn difference(&mut self, frame: &bytes::Bytes) -> Option<Vec<u8>> {
        // A frame over the limit is refused before it becomes the base of the next one.
        let may_send = self.sends_deltas && frame.len() <= MAX_FRAME_BYTES;
        may_send.then(|| self.sent.encode(frame)).flatten()
    }
}
