//! Stand-in of a back end beside a node. It follows PROTOCOL.md, "Backends" and "Service discovery".

use std::{
    collections::HashMap,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use crate::{http::Wire, record::Record};

const HEARTBEAT: Duration = Duration::from_millis(1500);

/// How a request is run: the time it takes and the size of its answer.
pub type Work = Arc<dyn Fn(&str) -> (Duration, usize) + Send + Sync>;

/// A request that a back end ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub attempt: String,
    pub target: String,
    pub service: String,
    pub instance: String,
    pub at: f64,
}

pub struct Settings {
    pub service: String,
    pub instance: String,
    pub zone: String,
    pub slots: u32,
    pub address: SocketAddr,
    /// Address to which the heartbeats go.
    pub report: SocketAddr,
}

/// One incarnation of a back end.
#[derive(Clone)]
pub struct Backend {
    settings: Arc<Settings>,
    work: Work,
    record: Record,
    has_ended: Arc<AtomicBool>,
    connections: Arc<Mutex<HashMap<u64, TcpStream>>>,
    next_connection: Arc<AtomicU64>,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Backend {
    pub fn start(settings: Settings, work: Work, record: &Record, runs: &Arc<Mutex<Vec<Run>>>) -> Self {
        let listener = TcpListener::bind(settings.address).expect("back end binds");
        record.line(&format!(
            "back end {} of {} starts at {}",
            settings.instance, settings.service, settings.address
        ));
        let backend = Self {
            settings: Arc::new(settings),
            work,
            record: record.clone(),
            has_ended: Arc::default(),
            connections: Arc::default(),
            next_connection: Arc::default(),
            runs: runs.clone(),
        };
        let accepting = backend.clone();
        thread::spawn(move || accepting.accept(listener));
        let beating = backend.clone();
        thread::spawn(move || beating.send_heartbeats());
        backend
    }

    /// Ends the back end as a crash does: its port and its connections close.
    pub fn crash(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then closes the port.
        let _ = TcpStream::connect(self.settings.address);
        for (_, connection) in self.connections.lock().unwrap().drain() {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.line(&format!(
            "back end {} of {} has crashed",
            self.settings.instance, self.settings.service
        ));
    }

    fn accept(&self, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let number = self.next_connection.fetch_add(1, Ordering::SeqCst);
            if let Ok(copy) = stream.try_clone() {
                self.connections.lock().unwrap().insert(number, copy);
            }
            let backend = self.clone();
            thread::spawn(move || {
                backend.serve(Wire::new(stream));
                backend.connections.lock().unwrap().remove(&number);
            });
        }
    }

    /// Serves one request at a time until the other side closes.
    fn serve(&self, mut wire: Wire) {
        let Settings { service, instance, .. } = &*self.settings;
        while let Ok(request) = wire.message() {
            if request.target() == "/healthz" {
                let headers = format!("X-Instance-Id: {instance}\r\n");
                if wire.answer("200 OK", &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            let attempt = request.header("x-attempt-id").unwrap_or_default().to_owned();
            let expected = request.header("x-expect-instance");
            if expected.is_some_and(|expected| expected != instance) {
                self.record.line(&format!(
                    "back end {instance} of {service} turns {attempt} away: it expects {}",
                    expected.unwrap_or_default()
                ));
                let headers = format!(
                    "X-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\nX-Instance-Id: {instance}\r\nKeep-Alive: timeout=10\r\n"
                );
                if wire.answer("421 Misdirected Request", &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            let run = Run {
                attempt: attempt.clone(),
                target: request.target().to_owned(),
                service: service.clone(),
                instance: instance.clone(),
                at: self.record.seconds(),
            };
            self.record.line(&format!(
                "back end {instance} of {service} runs {attempt} {} {}",
                request.method(),
                request.target()
            ));
            self.runs.lock().unwrap().push(run);
            let (time, size) = (self.work)(request.target());
            thread::sleep(time);
            let headers = format!(
                "X-Attempt-Id: {attempt}\r\nX-Server-Signature: {instance}.{attempt}\r\nKeep-Alive: timeout=10\r\n"
            );
            if wire.answer("200 OK", &headers, &vec![b'x'; size]).is_err() {
                self.record.line(&format!("back end {instance} could not write its answer to {attempt}"));
                return;
            }
        }
    }

    fn send_heartbeats(&self) {
        let Settings { service, instance, zone, slots, address, report } = &*self.settings;
        for sequence in 1_u64.. {
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let body = format!(
                "{{\"address\":\"{address}\",\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":{slots}}},\"status\":{{\"state\":\"ready\",\"call_seq\":{sequence},\"cold_remaining_ms\":0}}}}"
            );
            let request = format!(
                "POST /-/Instances.Heartbeat/{instance} HTTP/1.1\r\nHost: {report}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let status = TcpStream::connect_timeout(report, Duration::from_secs(1)).and_then(|stream| {
                stream.set_read_timeout(Some(Duration::from_secs(1)))?;
                let mut wire = Wire::new(stream);
                wire.write(request.as_bytes())?;
                wire.message().map(|answer| answer.status())
            });
            match status {
                Ok(200) if sequence > 1 => {}
                Ok(status) => self.record.line(&format!("heartbeat of {instance} of {service}: {status}")),
                Err(error) => self.record.line(&format!("heartbeat of {instance} of {service}: {error}")),
            }
            thread::sleep(HEARTBEAT);
        }
    }
}
