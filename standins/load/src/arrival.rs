//! When each request is sent, drawn from a seed and from nothing else.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

use crate::settings::{Settings, Surge};

/// One request to send.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    /// When, counted from the start.
    pub(crate) at: Duration,
    /// Which of the demands it belongs to.
    pub(crate) demand: usize,
    /// A number of its own.
    pub(crate) number: u64,
    /// Where it is sent first.
    pub(crate) target: usize,
}

/// The requests of the whole load, in the order of their times.
pub(crate) struct Arrivals {
    random: StdRng,
    rates: Vec<f64>,
    total: f64,
    surge: Option<Surge>,
    length: f64,
    targets: usize,
    now: f64,
    number: u64,
}

impl Arrivals {
    pub(crate) fn new(settings: &Settings) -> Self {
        let rates: Vec<f64> = settings
            .demands
            .iter()
            .map(|demand| demand.rate.0)
            .collect();
        Self {
            random: StdRng::seed_from_u64(settings.seed),
            total: rates.iter().sum(),
            rates,
            surge: settings.surge,
            length: settings.length.0.as_secs_f64(),
            targets: settings.targets.len(),
            now: 0.0,
            number: 0,
        }
    }

    /// Returns by what the demand is multiplied at a time.
    fn factor(&self, at: f64) -> f64 {
        let Some(surge) = self.surge else {
            return 1.0;
        };
        let start = surge.at.0.as_secs_f64();
        let end = start + surge.length.0.as_secs_f64();
        if (start..end).contains(&at) {
            surge.factor
        } else {
            1.0
        }
    }

    fn draw_demand(&mut self) -> usize {
        let mut point = self.random.random_range(0.0..self.total);
        for (at, rate) in self.rates.iter().enumerate() {
            if point < *rate {
                return at;
            }
            point -= rate;
        }
        self.rates.len() - 1
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        if self.total <= 0.0 {
            return None;
        }
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        self.now += -uniform.ln() / (self.total * self.factor(self.now));
        if self.now >= self.length {
            return None;
        }
        self.number += 1;
        let demand = self.draw_demand();
        Some(Arrival {
            at: Duration::from_secs_f64(self.now),
            demand,
            number: self.number,
            target: self.random.random_range(0..self.targets),
        })
    }
}
