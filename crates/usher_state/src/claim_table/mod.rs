//! The claims of non-idempotent calls. Not for: sending the calls.

mod snapshot_part;

use std::collections;

use usher_wire::message;

use crate::{claim_holder, claim_key, mechanism, violation_log};

/// The maximum size of a recorded answer body; a longer body is dropped and the answer
/// is marked as truncated.
pub const MAX_ANSWER_BYTES: usize = 64 * 1_024;

/// The maximum total size of recorded answer bodies; above it, the oldest ones are dropped and
/// marked as truncated.
pub const MAX_KEPT_ANSWER_BYTES: usize = 64 * 1_024 * 1_024;

/// The maximum number of records that one command expires, which bounds the duration of a command.
const MAX_EXPIRED_PER_COMMAND: usize = 4_096;

usher_types::value_type! {
    /// The status of a claim.
    pub enum ClaimStatus {
        /// The holder may send the call, or has already sent it.
        Running,
        /// The call was answered.
        Finished,
        /// The call may have run.
        Unknown,
        /// The holder sent nothing; the key may be claimed again.
        Released,
    }
}

/// The digest of a key.
type KeyDigest = [u8; 16];
/// The name and the incarnation of an entry.
type EntryIncarnation = (String, u64);

/// One claim. All claims of a day are kept, so a record stays small: about 100 bytes.
#[derive(Clone, Debug, PartialEq)]
struct ClaimRecord {
    time_ms: Option<u64>,
    fingerprint: [u8; 16],
    holder: [u8; 16],
    status: ClaimStatus,
    /// When the record may be removed, in ms since 1970.
    expires_ms: u64,
    answer: Option<Box<message::RecordedAnswer>>,
}

/// The claims by key.
///
/// A key has at most one holder, and a key whose call was answered or may have run is never
/// granted again.
#[derive(Clone, Debug, Default)]
pub struct ClaimTable {
    claims: collections::BTreeMap<KeyDigest, ClaimRecord>,
    /// Ended keys without a timestamp whose record has expired. They are kept forever, because
    /// nothing else shows that such a key is old.
    closed: collections::BTreeSet<KeyDigest>,
    /// The number of keys that were ever closed, to detect that one is missing from `closed`.
    closed_total: u64,
    /// The newest timestamp among the keys whose record has expired.
    forgotten_ms: u64,
    /// The keys of the running claims of each entry.
    running: collections::BTreeMap<EntryIncarnation, collections::BTreeSet<KeyDigest>>,
    /// The expiry times and keys of the ended claims; running claims don't expire.
    expiry_queue: collections::BTreeSet<(u64, KeyDigest)>,
    /// The keys of recorded answers that have a body, oldest first.
    answer_order: collections::VecDeque<KeyDigest>,
    answer_bytes: usize,
    pub(crate) violations: violation_log::ViolationLog,
}

impl ClaimTable {
    /// Returns the number of claims that have a record.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim has a record.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the number of ended keys that are kept forever.
    pub fn closed_len(&self) -> usize {
        self.closed.len()
    }

    /// Returns the status of a key, or `None` if it has no record.
    pub fn status(&self, key: &str) -> Option<ClaimStatus> {
        let digest = claim_key::ClaimKey::parse(key).digest;
        Some(self.claims.get(&digest)?.status)
    }

    /// Returns the name, the incarnation and the number of running claims of each entry that
    /// holds any.
    pub fn running_entries(&self) -> impl Iterator<Item = (&str, u64, usize)> {
        self.running
            .iter()
            .map(|((entry, incarnation), keys)| (entry.as_str(), *incarnation, keys.len()))
    }

    /// Returns whether at least one record has expired and can be removed.
    pub fn has_expired(&self, now_ms: u64) -> bool {
        self.expiry_queue
            .first()
            .is_some_and(|(expires_ms, _)| *expires_ms < now_ms)
    }

