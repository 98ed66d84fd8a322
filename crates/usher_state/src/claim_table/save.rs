//! The claim table as part of a snapshot. Not for: deciding on claims.

use crate::{claim_pack, claim_table, snapshot};

impl claim_table::ClaimTable {
    /// Returns the table as part of a snapshot.
    pub(crate) fn save(&self) -> snapshot::ClaimPart {
        let claims = self
            .claims
            .iter()
            .map(|(key, record)| claim_pack::PackedClaim {
                key: *key,
                fingerprint: record.fingerprint,
                holder: record.holder,
                status: record.status as u8,
                time_ms: record.time_ms,
                due_ms: record.due_ms,
                answer: record.answer.as_deref().map(claim_pack::PackedAnswer::new),
            });
        let running =
            self.running
                .iter()
                .map(|((entry, incarnation), keys)| snapshot::RunningPart {
                    entry: entry.clone(),
                    incarnation: *incarnation,
                    keys: claim_pack::pack_digests(keys.iter()),
                });
        snapshot::ClaimPart {
            claims: claim_pack::pack_claims(claims, self.answer_bytes),
            closed: claim_pack::pack_digests(self.closed.iter()),
            closed_total: self.closed_total,
            forgotten_ms: self.forgotten_ms,
            running: running.collect(),
            answer_order: claim_pack::pack_digests(self.answer_order.iter()),
        }
    }

    /// Reads the table from its part of a snapshot.
    pub(crate) fn load(part: snapshot::ClaimPart) -> Result<Self, String> {
        let mut table = Self {
            closed_total: part.closed_total,
            forgotten_ms: part.forgotten_ms,
            closed: claim_pack::unpack_digests(&part.closed)?,
            answer_order: claim_pack::unpack_digests(&part.answer_order)?,
            ..Self::default()
        };
        for claim in claim_pack::unpack_claims(&part.claims)? {
            let answer = claim.answer.map(claim_pack::PackedAnswer::to_message);
            let answer = answer.transpose()?;
            table.answer_bytes += answer.as_ref().map_or(0, |answer| answer.body.len());
            let record = claim_table::ClaimRecord {
                time_ms: claim.time_ms,
                fingerprint: claim.fingerprint,
                holder: claim.holder,
                status: read_status(claim.status)?,
                due_ms: claim.due_ms,
                answer: answer.map(Box::new),
            };
            if record.status != claim_table::ClaimStatus::Running {
                table.due.insert((record.due_ms, claim.key));
            }
            table.claims.insert(claim.key, record);
        }
        for running in part.running {
            let life = (running.entry, running.incarnation);
            let keys = claim_pack::unpack_digests(&running.keys)?;
            table.running.insert(life, keys);
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
        .ok_or_else(|| format!("{number} is no status of a claim"))
}
