//! Node processes, started with the command and the settings template of the deploy files.

use std::{
    fs::{self, OpenOptions},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use crate::{CHILDREN, http::call_once};

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

const OUTBOUND: u16 = 8304;
const READY: u16 = 8302;
const CONTROL: u16 = 8306;
const APP: u16 = 8301;
const INTERNAL: [u16; 2] = [7620, 7635];

/// Sends a signal to a process that this one started and that has not been reaped.
pub fn send_signal(process: u32, signal: i32) {
    // SAFETY: `kill` takes plain numbers.
    unsafe { kill(process as i32, signal) };
}

/// Kills a child and reaps it.
pub fn end(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
    CHILDREN.lock().unwrap().retain(|id| *id != child.id());
}

pub struct Node {
    pub ip: IpAddr,
    pub name: String,
    settings: PathBuf,
    log: PathBuf,
    command: Vec<String>,
    child: Option<Child>,
}

/// What the platform fills into the template, beside what is the same in all cases.
pub struct Place<'a> {
    pub index: usize,
    pub zone: &'a str,
    pub service: &'a str,
    pub store: SocketAddr,
    pub has_tenants: bool,
}

/// An address on the loopback interface that depends on this process.
pub fn ip(index: usize) -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 64 + high % 64, low, 1 + index as u8))
}

impl Node {
    pub fn prepare(root: &Path, folder: &Path, place: &Place) -> Result<Self, String> {
        let ip = ip(place.index);
        let name = format!("sidecar-{}-{}", place.zone, place.index + 1);
        let deploy = fs::read_to_string(root.join("deploy/system.toml"));
        let deploy = deploy.map_err(|error| format!("deploy/system.toml: {error}"))?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run
            .ok_or("deploy/system.toml has no `run`")?
            .trim_matches('"');
        let settings = folder.join(format!("{name}.toml"));
        let mut command: Vec<String> = run.split(' ').map(str::to_owned).collect();
        // The platform lays the settings at a fixed path, which only a machine of its own has.
        if let Some(last) = command.last_mut() {
            *last = settings.display().to_string();
        }
        let text = fs::read_to_string(root.join("deploy/node.toml"));
        let text = text.map_err(|error| format!("deploy/node.toml: {error}"))?;
        fs::write(&settings, fill(&text, &name, ip, place)?).map_err(|error| error.to_string())?;
        Ok(Self {
            ip,
            log: folder.join(format!("{name}.log")),
            name,
            settings,
            command,
            child: None,
        })
    }

    pub fn outbound(&self) -> SocketAddr {
        SocketAddr::new(self.ip, OUTBOUND)
    }

    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CONTROL)
    }

    pub fn app(&self) -> SocketAddr {
        SocketAddr::new(self.ip, APP)
    }

    pub fn start(&mut self, root: &Path) -> Result<(), String> {
        let log = OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.map_err(|error| error.to_string())?;
        let copy = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(root.join(&self.command[0]))
            .args(&self.command[1..])
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(copy)
            .env("TALLYBRIDGE_BOOT", &self.settings)
            .spawn();
        let child = child.map_err(|error| format!("{}: {error}", self.command[0]))?;
        CHILDREN.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            send_signal(child.id(), signal);
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            end(&mut child);
        }
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip, READY);
        let head = "GET /-/readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
        let answer = call_once(address, head, b"", Duration::from_millis(900));
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Fills the template as DEPLOY.md tells: gaps, and sections that stand if a value is given.
fn fill(template: &str, name: &str, ip: IpAddr, place: &Place) -> Result<String, String> {
    let tenants = |text: &str| place.has_tenants.then(|| text.to_owned());
    let value = |field: &str| -> Option<String> {
        Some(match field {
            "node_name" => name.to_owned(),
            "zone" => place.zone.to_owned(),
            "region" => "rs-porto-alegre".to_owned(),
            "ip" => ip.to_string(),
            "internal_port_range.0" => INTERNAL[0].to_string(),
            "internal_port_range.1" => INTERNAL[1].to_string(),
            "listeners_config.outbound" => format!("{ip}:{OUTBOUND}"),
            "listeners_config.ready" => format!("{ip}:{READY}"),
            "listeners_config.control_plane" => format!("{ip}:{CONTROL}"),
            "platform.address" => place.store.to_string(),
            "is_first_start" => return None,
            "bounds.grace_s" => "6".to_owned(),
            "limits.memory_mb" => "260".to_owned(),
            "service" => place.service.to_owned(),
            "app_address" => format!("{ip}:{APP}"),
            "heartbeat_ms" => "1500".to_owned(),
            "bounds.retry_budget_ratio" => "0.2".to_owned(),
            "bounds.retry_window_s" => "10".to_owned(),
            "bounds.budget_slack" => "55".to_owned(),
            "bounds.revoke_fail_closed" => return tenants("true"),
            "bounds.revoke_ms" => return tenants("5000"),
            "bounds.quota_window_s" => return tenants("5"),
            "bounds.quota_overage" => return tenants("0.1"),
            "bounds.quota_slack" => return tenants("20"),
            _ => return None,
        })
    };
    let mut text = template.to_owned();
    while let Some(from) = text.find("{{#") {
        let end = text[from..].find("}}").ok_or("open section")? + from;
        let field = text[from + 3..end].to_owned();
        let close = format!("{{{{/{field}}}}}");
        let until = text.find(&close).ok_or("unclosed section")?;
        let inner = text[end + 2..until].to_owned();
        let kept = if value(&field).is_some() {
            inner
        } else {
            String::new()
        };
        text.replace_range(from..until + close.len(), &kept);
    }
    while let Some(from) = text.find("{{") {
        let end = text[from..].find("}}").ok_or("open gap")? + from;
        let filled = value(&text[from + 2..end]).unwrap_or_default();
        text.replace_range(from..end + 2, &filled);
    }
    if let Ok(level) = std::env::var("RIG_LOG") {
        text.insert_str(0, &format!("log = \"{level}\"\n"));
    }
    Ok(text)
}
