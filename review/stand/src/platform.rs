//! The platform: it writes settings, starts and signals the project's programs, checks readiness
//! and keeps the list of gateways that new connections go to.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// The bounds of the deployment, as the sheet of the site states them.
pub const GRACE: Duration = Duration::from_secs(8);
pub const CONTACT: Duration = Duration::from_secs(4);
pub const DRAIN: Duration = Duration::from_secs(3);
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Domains of the deployment, each with its region.
pub const DOMAINS: [(&str, &str); 3] = [
    ("south-a", "south"),
    ("north-a", "north"),
    ("west-a", "west"),
];

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, ...) -> i32;
}

/// Option of `prctl` that names the signal which a process gets when its parent ends (Linux).
const PR_SET_PDEATHSIG: i32 = 1;

/// The programs and templates that the deploy file names.
struct DeployFile {
    root: PathBuf,
    text: String,
}

impl DeployFile {
    fn read(root: &Path) -> Self {
        let text = fs::read_to_string(root.join("deploy/system.toml")).expect("the deploy file");
        Self {
            root: root.to_owned(),
            text,
        }
    }

    fn value(&self, role: &str, key: &str) -> PathBuf {
        let section = format!("[roles.{role}]");
        let lines = self.text.lines().skip_while(|line| *line != section);
        let mut lines = lines.skip(1).take_while(|line| !line.starts_with('['));
        let line = lines.find(|line| line.starts_with(&format!("{key} =")));
        let value = line.and_then(|line| line.split('"').nth(1));
        self.root.join(value.expect("a value of the deploy file"))
    }
}

/// Fills in a template of the settings: values, and the section of the zones.
fn render(template: &str, fields: &[(&str, String)]) -> String {
    let mut text = String::new();
    let mut in_zones = false;
    for line in template.lines() {
        match line {
            "{{#zones}}" => in_zones = true,
            "{{/zones}}" => in_zones = false,
            _ if in_zones => {
                for (domain, region) in DOMAINS {
                    let line = line.replace("{{@}}", domain).replace("{{.}}", region);
                    text.push_str(&line);
                    text.push('\n');
                }
            }
            _ => {
                text.push_str(line);
                text.push('\n');
            }
        }
    }
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "unknown field in a template: {text}");
    text
}

/// A machine with one of the project's programs.
pub struct Machine {
    pub name: String,
    pub role: &'static str,
    pub ip: Ipv4Addr,
    domain: usize,
    child: Mutex<Option<Child>>,
    /// Start of the running process.
    pub started: Mutex<Instant>,
}

#[derive(Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub range: u16,
}

/// The platform with its machines.
pub struct Platform {
    pub record: Record,
    deploy: DeployFile,
    folder: PathBuf,
    pub ports: Ports,
    pub gateways: Vec<Machine>,
    pub registrars: Vec<Machine>,
    seeds: Mutex<Vec<usize>>,
    /// Whether each gateway gets new connections, and how many checks it has missed in a row.
    rotation: Mutex<BTreeMap<usize, (bool, u32)>>,
    pub stop: Arc<AtomicBool>,
}

impl Platform {
    /// Makes the machines of a deployment; no process runs yet.
    pub fn new(record: Record, gateways: usize, registrars: usize) -> Arc<Self> {
        let root = std::env::current_dir().expect("the repository root");
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-stand-{id}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let net = |host: usize| {
            let bytes = id.to_be_bytes();
            Ipv4Addr::new(127, 64 | bytes[2] & 63, bytes[3], host as u8)
        };
        let machine = |role, name: &str, index: usize, host| Machine {
            name: format!("{name}-{}-{index}", DOMAINS[index % DOMAINS.len()].0),
            role,
            ip: net(host),
            domain: index % DOMAINS.len(),
            child: Mutex::new(None),
            started: Mutex::new(Instant::now()),
        };
        let gateways: Vec<_> = (0..gateways)
            .map(|index| machine("gateway", "front", index, 1 + index))
            .collect();
        let registrars: Vec<_> = (0..registrars)
            .map(|index| machine("registrar", "core", index, 51 + index))
            .collect();
        let ips: Vec<_> = gateways.iter().chain(&registrars).map(|m| m.ip).collect();
        let ports = find_ports(&ips, id);
        Arc::new(Self {
            record,
            deploy: DeployFile::read(&root),
            folder,
            ports,
            gateways,
            registrars,
            seeds: Mutex::new(vec![0, 1, 2]),
            rotation: Mutex::default(),
            stop: Arc::default(),
        })
    }

