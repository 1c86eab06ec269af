//! The difference between two texts of a document, so that hosts exchange small changes instead of
//! whole documents.

use serde::{Deserialize, Serialize};

/// Turns one text into the next by replacing all between a common head and a common tail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    head: usize,
    tail: usize,
    insert: String,
}

impl Patch {
    /// The patch that turns `old` into `new`.
    pub fn between(old: &str, new: &str) -> Self {
        let same = |(a, b): &(u8, u8)| a == b;
        let mut head = old.bytes().zip(new.bytes()).take_while(same).count();
        while !(old.is_char_boundary(head) && new.is_char_boundary(head)) {
            head -= 1;
        }
        let (old_rest, new_rest) = (&old[head..], &new[head..]);
        let ends = old_rest.bytes().rev().zip(new_rest.bytes().rev());
        let mut tail = ends.take_while(same).count();
        while !(old_rest.is_char_boundary(old_rest.len() - tail)
            && new_rest.is_char_boundary(new_rest.len() - tail))
        {
            tail -= 1;
        }
        Self {
            head,
            tail,
            insert: new_rest[..new_rest.len() - tail].to_owned(),
        }
    }

    /// Applies the patch. `None` if `old` can't be the text that the patch was made from.
    pub fn apply(&self, old: &str) -> Option<String> {
        let tail = old.len().checked_sub(self.tail)?;
        if self.head > tail {
            return None;
        }
        Some([old.get(..self.head)?, &self.insert, old.get(tail..)?].concat())
    }

    /// The number of inserted bytes.
    pub fn len(&self) -> usize {
        self.insert.len()
    }

    /// Whether the patch inserts nothing.
    pub fn is_empty(&self) -> bool {
        self.insert.is_empty()
    }
}
