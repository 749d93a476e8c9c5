//! A stand-in of the platform's metadata store: keys, leases and watches, as PROTOCOL.md tells them.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, Peer},
    json::{self, Json},
};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    made: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Revision and key of each change.
    history: Vec<(u64, String)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    revision: u64,
    next_lease: u64,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    /// Number of times at which all open connections went silent.
    silences: AtomicU64,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            state: Mutex::new(State {
                revision: 1,
                ..State::default()
            }),
            changed: Condvar::new(),
            silences: AtomicU64::new(0),
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Peer::new(stream)));
            }
        });
        store
    }

    /// Writes a key as the operator does. The return is the acknowledgement.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut state = self.state.lock().unwrap();
        state.put(key, json::base64(value), 0);
        drop(state);
        self.changed.notify_all();
    }

    /// Lets all open connections go silent for good, without a reset. New ones work.
    pub fn silence_connections(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }

    /// Keeps a connection open that went silent, and says nothing more on it.
    fn rest_if_silent(&self, since: u64) {
        while self.silences.load(Ordering::SeqCst) != since {
            thread::sleep(Duration::from_secs(1));
        }
    }

    fn serve(&self, mut peer: Peer) {
        let since = self.silences.load(Ordering::SeqCst);
        while let Ok(request) = peer.read() {
            self.rest_if_silent(since);
            let (status, body) = self.answer(&request);
            self.rest_if_silent(since);
            let head = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if peer.write(&head, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut found = pairs.filter(|(key, _)| *key == name);
            found.next().map_or("", |(_, value)| value)
        };
        let mut state = self.state.lock().unwrap();
        state.expire();
        match (request.word(0), path) {
            ("GET", "/-/kv-key") => {
                let key = parameter("tls_key");
                let at = state.revision;
                match state.items.get(key) {
                    Some(item) => {
                        let item = item.json(key);
                        (200, format!("{},\"at\":{at}}}", &item[..item.len() - 1]))
                    }
                    None => (404, format!("{{\"at\":{at}}}")),
                }
            }
            ("GET", "/-/kv-range") => {
                let (prefix, after) = (parameter("path_prefix"), parameter("after"));
                let found = state.items.iter();
                let found =
                    found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
                let found: Vec<String> = found.map(|(key, item)| item.json(key)).collect();
                let items = found[..found.len().min(500)].join(",");
                let more = found.len() > 500;
                let at = state.revision;
                let body = format!("{{\"items\":[{items}],\"more\":{more},\"at\":{at}}}");
                (200, body)
            }
            ("GET", "/-/kv-watch") => {
                let after: u64 = parameter("after").parse().unwrap_or(0);
                let wait: u64 = parameter("wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let prefix = parameter("path_prefix");
                    let news = state.history.iter();
                    let news = news.filter(|(at, key)| *at > after && key.starts_with(prefix));
                    let events: Vec<String> = news
                        .map(|(at, key)| match state.items.get(key) {
                            Some(item) => item.json(key),
                            None => {
                                format!("{{\"tls_key\":\"{key}\",\"revision\":{at},\"gone\":true}}")
                            }
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let events = events.join(",");
                        let at = state.revision;
                        return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/-/kv-txn") => {
                let body = json::parse(&request.body);
                let puts = body.get("put").list();
                let is_lost = |put: &Json| {
                    let lease = put.get("lease").number();
                    lease != 0 && !state.leases.contains_key(&lease)
                };
                if puts.iter().any(is_lost) {
                    return (404, "{}".to_owned());
                }
                for put in puts {
                    let (key, value) = (put.get("tls_key").text(), put.get("value").text());
                    state.put(key, value.to_owned(), put.get("lease").number());
                }
                for key in body.get("remove").list() {
                    state.remove(key.text());
                }
                let revision = state.revision;
                drop(state);
                self.changed.notify_all();
                (200, format!("{{\"revision\":{revision}}}"))
            }
            ("POST", "/-/kv-lease") => {
                let ttl = json::parse(&request.body).get("ttl_ms").number();
                let ttl = ttl.clamp(1000, 600_000);
                state.next_lease += 1;
                let lease = state.next_lease;
                let length = Duration::from_millis(ttl);
                state
                    .leases
                    .insert(lease, (Instant::now() + length, length));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                match state.leases.get_mut(&last_number(path)) {
                    Some((until, length)) => {
                        *until = Instant::now() + *length;
                        (200, format!("{{\"ttl_ms\":{}}}", length.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let lease = last_number(path);
                if state.leases.remove(&lease).is_none() {
                    return (404, "{}".to_owned());
                }
                state.end_lease(lease);
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

fn last_number(path: &str) -> u64 {
    let last = path.rsplit('/').next().unwrap_or("");
    last.parse().unwrap_or(0)
}

impl Item {
    fn json(&self, key: &str) -> String {
        let Self {
            value,
            revision,
            made,
            lease,
        } = self;
        format!(
            "{{\"tls_key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"made\":{made},\"lease\":{lease}}}"
        )
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let made = self.items.get(key).map_or(revision, |item| item.made);
        let item = Item {
            value,
            revision,
            made,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        self.history.push((revision, key.to_owned()));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned()));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over = self.leases.iter().filter(|(_, (until, _))| *until < now);
        let over: Vec<u64> = over.map(|(lease, _)| *lease).collect();
        for lease in over {
            self.leases.remove(&lease);
            self.end_lease(lease);
        }
    }
}
