//! Reads what a request asks for out of its head.

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
use crate::entry::answer::Refusal;
use crate::entry::caller::{Caller, CredentialError};
use crate::key::AttemptKey;
use crate::request::Request;

/// A request whose body has not been read yet.
pub(super) struct Incoming {
    pub(super) head: RequestHead,
    pub(super) framing: Framing,
    pub(super) attempt: AttemptKey,
    pub(super) route: Rc<Route>,
    /// The request that it is made for, if that runs in the own upstream.
    pub(super) parent: Option<Rc<Context>>,
    pub(super) caller: Result<Caller, CredentialError>,
    pub(super) came: Instant,
    pub(super) deadline: Moment,
}

/// What came after the head.
pub(super) struct Received {
    pub(super) body: Bytes,
    pub(super) identity: Identity,
}

impl Incoming {
    /// Reads a head, and finds the route of the request.
    pub(super) fn read(
        bytes: &Bytes,
        fields: &FieldNames,
        configuration: &Configuration,
        contexts: &Contexts,
        came: Instant,
    ) -> Result<Self, Refusal> {
        let head = RequestHead::parse(bytes).map_err(refusal)?;
        let framing = request_framing(&head.fields).map_err(refusal)?;
        let path = path(&head).ok_or(Refusal::Malformed)?;
        let host = host(&head).ok_or(Refusal::Malformed)?;
        let route = configuration.route(host, path).ok_or(Refusal::NoRoute)?;
        let attempt = head.fields.get(fields.attempt).ok_or(Refusal::Malformed)?;
        let asked = head.fields.get(fields.time_left_ms);
        let asked = asked.and_then(|millis| millis.parse().ok());
        let time = match asked.map(Duration::from_millis) {
            Some(asked) => asked.min(route.timeout),
            None => route.timeout,
        };
        let attempt = AttemptKey::from(attempt);
        let parent = contexts.parent(&attempt);
        let caller = Caller::of(&head, fields, configuration, route, parent.as_deref());
        Ok(Self {
            attempt,
            parent,
            caller,
            route: Rc::clone(route),
            came,
            // Its client waits since it came, which may be long before it is read.
            deadline: clock::now() + time.saturating_sub(came.elapsed()),
            framing,
            head,
        })
    }

    /// Starts the identity of the request; the body is still to come.
    ///
    /// Where it comes in is no part of it: a request that ends upstreams comes again beside any
    /// service. Its workspace is: what one user's request does, another's need not. By which key
    /// it is asked is not, so a new key clears nothing.
    pub(super) fn hasher(&self, beside: &ServiceName) -> Hasher {
        let head = &self.head;
        let host = host(head).unwrap_or_default();
        let workspace = self
            .workspace()
            .map_or("", |workspace| workspace.name.as_str());
        let caller = match workspace {
            "" => beside.as_str(),
            workspace => workspace,
        };
        let caller = quarantine::Caller::named(caller.as_bytes());
        let (method, target) = (&head.method[..], &head.target[..]);
        let parts = [workspace.as_bytes(), method, host.as_bytes(), target];
        Hasher::new(&parts, caller)
    }

    /// Returns on whose behalf it is made.
    pub(super) fn workspace(&self) -> Option<&Rc<Workspace>> {
        self.caller.as_ref().ok()?.workspace()
    }

    /// Returns what decides first in which order requests are shed; a call matters as much as the
    /// request that it is made for.
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

    /// Returns the place of the request in the order of shedding: its workspace decides before its
    /// route, and a call matters as much as the request that it is made for.
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

    /// Returns true if the client waits for a word before it sends the body.
    pub(super) fn expects_continue(&self) -> bool {
        self.head.fields.lists("expect", "100-continue")
    }

    /// Returns the request as it is passed on.
    pub(super) fn work(
        &self,
        fields: &FieldNames,
        caller: &ServiceName,
        service: ServiceName,
        Received { body, identity }: Received,
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
            deadline: self.deadline,
            head: self.passed_on(fields, caller, body.len()),
            body,
        }
    }

    /// Returns the request line with the fields that are passed on and those that are set here.
    fn passed_on(&self, fields: &FieldNames, caller: &ServiceName, length: usize) -> Bytes {
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
        let own = format!("{}: {caller}\r\n", fields.caller);
        bytes.extend_from_slice(own.as_bytes());
        if let Some(workspace) = self.workspace() {
            let behalf = format!("{}: {}\r\n", fields.workspace, workspace.name);
            bytes.extend_from_slice(behalf.as_bytes());
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

/// Returns the path without its query; a target in another form has none.
fn path(head: &RequestHead) -> Option<&str> {
    let target = std::str::from_utf8(&head.target).ok()?;
    let path = target.split(['?', '#']).next()?;
    path.starts_with('/').then_some(path)
}

/// Returns the host without its port; two hosts in one request are refused.
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
