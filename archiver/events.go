package archiver

// The numbers of this package's log events; docs/EVENTS.md lists them.
const (
	eventMalformed = 601
	eventSequencer = 604
	eventCacher    = 605
)
