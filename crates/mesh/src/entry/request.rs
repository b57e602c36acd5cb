//! Parses a request head and finds its route.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use sailtrack_net::transparent::{Field, Framing, HeadError, RequestHead, request_framing};
use sailtrack_quarantine::{self as quarantine, Hasher, Identity};
use sailtrack_units::{Class, Moment, Rank, RequestId, ServiceName};

use crate::clock;
use crate::configuration::{Configuration, Route, Workspace};
use crate::contexts::{Context, Contexts};
use crate::dialect::FieldNames;
use crate::entry::caller::{Caller, CredentialError};
use crate::entry::response::Refusal;
use crate::key::AttemptKey;
use crate::memory::{Buffer, Caller as Owner};
use crate::overdue;
use crate::request::{OverLimit, Request};

/// A request whose body has not been read yet.
pub(super) struct Incoming {
    pub(super) head: RequestHead,
    pub(super) framing: Framing,
    pub(super) attempt: AttemptKey,
    pub(super) route: Rc<Route>,
    /// The request that this one was made for, if it runs in the own upstream.
    pub(super) parent: Option<Rc<Context>>,
    pub(super) caller: Result<Caller, CredentialError>,
    pub(super) received_at: Instant,
    pub(super) deadline: Moment,
}

/// The body and the identity that includes it.
pub(super) struct Payload {
    pub(super) body: Buffer,
    pub(super) identity: Identity,
}

impl Incoming {
    /// Parses a request head and finds the route.
    pub(super) fn read(
        bytes: &Bytes,
        fields: &FieldNames,
        configuration: &Configuration,
        contexts: &Contexts,
        received_at: Instant,
    ) -> Result<Self, Refusal> {
        let head = RequestHead::parse(bytes).map_err(refusal)?;
        let framing = request_framing(&head.fields).map_err(refusal)?;
        let path = path(&head).ok_or(Refusal::Malformed)?;
        let host = host(&head).ok_or(Refusal::Malformed)?;
        let route = configuration.route(host, path).ok_or(Refusal::NoRoute)?;
        let attempt = head.fields.get(fields.attempt).ok_or(Refusal::Malformed)?;
        if attempt.len() > AttemptKey::MAX_BYTES {
            return Err(Refusal::HeadTooLarge);
        }
        let requested = head.fields.get(fields.time_left_ms);
        let requested = requested.and_then(|millis| millis.parse().ok());
        let timeout = match requested.map(Duration::from_millis) {
            Some(requested) => requested.min(route.timeout),
            None => route.timeout,
        };
        let attempt = AttemptKey::from(attempt);
        let parent = contexts.parent(&attempt);
        let caller = Caller::identify(&head, fields, configuration, route, parent.as_deref());
        Ok(Self {
            attempt,
            parent,
            caller,
            route: Rc::clone(route),
            received_at,
            // The client's timeout runs from the arrival of the request, which may be long before
            // it is parsed.
            deadline: clock::now() + timeout.saturating_sub(received_at.elapsed()),
            framing,
            head,
        })
    }

    /// Starts hashing the identity of the request; the body is added later.
    ///
    /// The service at whose entry the request arrived is no part of the identity: a request that
    /// crashes upstreams may be sent again to any service. The workspace is part of it, since the
    /// same request may be harmless for another workspace. The client's key is not, so that a new
    /// key does not lift a quarantine.
    pub(super) fn hasher(&self, service: &ServiceName) -> Hasher {
        let head = &self.head;
        let host = host(head).unwrap_or_default();
        let workspace = self
            .workspace()
            .map_or("", |workspace| workspace.name.as_str());
        let caller = match workspace {
            "" => service.as_str(),
            workspace => workspace,
        };
        let caller = quarantine::Caller::named(caller.as_bytes());
        let (method, target) = (&head.method[..], &head.target[..]);
        let parts = [workspace.as_bytes(), method, host.as_bytes(), target];
        Hasher::new(&parts, caller)
    }

    /// Returns the workspace on whose behalf the request is made.
    pub(super) fn workspace(&self) -> Option<&Rc<Workspace>> {
        self.caller.as_ref().ok()?.workspace()
    }

    /// Returns on whose behalf the body is held.
    pub(super) fn owner(&self) -> Owner {
        match self.workspace() {
            Some(workspace) => Owner::Workspace(workspace.name.clone()),
            None if self.parent.is_some() => Owner::Upstream,
            None => Owner::Anonymous,
        }
    }

