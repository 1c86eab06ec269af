//! Upstreams that this host can't reach: what it tells and asks the other hosts of its region, and
//! which of them takes a request for such an upstream.

use {
    super::{Core, Remote},
    crate::{
        name,
        proxy::{
            cache,
            catalog::Change,
            fleet::{Peer, SILENT_AFTER},
            place::{self, Choice, Job},
            quarantine::End,
            reach::{INQUIRY_TIME, Report},
            replica::{ASSUMED_COLD_TIME, Replica},
            table::Pool,
        },
        route::affinity,
    },
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
};

/// Time that the way over another host of the region adds to an answer, in milliseconds.
const NEIGHBOUR_ROUND_TRIP_MS: f64 = 10.0;
/// Most upstreams of each kind in a report.
const MAX_REPORTED: usize = 64;
/// Hosts that probe an upstream which another one misses, unless they have a sign of it.
const MAX_INQUIRED: usize = 3;
/// Hosts that must miss an upstream for others to take it for cold.
const MIN_MISSING: usize = 2;
/// Within this time another upstream must have been heard for the silence of one to be its own.
const SILENCE_EVIDENCE_TIME: Duration = Duration::from_millis(500);
/// Time from the loss of an upstream until it may be presumed to have ended.
const PRESUMED_AFTER_LOSS: Duration = Duration::from_millis(600);

/// A change in whether this host reaches any upstream.
#[derive(Debug)]
pub struct CutOff {
    /// Whether it reaches none now.
    pub is_cut_off: bool,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Number of other hosts that reach upstreams which this one doesn't.
    pub witnesses: usize,
    /// How long it reached none, once it does again.
    pub lasted: Option<Duration>,
}

impl Core {
    /// Records whether a connection to an upstream could be opened.
    pub fn record_connection(
        &mut self,
        now: Duration,
        upstream: &name::Upstream,
        is_open: bool,
    ) -> Option<Change> {
        if is_open {
            self.catalog.record_opened(now, upstream)
        } else {
            self.catalog.record_unopened(now, upstream)
        }
    }

    /// The upstreams to which a connection is to be opened now, to find out whether that is possible.
    pub fn due_probes(&mut self, now: Duration) -> Vec<(name::Upstream, SocketAddr)> {
        self.catalog.due_probes(now)
    }

    /// Whether no connection to an upstream can be opened.
    pub fn is_lost(&self, upstream: &name::Upstream) -> bool {
        let replica = self.catalog.get(upstream);
        replica.is_some_and(|replica| replica.reach.is_lost())
    }

    /// What this host tells those of its region of upstreams that it or they can't reach.
    pub(super) fn reach_report(&self, now: Duration) -> Report {
        let missing = self.catalog.lost();
        let is_fresh = |peer: &&Peer| now.saturating_sub(peer.last_heard_at) < SILENT_AFTER;
        let asking = self.region_peers().filter(is_fresh);
        let asked: BTreeSet<_> = asking.flat_map(|peer| &peer.reach.missing).collect();
        let is_found = |upstream: &&name::Upstream| {
            let replica = self.catalog.get(upstream);
            replica.is_some_and(|replica| replica.reach.is_found(now))
        };
        Report {
            missing: missing
                .map(|replica| replica.entry.id.clone())
                .take(MAX_REPORTED)
                .collect(),
            found: asked
                .into_iter()
                .filter(is_found)
                .take(MAX_REPORTED)
                .cloned()
                .collect(),
            is_cut_off: self.catalog.is_cut_off(),
        }
    }

