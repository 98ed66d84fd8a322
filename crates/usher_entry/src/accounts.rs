//! Maps bearer tokens to teams, and teams to firms.
//!
//! Not for: weights and usage, which the policies hold.

use std::collections;

/// The accounts of callers known to an entry.
///
/// ```
/// use usher_entry::AccountDirectory;
/// let directory = AccountDirectory::new()
///     .with_team("dispatch", "apple-isle")
///     .with_token("example-token", "dispatch");
/// assert_eq!(directory.team_of("example-token").unwrap().as_str(), "dispatch");
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AccountDirectory {
    tokens: collections::BTreeMap<String, usher_types::TeamName>,
    firms: collections::BTreeMap<usher_types::TeamName, usher_types::FirmName>,
}

impl AccountDirectory {
    /// Creates a directory without accounts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a team and its firm.
    #[must_use]
    pub fn with_team(mut self, team: &str, firm: &str) -> Self {
        let team = usher_types::TeamName::new(team);
        self.firms.insert(team, usher_types::FirmName::new(firm));
        self
    }

    /// Adds a bearer token for a team.
    #[must_use]
    pub fn with_token(mut self, token: &str, team: &str) -> Self {
        let team = usher_types::TeamName::new(team);
        self.tokens.insert(token.to_owned(), team);
        self
    }

    /// Returns the team of a bearer token.
    pub fn team_of(&self, token: &str) -> Option<&usher_types::TeamName> {
        self.tokens.get(token)
    }

    /// Returns the firm of a team.
    pub fn firm_of(&self, team: &usher_types::TeamName) -> Option<&usher_types::FirmName> {
        self.firms.get(team)
    }
}