    /// Returns the class, which decides before the rank in which order requests are shed; a nested
    /// call inherits that of its parent request.
    fn class(&self) -> Class {
        let kind = self.route.importance;
        let workspace = self.workspace().and_then(|workspace| workspace.importance);
        let own = Class {
            workspace: workspace.unwrap_or(kind),
            kind,
        };
        let parent = self.parent.as_ref();
        parent.map_or(own, |parent| parent.call_class())
    }

    /// Returns the rank, the request's place in the shedding order: the importance of the workspace
    /// decides before that of the route, and a nested call inherits the rank of its parent request.
    fn rank(&self) -> Rank {
        let id = RequestId::from_key(self.attempt.as_str());
        let kind = self.route.importance;
        let workspace = self.workspace().and_then(|workspace| workspace.importance);
        let own = match workspace {
            Some(workspace) => Rank::for_workspace(workspace, kind, id),
            None => Rank::new(kind, id),
        };
        self.parent
            .as_ref()
            .map_or(own, |parent| parent.call_rank())
    }

    /// Returns the time left until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.since(clock::now())
    }

    /// Returns true if the client waits for `100 Continue` before it sends the body.
    pub(super) fn expects_continue(&self) -> bool {
        self.head.fields.lists("expect", "100-continue")
    }

    /// Returns the request as forwarded to an upstream.
    pub(super) fn forwarded(
        &self,
        fields: &FieldNames,
        caller: &ServiceName,
        service: ServiceName,
        Payload { body, identity }: Payload,
    ) -> Request {
        let parent = self.parent.as_ref();
        let workspace = match self.workspace() {
            Some(workspace) => Some(workspace.name.clone()),
            None => parent.and_then(|parent| parent.workspace.clone()),
        };
        Request {
            attempt: self.attempt.clone(),
            identity,
            known_crashes: 0,
            service,
            kind: self.route.name.clone(),
            idempotent: self.route.is_idempotent(),
            rank: self.rank(),
            class: self.class(),
            workspace,
            completed_calls: parent.map_or(0, |parent| parent.successful_calls.get()),
            is_nested: parent.is_some(),
            is_retry: parent.is_some_and(|parent| parent.is_retry),
            over_limit: OverLimit::default(),
            overdue: overdue::Signal::default(),
            deadline: self.deadline,
            caller: self.owner(),
            client: None,
            head: self.forwarded_head(fields, caller, body.len()),
            body,
        }
    }

    /// Returns the request line and header with the fields that the node replaces.
    fn forwarded_head(&self, fields: &FieldNames, caller: &ServiceName, length: usize) -> Bytes {
        let mut bytes = BytesMut::with_capacity(512);
        bytes.extend_from_slice(&self.head.method);
        bytes.extend_from_slice(b" ");
        bytes.extend_from_slice(&self.head.target);
        bytes.extend_from_slice(b" HTTP/1.1\r\n");
        let replaced = |field: &Field| {
            field.is(fields.time_left_ms)
                || field.is(fields.expected_upstream)
                || field.is(fields.caller)
                || field.is(fields.credential)
                || field.is(fields.workspace)
        };
        self.head.fields.append_end_to_end(&mut bytes, replaced);
        let field = format!("{}: {caller}\r\n", fields.caller);
        bytes.extend_from_slice(field.as_bytes());
        if let Some(workspace) = self.workspace() {
            let field = format!("{}: {}\r\n", fields.workspace, workspace.name);
            bytes.extend_from_slice(field.as_bytes());
        }
        let states_length = self.head.fields.get("content-length").is_some();
        if length > 0 || states_length {
            bytes.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
        }
        bytes.freeze()
    }
}

fn refusal(error: HeadError) -> Refusal {
    match error {
        HeadError::TooLarge => Refusal::HeadTooLarge,
        HeadError::Malformed | HeadError::Ambiguous | HeadError::Coding => Refusal::Malformed,
    }
}

/// Returns the path without its query, or `None` if the target is not in origin form.
fn path(head: &RequestHead) -> Option<&str> {
    let target = std::str::from_utf8(&head.target).ok()?;
    let path = target.split(['?', '#']).next()?;
    path.starts_with('/').then_some(path)
}

/// Returns the host without its port, or `None` if the request has no or more than one host.
fn host(head: &RequestHead) -> Option<&str> {
    let mut hosts = head.fields.all("host");
    let (first, second) = (hosts.next()?, hosts.next());
    if second.is_some() {
        return None;
    }
    let host = std::str::from_utf8(first).ok()?;
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => Some(name),
        _ => Some(host),
    }
}
