//! How many of the calls handed to the back end end badly.

/// Weight of the newest call in the share.
const GAIN: f64 = 0.08;
/// A back end above this share is told of as failing.
const FAILING_FROM: f64 = 0.3;
/// One below this share is told of as sound again.
const SOUND_FROM: f64 = 0.1;

/// What a call changed in the belief about a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureRateChange {
    /// It fails many of its calls now.
    Began,
    /// It does not any more.
    Ended,
}

/// Share of the calls handed to a back end that ended badly, the newest counting most. It changes
/// with calls only: one that gets none has shown nothing new.
#[derive(Debug, Clone, Copy, Default)]
pub struct FailureRate {
    share: f64,
    is_failing: bool,
}

impl FailureRate {
    /// A call ended.
    pub fn ended(&mut self, badly: bool) -> Option<FailureRateChange> {
        let sample = if badly { 1.0 } else { 0.0 };
        self.share += (sample - self.share) * GAIN;
        if !self.is_failing && self.share > FAILING_FROM {
            self.is_failing = true;
            return Some(FailureRateChange::Began);
        }
        if self.is_failing && self.share < SOUND_FROM {
            self.is_failing = false;
            return Some(FailureRateChange::Ended);
        }
        None
    }

    /// The share, 0 to 1.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.share
    }

    /// Another instance has the place of the one that calls were handed to.
    pub fn forget(&mut self) {
        *self = Self::default();
    }
}
