//! What is left of what gets old.

use std::time::Duration;

/// Returns the share that is left after `age` of what is halved each time `half_life` has passed.
pub(crate) fn left(age: Duration, half_life: Duration) -> f64 {
    if age.is_zero() {
        return 1.0;
    }
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
