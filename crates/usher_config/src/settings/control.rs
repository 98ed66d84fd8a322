//! The control VMs of the installation. Not for: their current membership.

use std::{collections, net};

use crate::settings::{reader, value};

/// The most VMs that may be dedicated to control.
const MAX_CONTROL_VMS: usize = 8;

usher_types::value_type! {
    /// Section `control.NAME`: one control VM.
    pub struct ControlMember {
        /// Name of its process.
        pub name: usher_types::NodeName,
        /// Where entries and other control processes connect.
        pub address: net::SocketAddr,
        /// Where operators connect.
        pub operators: net::SocketAddr,
        /// Region of the VM.
        pub region: usher_types::RegionName,
        /// Failure domain of the VM.
        pub domain: usher_types::DomainName,
        /// Whether it votes from the start.
        pub part: value::ControlPart,
    }
}

impl ControlMember {
    /// Returns whether it votes from the start.
    pub fn is_voter(&self) -> bool {
        self.part == value::ControlPart::Voter
    }
}

usher_types::value_type! {
    /// All control VMs, in the order of the file.
    #[derive(Default)]
    pub struct ControlGroup {
        /// The control VMs.
        pub members: Vec<ControlMember>,
    }
}

impl ControlGroup {
    /// Returns where operators connect, voters first.
    pub fn operator_addresses(&self) -> Vec<net::SocketAddr> {
        let (voters, spares): (Vec<_>, Vec<_>) =
            self.members.iter().partition(|member| member.is_voter());
        voters
            .iter()
            .chain(&spares)
            .map(|member| member.operators)
            .collect()
    }

    /// Finds a control VM by the name of its process.
    pub fn member(&self, name: &usher_types::NodeName) -> Option<&ControlMember> {
        self.members.iter().find(|member| &member.name == name)
    }

    /// Returns whether both groups hold the same members, in whichever order.
    pub fn has_same_members(&self, other: &Self) -> bool {
        let contained = |member: &ControlMember| other.members.contains(member);
        self.members.len() == other.members.len() && self.members.iter().all(contained)
    }

    pub(crate) fn read(file: &reader::SettingsReader) -> Self {
        // Makes the pattern known to the list of keys and to suggestions.
        let pattern = file.section("control.NAME");
        for key in ["address", "operators", "region", "domain", "part"] {
            pattern.optional::<String>(key);
        }
        if file.has_section("control.NAME") {
            let message = "expected the name of a control process in place of NAME";
            file.add_error("control.NAME", "", None, message);
        }
        let sections = file.named_sections("control");
        let members = sections
            .into_iter()
            .filter(|(section, _)| *section != "control.NAME")
            .map(|(section, name)| read_member(file, section, name))
            .collect();
        let group = Self { members };
        group.check_size(file);
        group.check_addresses(file);
        group.check_domains(file);
        group
    }

    fn check_size(&self, file: &reader::SettingsReader) {
        let voters = self
            .members
            .iter()
            .filter(|member| member.is_voter())
            .count();
        if !matches!(voters, 3 | 5) {
            let message = format!(
                "{voters} sections have part = voter: expected 3 or 5, so that a majority \
                 survives the loss of one or two"
            );
            file.add_error("control.NAME", "part", None, message);
        }
        if self.members.len() > MAX_CONTROL_VMS {
            let message = format!(
                "{} sections: at most {MAX_CONTROL_VMS} VMs are dedicated to control",
                self.members.len()
            );
            file.add_error("control.NAME", "", None, message);
        }
    }

    /// One address for two purposes would send frames of one protocol to the other.
    fn check_addresses(&self, file: &reader::SettingsReader) {
        let mut owners = collections::BTreeMap::new();
        for member in &self.members {
            let section = format!("control.{}", member.name);
            let addresses = [("address", member.address), ("operators", member.operators)];
            for (key, address) in addresses
                .into_iter()
                .filter(|(_, address)| address.port() > 0)
            {
                if address.ip().is_unspecified() {
                    let message = "others connect here: expected the IP of this VM";
                    file.add_error(&section, key, Some(&address.to_string()), message);
                }
                if let Some(owner) = owners.insert(address, section.clone()) {
                    let message = format!("the address is taken by [{owner}]");
                    file.add_error(&section, key, Some(&address.to_string()), message);
                }
            }
        }
    }

    /// The loss of one failure domain must leave a majority of the voters.
    fn check_domains(&self, file: &reader::SettingsReader) {
        let mut domains: collections::BTreeMap<_, Vec<&ControlMember>> =
            collections::BTreeMap::new();
        let voters = || self.members.iter().filter(|member| member.is_voter());
        let has_domain = |member: &&ControlMember| !member.domain.as_str().is_empty();
        for member in voters().filter(has_domain) {
            domains
                .entry((&member.region, &member.domain))
                .or_default()
                .push(member);
        }
        let majority = voters().count() / 2 + 1;
        for members in domains.values().filter(|members| members.len() >= majority) {
            let names: Vec<_> = members.iter().map(|member| member.name.as_str()).collect();
            let Some(last) = members.last() else { continue };
            let message = format!(
                "voters {} share this failure domain: its loss would stop the control group; \
                 expected at most {} voters per domain",
                names.join(", "),
                majority - 1
            );
            let section = format!("control.{}", last.name);
            file.add_error(&section, "domain", Some(last.domain.as_str()), message);
        }
    }
}

fn read_member(file: &reader::SettingsReader, section: &str, name: &str) -> ControlMember {
    let reader = file.section(section);
    let parsed = name.parse();
    if parsed.is_err() {
        file.add_error(
            section,
            "",
            None,
            "expected the name of a control process after the dot",
        );
    }
    ControlMember {
        name: parsed.unwrap_or_default(),
        address: reader.required("address"),
        operators: reader.required("operators"),
        region: reader.required("region"),
        domain: reader.required("domain"),
        part: reader.with_default("part", value::ControlPart::Voter),
    }
}
