//! The clock that goes on while the instance is suspended, in one place.

use sailtrack_units::Moment;

/// Returns the present moment.
pub(crate) fn now() -> Moment {
    Moment::now()
}
