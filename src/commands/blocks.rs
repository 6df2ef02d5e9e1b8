//! `jaysaddle blocks`: lists, adds and releases blocks of content that ends backend servers on the platform.
//!
//! The blocks are objects in the platform's store. The holder of the lease reads them every 10 s and tells all nodes.

use std::net::SocketAddr;

use bpaf::Bpaf;
use compact_str::ToCompactString;
use jaysaddle_adapter::store::ObjectKind;
use jaysaddle_adapter::store::StoreCall;
use jaysaddle_adapter::store::StoreObject;
use jaysaddle_adapter::store::StoreResponse;
use jaysaddle_adapter::store::encode_call;
use jaysaddle_adapter::store::parse_response;
use jaysaddle_entry::stored_block::StoredBlock;
use jaysaddle_gateway::content::ContentKind;
use jaysaddle_gateway::content::content_key;
use jaysaddle_types::content::ContentKey;
use serde::Deserialize;

use crate::exit::CommandFailure;
use crate::exit::CommandResult;
use crate::exit::FailureKind;

/// Timeout of one call to the store.
const CALL_TIMEOUT_SECS: u64 = 10;
const KIND: ObjectKind = ObjectKind::ContentBlocks;

/// Content to decide on
#[derive(Clone, Debug, Bpaf)]
pub struct ContentOptions {
    /// CONTENT is the key that logs show, not the name of a prompt part
    #[bpaf(long("key"), switch)]
    is_key: bool,
    /// Name of a prompt part
    #[bpaf(positional("CONTENT"))]
    name: String,
}

/// What to do with the blocks
#[derive(Clone, Debug, Bpaf)]
pub enum BlocksAction {
    /// Lists all decisions
    #[bpaf(command)]
    List,
    /// Refuses requests with a piece of content until it is released
    #[bpaf(command)]
    Add(#[bpaf(external(content_options))] ContentOptions),
    /// Lets requests with a piece of content through again
    #[bpaf(command)]
    Release(#[bpaf(external(content_options))] ContentOptions),
}

/// Store and action
#[derive(Clone, Debug, Bpaf)]
pub struct BlocksOptions {
    /// Address of the platform's store
    #[bpaf(long, argument("IP:PORT"), env("JAYSADDLE_STORE"))]
    store: SocketAddr,
    #[bpaf(external(blocks_action))]
    action: BlocksAction,
}

fn failure(kind: FailureKind, message: impl std::fmt::Display) -> CommandFailure {
    CommandFailure::new(kind, message.to_string())
}

fn call(store: SocketAddr, call: &StoreCall) -> Result<StoreResponse, CommandFailure> {
    let encoded = encode_call(call);
    let is_write = !encoded.body.is_empty();
    let url = format!("http://{store}{}", encoded.target);
    let method = minreq::Method::Custom(encoded.method.to_string());
    let response = minreq::Request::new(method, url)
        .with_header("Content-Type", "application/json")
        .with_body(encoded.body)
        .with_timeout(CALL_TIMEOUT_SECS)
        .send()
        .map_err(|error| {
            let kind = if is_write {
                FailureKind::Unknown
            } else {
                FailureKind::Unavailable
            };
            failure(kind, format!("store {store}: {error}"))
        })?;
    let parsed = parse_response(call, response.status_code, response.as_bytes())
        .map_err(|error| failure(FailureKind::Unknown, format!("store {store}: {error:#}")))?;
    match parsed {
        StoreResponse::Refused { status } => Err(failure(
            FailureKind::Unavailable,
            format!("store {store}: status {status}"),
        )),
        StoreResponse::Conflict => Err(failure(
            FailureKind::Conflict,
            "another decision was made at the same time",
        )),
        other => Ok(other),
    }
}

fn decode(object: &StoreObject) -> Result<StoredBlock, CommandFailure> {
    StoredBlock::deserialize(&object.spec)
        .map_err(|error| failure(FailureKind::Failed, format!("{}: {error}", object.name)))
}

fn list(store: SocketAddr) -> CommandResult {
    println!(
        "{:<16}  {:<8}  {:>7}  {:>4}",
        "KEY", "STATE", "VERSION", "ENDS"
    );
    let mut after = None;
    loop {
        let page = call(
            store,
            &StoreCall::List {
                kind: KIND,
                after,
                may_be_stale: false,
            },
        )?;
        let StoreResponse::Page {
            objects,
            last_name,
            has_more,
            ..
        } = page
        else {
            return Ok(());
        };
        for object in &objects {
            let block = decode(object)?;
            let state = if block.is_blocked {
                "blocked"
            } else {
                "released"
            };
            println!(
                "{:<16}  {state:<8}  {:>7}  {:>4}",
                object.name, block.version, block.ends
            );
        }
        after = last_name;
        if !has_more || after.is_none() {
            return Ok(());
        }
    }
}

fn key_of(options: &ContentOptions) -> Result<ContentKey, CommandFailure> {
    if !options.is_key {
        return Ok(content_key(ContentKind::Part, &options.name));
    }
    options.name.parse().map_err(|error| {
        let message = format!(
            "{:?} is not a key of 16 hexadecimal digits: {error}",
            options.name
        );
        failure(FailureKind::Invalid, message)
    })
}

fn decide(store: SocketAddr, key: ContentKey, is_blocked: bool) -> CommandResult {
    let name = key.to_compact_string();
    let read = StoreCall::Read {
        kind: KIND,
        name: name.clone(),
    };
    let object = match call(store, &read)? {
        StoreResponse::Object(object) => Some(object),
        _ => None,
    };
    let known = object.as_ref().map(decode).transpose()?;
    if known.is_none() && !is_blocked {
        return Err(failure(
            FailureKind::NotFound,
            format!("{key} is not blocked"),
        ));
    }
    let block = StoredBlock {
        version: known.map_or(0, |known| known.version) + 1,
        is_blocked,
        ends: 0,
    };
    let spec = serde_json::to_value(block).map_err(|error| failure(FailureKind::Failed, error))?;
    let write = match object {
        Some(object) => StoreCall::Replace {
            kind: KIND,
            name,
            version: object.version,
            spec,
        },
        None => StoreCall::Create {
            kind: KIND,
            name,
            spec,
        },
    };
    call(store, &write)?;
    let state = if is_blocked { "blocked" } else { "released" };
    println!("{key} {state}, version {}", block.version);
    Ok(())
}

/// Runs the action.
///
/// # Errors
///
/// Fails when the store does not respond, the content is not known, or another decision was made at the same time.
pub fn run(options: &BlocksOptions) -> CommandResult {
    let store = options.store;
    match &options.action {
        BlocksAction::List => list(store),
        BlocksAction::Add(content) => decide(store, key_of(content)?, true),
        BlocksAction::Release(content) => decide(store, key_of(content)?, false),
    }
}
