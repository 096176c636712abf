package sapphiredrum

// Quantities and their units.
type (
	// Tokens is a number of model tokens.
	Tokens int64
	// Rate is a number of requests per second.
	Rate float64
	// Burst is a number of requests.
	Burst float64
	// Bytes is a size in bytes.
	Bytes int64
	// Slots is a number of concurrent requests on a target.
	Slots int
	// Share is a fraction between 0 and 1.
	Share float64
)