    /// Grants a claim, or returns the state of the claim that the key already has.
    ///
    /// Returns an error if the call is invalid or this request has already released its claim.
    pub(crate) fn claim(
        &mut self,
        call: &message::ClaimCall,
        now_ms: u64,
        disabled: Option<mechanism::StateMechanism>,
    ) -> Result<message::ClaimReply, String> {
        let is_enabled = |mechanism| mechanism::is_enabled(disabled, mechanism);
        let holder = claim_holder::ClaimHolder::of(call.entry.as_ref(), &call.request_id)
            .ok_or("claim has no entry or no request id")?;
        if call.key.is_empty() {
            return Err("claim has no key".to_owned());
        }
        let key = claim_key::ClaimKey::parse(&call.key);
        if key.is_too_far_ahead(now_ms) {
            return Err("timestamp of the key is more than 5 minutes in the future".to_owned());
        }
        let expired = key.is_expired(now_ms) && is_enabled(mechanism::StateMechanism::ClaimKeyAge);
        if expired || self.closed.contains(&key.digest) {
            return Ok(claim_reply(message::ClaimState::Expired, None));
        }
        let fingerprint = fingerprint_digest(&call.fingerprint);
        let known = self
            .claims
            .get(&key.digest)
            .filter(|_| is_enabled(mechanism::StateMechanism::ClaimLookup));
        let Some(record) = known else {
            self.grant(key, fingerprint, &holder, now_ms);
            return Ok(claim_reply(message::ClaimState::Claimed, None));
        };
        let by_holder = record.holder == holder.digest();
        if record.status == ClaimStatus::Released {
            // A delayed duplicate of the request would claim the key for an attempt that has ended.
            if by_holder {
                return Err("request has already released its claim".to_owned());
            }
            self.grant(key, fingerprint, &holder, now_ms);
            return Ok(claim_reply(message::ClaimState::Claimed, None));
        }
        let same = record.fingerprint == fingerprint;
        if !same && is_enabled(mechanism::StateMechanism::ClaimFingerprint) {
            return Ok(claim_reply(message::ClaimState::Mismatch, None));
        }
        let answer = record.answer.as_deref().cloned();
        violation_log::check!(
            self.violations,
            "claim.answer_of_same_call",
            same || record.status != ClaimStatus::Finished,
            "a call received the recorded answer of another call with the same key"
        );
        Ok(match record.status {
            // The reply to the same attempt was lost.
            ClaimStatus::Running if by_holder => claim_reply(message::ClaimState::Claimed, None),
            ClaimStatus::Running => claim_reply(message::ClaimState::Running, None),
            ClaimStatus::Finished => claim_reply(message::ClaimState::Finished, answer),
            ClaimStatus::Unknown | ClaimStatus::Released => {
                claim_reply(message::ClaimState::Unknown, None)
            }
        })
    }

    fn grant(
        &mut self,
        key: claim_key::ClaimKey,
        fingerprint: [u8; 16],
        holder: &claim_holder::ClaimHolder,
        now_ms: u64,
    ) {
        let before = self.claims.get(&key.digest).map(|record| record.status);
        violation_log::check!(
            self.violations,
            "claim.single_holder",
            matches!(before, None | Some(ClaimStatus::Released)),
            "a key with status {before:?} was granted to {holder}"
        );
        violation_log::check!(
            self.violations,
            "claim.forgotten_key_stays_closed",
            key.time_ms
                .is_none_or(|time_ms| time_ms > self.forgotten_ms),
            "a key with timestamp {:?} was granted to {holder}, but keys up to {} ms since 1970 expired",
            key.time_ms,
            self.forgotten_ms
        );
        self.remove_record(&key.digest);
        let record = ClaimRecord {
            time_ms: key.time_ms,
            fingerprint,
            holder: holder.digest(),
            status: ClaimStatus::Running,
            expires_ms: key.time_ms.unwrap_or(now_ms).saturating_add(retention_ms()),
            answer: None,
        };
        self.running
            .entry(holder.entry_incarnation())
            .or_default()
            .insert(key.digest);
        self.claims.insert(key.digest, record);
    }

