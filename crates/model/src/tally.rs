//! What callers get.

/// What callers of one kind got.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct KindTally {
    /// The requests that clients wanted served, each counted once whatever its tries.
    pub asked: u32,
    /// Those served within their objective, counted from the first try.
    pub in_time: u32,
    /// Those served later.
    pub late: u32,
    /// Those whose last try was refused without having run.
    pub refused: u32,
    /// Those whose last try failed.
    pub failed: u32,
}

impl KindTally {
    /// Returns the share of the requests that were served.
    #[must_use]
    pub fn served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.asked.max(1))
    }
}

/// What callers got in one run.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// By the place of the kind in the graph.
    pub kinds: Vec<KindTally>,
    /// The seconds for which slots were held, and those held for requests that failed.
    pub held: f64,
    /// See `held`.
    pub thrown_away: f64,
    /// The runs at all services.
    pub runs: u64,
}

impl Tally {
    /// Returns the share of all requests that were served.
    #[must_use]
    pub fn served(&self) -> f64 {
        let asked: u32 = self.kinds.iter().map(|kind| kind.asked).sum();
        let served: u32 = self.kinds.iter().map(|kind| kind.in_time + kind.late).sum();
        f64::from(served) / f64::from(asked.max(1))
    }

    /// Returns the share of the time of slots that was held for requests that failed.
    #[must_use]
    pub fn thrown_away_share(&self) -> f64 {
        self.thrown_away / self.held.max(f64::MIN_POSITIVE)
    }
}
