//! Maps the host, path and API key of a request to a route and a client account.

use std::collections::HashMap;
use std::fmt;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::rc::Rc;

use compact_str::CompactString;
use jaysaddle_types::ids::AccountId;
use jaysaddle_types::ids::ServiceId;
use jaysaddle_types::serving::RouteRule;
use jaysaddle_types::serving::ServingConfig;

use crate::request_rank::RequestRank;

/// Lookup index over the routes and API keys of a configuration.
#[derive(Debug)]
pub struct RouteIndex {
    config: Rc<ServingConfig>,
    /// Routes by lower-case host name, longest path prefix first.
    hosts: HashMap<CompactString, Vec<Rc<RouteRule>>>,
    /// Accounts by API key; `None` if the configuration defines no accounts and keys are not checked.
    keys: Option<HashMap<CompactString, AccountMatch>>,
}

/// Client account that an API key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountMatch {
    /// Account id, forwarded to backend servers.
    pub id: AccountId,
    /// Priority that overrides the route's; 0 is the highest. `None` keeps the route's priority.
    pub priority: Option<u32>,
}

/// Route, service and account selected for a request.
#[derive(Clone, Debug)]
pub struct RouteMatch {
    /// Rule of the matching route.
    pub rule: Rc<RouteRule>,
    /// Service to which the request is sent, selected by weight if the route has several.
    pub service: ServiceId,
    /// Client account; `None` on public routes and if keys are not checked.
    pub account: Option<AccountId>,
    /// Priority of the request; 0 is the highest.
    pub priority: u32,
    /// Order of the request when there is too little room.
    pub rank: RequestRank,
}

/// Reason why a request is not routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteRefusal {
    /// No route matches the host and path, or the route has no service with a weight above 0.
    UnknownRoute,
    /// The API key is missing or belongs to no account.
    UnknownKey,
}

impl fmt::Display for RouteRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            RouteRefusal::UnknownRoute => "unknown_route",
            RouteRefusal::UnknownKey => "unknown_key",
        })
    }
}

/// Removes the query string from a request target.
fn strip_query(target: &str) -> &str {
    target.split('?').next().unwrap_or(target)
}

/// Removes the port from a host and converts it to lower case.
fn normalize_host(host: &str) -> CompactString {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase().into()
}

impl RouteIndex {
    /// Builds the index for a configuration.
    pub fn new(config: Rc<ServingConfig>) -> Self {
        let mut hosts: HashMap<CompactString, Vec<Rc<RouteRule>>> = HashMap::new();
        for route in &config.routes {
            hosts
                .entry(route.host.clone())
                .or_default()
                .push(Rc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let keys = config.accounts.as_ref().map(|accounts| {
            accounts
                .iter()
                .flat_map(|account| {
                    account.keys.iter().map(|key| {
                        let account = AccountMatch {
                            id: account.id.clone(),
                            priority: account.priority,
                        };
                        (key.clone(), account)
                    })
                })
                .collect()
        });
        Self {
            config,
            hosts,
            keys,
        }
    }

    /// Configuration from which the index was built.
    pub fn config(&self) -> &Rc<ServingConfig> {
        &self.config
    }

    /// Finds the route and account of a request. If the route has several services, one is selected by a hash of
    /// `request_id`, so that requests with the same id reach the same service.
    ///
    /// # Errors
    ///
    /// Fails if no route matches, or if the route is not public and the key is missing or unknown.
    pub fn find(
        &self,
        host: &str,
        target: &str,
        key: Option<&str>,
        request_id: &str,
    ) -> Result<RouteMatch, RouteRefusal> {
        let path = strip_query(target);
        let rule = self
            .hosts
            .get(&normalize_host(host))
            .and_then(|routes| {
                routes
                    .iter()
                    .find(|route| path.starts_with(route.path_prefix.as_str()))
            })
            .ok_or(RouteRefusal::UnknownRoute)?;
        let account = match &self.keys {
            Some(keys) if !rule.is_public => {
                let account = key.and_then(|key| keys.get(key));
                Some(account.ok_or(RouteRefusal::UnknownKey)?)
            }
            _ => None,
        };
        let service = choose_service(rule, request_id).ok_or(RouteRefusal::UnknownRoute)?;
        let priority = account
            .and_then(|account| account.priority)
            .unwrap_or(rule.priority);
        Ok(RouteMatch {
            rule: rule.clone(),
            service,
            account: account.map(|account| account.id.clone()),
            priority,
            rank: RequestRank {
                account: priority,
                route: rule.priority,
            },
        })
    }
}

/// Selects a service of the route by weight, using a hash of the request id.
fn choose_service(rule: &RouteRule, request_id: &str) -> Option<ServiceId> {
    let total: u64 = rule
        .targets
        .iter()
        .map(|(_, weight)| u64::from(*weight))
        .sum();
    if total == 0 {
        return None;
    }
    let mut hasher = DefaultHasher::new();
    request_id.hash(&mut hasher);
    let mut point = hasher.finish() % total;
    for (service, weight) in &rule.targets {
        let weight = u64::from(*weight);
        if point < weight {
            return Some(service.clone());
        }
        point -= weight;
    }
    None
}