    /// Takes over what another host of the region tells of upstreams. A few hosts, the first by
    /// rendezvous weight, probe those that it misses unless they have a sign of them.
    /// Returns the upstreams that count as cold now, because several hosts miss them.
    pub(super) fn receive_reach(
        &mut self,
        now: Duration,
        host: &name::Host,
        report: &Report,
    ) -> Vec<Change> {
        let is_probed = |replica: &Replica| {
            let others = self.fleet.neighbours(now);
            let others = others.filter(|peer| peer.identity.host != *host);
            self.rank(replica, others).1 < MAX_INQUIRED
        };
        let missing = report.missing.iter();
        let probed: BTreeSet<_> = missing
            .filter_map(|upstream| self.catalog.get(upstream))
            .filter(|replica| is_probed(replica))
            .map(|replica| replica.entry.id.clone())
            .collect();
        for replica in self.catalog.all_mut() {
            let upstream = &replica.entry.id;
            let reach = &mut replica.reach;
            if report.found.contains(upstream) {
                reach.record_witness(now, host);
            } else {
                reach.forget_witness(host);
            }
            let is_missing = report.missing.contains(upstream);
            reach.record_inquiry(now, host, is_missing, probed.contains(upstream));
        }
        let missed = report.missing.iter();
        let missed: Vec<_> = missed.filter(|upstream| self.is_missed(upstream)).collect();
        let mut changes = Vec::new();
        for upstream in missed {
            let Some(replica) = self.catalog.get_mut(upstream) else {
                continue;
            };
            if !replica.is_cold(now) {
                changes.push(Change::Missed(upstream.clone()));
            }
            replica.assume_cold_until(now + ASSUMED_COLD_TIME);
        }
        changes
    }

    /// Whether several hosts of the region that reach others can't reach an upstream, and this host has
    /// had no sign of it since. It may have started again, and be cold, before that is published.
    fn is_missed(&self, upstream: &name::Upstream) -> bool {
        let is_missing =
            |peer: &&Peer| !peer.reach.is_cut_off && peer.reach.missing.contains(upstream);
        let missing = self.region_peers().filter(is_missing);
        let replica = self.catalog.get(upstream);
        replica.is_some_and(|replica| replica.reach.is_unheard_since_asked())
            && missing.take(MIN_MISSING).count() == MIN_MISSING
    }

    /// Whether this host, or for a request that may be forwarded another one of the region, reaches
    /// an upstream.
    pub(super) fn is_open(&self, now: Duration, job: &Job, replica: &Replica) -> bool {
        !replica.reach.is_lost() || (job.may_forward && replica.reach.is_relayed(now))
    }

    /// Whether there are upstreams for a request, and no host of the region that it may be sent by
    /// reaches one.
    pub(super) fn is_out_of_reach(&self, now: Duration, job: &Job) -> bool {
        let mut upstreams = self.catalog.eligible_for(job).peekable();
        upstreams.peek().is_some() && !upstreams.any(|replica| self.is_open(now, job, replica))
    }

    /// Whether this host has begun, or ceased, to reach no upstream since the last call.
    pub fn take_cut_off_change(&mut self, now: Duration) -> Option<CutOff> {
        let is_cut_off = self.catalog.is_cut_off();
        if is_cut_off == self.cut_off_since.is_some() {
            return None;
        }
        let lasted = self.cut_off_since.take();
        self.cut_off_since = is_cut_off.then_some(now);
        Some(CutOff {
            is_cut_off,
            upstreams: self.catalog.all().count(),
            witnesses: self.witnesses(now).len(),
            lasted: lasted.map(|since| now.saturating_sub(since)),
        })
    }

    /// The other hosts that reach upstreams which this one doesn't.
    pub(super) fn witnesses(&self, now: Duration) -> BTreeSet<&name::Host> {
        let lost = self.catalog.lost();
        lost.flat_map(|replica| replica.reach.witnesses(now))
            .collect()
    }

    /// Whether a host is another one of this region.
    pub fn is_neighbour(&self, host: &name::Host) -> bool {
        let mut peers = self.region_peers();
        peers.any(|peer| peer.identity.host == *host)
    }

