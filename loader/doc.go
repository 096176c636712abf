// Package loader reads and writes the INI texts of operators: a host's settings
// and the configuration sheet.
//
// # Sheets
//
// Sheet reads a sheet in sections such as [workspace NAME], [key NAME], [route
// NAME], [target NAME], [zone NAME], [level TIER] and [policy]. Times are whole
// numbers of milliseconds, dates follow RFC 3339, flags are true or false. Every
// bad line is named with what it holds and what is allowed, not only the first:
// unknown sections and keys, repeated names, paths, digests and addresses,
// numbers out of range, and references to what the sheet does not declare.
//
// Write is the inverse of Sheet. Diff tells two sheets apart, key by key, for
// people who review a change.
//
// # Settings
//
// ParseSettings reads the [host] section of a host's own file: its name, zone,
// addresses and the platform's address. All else comes with the sheet.
//
// # Line numbers
//
// ini.v1 does not tell lines, so each line is parsed on its own by ini.v1; an
// error thus belongs to a line, and one bad line does not hide the next. Values
// cannot span lines.
package loader
