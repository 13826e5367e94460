//! The error type of this library.
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

/// An error of this library.
///
/// The details are opaque; [`Error::classify`] tells a caller how to react.
pub struct Error(Box<Inner>);

struct Inner {
    category: Category,
    place: Option<String>,
    message: String,
}

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Category {
    /// The input is malformed or breaks a rule; retrying cannot help.
    Invalid,
    /// The input is based on a state that has changed since.
    Conflict,
    /// The caller lacks permission.
    Denied,
    /// The named object does not exist.
    Missing,
    /// Something required is unavailable for now; retrying may help.
    Unavailable,
}

impl Error {
    /// Creates an error with a message for humans.
    pub fn new(category: Category, message: impl Into<String>) -> Error {
        Error(Box::new(Inner {
            category,
            place: None,
            message: message.into(),
        }))
    }

    /// Creates an [`Invalid`](Category::Invalid) error about one field of a settings entry.
    pub fn at(place: impl Into<String>, message: impl Into<String>) -> Error {
        Error(Box::new(Inner {
            category: Category::Invalid,
            place: Some(place.into()),
            message: message.into(),
        }))
    }

    /// Returns the category of the error.
    pub fn classify(&self) -> Category {
        self.0.category
    }

    /// Returns the settings entry and field that the error is about, if any.
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
