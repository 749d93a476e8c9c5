//! What a call costs: the time for which it holds slots of each service that it needs.
//!
//! Executors add up the times of a call and of the calls below it; entries learn from the sum what a
//! request of a route costs ([`crate::tables::admission`]).

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use deku::prelude::*;

use super::codec::{put_fields, take_bytes, take_fields};

/// Most services whose slot times are sent with an answer; the others count as costing nothing.
/// The largest site that the system is designed for has 54 services.
const MAX_SERVICES: usize = 64;

/// Time for which slots of one service were held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceTime {
    /// The service.
    pub service: Arc<str>,
    /// The time, summed over all calls to the service.
    pub held: Duration,
}

/// Time for which a call and all calls below it held slots, by service. It is sent with the answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotTimes(Vec<ServiceTime>);

impl SlotTimes {
    /// Adds the time of one more call.
    pub fn add(&mut self, service: &Arc<str>, held: Duration) {
        match self.0.iter_mut().find(|time| time.service == *service) {
            Some(time) => time.held += held,
            None => self.0.push(ServiceTime {
                service: service.clone(),
                held,
            }),
        }
    }

    /// Adds all times of a nested call.
    pub fn add_all(&mut self, nested: &Self) {
        for time in nested.iter() {
            self.add(&time.service, time.held);
        }
    }

    /// The times, each service once.
    pub fn iter(&self) -> impl Iterator<Item = &ServiceTime> {
        self.0.iter()
    }

    /// Time for which slots of a service were held; zero if none were.
    #[must_use]
    pub fn of(&self, service: &str) -> Duration {
        let found = self.0.iter().find(|time| *time.service == *service);
        found.map_or(Duration::ZERO, |time| time.held)
    }
}

impl FromIterator<ServiceTime> for SlotTimes {
    fn from_iter<I: IntoIterator<Item = ServiceTime>>(times: I) -> Self {
        let mut all = Self::default();
        for time in times {
            all.add(&time.service, time.held);
        }
        all
    }
}

/// One entry of the slot times on the wire: the name of the service follows.
#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct ServiceTimeFields {
    held_us: u32,
    service_length: u8,
}

impl SlotTimes {
    /// The entries that are sent. A service whose name is too long for its length field is left
    /// out: its calls count as costing nothing.
    fn encoded(&self) -> impl Iterator<Item = &ServiceTime> {
        let fits = |time: &&ServiceTime| time.service.len() <= u8::MAX.into();
        self.0.iter().filter(fits).take(MAX_SERVICES)
    }

    /// Number of entries that [`Self::encode`] writes; it stands in the fields before them.
    pub(super) fn encoded_count(&self) -> u8 {
        self.encoded().count() as u8
    }

    pub(super) fn encode(&self, out: &mut Vec<u8>) {
        for time in self.encoded() {
            let name = time.service.as_bytes();
            let fields = ServiceTimeFields {
                held_us: u32::try_from(time.held.as_micros()).unwrap_or(u32::MAX),
                service_length: name.len() as u8,
            };
            put_fields(&fields, out);
            out.extend_from_slice(name);
        }
    }

    pub(super) fn decode(payload: &mut Bytes, count: u8) -> Option<Self> {
        (0..count).map(|_| ServiceTime::decode(payload)).collect()
    }
}

impl ServiceTime {
    fn decode(payload: &mut Bytes) -> Option<Self> {
        let fields: ServiceTimeFields = take_fields(payload)?;
        let name = take_bytes(payload, fields.service_length.into())?;
        Some(Self {
            service: std::str::from_utf8(&name).ok()?.into(),
            held: Duration::from_micros(fields.held_us.into()),
        })
    }
}
