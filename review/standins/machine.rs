//! Machines with a node process, and the platform's part: settings, readiness, signals, memory.

use std::{
    fs::{self, File, OpenOptions},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicI32, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http::Wire, record::Record};

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn signal(number: i32, handler: extern "C" fn(i32)) -> usize;
    fn _exit(status: i32) -> !;
}

/// Processes that run, 0 for none, so that a case that fails or is stopped leaves none behind.
static RUNNING: [AtomicI32; 128] = [const { AtomicI32::new(0) }; 128];
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);
/// Longer than any case takes.
const TIME_LIMIT: Duration = Duration::from_secs(100);

fn remember(process: i32) {
    for slot in &RUNNING {
        if slot.compare_exchange(0, process, Ordering::SeqCst, Ordering::SeqCst).is_ok() {
            return;
        }
    }
}

fn forget(process: i32) {
    for slot in &RUNNING {
        let _ = slot.compare_exchange(process, 0, Ordering::SeqCst, Ordering::SeqCst);
    }
}

fn kill_left() {
    for slot in &RUNNING {
        let process = slot.swap(0, Ordering::SeqCst);
        if process > 0 {
            unsafe { kill(process, SIGKILL) };
        }
    }
}

/// Kills the processes that are left and removes the temporary folder.
pub fn end_left() {
    kill_left();
    let folder = FOLDER.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).take();
    if let Some(folder) = folder {
        let _ = fs::remove_dir_all(folder);
    }
}

extern "C" fn stop_at_signal(_signal: i32) {
    kill_left();
    unsafe { _exit(2) };
}

/// Ends all processes when this one is told to stop, or runs for too long.
pub fn guard() {
    unsafe {
        signal(SIGTERM, stop_at_signal);
        signal(SIGINT, stop_at_signal);
    }
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        end_left();
        std::process::exit(2);
    });
}

const SIGINT: i32 = 2;
pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

/// The bounds of the site that the settings of a node name.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    pub grace_s: u64,
    pub retry_window_s: u64,
    pub budget_slack: u64,
    /// The lines under `[tenants]`.
    pub tenants: &'static str,
}

/// A machine with its addresses, and the process of its node.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub app: SocketAddr,
    pub outbound: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    peer: SocketAddr,
    metrics: SocketAddr,
    folder: PathBuf,
    record: Record,
    process: Mutex<Option<Child>>,
    /// Whether clients are given work here.
    pub is_in: AtomicBool,
}

/// Returns a loopback address for machine `number` of this run.
pub fn machine_ip(number: u8) -> Ipv4Addr {
    let [_, high, low, last] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + (high ^ low) % 64, last, number)
}

fn free_address(ip: Ipv4Addr, taken: &mut Vec<TcpListener>) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = listener.local_addr().expect("address");
    taken.push(listener);
    address
}

impl Machine {
    pub fn new(number: u8, zone: &str, folder: &Path, record: &Record) -> Arc<Self> {
        let ip = machine_ip(number);
        // Held together, so that all ports differ.
        let mut taken = Vec::new();
        let mut next = || free_address(ip, &mut taken);
        Arc::new(Self {
            name: format!("sidecar-{zone}-{number}"),
            zone: zone.to_owned(),
            app: next(),
            outbound: next(),
            ready: next(),
            control: next(),
            peer: next(),
            metrics: next(),
            folder: folder.to_owned(),
            record: record.clone(),
            process: Mutex::new(None),
            is_in: AtomicBool::new(false),
        })
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.toml", self.name))
    }