    /// Ends a claim; repeating the same end succeeds and changes nothing.
    pub(crate) fn finish(
        &mut self,
        finish: message::FinishClaim,
        now_ms: u64,
        disabled: Option<mechanism::StateMechanism>,
    ) -> Result<(), String> {
        let holder = claim_holder::ClaimHolder::of(finish.entry.as_ref(), &finish.request_id)
            .ok_or("claim end has no entry or no request id")?;
        let parsed = claim_key::ClaimKey::parse(&finish.key);
        let key = parsed.digest;
        let Some(record) = self.claims.get(&key) else {
            return self.finish_unclaimed(parsed, &holder, finish.kind(), now_ms);
        };
        let held = record.holder == holder.digest();
        if !held && mechanism::is_enabled(disabled, mechanism::StateMechanism::ClaimHolderCheck) {
            return Err("claim is held by another attempt".to_owned());
        }
        let status = match finish.kind() {
            message::FinishKind::Answered => ClaimStatus::Finished,
            message::FinishKind::Unknown => ClaimStatus::Unknown,
            message::FinishKind::Released => ClaimStatus::Released,
            message::FinishKind::Unspecified => return Err("claim end has no kind".to_owned()),
        };
        if record.status == status {
            return Ok(());
        }
        // The holder may receive the answer after its claim was set to unknown.
        let allowed = match record.status {
            ClaimStatus::Running => true,
            ClaimStatus::Unknown => status == ClaimStatus::Finished,
            ClaimStatus::Finished | ClaimStatus::Released => false,
        };
        if !allowed {
            return Err(format!("claim has already ended as {:?}", record.status));
        }
        violation_log::check!(
            self.violations,
            "claim.ended_by_holder",
            held,
            "{holder} ended the claim of another attempt"
        );
        self.remove_running(&holder.entry_incarnation(), &key);
        self.set_status(key, status, now_ms);
        if status == ClaimStatus::Finished {
            self.record_answer(key, finish.answer.unwrap_or_default());
        }
        Ok(())
    }

    /// Handles an end that arrives before its claim.
    ///
    /// A release is recorded, so that the late claim is not granted to an attempt that has ended.
    /// Any other end is refused.
    fn finish_unclaimed(
        &mut self,
        key: claim_key::ClaimKey,
        holder: &claim_holder::ClaimHolder,
        kind: message::FinishKind,
        now_ms: u64,
    ) -> Result<(), String> {
        let closed = self.closed.contains(&key.digest) || key.is_expired(now_ms);
        if kind != message::FinishKind::Released || closed || key.is_too_far_ahead(now_ms) {
            return Err("key is not claimed".to_owned());
        }
        let record = ClaimRecord {
            time_ms: key.time_ms,
            fingerprint: [0; 16],
            holder: holder.digest(),
            status: ClaimStatus::Released,
            expires_ms: key.time_ms.unwrap_or(now_ms).saturating_add(retention_ms()),
            answer: None,
        };
        self.expiry_queue.insert((record.expires_ms, key.digest));
        self.claims.insert(key.digest, record);
        Ok(())
    }

    fn remove_running(&mut self, entry: &EntryIncarnation, key: &KeyDigest) {
        if let Some(keys) = self.running.get_mut(entry) {
            keys.remove(key);
            if keys.is_empty() {
                self.running.remove(entry);
            }
        }
    }

    fn set_status(&mut self, key: KeyDigest, status: ClaimStatus, now_ms: u64) {
        let Some(record) = self.claims.get_mut(&key) else {
            return;
        };
        self.expiry_queue.remove(&(record.expires_ms, key));
        record.status = status;
        record.expires_ms = record
            .time_ms
            .unwrap_or(now_ms)
            .saturating_add(retention_ms());
        self.expiry_queue.insert((record.expires_ms, key));
    }