    /// Chooses, among the upstreams that only other hosts of the region reach, as if they were
    /// reached.
    pub(super) fn choose_relayed(&self, now: Duration, job: &Job) -> Option<Choice> {
        if !job.may_forward || !job.matched.allows(&self.setup.identity.region) {
            return None;
        }
        let pool = self.table.as_ref()?.pool(&job.pool)?;
        let hosts = self.fleet.region_hosts();
        let most_urgent = self.most_urgent(now, &job.pool);
        let is_relayed = |replica: &Replica, _: &Pool| {
            replica.reach.is_relayed(now) && self.choose_neighbour(now, job, replica).is_some()
        };
        let catalog = &self.catalog;
        let mut choice = place::choose(catalog, pool, job, now, hosts, most_urgent, is_relayed)?;
        choice.predicted_ms += NEIGHBOUR_ROUND_TRIP_MS;
        Some(choice)
    }

    /// The host of this region that a request is forwarded to for an upstream that this host can't
    /// reach.
    pub(super) fn relay(&self, now: Duration, job: &Job, choice: &Choice) -> Option<Remote> {
        let replica = self.catalog.get(&choice.upstream)?;
        let peer = self.choose_neighbour(now, job, replica)?;
        Some(Remote {
            host: peer.identity.host.clone(),
            peers: peer.identity.peers,
            region: peer.identity.region.clone(),
            predicted_ms: choice.predicted_ms,
            report_age: now.saturating_sub(peer.last_heard_at),
            pressures: None,
        })
    }

    /// Chooses among the hosts that reach an upstream by rendezvous hashing of the request's session,
    /// so that those share the requests.
    fn choose_neighbour(&self, now: Duration, job: &Job, replica: &Replica) -> Option<&Peer> {
        let witnesses: Vec<_> = replica.reach.witnesses(now).collect();
        let session = cache::session_prefix(&job.prefixes);
        let key = session.map_or(job.arrived_at.as_nanos() as u64, |prefix| prefix.hash);
        let neighbours = self.fleet.neighbours(now).filter(|peer| {
            witnesses.contains(&&peer.identity.host)
                && peer.edition.covers(&job.matched.edition)
                && !job.avoided_hosts.contains(&peer.identity.host)
        });
        neighbours.max_by_key(|peer| affinity::weight(key, peer.point))
    }

    /// Whether the silence of an upstream can only be that of its process: it is reached, or no host
    /// of the region reaches it, while this one hears others.
    pub(super) fn is_silence_its_own(&self, now: Duration, replica: &Replica) -> bool {
        if replica.reach.is_probing() {
            return false;
        }
        let began_at = now.saturating_sub(replica.silent_for(now));
        if replica.reach.opened_at() >= Some(began_at) && !replica.reach.is_lost() {
            return true;
        }
        if let Some(lost_for) = replica.reach.lost_for(now)
            && (lost_for < PRESUMED_AFTER_LOSS || replica.reach.is_relayed(now))
        {
            return false;
        }
        let is_other = |other: &&Replica| other.point != replica.point;
        let mut others = self.catalog.all().filter(is_other).peekable();
        others.peek().is_none()
            || others.any(|other| other.reach.has_sign_within(now, SILENCE_EVIDENCE_TIME))
    }

    /// Records that an upstream which broke an answer off refuses connections.
    pub fn record_refusal(&mut self, now: Duration, upstream: &name::Upstream) -> Option<Change> {
        self.catalog.record_refused(now, upstream)
    }

    /// Records the end of an upstream that has refused a connection, unless the fault may be this
    /// host's: it opened no connection to another upstream since, or another host reaches it. To be
    /// called [`INQUIRY_TIME`] after the refusal. Returns whether it was recorded.
    pub fn confirm_end(&mut self, now: Duration, upstream: &name::Upstream, end: End) -> bool {
        let refused_at = now.saturating_sub(INQUIRY_TIME);
        let replica = self.catalog.get(upstream);
        let replica = replica.filter(|replica| replica.process() == end.process);
        let is_reached = replica
            .is_some_and(|replica| !replica.reach.is_lost() || replica.reach.is_relayed(now));
        if is_reached || !self.catalog.has_opened_another_since(refused_at, upstream) {
            return false;
        }
        self.record_end(now, end);
        true
    }
}
