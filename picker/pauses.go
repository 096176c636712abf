package picker

import "sapphiredrum.example/sapphiredrum"

// pauseSmoothing is the weight of the latest pause in the moving average.
const pauseSmoothing = 0.2

// PauseEstimator estimates how long the tool pauses after calls of a route last.
// The zero value is ready to use.
type PauseEstimator struct {
	mean map[sapphiredrum.RouteName]float64
}

// Observe records the length of a pause that has ended.
func (p *PauseEstimator) Observe(route sapphiredrum.RouteName, pause sapphiredrum.Millis) {
	if p.mean == nil {
		p.mean = make(map[sapphiredrum.RouteName]float64)
	}
	mean, known := p.mean[route]
	if !known {
		mean = float64(pause)
	}
	p.mean[route] = mean + pauseSmoothing*(float64(pause)-mean)
}

// Expected returns the expected length of a pause, zero if none was observed.
func (p *PauseEstimator) Expected(route sapphiredrum.RouteName) sapphiredrum.Millis {
	return sapphiredrum.Millis(p.mean[route])
}
