//! Exponential decay of old measurements.

use std::time::Duration;

/// Returns the weight that remains after `age`, given the half-life.
pub(crate) fn remaining(age: Duration, half_life: Duration) -> f64 {
    if age.is_zero() {
        return 1.0;
    }
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
