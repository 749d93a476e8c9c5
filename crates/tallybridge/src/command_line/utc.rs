//! Times for people.

use std::fmt;

const MS_OF_SECOND: u64 = 1_000;
const SECONDS_OF_DAY: u64 = 86_400;

/// A time as RFC 3339 writes it, in UTC.
#[derive(Debug, Clone, Copy)]
pub struct Utc {
    /// Milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

impl fmt::Display for Utc {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.unix_ms / MS_OF_SECOND;
        let (year, month, day) = civil_date(seconds / SECONDS_OF_DAY);
        let second_of_day = seconds % SECONDS_OF_DAY;
        write!(
            formatter,
            "{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}.{:03}Z",
            second_of_day / 3_600,
            second_of_day / 60 % 60,
            second_of_day % 60,
            self.unix_ms % MS_OF_SECOND
        )
    }
}

/// Year, month and day of a day since the Unix epoch, by `civil_from_days` of Howard Hinnant,
/// "chrono-Compatible Low-Level Date Algorithms" (2013): years there start in March, so that the
/// leap day comes last.
const fn civil_date(day_since_epoch: u64) -> (u64, u64, u64) {
    const DAYS_FROM_YEAR_0_TO_EPOCH: u64 = 719_468;
    const DAYS_OF_ERA: u64 = 146_097;
    const YEARS_OF_ERA: u64 = 400;
    let days = day_since_epoch + DAYS_FROM_YEAR_0_TO_EPOCH;
    let era = days / DAYS_OF_ERA;
    let day_of_era = days % DAYS_OF_ERA;
    let leap_days = day_of_era / 1_460 - day_of_era / 36_524 + day_of_era / 146_096;
    let year_of_era = (day_of_era - leap_days) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = (month_from_march + 2) % 12 + 1;
    let starts_before_march = if month <= 2 { 1 } else { 0 };
    let year = year_of_era + era * YEARS_OF_ERA + starts_before_march;
    (year, month, day)
}
