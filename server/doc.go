// Package server holds the HTTP handlers for callers and operators.
//
// Callers prove who they are with "Authorization: Bearer KEY". The key is
// resolved to a workspace here and goes no further: requests to targets are
// built from an allow-list of headers, and a request that repeats its key in the
// path, the query or the body is refused. docs/API.md describes every path,
// status and field.
//
// Streams indexes the open answers by key, so that a withdrawn key ends them.
package server
