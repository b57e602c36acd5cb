//! What is decided before one upstream, by the code that nodes run.

use std::rc::Rc;
use std::time::Instant;

use sailtrack_admission::{
    Admission, Decision, Feedback, Permit, Pressure, Rejection, Throttle, Waiting,
};

use crate::clock::{self, seconds};
use crate::process::{End, Maker, Run, RunId};
use crate::rules::Mechanism;
use crate::run::{Event, Model};

/// One upstream with what is decided before it.
pub(super) struct Gate {
    pub(super) service: usize,
    pub(super) place: usize,
    pub(super) domain: usize,
    pub(super) speed: f64,
    pub(super) admission: Rc<Admission>,
    pub(super) outset: Rc<Throttle>,
    pub(super) waiting: Vec<RunId>,
}

impl Model<'_> {
    /// Brings a request to an upstream; returns false if it is refused there at once.
    pub(super) fn enter(&mut self, id: RunId, gate: usize) -> bool {
        let now = clock::now();
        let (outset, admission) = {
            let gate = &self.gates[gate];
            (Rc::clone(&gate.outset), Rc::clone(&gate.admission))
        };
        let run = self.run(id);
        let (kind, rank, deadline) = (run.kind, run.rank, run.deadline);
        let begun = matches!(run.maker, Maker::Run(_));
        if !begun && self.rules.has(Mechanism::Windows) {
            match outset.acquire(&self.names[kind], now) {
                Ok(place) => self.run(id).place = Some(place),
                Err(hold) => {
                    self.run(id).found_nobody |= hold == Rejection::Breaker;
                    return false;
                }
            }
        }
        let left = deadline.saturating_duration_since(now);
        let goes_first = begun && self.rules.has(Mechanism::BegunFirst);
        match admission.submit(rank, goes_first, left) {
            Decision::Admitted(permit) => self.start(id, permit),
            Decision::Refused(_) => {
                self.run(id).place = None;
                self.run(id).below = Pressure::OVERLOADED.0;
                return false;
            }
            Decision::Waiting(waiting) => {
                let longest = waiting.max_wait().as_secs_f64();
                self.run(id).waiting = Some(waiting);
                self.gates[gate].waiting.push(id);
                let number = self.number_of(id);
                self.plan(longest, Event::Waited(id, number));
                // It may have taken the place of another one.
                self.settle(gate);
            }
        }
        true
    }

    /// Takes in what was decided about the requests that wait at an upstream.
    pub(super) fn settle(&mut self, gate: usize) {
        let waiting = std::mem::take(&mut self.gates[gate].waiting);
        let mut decided = Vec::new();
        for id in waiting {
            let is_decided = self
                .run(id)
                .waiting
                .as_ref()
                .is_none_or(Waiting::is_decided);
            if is_decided {
                decided.push(id);
            } else {
                self.gates[gate].waiting.push(id);
            }
        }
        for id in decided {
            self.conclude(id);
        }
    }

    pub(super) fn stop_waiting(&mut self, id: RunId) {
        if self.run(id).waiting.is_some() {
            let gate = self.run(id).gate;
            self.gates[gate].waiting.retain(|other| *other != id);
            self.conclude(id);
        }
    }

    pub(super) fn conclude(&mut self, id: RunId) {
        let Some(waiting) = self.run(id).waiting.take() else {
            return;
        };
        if let Ok(permit) = waiting.end() {
            return self.start(id, permit);
        }
        let run = self.run(id);
        let gate = run.gate;
        run.place = None;
        run.below = Pressure::OVERLOADED.0;
        run.refused_by.push(gate);
        self.dispatch(id);
    }

    pub(super) fn start(&mut self, id: RunId, permit: Permit) {
        let gate = self.run(id).gate;
        let kind = self.run(id).kind;
        let draw = 0.4 + 0.6 * self.exponential();
        let service = self.gates[gate].service;
        let slowness = self.graph.slowness(service, self.at()) / self.gates[gate].speed;
        let own_time = self.graph.kinds[kind].work.as_secs_f64() * draw * slowness;
        let light = self.gates[gate].admission.is_lightly_loaded(clock::now());
        self.tally.runs += 1;
        let run = self.run(id);
        run.permit = Some(permit);
        run.entered = clock::now();
        run.own_time = own_time;
        run.light = light;
        let number = self.number_of(id);
        self.plan(own_time, Event::Worked(id, number));
    }

    /// Notes the end of a request that ran and returns how full its upstream is.
    pub(super) fn leave(&mut self, run: &mut Run, end: End, now: Instant) -> f64 {
        let held = now.saturating_duration_since(run.entered).as_secs_f64();
        self.tally.held += held;
        if end != End::Done {
            self.tally.thrown_away += held;
        }
        let gate = &self.gates[run.gate];
        let here = gate.admission.pressure(now, run.rank.importance());
        if let Some(place) = &run.place {
            let met = Feedback {
                local: if self.rules.has(Mechanism::OwnPressure) {
                    gate.admission.shared_pressure(now, run.rank.importance())
                } else {
                    Pressure(0.0)
                },
                callees: Pressure(run.below),
                no_upstream: self.rules.has(Mechanism::Breaker)
                    && run.found_nobody
                    && end != End::Done,
            };
            place.record(now, met);
        }
        if end == End::Done {
            let own_time = seconds(run.own_time);
            let kind = &self.names[run.kind];
            gate.admission
                .record_completion(now, kind, own_time, run.light);
        }
        here.0
    }
}
