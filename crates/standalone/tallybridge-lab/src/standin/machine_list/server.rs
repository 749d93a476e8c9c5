//! The running stand-in.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{net::TcpListener, time::Instant};
use tokio_util::sync::{CancellationToken, DropGuard};
use warp::{Filter, Reply, filters::BoxedFilter, http::StatusCode, reply::Response};

use super::{lagging::LaggingList, machine::Machine};

/// Options of one stand-in of the machine list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineListOptions {
    /// Address to listen on; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Time until a change shows up.
    pub lag: Duration,
}

impl Default for MachineListOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            lag: Duration::ZERO,
        }
    }
}

type SharedList = Arc<Mutex<LaggingList>>;

/// A stand-in of the machine list that runs until it is dropped.
#[derive(Debug)]
pub struct MachineListStandin {
    address: SocketAddr,
    list: SharedList,
    _stop: DropGuard,
}

impl MachineListStandin {
    /// Starts a stand-in on the current tokio runtime.
    ///
    /// # Errors
    ///
    /// When the address can't be listened on.
    pub async fn serve(options: MachineListOptions) -> std::io::Result<Self> {
        let listener = TcpListener::bind(options.listen).await?;
        let address = listener.local_addr()?;
        let list = Arc::new(Mutex::new(LaggingList::new(options.lag)));
        let stop = CancellationToken::new();
        let server = warp::serve(routes(&list))
            .incoming(listener)
            .graceful(stop.clone().cancelled_owned())
            .run();
        tokio::spawn(server);
        Ok(Self {
            address,
            list,
            _stop: stop.drop_guard(),
        })
    }

    /// The address it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the list, as `PUT /machines` does.
    pub fn put(&self, machines: Vec<Machine>) {
        lock(&self.list).put(machines, Instant::now());
    }
}

fn lock(list: &SharedList) -> MutexGuard<'_, LaggingList> {
    list.lock().unwrap_or_else(PoisonError::into_inner)
}

fn routes(list: &SharedList) -> BoxedFilter<(Response,)> {
    let shown = Arc::clone(list);
    let get = warp::path!("v1" / "machines")
        .and(warp::get())
        .map(move || warp::reply::json(&lock(&shown).shown(Instant::now())).into_response());
    let written = Arc::clone(list);
    let put = warp::path!("machines")
        .and(warp::put())
        .and(warp::body::json())
        .map(move |machines: Vec<Machine>| {
            lock(&written).put(machines, Instant::now());
            StatusCode::OK.into_response()
        });
    get.or(put).unify().boxed()
}
