//! Generates settings files for the processes of a scenario. Not for: the meaning of the
//! settings.

use std::{fmt::Write as _, net};

use crate::step;

/// The three regions of a scenario; processes are assigned to them in turn.
const REGIONS: [&str; 3] = ["south-a", "north-a", "west-a"];

/// Cluster name in all scenarios.
pub(crate) const CLUSTER: &str = "scenario";

/// Addresses of a control process.
#[derive(Clone, Debug)]
pub(crate) struct ControlAddress {
    pub(crate) name: step::ProcessName,
    /// Address of the relay in front of it.
    pub(crate) relay: net::SocketAddr,
    /// Listen address for the wire protocol.
    pub(crate) wire: net::SocketAddr,
    pub(crate) operators: net::SocketAddr,
    pub(crate) voter: bool,
}

/// Returns region and failure domain of the process with this index, starting at 0.
pub(crate) fn location_of(index: usize) -> (String, String) {
    let region = REGIONS[index % REGIONS.len()];
    (
        region.to_owned(),
        format!("{region}-{}", index / REGIONS.len() + 1),
    )
}

/// Returns the settings file of a control process.
pub(crate) fn control_file(group: &[ControlAddress], index: usize, folder: &str) -> String {
    let mut text = node_sections("control", &group[index].name, index, Some(folder));
    let own = &group[index];
    let _ = write!(
        text,
        "[listen]\nwire = {}\noperators = {}\n\n",
        own.wire, own.operators
    );
    text + &group_sections(group)
}

/// Returns the settings file of an entry process.
pub(crate) fn entry_file(
    group: &[ControlAddress],
    name: &step::ProcessName,
    index: usize,
    callers: net::SocketAddr,
) -> String {
    let mut text = node_sections("entry", name, index, None);
    let _ = write!(text, "[listen]\ncallers = {callers}\n\n");
    let _ = write!(text, "[accounts]\ncooperative = {CLUSTER}\n\n");
    text + &group_sections(group)
}

fn node_sections(
    kind: &str,
    name: &step::ProcessName,
    index: usize,
    folder: Option<&str>,
) -> String {
    let (region, domain) = location_of(index);
    let mut text = format!(
        "[process]\nkind = {kind}\n\n[node]\ncluster = {CLUSTER}\nname = {name}\n\
         region = {region}\ndomain = {domain}\n"
    );
    if let Some(folder) = folder {
        let _ = writeln!(text, "data = {folder}");
    }
    text.push('\n');
    text
}

fn group_sections(group: &[ControlAddress]) -> String {
    let mut text = String::new();
    for (index, member) in group.iter().enumerate() {
        let (region, domain) = location_of(index);
        let part = if member.voter { "voter" } else { "spare" };
        let _ = write!(
            text,
            "[control.{}]\naddress = {}\noperators = {}\nregion = {region}\n\
             domain = {domain}\npart = {part}\n\n",
            member.name, member.relay, member.operators
        );
    }
    text
}
