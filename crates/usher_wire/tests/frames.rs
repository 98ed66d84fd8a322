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

/// Makes an envelope with a document of many routes, of which one has another timeout.
fn document(version: usize, routes: usize) -> message::Envelope {
    let route = |number: usize| {
        let timeout = if number == version { 9_999 } else { 4_000 };
        format!(
            "{{\"name\":\"r-{number}\",\"pathPrefix\":\"/{number}/\",\"timeoutMs\":{timeout}}},"
        )
    };
    let text: String = (0..routes).map(route).collect();
    let reply = message::RoutesReply {
        version: version as u64,
        document: format!("{{\"version\":{version},\"routes\":[{text}]}}").into_bytes(),
        changes: None,
    };
    message::Envelope {
        call: version as u64,
        body: Some(message::envelope::Body::RoutesReply(reply)),
    }
}

fn encode(codec: &mut EnvelopeCodec, envelope: &message::Envelope) -> BytesMut {
    let mut buffer = BytesMut::new();
    codec.encode(envelope.clone(), &mut buffer).unwrap();
    buffer
}

/// Guards against a change of one route that sends the whole document to each control node.
#[test]
fn large_frame_is_sent_by_its_difference_from_the_last_one() {
    let mut sender = EnvelopeCodec::new().with_deltas(true);
    let mut receiver = EnvelopeCodec::new();
    for version in 1..20 {
        let envelope = document(version, 4_000);
        let mut frame = encode(&mut sender, &envelope);
        if version == 1 {
            assert!(frame.len() > 200_000, "{} bytes", frame.len());
        } else {
            assert!(frame.len() < 1_000, "{} bytes", frame.len());
        }
        assert_eq!(receiver.decode(&mut frame).unwrap(), Some(envelope));
        let small = document(version, 2);
        let mut frame = encode(&mut sender, &small);
        assert_eq!(receiver.decode(&mut frame).unwrap(), Some(small));
    }
}

/// Guards against a peer of the version before that gets frames it can't decode.
#[test]
fn peer_without_deltas_gets_whole_frames() {
    let mut sender = EnvelopeCodec::new();
    for version in 1..4 {
        assert!(encode(&mut sender, &document(version, 4_000)).len() > 200_000);
    }
}

/// Guards against a difference that is applied to another frame than its own, and against one that
/// allocates more than a frame may have.
#[test]
fn difference_that_does_not_fit_is_refused() {
    let mut sender = EnvelopeCodec::new().with_deltas(true);
    encode(&mut sender, &document(1, 4_000));
    let frame = encode(&mut sender, &document(2, 4_000));
    assert!(EnvelopeCodec::new().decode(&mut frame.clone()).is_err());
    let mut receiver = EnvelopeCodec::new();
    let mut other = encode(&mut EnvelopeCodec::new(), &document(3, 5_000));
    receiver.decode(&mut other).unwrap();
    assert!(receiver.decode(&mut frame.clone()).is_err());
    for position in 4..frame.len() {
        let mut receiver = EnvelopeCodec::new();
        let mut first = encode(&mut EnvelopeCodec::new(), &document(1, 4_000));
        receiver.decode(&mut first).unwrap();
        let mut changed = frame.clone();
        changed[position] ^= 0x55;
        if let Ok(Some(envelope)) = receiver.decode(&mut changed) {
            let is_own = envelope == document(2, 4_000);
            let is_whole = !matches!(
                &envelope.body,
                Some(message::envelope::Body::RoutesReply(_))
            );
            assert!(is_own || is_whole, "byte {position}");
        }
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
