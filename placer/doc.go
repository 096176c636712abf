// Package placer ranks the cells that may run a call. It records where the prefixes
// of this host's programs are cached and the latest known load of each cell; a
// sapphiredrum.TargetChooser makes the choice.
package placer
