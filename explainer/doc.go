// Package explainer tells the story of one request or program from the logs of
// several hosts.
package explainer
