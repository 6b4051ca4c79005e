//! Where an operator is in a draft, and what a button asks for; both travel in the form as text.

use super::fields::{Section, section};
use std::fmt;

/// A page of the draft.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    pub(super) section: &'static Section,
    /// The entry, if the page shows one.
    pub(super) index: Option<usize>,
}

/// What a button asks for.
#[derive(Clone, Copy, Debug)]
pub(super) enum Go {
    /// Show a page.
    To(Place),
    /// Add an entry and show it.
    Add(&'static Section),
    /// Remove an entry.
    Remove(Place),
    /// Make an API key for a team.
    MakeKey(Place),
    /// Show what the draft changes.
    Review,
    /// Carry the draft's changes over to the document in force.
    Rebase,
    /// Give the document out to be published.
    HandOut,
}

impl Place {
    pub(super) fn parse(text: &str) -> Option<Self> {
        let (key, index) = match text.split_once('/') {
            Some((key, index)) => (key, Some(index.parse().ok()?)),
            None => (text, None),
        };
        let section = section(if key == DOCUMENT { "" } else { key })?;
        let place = Self { section, index };
        (section.is_list || index.is_none()).then_some(place)
    }

    /// Whether the page has the fields of one entry.
    pub(super) fn has_fields(self) -> bool {
        self.index.is_some() || !self.section.is_list
    }

    /// The JSON path of what the page shows.
    pub(super) fn path(self) -> String {
        self.section.path(self.index)
    }
}

/// How the section without a key is called in a form.
const DOCUMENT: &str = "document";

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.section.key.is_empty() { DOCUMENT } else { self.section.key })?;
        self.index.map_or(Ok(()), |index| write!(f, "/{index}"))
    }
}

impl Go {
    pub(super) fn parse(text: &str) -> Option<Self> {
        let (verb, place) = text.split_once(' ').unwrap_or((text, ""));
        let entry = || Place::parse(place).filter(|place| place.index.is_some());
        match verb {
            "to" => Place::parse(place).map(Self::To),
            "add" => section(place).filter(|section| section.is_list).map(Self::Add),
            "remove" => entry().map(Self::Remove),
            "make-key" => entry().map(Self::MakeKey),
            "review" => Some(Self::Review),
            "rebase" => Some(Self::Rebase),
            "hand-out" => Some(Self::HandOut),
            _ => None,
        }
    }
}

impl fmt::Display for Go {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::To(place) => write!(f, "to {place}"),
            Self::Add(section) => write!(f, "add {}", section.key),
            Self::Remove(place) => write!(f, "remove {place}"),
            Self::MakeKey(place) => write!(f, "make-key {place}"),
            Self::Review => f.write_str("review"),
            Self::Rebase => f.write_str("rebase"),
            Self::HandOut => f.write_str("hand-out"),
        }
    }
}
