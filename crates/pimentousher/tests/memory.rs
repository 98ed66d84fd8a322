//! Clients outside the limits cost an entry or a control node neither its memory nor its descriptors.
//!
//! Each case runs a small crowd against lowered limits, and checks nothing that depends on the speed
//! of the machine.

mod support;

use std::{io, net, time::Duration};

use io::{Read as _, Write as _};
use support::{free_address, get_status, pimentousher, until, Daemon, TempFolder, HANG_LIMIT};
use usher_crowd::{Crowd, CrowdRequest, RequestHead};

/// Memory of the VM that the daemons are told, in MB.
const ENTRY_MB: u64 = 64;
const CONTROL_MB: u64 = 128;

/// Descriptors that the daemons are told they may open.
const DESCRIPTORS: usize = 1_200;

/// Callers of a crowd.
const CALLERS: usize = 900;

/// Largest body of a call, in bytes.
const BODY_BYTES: usize = 256 * 1_024;

/// Body that is small beside its head, in bytes.
const SMALL_BODY: usize = 2_000;

/// Headers of a head that is full of them.
const HEADERS: usize = 90;

/// Control nodes.
const NODES: usize = 3;

const SHEET: &str = "service,kind,region,model,version,adapters,prefill,decode,mixed,floor\n\
    rounds,plain,south-a,,,,0,0,1,0\n";

/// Three control nodes, an entry and a plain service.
struct Installation {
    control: Vec<Daemon>,
    entry: Daemon,
    operators: Vec<net::SocketAddr>,
    callers: net::SocketAddr,
    operator_settings: String,
    _service: Daemon,
    _folder: TempFolder,
}

impl Installation {
    fn start(name: &str) -> Self {
        let folder = TempFolder::new(name);
        let addresses: Vec<_> = (0..NODES)
            .map(|_| (free_address(), free_address()))
            .collect();
        let mut members = String::new();
        for (number, (wire, operators)) in addresses.iter().enumerate() {
            members.push_str(&format!(
                "[control.control-{number}]\naddress = {wire}\noperators = {operators}\n\
                 region = south-a\ndomain = south-a-{number}\n\n"
            ));
        }
        let vm = |memory: u64| {
            format!("[vm]\nmemory_mb = {memory}\ndescriptors = {DESCRIPTORS}\n\n{members}")
        };
        let start = |program: &str, name: &str, text: &str| {
            let settings = folder.write(&format!("{name}.ini"), text);
            let arguments = ["--settings", settings.to_str().unwrap()];
            Daemon::start(program, &arguments, &settings.with_extension("log"))
        };
        let control = (0..NODES).map(|number| {
            let text = format!(
                "[process]\nkind = control\n\n[node]\ncluster = test\nname = control-{number}\n\
                 region = south-a\ndomain = south-a-{number}\ndata = {}\n\n{}",
                folder.0.join(format!("data-{number}")).display(),
                vm(CONTROL_MB)
            );
            let program = env!("CARGO_BIN_EXE_pimentousher-control");
            start(program, &format!("control-{number}"), &text)
        });
        let control = control.collect();
        let callers = free_address();
        // The time limits don't end a crowd while the daemons are checked.
        let text = format!(
            "[process]\nkind = entry\n\n[node]\ncluster = test\nname = entry-1\nregion = south-a\n\
             domain = south-a-1\n\n[listen]\ncallers = {callers}\n\n[accounts]\n\
             cooperative = test\n\n[limits]\nbody = {} KiB\ncaller = 2m\n\n{}",
            BODY_BYTES / 1_024,
            vm(ENTRY_MB)
        );
        let entry = start(env!("CARGO_BIN_EXE_pimentousher-entry"), "entry-1", &text);
        let service = free_address().to_string();
        let arguments = [
            "--name",
            "rounds-1",
            "--bind",
            &service,
            "--entry",
            &callers.to_string(),
            "--service",
            "rounds",
        ];
        let log = folder.0.join("service.log");
        let service = Daemon::start(env!("CARGO_BIN_EXE_fake-service"), &arguments, &log);
        let operator = format!("[process]\nkind = operator\n\n{members}");
        let operator = folder.write("operator.ini", &operator);
        let installation = Self {
            control,
            entry,
            operators: addresses.iter().map(|(_, operators)| *operators).collect(),
            callers,
            operator_settings: operator.to_str().unwrap().to_owned(),
            _service: service,
            _folder: folder,
        };
        let sheet = installation._folder.write("sheet.csv", SHEET);
        until("the sheet in force", || {
            (installation.operate(&["apply", sheet.to_str().unwrap()]) == Some(0)).then_some(())
        });
        until("an answered call", || {
            (installation.call() == Some(200)).then_some(())
        });
        installation
    }

    fn operate(&self, arguments: &[&str]) -> Option<i32> {
        let mut all = arguments.to_vec();
        all.extend(["--settings", &self.operator_settings, "--timeout", "40s"]);
        pimentousher(&all).code
    }

    /// Sends an ordinary call; returns the status of its answer.
    fn call(&self) -> Option<u16> {
        let mut socket = net::TcpStream::connect(self.callers).ok()?;
        socket.set_read_timeout(Some(HANG_LIMIT)).ok()?;
        let call = "POST /svc/rounds/call-outs HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\
                    content-length: 4\r\n\r\nleak";
        socket.write_all(call.as_bytes()).ok()?;
        let mut answer = String::new();
        socket.read_to_string(&mut answer).ok()?;
        answer.split(' ').nth(1)?.parse().ok()
    }

