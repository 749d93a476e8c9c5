//! The cost of a call: the time for which the call and its nested calls hold slots of each service.
//!
//! Executors add up these times, and entries estimate the cost of a route's requests from the sums
//! ([`crate::tables::admission`]).

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use deku::prelude::*;

use super::codec::{put_fields, take_bytes, take_fields};

/// Maximum number of services whose slot times are sent with an answer. Other services count as
/// costing nothing. The largest supported site has 54 services.
const MAX_SERVICES: usize = 64;

/// Slot time of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceTime {
    /// Name of the service.
    pub service: Arc<str>,
    /// Time for which slots were held, summed over all calls to the service.
    pub held: Duration,
}

/// Time for which a call and its nested calls held slots, by service. Executors send it with the
/// answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotTimes(Vec<ServiceTime>);

impl SlotTimes {
    /// Adds the time for which one call held a slot of `service`.
    pub fn add(&mut self, service: &Arc<str>, held: Duration) {
        match self.0.iter_mut().find(|time| time.service == *service) {
            Some(time) => time.held += held,
            None => self.0.push(ServiceTime {
                service: service.clone(),
                held,
            }),
        }
    }

    /// Adds the times of a nested call, for each service.
    pub fn add_all(&mut self, nested: &Self) {
        for time in nested.iter() {
            self.add(&time.service, time.held);
        }
    }

    /// Iterates over the services, each of which occurs once.
    pub fn iter(&self) -> impl Iterator<Item = &ServiceTime> {
        self.0.iter()
    }

    /// Returns the time for which slots of `service` were held; zero if the service is not listed.
    #[must_use]
    pub fn get(&self, service: &str) -> Duration {
        let entry = self.0.iter().find(|time| *time.service == *service);
        entry.map_or(Duration::ZERO, |time| time.held)
    }
}

impl FromIterator<ServiceTime> for SlotTimes {
    fn from_iter<I: IntoIterator<Item = ServiceTime>>(times: I) -> Self {
        let mut slot_times = Self::default();
        for time in times {
            slot_times.add(&time.service, time.held);
        }
        slot_times
    }
}

/// Fixed fields of a [`ServiceTime`], which precede the name of the service.
#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct ServiceTimeFields {
    held_us: u32,
    service_length: u8,
}

impl SlotTimes {
    /// Returns the times that are sent. A service whose name does not fit the length field is skipped,
    /// so its calls count as costing nothing.
    fn encoded(&self) -> impl Iterator<Item = &ServiceTime> {
        let name_fits = |time: &&ServiceTime| time.service.len() <= u8::MAX.into();
        self.0.iter().filter(name_fits).take(MAX_SERVICES)
    }

    /// Returns the number of services that [`Self::encode`] writes.
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
