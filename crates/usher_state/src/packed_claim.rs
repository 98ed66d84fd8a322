//! The packed binary encoding of claims in a snapshot. Not for: deciding about claims.

use usher_wire::message;

/// The size of a packed claim without its answer: key, fingerprint, holder, status, flags,
/// timestamp, expiry time.
const CLAIM_BYTES: usize = 16 + 16 + 16 + 1 + 1 + 8 + 8;

/// The flag of a claim whose key has a timestamp.
const HAS_TIME: u8 = 1;
/// The flag of a claim with a recorded answer.
const HAS_ANSWER: u8 = 2;
/// The flag of a claim whose answer was truncated.
const IS_TRUNCATED: u8 = 4;

/// One claim of a snapshot.
///
/// A snapshot holds all claims of a day, and the replica pauses while it is created. Packing the
/// claims is faster than encoding each one as a message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PackedClaim<'a> {
    pub(crate) key: [u8; 16],
    pub(crate) fingerprint: [u8; 16],
    pub(crate) holder: [u8; 16],
    pub(crate) status: u8,
    pub(crate) time_ms: Option<u64>,
    pub(crate) expires_ms: u64,
    pub(crate) answer: Option<PackedAnswer<'a>>,
}

/// The recorded answer of a packed claim.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PackedAnswer<'a> {
    status: u32,
    truncated: bool,
    content_type: &'a [u8],
    body: &'a [u8],
}

impl<'a> PackedAnswer<'a> {
    pub(crate) fn new(answer: &'a message::RecordedAnswer) -> Self {
        Self {
            status: answer.status,
            truncated: answer.truncated,
            content_type: answer.content_type.as_bytes(),
            body: &answer.body,
        }
    }

    pub(crate) fn to_message(self) -> Result<message::RecordedAnswer, String> {
        Ok(message::RecordedAnswer {
            status: self.status,
            content_type: String::from_utf8(self.content_type.to_vec())
                .map_err(|error| error.to_string())?,
            body: self.body.to_vec(),
            truncated: self.truncated,
        })
    }
}

/// Packs claims one after the other; `answer_bytes` is the total length of the answer bodies.
pub(crate) fn pack_claims<'a>(
    claims: impl ExactSizeIterator<Item = PackedClaim<'a>>,
    answer_bytes: usize,
) -> Vec<u8> {
    // The status, the lengths and a typical content type of an answer take about 32 bytes.
    let mut bytes = Vec::with_capacity(claims.len() * (CLAIM_BYTES + 32) + answer_bytes);
    for claim in claims {
        let answer = claim.answer;
        let flags = [
            (HAS_TIME, claim.time_ms.is_some()),
            (HAS_ANSWER, answer.is_some()),
            (IS_TRUNCATED, answer.is_some_and(|answer| answer.truncated)),
        ];
        let flags = flags.iter().filter(|(_, set)| *set);
        bytes.extend_from_slice(&claim.key);
        bytes.extend_from_slice(&claim.fingerprint);
        bytes.extend_from_slice(&claim.holder);
        bytes.push(claim.status);
        bytes.push(flags.fold(0, |all, (flag, _)| all | flag));
        bytes.extend_from_slice(&claim.time_ms.unwrap_or(0).to_be_bytes());
        bytes.extend_from_slice(&claim.expires_ms.to_be_bytes());
        if let Some(answer) = answer {
            bytes.extend_from_slice(&answer.status.to_be_bytes());
            for part in [answer.content_type, answer.body] {
                bytes.extend_from_slice(&(part.len() as u32).to_be_bytes());
                bytes.extend_from_slice(part);
            }
        }
    }
    bytes
}

/// Unpacks claims; fails if the bytes are truncated or a claim has unknown flags.
pub(crate) fn unpack_claims(mut bytes: &[u8]) -> Result<Vec<PackedClaim<'_>>, String> {
    let mut claims = Vec::new();
    while !bytes.is_empty() {
        claims.push(unpack_claim(&mut bytes)?);
    }
    Ok(claims)
}

fn unpack_claim<'a>(rest: &mut &'a [u8]) -> Result<PackedClaim<'a>, String> {
    let key = take(rest)?;
    let fingerprint = take(rest)?;
    let holder = take(rest)?;
    let [status, flags] = take(rest)?;
    let time_ms = u64::from_be_bytes(take(rest)?);
    let expires_ms = u64::from_be_bytes(take(rest)?);
    if flags > HAS_TIME | HAS_ANSWER | IS_TRUNCATED {
        return Err(format!("claim has unknown flags: {flags:#05b}"));
    }
    let answer = if flags & HAS_ANSWER == 0 {
        None
    } else {
        Some(PackedAnswer {
            status: u32::from_be_bytes(take(rest)?),
            truncated: flags & IS_TRUNCATED != 0,
            content_type: take_part(rest)?,
            body: take_part(rest)?,
        })
    };
    Ok(PackedClaim {
        key,
        fingerprint,
        holder,
        status,
        time_ms: (flags & HAS_TIME != 0).then_some(time_ms),
        expires_ms,
        answer,
    })
}

fn take<const N: usize>(bytes: &mut &[u8]) -> Result<[u8; N], String> {
    let (first, rest) = bytes.split_first_chunk().ok_or("claim is truncated")?;
    *bytes = rest;
    Ok(*first)
}

fn take_part<'a>(bytes: &mut &'a [u8]) -> Result<&'a [u8], String> {
    let length = u32::from_be_bytes(take(bytes)?) as usize;
    let (part, rest) = bytes
        .split_at_checked(length)
        .ok_or("recorded answer is truncated")?;
    *bytes = rest;
    Ok(part)
}

/// Packs digests one after the other.
pub(crate) fn pack_digests<'a>(digests: impl Iterator<Item = &'a [u8; 16]>) -> Vec<u8> {
    digests.flatten().copied().collect()
}

/// Unpacks digests.
pub(crate) fn unpack_digests<C>(bytes: &[u8]) -> Result<C, String>
where
    C: FromIterator<[u8; 16]>,
{
    let (digests, rest) = bytes.as_chunks::<16>();
    if rest.is_empty() {
        Ok(digests.iter().copied().collect())
    } else {
        Err(format!(
            "length of packed digests is {} bytes, which is not a multiple of 16",
            bytes.len()
        ))
    }
}
