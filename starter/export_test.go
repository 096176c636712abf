package starter

// NewOver builds a host that reaches targets through a dialer of the test's own.
var NewOver = newHost