    /// Checks that all daemons run within their memory and descriptors and are ready, and that an
    /// ordinary call and an operator are answered.
    fn check(&mut self) {
        let control = self.control.iter_mut();
        let limited = control.map(|daemon| (daemon, CONTROL_MB));
        for (daemon, limit) in limited.chain([(&mut self.entry, ENTRY_MB)]) {
            assert!(daemon.is_running());
            let (peak, open) = (
                daemon.cost().peak_memory(),
                daemon.cost().open_descriptors(),
            );
            println!("{peak} bytes of {limit} MB, {open} descriptors");
            assert!(peak < limit * 1_000_000, "used {peak} bytes of {limit} MB");
            assert!(open < DESCRIPTORS, "opened {open} descriptors");
        }
        assert_eq!(self.call(), Some(200));
        assert_eq!(get_status(self.callers, "/readyz"), Some(200));
        for operators in &self.operators {
            assert_eq!(get_status(*operators, "/readyz"), Some(200));
        }
        assert_eq!(self.operate(&["status"]), Some(0));
        assert!(self.entry.is_running());
    }
}

/// Runs a crowd against an address of an installation, and checks its daemons while the crowd stays.
fn check_crowd(
    name: &str,
    request: &CrowdRequest,
    daemon: fn(&Installation) -> (&Daemon, net::SocketAddr),
) {
    let mut installation = Installation::start(name);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let crowd = runtime.block_on(async {
        let (daemon, address) = daemon(&installation);
        let crowd = Crowd::start(address, CALLERS, std::slice::from_ref(request));
        crowd.sent(daemon.cost()).await;
        crowd
    });
    installation.check();
    drop(crowd);
    runtime.shutdown_timeout(Duration::from_secs(1));
}

fn check_entry(name: &str, request: CrowdRequest) {
    check_crowd(&format!("entry-{name}"), &request, |installation| {
        (&installation.entry, installation.callers)
    });
}

fn check_control(name: &str, request: CrowdRequest) {
    check_crowd(&format!("control-{name}"), &request, |installation| {
        (&installation.control[0], installation.operators[0])
    });
}

fn call() -> RequestHead {
    RequestHead::new("POST", "/svc/rounds/call-outs").with_header("host", "entry")
}

fn chat() -> RequestHead {
    RequestHead::new("POST", "/v1/chat/completions").with_header("host", "entry")
}

fn change() -> RequestHead {
    RequestHead::new("POST", "/v1/config")
        .with_header("host", "control")
        .with_header("content-type", "application/json")
}

/// A legal body whose parsed form is many times as large.
fn nested_body(length: usize) -> CrowdRequest {
    let begin = "{\"model\":\"gum-8b\",\"messages\":[{\"role\":\"user\",\"content\":[";
    let room = length - begin.len() - "{}]}]}".len();
    let body = format!("{begin}{}{{}}]}}]}}", "{},".repeat(room / 3));
    chat().body(body.as_bytes())
}

// Guards against callers whose limits hold for each connection alone.
usher_types::cases! { check_entry:
    entry_with_long_heads("long", call().long_head(290 * 1_024));
    entry_with_endless_heads("endless", call().endless_line(400 * 1_024));
    entry_with_empty_lines("lines", RequestHead::empty_lines(200 * 1_024));
    entry_with_full_heads("full", call().filled(HEADERS).short_body(SMALL_BODY));
    entry_with_short_bodies("bodies", call().short_body(BODY_BYTES));
    entry_with_short_bodies_of_model_calls("chat", chat().short_body(BODY_BYTES));
    entry_with_bodies_in_pieces("pieces", call().short_body_in_pieces(BODY_BYTES, 16 * 1_024));
    entry_with_large_chunks("chunks", call().short_chunks(BODY_BYTES, 64 * 1_024));
    entry_with_tiny_chunks("tiny", call().short_chunks(32 * 1_024, 1));
    entry_with_nested_bodies("nested", nested_body(BODY_BYTES));
    entry_with_silent_connections("silent", CrowdRequest::whole(Vec::new()));
    entry_with_idle_connections("idle", call().whole_body(BODY_BYTES).reading());
}

// Guards against the same at the address for operators and health checks.
usher_types::cases! { check_control:
    control_with_long_heads("long", change().long_head(290 * 1_024));
    control_with_endless_heads("endless", change().endless_line(400 * 1_024));
    control_with_empty_lines("lines", RequestHead::empty_lines(200 * 1_024));
    control_with_full_heads("full", change().filled(HEADERS).short_body(SMALL_BODY));
    control_with_short_bodies("bodies", change().short_body(BODY_BYTES));
    control_with_bodies_in_pieces("pieces", change().short_body_in_pieces(BODY_BYTES, 16 * 1_024));
    control_with_large_chunks("chunks", change().short_chunks(BODY_BYTES, 64 * 1_024));
    control_with_tiny_chunks("tiny", change().short_chunks(32 * 1_024, 1));
    control_with_silent_connections("silent", CrowdRequest::whole(Vec::new()));
}
