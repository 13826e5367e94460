//! The error type of the decision library.
//!
//! ```
//! use sorreldeck::{Category, Tree};
//!
//! let err = Tree::from_toml("[versions.mini]\ncolour = 1").unwrap_err();
//! assert_eq!(err.classify(), Category::Invalid);
//! ```

use std::fmt;

/// The result of an operation of this library.
pub type Result<T> = std::result::Result<T, Error>;

/// Why an operation of this library failed.
///
/// The details are opaque; [`Error::classify`] says what a caller can do about it.
pub struct Error(Box<Inner>);

struct Inner {
    category: Category,
    place: Option<String>,
    message: String,
}

/// What kind of failure an [`Error`] is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Category {
    /// The input is malformed or breaks a rule; repeating it cannot help.
    Invalid,
    /// The input was made against a state that has changed since.
    Conflict,
    /// The caller may not do this.
    Denied,
    /// The thing named does not exist.
    Missing,
    /// Something needed is out of reach for now; repeating may help.
    Unavailable,
}

impl Error {
    /// Creates an error of a category with a message for people.
    pub fn new(category: Category, message: impl Into<String>) -> Error {
        Error(Box::new(Inner {
            category,
            place: None,
            message: message.into(),
        }))
    }

    /// Creates an error about one field of a settings entry.
    pub fn at(place: impl Into<String>, message: impl Into<String>) -> Error {
        Error(Box::new(Inner {
            category: Category::Invalid,
            place: Some(place.into()),
            message: message.into(),
        }))
    }

    /// Returns the category of the failure.
    pub fn classify(&self) -> Category {
        self.0.category
    }

    /// Returns the entry and field that the failure is about, where there is one.
    pub fn place(&self) -> Option<&str> {
        self.0.place.as_deref()
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0.place {
            Some(place) => write!(f, "{place}: {}", self.0.message),
            None => f.write_str(&self.0.message),
        }
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Error({:?}, {:?})", self.0.category, self.to_string())
    }
}

impl std::error::Error for Error {}
