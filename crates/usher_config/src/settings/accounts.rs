//! Settings of caller accounts and their fair-share weights. Not for: usage accounting.

use std::collections;

use crate::settings::{reader, value};

usher_types::value_type! {
    /// The firm of a team and the team's weight within the firm.
    pub struct TeamAccount {
        /// Firm of the team.
        pub firm: usher_types::FirmName,
        /// Weight among the teams of its firm.
        pub weight: f64,
    }
}

usher_types::value_type! {
    /// Sections `accounts`, `firms`, `teams` and `tokens`. Fair shares are computed per
    /// cooperative, firm and team.
    #[derive(Default)]
    pub struct AccountSettings {
        /// Cooperative that the installation serves.
        pub cooperative: String,
        /// Weight of each firm.
        pub firms: collections::BTreeMap<usher_types::FirmName, f64>,
        /// Firm and weight of each team that the file lists.
        pub teams: collections::BTreeMap<usher_types::TeamName, TeamAccount>,
        /// Team of each bearer token.
        pub tokens: collections::BTreeMap<String, usher_types::TeamName>,
    }
}

impl AccountSettings {
    pub(crate) fn read(file: &reader::SettingsReader) -> Self {
        let firms = read_firms(file);
        let teams = read_teams(file, &firms);
        let tokens = read_tokens(file, &teams);
        let section = file.section("accounts");
        Self {
            cooperative: section.required("cooperative"),
            firms,
            teams,
            tokens,
        }
    }
}

fn read_weight(text: &str) -> Option<f64> {
    <f64 as value::SettingValue>::read(text.trim())
}

fn read_firms(file: &reader::SettingsReader) -> collections::BTreeMap<usher_types::FirmName, f64> {
    let mut firms = collections::BTreeMap::new();
    for (key, text) in file.dynamic_section("firms") {
        match (key.parse(), read_weight(text)) {
            (Ok(name), Some(weight)) => {
                firms.insert(name, weight);
            }
            _ => {
                let message = "expected FIRM = WEIGHT, a number above 0, at most 1000000";
                file.add_error("firms", key, Some(text), message);
            }
        }
    }
    firms
}

fn read_teams(
    file: &reader::SettingsReader,
    firms: &collections::BTreeMap<usher_types::FirmName, f64>,
) -> collections::BTreeMap<usher_types::TeamName, TeamAccount> {
    let mut teams = collections::BTreeMap::new();
    for (key, text) in file.dynamic_section("teams") {
        let mut words = text.split_whitespace();
        let firm: Option<usher_types::FirmName> = words.next().and_then(|word| word.parse().ok());
        let weight = words.next().map_or(Some(1.0), read_weight);
        let (Ok(name), Some(firm), Some(weight), None) = (key.parse(), firm, weight, words.next())
        else {
            let message = "expected TEAM = FIRM, or TEAM = FIRM WEIGHT";
            file.add_error("teams", key, Some(text), message);
            continue;
        };
        if !firms.contains_key(&firm) {
            let known: Vec<_> = firms.keys().map(|name| name.as_str()).collect();
            let message = format!(
                "firm {firm} is not in [firms]: expected one of {}",
                known.join(", ")
            );
            file.add_error("teams", key, Some(text), message);
        }
        // Insert the team even after an error, so that its token isn't reported as an error too.
        teams.insert(name, TeamAccount { firm, weight });
    }
    teams
}

/// Reads lines `TEAM = TOKEN`; error messages never contain the token.
fn read_tokens(
    file: &reader::SettingsReader,
    teams: &collections::BTreeMap<usher_types::TeamName, TeamAccount>,
) -> collections::BTreeMap<String, usher_types::TeamName> {
    let mut tokens = collections::BTreeMap::new();
    for (key, text) in file.dynamic_section("tokens") {
        let token = <String as value::SettingValue>::read(text.trim());
        let (Ok(team), Some(token)) = (key.parse::<usher_types::TeamName>(), token) else {
            let message = "expected TEAM = TOKEN, a token of 1 to 200 printable characters";
            file.add_error("tokens", key, Some("(hidden)"), message);
            continue;
        };
        if !teams.contains_key(&team) {
            let message = "the team is not in [teams]: add it there with its firm";
            file.add_error("tokens", key, Some("(hidden)"), message);
        } else if let Some(other) = tokens.insert(token, team) {
            let message = format!("team {other} has the same token: expected one token per team");
            file.add_error("tokens", key, Some("(hidden)"), message);
        }
    }
    tokens
}
