//! Complete settings of each kind of process. Not for: single sections.

use std::net;

use crate::settings::{
    accounts, control, error, fake, gateway, limits, links, node, objectives, orders, output,
    reader, routing, value, vm,
};

usher_types::value_type! {
    /// Settings of `pimentousher-entry`.
    pub struct EntrySettings {
        /// Name and location of the process.
        pub node: node::NodeSettings,
        /// Listen address for callers and targets.
        pub listen: net::SocketAddr,
        /// The control VMs.
        pub control: control::ControlGroup,
        /// One-way delays.
        pub links: links::LinkSettings,
        /// Request limits and timeouts.
        pub limits: limits::LimitSettings,
        /// Initial values of routing estimates.
        pub routing: routing::RoutingSettings,
        /// Objectives of the burn report.
        pub objectives: objectives::ObjectiveSettings,
        /// Accounts of callers.
        pub accounts: accounts::AccountSettings,
        /// Resources of the process.
        pub vm: vm::VmSettings,
        /// Log settings.
        pub log: output::LogSettings,
        /// Metrics settings.
        pub metrics: output::MetricSettings,
    }
}

usher_types::value_type! {
    /// Settings of `pimentousher-control`.
    pub struct ControlSettings {
        /// Name and location of the process; the data folder is set.
        pub node: node::NodeSettings,
        /// The control VMs, including this one.
        pub control: control::ControlGroup,
        /// Listen address for other processes, if it differs from the address in the `control.NAME`
        /// section of this process.
        pub wire_listen: Option<net::SocketAddr>,
        /// Listen address for operators, if it differs from the address in the `control.NAME`
        /// section of this process.
        pub operator_listen: Option<net::SocketAddr>,
        /// Rate limits for orders to engines.
        pub orders: orders::OrderSettings,
        /// Resources of the process.
        pub vm: vm::VmSettings,
        /// Log settings.
        pub log: output::LogSettings,
        /// Metrics settings.
        pub metrics: output::MetricSettings,
    }
}

impl ControlSettings {
    /// Returns the `control.NAME` section of this process.
    pub fn member(&self) -> Option<&control::ControlMember> {
        self.control.member(&self.node.name)
    }
}

usher_types::value_type! {
    /// Settings of the command line.
    pub struct OperatorSettings {
        /// The control VMs.
        pub control: control::ControlGroup,
        /// Objectives of the burn report.
        pub objectives: objectives::ObjectiveSettings,
    }
}

/// A validated settings file, by its `[process] kind`.
#[derive(Clone, Debug, PartialEq)]
pub enum ProcessSettings {
    /// Settings of `pimentousher-entry`.
    Entry(Box<EntrySettings>),
    /// Settings of `pimentousher-control`.
    Control(Box<ControlSettings>),
    /// Settings of the command line.
    Operator(Box<OperatorSettings>),
    /// Settings of `fake-engine` or `fake-service`.
    Fake(Box<fake::FakeSettings>),
    /// Settings of a gateway.
    Gateway(Box<gateway::GatewaySettings>),
    /// Settings of a registrar.
    Registrar(Box<gateway::RegistrarSettings>),
}

impl ProcessSettings {
    /// Parses and validates a settings file.
    ///
    /// ```
    /// let errors = usher_config::ProcessSettings::parse("[proces]\nkind = entry\n").unwrap_err();
    /// assert!(errors.to_string().contains("did you mean \"process\"?"));
    /// ```
    ///
    /// # Errors
    ///
    /// Returns all errors of the file.
    pub fn parse(text: &str) -> Result<Self, error::SettingsErrors> {
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let file = reader::SettingsReader::new(text)?;
        let kind: ProcessKind = file.section("process").required("kind");
        let settings = read(&file, kind);
        file.finish().map(|()| settings)
    }
}

usher_types::value_type! {
    /// Value of `[process] kind`, which selects the program.
    enum ProcessKind {
        Entry,
        Control,
        Operator,
        Engine,
        Service,
        Gateway,
        Registrar,
        /// The kind is missing or invalid; section and key names are still checked.
        Invalid,
    }
}

impl value::SettingValue for ProcessKind {
    const ACCEPTED: &'static str =
        "expected entry, control, operator, gateway, registrar, fake-engine or fake-service";

    fn read(text: &str) -> Option<Self> {
        match text {
            "entry" => Some(Self::Entry),
            "control" => Some(Self::Control),
            "operator" => Some(Self::Operator),
            "fake-engine" => Some(Self::Engine),
            "fake-service" => Some(Self::Service),
            "gateway" => Some(Self::Gateway),
            "registrar" => Some(Self::Registrar),
            _ => None,
        }
    }

