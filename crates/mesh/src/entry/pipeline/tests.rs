use super::*;

/// A pipeline with two idempotent requests.
const IDEMPOTENT: State = State {
    count: 2,
    is_exclusive: false,
    lifecycle: Lifecycle::Open,
    pending_response_bytes: 0,
    is_node_full: false,
};

#[test]
fn empty_line() {
    let empty = State::default();
    assert!(empty.can_start(true) && empty.can_start(false));
    let full = State {
        is_node_full: true,
        lifecycle: Lifecycle::Draining,
        ..empty
    };
    assert!(
        full.can_start(true) && full.can_start(false),
        "an empty pipeline may start any request"
    );
    let closed = State {
        lifecycle: Lifecycle::Closed,
        ..empty
    };
    assert!(!closed.can_start(true) && !closed.can_start(false));
}

#[test]
fn behind_others() {
    assert!(IDEMPOTENT.can_start(true));
    assert!(!IDEMPOTENT.can_start(false), "not idempotent");
    let exclusive = State {
        count: 1,
        is_exclusive: true,
        ..IDEMPOTENT
    };
    assert!(!exclusive.can_start(true));
}

#[test]
fn bounds() {
    let last = State {
        count: MAX_PIPELINED - 1,
        pending_response_bytes: MAX_PENDING_RESPONSE_BYTES - 1,
        ..IDEMPOTENT
    };
    assert!(last.can_start(true));
    let beyond = [
        State {
            count: MAX_PIPELINED,
            ..IDEMPOTENT
        },
        State {
            pending_response_bytes: MAX_PENDING_RESPONSE_BYTES,
            ..IDEMPOTENT
        },
        State {
            is_node_full: true,
            ..IDEMPOTENT
        },
        State {
            lifecycle: Lifecycle::Draining,
            ..IDEMPOTENT
        },
        State {
            lifecycle: Lifecycle::Closed,
            ..IDEMPOTENT
        },
    ];
    for state in beyond {
        assert!(!state.can_start(true), "{state:?}");
    }
}
