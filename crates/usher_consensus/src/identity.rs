//! Identity of a node: its name and incarnation. Not for: its address.

use std::fmt;

use usher_wire::message;

/// Identifies one incarnation of a node. A node that lost its disk returns under a new
/// incarnation.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct NodeId {
    /// Name from the settings.
    pub name: usher_types::NodeName,
    /// Incarnation number stored in the data folder.
    pub incarnation: usher_types::IncarnationId,
}

impl NodeId {
    /// Creates an identity.
    ///
    /// ```
    /// use usher_consensus::NodeId;
    /// assert_eq!(NodeId::new("c1", 7).to_string(), "c1#7");
    /// ```
    pub fn new(name: &str, incarnation: u64) -> Self {
        Self {
            name: usher_types::NodeName::new(name),
            incarnation: usher_types::IncarnationId::new(incarnation),
        }
    }

    /// Converts from the wire message; a missing identity becomes the empty identity.
    pub fn from_message(identity: Option<&message::NodeIdentity>) -> Self {
        identity.map_or_else(Self::default, |identity| {
            Self::new(&identity.name, identity.incarnation)
        })
    }

    /// Converts to the wire message.
    pub fn to_message(&self) -> message::NodeIdentity {
        message::NodeIdentity {
            name: self.name.to_string(),
            incarnation: self.incarnation.get(),
        }
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}
