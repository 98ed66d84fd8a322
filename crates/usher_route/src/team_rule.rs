//! The rules of a team. Not for: the look-up of a team by its key.

use std::collections;

use prost::Message as _;
use usher_wire::message;

use crate::{error, key_digest};

usher_types::value_type! {
    /// A team of callers, its keys and the rank of its calls.
    pub struct TeamRule {
        /// Name of the team.
        pub name: usher_types::TeamName,
        /// Digests of its keys.
        pub keys: Vec<key_digest::KeyDigest>,
        /// Rank of the team's calls, before that of their routes; 0 is the most urgent.
        pub rank: Option<u8>,
    }
}

impl TeamRule {
    /// Indexes teams by name. Entries with the same name are one team with the keys of all, and the
    /// first stated rank.
    pub(crate) fn by_name(teams: Vec<Self>) -> collections::BTreeMap<usher_types::TeamName, Self> {
        let mut by_name = collections::BTreeMap::<_, Self>::new();
        for team in teams {
            match by_name.entry(team.name.clone()) {
                collections::btree_map::Entry::Vacant(entry) => {
                    entry.insert(team);
                }
                collections::btree_map::Entry::Occupied(mut entry) => {
                    let known = entry.get_mut();
                    known.keys.extend(team.keys);
                    known.rank = known.rank.or(team.rank);
                }
            }
        }
        by_name
    }

    /// Converts the rule to a message.
    pub(crate) fn to_message(&self) -> message::TeamRecord {
        message::TeamRecord {
            name: self.name.to_string(),
            key_digests: self.keys.iter().map(|key| key.to_bytes()).collect(),
            rank: self.rank.map(u32::from),
        }
    }

    /// Reads a rule from a message.
    ///
    /// # Errors
    ///
    /// Fails when a digest has the wrong length or the rank is out of range.
    pub(crate) fn from_message(record: &message::TeamRecord) -> Result<Self, error::RecordError> {
        let name = usher_types::TeamName::new(record.name.as_str());
        let keys = record
            .key_digests
            .iter()
            .map(|bytes| key_digest::KeyDigest::from_bytes(bytes));
        let keys: Option<Vec<_>> = keys.collect();
        let keys = keys.ok_or_else(|| error::RecordError::KeyDigest { team: name.clone() })?;
        let rank = record.rank.map(u8::try_from).transpose();
        let rank = rank.map_err(|_| error::RecordError::Rank { team: name.clone() })?;
        Ok(Self { name, keys, rank })
    }

    /// Returns the checksum of the rule's message.
    pub(crate) fn checksum(&self) -> u64 {
        crc32fast::hash(&self.to_message().encode_to_vec()).into()
    }
}
