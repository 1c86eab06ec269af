//! Whether connections to an upstream can be opened, from this host and from others of its region.
//!
//! A host that is partitioned from upstreams finds out by failed connections, and asks the other
//! hosts of its region in its reports. One that has lately reached an upstream which another host
//! misses says so, and gets the other host's requests for it.

use {
    crate::name,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How long a sign of life of an upstream counts, and another host's report of one.
const EVIDENCE_TTL: Duration = Duration::from_millis(1_500);
/// Shortest time between two probes of one upstream that is not known to be unreached.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a sign of life of an upstream that another host misses is waited for, before a probe
/// is made.
const INQUIRY_PATIENCE: Duration = Duration::from_millis(100);
/// Time from the first failure to reach an upstream within which other hosts can have told that they
/// reach it.
pub const INQUIRY_TIME: Duration = Duration::from_millis(250);

/// What this host knows of the way to one upstream.
#[derive(Debug, Default)]
pub struct Reach {
    /// When a connection was first in doubt since one was last opened.
    doubted_at: Option<Duration>,
    /// When it became known that no connection can be opened.
    lost_at: Option<Duration>,
    /// When a connection was last opened.
    opened_at: Option<Duration>,
    /// When a byte of it last arrived.
    heard_at: Option<Duration>,
    probed_at: Option<Duration>,
    is_probing: bool,
    /// Other hosts that miss it.
    inquirers: BTreeSet<name::Host>,
    /// Since when another host misses it.
    asked_at: Option<Duration>,
    /// Whether this host is to probe it for other hosts that miss it.
    is_probed_for_others: bool,
    /// Other hosts that reach it, with the time of their reports.
    witnesses: BTreeMap<name::Host, Duration>,
    /// Whether one of them reported that soon after the loss, so that the upstream ran on.
    is_vouched: bool,
}

/// Upstreams in a report to hosts of the same region.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Those that the sender can't reach.
    #[serde(rename = "m", default, skip_serializing_if = "BTreeSet::is_empty")]
    pub missing: BTreeSet<name::Upstream>,
    /// Those of other hosts' missing ones that the sender reaches.
    #[serde(rename = "f", default, skip_serializing_if = "BTreeSet::is_empty")]
    pub found: BTreeSet<name::Upstream>,
    /// Whether the sender reaches no upstream at all.
    #[serde(rename = "c", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_cut_off: bool,
}

impl Report {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

impl Reach {
    /// Whether no connection can be opened.
    pub fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Whether it is in doubt that a connection can be opened.
    pub fn is_doubted(&self) -> bool {
        self.doubted_at.is_some()
    }

    /// Whether a connection is being opened to find out.
    pub fn is_probing(&self) -> bool {
        self.is_probing
    }

    /// When a connection was last opened.
    pub fn opened_at(&self) -> Option<Duration> {
        self.opened_at
    }

    /// When a connection was first in doubt since one was last opened.
    pub fn doubted_at(&self) -> Option<Duration> {
        self.doubted_at
    }

    /// For how long it is known that no connection can be opened.
    pub fn lost_for(&self, now: Duration) -> Option<Duration> {
        self.lost_at.map(|at| now.saturating_sub(at))
    }

    /// Records that a connection was opened. Returns whether none could be before.
    pub fn record_opened(&mut self, now: Duration) -> bool {
        self.opened_at = Some(now);
        self.doubted_at = None;
        self.is_probing = false;
        self.witnesses.clear();
        self.is_vouched = false;
        self.lost_at.take().is_some()
    }

    /// Records that a connection could not be opened. Returns whether that makes the upstream
    /// unreached: the second failure does.
    pub fn record_failed(&mut self, now: Duration) -> bool {
        self.is_probing = false;
        if !self.is_doubted() {
            self.doubt(now);
            return false;
        }
        let is_new = !self.is_lost();
        self.lost_at.get_or_insert(now);
        is_new
    }

    /// Records a byte of the upstream. It may have come on a connection that was opened before.
    pub fn record_heard(&mut self, now: Duration) {
        self.heard_at = Some(now);
    }

    /// Puts it in doubt that a connection can be opened, so that a probe is due.
    pub fn doubt(&mut self, now: Duration) {
        self.doubted_at.get_or_insert(now);
    }

