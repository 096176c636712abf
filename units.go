package sapphiredrum

// Quantities with their units.
type (
	// Tokens counts model tokens.
	Tokens int64
	// Rate is a number of requests per second.
	Rate float64
	// Burst is a number of requests.
	Burst float64
	// Bytes counts bytes.
	Bytes int64
	// Slots counts requests that a target runs at once.
	Slots int
	// Share is a fraction between 0 and 1.
	Share float64
)
