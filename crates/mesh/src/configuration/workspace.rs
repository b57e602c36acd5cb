//! Workspaces: on whose behalf clients ask, by which key, and how much they may ask.

use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

use displaydoc::Display;
use rand::Rng as _;
use sailtrack_quota::Limit;
use sailtrack_units::{Importance, WorkspaceName};
use secrecy::{ExposeSecret as _, SecretString};

/// The key of a workspace. It cannot be printed, and its text is wiped when it is dropped.
#[derive(Clone)]
pub struct Credential(SecretString);

impl Credential {
    /// Returns a key if a field of a request can hold it: visible characters without spaces.
    #[must_use]
    pub fn new(text: String) -> Option<Self> {
        let is_sound = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic());
        is_sound.then(|| Self(SecretString::from(text)))
    }
}

impl fmt::Debug for Credential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credential(..)")
    }
}

/// On whose behalf clients ask.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceName,
    /// How much its requests matter, before what their routes say.
    pub importance: Option<Importance>,
    /// How much it may ask of all nodes together; nothing if that is not bounded.
    pub limit: Option<Limit>,
}

/// Why a workspace cannot be added. Keys are never named.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum WorkspaceError {
    /// another workspace has the name {0}
    NameTaken(WorkspaceName),
    /// a key of {0} is also a key of {1}; a key belongs to one workspace
    KeyShared(WorkspaceName, WorkspaceName),
}

impl std::error::Error for WorkspaceError {}

/// A hash of a key under a secret of this process, which tells nothing of the key to who sees it.
type Digest = blake3::Hash;

/// The workspaces of one configuration, found by their keys.
#[derive(Clone)]
pub struct Workspaces {
    secret: [u8; blake3::KEY_LEN],
    by_key: HashMap<Digest, Rc<Workspace>>,
    by_name: HashMap<WorkspaceName, Rc<Workspace>>,
}

impl Default for Workspaces {
    fn default() -> Self {
        Self {
            secret: rand::rng().random(),
            by_key: HashMap::new(),
            by_name: HashMap::new(),
        }
    }
}

impl fmt::Debug for Workspaces {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_set().entries(self.by_name.keys()).finish()
    }
}

impl Workspaces {
    /// Adds a workspace with its keys.
    pub fn add(
        &mut self,
        workspace: Workspace,
        credentials: &[Credential],
    ) -> Result<(), WorkspaceError> {
        let workspace = Rc::new(workspace);
        let name = workspace.name.clone();
        if self
            .by_name
            .insert(name.clone(), Rc::clone(&workspace))
            .is_some()
        {
            return Err(WorkspaceError::NameTaken(name));
        }
        for credential in credentials {
            let digest = self.digest(credential.0.expose_secret().as_bytes());
            let before = self.by_key.insert(digest, Rc::clone(&workspace));
            if let Some(before) = before.filter(|before| before.name != workspace.name) {
                return Err(WorkspaceError::KeyShared(name, before.name.clone()));
            }
        }
        Ok(())
    }

    /// Returns the workspace that holds a key.
    #[must_use]
    pub fn find_by_key(&self, key: &[u8]) -> Option<&Rc<Workspace>> {
        self.by_key.get(&self.digest(key))
    }

    /// Returns the workspace with a name.
    #[must_use]
    pub fn find_by_name(&self, name: &WorkspaceName) -> Option<&Rc<Workspace>> {
        self.by_name.get(name)
    }

    /// Returns every workspace.
    pub fn all(&self) -> impl Iterator<Item = &Rc<Workspace>> {
        self.by_name.values()
    }

    fn digest(&self, key: &[u8]) -> Digest {
        blake3::keyed_hash(&self.secret, key)
    }
}
