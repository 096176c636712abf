package picker

import "sapphiredrum.example/sapphiredrum"

// pauseSmoothing is the part that the latest pause has in the mean.
const pauseSmoothing = 0.2

// Pauses estimates how long the tool pauses after calls of a route last. The
// zero value is ready to use.
type Pauses struct {
	mean map[sapphiredrum.RouteName]float64
}

// Note records a pause that has ended.
func (p *Pauses) Note(route sapphiredrum.RouteName, pause sapphiredrum.Millis) {
	if p.mean == nil {
		p.mean = make(map[sapphiredrum.RouteName]float64)
	}
	mean, known := p.mean[route]
	if !known {
		mean = float64(pause)
	}
	p.mean[route] = mean + pauseSmoothing*(float64(pause)-mean)
}

// Expect returns the expected pause, zero where none was seen.
func (p *Pauses) Expect(route sapphiredrum.RouteName) sapphiredrum.Millis {
	return sapphiredrum.Millis(p.mean[route])
}
