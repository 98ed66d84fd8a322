//! Name and location of a process. Not for: addresses of other processes.

use std::path;

use crate::settings::reader;

usher_types::value_type! {
    /// Section `node`: name and location of a process.
    pub struct NodeSettings {
        /// Name of the installation; processes of different installations refuse each other.
        pub cluster: String,
        /// Name of the process.
        pub name: usher_types::NodeName,
        /// Region of its VM.
        pub region: usher_types::RegionName,
        /// Failure domain of its VM.
        pub domain: usher_types::DomainName,
        /// Data folder. An entry can run without one and then keeps no burn records.
        pub data: Option<path::PathBuf>,
    }
}

impl NodeSettings {
    pub(crate) fn read(file: &reader::SettingsReader) -> Self {
        let section = file.section("node");
        Self {
            cluster: section.required("cluster"),
            name: section.required("name"),
            region: section.required("region"),
            domain: section.required("domain"),
            data: section.optional("data"),
        }
    }
}
