use super::*;

/// Reads that fill their buffers, or follow each other without a pause, end a turn.
#[test]
fn input_without_pause() {
    let mut turn = Turn::default();
    let full = (0..MAX_FULL_READS).position(|_| turn.is_over(true));
    assert_eq!(full, Some(MAX_FULL_READS as usize - 1));
    let mut turn = Turn::default();
    let short = (0..MAX_READS).position(|_| turn.is_over(false));
    assert_eq!(short, Some(MAX_READS as usize - 1));
}

/// Reads with pauses between them do not.
#[test]
fn input_with_pauses() {
    let mut turn = Turn::default();
    for number in 0..MAX_READS * 2 {
        if number % 100 == 0 {
            std::thread::sleep(MIN_TIME);
        }
        assert!(!turn.is_over(number % 10 == 0));
    }
}
