//! Status of the documents and members, for the status page and the metrics.

use {
    crate::{
        config::{Diagnostic, Document, spread},
        member::{self, State},
        metric::Metrics,
    },
    prometheus_client::{
        encoding::EncodeLabelSet,
        metrics::{counter::Counter, family::Family, gauge::Gauge},
    },
    serde::Serialize,
    std::collections::BTreeMap,
};

/// Status of one document.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub(super) struct DocumentStatus {
    /// The revision in force; 0 if there is none.
    pub(super) revision: u64,
    /// A later revision that was refused, and why.
    pub(super) refused: Option<Refusal>,
    /// The configuration service's revision, if it is older than the one known here.
    pub(super) behind: Option<u64>,
}

/// A revision that was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct Refusal {
    /// Revision number.
    pub(super) revision: u64,
    /// All faults that were found in it.
    pub(super) faults: Vec<Diagnostic>,
}

/// Status of all documents.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub(super) struct Status {
    /// Status of each document, by document.
    #[serde(flatten)]
    pub(super) documents: BTreeMap<Document, DocumentStatus>,
    /// Contradictions between the documents in force, such as a route that names an unknown
    /// pool.
    pub(super) unjoined: Vec<Diagnostic>,
}

impl Status {
    /// Collects the status from the document spread machine.
    pub(super) fn of(machine: &spread::Machine) -> Self {
        let summary = machine.summary();
        let document_status = |document: Document| {
            let versions = summary.versions(document);
            let refused = versions.refused.map(|version| Refusal {
                revision: version.revision,
                faults: machine.refusal_diagnostics(document).to_vec(),
            });
            DocumentStatus {
                revision: versions.accepted.map_or(0, |version| version.revision),
                refused,
                behind: machine.stale_service_revision(document),
            }
        };
        Self {
            documents: Document::ALL
                .into_iter()
                .map(|document| (document, document_status(document)))
                .collect(),
            unjoined: machine.broken_references(),
        }
    }
}

/// Metric label with the name of a document.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DocumentLabel {
    document: String,
}

/// Metric label with the state of a member.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StateLabel {
    state: String,
}

/// Metrics of the documents and members.
#[derive(Debug, Clone, Default)]
pub(super) struct Gauges {
    revision: Family<DocumentLabel, Gauge>,
    refused: Family<DocumentLabel, Gauge>,
    behind: Family<DocumentLabel, Gauge>,
    members: Family<StateLabel, Gauge>,
    /// 1 while the documents are confirmed by the service or the peers, else 0.
    pub(super) confirmed: Gauge,
    /// Number of pauses of the process.
    pub(super) pauses: Counter,
    /// Number of reads of the configuration service.
    pub(super) reads: Counter,
}

impl Gauges {
    /// Creates the gauges and registers them in `metrics`.
    pub(super) fn new(metrics: &Metrics) -> Self {
        let gauges = Self::default();
        let shown = gauges.clone();
        metrics.register(|registry| {
            registry.register("document_revision", "Revision in force", shown.revision);
            registry.register(
                "document_refused_revision",
                "Later revision that was refused, or 0",
                shown.refused,
            );
            registry.register(
                "document_behind_revision",
                "Older revision that the service gives, or 0",
                shown.behind,
            );
            registry.register("members", "Hosts of this view by state", shown.members);
            registry.register(
                "documents_confirmed",
                "Whether the documents are confirmed by the service or the peers",
                shown.confirmed,
            );
            registry.register("pauses", "Pauses of this process", shown.pauses);
            registry.register("document_reads", "Reads of the service", shown.reads);
        });
        gauges
    }

    /// Sets the gauges of the documents.
    pub(super) fn set_documents(&self, status: &Status) {
        for (document, row) in &status.documents {
            let label = DocumentLabel {
                document: document.to_string(),
            };
            let refused = row.refused.as_ref();
            let set = |family: &Family<DocumentLabel, Gauge>, revision: u64| {
                family.get_or_create(&label).set(revision as i64);
            };
            set(&self.revision, row.revision);
            set(&self.refused, refused.map_or(0, |refusal| refusal.revision));
            set(&self.behind, row.behind.unwrap_or(0));
        }
    }

    /// Sets the gauges of the members, by state.
    pub(super) fn set_members(&self, view: &member::View) {
        for state in [State::Live, State::Suspect, State::Leaving, State::Dead] {
            let hosts = view.hosts.values().filter(|host| host.state == state);
            let label = StateLabel {
                state: state.to_string(),
            };
            self.members.get_or_create(&label).set(hosts.count() as i64);
        }
    }
}
