//! Settings of the control VMs of the installation. Not for: their current membership.

use std::{collections, net};

use crate::settings::{reader, value};

/// Maximum number of control VMs.
const MAX_CONTROL_VMS: usize = 8;

usher_types::value_type! {
    /// Section `control.NAME`: a control VM.
    pub struct ControlMember {
        /// Name of the control process on the VM.
        pub name: usher_types::NodeName,
        /// Address for connections from entries and other control processes.
        pub address: net::SocketAddr,
        /// Address for connections from operators.
        pub operators: net::SocketAddr,
        /// Region of the VM.
        pub region: usher_types::RegionName,
        /// Failure domain of the VM.
        pub domain: usher_types::DomainName,
        /// Whether it is a voter or a spare when the installation starts.
        pub part: value::ControlPart,
    }
}

impl ControlMember {
    /// Returns whether it is a voter when the installation starts.
    pub fn is_voter(&self) -> bool {
        self.part == value::ControlPart::Voter
    }
}

usher_types::value_type! {
    /// All control VMs, in file order.
    #[derive(Default)]
    pub struct ControlGroup {
        /// The control VMs.
        pub members: Vec<ControlMember>,
    }
}

impl ControlGroup {
    /// Returns the addresses for operators, voters first.
    pub fn operator_addresses(&self) -> Vec<net::SocketAddr> {
        let (voters, spares): (Vec<_>, Vec<_>) =
            self.members.iter().partition(|member| member.is_voter());
        voters
            .iter()
            .chain(&spares)
            .map(|member| member.operators)
            .collect()
    }

    /// Returns the control VM whose process has this name.
    pub fn member(&self, name: &usher_types::NodeName) -> Option<&ControlMember> {
        self.members.iter().find(|member| &member.name == name)
    }

    /// Returns whether both groups contain the same members, in any order.
    pub fn has_same_members(&self, other: &Self) -> bool {
        let contained = |member: &ControlMember| other.members.contains(member);
        self.members.len() == other.members.len() && self.members.iter().all(contained)
    }

    pub(crate) fn read(file: &reader::SettingsReader) -> Self {
        // Registers the pattern for the list of keys and for suggestions.
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

    /// Checks that each address is used once; otherwise frames of one protocol would arrive at the
    /// listener of another.
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

    /// Checks that the loss of any single failure domain leaves a majority of the voters.
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