    /// Returns an address for a stand-in on a loopback address of this run.
    pub fn engine_address(&self, host: u8) -> SocketAddr {
        let [a, b, c, _] = self.registrars[0].ip.octets();
        SocketAddr::from((Ipv4Addr::new(a, b, c, host), 0))
    }

    fn settings(&self, machine: &Machine, founds: bool) -> String {
        let ip = machine.ip;
        let ports = self.ports;
        let seeds = self.seeds.lock().unwrap();
        let seeds = seeds.iter().map(|index| self.registrars[*index].ip);
        let seeds: Vec<_> = seeds.map(|ip| format!("{ip}:{}", ports.control)).collect();
        let (domain, region) = DOMAINS[machine.domain];
        let data = self.folder.join(format!("{}.data", machine.name));
        let fields = [
            ("nodeId", machine.name.clone()),
            ("region", region.to_owned()),
            ("zone", domain.to_owned()),
            ("listen.front", format!("{ip}:{}", ports.front)),
            ("listen.readyAddr", format!("{ip}:{}", ports.ready)),
            ("listen.control", format!("{ip}:{}", ports.control)),
            ("portRange.0", ports.range.to_string()),
            ("seedNodes", seeds.join(",")),
            ("dataDir", data.display().to_string()),
            ("bootstrap", founds.to_string()),
            ("faultTolerance.machines", "2".to_owned()),
            ("heartbeatMs", HEARTBEAT.as_millis().to_string()),
            ("contractParams.graceS", GRACE.as_secs().to_string()),
            ("contractParams.retryBudgetRatio", "0.2".to_owned()),
            ("contractParams.budgetSlack", "56".to_owned()),
            ("contractParams.leaseMs", "3000".to_owned()),
        ];
        let template = self.deploy.value(machine.role, "template");
        render(&fs::read_to_string(template).expect("a template"), &fields)
    }

    fn settings_file(&self, machine: &Machine) -> PathBuf {
        self.folder.join(format!("{}.ini", machine.name))
    }

    /// Writes the settings file of a machine.
    pub fn write_settings(&self, machine: &Machine, founds: bool) {
        let settings = self.settings(machine, founds);
        let fresh = self.folder.join(format!("{}.new", machine.name));
        fs::write(&fresh, settings).expect("a settings file");
        fs::rename(&fresh, self.settings_file(machine)).expect("a settings file");
    }

