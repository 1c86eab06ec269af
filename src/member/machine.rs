//! The state machine of one host.

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

/// Time between two [`Event::Tick`].
pub const TICK: Duration = Duration::from_millis(100);

/// Between two heartbeats within the failure domain.
const DOMAIN_PING_PERIOD: Duration = Duration::from_millis(500);

/// Between two heartbeats to other failure domains.
const REMOTE_PING_PERIOD: Duration = Duration::from_secs(1);

/// Between two pings of a host that is taken for dead, so that both sides of a healed cut meet.
const DEAD_PING_PERIOD: Duration = Duration::from_secs(5);

/// A suspect that doesn't object within this is dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);

/// A host that was stopped for longer than this does not hold others' silence against them.
const MIN_PAUSE: Duration = Duration::from_secs(1);

/// Least time between two whole tables that a host asks for.
const MIN_SYNC_PERIOD: Duration = Duration::from_secs(5);

/// Hosts asked to ping one that does not answer.
const INDIRECT_PINGS: usize = 3;

/// Hosts that are told at once that this one leaves.
const LEAVE_PINGS: usize = 16;

/// Contacts in the digest of a failure domain.
const MAX_CONTACTS: usize = 8;

/// Digests of other failure domains in one message.
const MAX_DIGESTS: usize = 2;

/// The membership of one host.
#[derive(Debug)]
pub struct Machine {
    pub(super) settings: Settings,
    rng: StdRng,
    pub(super) own: Peer,
    pub(super) table: Table,
    pub(super) domains: Domains,
    probes: Probes,
    pub(super) listed: BTreeMap<name::Host, Listing>,
    suspicions: BTreeMap<name::Host, Suspicion>,
    revisions: spread::Summary,
    pub(super) load: u8,
    pub(super) loads: BTreeMap<name::Host, u8>,
    ping_order: Vec<name::Host>,
    last_step_at: Option<Duration>,
    next_domain_ping_at: Duration,
    next_remote_ping_at: Duration,
    next_dead_ping_at: Duration,
    next_sync_at: Duration,
}

/// A host that has not answered.
#[derive(Debug)]
struct Suspicion {
    incarnation: u64,
    expires_at: Duration,
}

impl Machine {
    /// A host that knows nobody.
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

    /// This host's own record.
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

    /// Pings the next host of this failure domain; each is pinged once before any is again.
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

