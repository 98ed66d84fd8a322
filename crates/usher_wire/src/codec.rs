//! Codec between envelopes and length-delimited frames. Not for: connections.

use prost::Message as _;
use tokio_util::codec;

use crate::{error, message};

/// Maximum length of a frame, in bytes. A greater length closes the connection before memory is
/// allocated.
pub const MAX_FRAME_BYTES: usize = 4 * 1_024 * 1_024;

/// Decodes and encodes one [`message::Envelope`] per frame.
#[derive(Debug)]
pub struct EnvelopeCodec {
    frames: codec::LengthDelimitedCodec,
}

impl EnvelopeCodec {
    /// Creates a codec with the frame limit of the protocol.
    pub fn new() -> Self {
        Self {
            frames: codec::LengthDelimitedCodec::builder()
                .max_frame_length(MAX_FRAME_BYTES)
                .new_codec(),
        }
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
        Ok(Some(message::Envelope::decode(frame)?))
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
        Ok(self.frames.encode(frame, buffer)?)
    }
}
