//! Workspaces with their keys, importance and rate limits.

use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

use displaydoc::Display;
use rand::Rng as _;
use sailtrack_quota::Limit;
use sailtrack_units::{Importance, WorkspaceName};
use secrecy::{ExposeSecret as _, SecretString};

/// A secret key of a workspace. Its text is never printed, and it is zeroed on drop.
#[derive(Clone)]
pub struct Credential(SecretString);

impl Credential {
    /// Creates a key; `None` if it is not a valid header value of visible ASCII without spaces.
    #[must_use]
    pub fn new(text: String) -> Option<Self> {
        let is_valid = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic());
        is_valid.then(|| Self(SecretString::from(text)))
    }
}

impl fmt::Debug for Credential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credential(..)")
    }
}

/// A workspace, on whose behalf clients send requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// The name.
    pub name: WorkspaceName,
    /// The importance of its requests; decides before that of the route in which order they are shed.
    pub importance: Option<Importance>,
    /// The rate limit over all nodes together; `None` means unlimited.
    pub limit: Option<Limit>,
}

/// Why a workspace cannot be added. The messages never contain keys.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum WorkspaceError {
    /// another workspace has the name {0}
    NameTaken(WorkspaceName),
    /// a key of {0} is also a key of {1}; a key belongs to one workspace
    KeyShared(WorkspaceName, WorkspaceName),
}

impl std::error::Error for WorkspaceError {}

/// A keyed hash of a workspace key, under a random secret of this process, so that it does not
/// reveal the key.
type Digest = blake3::Hash;

/// The workspaces of one configuration, indexed by key and by name.
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
            let previous = self.by_key.insert(digest, Rc::clone(&workspace));
            if let Some(other) = previous.filter(|other| other.name != workspace.name) {
                return Err(WorkspaceError::KeyShared(name, other.name.clone()));
            }
        }
        Ok(())
    }

    /// Returns the workspace to which a key belongs.
    #[must_use]
    pub fn find_by_key(&self, key: &[u8]) -> Option<&Rc<Workspace>> {
        self.by_key.get(&self.digest(key))
    }

    /// Returns the workspace with the given name.
    #[must_use]
    pub fn find_by_name(&self, name: &WorkspaceName) -> Option<&Rc<Workspace>> {
        self.by_name.get(name)
    }

    /// Returns all workspaces.
    pub fn all(&self) -> impl Iterator<Item = &Rc<Workspace>> {
        self.by_name.values()
    }

    fn digest(&self, key: &[u8]) -> Digest {
        blake3::keyed_hash(&self.secret, key)
    }
}
