//! How much of what was learned still counts.

use std::time::Duration;

/// Returns the share that remains after `age` of what is halved each time `half_life` has passed.
pub(crate) fn remaining(age: Duration, half_life: Duration) -> f64 {
    if age.is_zero() {
        return 1.0;
    }
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
