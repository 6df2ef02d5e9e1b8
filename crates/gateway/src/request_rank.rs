//! Order of requests when there is too little room.

use std::fmt;
use std::str::FromStr;

use jaysaddle_types::units::UnitError;

/// Rank of a request: the priority of its client account first, then that of its route. Lower values go first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestRank {
    /// Priority of the client account; that of the route if the account states none.
    pub account: u32,
    /// Priority of the route.
    pub route: u32,
}

/// Number of priorities of a route that differ in the queue of an engine, and of a client account.
const ENGINE_LEVELS: (u32, u32) = (3, 2);

impl RequestRank {
    /// Priority value in the queue of an engine, which knows a single number: 0 to 5.
    pub fn engine_priority(self) -> u32 {
        let (routes, accounts) = ENGINE_LEVELS;
        self.account.min(accounts - 1) * routes + self.route.min(routes - 1)
    }
}

impl fmt::Display for RequestRank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.account, self.route)
    }
}

impl FromStr for RequestRank {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || UnitError {
            text: text.into(),
            expected: "two numbers separated by a dot",
        };
        let (account, route) = text.split_once('.').ok_or_else(error)?;
        Ok(Self {
            account: account.parse().map_err(|_| error())?,
            route: route.parse().map_err(|_| error())?,
        })
    }
}
