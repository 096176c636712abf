// Package admitter admits requests against the rate limit accounts of their
// workspaces.
//
// Package limiter makes the decisions. An Admitter holds the accounts of this host,
// exchanges loan requests and grants with other hosts, and finds an account that can
// decide: the one in the workspace's home zone or, if that is unreachable, the one in
// the next zone in order. A host that did not answer is skipped for a while, so that
// requests do not each wait for a timeout while an availability zone is partitioned.
package admitter
