//! The tokens that one node has fetched.

use std::collections::HashMap;
use std::time::Duration;

use sailtrack_units::{Moment, WorkspaceName};

use crate::allocator::{Grant, Want};
use crate::meter::Meter;

/// How long tokens are good after they were asked for. As long as a cut that is worth bridging
/// lasts; an allocator that hears nothing counts them for longer.
pub(crate) const HOLD: Duration = Duration::from_secs(5);
/// For how long the tokens last that a node tries to have: many times the way to the allocator, so
/// that few requests wait, and little enough to leave most tokens where all nodes can fetch them.
const STOCK_TIME: Duration = Duration::from_millis(300);
/// Over how long the demand is averaged for that.
const DEMAND_SPAN: Duration = Duration::from_secs(1);
/// Half of the stock is used before more is fetched.
const REFILL_FROM: f64 = 0.5;
/// How long a workspace is remembered after its last request.
const FORGET: Duration = Duration::from_secs(30);

/// What became of the attempt to take a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acquisition {
    /// It was taken.
    Token,
    /// There is none, and more come after this time.
    Exhausted(Duration),
    /// There is none here; the allocator is to be asked.
    Fetch,
}

/// The tokens of one workspace.
#[derive(Debug, Clone, Copy)]
struct Stock {
    held: u32,
    /// What the allocator takes it to hold. Used tokens that it does not hear of keep new ones from
    /// coming: without telling them soon, 5 % of the requests of workspaces that asked three
    /// quarters of their limits were refused.
    counted: u32,
    /// When those were asked for that it got last.
    asked: Moment,
    /// How many requests wait for a token.
    waiting: u32,
    dry_until: Option<Moment>,
    demand: Meter,
    /// The requests since the last question,
    seen: u32,
    /// and when the last one came.
    came: Moment,
}

impl Default for Stock {
    fn default() -> Self {
        Self {
            held: 0,
            counted: 0,
            asked: Moment::default(),
            waiting: 0,
            dry_until: None,
            demand: Meter::over(DEMAND_SPAN),
            seen: 0,
            came: Moment::default(),
        }
    }
}

/// The tokens that one node has fetched.
#[derive(Debug, Default)]
pub struct Cache {
    stocks: HashMap<WorkspaceName, Stock>,
}

impl Cache {
    /// Takes a token for a request that has just come.
    pub fn acquire(&mut self, workspace: &WorkspaceName, now: Moment) -> Acquisition {
        if !self.stocks.contains_key(workspace) {
            self.stocks.insert(workspace.clone(), Stock::default());
        }
        let Some(stock) = self.stocks.get_mut(workspace) else {
            return Acquisition::Fetch;
        };
        stock.demand.note(1, now);
        stock.seen += 1;
        stock.came = now;
        stock.take(now)
    }

    /// Takes a token for a request that has waited for one.
    pub fn acquire_waiting(&mut self, workspace: &WorkspaceName, now: Moment) -> Acquisition {
        let stock = self.stocks.get_mut(workspace);
        stock.map_or(Acquisition::Fetch, |stock| stock.take(now))
    }

    /// Notes that a request waits for a token, or no longer does.
    pub fn set_waiting(&mut self, workspace: &WorkspaceName, waits: bool) {
        if let Some(stock) = self.stocks.get_mut(workspace) {
            stock.waiting = if waits {
                stock.waiting + 1
            } else {
                stock.waiting.saturating_sub(1)
            };
        }
    }

    /// Gives a token back whose request did not run.
    pub fn refund(&mut self, workspace: &WorkspaceName) {
        if let Some(stock) = self.stocks.get_mut(workspace) {
            stock.held += 1;
        }
    }

    /// Returns what is to be asked for now. Only one question may be under way at a time.
    pub fn wants(&mut self, now: Moment) -> Vec<(WorkspaceName, Want)> {
        self.stocks
            .retain(|_, stock| now.since(stock.came) < FORGET);
        let stocks = self.stocks.iter_mut();
        let wants = stocks.filter_map(|(name, stock)| Some((name.clone(), stock.want(now)?)));
        wants.collect()
    }

    /// Takes in the answer to a question that was asked at this moment.
    pub fn receive(&mut self, workspace: &WorkspaceName, grant: Grant, asked: Moment) {
        let Some(stock) = self.stocks.get_mut(workspace) else {
            return;
        };
        stock.held = stock.held.saturating_sub(grant.recalled) + grant.tokens;
        stock.counted += grant.tokens;
        stock.asked = asked;
        let is_short = !grant.wait.is_zero();
        stock.dry_until = is_short.then(|| asked + grant.wait);
    }

    /// Returns true if no workspace was seen lately.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.stocks.is_empty()
    }

    /// Voids the tokens of a workspace, since its limit has changed.
    pub fn invalidate(&mut self, workspace: &WorkspaceName) {
        if let Some(stock) = self.stocks.get_mut(workspace) {
            stock.held = 0;
            stock.dry_until = None;
        }
    }

    /// Returns the tokens that are here.
    #[must_use]
    pub fn held(&self, workspace: &WorkspaceName, now: Moment) -> u32 {
        let stock = self.stocks.get(workspace);
        stock.map_or(0, |stock| stock.good(now))
    }
}

impl Stock {
    /// Returns the tokens that are still good.
    fn good(&self, now: Moment) -> u32 {
        if now.since(self.asked) < HOLD {
            self.held
        } else {
            0
        }
    }

    fn take(&mut self, now: Moment) -> Acquisition {
        self.held = self.good(now);
        if self.held > 0 {
            self.held -= 1;
            return Acquisition::Token;
        }
        match self.dry_until {
            Some(until) if until > now => Acquisition::Exhausted(until.since(now)),
            _ => Acquisition::Fetch,
        }
    }

    fn want(&mut self, now: Moment) -> Option<Want> {
        self.held = self.good(now);
        let demand = self.demand.rate(now);
        let stock = demand * STOCK_TIME.as_secs_f64();
        let is_low = f64::from(self.held) < stock * REFILL_FROM;
        let is_dry = self.dry_until.is_some_and(|until| until > now);
        let is_fetched = self.waiting > 0 || (is_low && !is_dry);
        if !is_fetched && self.held == self.counted {
            return None;
        }
        self.counted = self.held;
        Some(Want {
            held: self.held,
            needed: self.waiting,
            spare: if is_fetched {
                floor(stock).saturating_sub(self.held)
            } else {
                0
            },
            seen: std::mem::take(&mut self.seen),
        })
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "rates are not below 0, and none comes near the greatest number"
)]
fn floor(number: f64) -> u32 {
    number as u32
}
