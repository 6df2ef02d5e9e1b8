//! Reading and checking of settings, inventory and rules.
