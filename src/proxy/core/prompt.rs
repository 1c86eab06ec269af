//! Requests that crash upstreams, or whose prompts have a part that does: what the fate of requests
//! and upstreams tells of them, and which requests are withheld.

use {
    super::{Core, Reservation},
    crate::{
        name,
        proxy::{
            place::Job,
            quarantine::{Certainty, Change, End, Suspect, Verdict, Withheld},
            replica::Outcome,
        },
        route::affinity,
    },
    std::time::Duration,
};

/// Silence from which an upstream that was marked as silent counts as ended.
const ENDED_AFTER_SILENCE: Duration = Duration::from_secs(1);

impl Core {
    /// Decides whether a request is withheld.
    pub(super) fn judge_request(&self, now: Duration, job: &Job) -> Verdict {
        self.quarantine
            .check(now, &job.suspects, |suspect| self.makes_trial(now, suspect))
    }

    /// Why a request is withheld; `None` if it may be sent.
    pub fn withheld(&self, now: Duration, job: &Job) -> Option<Withheld> {
        match self.judge_request(now, job) {
            Verdict::Withheld(withheld) => Some(withheld),
            Verdict::Clear | Verdict::Trial(_) => None,
        }
    }

    /// Whether this host is the one of the fleet that tries a held suspect, by rendezvous hashing.
    fn makes_trial(&self, now: Duration, suspect: Suspect) -> bool {
        let point = suspect.point();
        let own = affinity::weight(point, self.fleet.point);
        let mut others = self.fleet.available(now);
        others.all(|peer| affinity::weight(point, peer.point) < own)
    }

    /// Records what the outcome of an attempt tells of the suspects of its request.
    pub(super) fn record_suspects_outcome(
        &mut self,
        now: Duration,
        reservation: &Reservation,
        outcome: Outcome,
    ) {
        match outcome {
            Outcome::Success | Outcome::Error => {
                self.quarantine.record_sound(now, &reservation.suspects);
                self.quarantine.retract_end(reservation.process);
            }
            Outcome::Broken | Outcome::Unknown if !reservation.has_settled(now) => {
                let process = reservation.process;
                let sent_at = reservation.sent_at;
                self.quarantine
                    .record_failed(now, sent_at, process, &reservation.suspects);
            }
            Outcome::Broken
            | Outcome::Unknown
            | Outcome::Full
            | Outcome::Unreachable
            | Outcome::NotRun => {}
        }
    }

    /// The end, at `now`, of an upstream that broke off an answer, should it turn out that it refuses
    /// connections. `None` if it is known to have ended or is leaving.
    pub fn unknown_end(&self, now: Duration, upstream: &name::Upstream) -> Option<End> {
        let replica = self.catalog.get(upstream)?;
        let is_known = self.quarantine.has_ended(replica.process());
        (!replica.entry.leaving && !is_known).then(|| End {
            at: now,
            ..replica.end(Certainty::Certain)
        })
    }

    /// Records that an upstream's process has ended.
    pub fn record_end(&mut self, now: Duration, end: End) {
        let all = self.reservations.values();
        let all = all.filter(|reservation| reservation.process == end.process);
        // Those that waited for it may have been given no byte for so long although it ran.
        let waits_ms = all.clone().map(|reservation| reservation.predicted_ms);
        let wait = Duration::from_secs_f64(waits_ms.fold(0.0, f64::max) / 1_000.0);
        let at = (end.at + wait).min(now);
        let open = all.filter(|reservation| !reservation.has_settled(now));
        let open: Vec<_> = open
            .map(|reservation| (reservation.sent_at, reservation.suspects.clone()))
            .collect();
        self.quarantine.record_end(now, End { at, ..end }, &open);
    }

    /// Records upstreams that have ended since the last call, and returns what has changed in the
    /// belief of suspects.
    pub fn judge_suspects(&mut self, now: Duration) -> Vec<Change> {
        let silent = self.catalog.all().filter(|replica| {
            replica.is_silent()
                && replica.silent_for(now) >= ENDED_AFTER_SILENCE
                && self.is_silence_its_own(now, replica)
        });
        let silent = silent.map(|replica| replica.end(Certainty::Presumed));
        let mut ended: Vec<_> = silent.collect();
        ended.extend(self.catalog.take_ended());
        for end in ended {
            self.record_end(now, end);
        }
        self.quarantine.judge(now)
    }
}
