//! How many of the calls handed to the back end end badly.

/// Weight of the newest call in the share.
const GAIN: f64 = 0.08;

/// Share of the calls handed to a back end that ended badly, the newest counting most. It changes
/// with calls only: one that gets none has shown nothing new.
#[derive(Debug, Clone, Copy, Default)]
pub struct FailingShare(f64);

impl FailingShare {
    /// A call ended.
    pub fn ended(&mut self, badly: bool) {
        let sample = if badly { 1.0 } else { 0.0 };
        self.0 += (sample - self.0) * GAIN;
    }

    /// The share, 0 to 1.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }

    /// Another instance has the place of the one that calls were handed to.
    pub fn forget(&mut self) {
        self.0 = 0.0;
    }
}
