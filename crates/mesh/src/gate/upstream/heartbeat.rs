//! Applies the heartbeats of the local upstream.

use std::time::Instant;

use sailtrack_declaration::Limit;
use sailtrack_log::{catalogue, emit};

use super::{Upstream, limit};
use crate::clock;
use crate::dialect::{Heartbeat, Readiness};
use crate::gate::incarnation::{End, Incarnation};
use crate::retired::Reason;

impl Upstream {
    /// Returns true if a heartbeat announces an incarnation that is ready and not the current one.
    pub(crate) fn is_new_incarnation(&self, heartbeat: &Heartbeat, now: Instant) -> bool {
        let known = self.current.borrow();
        let is_known = known.as_ref().is_some_and(|current| {
            current.is_sender_of(heartbeat) || current.supersedes(heartbeat, now)
        });
        heartbeat.readiness == Readiness::Ready
            && !is_known
            && !self.retired.contains(&heartbeat.upstream)
    }

    /// Returns true if a heartbeat names another incarnation than the current one, which sent one
    /// recently, and their start times do not tell that the current one ended.
    pub(crate) fn is_contradicted_by(&self, heartbeat: &Heartbeat, now: Instant) -> bool {
        let current = self.current.borrow();
        current.as_ref().is_some_and(|current| {
            let is_earlier = current.key.is_older_than(&heartbeat.upstream);
            !current.is_sender_of(heartbeat) && !is_earlier && !current.is_silent(now)
        })
    }

    /// Handles a heartbeat of an incarnation that is ready. Late ones and those of retired
    /// incarnations are ignored.
    pub(crate) fn handle_heartbeat(&self, heartbeat: &Heartbeat, now: Instant) {
        if self.retired.contains(&heartbeat.upstream) {
            return;
        }
        if self.complete_leaving(&heartbeat.upstream, now) {
            return;
        }
        let known = self.current.borrow().clone();
        match known {
            Some(current) if current.is_sender_of(heartbeat) => self.update(heartbeat, now),
            Some(current) if current.supersedes(heartbeat, now) => {}
            Some(earlier) => {
                // An incarnation with a later start time may only have been silent, and may come
                // back.
                let has_ended = !heartbeat.upstream.is_older_than(&earlier.key);
                if has_ended {
                    self.replaced.replace(Some(earlier.key.clone()));
                }
                self.start_incarnation(heartbeat, now);
                if has_ended {
                    self.retired.note(&earlier.key, &Reason::Replaced);
                }
            }
            None => self.start_incarnation(heartbeat, now),
        }
    }

    fn update(&self, heartbeat: &Heartbeat, now: Instant) {
        let mut current = self.current.borrow_mut();
        let Some(current) = current.as_mut() else {
            return;
        };
        // So far only its id was known, from a response that lacks the start time.
        let is_named_now = current.key != heartbeat.upstream;
        if heartbeat.sequence <= current.sequence && !is_named_now {
            return;
        }
        self.record_start(heartbeat);
        current.key = heartbeat.upstream.clone();
        current.sequence = heartbeat.sequence;
        current.last_heartbeat = now;
        current.cold_until = clock::now() + heartbeat.warm_up;
        self.unreachable_until.set(None);
        if current.slots != heartbeat.slots {
            current.slots = heartbeat.slots;
            self.admission
                .declare_limit(Limit::Fixed(limit(heartbeat.slots)));
        }
    }

    fn record_start(&self, heartbeat: &Heartbeat) {
        if heartbeat.upstream.started().is_some() {
            self.reports_start.set(true);
        }
    }

    fn start_incarnation(&self, heartbeat: &Heartbeat, now: Instant) {
        emit(
            &catalogue::UPSTREAM_ANNOUNCED,
            &[
                ("upstream", &heartbeat.upstream),
                ("service", &heartbeat.service),
                ("slots", &heartbeat.slots),
            ],
        );
        self.record_start(heartbeat);
        self.end.replace(End::new());
        self.report.reset();
        self.admission.reset(now, Some(heartbeat.slots));
        self.admission
            .declare_limit(Limit::Fixed(limit(heartbeat.slots)));
        self.unreachable_until.set(None);
        *self.current.borrow_mut() = Some(Incarnation {
            key: heartbeat.upstream.clone(),
            slots: heartbeat.slots,
            sequence: heartbeat.sequence,
            last_heartbeat: now,
            cold_until: clock::now() + heartbeat.warm_up,
        });
        self.reset_demands(&heartbeat.upstream);
        for on_new in self.on_new.borrow().iter() {
            on_new();
        }
        self.notify_availability();
    }
}
