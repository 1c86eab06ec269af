//! The versions of one document that a host holds.

use {
    super::{Content, Patch, Report, Version, Versions},
    crate::config::{
        Diagnostic, Document,
        accept::{self, Parsed},
    },
    std::{collections::VecDeque, sync::Arc},
};

/// Most steps of history that are kept for patches.
const MAX_HISTORY_STEPS: usize = 32;

/// Longest patch that is kept, in bytes; a larger change is sent whole.
const MAX_PATCH_BYTES: usize = 16 << 10;

/// One document on one host.
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

/// What a text that arrived has changed.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// Nothing.
    None,
    /// It is in force now.
    Installed,
    /// It was refused.
    Refused(Report),
}

impl Store {
    /// Nothing is held yet.
    pub(super) fn new(document: Document) -> Self {
        Self {
            document,
            accepted: None,
            refused: None,
            history: VecDeque::new(),
        }
    }

    /// Which document this is.
    pub(super) fn document(&self) -> Document {
        self.document
    }

    /// What is held.
    pub(super) fn versions(&self) -> Versions {
        Versions {
            accepted: self.accepted.as_ref().map(|current| current.version),
            refused: self.refused.as_ref().map(|current| current.version),
        }
    }

    /// The rows in force.
    pub(super) fn parsed(&self) -> Option<&Parsed> {
        self.accepted.as_ref().map(|current| &current.parsed)
    }

    /// What is wrong with the later version that was refused, if there is one.
    pub(super) fn refusal_diagnostics(&self) -> &[Diagnostic] {
        self.refused
            .as_ref()
            .map_or(&[], |current| current.diagnostics.as_slice())
    }

    /// Whether a version could change anything.
    pub(super) fn wants(&self, version: Version) -> bool {
        let standing = self.versions();
        Some(version) > standing.accepted && Some(version) != standing.refused
    }

    /// Whether a host that stands at `other` has something that could change anything here.
    pub(super) fn lacks(&self, other: &Versions) -> bool {
        other.accepted.is_some_and(|version| self.wants(version))
            || other.refused > self.versions().latest()
    }

    /// Takes a text: in force, refused or of no use. `force` installs it whatever is held.
    pub(super) fn learn(&mut self, version: Version, text: Arc<str>, force: bool) -> Change {
        if !force && !self.wants(version) {
            return Change::None;
        }
        match accept::document(self.document, &text) {
            Ok(parsed) => self.install(version, text, parsed),
            Err(diagnostics) => self.refuse(version, text, diagnostics),
        }
    }

    /// The messages' contents that bring a host at `have` to what is held here.
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
        if let Some(current) = &self.refused
            && Some(current.version) > have.latest()
        {
            contents.push((current.version, Content::Whole(current.text.clone())));
        }
        contents
    }

    /// The text that a content leads to from what is held here.
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
            .filter(|current| current.version > version);
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
