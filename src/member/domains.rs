//! Digests of the other failure domains, from gossip. A digest may arrive through many hosts; the
//! newest one of each domain is kept.

use {
    super::peer::{Contact, Digest},
    crate::name,
    rand::{Rng, seq::IteratorRandom},
    std::{collections::BTreeMap, time::Duration},
};

/// Age from which a digest is ignored.
const MAX_AGE: Duration = Duration::from_secs(30);

/// Time for which a contact that did not answer is avoided.
const AVOID_PERIOD: Duration = Duration::from_secs(20);

/// Digests by failure domain, and the contacts that are avoided.
#[derive(Debug, Default)]
pub(super) struct Domains {
    entries: BTreeMap<name::Domain, Entry>,
    avoided: BTreeMap<name::Host, Duration>,
}

#[derive(Debug)]
struct Entry {
    digest: Digest,
    written_at: Duration,
}

impl Domains {
    /// Stores a digest if it is newer than the known one; returns whether its content differs.
    pub(super) fn merge(&mut self, now: Duration, digest: Digest) -> bool {
        let written_at = now.saturating_sub(Duration::from_millis(digest.age_ms));
        let known = self.entries.get(&digest.domain);
        if known.is_some_and(|known| known.written_at >= written_at) || now >= written_at + MAX_AGE
        {
            return false;
        }
        let changed = known.is_none_or(|known| {
            known.digest.contacts != digest.contacts || known.digest.live != digest.live
        });
        let entry = Entry {
            digest: digest.clone(),
            written_at,
        };
        self.entries.insert(digest.domain, entry);
        changed
    }

    /// The digests that are younger than `MAX_AGE`.
    pub(super) fn fresh(&self, now: Duration) -> impl Iterator<Item = &Digest> {
        self.entries
            .values()
            .filter(move |entry| now < entry.written_at + MAX_AGE)
            .map(|entry| &entry.digest)
    }

    /// Up to `count` random digests to pass on, with their current age.
    pub(super) fn sample(&self, now: Duration, count: usize, rng: &mut impl Rng) -> Vec<Digest> {
        self.entries
            .values()
            .filter(|entry| now < entry.written_at + MAX_AGE)
            .sample(rng, count)
            .into_iter()
            .map(|entry| Digest {
                age_ms: (now - entry.written_at).as_millis() as u64,
                ..entry.digest.clone()
            })
            .collect()
    }

    /// The contacts of a digest that are not avoided.
    pub(super) fn usable_contacts<'a>(
        &'a self,
        now: Duration,
        digest: &'a Digest,
    ) -> impl Iterator<Item = &'a Contact> {
        digest
            .contacts
            .iter()
            .filter(move |contact| !self.is_avoided(now, &contact.host))
    }

    /// Whether a ping of a host timed out within the last `AVOID_PERIOD`, with no message since.
    pub(super) fn is_avoided(&self, now: Duration, host: &name::Host) -> bool {
        self.avoided.get(host).is_some_and(|until| now < *until)
    }

    /// Avoids a contact that did not answer.
    pub(super) fn avoid(&mut self, now: Duration, host: name::Host) {
        self.avoided.retain(|_, until| now < *until);
        self.avoided.insert(host, now + AVOID_PERIOD);
    }

    /// Stops avoiding a contact that sent a heartbeat or an answer.
    pub(super) fn stop_avoiding(&mut self, host: &name::Host) {
        self.avoided.remove(host);
    }

    /// Removes digests that are too old; returns whether there were any.
    pub(super) fn remove_expired(&mut self, now: Duration) -> bool {
        let known = self.entries.len();
        self.entries
            .retain(|_, entry| now < entry.written_at + MAX_AGE);
        known != self.entries.len()
    }
}