    fn record_answer(&mut self, key: KeyDigest, mut answer: message::RecordedAnswer) {
        if answer.body.len() > MAX_ANSWER_BYTES {
            answer.body = Vec::new();
            answer.truncated = true;
        }
        let Some(record) = self.claims.get_mut(&key) else {
            return;
        };
        self.answer_bytes += answer.body.len();
        if !answer.body.is_empty() {
            self.answer_order.push_back(key);
        }
        record.answer = Some(Box::new(answer));
        while self.answer_bytes > MAX_KEPT_ANSWER_BYTES {
            let Some(oldest) = self.answer_order.pop_front() else {
                break;
            };
            if let Some(answer) = self.claims.get_mut(&oldest).and_then(recorded_answer) {
                self.answer_bytes -= answer.body.len();
                answer.body = Vec::new();
                answer.truncated = true;
            }
        }
    }

    /// Sets the running claims of entries that are gone to unknown, and removes expired records.
    ///
    /// Returns the number of claims that became unknown.
    pub(crate) fn expire(
        &mut self,
        gone: &[message::NodeIdentity],
        now_ms: u64,
        disabled: Option<mechanism::StateMechanism>,
    ) -> usize {
        let mut count = 0;
        for entry in gone {
            let identity = (entry.name.clone(), entry.incarnation);
            let keys = self.running.remove(&identity).unwrap_or_default();
            count += keys.len();
            for key in keys {
                self.set_status(key, ClaimStatus::Unknown, now_ms);
            }
        }
        for _ in 0..MAX_EXPIRED_PER_COMMAND {
            match self.expiry_queue.first().copied() {
                Some((expires_ms, key)) if expires_ms < now_ms => {
                    self.expiry_queue.remove(&(expires_ms, key));
                    self.expire_record(key, disabled);
                }
                _ => break,
            }
        }
        violation_log::check!(
            self.violations,
            "claim.closed_keys_kept",
            self.closed.len() as u64 == self.closed_total,
            "{} closed keys are kept, but {} keys were closed",
            self.closed.len(),
            self.closed_total
        );
        count
    }

    fn expire_record(&mut self, key: KeyDigest, disabled: Option<mechanism::StateMechanism>) {
        let Some(record) = self.remove_record(&key) else {
            return;
        };
        match record.time_ms {
            Some(time_ms) => self.forgotten_ms = self.forgotten_ms.max(time_ms),
            None if record.status == ClaimStatus::Released => {}
            None => {
                self.closed_total += 1;
                if mechanism::is_enabled(disabled, mechanism::StateMechanism::ClaimClosedKept) {
                    self.closed.insert(key);
                }
            }
        }
    }

    /// Removes a record and all references to it.
    fn remove_record(&mut self, key: &KeyDigest) -> Option<ClaimRecord> {
        let record = self.claims.remove(key)?;
        self.expiry_queue.remove(&(record.expires_ms, *key));
        let body = record.answer.as_ref().map_or(0, |answer| answer.body.len());
        if body > 0 {
            self.answer_bytes -= body;
            // Records expire roughly in the order in which their answers arrived, so the search
            // ends near the front.
            if let Some(position) = self.answer_order.iter().position(|other| other == key) {
                self.answer_order.remove(position);
            }
        }
        Some(record)
    }
}

fn retention_ms() -> u64 {
    claim_key::KEY_RETENTION.as_millis() as u64
}

fn recorded_answer(record: &mut ClaimRecord) -> Option<&mut message::RecordedAnswer> {
    record.answer.as_deref_mut()
}

fn claim_reply(
    state: message::ClaimState,
    answer: Option<message::RecordedAnswer>,
) -> message::ClaimReply {
    message::ClaimReply {
        state: state.into(),
        answer,
    }
}

fn fingerprint_digest(bytes: &[u8]) -> [u8; 16] {
    use sha2::Digest as _;
    let mut hasher = sha2::Sha256::new();
    hasher.update(bytes);
    claim_holder::truncated_digest(hasher)
}
