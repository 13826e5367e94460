//! Sealed session tokens, in which the caller carries the state that binds a session to its
//! version.
//!
//! Entries and sidecars store no session state, so a session outlives any of them. A token is
//! sealed with XChaCha20-Poly1305 under a key from the process settings. The first key seals and
//! all keys open, so keys can be rotated without invalidating sessions.
//!
//! ```
//! use sorreldeck::session::{Keyring, Session};
//!
//! let keys: Keyring = "1:000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f".parse()?;
//! let session = Session {
//!     account: "payroll".parse()?,
//!     model: "scribe".into(),
//!     version: "scribe-1".parse()?,
//!     upstream: None,
//! };
//! let token = keys.seal(&session, [7; 24]);
//! assert_eq!(keys.open(&token)?, session);
//! assert!(keys.open("forged").is_err());
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::error::{Category, Error, Result};
use crate::id::{AccountId, UpstreamId, VersionId};
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use chacha20poly1305::aead::{Aead, Payload};
use chacha20poly1305::{KeyInit, XChaCha20Poly1305, XNonce};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

const NONCE_LEN: usize = 24;
const KEY_LEN: usize = 32;
const ASSOCIATED_DATA: &[u8] = b"sorreldeck session 1";

/// The content of a session token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// The client account that the session belongs to.
    pub account: AccountId,
    /// The requested model or cascade.
    pub model: String,
    /// The version to which the session is bound.
    pub version: VersionId,
    /// The upstream that answered last and may still have the prefix cached.
    pub upstream: Option<UpstreamId>,
}

/// The keys that seal and open tokens; the first one seals.
#[derive(Clone)]
pub struct Keyring(Vec<Key>);

#[derive(Clone)]
struct Key {
    id: u8,
    cipher: XChaCha20Poly1305,
}

impl Keyring {
    /// Seals a session. The nonce must be random for each token.
    pub fn seal(&self, session: &Session, nonce: [u8; NONCE_LEN]) -> String {
        let key = &self.0[0];
        let mut plain = Vec::new();
        ciborium::into_writer(session, &mut plain).expect("a session is always CBOR");
        let payload = Payload {
            msg: &plain,
            aad: ASSOCIATED_DATA,
        };
        let sealed = key
            .cipher
            .encrypt(&XNonce::from(nonce), payload)
            .expect("a session is far below the cipher's limit");
        let mut buf = vec![key.id];
        buf.extend(nonce);
        buf.extend(sealed);
        URL_SAFE_NO_PAD.encode(buf)
    }

    /// Opens a token.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Denied`] if the token is forged, damaged or sealed with a key that is
    /// no longer on the keyring.
    pub fn open(&self, token: &str) -> Result<Session> {
        let denied = || Error::new(Category::Denied, "the session token does not open");
        let buf = URL_SAFE_NO_PAD.decode(token).map_err(|_| denied())?;
        if buf.len() <= 1 + NONCE_LEN {
            return Err(denied());
        }
        let key = self.0.iter().find(|k| k.id == buf[0]).ok_or_else(denied)?;
        let (nonce, sealed) = buf[1..].split_at(NONCE_LEN);
        let payload = Payload {
            msg: sealed,
            aad: ASSOCIATED_DATA,
        };
        let nonce: [u8; NONCE_LEN] = nonce.try_into().map_err(|_| denied())?;
        let plain = key
            .cipher
            .decrypt(&XNonce::from(nonce), payload)
            .map_err(|_| denied())?;
        ciborium::from_reader(&plain[..]).map_err(|_| denied())
    }
}

impl FromStr for Keyring {
    type Err = Error;

    /// Parses `ID:HEX` keys separated by commas; the first one seals.
    fn from_str(s: &str) -> Result<Self> {
        let keys: Result<Vec<_>> = s.split(',').map(parse_key).collect();
        keys.map(Keyring)
    }
}

fn parse_key(s: &str) -> Result<Key> {
    // The text contains a secret, so the error must not quote it.
    let malformed = || {
        Error::new(
            Category::Invalid,
            "a key is written ID:HEX, ID 0 to 255 and 64 digits",
        )
    };
    let (id, hex) = s.split_once(':').ok_or_else(malformed)?;
    let id = id.parse().map_err(|_| malformed())?;
    let bytes = parse_hex(hex).ok_or_else(malformed)?;
    let cipher = XChaCha20Poly1305::new(&bytes.into());
    Ok(Key { id, cipher })
}

/// Parses a 32-byte key in hexadecimal.
pub fn parse_hex(s: &str) -> Option<[u8; KEY_LEN]> {
    if s.len() != 2 * KEY_LEN || !s.is_ascii() {
        return None;
    }
    let mut bytes = [0; KEY_LEN];
    for (i, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&s[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(bytes)
}

impl fmt::Debug for Keyring {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Keyring({} keys)", self.0.len())
    }
}