    /// Pings a contact of another failure domain, every other time of the same region.
    fn ping_remote_domain(&mut self, now: Duration) -> Option<Action> {
        let own_region = self.rng.random_bool(0.5);
        let view = self.remote_contacts(now);
        let region = &self.own.region;
        let near = view
            .iter()
            .filter(|(_, near, _)| near == region && own_region);
        let domain = near
            .map(|(domain, _, _)| domain)
            .choose(&mut self.rng)
            .or_else(|| {
                view.iter()
                    .map(|(domain, _, _)| domain)
                    .choose(&mut self.rng)
            })?;
        let hosts = view.iter().filter(|(other, _, _)| other == domain);
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

    /// What a heartbeat to `to` carries.
    fn gossip(&mut self, now: Duration, to: &name::Host) -> Box<Gossip> {
        let known = self.table.get(to).cloned();
        let mut updates = Vec::new();
        let mut digests = self.domains.sample(now, MAX_DIGESTS, &mut self.rng);
        match known {
            Some(peer) => {
                updates = self.table.next_updates();
                let objectionable = peer.state != State::Live && peer.incarnation > 0;
                if objectionable && updates.iter().all(|update| update.host != *to) {
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

    /// The checksum of the failure domain, this host among it.
    fn checksum(&self) -> u64 {
        let mut own = Table::new(None);
        own.merge(Duration::ZERO, &self.settings.host, &self.own);
        self.table.checksum().wrapping_add(own.checksum())
    }

    /// What hosts outside learn of this failure domain.
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

    /// An answer did not come in time.
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
        let mut witnesses = self.up_hosts();
        witnesses.retain(|host| *host != target);
        witnesses.shuffle(&mut self.rng);
        if witnesses.len() < INDIRECT_PINGS {
            let far = self
                .remote_contacts(now)
                .into_iter()
                .map(|(_, _, host)| host);
            witnesses.extend(far.sample(&mut self.rng, INDIRECT_PINGS));
        }
        witnesses.truncate(INDIRECT_PINGS);
        witnesses
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

    /// Gives a host its time to object.
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

    /// Takes suspects for dead that have not objected in time.
    fn expire_suspicions(&mut self, now: Duration) -> Vec<Action> {
        let over: Vec<_> = self
            .suspicions
            .extract_if(.., |_, suspicion| suspicion.expires_at <= now)
            .collect();
        let mut actions = Vec::new();
        for (host, suspicion) in over {
            let same = self
                .table
                .get(&host)
                .is_some_and(|peer| peer.incarnation == suspicion.incarnation);
            if same {
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

    /// Takes what a heartbeat carries.
    fn apply_gossip(&mut self, now: Duration, from: &name::Host, gossip: Gossip) -> Vec<Action> {
        let near = gossip.sender.domain == self.own.domain;
        let mut actions = vec![
            self.address_action(from, gossip.sender.peer_address),
            Action::PassSummary {
                from: from.clone(),
                summary: gossip.revisions,
            },
        ];
        self.domains.stop_avoiding(from);
        if near {
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
        if near && gossip.checksum != self.checksum() && now >= self.next_sync_at {
            self.next_sync_at = now + MIN_SYNC_PERIOD;
            actions.push(self.table_message(from.clone(), true));
        }
        actions
    }

    /// A host spoke for itself: it is neither silent nor, under a known incarnation, suspect.
    fn clear_suspicion(&mut self, from: &name::Host, own: &Peer) {
        let current = self
            .table
            .get(from)
            .is_none_or(|peer| own.incarnation >= peer.incarnation);
        if current {
            self.probes.cancel_own(from);
            self.suspicions.remove(from);
        }
    }

    /// Tells a host that speaks under an old incarnation which one is known of it.
    fn correct_incarnation(&self, from: &name::Host, own: &Peer) -> Option<Action> {
        let known = self.table.get(from)?;
        if known.incarnation <= own.incarnation {
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

    /// Takes one record.
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

    /// Hears what is said of this host and goes above it when it isn't true.
    fn refute(&mut self, said: &Peer) -> Vec<Action> {
        if !said.supersedes(&self.own) {
            return Vec::new();
        }
        self.own.incarnation = said.incarnation + 1;
        vec![
            Action::Report(Report::Refuted {
                state: said.state,
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

    /// Takes the platform's list: it names hosts that are not yet known, and no more.
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

    /// Where a host is reached. The list may know a way into another region that the host itself
    /// does not; within a region a host's own word is newer.
    fn address_action(&self, host: &name::Host, told: SocketAddr) -> Action {
        let listed = self.listed.get(host);
        let elsewhere = listed.filter(|row| row.region != self.own.region);
        Action::SetAddress {
            host: host.clone(),
            peer_address: elsewhere.map_or(told, |row| row.peer_address),
        }
    }

    /// Whether a host's address is known from the host itself or from its failure domain.
    fn is_address_known(&self, now: Duration, host: &name::Host) -> bool {
        let near = self
            .table
            .get(host)
            .is_some_and(|peer| peer.incarnation > 0);
        let told = |digest: &Digest| digest.contacts.iter().any(|contact| contact.host == *host);
        near || self.domains.fresh(now).any(told)
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

    /// Leaves, and tells as many as may be told at once.
    fn leave(&mut self, now: Duration) -> Vec<Action> {
        self.own.state = State::Leaving;
        let mut told: Vec<_> = self.up_hosts();
        told.shuffle(&mut self.rng);
        told.truncate(LEAVE_PINGS);
        let far = self
            .remote_contacts(now)
            .into_iter()
            .map(|(_, _, host)| host);
        told.extend(far.sample(&mut self.rng, INDIRECT_PINGS));
        let mut actions = vec![Action::ViewChanged];
        for target in told {
            actions.push(self.ping(now, target, Purpose::Exchange));
        }
        actions
    }

    /// The other hosts of this failure domain that may be talked to.
    fn up_hosts(&self) -> Vec<name::Host> {
        self.table
            .iter()
            .filter(|(_, peer)| peer.is_up())
            .map(|(host, _)| host.clone())
            .collect()
    }

    /// After a pause: what did not come meanwhile proves nothing.
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
