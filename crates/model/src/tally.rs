//! What callers get.

/// What the callers of one kind, or of one failure domain, got.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct GroupTally {
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
    /// Tries that failed after they had begun, whatever came of the request.
    pub broken: u32,
}

impl GroupTally {
    pub(crate) fn note(&mut self, ending: Ending) {
        *match ending {
            Ending::InTime => &mut self.in_time,
            Ending::Late => &mut self.late,
            Ending::Refused => &mut self.refused,
            Ending::Failed => &mut self.failed,
        } += 1;
    }

    /// Returns the share of the requests that were served.
    #[must_use]
    pub fn served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.asked.max(1))
    }
}

/// What became of a caller in the end.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Ending {
    /// It was served within its objective.
    InTime,
    /// It was served later.
    Late,
    /// Its last try was refused.
    Refused,
    /// Its last try failed.
    Failed,
}

/// What callers got in one run.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// By the place of the kind in the graph.
    pub kinds: Vec<GroupTally>,
    /// By the failure domain of the callers.
    pub domains: Vec<GroupTally>,
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
