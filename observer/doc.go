// Package observer follows tables of the store: what operators declare, which
// targets are registered, which hosts there are.
//
// View merges what lists and watches return. Versions only rise: an answer that
// is older than what the view has seen changes nothing, so that a replica that
// lags cannot bring an old row back. Follow keeps a View up to date with long
// watches, and lists the table anew when the store has dropped its history.
package observer