    fn placeholder() -> Self {
        Self::Invalid
    }
}

fn read(file: &reader::SettingsReader, kind: ProcessKind) -> ProcessSettings {
    match kind {
        ProcessKind::Entry => ProcessSettings::Entry(Box::new(read_entry(file))),
        ProcessKind::Control => ProcessSettings::Control(Box::new(read_control(file))),
        ProcessKind::Operator => ProcessSettings::Operator(Box::new(OperatorSettings {
            control: control::ControlGroup::read(file),
            objectives: objectives::ObjectiveSettings::read(file),
        })),
        ProcessKind::Gateway => {
            ProcessSettings::Gateway(Box::new(gateway::GatewaySettings::read(file)))
        }
        ProcessKind::Registrar => {
            ProcessSettings::Registrar(Box::new(gateway::RegistrarSettings::read(file)))
        }
        ProcessKind::Invalid => {
            register_all_keys(file);
            ProcessSettings::Operator(Box::new(OperatorSettings {
                control: control::ControlGroup::default(),
                objectives: objectives::ObjectiveSettings::read(file),
            }))
        }
        ProcessKind::Engine | ProcessKind::Service => {
            let engine = kind == ProcessKind::Engine;
            ProcessSettings::Fake(Box::new(fake::FakeSettings::read(file, engine)))
        }
    }
}

/// Registers the keys of all kinds of process: without a valid kind, only names that no
/// process accepts can be reported.
fn register_all_keys(file: &reader::SettingsReader) {
    for name in setting_keys() {
        file.register_key(&name.section, &name.key);
    }
    for (section, _) in file.named_sections("control") {
        file.dynamic_section(section);
    }
    for section in ["firms", "teams", "tokens", "region-links", "domains"] {
        file.dynamic_section(section);
    }
}

fn read_entry(file: &reader::SettingsReader) -> EntrySettings {
    EntrySettings {
        node: node::NodeSettings::read(file),
        listen: file.section("listen").required("callers"),
        control: control::ControlGroup::read(file),
        links: links::LinkSettings::read(file),
        limits: limits::LimitSettings::read(file),
        routing: routing::RoutingSettings::read(file),
        objectives: objectives::ObjectiveSettings::read(file),
        accounts: accounts::AccountSettings::read(file),
        vm: vm::VmSettings::read(file),
        log: output::LogSettings::read(file),
        metrics: output::MetricSettings::read(file),
    }
}

fn read_control(file: &reader::SettingsReader) -> ControlSettings {
    let settings = ControlSettings {
        node: node::NodeSettings::read(file),
        control: control::ControlGroup::read(file),
        wire_listen: file.section("listen").optional("wire"),
        operator_listen: file.section("listen").optional("operators"),
        orders: orders::OrderSettings::read(file),
        vm: vm::VmSettings::read(file),
        log: output::LogSettings::read(file),
        metrics: output::MetricSettings::read(file),
    };
    let node = &settings.node;
    let section = file.section("node");
    section.check(
        node.data.is_some(),
        "data",
        "the key is missing: a control process needs a folder for its log",
    );
    if node.name.as_str().is_empty() {
        return settings;
    }
    let Some(member) = settings.member() else {
        let message = format!(
            "expected a section [control.{}] for this process",
            node.name
        );
        section.check(false, "name", message);
        return settings;
    };
    let expected = format!("[control.{}] says {}", node.name, member.region);
    section.check(member.region == node.region, "region", expected);
    let expected = format!("[control.{}] says {}", node.name, member.domain);
    section.check(member.domain == node.domain, "domain", expected);
    settings
}

usher_types::value_type! {
    /// A settings key that at least one kind of process accepts.
    #[derive(Eq, Ord, PartialOrd)]
    pub struct SettingKey {
        /// Section that contains the key.
        pub section: String,
        /// Name of the key.
        pub key: String,
    }
}

/// Returns all accepted keys of all kinds of process, to check the documentation against.
pub fn setting_keys() -> Vec<SettingKey> {
    let kinds = [
        ProcessKind::Entry,
        ProcessKind::Control,
        ProcessKind::Operator,
        ProcessKind::Engine,
        ProcessKind::Service,
        ProcessKind::Gateway,
        ProcessKind::Registrar,
    ];
    let mut keys: Vec<_> = kinds
        .into_iter()
        .filter_map(|kind| {
            let file = reader::SettingsReader::new("").ok()?;
            file.section("process").required::<ProcessKind>("kind");
            read(&file, kind);
            Some(file.known_keys())
        })
        .flatten()
        .map(|(section, key)| SettingKey { section, key })
        .collect();
    keys.sort();
    keys.dedup();
    keys
}
