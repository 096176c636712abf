package launcher

import (
	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/connector"
)

// Connections reaches targets over the network.
type Connections struct {
	Pool *connector.Pool
}

// Engine returns the client of a model engine.
func (c Connections) Engine(target sd.Target) sd.Engine {
	return &connector.Engine{Pool: c.Pool, Address: target.Address, Timeout: orderTimeout}
}

// Service returns the client of a plain service.
func (c Connections) Service(target sd.Target) sd.Service {
	return &connector.Service{Pool: c.Pool, Address: target.Address, Limit: longestAnswer}
}

const (
	orderTimeout           = 2 * sd.Second
	longestAnswer sd.Bytes = 16 << 20
)
