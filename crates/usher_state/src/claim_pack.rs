//! Claims in the packed form of a snapshot. Not for: deciding about claims.

/// Bytes of one packed claim: key, fingerprint, holder, status, whether it has a time, time, due.
const CLAIM_BYTES: usize = 16 + 16 + 16 + 1 + 1 + 8 + 8;

/// One claim without its answer. A snapshot holds all claims of a day, so they are packed in
/// records of fixed length instead of one message each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PackedClaim {
    pub(crate) key: [u8; 16],
    pub(crate) fingerprint: [u8; 16],
    pub(crate) holder: [u8; 16],
    pub(crate) status: u8,
    pub(crate) time_ms: Option<u64>,
    pub(crate) due_ms: u64,
}

/// Packs claims one after the other.
pub(crate) fn pack_claims(claims: impl ExactSizeIterator<Item = PackedClaim>) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(claims.len() * CLAIM_BYTES);
    for claim in claims {
        bytes.extend_from_slice(&claim.key);
        bytes.extend_from_slice(&claim.fingerprint);
        bytes.extend_from_slice(&claim.holder);
        bytes.push(claim.status);
        bytes.push(u8::from(claim.time_ms.is_some()));
        bytes.extend_from_slice(&claim.time_ms.unwrap_or(0).to_be_bytes());
        bytes.extend_from_slice(&claim.due_ms.to_be_bytes());
    }
    bytes
}

/// Reads packed claims.
pub(crate) fn unpack_claims(bytes: &[u8]) -> Result<Vec<PackedClaim>, String> {
    if !bytes.len().is_multiple_of(CLAIM_BYTES) {
        return Err(format!("{} bytes hold no whole claims", bytes.len()));
    }
    bytes.chunks_exact(CLAIM_BYTES).map(unpack_claim).collect()
}

fn unpack_claim(bytes: &[u8]) -> Result<PackedClaim, String> {
    let mut rest = bytes;
    let key = take(&mut rest)?;
    let fingerprint = take(&mut rest)?;
    let holder = take(&mut rest)?;
    let [status, has_time] = take(&mut rest)?;
    let time_ms = u64::from_be_bytes(take(&mut rest)?);
    let due_ms = u64::from_be_bytes(take(&mut rest)?);
    if has_time > 1 {
        return Err(format!("{has_time} is no flag"));
    }
    Ok(PackedClaim {
        key,
        fingerprint,
        holder,
        status,
        time_ms: (has_time == 1).then_some(time_ms),
        due_ms,
    })
}

fn take<const N: usize>(bytes: &mut &[u8]) -> Result<[u8; N], String> {
    let (first, rest) = bytes.split_first_chunk().ok_or("a claim is too short")?;
    *bytes = rest;
    Ok(*first)
}

/// Packs digests one after the other.
pub(crate) fn pack_digests<'a>(digests: impl Iterator<Item = &'a [u8; 16]>) -> Vec<u8> {
    digests.flatten().copied().collect()
}

/// Reads packed digests.
pub(crate) fn unpack_digests<C>(bytes: &[u8]) -> Result<C, String>
where
    C: FromIterator<[u8; 16]>,
{
    let (digests, rest) = bytes.as_chunks::<16>();
    if rest.is_empty() {
        Ok(digests.iter().copied().collect())
    } else {
        Err(format!("{} bytes hold no whole digests", bytes.len()))
    }
}
