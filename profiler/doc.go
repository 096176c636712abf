// Package profiler reads hosts' logs and tells where the time of programs went: how many
// ended in time, what each part of their time took, and which part made them late.
//
// The requests of a program may overlap and come through many hosts. Its time is therefore
// that of its critical path, which is read backwards from the request that ended last: a
// request follows the one that ended last before it arrived. The parts of the path add up to
// the program's time. What a shorter part would change is estimated on the same path; that
// another path may then be the longest is not taken into account.
package profiler
