//! Load of a back end as measured by its node and sent with each answer, refusal and status.

use deku::prelude::*;

/// Load of a back end: running and queued calls, their times, and recent failures.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub struct Load {
    /// Maximum number of concurrent calls; 0 while the back end accepts none.
    pub limit: u16,
    /// Calls that run at the back end.
    pub in_flight: u16,
    /// Calls that wait for a slot.
    pub queued: u16,
    /// Mean queueing time of a call, in milliseconds.
    pub wait_ms: u16,
    /// Mean time that a call runs at the back end, in milliseconds; 0 while unknown.
    pub service_ms: u16,
    /// Failure rate of dispatched calls in 255ths, weighted towards recent calls.
    pub failing: u8,
    /// Offered load in percent of the back end's capacity, including refused calls.
    pub offered: u16,
}

impl Load {
    /// Converts a value of [`Self::failing`] to a share between 0 and 1.
    #[must_use]
    pub fn share_from_wire(wire: u8) -> f64 {
        f64::from(wire) / f64::from(u8::MAX)
    }

    /// Converts a share to a value of [`Self::failing`], clamping the share to 0 to 1.
    #[must_use]
    pub fn share_to_wire(share: f64) -> u8 {
        (share.clamp(0.0, 1.0) * f64::from(u8::MAX)).round() as u8
    }

    /// Converts an offered load, as a multiple of the capacity, to a value of [`Self::offered`].
    #[must_use]
    pub fn offered_to_wire(offered: f64) -> u16 {
        (offered * 100.0) as u16
    }

    /// Returns the failure rate of dispatched calls, between 0 and 1.
    #[must_use]
    pub fn failure_rate(self) -> f64 {
        Self::share_from_wire(self.failing)
    }

    /// Returns the offered load as a multiple of the back end's capacity.
    #[must_use]
    pub fn offered_load(self) -> f64 {
        f64::from(self.offered) / 100.0
    }

    /// Returns running and queued calls as a multiple of the limit, including `unreported` calls sent
    /// since this load was reported.
    #[must_use]
    pub fn utilization(self, unreported: u32) -> f64 {
        let calls = u32::from(self.in_flight) + u32::from(self.queued) + unreported;
        f64::from(calls) / f64::from(self.limit.max(1))
    }
}
