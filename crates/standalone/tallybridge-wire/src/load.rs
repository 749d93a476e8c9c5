//! Wire form of load reports.

use deku::prelude::*;
use tallybridge_core::{Criticality, LoadReport};

/// A [`LoadReport`] in its wire form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub struct WireLoad {
    in_flight: u16,
    limit: u16,
    queued: u16,
    admitted_from: u8,
    leaving: u8,
}

/// Wire value of `admitted_from` when no criticality class is admitted.
const NONE_ADMITTED: u8 = u8::MAX;

impl From<LoadReport> for WireLoad {
    fn from(load: LoadReport) -> Self {
        Self {
            in_flight: load.in_flight,
            limit: load.limit,
            queued: load.queued,
            admitted_from: load
                .admitted_from
                .map_or(NONE_ADMITTED, |class| class as u8),
            leaving: u8::from(load.leaving),
        }
    }
}

impl From<WireLoad> for LoadReport {
    fn from(load: WireLoad) -> Self {
        Self {
            in_flight: load.in_flight,
            limit: load.limit,
            queued: load.queued,
            admitted_from: Criticality::from_wire(load.admitted_from),
            leaving: load.leaving != 0,
        }
    }
}
