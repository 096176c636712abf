// Package placer remembers, for the programs that a host keeps, where their
// prefixes are and how busy the cells were when last heard of, and puts the cells
// that may run a call in order. The choice itself is a Chooser's.
package placer
