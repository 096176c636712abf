// Package estimator works out what the scheduler needs at the size that it is
// designed for. It drives the shipped decision code of one host, or of the hosts
// of one availability zone, at several sizes, fits a straight line over what it
// measured, and carries the line on to the target size.
//
// # What is measured
//
// Processor time is that of this process (user and system), so other load on the
// machine hardly changes it; memory is the growth of the heap after a
// collection; messages are the JSON of the message types, to which HeaderBytes
// and ReplyBytes are added. Message types that their package does not export are
// written down here again, field by field. There are no sockets: what an exchange
// costs in net/http and in the messenger package is measured over in-memory
// pipes, and what the kernel adds is not.
//
// # Figures
//
// A Role has Series, which are measured, and Figures, which are worked out from
// them with the arithmetic beside the value. A Figure counts against the limits
// of Limits if its Class is Control. Carrying prompts, answers and histories is
// the Payload class: it grows with what callers send and is printed apart.
//
// Write runs everything and prints Markdown.
package estimator
