//! The project's programs as separate processes, with settings like those of a small deployment.
//! Not for: clients and engines.

use std::{
    env, fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// What was sent, answered and run, for `record.txt`.
#[derive(Clone)]
pub struct Record(Arc<Mutex<(Instant, String)>>);

impl Record {
    pub fn new() -> Self {
        Self(Arc::new(Mutex::new((Instant::now(), String::new()))))
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let mut record = self.0.lock().unwrap();
        let at = record.0.elapsed().as_secs_f64();
        record
            .1
            .push_str(&format!("{at:8.3} s  {}\n", line.as_ref()));
    }

    pub fn save(&self, file: &Path) {
        let record = self.0.lock().unwrap();
        if let Err(error) = fs::write(file, &record.1) {
            eprintln!("record not written: {error}");
        }
    }
}

/// A machine with one process of the project.
pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    settings: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

impl Machine {
    fn start(&mut self, root: &Path) -> io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))?;
        // `maxFds` of the machine.
        let mut command = Command::new("/bin/sh");
        command.args(["-c", "ulimit -n 4100 && exec \"$0\""]);
        command.arg(&self.program).current_dir(root).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command
            .env("PIMENTOUSHER_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Memory of the process in bytes; 0 if there is none.
    pub fn memory(&self) -> u64 {
        let pid = self.child.as_ref().map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1_024
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Ports, the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub wire: u16,
    pub engine: u16,
}

pub struct Install {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub ports: Ports,
    pub fronts: Vec<Machine>,
    pub cores: Vec<Machine>,
}

/// The loopback address of a machine of this run.
pub fn address(number: u8) -> IpAddr {
    let pid = std::process::id();
    let (high, low) = ((pid >> 8) as u8, pid as u8);
    IpAddr::V4(Ipv4Addr::new(127, 10 + high % 200, low, number))
}

const ZONES: [(&str, &str); 3] = [
    ("south-a", "south"),
    ("north-a", "north"),
    ("west-a", "west"),
];

fn free_ports(numbers: &[u8]) -> Ports {
    let is_free = |port: u16| {
        let mut addresses = numbers.iter().map(|number| address(*number));
        addresses.all(|ip| TcpListener::bind(SocketAddr::new(ip, port)).is_ok())
    };
    let mut port = 20_000 + (std::process::id() % 9_000) as u16;
    let mut next = || loop {
        port += 1;
        if is_free(port) {
            return port;
        }
    };
    Ports {
        front: next(),
        ready: next(),
        control: next(),
        wire: next(),
        engine: next(),
    }
}

impl Install {
    /// Starts so many gateways and five registrars, and waits until these answer.
    pub fn start(fronts: u8, record: &Record) -> io::Result<Self> {
        let root = env::var_os("REPOSITORY").map_or_else(|| PathBuf::from("."), PathBuf::from);
        let root = fs::canonicalize(root)?;
        let folder = env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let ports = free_ports(&[1, 2, 3, 4, 5, 11, 12, 13, 51, 52, 53, 54]);
        let core_ips: Vec<_> = (1..=5).map(address).collect();
        let seeds: Vec<_> = [0, 2, 4]
            .iter()
            .map(|index: &usize| format!("{}:{}", core_ips[*index], ports.control))
            .collect();
        let seeds = seeds.join(",");
        let core_zone = [0, 0, 1, 1, 2];
        let mut install = Self {
            root: root.clone(),
            folder: folder.clone(),
            ports,
            fronts: Vec::new(),
            cores: Vec::new(),
        };
        for (number, ip) in core_ips.iter().enumerate() {
            let (zone, region) = ZONES[core_zone[number]];
            let name = format!("core-{zone}-{}", number + 1);
            let data = folder.join(format!("data-{}", number + 1));
            fs::create_dir_all(&data)?;
            // As deploy/registrar.ini is filled in.
            let text = format!(
                "[process]\nkind = registrar\n\n[node]\ncluster = pimentousher\nname = {name}\n\
                 region = {region}\ndomain = {zone}\ndata = {}\n\n[registrar]\nlisten = {ip}:{}\n\
                 founds = true\ntolerated_losses = 2\nheartbeat = 1200ms\norder_lease = 3000ms\n\n\
                 [vm]\nmemory_mb = 256\ndescriptors = 4096\n\n[registrars]\nseeds = {seeds}\n\
                 port = {}\n\n[log]\nformat = json\nlevel = info\n",
                data.display(),
                ports.control,
                ports.wire,
            );
            install.add(&name, *ip, "pimentousher-registrar", text, true)?;
        }
        for number in 0..fronts {
            let (zone, region) = ZONES[usize::from(number) % 3];
            let name = format!("front-{zone}-{}", number + 1);
            let ip = address(11 + number);
            // As deploy/gateway.ini is filled in.
            let text = format!(
                "[process]\nkind = gateway\n\n[node]\ncluster = pimentousher\nname = {name}\n\
                 region = {region}\ndomain = {zone}\n\n[gateway]\ncallers = {ip}:{}\n\
                 health = {ip}:{}\ngrace_seconds = 8\n\n[vm]\nmemory_mb = 260\n\
                 descriptors = 4100\n\n[registrars]\nseeds = {seeds}\nport = {}\n\n[domains]\n\
                 south-a = south\nnorth-a = north\nwest-a = west\n\n[retries]\nshare = 0.2\n\
                 slack = 56\n\n[log]\nformat = json\nlevel = info\n",
                ports.front, ports.ready, ports.wire,
            );
            install.add(&name, ip, "pimentousher-gateway", text, false)?;
        }
        for machine in install.cores.iter_mut().chain(&mut install.fronts) {
            machine.start(&root)?;
            record.add(format!("{} starts", machine.name));
        }
        Ok(install)
    }

    fn add(
        &mut self,
        name: &str,
        ip: IpAddr,
        program: &str,
        text: String,
        is_core: bool,
    ) -> io::Result<()> {
        let settings = self.folder.join(format!("{name}.ini"));
        fs::write(&settings, text)?;
        let program = self.root.join("target/release").join(program);
        let machine = Machine {
            name: name.to_owned(),
            ip,
            settings,
            program,
            child: None,
        };
        match is_core {
            true => self.cores.push(machine),
            false => self.fronts.push(machine),
        }
        Ok(())
    }

    pub fn control(&self, core: usize) -> SocketAddr {
        SocketAddr::new(self.cores[core].ip, self.ports.control)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.cores.len())
            .map(|core| self.control(core))
            .collect()
    }

    pub fn front(&self, front: usize) -> SocketAddr {
        SocketAddr::new(self.fronts[front].ip, self.ports.front)
    }

    /// Kills a gateway and starts it again, as the platform does.
    pub fn restart_front(&mut self, front: usize) -> io::Result<()> {
        let machine = &mut self.fronts[front];
        machine.kill();
        thread::sleep(Duration::from_millis(300));
        machine.start(&self.root)
    }

    /// Sends a configuration to a registrar, as the operator does; returns the status.
    pub fn put_config(&self, core: usize, config: &str) -> io::Result<u16> {
        let host = self.control(core).to_string();
        let headers = [
            ("Host", host.as_str()),
            ("Content-Type", "application/json"),
        ];
        let request = http::request("PUT", "/api/config", &headers, config);
        let answer = http::exchange(self.control(core), &request, Duration::from_secs(6))?;
        Ok(answer.status())
    }

    /// Reads the configuration back.
    pub fn get_config(&self, core: usize) -> io::Result<http::Message> {
        let host = self.control(core).to_string();
        let request = http::request("GET", "/api/config", &[("Host", host.as_str())], "");
        http::exchange(self.control(core), &request, Duration::from_secs(6))
    }

    /// Sends the first configuration until it is accepted.
    pub fn first_config(&self, config: &str) -> Result<(), String> {
        let limit = Instant::now() + Duration::from_secs(20);
        while Instant::now() < limit {
            for core in 0..self.cores.len() {
                if matches!(self.put_config(core, config), Ok(200)) {
                    return Ok(());
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err("the first configuration isn't accepted".to_owned())
    }

    /// Waits until a page of each gateway's metrics has a line.
    pub fn wait_for_metric(&self, line: &str) -> Result<(), String> {
        let limit = Instant::now() + Duration::from_secs(20);
        let wanted = format!("{line}\n");
        for front in &self.fronts {
            let address = SocketAddr::new(front.ip, self.ports.ready);
            loop {
                let host = address.to_string();
                let request = http::request("GET", "/metrics", &[("Host", host.as_str())], "");
                let page = http::exchange(address, &request, Duration::from_secs(1));
                if page.is_ok_and(|page| String::from_utf8_lossy(&page.body).contains(&wanted)) {
                    break;
                }
                if Instant::now() >= limit {
                    return Err(format!("{} never has {line}", front.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }
}

impl Drop for Install {
    fn drop(&mut self) {
        for machine in self.cores.iter_mut().chain(&mut self.fronts) {
            machine.kill();
        }
        if env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("kept {}", self.folder.display());
        }
    }
}
