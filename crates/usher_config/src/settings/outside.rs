//! Settings of the API outside the installation. Not for: the content of its calls.

use std::{net, time};

use crate::settings::{reader, value};

usher_types::value_type! {
    /// A duty that one node at a time carries out at the API outside the installation.
    pub enum DutyKind {
        /// Reports the usage of teams.
        Usage,
        /// Orders the number of engines.
        Autoscale,
    }
}

usher_types::value_type! {
    /// Section `outside`: the API that the holder of the duties calls.
    pub struct OutsideSettings {
        /// Address of the API.
        pub address: net::SocketAddr,
        /// Calls per second that the API accepts from all nodes together.
        pub calls_per_second: f64,
        /// Duties of the installation.
        pub duties: Vec<DutyKind>,
    }
}

impl OutsideSettings {
    /// Reads the section; returns `None` without an address.
    pub(crate) fn read(file: &reader::SettingsReader) -> Option<Self> {
        let section = file.section("outside");
        let address: Option<net::SocketAddr> = section.optional("address");
        let calls_per_second = section.with_default("calls_per_second", 10.0);
        let value::DutyList(duties) = section.with_default("duties", value::DutyList::default());
        Some(Self {
            address: address?,
            calls_per_second,
            duties,
        })
    }
}

usher_types::value_type! {
    /// Section `usage`: the windows of usage reports.
    pub struct UsageSettings {
        /// Length of a window.
        pub window: time::Duration,
        /// Time after the end of a window at which its report is overdue.
        pub due: time::Duration,
    }
}

impl UsageSettings {
    /// Reads the section; returns `None` without a length.
    pub(crate) fn read(file: &reader::SettingsReader) -> Option<Self> {
        let section = file.section("usage");
        let window: Option<f64> = section.optional("window_seconds");
        let due = section.with_default("due_seconds", 10.0);
        Some(Self {
            window: time::Duration::from_secs_f64(window?),
            due: time::Duration::from_secs_f64(due),
        })
    }
}
