//! How busy a back end is, as the node beside it sees it. It is sent with each answer and status.

use deku::prelude::*;

/// Calls that run at a back end or wait in front of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub struct Load {
    /// Calls that may be with the back end at once; 0 while it takes none.
    pub limit: u16,
    /// Calls that are with the back end.
    pub in_flight: u16,
    /// Calls that wait in front of it.
    pub queued: u16,
    /// Mean time that waiting calls wait, in milliseconds.
    pub wait_ms: u16,
    /// Mean time that calls are with the back end, in milliseconds; 0 while unknown.
    pub service_ms: u16,
    /// Share of the calls dispatched to the back end that end badly, in 255ths; the newest count most.
    pub failing: u8,
    /// Work that arrives, what is refused included, as a share of what the back end can do, in
    /// hundredths.
    pub offered: u16,
}

impl Load {
    /// The share, 0 to 1, that a value on the wire stands for.
    #[must_use]
    pub fn share_of(wire: u8) -> f64 {
        f64::from(wire) / f64::from(u8::MAX)
    }

    /// The value on the wire of a share, 0 to 1.
    #[must_use]
    pub fn wire_of(share: f64) -> u8 {
        (share.clamp(0.0, 1.0) * f64::from(u8::MAX)).round() as u8
    }

    /// Share of the calls dispatched to the back end that end badly, 0 to 1.
    #[must_use]
    pub fn failing_share(self) -> f64 {
        Self::share_of(self.failing)
    }

    /// Work that arrives as a multiple of what the back end can do.
    #[must_use]
    pub fn offered_share(self) -> f64 {
        f64::from(self.offered) / 100.0
    }

    /// Calls as a multiple of the limit, counting `more` that were sent since this load was measured.
    #[must_use]
    pub fn utilization(self, more: u32) -> f64 {
        let calls = u32::from(self.in_flight) + u32::from(self.queued) + more;
        f64::from(calls) / f64::from(self.limit.max(1))
    }
}