    /// Starts the program of a machine with the settings in effect now.
    pub fn start(&self, machine: &Machine, founds: bool) {
        self.write_settings(machine, founds);
        let log = self.folder.join(format!("{}.log", machine.name));
        let log = File::options().create(true).append(true).open(log);
        let log = log.expect("a log file");
        let mut command = Command::new(self.deploy.value(machine.role, "run"));
        command.current_dir(&self.deploy.root).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("PIMENTOUSHER_CONFIG", self.settings_file(machine));
        command
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log);
        // The process ends with this one, also when this one is killed.
        // SAFETY: the call changes only the new process, and takes no lock.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command.spawn().expect("the program of the deploy file");
        self.record
            .line(&format!("start {} pid {}", machine.name, child.id()));
        *machine.started.lock().unwrap() = Instant::now();
        *machine.child.lock().unwrap() = Some(child);
    }

    /// Starts the programs of all machines for the first time.
    pub fn start_all(&self) {
        for machine in self.registrars.iter().chain(&self.gateways) {
            self.start(machine, true);
        }
    }

    /// Sends signals to the process of a machine, one right after the other.
    pub fn signal(&self, machine: &Machine, signals: &[i32]) {
        if let Some(child) = machine.child.lock().unwrap().as_ref() {
            for signal in signals {
                // SAFETY: the process is a child that has not been waited for.
                unsafe { kill(child.id() as i32, *signal) };
            }
        }
        self.record
            .line(&format!("signals {signals:?} to {}", machine.name));
    }

    /// Returns whether the process of a machine has ended by now.
    pub fn has_ended(&self, machine: &Machine) -> bool {
        let mut child = machine.child.lock().unwrap();
        match child.as_mut() {
            Some(child) => child.try_wait().ok().flatten().is_some(),
            None => true,
        }
    }

    /// Waits for the end of a process that was killed.
    pub fn reap(&self, machine: &Machine) {
        if let Some(child) = machine.child.lock().unwrap().as_mut() {
            let _ = child.wait();
        }
    }

    /// Replaces the seeds in the settings that are written from now on.
    pub fn set_seeds(&self, seeds: &[usize]) {
        *self.seeds.lock().unwrap() = seeds.to_vec();
        self.record.line(&format!("the seeds are now {seeds:?}"));
    }

    pub fn front(&self, gateway: usize) -> SocketAddr {
        SocketAddr::from((self.gateways[gateway].ip, self.ports.front))
    }

    pub fn control(&self, registrar: usize) -> SocketAddr {
        SocketAddr::from((self.registrars[registrar].ip, self.ports.control))
    }

    fn is_ready(&self, gateway: usize) -> bool {
        let address = SocketAddr::from((self.gateways[gateway].ip, self.ports.ready));
        let second = Duration::from_secs(1);
        let answer = http::exchange(address, second, "GET", "/api/readyz", b"");
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Checks the readiness of each gateway once a second, until the run stops.
    pub fn run_checks(self: &Arc<Self>) {
        for gateway in 0..self.gateways.len() {
            let platform = self.clone();
            thread::spawn(move || {
                while !platform.stop.load(Ordering::Relaxed) {
                    let is_ready = platform.is_ready(gateway);
                    let mut rotation = platform.rotation.lock().unwrap();
                    let state = rotation.entry(gateway).or_insert((false, 0));
                    state.1 = if is_ready { 0 } else { state.1 + 1 };
                    let takes = is_ready || state.0 && state.1 < 2;
                    if takes != state.0 {
                        let name = &platform.gateways[gateway].name;
                        let text = if takes { "in" } else { "out of" };
                        platform.record.line(&format!("{name} is {text} rotation"));
                    }
                    state.0 = takes;
                    drop(rotation);
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
    }

    /// Returns the gateways that get new connections.
    pub fn in_rotation(&self) -> Vec<usize> {
        let rotation = self.rotation.lock().unwrap();
        let taken = rotation.iter().filter(|(_, (takes, _))| *takes);
        taken.map(|(gateway, _)| *gateway).collect()
    }

    /// Waits until all gateways are in rotation; returns whether that happens in time.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while self.in_rotation().len() < self.gateways.len() {
            if Instant::now() > end {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        true
    }

    /// Sends a configuration, to one registrar after the other, until it is acknowledged.
    pub fn put_config(&self, config: &str, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let mut registrar = 0;
        while Instant::now() < end {
            let address = self.control(registrar % self.registrars.len());
            let timeout = Duration::from_secs(2);
            let body = config.as_bytes();
            let answer = http::exchange(address, timeout, "PUT", "/api/config", body);
            if answer.is_ok_and(|answer| answer.status() == 200) {
                self.record
                    .line(&format!("configuration acknowledged by {address}"));
                return true;
            }
            registrar += 1;
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Ends all processes and removes the temporary folder.
    pub fn end(&self) {
        self.stop.store(true, Ordering::Relaxed);
        for machine in self.gateways.iter().chain(&self.registrars) {
            if let Some(mut child) = machine.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs in {}", self.folder.display());
        }
    }
}

/// Finds four ports that are free on all addresses.
fn find_ports(ips: &[Ipv4Addr], seed: u32) -> Ports {
    let is_free = |port: u16| ips.iter().all(|ip| TcpListener::bind((*ip, port)).is_ok());
    let first = 10_000 + (seed % 10_000) as u16;
    let mut free = (first..30_000).filter(|port| is_free(*port));
    let mut next = || free.next().expect("a free port");
    Ports {
        front: next(),
        ready: next(),
        control: next(),
        range: next(),
    }
}
