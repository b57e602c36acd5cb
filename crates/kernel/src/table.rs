//! The service table, in which services are registered by name.

use std::any::Any;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use displaydoc::Display;

/// A component of the process that other components look up by name.
pub trait Service: 'static {
    /// The name under which the service is registered.
    const NAME: &'static str;
}

/// no service called {0} is installed
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct Missing(pub &'static str);

impl std::error::Error for Missing {}

/// The services of the process by name.
#[derive(Default)]
pub struct Table {
    services: RefCell<BTreeMap<&'static str, Rc<dyn Any>>>,
}

impl Table {
    /// Installs a service and replaces an earlier one of the same name.
    pub fn install<S: Service>(&self, service: S) -> Rc<S> {
        let service = Rc::new(service);
        let entry: Rc<dyn Any> = Rc::clone(&service) as Rc<dyn Any>;
        self.services.borrow_mut().insert(S::NAME, entry);
        service
    }

    /// Looks up the service of type `S` by its registered name.
    pub fn find<S: Service>(&self) -> Result<Rc<S>, Missing> {
        let services = self.services.borrow();
        let entry = services.get(S::NAME).ok_or(Missing(S::NAME))?;
        Rc::clone(entry).downcast().map_err(|_| Missing(S::NAME))
    }

    /// Returns the names of the installed services.
    #[must_use]
    pub fn names(&self) -> Vec<&'static str> {
        self.services.borrow().keys().copied().collect()
    }
}
