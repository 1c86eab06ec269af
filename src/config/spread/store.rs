//! The versions of one document on a host: the version in force, a later refused one, and recent
//! patches.

use {
    super::{Content, Patch, Report, Version, Versions},
    crate::config::{
        Diagnostic, Document,
        accept::{self, Parsed},
    },
    std::{collections::VecDeque, sync::Arc},
};

/// Most patches that are kept for hosts with older versions.
const MAX_HISTORY_STEPS: usize = 32;

/// Longest patch that is kept, in bytes; after a larger change the full text is sent.
const MAX_PATCH_BYTES: usize = 16 << 10;

/// The versions of one document that this host holds.
#[derive(Debug)]
pub(super) struct Store {
    document: Document,
    accepted: Option<Accepted>,
    refused: Option<Refused>,
    history: VecDeque<Step>,
}

#[derive(Debug)]
struct Accepted {
    version: Version,
    text: Arc<str>,
    parsed: Parsed,
}

#[derive(Debug)]
struct Refused {
    version: Version,
    text: Arc<str>,
    diagnostics: Vec<Diagnostic>,
}

/// The change from one accepted version to the next.
#[derive(Debug)]
struct Step {
    from: Version,
    patch: Patch,
}

/// The effect of a text on the store.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// The text was ignored, since a stored version is as new or newer.
    None,
    /// The text came into force.
    Installed,
    /// The text was refused; the version in force stays.
    Refused(Report),
}

impl Store {
    /// Creates a store that holds no version of `document`.
    pub(super) fn new(document: Document) -> Self {
        Self {
            document,
            accepted: None,
            refused: None,
            history: VecDeque::new(),
        }
    }

    /// The document of this store.
    pub(super) fn document(&self) -> Document {
        self.document
    }

    /// The versions that the store holds.
    pub(super) fn versions(&self) -> Versions {
        Versions {
            accepted: self.accepted.as_ref().map(|current| current.version),
            refused: self.refused.as_ref().map(|refused| refused.version),
        }
    }

    /// The rows of the version in force.
    pub(super) fn parsed(&self) -> Option<&Parsed> {
        self.accepted.as_ref().map(|current| &current.parsed)
    }

    /// The errors of the refused version, if there is one.
    pub(super) fn refusal_diagnostics(&self) -> &[Diagnostic] {
        self.refused
            .as_ref()
            .map_or(&[], |refused| refused.diagnostics.as_slice())
    }

    /// Whether a version is later than the accepted one and not already refused.
    pub(super) fn wants(&self, version: Version) -> bool {
        let versions = self.versions();
        Some(version) > versions.accepted && Some(version) != versions.refused
    }

    /// Whether a host with the versions `other` holds one that is missing here.
    pub(super) fn lacks(&self, other: &Versions) -> bool {
        other.accepted.is_some_and(|version| self.wants(version))
            || other.refused > self.versions().latest()
    }

    /// Accepts or refuses a text that is newer than the stored ones. `force` accepts an older text
    /// too.
    pub(super) fn apply_text(&mut self, version: Version, text: Arc<str>, force: bool) -> Change {
        if !force && !self.wants(version) {
            return Change::None;
        }
        match accept::document(self.document, &text) {
            Ok(parsed) => self.install(version, text, parsed),
            Err(diagnostics) => self.refuse(version, text, diagnostics),
        }
    }

    /// The contents that a host with the versions `have` needs to catch up.
    pub(super) fn contents(&self, have: Versions) -> Vec<(Version, Content)> {
        let mut contents = Vec::new();
        if let Some(current) = &self.accepted
            && Some(current.version) > have.accepted
        {
            contents.push((
                current.version,
                self.content_from(have.accepted, &current.text),
            ));
        }
        if let Some(refused) = &self.refused
            && Some(refused.version) > have.latest()
        {
            contents.push((refused.version, Content::Whole(refused.text.clone())));
        }
        contents
    }

    /// The text of a content. `None` if its patches don't apply here or the digest doesn't match.
    pub(super) fn resolve(&self, version: Version, content: Content) -> Option<Arc<str>> {
        let text = match content {
            Content::Whole(text) => text,
            Content::Patches { base, patches } => self.apply_patches(base, &patches)?,
        };
        (Version::of(version.revision, &text) == version).then_some(text)
    }

    fn apply_patches(&self, base: Version, patches: &[Patch]) -> Option<Arc<str>> {
        let current = self.accepted.as_ref()?;
        if current.version != base {
            return None;
        }
        let mut text = current.text.to_string();
        for patch in patches {
            text = patch.apply(&text)?;
        }
        Some(text.into())
    }

    /// The content for a host with the version `have`: patches if the history covers them and they
    /// are at most half as long as the text, else the full text.
    fn content_from(&self, have: Option<Version>, text: &Arc<str>) -> Content {
        let whole = Content::Whole(text.clone());
        let Some(base) = have else {
            return whole;
        };
        let Some(at) = self.history.iter().position(|step| step.from == base) else {
            return whole;
        };
        let patches: Vec<_> = self
            .history
            .iter()
            .skip(at)
            .map(|step| step.patch.clone())
            .collect();
        if patches.iter().map(Patch::len).sum::<usize>() > text.len() / 2 {
            return whole;
        }
        Content::Patches { base, patches }
    }

    fn install(&mut self, version: Version, text: Arc<str>, parsed: Parsed) -> Change {
        if let Some(old) = &self.accepted {
            let patch = Patch::between(&old.text, &text);
            if patch.len() > MAX_PATCH_BYTES {
                self.history.clear();
            } else {
                self.history.push_back(Step {
                    from: old.version,
                    patch,
                });
            }
        }
        while self.history.len() > MAX_HISTORY_STEPS {
            self.history.pop_front();
        }
        self.refused = self
            .refused
            .take()
            .filter(|refused| refused.version > version);
        self.accepted = Some(Accepted {
            version,
            text,
            parsed,
        });
        Change::Installed
    }

    fn refuse(&mut self, version: Version, text: Arc<str>, diagnostics: Vec<Diagnostic>) -> Change {
        if Some(version) <= self.versions().latest() {
            return Change::None;
        }
        let report = Report::Refused {
            document: self.document,
            version,
            diagnostics: diagnostics.clone(),
        };
        self.refused = Some(Refused {
            version,
            text,
            diagnostics,
        });
        Change::Refused(report)
    }
}
