//! The load that upstreams report: takes it from answers, and shares it with the hosts of the region.

use {
    super::Core,
    crate::{
        name,
        proxy::{
            load::{MAX_REPORTED, Reading, Report, order},
            replica::Replica,
        },
    },
    std::{collections::BTreeMap, time::Duration},
};

impl Core {
    /// Records the load that the head of an answer reports. Returns whether it is one of the process
    /// that the request was sent to.
    pub fn record_load(&mut self, now: Duration, ticket: u64, reading: Reading) -> bool {
        let replica = self.replica_of(ticket);
        replica.is_some_and(|replica| {
            replica.load.record(now, reading);
            true
        })
    }

    /// Records that the head of an answer reports a load that can't be read. Returns whether to log it.
    pub fn record_malformed_load(&mut self, now: Duration, ticket: u64) -> bool {
        let replica = self.replica_of(ticket);
        replica.is_some_and(|replica| replica.load.record_malformed(now))
    }

    /// The upstream of a reservation, unless it has another process now.
    fn replica_of(&mut self, ticket: u64) -> Option<&mut Replica> {
        let reservation = self.reservations.get(&ticket)?;
        let replica = self.catalog.get_mut(&reservation.upstream)?;
        (replica.process() == reservation.process).then_some(replica)
    }

    /// The readings that this host took of its region's upstreams, the newest first.
    pub(super) fn loads(&self, now: Duration) -> Vec<Report> {
        let replicas = self.catalog.all();
        let reports = replicas.filter_map(|replica| {
            let (age, reading) = replica.load.own(now)?;
            let process = replica.process();
            Some(Report {
                process,
                age,
                reading,
            })
        });
        let mut reports: Vec<_> = reports.collect();
        reports.sort_by(order);
        reports
    }

    /// Records the readings that another host of the region reports. Those of processes that this host
    /// doesn't know, as they have ended or are not listed yet, are left out.
    pub(super) fn receive_loads(&mut self, now: Duration, host: &name::Host, reports: &[Report]) {
        if reports.is_empty() {
            return;
        }
        let reports = reports.iter().take(MAX_REPORTED);
        let reports: BTreeMap<_, _> = reports.map(|report| (report.process, report)).collect();
        for replica in self.catalog.all_mut() {
            if let Some(report) = reports.get(&replica.process()) {
                replica.load.record_report(now, host, report);
            }
        }
    }
}
