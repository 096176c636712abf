package archiver

// Event numbers of this package's log entries; see docs/EVENTS.md.
const (
	eventMalformed = 601
	eventSequencer = 604
	eventCacher    = 605
	eventMissing   = 606
	eventDuplicate = 607
)