    pub fn log_path(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.name))
    }

    /// Fills the template `deploy/node.toml` for this machine and starts the program of the deploy file.
    pub fn start_node(&self, service: &str, store: SocketAddr, bounds: Bounds, is_first: bool) {
        let Self { name, zone, app, outbound, ready, control, peer, metrics, .. } = self;
        let Bounds { grace_s, retry_window_s, budget_slack, tenants } = bounds;
        let first = if is_first { "new_fleet = true" } else { "" };
        let settings = format!(
            "node = \"{name}\"\nzone = \"{zone}\"\nregion = \"r\"\npeer_address = \"{peer}\"\n\
             caller_address = \"{outbound}\"\nready_address = \"{ready}\"\nreport_address = \"{control}\"\n\
             metrics_address = \"{metrics}\"\nstore_address = \"{store}\"\n{first}\n\
             stop_grace_ms = {grace_s}000\n\n[backend]\nservice = \"{service}\"\naddress = \"{app}\"\n\
             report_interval_ms = 1500\n\n[retry]\nratio = 0.2\nwindow_ms = {retry_window_s}000\n\
             slack = {budget_slack}\n\n[tenants]\n{tenants}"
        );
        fs::write(self.settings_path(), settings).expect("settings are written");
        let log = OpenOptions::new().append(true).create(true).open(self.log_path()).expect("log opens");
        let child = Command::new("target/platform/tallybridge-platform")
            .arg("node")
            .arg(self.settings_path())
            .env_clear()
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("log"))
            .stdout(log)
            .spawn()
            .expect("the program of the deploy file starts");
        self.record.line(&format!("platform: starts the node of {name} beside {service}, process {}", child.id()));
        remember(child.id() as i32);
        *self.process.lock().unwrap() = Some(child);
    }

    pub fn process_id(&self) -> Option<i32> {
        self.process.lock().unwrap().as_ref().map(|child| child.id() as i32)
    }

    pub fn signal(&self, number: i32) {
        if let Some(process) = self.process_id() {
            // The child is not reaped while the lock holds it, so the id is still its own.
            unsafe { kill(process, number) };
            self.record.line(&format!("platform: sends signal {number} to the node of {}", self.name));
        }
    }

    /// Returns whether the process has ended, and reaps it.
    pub fn has_ended(&self) -> bool {
        let mut process = self.process.lock().unwrap();
        let Some(child) = process.as_mut() else { return true };
        match child.try_wait() {
            Ok(Some(status)) => {
                self.record.line(&format!("platform: the node of {} has ended, {status}", self.name));
                forget(child.id() as i32);
                *process = None;
                true
            }
            _ => false,
        }
    }

    /// Memory of the process in megabytes, as the kernel counts it.
    pub fn memory_mb(&self) -> f64 {
        let Some(process) = self.process_id() else { return 0.0 };
        let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
        let kilobytes = line.split_whitespace().nth(1).and_then(|text| text.parse::<f64>().ok());
        kilobytes.unwrap_or(0.0) / 1024.0
    }

    pub fn is_ready(&self) -> bool {
        let answer = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500)).and_then(|stream| {
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            let mut wire = Wire::new(stream);
            wire.write(format!("GET /-/readyz HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready).as_bytes())?;
            wire.message().map(|answer| answer.status())
        });
        answer.is_ok_and(|status| status == 200)
    }

    /// Asks for readiness once a second. After two misses the machine gets no new work until it is ready
    /// again, unless fewer than half of its zone's nodes would be in (`is_alone`).
    pub fn ask_readiness(self: &Arc<Self>, is_alone: bool) {
        let machine = self.clone();
        thread::spawn(move || {
            let mut misses = 0;
            loop {
                let is_ready = machine.is_ready();
                misses = if is_ready { 0 } else { misses + 1 };
                let was_in = machine.is_in.load(Ordering::SeqCst);
                let is_in = is_ready || (was_in && (misses < 2 || is_alone));
                if is_in != was_in {
                    machine.is_in.store(is_in, Ordering::SeqCst);
                    let state = if is_in { "in" } else { "out" };
                    machine.record.line(&format!("platform: {} is {state}", machine.name));
                } else if misses == 2 {
                    machine.record.line(&format!(
                        "platform: {} misses twice and stays in, the only node of its zone",
                        machine.name
                    ));
                }
                thread::sleep(Duration::from_secs(1));
            }
        });
    }

    /// Copies the log lines of the node into the record.
    pub fn copy_log(&self) {
        let log = fs::read_to_string(self.log_path()).unwrap_or_default();
        for line in log.lines() {
            self.record.line(&format!("log of {}: {line}", self.name));
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        end(&self.process);
    }
}

fn end(process: &Mutex<Option<Child>>) {
    if let Some(mut child) = process.lock().unwrap().take() {
        let _ = child.kill();
        let _ = child.wait();
        forget(child.id() as i32);
    }
}

/// Ends the processes of all machines.
pub fn end_all(machines: &[Arc<Machine>]) {
    for machine in machines {
        end(&machine.process);
    }
}

/// Waits until a condition holds, for at most `limit`.
pub fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let ends_at = Instant::now() + limit;
    while Instant::now() < ends_at {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    condition()
}

/// Creates an empty folder for the settings and logs of one run.
pub fn temporary_folder(case: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("temporary folder");
    // Shows early that the folder can be written.
    File::create(folder.join("started")).expect("temporary file");
    *FOLDER.lock().unwrap() = Some(folder.clone());
    folder
}

pub fn loopback(ip: Ipv4Addr) -> String {
    IpAddr::V4(ip).to_string()
}
