//! The resources that a process may use on its VM. Not for: limits of single requests.

use crate::settings::reader;

usher_types::value_type! {
    /// Section `vm`: the resources that the process may use.
    #[derive(Copy, Default)]
    pub struct VmSettings {
        /// Memory, in MB (1,000,000 bytes); what the operating system states if unset.
        pub memory_mb: Option<u32>,
        /// Open file descriptors; what the operating system allows if unset.
        pub descriptors: Option<u32>,
        /// Part of the memory that data of callers may take, in MB; a share of the memory if unset.
        pub caller_memory_mb: Option<u32>,
    }
}

impl VmSettings {
    pub(crate) fn read(file: &reader::SettingsReader) -> Self {
        let section = file.section("vm");
        Self {
            memory_mb: section.optional("memory_mb"),
            descriptors: section.optional("descriptors"),
            caller_memory_mb: section.optional("caller_memory_mb"),
        }
    }
}
