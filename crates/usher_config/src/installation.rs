//! Checks that the settings files and the sheet of one installation are consistent with each
//! other. Not for: rules inside a single file.

use std::{collections, net};

use crate::{settings, sheet};

/// The parsed content of a file of an installation.
#[derive(Clone, Debug, PartialEq)]
pub enum FileContent {
    /// Settings of a process.
    Settings(settings::ProcessSettings),
    /// The planners' sheet.
    Sheet(sheet::FleetSheet),
}

/// A file that passed all checks of a single file.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckedFile {
    /// File name for error messages.
    pub name: String,
    /// Parsed content.
    pub content: FileContent,
}

impl CheckedFile {
    /// Parses a file as a sheet if its name ends in `.csv`, and as settings otherwise.
    ///
    /// # Errors
    ///
    /// Returns one message for each error in the file.
    pub fn read(name: &str, bytes: &[u8]) -> Result<Self, Vec<String>> {
        let content = if name.ends_with(".csv") {
            sheet::FleetSheet::parse_bytes(bytes)
                .map(FileContent::Sheet)
                .map_err(|errors| to_strings(errors.errors()))
        } else {
            read_settings(bytes)
        };
        let name = name.to_owned();
        content.map(|content| Self { name, content })
    }

    fn control(&self) -> Option<&settings::ControlGroup> {
        match &self.content {
            FileContent::Settings(settings::ProcessSettings::Entry(entry)) => Some(&entry.control),
            FileContent::Settings(settings::ProcessSettings::Control(node)) => Some(&node.control),
            FileContent::Settings(settings::ProcessSettings::Operator(operator)) => {
                Some(&operator.control)
            }
            _ => None,
        }
    }

    fn node(&self) -> Option<&settings::NodeSettings> {
        match &self.content {
            FileContent::Settings(settings::ProcessSettings::Entry(entry)) => Some(&entry.node),
            FileContent::Settings(settings::ProcessSettings::Control(node)) => Some(&node.node),
            _ => None,
        }
    }

    fn listen(&self) -> Option<net::SocketAddr> {
        match &self.content {
            FileContent::Settings(settings::ProcessSettings::Entry(entry)) => Some(entry.listen),
            FileContent::Settings(settings::ProcessSettings::Fake(fake)) => Some(fake.listen),
            _ => None,
        }
    }
}

fn to_strings<T: ToString>(errors: &[T]) -> Vec<String> {
    errors.iter().map(ToString::to_string).collect()
}

fn read_settings(bytes: &[u8]) -> Result<FileContent, Vec<String>> {
    let text = std::str::from_utf8(bytes)
        .map_err(|_| vec!["the text is not UTF-8: save the file as UTF-8".to_owned()])?;
    settings::ProcessSettings::parse(text)
        .map(FileContent::Settings)
        .map_err(|errors| to_strings(errors.errors()))
}

/// Checks the files of one installation against each other and returns one message for each
/// inconsistency.
///
/// ```
/// assert!(usher_config::check_installation(&[]).is_empty());
/// ```
pub fn check_installation(files: &[CheckedFile]) -> Vec<String> {
    let mut errors = Vec::new();
    errors.extend(check_clusters(files));
    errors.extend(check_names(files));
    errors.extend(check_addresses(files));
    errors.extend(check_regions(files));
    errors
}

/// Checks that all processes name the same cluster and the same control VMs.
fn check_clusters(files: &[CheckedFile]) -> Vec<String> {
    let mut errors = Vec::new();
    let mut groups = files
        .iter()
        .filter_map(|file| Some((file, file.control()?)));
    if let Some((first, group)) = groups.next() {
        for (file, _) in groups.filter(|(_, other)| !group.has_same_members(other)) {
            errors.push(format!(
                "{}: the [control.*] sections differ from those of {}",
                file.name, first.name
            ));
        }
    }
    let mut nodes = files.iter().filter_map(|file| Some((file, file.node()?)));
    if let Some((first, node)) = nodes.next() {
        for (file, other) in nodes.filter(|(_, other)| other.cluster != node.cluster) {
            errors.push(format!(
                "{}: [node] cluster = {}: {} has {}",
                file.name, other.cluster, first.name, node.cluster
            ));
        }
    }
    errors
}

fn check_names(files: &[CheckedFile]) -> Vec<String> {
    let mut owners = collections::BTreeMap::new();
    files
        .iter()
        .filter_map(|file| Some((file, file.node()?)))
        .filter_map(|(file, node)| {
            let owner = owners.insert(node.name.clone(), &file.name)?;
            Some(format!(
                "{}: [node] name = {}: {owner} has the same name",
                file.name, node.name
            ))
        })
        .collect()
}

fn check_addresses(files: &[CheckedFile]) -> Vec<String> {
    let mut owners = collections::BTreeMap::new();
    if let Some(group) = files.iter().find_map(CheckedFile::control) {
        for member in &group.members {
            let owner = format!("[control.{}]", member.name);
            owners.insert(member.address, owner.clone());
            owners.insert(member.operators, owner);
        }
    }
    let mut errors = Vec::new();
    for (file, address) in files.iter().filter_map(|file| Some((file, file.listen()?))) {
        // Processes on different VMs may all listen on the unspecified address.
        if address.ip().is_unspecified() {
            continue;
        }
        if let Some(owner) = owners.insert(address, file.name.clone()) {
            errors.push(format!("{}: {address} is taken by {owner}", file.name));
        }
    }
    errors
}

/// Checks that each region in the sheet and the links has an entry or a control VM: a region
/// without one is assumed to be a typing error.
fn check_regions(files: &[CheckedFile]) -> Vec<String> {
    let mut known: collections::BTreeSet<_> = files
        .iter()
        .filter_map(CheckedFile::node)
        .map(|node| &node.region)
        .collect();
    let members = files
        .iter()
        .filter_map(CheckedFile::control)
        .flat_map(|group| &group.members);
    known.extend(members.map(|member| &member.region));
    if known.is_empty() {
        return Vec::new();
    }
    let names: Vec<_> = known.iter().map(|region| region.as_str()).collect();
    let names = names.join(", ");
    let mut errors = Vec::new();
    for file in files {
        for (location, region) in
            referenced_regions(file).filter(|(_, region)| !known.contains(region))
        {
            errors.push(format!(
                "{}: {location}: region {region} has no entry or control VM: expected one of {names}",
                file.name
            ));
        }
    }
    errors
}

fn referenced_regions(
    file: &CheckedFile,
) -> Box<dyn Iterator<Item = (String, &usher_types::RegionName)> + '_> {
    match &file.content {
        FileContent::Sheet(sheet) => Box::new(sheet.rows().iter().map(|row| {
            let location = format!("row of {} in {}", row.service, row.region);
            (location, &row.region)
        })),
        FileContent::Settings(settings::ProcessSettings::Entry(entry)) => {
            let pairs = entry.links.pairs.keys();
            Box::new(pairs.flat_map(|(one, other)| {
                let location = format!("[region-links] {one} {other}");
                [(location.clone(), one), (location, other)]
            }))
        }
        FileContent::Settings(_) => Box::new(std::iter::empty()),
    }
}
