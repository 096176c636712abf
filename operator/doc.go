// Package operator holds the commands by which people run the system: they
// change the sheet in force, issue and withdraw keys, take availability zones out
// and in, and ask the hosts how they are. The command line calls them; each
// writes what a person reads to a writer and returns a typed error.
package operator
