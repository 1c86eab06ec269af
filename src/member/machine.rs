//! State machine of membership at one host. It detects failed hosts of its failure domain by pings
//! and exchanges records and digests with other hosts by gossip.
//!
//! It reads no clock and does no I/O: its caller passes in the time and the events, and carries out
//! the actions.

use {
    super::{
        domains::Domains,
        event::{Action, Event, Gossip, Listing, Message, Mutant, Report, Settings},
        peer::{Contact, Digest, Peer, State, Update},
        probe::{Probe, Probes, Purpose},
        table::Table,
    },
    crate::{config::spread, machine, name, rendezvous},
    rand::{
        RngExt, SeedableRng,
        rngs::StdRng,
        seq::{IteratorRandom, SliceRandom},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Interval between two [`Event::Tick`].
pub const TICK: Duration = Duration::from_millis(100);

/// Interval between pings of hosts in this failure domain.
const DOMAIN_PING_PERIOD: Duration = Duration::from_millis(500);

/// Interval between pings of hosts in other failure domains.
const REMOTE_PING_PERIOD: Duration = Duration::from_secs(1);

/// Interval between pings of hosts considered dead, so that the two sides of a partition find each
/// other once it heals.
const DEAD_PING_PERIOD: Duration = Duration::from_secs(5);

/// Time after which a suspect that has not refuted the suspicion is considered dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);

/// A longer gap between two steps is a pause of this process, during which missed answers of other
/// hosts do not count.
const MIN_PAUSE: Duration = Duration::from_secs(1);

/// Minimum interval between requests for a whole table.
const MIN_SYNC_PERIOD: Duration = Duration::from_secs(5);

/// Number of hosts asked to ping one that does not answer.
const INDIRECT_PINGS: usize = 3;

/// Maximum number of hosts of this failure domain that are pinged at once when this one leaves.
const LEAVE_PINGS: usize = 16;

/// Maximum number of contacts in the digest of a failure domain.
const MAX_CONTACTS: usize = 8;

/// Maximum number of digests of other failure domains in one message.
const MAX_DIGESTS: usize = 2;

/// Membership at one host: its record, the records and digests it has received, and its probes.
#[derive(Debug)]
pub struct Machine {
    pub(super) settings: Settings,
    rng: StdRng,
    pub(super) own: Peer,
    pub(super) table: Table,
    pub(super) domains: Domains,
    probes: Probes,
    /// Rows of the platform's latest list of entry hosts, by host.
    pub(super) listed: BTreeMap<name::Host, Listing>,
    suspicions: BTreeMap<name::Host, Suspicion>,
    revisions: spread::Summary,
    pub(super) load: u8,
    /// Loads of the other hosts of this failure domain, in percent.
    pub(super) loads: BTreeMap<name::Host, u8>,
    /// Hosts of this failure domain that are still to be pinged in this round, the last one first.
    ping_order: Vec<name::Host>,
    last_step_at: Option<Duration>,
    next_domain_ping_at: Duration,
    next_remote_ping_at: Duration,
    next_dead_ping_at: Duration,
    next_sync_at: Duration,
}

/// Suspicion of a host that has not answered.
#[derive(Debug)]
struct Suspicion {
    incarnation: u64,
    expires_at: Duration,
}

impl Machine {
    /// Creates the machine of a host that knows no other hosts.
    pub fn new(settings: Settings) -> Self {
        let own = Peer {
            incarnation: settings.incarnation.max(1),
            state: State::Live,
            region: settings.region.clone(),
            domain: settings.domain.clone(),
            address: settings.address,
            peer_address: settings.peer_address,
        };
        Self {
            rng: StdRng::seed_from_u64(settings.seed),
            table: Table::new(settings.mutant),
            settings,
            own,
            domains: Domains::default(),
            probes: Probes::default(),
            listed: BTreeMap::new(),
            suspicions: BTreeMap::new(),
            revisions: spread::Summary::default(),
            load: 0,
            loads: BTreeMap::new(),
            ping_order: Vec::new(),
            last_step_at: None,
            next_domain_ping_at: Duration::ZERO,
            next_remote_ping_at: Duration::ZERO,
            next_dead_ping_at: Duration::ZERO,
            next_sync_at: Duration::ZERO,
        }
    }

    /// This host's own record, as its heartbeats carry it.
    pub fn own(&self) -> &Peer {
        &self.own
    }

    fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for probe in self.probes.take_overdue(now) {
            actions.extend(self.handle_timeout(now, probe));
        }
        actions.extend(self.expire_suspicions(now));
        if now >= self.next_domain_ping_at {
            self.next_domain_ping_at = now + DOMAIN_PING_PERIOD;
            actions.extend(self.ping_domain_peer(now));
        }
        if now >= self.next_remote_ping_at {
            self.next_remote_ping_at = now + REMOTE_PING_PERIOD;
            actions.extend(self.ping_remote_domain(now));
        }
        if now >= self.next_dead_ping_at {
            self.next_dead_ping_at = now + DEAD_PING_PERIOD;
            actions.extend(self.ping_dead(now));
            let listed = &self.listed;
            self.table
                .remove_dead(now, |host| listed.contains_key(host));
            let table = &self.table;
            self.loads.retain(|host, _| table.get(host).is_some());
            if self.domains.remove_expired(now) {
                actions.push(Action::ViewChanged);
            }
        }
        actions
    }

    /// Pings the next host of this failure domain. Each is pinged once per round, in random order.
    fn ping_domain_peer(&mut self, now: Duration) -> Option<Action> {
        let target = loop {
            if self.ping_order.is_empty() {
                self.ping_order = self.up_hosts();
                self.ping_order.shuffle(&mut self.rng);
            }
            let target = self.ping_order.pop()?;
            if self.table.get(&target).is_some_and(Peer::is_up) {
                break target;
            }
        };
        Some(self.ping(now, target, Purpose::Direct))
    }

    /// Pings a contact of another failure domain, half of the time one in the same region.
    fn ping_remote_domain(&mut self, now: Duration) -> Option<Action> {
        let prefers_own_region = self.rng.random_bool(0.5);
        let contacts = self.remote_contacts(now);
        let region = &self.own.region;
        let same_region = contacts
            .iter()
            .filter(|(_, other, _)| other == region && prefers_own_region);
        let domain = same_region
            .map(|(domain, _, _)| domain)
            .choose(&mut self.rng)
            .or_else(|| {
                contacts
                    .iter()
                    .map(|(domain, _, _)| domain)
                    .choose(&mut self.rng)
            })?;
        let hosts = contacts.iter().filter(|(other, _, _)| other == domain);
        let (_, _, target) = hosts.choose(&mut self.rng)?.clone();
        Some(self.ping(now, target, Purpose::Exchange))
    }

    fn remote_contacts(&self, now: Duration) -> Vec<(name::Domain, name::Region, name::Host)> {
        self.view(now)
            .hosts
            .into_iter()
            .filter(|(_, member)| member.domain != self.own.domain && member.state != State::Dead)
            .map(|(host, member)| (member.domain, member.region, host))
            .collect()
    }

    /// Pings a random host that is considered dead.
    fn ping_dead(&mut self, now: Duration) -> Option<Action> {
        let dead = self.table.iter().filter(|(_, peer)| !peer.is_up());
        let target = dead.map(|(host, _)| host).choose(&mut self.rng)?.clone();
        Some(self.ping(now, target, Purpose::Exchange))
    }

    fn ping(&mut self, now: Duration, target: name::Host, purpose: Purpose) -> Action {
        let sequence = self.probes.start(now, target.clone(), purpose);
        let gossip = self.gossip(now, &target);
        Action::Send {
            to: target,
            message: Message::Ping { sequence, gossip },
        }
    }

    /// Gossip for a heartbeat to `to`. It includes the record of `to` when that is not live, so
    /// that `to` can refute it.
    fn gossip(&mut self, now: Duration, to: &name::Host) -> Box<Gossip> {
        let known = self.table.get(to).cloned();
        let mut updates = Vec::new();
        let mut digests = self.domains.sample(now, MAX_DIGESTS, &mut self.rng);
        match known {
            Some(peer) => {
                updates = self.table.next_updates();
                let needs_refutation = peer.state != State::Live && peer.incarnation > 0;
                if needs_refutation && updates.iter().all(|update| update.host != *to) {
                    updates.push(Update {
                        host: to.clone(),
                        peer,
                    });
                }
            }
            None => digests.push(self.digest()),
        }
        Box::new(Gossip {
            sender: self.own.clone(),
            updates,
            digests,
            revisions: self.revisions.clone(),
            load: self.load,
            checksum: self.checksum(),
        })
    }

    /// Checksum of the records of this failure domain, including this host's own.
    fn checksum(&self) -> u64 {
        let mut own = Table::new(None);
        own.merge(Duration::ZERO, &self.settings.host, &self.own);
        self.table.checksum().wrapping_add(own.checksum())
    }

    /// Digest of this failure domain for hosts outside it. Hosts with the same records choose the
    /// same contacts.
    fn digest(&self) -> Digest {
        let own = (&self.settings.host, &self.own);
        let live: Vec<_> = self
            .table
            .iter()
            .chain([own])
            .filter(|(_, peer)| peer.state == State::Live && peer.incarnation > 0)
            .collect();
        let names = live.iter().map(|(host, _)| host.as_str());
        let chosen: BTreeSet<_> = rendezvous::order(self.own.domain.as_str(), names)
            .into_iter()
            .take(MAX_CONTACTS)
            .collect();
        let contact = |(host, peer): &(&name::Host, &Peer)| Contact {
            host: (*host).clone(),
            address: peer.address,
            peer_address: peer.peer_address,
        };
        Digest {
            domain: self.own.domain.clone(),
            region: self.own.region.clone(),
            live: live.len() as u32,
            contacts: live
                .iter()
                .filter(|(host, _)| chosen.contains(host.as_str()))
                .map(contact)
                .collect(),
            age_ms: 0,
        }
    }

    /// Handles a probe that was not answered in time.
    fn handle_timeout(&mut self, now: Duration, probe: Probe) -> Vec<Action> {
        match probe.purpose {
            Purpose::Relay { .. } => Vec::new(),
            Purpose::Exchange => {
                if self.table.get(&probe.target).is_some() {
                    return Vec::new();
                }
                self.domains.avoid(now, probe.target);
                vec![Action::ViewChanged]
            }
            Purpose::Direct if self.settings.mutant == Some(Mutant::SkipIndirectPing) => {
                self.set_state(now, &probe.target, State::Dead)
            }
            Purpose::Direct => self.ping_indirectly(now, probe.target),
            Purpose::Indirect => self.suspect(now, &probe.target),
        }
    }

    fn ping_indirectly(&mut self, now: Duration, target: name::Host) -> Vec<Action> {
        let Some(peer_address) = self.table.get(&target).map(|peer| peer.peer_address) else {
            return Vec::new();
        };
        let sequence = self.probes.start(now, target.clone(), Purpose::Indirect);
        let mut relays = self.up_hosts();
        relays.retain(|host| *host != target);
        relays.shuffle(&mut self.rng);
        if relays.len() < INDIRECT_PINGS {
            let remote_hosts = self
                .remote_contacts(now)
                .into_iter()
                .map(|(_, _, host)| host);
            relays.extend(remote_hosts.sample(&mut self.rng, INDIRECT_PINGS));
        }
        relays.truncate(INDIRECT_PINGS);
        relays
            .into_iter()
            .map(|to| Action::Send {
                to,
                message: Message::IndirectPing {
                    sequence,
                    target: target.clone(),
                    peer_address,
                },
            })
            .collect()
    }

    fn suspect(&mut self, now: Duration, target: &name::Host) -> Vec<Action> {
        let Some(peer) = self.table.get(target).filter(|peer| peer.is_up()) else {
            return Vec::new();
        };
        let (incarnation, state) = (peer.incarnation, peer.state);
        self.start_suspicion(now, target, incarnation);
        if state == State::Live {
            return self.set_state(now, target, State::Suspect);
        }
        Vec::new()
    }

    /// Starts the time in which a host can refute the suspicion, once per incarnation.
    fn start_suspicion(&mut self, now: Duration, host: &name::Host, incarnation: u64) {
        let known = self.suspicions.get(host);
        if known.is_some_and(|known| known.incarnation >= incarnation) {
            return;
        }
        let expires_at = now + SUSPICION_TIMEOUT;
        let suspicion = Suspicion {
            incarnation,
            expires_at,
        };
        self.suspicions.insert(host.clone(), suspicion);
    }

    /// Marks the suspects as dead that have not refuted the suspicion in time.
    fn expire_suspicions(&mut self, now: Duration) -> Vec<Action> {
        let expired: Vec<_> = self
            .suspicions
            .extract_if(.., |_, suspicion| suspicion.expires_at <= now)
            .collect();
        let mut actions = Vec::new();
        for (host, suspicion) in expired {
            let is_current = self
                .table
                .get(&host)
                .is_some_and(|peer| peer.incarnation == suspicion.incarnation);
            if is_current {
                actions.extend(self.set_state(now, &host, State::Dead));
            }
        }
        actions
    }

    fn set_state(&mut self, now: Duration, host: &name::Host, state: State) -> Vec<Action> {
        match self.table.set_state(now, host, state) {
            Some(report) => vec![Action::Report(report), Action::ViewChanged],
            None => Vec::new(),
        }
    }

    fn receive(&mut self, now: Duration, from: name::Host, message: Message) -> Vec<Action> {
        match message {
            Message::Ping { sequence, gossip } => {
                let mut actions = self.apply_gossip(now, &from, *gossip);
                let gossip = self.gossip(now, &from);
                actions.push(Action::Send {
                    to: from,
                    message: Message::Ack { sequence, gossip },
                });
                actions
            }
            Message::Ack { sequence, gossip } => {
                let mut actions = self.apply_gossip(now, &from, *gossip);
                if let Some(probe) = self.probes.take_answered(sequence, &from) {
                    actions.extend(self.relay_ack(probe));
                }
                actions
            }
            Message::IndirectPing {
                sequence,
                target,
                peer_address,
            } => {
                let address = self.address_action(&target, peer_address);
                let purpose = Purpose::Relay { from, sequence };
                vec![address, self.ping(now, target, purpose)]
            }
            Message::IndirectAck { sequence, target } => {
                if self.probes.take_answered(sequence, &target).is_some() {
                    self.suspicions.remove(&target);
                }
                Vec::new()
            }
            Message::Table {
                updates,
                wants_reply,
            } => {
                let mut actions = self.merge_updates(now, updates);
                if wants_reply {
                    actions.push(self.table_message(from, false));
                }
                actions
            }
        }
    }

    fn relay_ack(&mut self, probe: Probe) -> Option<Action> {
        let Purpose::Relay { from, sequence } = probe.purpose else {
            return None;
        };
        Some(Action::Send {
            to: from,
            message: Message::IndirectAck {
                sequence,
                target: probe.target,
            },
        })
    }

    /// Applies the gossip of a heartbeat or its answer.
    fn apply_gossip(&mut self, now: Duration, from: &name::Host, gossip: Gossip) -> Vec<Action> {
        let is_same_domain = gossip.sender.domain == self.own.domain;
        let mut actions = vec![
            self.address_action(from, gossip.sender.peer_address),
            Action::PassSummary {
                from: from.clone(),
                summary: gossip.revisions,
            },
        ];
        self.domains.stop_avoiding(from);
        if is_same_domain {
            if self.loads.insert(from.clone(), gossip.load) != Some(gossip.load) {
                actions.push(Action::ViewChanged);
            }
            self.clear_suspicion(from, &gossip.sender);
            actions.extend(self.merge_record(now, from, &gossip.sender));
            actions.extend(self.correct_incarnation(from, &gossip.sender));
        }
        actions.extend(self.merge_updates(now, gossip.updates));
        for digest in gossip.digests {
            if digest.domain == self.own.domain {
                continue;
            }
            for contact in &digest.contacts {
                actions.push(self.address_action(&contact.host, contact.peer_address));
            }
            if self.domains.merge(now, digest) {
                actions.push(Action::ViewChanged);
            }
        }
        if is_same_domain && gossip.checksum != self.checksum() && now >= self.next_sync_at {
            self.next_sync_at = now + MIN_SYNC_PERIOD;
            actions.push(self.table_message(from.clone(), true));
        }
        actions
    }

    /// Drops the probes and the suspicion of a host that sent a heartbeat or an answer, unless its
    /// incarnation is older than the known one.
    fn clear_suspicion(&mut self, from: &name::Host, record: &Peer) {
        let is_current = self
            .table
            .get(from)
            .is_none_or(|peer| record.incarnation >= peer.incarnation);
        if is_current {
            self.probes.cancel_own(from);
            self.suspicions.remove(from);
        }
    }

    /// Sends a host that uses an old incarnation the record that is known of it.
    fn correct_incarnation(&self, from: &name::Host, record: &Peer) -> Option<Action> {
        let known = self.table.get(from)?;
        if known.incarnation <= record.incarnation {
            return None;
        }
        let update = Update {
            host: from.clone(),
            peer: known.clone(),
        };
        Some(Action::Send {
            to: from.clone(),
            message: Message::Table {
                updates: vec![update],
                wants_reply: false,
            },
        })
    }

    fn merge_updates(&mut self, now: Duration, updates: Vec<Update>) -> Vec<Action> {
        let mut actions = Vec::new();
        for Update { host, peer } in updates {
            actions.extend(self.merge_record(now, &host, &peer));
        }
        actions
    }

    /// Merges one record. A record of this host is refuted if it is wrong.
    fn merge_record(&mut self, now: Duration, host: &name::Host, peer: &Peer) -> Vec<Action> {
        if *host == self.settings.host {
            return self.refute(peer);
        }
        if peer.domain != self.own.domain {
            return Vec::new();
        }
        let known = self.table.get(host);
        let changes = known.is_none_or(|known| peer.supersedes(known));
        let report = self.table.merge(now, host, peer);
        if !changes && report.is_none() {
            return Vec::new();
        }
        if peer.state == State::Suspect {
            self.start_suspicion(now, host, peer.incarnation);
        }
        let mut actions = vec![self.address_action(host, peer.peer_address)];
        actions.extend(report.map(Action::Report));
        actions.push(Action::ViewChanged);
        actions
    }

    /// Raises this host's incarnation above that of a record that supersedes its own.
    fn refute(&mut self, record: &Peer) -> Vec<Action> {
        if !record.supersedes(&self.own) {
            return Vec::new();
        }
        self.own.incarnation = record.incarnation + 1;
        vec![
            Action::Report(Report::Refuted {
                state: record.state,
                incarnation: self.own.incarnation,
            }),
            Action::ViewChanged,
        ]
    }

    fn table_message(&self, to: name::Host, wants_reply: bool) -> Action {
        let mut updates = self.table.all_updates();
        updates.push(Update {
            host: self.settings.host.clone(),
            peer: self.own.clone(),
        });
        Action::Send {
            to,
            message: Message::Table {
                updates,
                wants_reply,
            },
        }
    }

    /// Applies the platform's list, which adds hosts but changes no record that came from a host.
    fn apply_list(&mut self, now: Duration, rows: Vec<Listing>) -> Vec<Action> {
        let mut actions = Vec::new();
        for row in &rows {
            if row.host == self.settings.host {
                continue;
            }
            if row.region != self.own.region || !self.is_address_known(now, &row.host) {
                actions.push(Action::SetAddress {
                    host: row.host.clone(),
                    peer_address: row.peer_address,
                });
            }
            let peer = self.listed_record(row);
            actions.extend(self.merge_record(now, &row.host, &peer));
        }
        let listed = rows.into_iter().map(|row| (row.host.clone(), row));
        let listed: BTreeMap<_, _> = listed.collect();
        if self.listed != listed {
            self.listed = listed;
            actions.push(Action::ViewChanged);
        }
        actions
    }

    /// Sets the address of a host. For a host of another region, the address in the list is
    /// preferred, since the host may not know the address by which other regions reach it. Within a
    /// region, the address from the host itself is newer.
    fn address_action(&self, host: &name::Host, own_address: SocketAddr) -> Action {
        let listed = self.listed.get(host);
        let other_region = listed.filter(|row| row.region != self.own.region);
        Action::SetAddress {
            host: host.clone(),
            peer_address: other_region.map_or(own_address, |row| row.peer_address),
        }
    }

    /// Whether the address of a host is known from the host itself or from a digest.
    fn is_address_known(&self, now: Duration, host: &name::Host) -> bool {
        let from_host = self
            .table
            .get(host)
            .is_some_and(|peer| peer.incarnation > 0);
        let names_host =
            |digest: &Digest| digest.contacts.iter().any(|contact| contact.host == *host);
        from_host || self.domains.fresh(now).any(names_host)
    }

    fn listed_record(&self, row: &Listing) -> Peer {
        let known = self.table.get(&row.host);
        let incarnation = match self.settings.mutant {
            Some(Mutant::TrustList) => known.map_or(0, |peer| peer.incarnation + 1),
            _ => 0,
        };
        Peer {
            incarnation,
            state: match row.is_leaving {
                true => State::Leaving,
                false => State::Live,
            },
            region: row.region.clone(),
            domain: row.domain.clone(),
            address: row.address,
            peer_address: row.peer_address,
        }
    }

    /// Starts to leave and pings a bounded number of hosts to announce it.
    fn leave(&mut self, now: Duration) -> Vec<Action> {
        self.own.state = State::Leaving;
        let mut targets: Vec<_> = self.up_hosts();
        targets.shuffle(&mut self.rng);
        targets.truncate(LEAVE_PINGS);
        let remote_hosts = self
            .remote_contacts(now)
            .into_iter()
            .map(|(_, _, host)| host);
        targets.extend(remote_hosts.sample(&mut self.rng, INDIRECT_PINGS));
        let mut actions = vec![Action::ViewChanged];
        for target in targets {
            actions.push(self.ping(now, target, Purpose::Exchange));
        }
        actions
    }

    /// The other hosts of this failure domain that are not dead.
    fn up_hosts(&self) -> Vec<name::Host> {
        self.table
            .iter()
            .filter(|(_, peer)| peer.is_up())
            .map(|(host, _)| host.clone())
            .collect()
    }

    /// Drops the probes and extends the suspicions after a pause, since answers that were due
    /// meanwhile may only be unread.
    fn resume_after_pause(&mut self, paused_for: Duration) -> Vec<Action> {
        if self.settings.mutant == Some(Mutant::IgnoreOwnPause) {
            return Vec::new();
        }
        self.probes.clear();
        for suspicion in self.suspicions.values_mut() {
            suspicion.expires_at += paused_for;
        }
        vec![Action::Report(Report::Resumed { paused_for })]
    }
}

impl machine::Machine for Machine {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let paused_for = now.saturating_sub(self.last_step_at.unwrap_or(now));
        self.last_step_at = Some(now);
        let mut actions = Vec::new();
        if paused_for > MIN_PAUSE {
            actions.extend(self.resume_after_pause(paused_for));
        }
        actions.extend(match event {
            Event::Tick => self.tick(now),
            Event::Listed(rows) => self.apply_list(now, rows),
            Event::Received { from, message } => self.receive(now, from, message),
            Event::Revisions(revisions) => {
                self.revisions = revisions;
                Vec::new()
            }
            Event::Load(load) => {
                self.load = load;
                Vec::new()
            }
            Event::Leave => self.leave(now),
        });
        actions
    }
}
