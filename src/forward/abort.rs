//! Aborts an attempt from another thread.

use crate::token;

/// Handle that aborts the attempts sent with it. Clones share one state.
///
/// Firing shuts the attempt's connection down, so that a thread blocked on it
/// returns at once. Connection establishment is not interrupted, but nothing
/// is sent on the new connection.
#[derive(Clone, Default)]
pub struct Abort {
    token: token::Token,
}

impl Abort {
    /// Returns a handle that has not been fired.
    pub fn new() -> Self {
        Self::default()
    }

    /// Aborts the attempt in progress and all later ones.
    pub fn fire(&self) {
        self.token.cancel();
    }

    /// Returns whether the handle was fired.
    pub fn is_fired(&self) -> bool {
        self.token.is_cancelled()
    }

    /// Returns the token that is cancelled when the handle is fired.
    pub fn token(&self) -> &token::Token {
        &self.token
    }

    /// Fires this handle when `token` is cancelled, as long as the returned
    /// registration is kept.
    pub fn fire_with(&self, token: &token::Token) -> token::Registration {
        let abort = self.clone();
        token.on_cancel(move || abort.fire())
    }
}

impl From<token::Token> for Abort {
    /// Returns a handle that is fired when `token` is cancelled.
    fn from(token: token::Token) -> Self {
        Self { token }
    }
}
