//! The registry of targets. Not for: their load, which only the daemons hold, in memory.

use std::collections;

use usher_wire::message;

use crate::{mechanism, snapshot, violation_log};

/// The maximum number of targets in the registry, including those that are gone. When it is full,
/// a new target replaces one that is gone, and is refused if there is none.
pub const MAX_TARGETS: usize = 10_000;

/// The maximum number of replaced incarnations that are kept per target.
const MAX_RETIRED: usize = 64;

/// A registered target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSlot {
    /// The newest record; its `leaving` flag is never cleared for the same incarnation.
    pub record: message::TargetRecord,
    /// Whether the target has been marked as gone, because no process has reported it for
    /// some time.
    pub gone: bool,
    /// The operator who marked this incarnation as leaving; empty if the target announced it.
    pub leaving_by: String,
    /// The version of the registry at the newest change of this target.
    pub changed_at: u64,
    /// The incarnations that were replaced, oldest first.
    pub retired: Vec<u64>,
}

/// All registered targets, with a version that increases with each change.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    version: u64,
    /// The oldest version from which [`Self::changed_since`] can return all changes: the newest
    /// `changed_at` among the targets that were removed.
    oldest_delta: u64,
    slots: collections::BTreeMap<String, TargetSlot>,
    pub(crate) violations: violation_log::ViolationLog,
}

impl TargetTable {
    /// Returns the version of the registry.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns a target by name, even if it is gone.
    pub fn find(&self, name: &str) -> Option<&TargetSlot> {
        self.slots.get(name)
    }

    /// Returns the targets that are not gone.
    pub fn present(&self) -> impl Iterator<Item = &message::TargetRecord> {
        self.slots
            .values()
            .filter(|slot| !slot.gone)
            .map(|slot| &slot.record)
    }

    /// Returns all targets, including those that are gone.
    pub fn iter(&self) -> impl Iterator<Item = &TargetSlot> {
        self.slots.values()
    }

    /// Returns the targets that changed after a version of the registry, including those that are
    /// gone.
    ///
    /// Returns `None` if the full registry must be sent instead of the changes, because the
    /// changes after that version include a target that has since been removed, or the version
    /// is 0.
    pub fn changed_since(&self, version: u64) -> Option<impl Iterator<Item = &TargetSlot>> {
        let slots = self.slots.values();
        (version > 0 && version >= self.oldest_delta)
            .then(|| slots.filter(move |slot| slot.changed_at > version))
    }

    /// Registers or updates an announced target and returns whether the registry changed.
    pub(crate) fn announce(
        &mut self,
        mut record: message::TargetRecord,
        disabled: Option<mechanism::StateMechanism>,
    ) -> Result<bool, String> {
        record
            .kind
            .parse::<usher_types::TargetKind>()
            .map_err(|error| error.to_string())?;
        record
            .name
            .parse::<usher_types::TargetName>()
            .map_err(|error| error.to_string())?;
        if record.incarnation == 0 {
            return Err("announcement has no incarnation".to_owned());
        }
        let Some(slot) = self.slots.get_mut(&record.name) else {
            return self.insert(record);
        };
        if slot.record.incarnation == record.incarnation {
            let keep_mark =
                mechanism::is_enabled(disabled, mechanism::StateMechanism::TargetLeaving);
            let was_leaving = slot.record.leaving;
            record.leaving |= keep_mark && was_leaving;
            violation_log::check!(
                self.violations,
                "target.leaving_kept",
                record.leaving || !was_leaving,
                "leaving mark of target {} was cleared without a new incarnation",
                record.name
            );
            let changed = slot.gone || slot.record != record;
            slot.record = record;
            slot.gone = false;
            if changed {
                self.version += 1;
                slot.changed_at = self.version;
            }
            return Ok(changed);
        }
        let retired = slot.retired.contains(&record.incarnation);
        if retired && mechanism::is_enabled(disabled, mechanism::StateMechanism::TargetIncarnation)
        {
            return Err(format!(
                "target {} has already replaced incarnation {}",
                record.name, record.incarnation
            ));
        }
        violation_log::check!(
            self.violations,
            "target.incarnation_not_taken_back",
            !retired,
            "target {} went back to the replaced incarnation {}",
            record.name,
            record.incarnation
        );
        if slot.retired.len() == MAX_RETIRED {
            slot.retired.remove(0);
        }
        slot.retired.push(slot.record.incarnation);
        slot.record = record;
        slot.gone = false;
        slot.leaving_by.clear();
        self.version += 1;
        slot.changed_at = self.version;
        Ok(true)
    }