    /// Like [`Self::doubt`], however short ago the last probe was.
    pub fn doubt_at_once(&mut self, now: Duration) {
        self.doubt(now);
        self.probed_at = None;
    }

    /// Whether a probe is due that settles a doubt, or that brings another host a new sign.
    pub fn is_probe_due(&self, now: Duration) -> bool {
        let is_early = |at: Duration| now.saturating_sub(at) < MIN_PROBE_INTERVAL;
        let has_new_sign = |asked_at: Duration| {
            self.last_sign() >= Some(asked_at) && self.has_sign_within(now, MIN_PROBE_INTERVAL)
        };
        let is_asked = |asked_at: Duration| {
            now.saturating_sub(asked_at) >= INQUIRY_PATIENCE && !has_new_sign(asked_at)
        };
        let is_wanted =
            self.is_doubted() || (self.is_probed_for_others && self.asked_at.is_some_and(is_asked));
        is_wanted && !self.is_lost() && !self.is_probing && !self.probed_at.is_some_and(is_early)
    }

    /// Records whether another host misses the upstream, and whether this host is one of those that
    /// then probe it.
    pub fn record_inquiry(
        &mut self,
        now: Duration,
        host: &name::Host,
        is_missing: bool,
        is_probed: bool,
    ) {
        if !is_missing {
            self.inquirers.remove(host);
        } else if !self.inquirers.contains(host) {
            self.inquirers.insert(host.clone());
            self.is_probed_for_others = is_probed;
        }
        if self.inquirers.is_empty() {
            self.asked_at = None;
        } else {
            self.asked_at.get_or_insert(now);
        }
    }

    /// When there was a sign of life.
    fn last_sign(&self) -> Option<Duration> {
        self.opened_at.max(self.heard_at)
    }

    /// When the last probe began; zero before the first.
    pub fn probed_at(&self) -> Duration {
        self.probed_at.unwrap_or_default()
    }

    /// Records that a probe begins.
    pub fn start_probe(&mut self, now: Duration) {
        self.probed_at = Some(now);
        self.is_probing = true;
    }

    /// Whether another host misses the upstream and there was no sign of life since.
    pub fn is_unheard_since_asked(&self) -> bool {
        let is_before = |asked_at: Duration| self.last_sign() < Some(asked_at);
        self.asked_at.is_some_and(is_before)
    }

    /// Whether there was a sign of life lately and since another host misses the upstream, and nothing
    /// speaks against it.
    pub fn is_found(&self, now: Duration) -> bool {
        let is_since = |asked_at: Duration| self.last_sign() >= Some(asked_at);
        !self.is_doubted()
            && self.has_sign_within(now, EVIDENCE_TTL)
            && self.asked_at.is_some_and(is_since)
    }

    /// Whether a byte arrived, or a connection was opened, within this time.
    pub fn has_sign_within(&self, now: Duration, time: Duration) -> bool {
        self.last_sign()
            .is_some_and(|at| now.saturating_sub(at) < time)
    }

    /// Records that another host reaches the upstream.
    pub fn record_witness(&mut self, now: Duration, host: &name::Host) {
        self.is_vouched |= self.lost_for(now).is_some_and(|time| time < EVIDENCE_TTL);
        self.witnesses.insert(host.clone(), now);
    }

    /// Whether the upstream is known to have run when it was lost.
    pub fn is_vouched(&self) -> bool {
        self.is_vouched
    }

    /// Forgets that another host reaches the upstream.
    pub fn forget_witness(&mut self, host: &name::Host) {
        self.witnesses.remove(host);
    }

    /// The other hosts that lately reported to reach the upstream.
    pub fn witnesses(&self, now: Duration) -> impl Iterator<Item = &name::Host> {
        let witnesses = self.witnesses.iter();
        let fresh = witnesses.filter(move |(_, at)| now.saturating_sub(**at) < EVIDENCE_TTL);
        fresh.map(|(host, _)| host)
    }

    /// Whether another host reaches the upstream and this one doesn't.
    pub fn is_relayed(&self, now: Duration) -> bool {
        self.is_lost() && self.witnesses(now).next().is_some()
    }
}
