//! From host, path and key to a route and a client account.

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

/// The routes and keys of a configuration, prepared for look-up.
#[derive(Debug)]
pub struct RouteIndex {
    config: Rc<ServingConfig>,
    /// Routes of a host, the longest prefix first.
    hosts: HashMap<CompactString, Vec<Rc<RouteRule>>>,
    /// Account and rank of each key; `None` when requests carry no keys.
    keys: Option<HashMap<CompactString, AccountMatch>>,
}

/// The account of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountMatch {
    /// Name.
    pub id: AccountId,
    /// Rank that goes before the route's.
    pub priority: Option<u32>,
}

/// The route and account of a request.
#[derive(Clone, Debug)]
pub struct RouteMatch {
    /// Route.
    pub rule: Rc<RouteRule>,
    /// Service to which the request goes.
    pub service: ServiceId,
    /// Account; `None` on public routes and without keys.
    pub account: Option<AccountId>,
    /// Rank; 0 goes first.
    pub priority: u32,
}

/// Why a request has no route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteRefusal {
    /// No route matches host and path.
    UnknownRoute,
    /// The key belongs to no account.
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

/// Path without its query.
fn strip_query(target: &str) -> &str {
    target.split('?').next().unwrap_or(target)
}

/// Host without its port, in lower case.
fn normalize_host(host: &str) -> CompactString {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase().into()
}

impl RouteIndex {
    /// Prepares a configuration.
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

    /// The configuration.
    pub fn config(&self) -> &Rc<ServingConfig> {
        &self.config
    }

    /// Finds the route and account of a request. Requests with the same `request_id` go to the same service of
    /// a route with several.
    ///
    /// # Errors
    ///
    /// Fails when no route matches, or the key is unknown and the route is not public.
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
        Ok(RouteMatch {
            rule: rule.clone(),
            service,
            account: account.map(|account| account.id.clone()),
            priority: account
                .and_then(|account| account.priority)
                .unwrap_or(rule.priority),
        })
    }
}

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