    fn insert(&mut self, record: message::TargetRecord) -> Result<bool, String> {
        if self.slots.len() >= MAX_TARGETS && !self.remove_oldest_gone() {
            return Err(format!(
                "registry is full: it holds {MAX_TARGETS} targets and none of them is gone"
            ));
        }
        let slot = TargetSlot {
            record,
            gone: false,
            leaving_by: String::new(),
            changed_at: self.version + 1,
            retired: Vec::new(),
        };
        self.slots.insert(slot.record.name.clone(), slot);
        self.version += 1;
        Ok(true)
    }

    /// Removes the gone target with the oldest change and returns whether there was one.
    ///
    /// The versions of changes are unique, so all replicas remove the same target. Its leaving
    /// mark and its replaced incarnations are removed with it.
    fn remove_oldest_gone(&mut self) -> bool {
        let gone = self.slots.iter().filter(|(_, slot)| slot.gone);
        let oldest = gone.min_by_key(|(_, slot)| slot.changed_at);
        let Some((name, changed_at)) = oldest.map(|(name, slot)| (name.clone(), slot.changed_at))
        else {
            return false;
        };
        self.slots.remove(&name);
        // A reader that has this version or a later one already knows that the target is gone.
        self.oldest_delta = self.oldest_delta.max(changed_at);
        true
    }

    /// Marks a target as leaving or gone and returns whether the registry changed.
    pub(crate) fn mark(&mut self, mark: &message::TargetMark) -> Result<bool, String> {
        let slot = self
            .slots
            .get_mut(&mark.name)
            .ok_or_else(|| format!("target {:?} is not registered", mark.name))?;
        if mark.incarnation != 0 && mark.incarnation != slot.record.incarnation {
            return Err(format!(
                "target {} has incarnation {}, but the mark is for incarnation {}",
                mark.name, slot.record.incarnation, mark.incarnation
            ));
        }
        let leaving = slot.record.leaving || mark.leaving;
        let gone = slot.gone || mark.gone;
        let changed = leaving != slot.record.leaving || gone != slot.gone;
        if mark.leaving && slot.leaving_by.is_empty() {
            slot.leaving_by = mark.operator.clone();
        }
        slot.record.leaving = leaving;
        slot.gone = gone;
        if changed {
            self.version += 1;
            slot.changed_at = self.version;
        }
        Ok(changed)
    }

    /// Returns the part of a snapshot that holds the table.
    pub(crate) fn save(&self) -> snapshot::TargetPart {
        let slots = self.slots.values().map(|slot| snapshot::SlotPart {
            record: Some(slot.record.clone()),
            gone: slot.gone,
            leaving_by: slot.leaving_by.clone(),
            changed_at: slot.changed_at,
            retired: slot.retired.clone(),
        });
        snapshot::TargetPart {
            version: self.version,
            slots: slots.collect(),
            oldest_delta: self.oldest_delta,
        }
    }

    /// Restores the table from its part of a snapshot.
    pub(crate) fn load(part: snapshot::TargetPart) -> Result<Self, String> {
        let mut table = Self {
            version: part.version,
            oldest_delta: part.oldest_delta,
            ..Self::default()
        };
        for slot in part.slots {
            let record = slot.record.ok_or("target has no record")?;
            let name = record.name.clone();
            let slot = TargetSlot {
                record,
                gone: slot.gone,
                leaving_by: slot.leaving_by,
                changed_at: slot.changed_at,
                retired: slot.retired,
            };
            table.slots.insert(name, slot);
        }
        Ok(table)
    }
}
