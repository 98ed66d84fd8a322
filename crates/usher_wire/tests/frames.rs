//! Frames that are too long, truncated or modified cause an error, never a panic or a large buffer.

use bytes::BytesMut;
use proptest::prelude::{any, proptest, ProptestConfig};
use tokio_util::codec::{Decoder as _, Encoder as _};
use usher_wire::{message, EnvelopeCodec, MAX_FRAME_BYTES};

fn encoded() -> BytesMut {
    let mut buffer = BytesMut::new();
    let body = message::envelope::Body::FinishRequest(message::FinishRequest {
        finish: Some(message::FinishClaim {
            key: "key".to_owned(),
            answer: Some(message::RecordedAnswer {
                body: vec![7; 64],
                ..Default::default()
            }),
            ..Default::default()
        }),
    });
    let envelope = message::Envelope {
        call: 9,
        body: Some(body),
    };
    EnvelopeCodec::new().encode(envelope, &mut buffer).unwrap();
    buffer
}

/// Guards against allocating memory for a bogus length from a peer.
#[test]
fn too_long_frame_is_rejected_by_its_length() {
    let length = u32::try_from(MAX_FRAME_BYTES + 1).unwrap();
    let mut buffer = BytesMut::from(&length.to_be_bytes()[..]);
    assert!(EnvelopeCodec::new().decode(&mut buffer).is_err());
    assert!(buffer.capacity() < MAX_FRAME_BYTES);
}

/// Guards against decoding a truncated frame as a complete one.
#[test]
fn truncated_frame_waits_for_the_rest() {
    let complete = encoded();
    for cut in 0..complete.len() {
        let mut buffer = BytesMut::from(&complete[..cut]);
        assert!(matches!(EnvelopeCodec::new().decode(&mut buffer), Ok(None)));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a panic in the decoder on arbitrary bytes.
    #[test]
    fn random_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let mut buffer = BytesMut::from(&bytes[..]);
        let _ = EnvelopeCodec::new().decode(&mut buffer);
    }

    /// Guards against a panic in the decoder on a modified message.
    #[test]
    fn mutated_frames_never_panic(position in 4_usize..80, value in any::<u8>()) {
        let mut buffer = encoded();
        let position = position.min(buffer.len() - 1);
        buffer[position] = value;
        let _ = EnvelopeCodec::new().decode(&mut buffer);
    }
}
