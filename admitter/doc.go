// Package admitter asks a workspace's account to admit a request.
//
// The decisions are the limiter package's. An Admitter holds this host's
// accounts, carries asks and grants of loans between hosts, and finds the account
// that can spend: the workspace's home, or, where that cannot be reached, the
// next home in order. An account that did not answer is left out for a moment, so
// that requests of a cut-off availability zone do not each wait for a timeout.
package admitter
