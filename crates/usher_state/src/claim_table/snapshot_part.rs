//! Conversion between the claim table and its part of a snapshot. Not for: deciding about claims.

use crate::{claim_table, packed_claim, snapshot};

impl claim_table::ClaimTable {
    /// Returns the part of a snapshot that holds the table.
    pub(crate) fn save(&self) -> snapshot::ClaimPart {
        let claims = self
            .claims
            .iter()
            .map(|(key, record)| packed_claim::PackedClaim {
                key: *key,
                fingerprint: record.fingerprint,
                holder: record.holder,
                status: record.status as u8,
                time_ms: record.time_ms,
                expires_ms: record.expires_ms,
                answer: record
                    .answer
                    .as_deref()
                    .map(packed_claim::PackedAnswer::new),
            });
        let running =
            self.running
                .iter()
                .map(|((entry, incarnation), keys)| snapshot::RunningPart {
                    entry: entry.clone(),
                    incarnation: *incarnation,
                    keys: packed_claim::pack_digests(keys.iter()),
                });
        snapshot::ClaimPart {
            claims: packed_claim::pack_claims(claims, self.answer_bytes),
            closed: packed_claim::pack_digests(self.closed.iter()),
            closed_total: self.closed_total,
            forgotten_ms: self.forgotten_ms,
            running: running.collect(),
            answer_order: packed_claim::pack_digests(self.answer_order.iter()),
        }
    }

    /// Restores the table from its part of a snapshot.
    pub(crate) fn load(part: snapshot::ClaimPart) -> Result<Self, String> {
        let mut table = Self {
            closed_total: part.closed_total,
            forgotten_ms: part.forgotten_ms,
            closed: packed_claim::unpack_digests(&part.closed)?,
            answer_order: packed_claim::unpack_digests(&part.answer_order)?,
            ..Self::default()
        };
        for claim in packed_claim::unpack_claims(&part.claims)? {
            let answer = claim.answer.map(packed_claim::PackedAnswer::to_message);
            let answer = answer.transpose()?;
            table.answer_bytes += answer.as_ref().map_or(0, |answer| answer.body.len());
            let record = claim_table::ClaimRecord {
                time_ms: claim.time_ms,
                fingerprint: claim.fingerprint,
                holder: claim.holder,
                status: read_status(claim.status)?,
                expires_ms: claim.expires_ms,
                answer: answer.map(Box::new),
            };
            if record.status != claim_table::ClaimStatus::Running {
                table.expiry_queue.insert((record.expires_ms, claim.key));
            }
            table.claims.insert(claim.key, record);
        }
        for running in part.running {
            let entry = (running.entry, running.incarnation);
            let keys = packed_claim::unpack_digests(&running.keys)?;
            table.running.insert(entry, keys);
        }
        Ok(table)
    }
}

fn read_status(number: u8) -> Result<claim_table::ClaimStatus, String> {
    let all = [
        claim_table::ClaimStatus::Running,
        claim_table::ClaimStatus::Finished,
        claim_table::ClaimStatus::Unknown,
        claim_table::ClaimStatus::Released,
    ];
    all.into_iter()
        .find(|status| *status as u8 == number)
        .ok_or_else(|| format!("claim has unknown status {number}"))
}
